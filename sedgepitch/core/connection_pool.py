"""The connections to one endpoint: which carries an attempt, when one is opened and when closed.

The connection that was used last goes first, so that those not needed become idle and are closed. The number
of connections is bounded.

An attempt may wait for its connection longer than its decision is good for: a replica's position ages, a
role passes on, a deduplication window ends. So each carries the moment by which it must leave, and ends as
not sent after that.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from sedgepitch.core.pooled_connection import Connector, PoolAttempt, PooledConnection
from sedgepitch.core.types import NEVER, AttemptCallback, AttemptOutcome, Clock
from sedgepitch.routing.messages import AttemptResult

# Why an attempt ended, as a client may see it.
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
    discard_timeout: float = 1.0  # wait for a reply that nobody wants; 0 closes the connection at once


class ConnectionBudget(Protocol):
    """Bounds the descriptors of all pools together."""

    def acquire(self) -> bool:
        """Take a descriptor; False where none is free."""

    def release(self) -> None:
        """Give one back."""


class _Unlimited:
    """A budget without a bound."""

    def acquire(self) -> bool:
        return True

    def release(self) -> None:
        pass


class ConnectionPool:
    """The connections to one endpoint. `judge` turns a reply into an outcome; it belongs to the protocol."""

    def __init__(
        self,
        clock: Clock,
        connector: Connector,
        judge: Callable[[PoolAttempt, Any], AttemptOutcome],
        limits: PoolLimits,
        budget: ConnectionBudget | None = None,
    ) -> None:
        """Make an empty pool; `budget` bounds it together with other pools."""
        self.clock = clock
        self.connector = connector
        self.judge = judge
        self.limits = limits
        self.budget: ConnectionBudget = budget or _Unlimited()
        self.connections: set[PooledConnection] = set()
        self.idle: list[PooledConnection] = []  # least recently used first
        self.closed = False

    # Attempts

    def send(self, payload: object, on_end: AttemptCallback, send_by: float = NEVER) -> PoolAttempt:
        """Start an attempt; `on_end` is never called before this returns.

        What cannot leave by `send_by` ends with `AttemptResult.NOT_SENT`.
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
        if opening is not None:  # its attempt was abandoned
            self._assign(opening, attempt)
            return attempt
        if len(self.connections) >= self.limits.max_connections or self.closed:
            return self._end_soon(attempt, AttemptResult.CONNECT_FAILED, ALL_IN_USE)
        if not self.budget.acquire():
            return self._end_soon(attempt, AttemptResult.NOT_SENT, NO_DESCRIPTOR)
        connection = PooledConnection(self)
        self.connections.add(connection)
        self._assign(connection, attempt)
        connection.open()
        return attempt

    def send_with_timeout(self, payload: object, on_end: AttemptCallback, timeout: float) -> None:
        """Start an attempt that times out after so many seconds, unless its reply lies unread then."""

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
        """Return the connection used last that is still good; those that are not are closed.

        An attempt must not be written behind bytes that nobody asked for, nor onto a connection that the
        endpoint has closed or will close meanwhile. The check costs a system call for each use.
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
        """Close what has been idle for too long."""
        now = self.clock.now()
        while self.idle and now - self.idle[0].idle_since > self.limits.max_idle_time:
            self.idle.pop(0).close()

    def close_idle(self) -> None:
        """Close what is not in use."""
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.close()

    def retire(self) -> None:
        """Close each connection as soon as its attempt has ended; the endpoint has another address now.

        What waits for a connection to open would go to the old address: it ends as not sent.
        """
        self.closed = True
        self.limits = replace(self.limits, max_idle_time=-1.0)  # what becomes idle is closed at once
        self.close_idle()
        for connection in [c for c in self.connections if c.connection is None]:
            connection.give_up(ENDPOINT_MOVED)

    def close(self) -> None:
        """Close everything; attempts in flight end as reset."""
        self.closed = True
        for pooled in list(self.connections):
            if pooled.connection is not None:
                pooled.connection.close()
            else:
                pooled.give_up(POOL_CLOSED)

    # From the connections

    def became_idle(self, connection: PooledConnection) -> None:
        """Keep a connection that is free; those unused for too long are closed now."""
        if connection not in self.connections:
            return
        connection.idle_since = self.clock.now()
        self.idle.append(connection)
        self.close_expired()

    def remove(self, connection: PooledConnection) -> None:
        """Forget a connection that has ended."""
        if connection in self.connections:
            self.connections.discard(connection)
            connection.forget_opening()
            self.budget.release()
        if connection in self.idle:
            self.idle.remove(connection)
