"""Parses the two supported statements and the comment that they carry, matching the whole text strictly.

A statement that does not match is never sent to an endpoint. Forwarding rewrites only `d`, the time left.

========  ==========================================================================================
field     meaning
========  ==========================================================================================
id        id of the request, unique among open requests
c         request class
d         time left in ms
k         idempotency key; required for keyed classes, not allowed for others
r         0 or 1: whether the request is a retry
cluster   number of the replica group, 0 if not given
after     last commit of the session in Unix ms, which a read of a session class must see
========  ==========================================================================================
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from sedgepitch.errors import ClientError
from sedgepitch.protocols.postgresql.codec import MS_PER_S
from sedgepitch.routing.messages import Freshness, Idempotency, RequestClass

TIME_LEFT_MAX_MS = 3_600_000.0  # larger values are rejected as client errors
GROUP_MAX = 2**31
DIGITS_PER_BYTE = 2  # of a written value
SQLSTATE_SYNTAX_ERROR = "42601"
SQLSTATE_UNDEFINED_OBJECT = "42704"

# Repeating a set of characters needs no memory; repeating a group of two digits takes some for each pair.
_STATEMENT = re.compile(
    rb"(?:SELECT payload FROM entries WHERE ref = '(?P<read>[!-&(-.0-\[\]-~]{1,128})'"
    rb"|INSERT INTO entries \(ref, payload\) VALUES \('(?P<write>[!-&(-.0-\[\]-~]{1,128})', "
    rb"'\\x(?P<digits>[0-9a-fA-F]*+)'\) RETURNING payload)"
    rb" /\* (?P<comment>[!-)+-.0-~]{1,1024}) \*/"
)
_IDENTIFIER = re.compile(rb"[0-9A-Za-z_.:-]{1,64}")
_INTEGER = re.compile(rb"[0-9]{1,18}")
_TIME_LEFT_MS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_COMMENT_NAMES = frozenset((b"id", b"c", b"d", b"k", b"r", b"cluster", b"after"))


class StatementError(ClientError, ValueError):
    """The statement is not supported; the text gives the reason, `code` the SQLSTATE."""

    def __init__(self, why: str, code: str = SQLSTATE_SYNTAX_ERROR) -> None:
        """Store the reason and the SQLSTATE for the client."""
        super().__init__(why)
        self.code = code


@dataclass(slots=True, eq=False)  # one per request: kept small
class Statement:
    """One parsed statement. `head` and `tail` are the text before and after the digits of `d`."""

    id: bytes
    cls: RequestClass
    writes: bool
    time_left: float  # s
    session: str  # key of the row; identifies the session of the request
    group: int
    after: int  # Unix ms, 0 if the session has not written anything
    head: bytes
    tail: bytes
    deadline: float = 0.0  # time of the clock in s; set when the request is submitted

    @property
    def held_bytes(self) -> int:
        """Return the bytes of the text."""
        return len(self.head) + len(self.tail)

    def discard_text(self) -> None:
        """Drop the text: the request has its answer, so no further attempt is made."""
        self.head = self.tail = b""

    def text(self, now: float) -> bytes:
        """Return the text to send to an endpoint, with `d` set to the time left at `now` (1 ms at least)."""
        return b"%b%d%b" % (self.head, max(1, round((self.deadline - now) * MS_PER_S)), self.tail)


def read(statement: bytes, classes: Mapping[str, RequestClass]) -> Statement:
    """Parse one statement; raises StatementError."""
    match = _STATEMENT.fullmatch(statement)
    if match is None or (match.end("digits") - match.start("digits")) % DIGITS_PER_BYTE:
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
    for part in comment.split(b",", len(_COMMENT_NAMES)):
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
    """Return the offset of the digits of `d`."""
    field = b"d=" + time_left
    at = statement.index(field, comment_start)
    while statement[at - 1] not in b" ,":  # matched the end of another name, such as `id=`
        at = statement.index(field, at + 1)
    return at + len(b"d=")
