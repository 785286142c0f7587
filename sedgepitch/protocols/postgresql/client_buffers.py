"""Keeps what all client connections of a listener hold within the budget of `ClientMemoryBudget`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.core import reasons
from sedgepitch.core.types import Clock
from sedgepitch.decisions.connections.client_memory import ClientMemoryBudget
from sedgepitch.net.process_memory import private_bytes
from sedgepitch.protocols.common.transports import unsent_bytes
from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.client_state import ClientState
from sedgepitch.protocols.postgresql.close_reasons import CloseReason
from sedgepitch.protocols.postgresql.statements import Statement

if TYPE_CHECKING:
    from sedgepitch.protocols.postgresql.client import ClientConnection

READ_BYTES = 64 * 1024  # of one read of a client's socket
PRESSURE_READ_BYTES = 4 * 1024  # the same, under memory pressure
SQLSTATE_CANNOT_CONNECT_NOW = "57P03"
STATEMENT_COPIES = 2  # of a pending statement: its text, and the copy that is being sent to an endpoint


def held_bytes(connection: ClientConnection) -> int:
    """Return the bytes of buffered input and unsent responses; 0 once the connection is aborted."""
    return 0 if connection.aborted else connection.reader.memory_bytes + unsent_bytes(connection.transport)


def give_back_memory(connection: ClientConnection) -> None:
    """Drop the buffered input, or abort if most of what is held are responses that are not read.

    The statements in the input are rejected when their turn comes; an incomplete one is read to its end for
    that, without being buffered.
    """
    if unsent_bytes(connection.transport) > connection.reader.memory_bytes:
        connection.abort(CloseReason.RESPONSE_NOT_READ)
    elif connection.state is ClientState.STARTUP:
        message = codec.error(SQLSTATE_CANNOT_CONNECT_NOW, reasons.OUT_OF_MEMORY, fatal=True)
        connection.end(CloseReason.OUT_OF_MEMORY, message)
    else:
        connection.reader.skip_input()
        if connection.state is ClientState.READY:
            connection.advance_soon()


class ClientBuffers:
    """Accounts for the bytes of each connection and has connections give bytes back."""

    __slots__ = ("_clock", "_connections", "budget", "reclaimed", "rejected", "under_pressure")

    def __init__(
        self, budget: ClientMemoryBudget[ClientConnection], clock: Clock, connections: set[ClientConnection]
    ) -> None:
        """Watch over `connections`, a set that its owner changes."""
        self.budget = budget
        self._clock = clock
        self._connections = connections
        self.under_pressure = False
        self.reclaimed = 0  # times that a connection had to give bytes back
        self.rejected = 0  # statements rejected for lack of memory

    # Buffered input and unsent responses

    def opened(self, connection: ClientConnection) -> None:
        """Set the size of the reads of a new connection."""
        connection.transport.bufferSize = PRESSURE_READ_BYTES if self.under_pressure else READ_BYTES

    def changed(self, connection: ClientConnection) -> None:
        """Account for what a connection holds now; if all hold too much, have some give bytes back."""
        held = held_bytes(connection)
        budget = self.budget
        if held == budget.held_by(connection):
            return
        budget.update(connection, held, self._clock.now())
        if budget.exceeded:
            self._reclaim()
        self._note_pressure()

    def closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended or is being aborted."""
        self.budget.forget(connection)
        self._note_pressure()

    def observe_process(self) -> None:
        """Adapt the budget to the memory of the process; called periodically."""
        self.budget.observe(private_bytes())
        if self.budget.exceeded:
            self._reclaim()
        self._note_pressure()

    def _reclaim(self) -> None:
        budget, now = self.budget, self._clock.now()
        for connection in self._connections:  # responses may have been sent since the last account
            budget.update(connection, held_bytes(connection), now)
        for holder in budget.holders(now):
            if budget.has_reclaimed:
                break
            self.reclaimed += 1
            give_back_memory(holder)
            budget.update(holder, held_bytes(holder), now)

    def _note_pressure(self) -> None:
        under_pressure = self.budget.under_pressure
        if under_pressure == self.under_pressure:
            return
        self.under_pressure = under_pressure
        for connection in self._connections:
            self.opened(connection)

    # Pending statements

    def admit(self, statement: Statement) -> bool:
        """Account for a statement that becomes a pending request; return False if it has to be rejected."""
        held_bytes = STATEMENT_COPIES * statement.held_bytes
        if not self.budget.admits(held_bytes):
            self.rejected += 1
            return False
        self.budget.statement_started(held_bytes)
        return True

    def statement_ended(self, statement: Statement) -> None:
        """Account for a statement that has its answer or whose client has left, and drop its text."""
        self.budget.statement_ended(STATEMENT_COPIES * statement.held_bytes)
        statement.discard_text()
        if self.under_pressure:
            self._note_pressure()
