"""Messages of PostgreSQL's protocol 3, sans I/O: bytes in any pieces to whole messages, and writers.

A length is checked on the header, before any of the body is buffered, so that what a peer can make this
process hold is bounded by the bounds stated here, whatever it announces. Lengths count themselves.
Source: the chapters "Message Flow" and "Message Formats" of PostgreSQL's public documentation.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping

from sedgepitch.errors import SedgepitchError

VALUE_BYTES_MAX = 64 * 1024  # of a value that a client writes
ROW_BYTES_MAX = 1024 * 1024  # of a value that an endpoint answers with, which may exceed a written one's
STATEMENT_BYTES_MAX = 2 * VALUE_BYTES_MAX + 4096  # a value is written as two digits a byte
STARTUP_BYTES_MAX = 10_000  # PostgreSQL's own bound
HEADER_BYTES = 5  # type and length
LENGTH_BYTES = 4  # a length counts itself
STARTUP_HEADER_BYTES = 8  # length and code
PROTOCOL_VERSION = 3
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104
CANCEL_REQUEST = 80877102
MS_PER_S = 1000.0
INT32_MAX = 0x7FFFFFFF

AUTHENTICATION = b"R"
BACKEND_KEY_DATA = b"K"
COMMAND_COMPLETE = b"C"
DATA_ROW = b"D"
EMPTY_QUERY_RESPONSE = b"I"
ERROR_RESPONSE = b"E"
NOTICE = b"N"
PARAMETER_STATUS = b"S"
QUERY = b"Q"
READY_FOR_QUERY = b"Z"
ROW_DESCRIPTION = b"T"
TERMINATE = b"X"

# What each side may receive: type -> bytes at most, the length's own four counted.
FROM_CLIENT = {QUERY: STATEMENT_BYTES_MAX, TERMINATE: LENGTH_BYTES}
FROM_ENDPOINT = {
    AUTHENTICATION: 64,
    PARAMETER_STATUS: 4096,
    BACKEND_KEY_DATA: 512,
    READY_FOR_QUERY: 5,
    ROW_DESCRIPTION: 4096,
    DATA_ROW: ROW_BYTES_MAX + 16,
    COMMAND_COMPLETE: 256,
    ERROR_RESPONSE: 16384,
    NOTICE: 16384,
    EMPTY_QUERY_RESPONSE: LENGTH_BYTES,
}

_HEADER = struct.Struct("!ci")
_INT = struct.Struct("!i")
_TWO_INTS = struct.Struct("!ii")
_COLUMN_FIELDS = struct.Struct("!ihihih")  # table, attribute, type, size, modifier, format
_BYTEA_COLUMN = (0, 0, 17, -1, -1, 1)  # type 17 is bytea, format 1 is binary
_ONE_COLUMN = b"\0\1"


class MalformedMessage(SedgepitchError, ValueError):
    """Bytes that are no message of this protocol; it cannot be told where the next message would begin."""


class Reader:
    """Cuts a stream into messages; `bounds` gives the types that may come and the bytes of each at most."""

    __slots__ = ("_at", "_buffer", "_held", "_more", "_want", "bounds")

    def __init__(self, bounds: Mapping[bytes, int]) -> None:
        """Begin with an empty buffer."""
        self.bounds = bounds
        self._buffer = b""
        self._at = 0  # where the first message not yet returned begins in the buffer
        self._more = bytearray()  # what came since the buffer was made
        self._held = 0  # bytes not yet returned
        self._want = HEADER_BYTES  # bytes without which no message can be complete

    def feed(self, data: bytes) -> None:
        """Take bytes; they are joined only when a message may be complete, whatever pieces they come in."""
        if self._held:
            self._more += data
        else:
            self._buffer = data
            self._at = 0
        self._held += len(data)

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes are buffered."""
        return self._held

    def _join(self) -> bytes:
        if self._more:
            self._buffer = self._buffer[self._at :] + bytes(self._more)
            self._at = 0
            self._more.clear()
        return self._buffer

    def _taken(self, end: int) -> None:
        """All before `end` has been returned; what is behind is not copied for each message."""
        self._held -= end - self._at
        self._at = end
        if not self._held:
            self._buffer = b""
            self._at = 0

    def next(self) -> tuple[bytes, bytes] | None:
        """Return the next complete message as type and raw bytes, header included, or None.

        Raises MalformedMessage on a type that is not served here, or a length out of its bounds.
        """
        if self._held < self._want:
            return None
        data = self._join()
        start = self._at
        kind, length = _HEADER.unpack_from(data, start)
        length_max = self.bounds.get(kind)
        if length_max is None:
            raise MalformedMessage(f"message type {kind!r} is not served here")
        if not LENGTH_BYTES <= length <= length_max:
            raise MalformedMessage(f"message {kind!r} of {length} bytes, {length_max} at most")
        if self._held <= length:
            self._want = length + 1
            return None
        self._want = HEADER_BYTES
        end = start + length + 1
        self._taken(end)
        return kind, data[start:end]

    def startup(self) -> tuple[int, bytes] | None:
        """Return the first message of a connection as its code and body, None while it is not complete."""
        if self._held < STARTUP_HEADER_BYTES:
            return None
        data = self._join()
        start = self._at
        length, code = _TWO_INTS.unpack_from(data, start)
        if not STARTUP_HEADER_BYTES <= length <= STARTUP_BYTES_MAX:
            raise MalformedMessage(f"a startup message of {length} bytes")
        if code not in (SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST) and code >> 16 != PROTOCOL_VERSION:
            raise MalformedMessage(f"protocol {code >> 16}.{code & 0xFFFF} is not spoken here")
        if self._held < length:
            return None
        self._taken(start + length)
        return code, data[start + STARTUP_HEADER_BYTES : start + length]


def message(kind: bytes, body: bytes) -> bytes:
    """Build one message."""
    return _HEADER.pack(kind, len(body) + LENGTH_BYTES) + body


def text(raw: bytes) -> str:
    """Decode bytes that may not be UTF-8."""
    return raw.decode("utf-8", "replace")


def strings(body: bytes) -> list[bytes]:
    """Split a body of strings that each end in a zero byte; raises MalformedMessage."""
    if body and body[-1]:
        raise MalformedMessage("a string without its end")
    return body.split(b"\0")[:-1]


def startup_parameters(body: bytes) -> dict[str, str]:
    """Read a startup message's parameters; raises MalformedMessage."""
    parts = strings(body)
    if not parts or parts[-1] or len(parts) % 2 != 1:
        raise MalformedMessage("startup parameters that do not come in pairs")
    names = parts[:-1:2]
    values = parts[1::2]
    if any(not name for name in names):
        raise MalformedMessage("a startup parameter without a name")
    return {text(name): text(value) for name, value in zip(names, values, strict=True)}


def startup(user: str, database: str) -> bytes:
    """Build a startup message."""
    body = b"".join(part.encode() + b"\0" for part in ("user", user, "database", database)) + b"\0"
    return _TWO_INTS.pack(len(body) + STARTUP_HEADER_BYTES, PROTOCOL_VERSION << 16) + body


def query(statement: bytes) -> bytes:
    """Build a simple query."""
    return _HEADER.pack(QUERY, len(statement) + LENGTH_BYTES + 1) + statement + b"\0"


def parameter(name: str, value: str) -> bytes:
    """Build a ParameterStatus."""
    return message(PARAMETER_STATUS, name.encode() + b"\0" + value.encode() + b"\0")


def read_parameter(raw: bytes) -> tuple[bytes, bytes]:
    """Read a ParameterStatus; raises MalformedMessage."""
    match strings(raw[HEADER_BYTES:]):
        case [name, value]:
            return name, value
    raise MalformedMessage("a parameter that is no pair")


NO_TRANSACTION = b"I"  # the one transaction status here: idle
AUTHENTICATION_OK = _INT.pack(0)
READY = message(READY_FOR_QUERY, NO_TRANSACTION)
EMPTY = message(EMPTY_QUERY_RESPONSE, b"") + READY
STARTUP_RESPONSE = (
    message(AUTHENTICATION, AUTHENTICATION_OK)
    + parameter("server_version", "16.0 (sedgepitch)")
    + parameter("server_encoding", "UTF8")
    + parameter("client_encoding", "UTF8")
    + parameter("DateStyle", "ISO, MDY")
    + parameter("integer_datetimes", "on")
    + parameter("standard_conforming_strings", "on")
)


def key_data(number: int) -> bytes:
    """Build the BackendKeyData of a connection; cancel requests are not served."""
    return message(BACKEND_KEY_DATA, _TWO_INTS.pack(number & INT32_MAX, 0))


def error(code: str, what: str, detail: str = "", fatal: bool = False) -> bytes:
    """Build an ErrorResponse; `code` is its SQLSTATE."""
    severity = "FATAL" if fatal else "ERROR"
    fields = [("S", severity), ("V", severity), ("C", code), ("M", what.replace("\0", "?"))]
    if detail:
        fields.append(("D", detail))
    return message(
        ERROR_RESPONSE, b"".join(f"{letter}{value}\0".encode() for letter, value in fields) + b"\0"
    )


def read_error(raw: bytes) -> dict[str, str]:
    """Read an ErrorResponse's fields by their letters; raises MalformedMessage."""
    body = raw[HEADER_BYTES:]
    if body[-2:] != b"\0\0":
        raise MalformedMessage("an error without its end")
    return {chr(part[0]): text(part[1:]) for part in body.split(b"\0") if part}


def row_description(column: str = "payload") -> bytes:
    """Build the description of one binary column of bytes."""
    fields = _COLUMN_FIELDS.pack(*_BYTEA_COLUMN)
    return message(ROW_DESCRIPTION, _ONE_COLUMN + column.encode() + b"\0" + fields)


def data_row(value: bytes) -> bytes:
    """Build a row of one column."""
    return message(DATA_ROW, _ONE_COLUMN + _INT.pack(len(value)) + value)


def complete(tag: str) -> bytes:
    """Build a CommandComplete."""
    return message(COMMAND_COMPLETE, tag.encode() + b"\0")


def columns(raw: bytes) -> int:
    """Return the number of columns that a RowDescription describes, -1 where it is malformed."""
    body = raw[HEADER_BYTES:]
    if len(body) < len(_ONE_COLUMN):
        return -1
    count = int.from_bytes(body[:2], "big")
    at = 2
    for _ in range(count):
        name_end = body.find(b"\0", at)
        column_end = name_end + 1 + _COLUMN_FIELDS.size
        if name_end < 0 or column_end > len(body):
            return -1
        at = column_end
    return count if at == len(body) else -1


def one_value(raw: bytes) -> bytes | None:
    """Return the value of a DataRow of one column, None where it is anything else."""
    count_end = HEADER_BYTES + len(_ONE_COLUMN)
    value_start = count_end + _INT.size
    if len(raw) < value_start or raw[HEADER_BYTES:count_end] != _ONE_COLUMN:
        return None
    size = _INT.unpack_from(raw, count_end)[0]
    return raw[value_start:] if size == len(raw) - value_start else None
