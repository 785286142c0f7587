"""The two statements of the platform and the comment that they carry, matched whole and strictly.

Nothing that does not match here ever goes to a member, and of what goes there only `d` is made anew.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from sedgepitch.routing.messages import Freshness, Idempotency, RequestClass

MOST_TIME = 3_600_000.0  # ms; a longer wait than this is a mistake
MOST_GROUP = 2**31

_STATEMENT = re.compile(
    rb"(?:SELECT payload FROM entries WHERE ref = '(?P<read>[!-&(-.0-\[\]-~]{1,128})'"
    rb"|INSERT INTO entries \(ref, payload\) VALUES \('(?P<write>[!-&(-.0-\[\]-~]{1,128})', "
    rb"'\\x(?:[0-9a-fA-F]{2})*'\) RETURNING payload)"
    rb" /\* (?P<comment>[!-)+-.0-~]{1,1024}) \*/"
)
_ID = re.compile(rb"[0-9A-Za-z_.:-]{1,64}")
_WHOLE = re.compile(rb"[0-9]{1,18}")
_TIME = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_NAMES = frozenset((b"id", b"c", b"d", b"k", b"r", b"cluster", b"after"))


class BadStatement(ValueError):
    """A statement that is not served; the text says why, `code` is its SQLSTATE."""

    def __init__(self, why: str, code: str = "42601") -> None:
        super().__init__(why)
        self.code = code


@dataclass(slots=True, eq=False)  # made for each request
class Statement:
    """One request. `head` and `tail` stand around the digits of `d`; `until` is set when it is taken."""

    id: bytes
    cls: RequestClass
    writes: bool
    time_left: float  # s
    session: str
    group: int
    after: int  # Unix ms, 0 where the session has written nothing
    head: bytes
    tail: bytes
    until: float = 0.0  # the driver's clock

    def text(self, now: float) -> bytes:
        """The statement as a member gets it, `d` being what is left of the time."""
        return b"%b%d%b" % (self.head, max(1, round((self.until - now) * 1000.0)), self.tail)


def read(statement: bytes, classes: Mapping[str, RequestClass]) -> Statement:
    """Read one statement; raises BadStatement."""
    found = _STATEMENT.fullmatch(statement)
    if found is None:
        raise BadStatement("neither of the two statements that are served here")
    fields: dict[bytes, bytes] = {}
    for part in found["comment"].split(b","):
        name, equals, value = part.partition(b"=")
        if not equals or not value or name not in _NAMES or name in fields:
            raise BadStatement("the comment must hold known names, each once, with a value")
        fields[name] = value
    request = fields.get(b"id", b"")
    if _ID.fullmatch(request) is None:
        raise BadStatement("id: missing, or not a request's id")
    cls = classes.get(fields.get(b"c", b"").decode("ascii"))
    if cls is None:
        raise BadStatement("c: no such class", "42704")
    writes = found["write"] is not None
    if writes != (cls.freshness is Freshness.WRITE):
        raise BadStatement(f"c: class '{cls.name}' does not take this statement")
    time = fields.get(b"d", b"")
    if _TIME.fullmatch(time) is None or not 0.0 < float(time) <= MOST_TIME:
        raise BadStatement("d: missing, or no time in milliseconds")
    if (cls.idempotency is Idempotency.KEYED) != (b"k" in fields):
        raise BadStatement("k: a keyed class needs it, and no other takes it")
    if b"k" in fields and _ID.fullmatch(fields[b"k"]) is None:
        raise BadStatement("k: not a key")
    if b"r" in fields and fields[b"r"] not in (b"0", b"1"):
        raise BadStatement("r: 0 or 1")
    cluster, after = fields.get(b"cluster", b"0"), fields.get(b"after", b"0")
    if _WHOLE.fullmatch(cluster) is None or int(cluster) >= MOST_GROUP:
        raise BadStatement("cluster: not a group's number")
    if _WHOLE.fullmatch(after) is None:
        raise BadStatement("after: not a position")
    at = statement.index(b"d=" + time, found.start("comment"))
    while statement[at - 1] not in b" ,":  # not the end of another name
        at = statement.index(b"d=" + time, at + 1)
    key = found["write"] or found["read"]
    return Statement(
        request,
        cls,
        writes,
        float(time) / 1000.0,
        key.decode("ascii"),
        int(cluster),
        int(after),
        statement[: at + 2],
        statement[at + 2 + len(time) :],
    )
