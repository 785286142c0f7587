"""What an endpoint answers to one statement, collected message by message.

A reply counts once it has been read whole and has the right shape: a description of one column, one row of
one value, its completion. Anything else is malformed: the attempt may have run, and its connection is closed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.codec import MalformedMessage

ROW_MESSAGES = (codec.ROW_DESCRIPTION, codec.DATA_ROW, codec.COMMAND_COMPLETE)  # in this order
NOTICES_MAX = 8  # notices and parameters in one reply
SQLSTATE_LENGTH = 5
LOAD_REPORT_BYTES_MAX = 1024
FATAL_SEVERITIES = ("FATAL", "PANIC")


@dataclass(slots=True, eq=False)  # made for each attempt
class Reply:
    """The reply to one statement. `value` is set at the end: the raw messages to forward to the client."""

    value: bytes = b""
    row: bytes | None = None
    error_code: str = ""  # an error's SQLSTATE
    malformed: str = ""  # why it could not be read
    arrived: float = 0.0  # monotonic s, 0 where that is not known
    role: bytes = b""  # the endpoint's own reports: its role,
    position: bytes = b""  # Unix ms of the last commit it has, in digits,
    load_report: bytes = b""  # and its load
    messages: list[bytes] = field(default_factory=list)  # of the row, raw
    notices: int = 0

    @property
    def has_row(self) -> bool:
        """Whether the row is complete."""
        return len(self.messages) == len(ROW_MESSAGES)

    @property
    def is_final(self) -> bool:
        """Whether the row is complete or an error stands in its place."""
        return bool(self.error_code) or self.has_row

    def count_notice(self, what: str) -> None:
        """Count a message that may come at any place; raises MalformedMessage above the bound."""
        self.notices += 1
        if self.notices > NOTICES_MAX:
            raise MalformedMessage(f"{what} without end")

    def add_parameter(self, raw: bytes) -> None:
        """Take a ParameterStatus, which carries the endpoint's reports of itself."""
        self.count_notice("parameters")
        name, value = codec.read_parameter(raw)
        if name == b"server_role":
            self.role = value
        elif name == b"commit_clock":
            self.position = value
        elif name == b"usage":
            self.load_report = value

    def add_error(self, raw: bytes) -> bool:
        """Take an ErrorResponse; returns whether the endpoint closes the connection behind it."""
        fields = codec.read_error(raw)
        if self.error_code or len(fields.get("C", "")) != SQLSTATE_LENGTH:
            raise MalformedMessage("an error that does not read")
        self.error_code = fields["C"]
        return fields.get("V", fields.get("S")) in FATAL_SEVERITIES

    def add_row_message(self, kind: bytes, raw: bytes) -> None:
        """Take the next message of the row; raises MalformedMessage where it is another one."""
        expected = b"" if self.has_row else ROW_MESSAGES[len(self.messages)]
        if self.error_code or kind != expected:
            raise MalformedMessage(f"message {kind!r} out of order")
        if kind == codec.ROW_DESCRIPTION:
            if codec.columns(raw) != 1:
                raise MalformedMessage("not one column")
        elif kind == codec.DATA_ROW:
            self.row = codec.one_value(raw)
            if self.row is None:
                raise MalformedMessage("a row that is not one value")
        elif raw[-1]:
            raise MalformedMessage("a completion without its end")
        self.messages.append(raw)

    def finish(self, arrived: float) -> None:
        """Nothing more is read for this reply; `arrived` is when its last bytes came."""
        self.arrived = arrived
        if not self.error_code and not self.malformed:
            self.value = b"".join(self.messages)


def read_load_report(raw: bytes) -> dict[str, float]:
    """Read a load report, `inflight=7,util=0.61`; what does not read is left out."""
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
