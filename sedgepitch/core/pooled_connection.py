"""One connection to an endpoint, open or being opened, and the attempt on it.

A connection carries one attempt at a time. An attempt that is abandoned before its bytes were sent counts as
never sent. If it is abandoned later, its connection waits a limited time for the reply and discards it, so
that the connection can be reused.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from sedgepitch.core.types import AttemptCallback, AttemptOutcome, TimerHandle
from sedgepitch.routing.messages import AttemptResult

if TYPE_CHECKING:
    from sedgepitch.core.connection_pool import ConnectionPool

CONNECT_TIMEOUT = "no connection in time"  # clients may see both reasons
CONNECTED_TOO_LATE = "the connection came too late"


class Connection(Protocol):
    """One open connection, as implemented by a protocol."""

    def start(self, payload: object, done: Callable[[Any], None]) -> None:
        """Send one request; `done` is called with the reply."""

    def close(self) -> None:
        """Close the connection at once."""

    def unsent(self) -> int:
        """Return the number of bytes that the socket has not accepted yet."""

    def usable(self) -> bool:
        """Return whether an idle connection is still open and has received no unsolicited bytes."""


class Connector(Protocol):
    """Opens connections; calls exactly one of `ready` and `failed`, and `lost` once after `ready`."""

    def __call__(
        self,
        ready: Callable[[Connection], None],
        failed: Callable[[str], None],
        lost: Callable[[str], None],
    ) -> Callable[[], None]:
        """Start to open a connection; return a function that cancels the opening."""


class PoolAttempt:
    """One attempt in a pool: its payload, whether it was sent, and the callback for its outcome.

    `sent_at` is when the attempt was passed to the pool, `send_by` the time after which it is no longer sent.
    """

    __slots__ = ("assigned_to", "has_started", "on_end", "payload", "send_by", "sent_at")

    def __init__(self, payload: object, on_end: AttemptCallback, now: float, send_by: float) -> None:
        """Create an attempt that was passed to the pool at `now`."""
        self.payload: Any = payload  # its type belongs to the protocol
        self.on_end: AttemptCallback | None = on_end
        self.sent_at = now
        self.send_by = send_by
        self.has_started = False
        self.assigned_to: PooledConnection | None = None

    def end(self, outcome: AttemptOutcome) -> None:
        """Report the outcome, at most once."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(outcome)

    def abandon(self) -> None:
        """Stop waiting for the outcome."""
        self.on_end = None
        connection = self.assigned_to
        if connection is None or connection.attempt is not self:
            return
        if self.has_started:
            connection.discard_reply()
        else:
            connection.attempt = None  # the connection is kept for the next attempt

    def started(self) -> bool:
        """Return whether any of its bytes may have been sent."""
        return self.has_started

    def withdraw(self) -> bool:
        """Withdraw the attempt; return whether nothing had been sent.

        If some of its bytes are queued behind a full socket, the connection is closed to discard them.
        """
        if not self.has_started:
            self.abandon()
            return True
        connection = self.assigned_to
        if connection is not None and connection.attempt is self:
            connection.close_if_unsent()
        return False


class PooledConnection:
    """One connection of a pool, open or being opened."""

    __slots__ = ("_discarding", "_give_up", "_timer", "attempt", "connection", "idle_since", "pool")

    def __init__(self, pool: ConnectionPool) -> None:
        """Create a connection of `pool` that is not open yet."""
        self.pool = pool
        self.connection: Connection | None = None  # None while it is being opened
        self.attempt: PoolAttempt | None = None
        self.idle_since = 0.0
        self._give_up: Callable[[], None] | None = None  # cancels the opening
        self._discarding = False  # the next reply belongs to an abandoned attempt
        self._timer: TimerHandle | None = None

    # Opening

    def open(self) -> None:
        """Start to connect."""
        timeout = self.pool.limits.connect_timeout
        self._timer = self.pool.clock.call_later(timeout, self._connect_timed_out)
        self._give_up = self.pool.connector(self._ready, self._failed, self._lost)

    def _connect_timed_out(self) -> None:
        """Check the opening only after reading: the server's greeting may have arrived unread."""
        self._timer = None
        self.pool.clock.after_reading(self._fail_if_not_connected)

    def _fail_if_not_connected(self) -> None:
        if self.connection is not None or self not in self.pool.connections:
            return
        if self._give_up is not None:
            self._give_up()
        self._failed(CONNECT_TIMEOUT)

    def _ready(self, connection: Connection) -> None:
        """Handle a completed opening: send the waiting attempt if its time allows, else become idle."""
        if self not in self.pool.connections:  # the opening was cancelled meanwhile
            connection.close()
            return
        self._cancel_timer()
        self.connection = connection
        attempt = self.attempt
        if attempt is not None and self.pool.clock.now() <= attempt.send_by:
            self.start()
            return
        self.attempt = None
        self.pool.became_idle(self)
        if attempt is not None:
            attempt.end(AttemptOutcome(AttemptResult.NOT_SENT, why=CONNECTED_TOO_LATE))

    def _failed(self, why: str) -> None:
        """Handle a failed opening."""
        attempt = self._leave_pool()
        if attempt is not None:
            attempt.end(AttemptOutcome(AttemptResult.CONNECT_FAILED, why=why))

    def give_up(self, why: str) -> None:
        """Stop connecting; the attempt that waits for the connection ends as not sent."""
        give_up, self._give_up = self._give_up, None
        attempt = self._leave_pool()
        if give_up is not None:
            give_up()
        if attempt is not None:
            attempt.end(AttemptOutcome(AttemptResult.NOT_SENT, why=why))

    # In use

    def start(self) -> None:
        """Send the payload of the attempt."""
        attempt = self.attempt
        assert attempt is not None and self.connection is not None
        attempt.has_started = True
        self.connection.start(attempt.payload, self._done)

    def _done(self, reply: object) -> None:
        """Process the reply; the connection becomes idle before the outcome is reported."""
        self._cancel_timer()
        attempt, self.attempt = self.attempt, None
        discarding, self._discarding = self._discarding, False
        self.pool.became_idle(self)
        if attempt is not None and not discarding:
            attempt.end(self.pool.judge(attempt, reply))

    def _lost(self, why: str) -> None:
        """Handle the closing of the connection by either side.

        If bytes were still queued in this process, the endpoint cannot have read the whole request.
        """
        attempt = self._leave_pool()
        connection, self.connection = self.connection, None  # each refers to the other
        if attempt is not None and not self._discarding:
            unsent = connection is not None and connection.unsent() > 0
            result = AttemptResult.CONNECT_FAILED if unsent else AttemptResult.RESET
            attempt.end(AttemptOutcome(result, why=why))

    def discard_reply(self) -> None:
        """Wait for the reply until the discard timeout, to reuse the connection; after that, close it."""
        self._discarding = True
        timeout = self.pool.limits.discard_timeout
        if timeout > 0.0:
            self._timer = self.pool.clock.call_later(timeout, self.close)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._timer = None
        if self.connection is not None:
            self.connection.close()

    def close_if_unsent(self) -> None:
        """Close the connection if bytes are queued for its socket."""
        if self.connection is not None and self.connection.unsent():
            self.connection.close()

    def _leave_pool(self) -> PoolAttempt | None:
        """Leave the pool; return the attempt that was on the connection."""
        self._cancel_timer()
        attempt, self.attempt = self.attempt, None
        self.pool.remove(self)
        return attempt

    def forget_opening(self) -> None:
        """Drop the function that cancels the opening, since the opening has ended."""
        self._give_up = None

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
