"""Messages of PostgreSQL's protocol 3, sans I/O: bytes in any pieces to whole messages, and writers.

Rule of this file: a length is judged on its header, before any of the body is kept, so that what a peer can
make this process hold is bounded by the bounds stated here, whatever it announces. Lengths count themselves.
Source: the chapters "Message Flow" and "Message Formats" of PostgreSQL's public documentation.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping

VALUE = 64 * 1024  # bytes of a value that a client writes, at most
ROW = 1024 * 1024  # of one that a member answers with: more than is stated has been seen, and is whole
STATEMENT = 2 * VALUE + 4096  # a value is written as two digits a byte
VERSION, SSL, GSS, CANCEL = 3, 80877103, 80877104, 80877102

# What each end may receive: type -> bytes at most, the length's own four counted.
FROM_CLIENT = {b"Q": STATEMENT, b"X": 4}
FROM_MEMBER = {
    b"R": 64,
    b"S": 4096,
    b"K": 512,
    b"Z": 5,
    b"T": 4096,
    b"D": ROW + 16,
    b"C": 256,
    b"E": 16384,
    b"N": 16384,
    b"I": 4,
}
STARTUP = 10_000  # PostgreSQL's own bound

_HEAD = struct.Struct("!ci")
_INT = struct.Struct("!i")
_TWO = struct.Struct("!ii")


class BadMessage(ValueError):
    """Bytes that are no message of this protocol; there is no telling where the next one would begin."""


class Reader:
    """Cuts a stream into messages. `bounds` tells what types may come, and how long each may be."""

    __slots__ = ("_at", "_buffer", "_held", "_more", "_want", "bounds")

    def __init__(self, bounds: Mapping[bytes, int]) -> None:
        self.bounds = bounds
        self._buffer, self._at = b"", 0  # what is read, and from where on it has not been taken
        self._more = bytearray()  # what came since
        self._held, self._want = 0, 5

    def feed(self, data: bytes) -> None:
        """Take bytes; they are joined only when a message may be whole, whatever pieces they come in."""
        if self._held:
            self._more += data
        else:
            self._buffer, self._at = data, 0
        self._held += len(data)

    @property
    def held(self) -> int:
        """How many bytes wait here."""
        return self._held

    def _join(self) -> bytes:
        if self._more:
            self._buffer = self._buffer[self._at :] + bytes(self._more)
            self._at = 0
            self._more.clear()
        return self._buffer

    def _taken(self, end: int) -> None:
        """All before `end` is taken; what is behind is not copied for each message."""
        self._held -= end - self._at
        self._at = end
        if not self._held:
            self._buffer, self._at = b"", 0

    def next(self) -> tuple[bytes, bytes] | None:
        """Return the next whole message as type and raw bytes, header included; raises BadMessage."""
        if self._held < self._want:
            return None
        data = self._join()
        start = self._at
        kind, length = _HEAD.unpack_from(data, start)
        most = self.bounds.get(kind)
        if most is None:
            raise BadMessage(f"message type {kind!r} is not served here")
        if not 4 <= length <= most:
            raise BadMessage(f"message {kind!r} of {length} bytes, {most} at most")
        if self._held <= length:
            self._want = length + 1
            return None
        self._want = 5
        end = start + length + 1
        self._taken(end)
        return kind, data[start:end]

    def startup(self) -> tuple[int, bytes] | None:
        """Return the first message of a connection as its code and body, None while it is not whole."""
        if self._held < 8:
            return None
        data = self._join()
        start = self._at
        length, code = _TWO.unpack_from(data, start)
        if not 8 <= length <= STARTUP:
            raise BadMessage(f"a startup message of {length} bytes")
        if code not in (SSL, GSS, CANCEL) and code >> 16 != VERSION:
            raise BadMessage(f"protocol {code >> 16}.{code & 0xFFFF} is not spoken here")
        if self._held < length:
            return None
        self._taken(start + length)
        return code, data[start + 8 : start + length]


def message(kind: bytes, body: bytes) -> bytes:
    """Build one message."""
    return _HEAD.pack(kind, len(body) + 4) + body


def text(raw: bytes) -> str:
    """Decode what may be anything."""
    return raw.decode("utf-8", "replace")


def strings(body: bytes) -> list[bytes]:
    """Split a body of strings that each end in a zero byte; raises BadMessage."""
    if body and body[-1]:
        raise BadMessage("a string without its end")
    return body.split(b"\0")[:-1]


def startup_parameters(body: bytes) -> dict[str, str]:
    """Read a startup message's parameters; raises BadMessage."""
    parts = strings(body)
    if not parts or parts[-1] or len(parts) % 2 != 1:
        raise BadMessage("startup parameters that do not come in pairs")
    pairs = parts[:-1]
    if any(not name for name in pairs[::2]):
        raise BadMessage("a startup parameter without a name")
    return {text(pairs[i]): text(pairs[i + 1]) for i in range(0, len(pairs), 2)}


def startup(user: str, database: str) -> bytes:
    """Build a startup message."""
    body = b"".join(p.encode() + b"\0" for p in ("user", user, "database", database)) + b"\0"
    return _TWO.pack(len(body) + 8, VERSION << 16) + body


def query(statement: bytes) -> bytes:
    """Build a simple query."""
    return _HEAD.pack(b"Q", len(statement) + 5) + statement + b"\0"


def parameter(name: str, value: str) -> bytes:
    """Build a ParameterStatus."""
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def read_parameter(raw: bytes) -> tuple[bytes, bytes]:
    """Read a ParameterStatus; raises BadMessage."""
    parts = strings(raw[5:])
    if len(parts) != 2:
        raise BadMessage("a parameter that is no pair")
    return parts[0], parts[1]


READY = message(b"Z", b"I")
EMPTY = message(b"I", b"") + READY
WELCOME = (
    message(b"R", _INT.pack(0))
    + parameter("server_version", "16.0 (sedgepitch)")
    + parameter("server_encoding", "UTF8")
    + parameter("client_encoding", "UTF8")
    + parameter("DateStyle", "ISO, MDY")
    + parameter("integer_datetimes", "on")
    + parameter("standard_conforming_strings", "on")
)


def key_data(number: int) -> bytes:
    """Build the BackendKeyData; nothing can be cancelled with it here."""
    return message(b"K", _TWO.pack(number & 0x7FFFFFFF, 0))


def error(code: str, what: str, detail: str = "", fatal: bool = False) -> bytes:
    """Build an ErrorResponse."""
    severity = "FATAL" if fatal else "ERROR"
    fields = [("S", severity), ("V", severity), ("C", code), ("M", what.replace("\0", "?"))]
    if detail:
        fields.append(("D", detail))
    return message(b"E", b"".join(f"{k}{v}\0".encode() for k, v in fields) + b"\0")


def read_error(raw: bytes) -> dict[str, str]:
    """Read an ErrorResponse's fields by their letters; raises BadMessage."""
    body = raw[5:]
    if body[-2:] != b"\0\0":
        raise BadMessage("an error without its end")
    return {chr(part[0]): text(part[1:]) for part in body.split(b"\0") if part}


def row_description(column: str = "payload") -> bytes:
    """Build the description of one binary column of bytes."""
    return message(b"T", b"\0\1" + column.encode() + b"\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1))


def data_row(value: bytes) -> bytes:
    """Build a row of one column."""
    return message(b"D", b"\0\1" + _INT.pack(len(value)) + value)


def complete(tag: str) -> bytes:
    """Build a CommandComplete."""
    return message(b"C", tag.encode() + b"\0")


def columns(raw: bytes) -> int:
    """Return how many columns a RowDescription tells, -1 where it does not read."""
    body = raw[5:]
    if len(body) < 2:
        return -1
    count, at = (body[0] << 8) | body[1], 2
    for _ in range(count):
        end = body.find(b"\0", at)
        if end < 0 or end + 19 > len(body):
            return -1
        at = end + 19
    return count if at == len(body) else -1


def one_value(raw: bytes) -> bytes | None:
    """Return the value of a DataRow of one column, None where it is anything else."""
    if len(raw) < 11 or raw[5:7] != b"\0\1":
        return None
    size = _INT.unpack_from(raw, 7)[0]
    return raw[11:] if size == len(raw) - 11 else None
