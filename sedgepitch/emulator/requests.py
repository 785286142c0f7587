"""A command received by an emulated server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from sedgepitch.emulator.query_language import Document
from sedgepitch.protocols.mongodb.codec import Message

if TYPE_CHECKING:
    from sedgepitch.emulator.proxy_connection import ProxyConnection

WRITES = ("insert", "update", "delete", "findAndModify", "findandmodify")
READS = ("find", "aggregate", "count", "distinct", "listCollections", "listDatabases")
WRITING_STAGES = ("$out", "$merge")


class CommandKind(Enum):
    """Whether a command changes data; the values are used on the control socket."""

    READ = "read"
    WRITE = "write"


@dataclass(slots=True, eq=False)
class ReceivedCommand:
    """One command, with the service time drawn for it on arrival."""

    connection: ProxyConnection
    message: Message
    command: Document
    name: str
    kind: CommandKind = CommandKind.READ
    work: float = 0.0  # service time on one core, s
    request_id: str = ""  # set by the client in the comment of the command

    @property
    def accesses_data(self) -> bool:
        """Return whether it reads or writes documents and therefore needs a core."""
        return self.name in WRITES or self.name in READS

    def writes(self) -> bool:
        """Return whether it may change data."""
        stages = self.command.get("pipeline") or [] if self.name == "aggregate" else []
        return self.name in WRITES or any(s in stage for stage in stages for s in WRITING_STAGES)
