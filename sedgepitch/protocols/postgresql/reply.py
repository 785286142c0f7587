"""The reply of an endpoint to one statement, assembled message by message.

A reply is valid once it is complete: a RowDescription of one column, a DataRow with one value and a
CommandComplete, or an ErrorResponse. Anything else is malformed: the attempt may have run, and its connection
is closed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.codec import MalformedMessage

ROW_MESSAGES = (codec.ROW_DESCRIPTION, codec.DATA_ROW, codec.COMMAND_COMPLETE)  # in this order
NOTICES_MAX = 8  # Notice and ParameterStatus messages in one reply, together
SQLSTATE_LENGTH = 5
LOAD_REPORT_BYTES_MAX = 1024
FATAL_SEVERITIES = ("FATAL", "PANIC")


@dataclass(slots=True, eq=False)  # one per attempt: kept small
class Reply:
    """The reply to one statement. `finish` sets `value`, the raw messages to forward to the client."""

    value: bytes = b""
    row: bytes | None = None
    error_code: str = ""  # SQLSTATE of the error, if any
    malformed: str = ""  # why the reply is malformed, if it is
    arrived: float = 0.0  # monotonic s, 0 if unknown
    role: bytes = b""  # as reported by the endpoint
    position: bytes = b""  # Unix ms of the endpoint's last commit, in decimal digits
    load_report: bytes = b""  # as reported by the endpoint, not parsed
    messages: list[bytes] = field(default_factory=list)  # raw messages of the row so far
    notices: int = 0
    held_bytes: int = 0  # of messages and row

    @property
    def has_row(self) -> bool:
        """Return whether the row is complete."""
        return len(self.messages) == len(ROW_MESSAGES)

    @property
    def is_final(self) -> bool:
        """Return whether the reply holds a complete row or an error."""
        return bool(self.error_code) or self.has_row

    def count_notice(self, what: str) -> None:
        """Count a message that is allowed anywhere; raises MalformedMessage above NOTICES_MAX."""
        self.notices += 1
        if self.notices > NOTICES_MAX:
            raise MalformedMessage(f"{what} without end")

    def add_parameter(self, raw: bytes) -> None:
        """Process a ParameterStatus; it carries the role, position or load report of the endpoint."""
        self.count_notice("parameters")
        name, value = codec.read_parameter(raw)
        if name == b"server_role":
            self.role = value
        elif name == b"commit_clock":
            self.position = value
        elif name == b"usage":
            self.load_report = value

    def add_error(self, raw: bytes) -> bool:
        """Process an ErrorResponse; return whether the endpoint closes the connection after it."""
        fields = codec.read_error(raw)
        if self.error_code or len(fields.get("C", "")) != SQLSTATE_LENGTH:
            raise MalformedMessage("an error that does not read")
        self.error_code = fields["C"]
        return fields.get("V", fields.get("S")) in FATAL_SEVERITIES

    def add_row_message(self, kind: bytes, raw: bytes) -> None:
        """Process the next message of the row; raises MalformedMessage for an unexpected one."""
        expected = b"" if self.has_row else ROW_MESSAGES[len(self.messages)]
        if self.error_code or kind != expected:
            raise MalformedMessage(f"message {kind!r} out of order")
        if kind == codec.ROW_DESCRIPTION:
            if codec.column_count(raw) != 1:
                raise MalformedMessage("not one column")
        elif kind == codec.DATA_ROW:
            self.row = codec.one_value(raw)
            if self.row is None:
                raise MalformedMessage("a row that is not one value")
        elif raw[-1]:
            raise MalformedMessage("a completion without its end")
        self.messages.append(raw)
        self.held_bytes += len(raw) + (len(self.row) if self.row and kind == codec.DATA_ROW else 0)

    def finish(self, arrived: float) -> None:
        """Complete the reply; `arrived` is the arrival time of its last bytes."""
        self.arrived = arrived
        if not self.error_code and not self.malformed:
            self.value = b"".join(self.messages)


def read_load_report(raw: bytes) -> dict[str, float]:
    """Parse a load report such as `inflight=7,util=0.61`; malformed fields are skipped."""
    fields: dict[str, float] = {}
    if len(raw) > LOAD_REPORT_BYTES_MAX:
        return fields
    for part in raw.split(b","):
        name, equals, digits = part.partition(b"=")
        try:
            value = float(digits)
        except ValueError:
            continue
        if equals and math.isfinite(value):
            fields[name.decode("ascii", "replace")] = value
    return fields
