"""The two statements that are served and the comment that they carry, matched as a whole and strictly.

What does not match here never goes to an endpoint. Of what is forwarded, only `d`, the time left, is changed.

========  ==========================================================================================
comment   means
========  ==========================================================================================
id        the request's id, unique among the open ones
c         its class
d         time left in ms
k         idempotency key, for keyed classes and no other
r         0 or 1: whether this is a retry
cluster   number of its replica group, 0 where it is not given
after     the session's last commit in Unix ms, which a read of a session class must see
========  ==========================================================================================
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from sedgepitch.errors import ClientError
from sedgepitch.protocols.postgresql.codec import MS_PER_S
from sedgepitch.routing.messages import Freshness, Idempotency, RequestClass

TIME_LEFT_MAX_MS = 3_600_000.0  # more is a client's mistake
GROUP_MAX = 2**31
SQLSTATE_SYNTAX_ERROR = "42601"
SQLSTATE_UNDEFINED_OBJECT = "42704"

_STATEMENT = re.compile(
    rb"(?:SELECT payload FROM entries WHERE ref = '(?P<read>[!-&(-.0-\[\]-~]{1,128})'"
    rb"|INSERT INTO entries \(ref, payload\) VALUES \('(?P<write>[!-&(-.0-\[\]-~]{1,128})', "
    rb"'\\x(?:[0-9a-fA-F]{2})*'\) RETURNING payload)"
    rb" /\* (?P<comment>[!-)+-.0-~]{1,1024}) \*/"
)
_IDENTIFIER = re.compile(rb"[0-9A-Za-z_.:-]{1,64}")
_INTEGER = re.compile(rb"[0-9]{1,18}")
_TIME_LEFT_MS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_COMMENT_NAMES = frozenset((b"id", b"c", b"d", b"k", b"r", b"cluster", b"after"))


class StatementError(ClientError, ValueError):
    """A statement that is not served; the text says why, `code` is its SQLSTATE."""

    def __init__(self, why: str, code: str = SQLSTATE_SYNTAX_ERROR) -> None:
        """State why, with the SQLSTATE that the client gets."""
        super().__init__(why)
        self.code = code


@dataclass(slots=True, eq=False)  # made for each request
class Statement:
    """One request. `head` and `tail` stand around the digits of `d`."""

    id: bytes
    cls: RequestClass
    writes: bool
    time_left: float  # s
    session: str  # the row's key, by which a session's requests are kept together
    group: int
    after: int  # Unix ms, 0 where the session has written nothing
    head: bytes
    tail: bytes
    deadline: float = 0.0  # by the clock, in s; set when the statement is taken up

    def text(self, now: float) -> bytes:
        """Return the statement as an endpoint gets it, `d` being the time left at `now`."""
        return b"%b%d%b" % (self.head, max(1, round((self.deadline - now) * MS_PER_S)), self.tail)


def read(statement: bytes, classes: Mapping[str, RequestClass]) -> Statement:
    """Read one statement; raises StatementError."""
    match = _STATEMENT.fullmatch(statement)
    if match is None:
        raise StatementError("neither of the two statements that are served here")
    fields = _comment_fields(match["comment"])
    request_id = fields.get(b"id", b"")
    if _IDENTIFIER.fullmatch(request_id) is None:
        raise StatementError("id: missing, or not a request's id")
    cls = classes.get(fields.get(b"c", b"").decode("ascii"))
    if cls is None:
        raise StatementError("c: no such class", SQLSTATE_UNDEFINED_OBJECT)
    writes = match["write"] is not None
    if writes != (cls.freshness is Freshness.WRITE):
        raise StatementError(f"c: class '{cls.name}' does not take this statement")
    time_left = fields.get(b"d", b"")
    if _TIME_LEFT_MS.fullmatch(time_left) is None or not 0.0 < float(time_left) <= TIME_LEFT_MAX_MS:
        raise StatementError("d: missing, or no time in milliseconds")
    _check_key_and_retry(fields, cls)
    group, after = _group_and_after(fields)
    time_at = _time_left_at(statement, time_left, match.start("comment"))
    key = match["write"] or match["read"]
    return Statement(
        request_id,
        cls,
        writes,
        float(time_left) / MS_PER_S,
        key.decode("ascii"),
        group,
        after,
        statement[:time_at],
        statement[time_at + len(time_left) :],
    )


def _comment_fields(comment: bytes) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for part in comment.split(b","):
        name, equals, value = part.partition(b"=")
        if not equals or not value or name not in _COMMENT_NAMES or name in fields:
            raise StatementError("the comment must hold known names, each once, with a value")
        fields[name] = value
    return fields


def _check_key_and_retry(fields: dict[bytes, bytes], cls: RequestClass) -> None:
    if (cls.idempotency is Idempotency.KEYED) != (b"k" in fields):
        raise StatementError("k: a keyed class needs it, and no other takes it")
    if b"k" in fields and _IDENTIFIER.fullmatch(fields[b"k"]) is None:
        raise StatementError("k: not a key")
    if b"r" in fields and fields[b"r"] not in (b"0", b"1"):
        raise StatementError("r: 0 or 1")


def _group_and_after(fields: dict[bytes, bytes]) -> tuple[int, int]:
    group = fields.get(b"cluster", b"0")
    after = fields.get(b"after", b"0")
    if _INTEGER.fullmatch(group) is None or int(group) >= GROUP_MAX:
        raise StatementError("cluster: not a group's number")
    if _INTEGER.fullmatch(after) is None:
        raise StatementError("after: not a position")
    return int(group), int(after)


def _time_left_at(statement: bytes, time_left: bytes, comment_start: int) -> int:
    """Return where the digits of `d` begin."""
    field = b"d=" + time_left
    at = statement.index(field, comment_start)
    while statement[at - 1] not in b" ,":  # the end of another name, as in `id=`
        at = statement.index(field, at + 1)
    return at + len(b"d=")
