"""One connection to an endpoint, open or being opened, and the attempt on it.

A connection carries one attempt at a time. An attempt that is abandoned before its bytes left was never sent.
One that is abandoned later leaves its connection awaiting a reply that nobody wants, so that it can be used
again, but not for long.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from sedgepitch.core.types import AttemptCallback, AttemptOutcome, TimerHandle
from sedgepitch.routing.messages import AttemptResult

if TYPE_CHECKING:
    from sedgepitch.core.connection_pool import ConnectionPool

CONNECT_TIMEOUT = "no connection in time"  # as a client may see it
CONNECTED_TOO_LATE = "the connection came too late"


class Connection(Protocol):
    """One open connection of a protocol's own kind."""

    def start(self, payload: object, done: Callable[[Any], None]) -> None:
        """Send one request; `done` gets the reply."""

    def close(self) -> None:
        """Close the connection at once."""

    def unsent(self) -> int:
        """Return how many bytes wait for the socket to take them."""

    def usable(self) -> bool:
        """Whether an idle connection is still open and has received nothing that was not asked for."""


class Connector(Protocol):
    """Opens connections; exactly one of `ready` and `failed` follows, and `lost` once after `ready`."""

    def __call__(
        self,
        ready: Callable[[Connection], None],
        failed: Callable[[str], None],
        lost: Callable[[str], None],
    ) -> Callable[[], None]:
        """Begin to open a connection; returns a function that gives up."""


class PoolAttempt:
    """One attempt in a pool: its payload, whether it left, and who waits for its outcome.

    `sent_at` is when it came to the pool, `send_by` the moment after which it does not leave any more.
    """

    __slots__ = ("connection", "has_started", "on_end", "payload", "send_by", "sent_at")

    def __init__(self, payload: object, on_end: AttemptCallback, now: float, send_by: float) -> None:
        """Make an attempt that came to the pool at `now`."""
        self.payload: Any = payload  # of the protocol's own type
        self.on_end: AttemptCallback | None = on_end
        self.sent_at = now
        self.send_by = send_by
        self.has_started = False
        self.connection: PooledConnection | None = None

    def end(self, outcome: AttemptOutcome) -> None:
        """Tell the outcome, once."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(outcome)

    def abandon(self) -> None:
        """Stop waiting for the outcome."""
        self.on_end = None
        connection = self.connection
        if connection is None or connection.attempt is not self:
            return
        if self.has_started:
            connection.discard_reply()
        else:
            connection.attempt = None  # the connection is kept for the next attempt

    def started(self) -> bool:
        """Whether any of its bytes may have left."""
        return self.has_started

    def withdraw(self) -> bool:
        """Take it back; returns whether nothing had left.

        Where its bytes wait behind a full socket, the connection is closed with them.
        """
        if not self.has_started:
            self.abandon()
            return True
        pooled = self.connection
        if pooled is not None and pooled.attempt is self:
            pooled.close_if_unsent()
        return False


class PooledConnection:
    """One connection of a pool, open or being opened."""

    __slots__ = ("_discarding", "_give_up", "_timer", "attempt", "connection", "idle_since", "pool")

    def __init__(self, pool: ConnectionPool) -> None:
        """Make a connection of `pool` that is not open yet."""
        self.pool = pool
        self.connection: Connection | None = None  # None while it is being opened
        self.attempt: PoolAttempt | None = None
        self.idle_since = 0.0
        self._give_up: Callable[[], None] | None = None  # ends the opening
        self._discarding = False  # the reply to come is wanted by nobody
        self._timer: TimerHandle | None = None

    # Opening

    def open(self) -> None:
        """Begin to connect."""
        timeout = self.pool.limits.connect_timeout
        self._timer = self.pool.clock.call_later(timeout, self._connect_timed_out)
        self._give_up = self.pool.connector(self._ready, self._failed, self._lost)

    def _connect_timed_out(self) -> None:
        """Judge the opening only after reading: the server's greeting may lie unread."""
        self._timer = None
        self.pool.clock.after_reading(self._fail_if_not_connected)

    def _fail_if_not_connected(self) -> None:
        if self.connection is not None or self not in self.pool.connections:
            return
        if self._give_up is not None:
            self._give_up()
        self._failed(CONNECT_TIMEOUT)

    def _ready(self, connection: Connection) -> None:
        """Connected: send what waits for it if its decision is still good, else become idle."""
        if self not in self.pool.connections:  # given up meanwhile: nobody would own it
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
        """No connection came about."""
        attempt = self._leave_pool()
        if attempt is not None:
            attempt.end(AttemptOutcome(AttemptResult.CONNECT_FAILED, why=why))

    def give_up(self, why: str) -> None:
        """Stop connecting; what waits for the connection has not been sent."""
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
        """Take the reply; the connection is idle before anyone hears of it."""
        self._cancel_timer()
        attempt, self.attempt = self.attempt, None
        discarding, self._discarding = self._discarding, False
        self.pool.became_idle(self)
        if attempt is not None and not discarding:
            attempt.end(self.pool.judge(attempt, reply))

    def _lost(self, why: str) -> None:
        """The connection was closed, by the endpoint or by this side.

        Bytes that still waited in this process have not left: no endpoint can have read the whole request.
        """
        attempt = self._leave_pool()
        if attempt is not None and not self._discarding:
            unsent = self.connection is not None and self.connection.unsent() > 0
            result = AttemptResult.CONNECT_FAILED if unsent else AttemptResult.RESET
            attempt.end(AttemptOutcome(result, why=why))

    def discard_reply(self) -> None:
        """Await the reply for a moment only to use the connection again, then close."""
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
        """Close the connection where bytes wait for its socket."""
        if self.connection is not None and self.connection.unsent():
            self.connection.close()

    def _leave_pool(self) -> PoolAttempt | None:
        """Leave the pool; returns the attempt that was on the connection."""
        self._cancel_timer()
        attempt, self.attempt = self.attempt, None
        self.pool.remove(self)
        return attempt

    def forget_opening(self) -> None:
        """Drop the function that ends the opening: it is over."""
        self._give_up = None

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
