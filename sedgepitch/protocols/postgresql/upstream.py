"""Upstream side of the PostgreSQL protocol: connection pools and health checks of the endpoints."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from sedgepitch.core.connection_pool import ConnectionBudget, ConnectionPool, PoolLimits
from sedgepitch.core.types import NEVER, AttemptCallback, AttemptHandle, AttemptOutcome, Clock
from sedgepitch.decisions.connections.process_memory_shares import UNLIMITED_BYTES
from sedgepitch.decisions.connections.receive_budget import ReceiveBudget
from sedgepitch.net.connecting import OutgoingConnection
from sedgepitch.net.twisted_types import Reactor
from sedgepitch.protocols.common.callbacks import ignore
from sedgepitch.protocols.postgresql.endpoint_connection import (
    ConnectionCallbacks,
    EndpointConnection,
    HealthCheckQuery,
    Payload,
    SessionNames,
)
from sedgepitch.protocols.postgresql.outcomes import malformed_outcome, outcome_of
from sedgepitch.protocols.postgresql.reply import Reply, read_load_report
from sedgepitch.routing.messages import AttemptResult, EndpointEntry, EndpointState, LoadReport
from sedgepitch.settings import translate_load_report

IDLE_CHECK_INTERVAL_S = 1.0
RECEIVE_BUDGET_EXCEEDED = "too many bytes of incomplete answers"
CONNECT_GRACE_S = 1.0  # added to the connect timeout of the pool, so that the pool times out first


@dataclass(slots=True)
class EndpointPool:
    """The address and the connection pool of one endpoint."""

    id: int
    address: tuple[str, int]
    pool: ConnectionPool
    removed_since: float = NEVER  # when the endpoint was removed from the endpoint list


class PostgresUpstream:
    """The engine's `Upstream` for the PostgreSQL protocol, with the pools of all endpoints.

    `unix_offset` is Unix time minus the clock's time, in seconds; positions are converted only here.
    `health_check_timeout` is in seconds.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        limits: PoolLimits,
        descriptors: ConnectionBudget,
        unix_offset: float,
        health_check_timeout: float,
        names: SessionNames | None = None,
        receive_budget: ReceiveBudget[EndpointConnection] | None = None,
    ) -> None:
        """Start without endpoints; `update_endpoints` creates their pools."""
        self.reactor = reactor
        self.clock = clock
        self.limits = limits
        self.descriptors = descriptors
        self.unix_offset = unix_offset
        self.health_check_timeout = health_check_timeout
        self.names = names or SessionNames()
        self.receive_budget = receive_budget or ReceiveBudget(UNLIMITED_BYTES)
        self.addresses: Mapping[int, tuple[str, int]] = {}
        self.pools: dict[int, EndpointPool] = {}
        self.on_bytes_arrived: Callable[[float], None] = ignore
        self.on_endpoint_removed: Callable[[int], None] = ignore
        self.trace: Callable[[int], Callable[..., None]] | None = None  # returns a connection's trace
        self.log_event: Callable[..., None] = ignore
        self.malformed_responses = 0
        self.unreadable_load_reports = 0
        self.clock.call_later(IDLE_CHECK_INTERVAL_S, self._close_unused)

    # Interface for the engine

    def update_endpoints(self, entries: tuple[EndpointEntry, ...], complete: bool) -> None:
        """Apply an endpoint list: create pools, change addresses and mark removed endpoints."""
        now = self.clock.now()
        for entry in entries:
            address = self.addresses.get(entry.endpoint)
            if address is not None:
                self._set_address(entry.endpoint, address)
        named = {entry.endpoint for entry in entries}
        present = {entry.endpoint for entry in entries if entry.state is not EndpointState.GONE}
        for endpoint_pool in self.pools.values():
            if endpoint_pool.id in present:
                endpoint_pool.removed_since = NEVER
            elif complete or endpoint_pool.id in named:
                endpoint_pool.removed_since = min(endpoint_pool.removed_since, now)

    def _set_address(self, endpoint: int, address: tuple[str, int]) -> None:
        endpoint_pool = self.pools.get(endpoint)
        if endpoint_pool is None:
            self.pools[endpoint] = EndpointPool(endpoint, address, self._make_pool(endpoint, address))
        elif endpoint_pool.address != address:
            endpoint_pool.pool.retire()
            endpoint_pool.address = address
            endpoint_pool.pool = self._make_pool(endpoint, address)

    def send(self, endpoint: int, payload: object, on_end: AttemptCallback, send_by: float) -> AttemptHandle:
        """Send a statement; the attempt ends as not sent if `send_by` (time of the clock) passes first."""
        pool = self.pools[endpoint].pool
        if self._descriptors_short():
            self.close_longest_idle()
        return pool.send(payload, on_end, send_by)

    def check_health(self, endpoint: int, on_end: AttemptCallback) -> None:
        """Request the load report of an endpoint."""
        endpoint_pool = self.pools.get(endpoint)
        if endpoint_pool is None:
            self.clock.soon(on_end, AttemptOutcome(AttemptResult.NOT_SENT, why="not listed any more"))
        else:
            endpoint_pool.pool.send_with_timeout(HealthCheckQuery(), on_end, self.health_check_timeout)

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint."""
        endpoint_pool = self.pools.get(endpoint)
        if endpoint_pool is not None:
            endpoint_pool.pool.close_idle()

    def close(self) -> None:
        """Close all connections."""
        for endpoint_pool in self.pools.values():
            endpoint_pool.pool.close()

    # Descriptors and idle connections

    def _descriptors_short(self) -> bool:
        return bool(getattr(self.descriptors, "endpoints_nearly_exhausted", False))

    def close_longest_idle(self) -> bool:
        """Free a descriptor by closing the longest idle connection among all endpoints.

        Returns False if no connection is idle.
        """
        idle = [endpoint_pool for endpoint_pool in self.pools.values() if endpoint_pool.pool.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda endpoint_pool: endpoint_pool.pool.idle[0].idle_since)
        oldest.pool.idle.pop(0).close()
        return True

    def _close_unused(self) -> None:
        """Close expired idle connections; remove endpoints that left the list and have no connections."""
        now = self.clock.now()
        for endpoint_pool in list(self.pools.values()):
            endpoint_pool.pool.close_expired()
            if endpoint_pool.removed_since < now:
                endpoint_pool.pool.close_idle()
                if not endpoint_pool.pool.connections:
                    del self.pools[endpoint_pool.id]
                    self.on_endpoint_removed(endpoint_pool.id)
        self.clock.call_later(IDLE_CHECK_INTERVAL_S, self._close_unused)

    # Connections and replies

    def _make_pool(self, endpoint: int, address: tuple[str, int]) -> ConnectionPool:
        def connect(
            ready: Callable[[Any], None], failed: Callable[[str], None], lost: Callable[[str], None]
        ) -> Callable[[], None]:
            callbacks = ConnectionCallbacks(
                ready, failed, lost, self.on_bytes_arrived, self._held_bytes_changed
            )
            return self._open_connection(endpoint, address, callbacks)

        return ConnectionPool(
            self.clock,
            connect,
            lambda attempt, reply: self.outcome(endpoint, attempt.payload, reply),
            self.limits,
            self.descriptors,
        )

    def _open_connection(
        self, endpoint: int, address: tuple[str, int], callbacks: ConnectionCallbacks
    ) -> Callable[[], None]:
        """Start to connect; return a function that cancels it."""
        connection = EndpointConnection(self.names, self.clock.now, callbacks)
        if self.trace is not None:
            connection.trace = self.trace(endpoint)
        opening = OutgoingConnection(lambda: connection, callbacks.failed, self.limits.connect_timeout)
        opening.open(self.reactor, address, self.limits.connect_timeout + CONNECT_GRACE_S)

        def cancel() -> None:
            if connection.transport is None:
                opening.cancel()
            else:  # connected, but start-up is incomplete: close, so that it is not reported as ready
                connection.close()

        return cancel

    def _held_bytes_changed(self, connection: EndpointConnection, held_bytes: int) -> None:
        """Keep to the receive budget: give up the reply of which most is held, if the sum is too large."""
        largest = self.receive_budget.update(connection, held_bytes)
        if largest is not None:
            largest.give_up_reply(RECEIVE_BUDGET_EXCEEDED)

    def outcome(self, endpoint: int, payload: Payload, reply: Reply) -> AttemptOutcome:
        """Return the outcome of an attempt, with the load report of the endpoint if the reply has one."""
        if reply.malformed:
            self.malformed_responses += 1
            self.log_event("endpoint.malformed_response", endpoint=endpoint, reason=reply.malformed)
            return malformed_outcome(reply)
        outcome = outcome_of(reply, self.names, self.unix_offset)
        report = reply.load_report
        if isinstance(payload, HealthCheckQuery):
            report = report or reply.row or b""
        elif outcome.result is AttemptResult.OK:
            outcome.reply = reply.value
        if report:
            outcome.report = self._load_report(report)
        return outcome

    def _load_report(self, raw: bytes) -> LoadReport | None:
        fields = read_load_report(raw)
        if not fields:
            self.unreadable_load_reports += 1
            return None
        return translate_load_report(fields, -self.unix_offset)
