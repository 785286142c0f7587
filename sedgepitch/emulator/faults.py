"""Faults of an emulated server: lasting faults, and faults of single replies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import bson

from sedgepitch.emulator.query_language import Document
from sedgepitch.emulator.requests import ReceivedCommand
from sedgepitch.protocols.common.callbacks import ignore
from sedgepitch.protocols.mongodb import codec

EVERY_PROXY = "*"
WRONG_ID_OFFSET = 7


class ReplyFaultKind(Enum):
    """What happens to a reply; the values are the names on the control socket and in the record."""

    LOSE = "lose_reply"
    CUT_SHORT = "cut_reply"
    RESET = "reset"
    WRONG_ID = "wrong_reply"
    DUPLICATE = "twice"


@dataclass(slots=True)
class ReplyFault:
    """A fault that applies to the next replies to commands of one kind."""

    kind: ReplyFaultKind
    when: str  # the value of a CommandKind
    then: Callable[[], None] = ignore  # called after each faulty reply
    count: int = 1  # remaining replies to apply it to

    def apply(self, request: ReceivedCommand, body: Document) -> None:
        """Reply to a command with this fault."""
        connection = request.connection
        message = request.message
        if self.kind is ReplyFaultKind.RESET:
            connection.transport.abortConnection()
        elif self.kind is ReplyFaultKind.CUT_SHORT:
            frame = codec.build(bson.encode(body), 1, message.request_id)
            connection.transport.write(frame[: len(frame) // 2])
            connection.transport.loseConnection()
        elif self.kind is ReplyFaultKind.WRONG_ID:
            response_to = message.request_id + WRONG_ID_OFFSET
            connection.transport.write(codec.build(bson.encode(body), 1, response_to))
        elif self.kind is ReplyFaultKind.DUPLICATE:
            connection.reply(message, body)
            connection.reply(message, body)


@dataclass(slots=True)
class ActiveFaults:
    """The lasting faults that are active on a server."""

    paused_until: float = 0.0  # s of the clock; nothing is read, run, applied or answered before
    slowdown: float = 1.0  # factor on the service time of commands
    apply_slowdown: float = 1.0  # factor on the time to apply a log entry
    cut_off_from: set[str] = field(default_factory=set)  # proxies whose messages are lost
    claims_primary: bool = False
    refuses_connections: bool = False
    connections_max: int | None = None

    def cuts_off(self, proxy: str) -> bool:
        """Return whether the messages of a proxy are lost."""
        return EVERY_PROXY in self.cut_off_from or proxy in self.cut_off_from
