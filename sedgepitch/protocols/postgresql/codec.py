"""Codec for version 3 of the PostgreSQL wire protocol, without I/O: an incremental parser and writers.

The length field is checked as soon as the header has arrived, before the body is buffered, so the bounds
below limit the memory that a peer can occupy, whatever length it announces. A length includes its own four
bytes. Source: the chapters "Message Flow" and "Message Formats" of PostgreSQL's public documentation.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping

from sedgepitch.errors import SedgepitchError

VALUE_BYTES_MAX = 64 * 1024  # of a value written by a client
ROW_BYTES_MAX = 1024 * 1024  # of a value returned by an endpoint, which may exceed VALUE_BYTES_MAX
STATEMENT_BYTES_MAX = 2 * VALUE_BYTES_MAX + 4096  # a value is written as two hexadecimal digits per byte
STARTUP_BYTES_MAX = 10_000  # the limit of PostgreSQL itself
STARTUP_PARAMETERS_MAX = 100  # client libraries send some ten
HEADER_BYTES = 5  # type and length
LENGTH_BYTES = 4  # included in the length itself
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

# Message types accepted from each side, with the maximum length in bytes (length field included).
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
    """The bytes are not a valid message; the start of the next message cannot be determined either."""


class Reader:
    """Splits a byte stream into messages; `bounds` maps each accepted type to its maximum length in bytes."""

    __slots__ = ("_buffer", "_held", "_more", "_offset", "_skip", "_want", "bounds", "skipped")

    def __init__(self, bounds: Mapping[bytes, int]) -> None:
        """Start with an empty buffer."""
        self.bounds = bounds
        self._buffer = b""
        self._offset = 0  # offset in the buffer of the first message not yet returned
        self._more = bytearray()  # received since the last join, not yet part of the buffer
        self._held = 0  # bytes received and not yet returned
        self._want = HEADER_BYTES  # minimum number of bytes for the next message to be complete
        self._skip = 0  # bytes to drop as they come: the rest of a message
        self.skipped = 0  # messages dropped by `skip_input`, which the owner has to answer and reset

    def feed(self, data: bytes) -> None:
        """Append received bytes; they are copied into one buffer only once a message may be complete."""
        if self._skip:
            data = self._drop(data)
        if self._held:
            self._more += data
        else:
            self._buffer = data
            self._offset = 0
        self._held += len(data)

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes are buffered."""
        return self._held

    @property
    def memory_bytes(self) -> int:
        """Return how many bytes of memory the buffered input uses."""
        return len(self._buffer) + len(self._more)

    @property
    def has_input(self) -> bool:
        """Return whether any message has been received in part, or was received and has no answer."""
        return bool(self._held or self._skip or self.skipped)

    @property
    def missing_bytes(self) -> int:
        """Return how many bytes of the next message, as far as its header tells, have not been received."""
        return self._skip or (max(0, self._want - self._held) if self._held else 0)

    def skip_input(self) -> None:
        """Drop the buffered messages and, as it comes, the rest of an incomplete one; `skipped` counts them.

        A header that has not arrived in full is kept, and so is anything but a statement, with what follows.
        """
        try:
            while self._held >= HEADER_BYTES:
                kind, length = self._read_header()
                if kind != QUERY:
                    break
                size = length + 1
                if self._held < size:
                    self._skip = size - self._held
                    self._consume(self._offset + self._held)
                    break
                self._consume(self._offset + size)
                self.skipped += 1
        except MalformedMessage:
            pass  # reported when its turn comes
        self._want = HEADER_BYTES
        self._buffer = self._join()[self._offset :]
        self._offset = 0

    def _drop(self, data: bytes) -> bytes:
        """Drop the rest of a skipped message; return what follows it."""
        dropped = min(len(data), self._skip)
        self._skip -= dropped
        if not self._skip:
            self.skipped += 1
        return data[dropped:]

    @property
    def has_complete_message(self) -> bool:
        """Return whether `next` would return a message, or raise for a malformed one."""
        if self._held < self._want:
            return False
        try:
            return self._held > self._read_header()[1]
        except MalformedMessage:
            return True

    def discard(self) -> None:
        """Drop all buffered bytes; their connection has ended."""
        self._buffer = b""
        self._offset = 0
        self._more = bytearray()
        self._held = 0
        self._want = HEADER_BYTES
        self._skip = 0
        self.skipped = 0

    def _join(self) -> bytes:
        if self._more:
            self._buffer = self._buffer[self._offset :] + bytes(self._more)
            self._offset = 0
            self._more.clear()
        return self._buffer

    def _consume(self, end: int) -> None:
        """Mark the buffer up to `end` as returned, without copying the rest for each message."""
        self._held -= end - self._offset
        self._offset = end
        if not self._held:
            self._buffer = b""
            self._offset = 0

    def next(self) -> tuple[bytes, bytes] | None:
        """Return the next complete message as type and raw bytes, header included, or None.

        Raises MalformedMessage for a type that is not accepted or a length out of bounds.
        """
        if self._held < self._want:
            return None
        kind, length = self._read_header()
        if self._held <= length:
            self._want = length + 1
            return None
        self._want = HEADER_BYTES
        data = self._buffer
        start = self._offset
        end = start + length + 1
        self._consume(end)
        return kind, data[start:end]

    def _read_header(self) -> tuple[bytes, int]:
        """Return type and length of the next message; raises MalformedMessage."""
        kind, length = _HEADER.unpack_from(self._join(), self._offset)
        length_max = self.bounds.get(kind)
        if length_max is None:
            raise MalformedMessage(f"message type {kind!r} is not served here")
        if not LENGTH_BYTES <= length <= length_max:
            raise MalformedMessage(f"message {kind!r} of {length} bytes, {length_max} at most")
        return kind, length

    def startup(self) -> tuple[int, bytes] | None:
        """Return the code and body of the first message of a connection, or None until it is complete."""
        if self._held < STARTUP_HEADER_BYTES:
            return None
        data = self._join()
        start = self._offset
        length, code = _TWO_INTS.unpack_from(data, start)
        if not STARTUP_HEADER_BYTES <= length <= STARTUP_BYTES_MAX:
            raise MalformedMessage(f"a startup message of {length} bytes")
        if code not in (SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST) and code >> 16 != PROTOCOL_VERSION:
            raise MalformedMessage(f"protocol {code >> 16}.{code & 0xFFFF} is not spoken here")
        if self._held < length:
            return None
        self._consume(start + length)
        return code, data[start + STARTUP_HEADER_BYTES : start + length]


def statement_text(kind: bytes, raw: bytes) -> bytes | None:
    """Return the text of a Query message, or None for Terminate; raises MalformedMessage."""
    if kind == TERMINATE:
        return None
    if raw[-1]:
        raise MalformedMessage("a statement without its end")
    return raw[HEADER_BYTES:-1]


def message(kind: bytes, body: bytes) -> bytes:
    """Build one message."""
    return _HEADER.pack(kind, len(body) + LENGTH_BYTES) + body


def text(raw: bytes) -> str:
    """Decode UTF-8, replacing invalid bytes."""
    return raw.decode("utf-8", "replace")


def strings(body: bytes) -> list[bytes]:
    """Split a body into its zero-terminated strings; raises MalformedMessage."""
    if body and body[-1]:
        raise MalformedMessage("a string without its end")
    return body.split(b"\0")[:-1]


def startup_parameters(body: bytes) -> dict[str, str]:
    """Parse the parameters of a startup message; raises MalformedMessage."""
    if body.count(b"\0") > 2 * STARTUP_PARAMETERS_MAX + 1:
        raise MalformedMessage(f"more than {STARTUP_PARAMETERS_MAX} startup parameters")
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
    """Build a simple Query message."""
    return _HEADER.pack(QUERY, len(statement) + LENGTH_BYTES + 1) + statement + b"\0"


def parameter(name: str, value: str) -> bytes:
    """Build a ParameterStatus."""
    return message(PARAMETER_STATUS, name.encode() + b"\0" + value.encode() + b"\0")


def read_parameter(raw: bytes) -> tuple[bytes, bytes]:
    """Parse a ParameterStatus into name and value; raises MalformedMessage."""
    match strings(raw[HEADER_BYTES:]):
        case [name, value]:
            return name, value
    raise MalformedMessage("a parameter that is no pair")


NO_TRANSACTION = b"I"  # the only transaction status supported: idle, outside a transaction
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
    """Build the BackendKeyData of a connection; its secret is 0, as cancel requests are not supported."""
    return message(BACKEND_KEY_DATA, _TWO_INTS.pack(number & INT32_MAX, 0))


def error(code: str, what: str, detail: str = "", fatal: bool = False) -> bytes:
    """Build an ErrorResponse; `code` is the SQLSTATE."""
    severity = "FATAL" if fatal else "ERROR"
    fields = [("S", severity), ("V", severity), ("C", code), ("M", what.replace("\0", "?"))]
    if detail:
        fields.append(("D", detail))
    return message(
        ERROR_RESPONSE, b"".join(f"{letter}{value}\0".encode() for letter, value in fields) + b"\0"
    )


def read_error(raw: bytes) -> dict[str, str]:
    """Parse an ErrorResponse into its fields, keyed by field letter; raises MalformedMessage."""
    body = raw[HEADER_BYTES:]
    if body[-2:] != b"\0\0":
        raise MalformedMessage("an error without its end")
    return {chr(part[0]): text(part[1:]) for part in body.split(b"\0") if part}


def row_description(column: str = "payload") -> bytes:
    """Build the RowDescription of one bytea column in binary format."""
    fields = _COLUMN_FIELDS.pack(*_BYTEA_COLUMN)
    return message(ROW_DESCRIPTION, _ONE_COLUMN + column.encode() + b"\0" + fields)


def data_row(value: bytes) -> bytes:
    """Build a DataRow of one column."""
    return message(DATA_ROW, _ONE_COLUMN + _INT.pack(len(value)) + value)


def complete(tag: str) -> bytes:
    """Build a CommandComplete."""
    return message(COMMAND_COMPLETE, tag.encode() + b"\0")


def column_count(raw: bytes) -> int:
    """Return the number of columns of a RowDescription, or -1 if it is malformed."""
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
    """Return the value of a DataRow with exactly one non-null column, or None for any other message."""
    count_end = HEADER_BYTES + len(_ONE_COLUMN)
    value_start = count_end + _INT.size
    if len(raw) < value_start or raw[HEADER_BYTES:count_end] != _ONE_COLUMN:
        return None
    size = _INT.unpack_from(raw, count_end)[0]
    return raw[value_start:] if size == len(raw) - value_start else None
