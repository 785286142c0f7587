"""Connections to one member: which one carries an attempt, when one is opened, what is left behind.

One exchange at a time a connection. The one used last goes first, so that those not needed fall idle and are
closed, and a bounded number is open. An exchange given up on before its bytes left was never sent; one given
up on later leaves its connection waiting for the answer, so that it can be used again, but not for long.

An exchange may wait for its connection longer than the decision behind it is good for: the position that
qualified a replica ages meanwhile, a role passes on, a window in which repeats are dropped ends. So each
carries the time by which it must leave, and is given back as not sent after that.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from sedgepitch.core.types import AttemptCallback, AttemptOutcome, Clock
from sedgepitch.routing.messages import AttemptResult

NEVER = float("inf")
LINGER = 1.0  # s that an answer nobody waits for is waited for, before its connection is closed


@dataclass(slots=True, frozen=True)
class PoolLimits:
    """Bounds of one pool; times in seconds."""

    most: int = 64
    connect_within: float = 1.0
    idle_for: float = 60.0
    linger: float = LINGER  # 0 where giving up means to close


class Connection(Protocol):
    """One open connection of a front's own kind."""

    def start(self, payload: Any, done: Callable[[Any], None]) -> None:
        """Send one request; `done` gets the reply."""

    def close(self) -> None:
        """End the connection at once."""

    def unsent(self) -> int:
        """How many bytes wait for the socket to take them."""

    def usable(self) -> bool:
        """Whether an idle connection still is what it was: open, with nothing come that nobody asked for."""


class Room(Protocol):
    """Who may say that there is no descriptor for one more connection."""

    def acquire(self) -> bool:
        """Take one; False where there is none."""

    def release(self) -> None:
        """Give one back."""


class _Boundless:
    def acquire(self) -> bool:
        return True

    def release(self) -> None:
        pass


class Connector(Protocol):
    """Opens connections; exactly one of the two callbacks follows, and `lost` once after `ready`."""

    def __call__(
        self,
        ready: Callable[[Connection], None],
        failed: Callable[[str], None],
        lost: Callable[[str], None],
    ) -> Callable[[], None]:
        """Begin to open one; what is returned gives it up."""


class _Lane:
    """One connection, open or being opened, and the exchange on it."""

    __slots__ = ("connection", "exchange", "give_up", "idle_since", "lingering", "pool", "timer")

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.connection: Connection | None = None
        self.exchange: _Exchange | None = None
        self.give_up: Callable[[], None] | None = None
        self.idle_since = 0.0
        self.lingering = False
        self.timer: Any = None

    def open(self) -> None:
        """Begin to connect."""
        limits = self.pool.limits
        self.timer = self.pool.clock.call_later(limits.connect_within, self.too_long)
        self.give_up = self.pool.connector(self.ready, self.failed, self.lost)

    def too_long(self) -> None:
        """Connecting took too long, unless its greeting lies unread."""
        self.timer = None
        self.pool.clock.after_reading(self._no_connection)

    def _no_connection(self) -> None:
        if self.connection is not None or self not in self.pool.lanes:
            return
        if self.give_up is not None:
            self.give_up()
        self.failed("no connection in time")

    def quiet(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def ready(self, connection: Connection) -> None:
        """Connected: begin what waits for it, or fall idle."""
        if self not in self.pool.lanes:  # given up meanwhile: nobody would own it
            connection.close()
            return
        self.quiet()
        self.connection = connection
        exchange = self.exchange
        if exchange is not None and self.pool.clock.now() <= exchange.by:
            self.begin()
            return
        self.exchange = None
        self.pool.rest(self)
        if exchange is not None:
            exchange.end(AttemptOutcome(AttemptResult.NOT_SENT, why="the connection came too late"))

    def begin(self) -> None:
        """Send the exchange's payload."""
        exchange = self.exchange
        assert exchange is not None and self.connection is not None
        exchange.sent = True
        self.connection.start(exchange.payload, self.done)

    def done(self, reply: Any) -> None:
        """The reply is there; nobody may want it any more."""
        self.quiet()
        exchange, self.exchange = self.exchange, None
        was_lingering, self.lingering = self.lingering, False
        self.pool.rest(self)
        if exchange is not None and not was_lingering:
            exchange.end(self.pool.judge(exchange, reply))

    def give_back(self, why: str) -> None:
        """Stop connecting; what waits for the connection has not been sent."""
        self.quiet()
        give_up, self.give_up = self.give_up, None
        exchange, self.exchange = self.exchange, None
        self.pool.drop(self)
        if give_up is not None:
            give_up()
        if exchange is not None:
            exchange.end(AttemptOutcome(AttemptResult.NOT_SENT, why=why))

    def failed(self, why: str) -> None:
        """No connection came about."""
        self.quiet()
        exchange, self.exchange = self.exchange, None
        self.pool.drop(self)
        if exchange is not None:
            exchange.end(AttemptOutcome(AttemptResult.CONNECT_FAILED, why=why))

    def lost(self, why: str) -> None:
        """The connection ended by the other side, or by ours."""
        self.quiet()
        exchange, self.exchange = self.exchange, None
        self.pool.drop(self)
        if exchange is not None and not self.lingering:
            # What stands in this process has not left: no member can have read the request whole.
            unsent = self.connection is not None and self.connection.unsent() > 0
            exchange.end(
                AttemptOutcome(AttemptResult.CONNECT_FAILED if unsent else AttemptResult.RESET, why=why)
            )

    def linger(self) -> None:
        """Nobody waits any more: wait a little for the answer, then close."""
        self.lingering = True
        if self.pool.limits.linger > 0.0:
            self.timer = self.pool.clock.call_later(self.pool.limits.linger, self.close)
        else:
            self.close()

    def close(self) -> None:
        """End the connection."""
        self.timer = None
        if self.connection is not None:
            self.connection.close()


class _Exchange:
    """One attempt: its payload, whether it left, and whoever waits for its end."""

    __slots__ = ("by", "lane", "on_end", "payload", "sent", "sent_at")

    def __init__(self, payload: Any, on_end: AttemptCallback, now: float, by: float) -> None:
        self.payload, self.sent, self.sent_at, self.by = payload, False, now, by
        self.on_end: AttemptCallback | None = on_end
        self.lane: _Lane | None = None

    def end(self, how: AttemptOutcome) -> None:
        """Tell the end, once."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(how)

    def abandon(self) -> None:
        """Stop waiting."""
        self.on_end = None
        lane = self.lane
        if lane is None or lane.exchange is not self:
            return
        if self.sent:
            lane.linger()
        else:
            lane.exchange = None  # it never left; the connection is kept for the next

    def begun(self) -> bool:
        """Whether any of it may have left."""
        return self.sent

    def withdraw(self) -> bool:
        """Take it back; where its bytes wait behind a full socket, the connection ends with them."""
        if not self.sent:
            self.abandon()
            return True
        lane = self.lane
        if lane is not None and lane.exchange is self and lane.connection is not None:
            if lane.connection.unsent():
                lane.connection.close()
        return False


class ConnectionPool:
    """The connections to one member. `judge` turns a reply into an end; it belongs to the front."""

    def __init__(
        self,
        clock: Clock,
        connector: Connector,
        judge: Callable[[_Exchange, Any], AttemptOutcome],
        limits: PoolLimits,
        room: Room | None = None,
    ) -> None:
        self.clock, self.connector, self.judge, self.limits = clock, connector, judge, limits
        self.room: Room = room or _Boundless()
        self.lanes: set[_Lane] = set()
        self.idle: list[_Lane] = []  # least lately used first
        self.closed = False

    def send(self, payload: Any, on_end: AttemptCallback, by: float = NEVER) -> _Exchange:
        """Start an exchange; its end is never told before this returns. What cannot leave `by` then ends.

        That end is `Result.NOT_SENT`.
        """
        now = self.clock.now()
        exchange = _Exchange(payload, on_end, now, by)
        if now > by:
            self.clock.soon(exchange.end, AttemptOutcome(AttemptResult.NOT_SENT, why="decided too long ago"))
            return exchange
        lane = self._idle_lane(now)
        if lane is not None:
            self._hand(lane, exchange)
            lane.begin()
            return exchange
        opening = next((x for x in self.lanes if x.connection is None and x.exchange is None), None)
        if opening is not None:  # one is being opened that nobody waits for any more
            self._hand(opening, exchange)
        elif len(self.lanes) >= self.limits.most or self.closed:
            end = AttemptOutcome(AttemptResult.CONNECT_FAILED, why="all connections to the member are in use")
            self.clock.soon(exchange.end, end)
        elif not self.room.acquire():
            self.clock.soon(exchange.end, AttemptOutcome(AttemptResult.NOT_SENT, why="no descriptor is free"))
        else:
            lane = _Lane(self)
            self.lanes.add(lane)
            self._hand(lane, exchange)
            lane.open()
        return exchange

    def ask(self, payload: Any, on_end: AttemptCallback, within: float) -> None:
        """A question whose answer is wanted within so many seconds, else it is given up as timed out."""

        def over(end: AttemptOutcome) -> None:
            timer.cancel()
            on_end(end)

        def too_long() -> None:
            if exchange.on_end is not None:  # its answer may have lain unread
                exchange.abandon()
                on_end(AttemptOutcome(AttemptResult.TIMEOUT, why="no answer to a probe"))

        timer = self.clock.call_later(within, self.clock.after_reading, too_long)
        exchange = self.send(payload, over)

    def _idle_lane(self, now: float) -> _Lane | None:
        """The connection used last that is still good; those that are not are closed.

        Guards against a request written where its answer is already wrong: behind bytes that nobody asked
        for, or onto a connection that the member has closed or will close while the request is under way.
        May hurt: one more system call for each use of a connection.
        """
        while self.idle:
            lane = self.idle.pop()
            assert lane.connection is not None
            if now - lane.idle_since <= self.limits.idle_for and lane.connection.usable():
                return lane
            lane.close()
        return None

    def tidy(self) -> None:
        """Close what has been idle for too long; for owners whose members may not be used for long."""
        now = self.clock.now()
        while self.idle and now - self.idle[0].idle_since > self.limits.idle_for:
            self.idle.pop(0).close()

    def close_idle(self) -> None:
        """Close what is not in use."""
        idle, self.idle = self.idle, []
        for lane in idle:
            lane.close()

    def retire(self) -> None:
        """Close as soon as what is under way has ended; nothing more is sent.

        What waits for a connection to open would go to where the member no longer is: it ends as not sent.
        """
        self.closed = True
        self.limits = replace(self.limits, idle_for=-1.0)  # whatever falls idle goes at once
        self.close_idle()
        for lane in [x for x in self.lanes if x.connection is None]:
            lane.give_back("the member is elsewhere")

    def close(self) -> None:
        """Close everything; exchanges under way end as reset."""
        self.closed = True
        for lane in list(self.lanes):
            if lane.connection is not None:
                lane.connection.close()
            else:
                lane.give_back("the pool is closed")

    def rest(self, lane: _Lane) -> None:
        """Keep a connection that is free; those unused for too long go now."""
        if lane not in self.lanes:
            return
        now = self.clock.now()
        lane.idle_since = now
        self.idle.append(lane)
        self.tidy()

    def drop(self, lane: _Lane) -> None:
        """Forget a connection that has ended."""
        if lane in self.lanes:
            self.lanes.discard(lane)
            lane.give_up = None
            self.room.release()
        if lane in self.idle:
            self.idle.remove(lane)

    def _hand(self, lane: _Lane, exchange: _Exchange) -> None:
        lane.exchange, exchange.lane = exchange, lane
