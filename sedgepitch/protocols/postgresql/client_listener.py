"""State shared by the PostgreSQL client connections of a listener: limits, timeouts, eviction, shutdown."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from sedgepitch.core.engine import Engine
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.core.types import NEVER, Clock
from sedgepitch.decisions.connections.client_connections import ClientConnections
from sedgepitch.decisions.connections.client_memory import ClientMemoryBudget
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.decisions.connections.loop_activity import LoopActivity
from sedgepitch.decisions.connections.process_memory_shares import MemoryShares
from sedgepitch.decisions.connections.recent_request_ids import RecentRequestIds
from sedgepitch.decisions.connections.shutdown_schedule import ShutdownSchedule
from sedgepitch.net import socket_state
from sedgepitch.protocols.postgresql.answer_log import AnswerLog
from sedgepitch.protocols.postgresql.client_buffers import ClientBuffers
from sedgepitch.protocols.postgresql.close_reasons import CloseLog, CloseReason
from sedgepitch.protocols.postgresql.read_ahead import ReadAhead
from sedgepitch.protocols.postgresql.statement_handler import StatementHandler
from sedgepitch.protocols.postgresql.statements import Statement
from sedgepitch.routing.messages import Idempotency, RequestClass

if TYPE_CHECKING:
    from sedgepitch.protocols.postgresql.client import ClientConnection

UNLIMITED_MEMORY = MemoryShares()
CHECK_INTERVAL_S = 0.1  # between checks for timed-out clients
DISCONNECT_CHECK_INTERVAL_S = 0.04  # on paused sockets; no attempt may begin 0.1 s after its client has left


class ClientListener:
    """State shared by the client connections of one listener.

    `unix_offset` is Unix time minus the clock's time, in seconds.
    """

    def __init__(
        self,
        engine: Engine,
        clock: Clock,
        classes: Mapping[str, RequestClass],
        unix_offset: float,
        descriptors: DescriptorBudget,
        memory: MemoryShares = UNLIMITED_MEMORY,
    ) -> None:
        """Start without connections and schedule the periodic check."""
        self.engine = engine
        self.clock = clock
        self.classes = classes
        self.unix_offset = unix_offset
        self.descriptors = descriptors
        settings = engine.router.settings
        self.retry_after_max = settings.max_retry_after if settings.retry_after else 0.0  # s; 0: never sent
        self.statements = StatementHandler(self)
        self.connections: set[ClientConnection] = set()
        self.activity: ClientConnections[ClientConnection] = ClientConnections(descriptors.max_clients)
        self.open_request_ids: dict[bytes, ClientConnection] = {}
        self.recent_request_ids = RecentRequestIds()
        self.read_ahead = ReadAhead()
        budget: ClientMemoryBudget[ClientConnection] = ClientMemoryBudget(
            memory.client_bytes, memory.high_use_bytes
        )
        self.buffers = ClientBuffers(budget, clock, self.connections)
        self.closes = CloseLog()
        self.answers = AnswerLog()
        self.accepted = 0
        self.bad_messages = 0
        self.bad_statements = 0
        self.rejected_for_shutdown = 0  # statements read after the drain deadline
        self.disconnects_found_unread = 0  # clients found disconnected while their socket was paused
        self.disconnects_found_late = 0  # clients found disconnected when their statement was about to run
        self.close_idle_from = NEVER  # connections without a request are closed from this time on
        self.answer_by = NEVER  # no request is pending after this time, when the process ends
        self._disconnect_check_due = False
        self.loop_activity = LoopActivity(clock.now())
        clock.call_later(CHECK_INTERVAL_S, self._check_due)

    # Periodic check

    def _check_due(self) -> None:
        now = self.clock.now()
        self.loop_activity.ran(now)
        self.clock.after_reading(self._check, now)

    def _check(self, at: float) -> None:
        self.buffers.observe_process()
        for connection in self.activity.remove_timed_out(at):
            connection.time_out()
        self.clock.call_later(CHECK_INTERVAL_S, self._check_due)

    def reading_paused(self) -> None:
        """Check the paused sockets for disconnects from now on, as long as there are any."""
        if not self._disconnect_check_due:
            self._disconnect_check_due = True
            self.clock.call_later(DISCONNECT_CHECK_INTERVAL_S, self._check_paused)

    def _check_paused(self) -> None:
        self._disconnect_check_due = False
        for connection in list(self.read_ahead.paused):
            if socket_state.peer_has_closed(connection.transport):
                self.disconnects_found_unread += 1
                connection.abandon()
        if self.read_ahead.paused:
            self.reading_paused()

    # Request ids

    def request_ended(self, statement: Statement, pending: PendingRequest | None) -> None:
        """Release the id and the text of a request that was answered or whose client has left.

        If an attempt may have taken effect, its id is remembered. `pending` is None for a request that was
        answered at once, without an attempt.
        """
        self.open_request_ids.pop(statement.id, None)
        self.buffers.statement_ended(statement)
        has_effect = statement.cls.idempotency is not Idempotency.IDEMPOTENT
        if pending is not None and pending.attempt_count and has_effect:
            self.recent_request_ids.add(statement.id, self.clock.now())

    # Eviction

    def evict_for(self, new_connection: ClientConnection, now: float) -> ClientConnection:
        """Return the connection to close so that `new_connection` gets a descriptor.

        Connections with unread bytes are skipped, since closing them would lose a request. If no other
        connection can be closed, the new one itself is returned.
        """
        while (evicted := self.activity.evict(now)) is not None:
            if socket_state.is_open_and_idle(evicted.transport):
                return evicted
        return new_connection

    def free_descriptor(self) -> None:
        """Close the best candidate for eviction, if any is neither busy nor has unread bytes."""
        while (evicted := self.activity.evict(self.clock.now())) is not None:
            if socket_state.is_open_and_idle(evicted.transport):
                evicted.end(CloseReason.EVICTED)  # not aborted, as its next request may be in transit
                return

    # Graceful shutdown

    def begin_shutdown(self, schedule: ShutdownSchedule) -> None:
        """Limit the deadlines of all requests submitted from now on to the shutdown schedule."""
        self.close_idle_from = schedule.close_idle_from
        self.answer_by = schedule.drain_deadline

    def closes_idle_connections(self) -> bool:
        """Return whether `close_idle_from` has passed."""
        return self.clock.now() >= self.close_idle_from

    def rejects_statements(self) -> bool:
        """Return whether the drain deadline of a shutdown has passed: statements are no longer executed."""
        return self.clock.now() >= self.answer_by

    def has_waiting_statements(self) -> bool:
        """Return whether a client that reads its responses waits for the answer to a statement."""
        return any(connection.has_waiting_statement() for connection in self.connections)

    def close_idle_connections(self) -> None:
        """Close connections without requests in flight once `close_idle_from` has passed."""
        if not self.closes_idle_connections():
            return
        last = self.rejects_statements()
        for connection in sorted(self.connections, key=lambda each: each.number):
            connection.close_if_idle(last)
