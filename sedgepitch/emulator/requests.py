"""One command as an emulated server received it."""

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
    """Whether a command changes data; the values are the control socket's."""

    READ = "read"
    WRITE = "write"


@dataclass(slots=True, eq=False)
class ReceivedCommand:
    """One command, and what was drawn for it when its bytes arrived."""

    connection: ProxyConnection
    message: Message
    command: Document
    name: str
    kind: CommandKind = CommandKind.READ
    work: float = 0.0  # s of one core
    request_id: str = ""  # the client's, from the command's comment

    @property
    def accesses_data(self) -> bool:
        """Whether it reads or writes documents, and so takes a core's time."""
        return self.name in WRITES or self.name in READS

    def writes(self) -> bool:
        """Whether it may change data."""
        stages = self.command.get("pipeline") or [] if self.name == "aggregate" else []
        return self.name in WRITES or any(s in stage for stage in stages for s in WRITING_STAGES)
