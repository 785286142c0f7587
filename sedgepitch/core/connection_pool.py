"""The connection pool of one endpoint.

The most recently used connection is taken first, so that surplus connections stay idle and are closed. The
number of connections is bounded.

An attempt may wait for its connection longer than the routing decision stays valid: a replica's position
ages, the primary role moves, a deduplication window ends. So each attempt has a time by which it must be
sent; after that it ends as not sent.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from sedgepitch.core.pooled_connection import Connector, PoolAttempt, PooledConnection
from sedgepitch.core.types import NEVER, AttemptCallback, AttemptOutcome, Clock
from sedgepitch.routing.messages import AttemptResult

# Reasons for the end of an attempt; clients may see them.
DECIDED_TOO_LONG_AGO = "decided too long ago"
ALL_IN_USE = "all connections to the member are in use"
NO_DESCRIPTOR = "no descriptor is free"
REQUEST_TIMEOUT = "no answer to a probe"
ENDPOINT_MOVED = "the member is elsewhere"
POOL_CLOSED = "the pool is closed"


@dataclass(slots=True, frozen=True)
class PoolLimits:
    """Bounds of one pool; times in seconds."""

    max_connections: int = 64
    connect_timeout: float = 1.0
    max_idle_time: float = 60.0
    discard_timeout: float = 1.0  # wait for the reply to an abandoned attempt; 0: close at once


class ConnectionBudget(Protocol):
    """Bounds the number of descriptors used by all pools together."""

    def acquire(self) -> bool:
        """Take a descriptor; return False if none is free."""

    def release(self) -> None:
        """Return a descriptor to the budget."""


class _Unlimited:
    """A budget without a bound."""

    def acquire(self) -> bool:
        return True

    def release(self) -> None:
        pass


class ConnectionPool:
    """The connections to one endpoint; `judge` is the protocol's function that maps a reply to an outcome."""

    def __init__(
        self,
        clock: Clock,
        connector: Connector,
        judge: Callable[[PoolAttempt, Any], AttemptOutcome],
        limits: PoolLimits,
        budget: ConnectionBudget | None = None,
    ) -> None:
        """Create an empty pool; `budget` bounds it together with other pools."""
        self.clock = clock
        self.connector = connector
        self.judge = judge
        self.limits = limits
        self.budget: ConnectionBudget = budget or _Unlimited()
        self.connections: dict[PooledConnection, None] = {}  # in the order of their openings
        self.idle: list[PooledConnection] = []  # least recently used first
        self.closed = False

    # Attempts

    def send(self, payload: object, on_end: AttemptCallback, send_by: float = NEVER) -> PoolAttempt:
        """Start an attempt; `on_end` is never called before this returns.

        An attempt that cannot be sent by `send_by` ends with `AttemptResult.NOT_SENT`.
        """
        now = self.clock.now()
        attempt = PoolAttempt(payload, on_end, now, send_by)
        if now > send_by:
            return self._end_soon(attempt, AttemptResult.NOT_SENT, DECIDED_TOO_LONG_AGO)
        connection = self._take_idle(now)
        if connection is not None:
            self._assign(connection, attempt)
            connection.start()
            return attempt
        opening = next((c for c in self.connections if c.connection is None and c.attempt is None), None)
        if opening is not None:  # still being opened for an attempt that was abandoned
            self._assign(opening, attempt)
            return attempt
        if len(self.connections) >= self.limits.max_connections or self.closed:
            return self._end_soon(attempt, AttemptResult.CONNECT_FAILED, ALL_IN_USE)
        if not self.budget.acquire():
            return self._end_soon(attempt, AttemptResult.NOT_SENT, NO_DESCRIPTOR)
        connection = PooledConnection(self)
        self.connections[connection] = None
        self._assign(connection, attempt)
        connection.open()
        return attempt

    def send_with_timeout(self, payload: object, on_end: AttemptCallback, timeout: float) -> None:
        """Start an attempt that times out after `timeout` seconds.

        A reply that has arrived by then but has not been read yet still counts.
        """

        def end(outcome: AttemptOutcome) -> None:
            timer.cancel()
            on_end(outcome)

        def time_out() -> None:
            if attempt.on_end is not None:
                attempt.abandon()
                on_end(AttemptOutcome(AttemptResult.TIMEOUT, why=REQUEST_TIMEOUT))

        timer = self.clock.call_later(timeout, self.clock.after_reading, time_out)
        attempt = self.send(payload, end)

    def _end_soon(self, attempt: PoolAttempt, result: AttemptResult, why: str) -> PoolAttempt:
        self.clock.soon(attempt.end, AttemptOutcome(result, why=why))
        return attempt

    def _assign(self, connection: PooledConnection, attempt: PoolAttempt) -> None:
        connection.attempt = attempt
        attempt.assigned_to = connection

    def _take_idle(self, now: float) -> PooledConnection | None:
        """Return the most recently used idle connection that is still usable; close those that are not.

        An attempt must not be sent on a connection that has received unsolicited bytes, nor on one that the
        endpoint has closed or is about to close for idleness. The check costs one system call per use.
        """
        while self.idle:
            pooled = self.idle.pop()
            assert pooled.connection is not None
            if now - pooled.idle_since <= self.limits.max_idle_time and pooled.connection.usable():
                return pooled
            pooled.close()
        return None

    # Closing

    def close_expired(self) -> None:
        """Close connections that have been idle for longer than `max_idle_time`."""
        now = self.clock.now()
        while self.idle and now - self.idle[0].idle_since > self.limits.max_idle_time:
            self.idle.pop(0).close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.close()

    def retire(self) -> None:
        """Close each connection as soon as its attempt has ended; the endpoint has a new address.

        An attempt that waits for a connection to open would go to the old address: it ends as not sent.
        """
        self.closed = True
        self.limits = replace(self.limits, max_idle_time=-1.0)  # idle connections are closed at once
        self.close_idle()
        for connection in [c for c in self.connections if c.connection is None]:
            connection.give_up(ENDPOINT_MOVED)

    def close(self) -> None:
        """Close all connections; attempts in flight end as reset, those without a connection as not sent."""
        self.closed = True
        for pooled in list(self.connections):
            if pooled.connection is not None:
                pooled.connection.close()
            else:
                pooled.give_up(POOL_CLOSED)

    # From the connections

    def became_idle(self, connection: PooledConnection) -> None:
        """Return a connection to the idle list, and close those that have been idle for too long."""
        if connection not in self.connections:
            return
        connection.idle_since = self.clock.now()
        self.idle.append(connection)
        self.close_expired()

    def remove(self, connection: PooledConnection) -> None:
        """Remove a connection that has ended."""
        if connection in self.connections:
            self.connections.pop(connection)
            connection.forget_opening()
            self.budget.release()
        if connection in self.idle:
            self.idle.remove(connection)
