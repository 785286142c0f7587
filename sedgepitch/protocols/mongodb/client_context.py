"""State and settings that all MongoDB client connections of one listener share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import bson

from sedgepitch.core.engine import Engine
from sedgepitch.core.types import Clock
from sedgepitch.decisions.connections.client_memory import ClientMemoryBudget
from sedgepitch.decisions.connections.process_memory_shares import UNLIMITED_BYTES
from sedgepitch.decisions.cursors import CursorTable
from sedgepitch.decisions.request_classes import Classifier
from sedgepitch.protocols.common.callbacks import ignore
from sedgepitch.protocols.mongodb import codec
from sedgepitch.protocols.mongodb.command_handler import CommandHandler
from sedgepitch.protocols.mongodb.commands import Command
from sedgepitch.protocols.mongodb.cursor_handler import CursorHandler
from sedgepitch.protocols.mongodb.upstream import MongoUpstream

if TYPE_CHECKING:
    from sedgepitch.protocols.mongodb.client import ClientConnection


@dataclass
class ClientContext:
    """State and settings shared by the connections of one listener; times are in seconds.

    `group_of` returns the replica group of a command, None if its namespace belongs to no group.
    """

    engine: Engine
    upstream: MongoUpstream
    clock: Clock
    classifier: Classifier
    cursors: CursorTable
    group_of: Callable[[Command], int | None]
    answer_margin: float  # how long before the client's deadline the response is decided
    drain_grace: float
    shard_field: tuple[bytes, ...] = ()
    frame_bytes_max: int = codec.MESSAGE_BYTES_MAX
    tenant_sources: tuple[str, ...] = ()  # first with a non-empty name is used; (): no admission control
    client_sources: tuple[str, ...] = ()
    process_id: bson.ObjectId = field(default_factory=bson.ObjectId)
    connections: set[ClientConnection] = field(default_factory=set)
    accepted: int = 0
    connections_max: int = 20_000
    client_bytes_max: int = 256 * 1024 * 1024  # that all connections together hold of what clients have sent
    log_event: Callable[..., None] = ignore
    count_input_error: Callable[[str], None] = ignore

    def __post_init__(self) -> None:
        """Create the handlers that all connections share, and their budget of memory."""
        self.memory: ClientMemoryBudget[ClientConnection] = ClientMemoryBudget(
            self.client_bytes_max, UNLIMITED_BYTES
        )
        self.command_handler = CommandHandler(self)
        self.cursor_handler = CursorHandler(self)

    def memory_changed(self, connection: ClientConnection) -> None:
        """Account for what a connection buffers; if all buffer too much, close some of them."""
        now = self.clock.now()
        self.memory.update(connection, connection.buffered, now)
        if not self.memory.exceeded:
            return
        for holder in self.memory.holders(now):
            if self.memory.has_reclaimed:
                break
            if not holder.executing:
                holder.close_for_memory()
                self.memory.forget(holder)

    def has_waiting_commands(self) -> bool:
        """Return whether a client that reads its replies waits for one."""
        return any(connection.has_waiting_command() for connection in self.connections)
