"""The daemon's clock: monotonic seconds, timers, and what is done once this turn's input has been read."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any


class ReactorClock:
    """Monotonic time beside a reactor's timers (a reactor's own seconds are wall time).

    On an asyncio loop its own timers are used: a reactor's delayed calls are kept in a heap of their own and
    armed anew for each change, which costs more than the module's decision where events come one by one.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.loop = getattr(reactor, "_asyncioEventloop", None)
        self.now = time.monotonic

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> Any:
        """Call after that many seconds; what is returned can be cancelled, also when it is past."""
        if self.loop is not None:
            return self.loop.call_later(max(0.0, delay), call, *args)
        return _Delayed(self.reactor.callLater(max(0.0, delay), call, *args))

    def soon(self, call: Callable[..., object], *args: object) -> None:
        """Call once all that is readable in this turn has been read."""
        if self.loop is not None:
            self.loop.call_soon(call, *args)
        else:
            self.reactor.callLater(0.0, call, *args)

    def after_reading(self, call: Callable[..., object], *args: object) -> None:
        """From a timer: call once all that lies unread now has been read.

        uvloop runs what a timer asks to be called soon before it looks at the sockets again, so what came in
        a long turn would lie unread; what is asked for from there comes after that look.
        """
        self.soon(self.soon, call, *args)


class FakeClock:
    """A clock for tests, on ``twisted.internet.task.Clock``."""

    def __init__(self, task_clock: Any) -> None:
        self.clock = task_clock

    def now(self) -> float:
        """Return the fake time."""
        return float(self.clock.seconds())

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> Any:
        """Call after that much fake time."""
        return _Delayed(self.clock.callLater(max(0.0, delay), call, *args))

    def soon(self, call: Callable[..., object], *args: object) -> None:
        """Call in the next turn."""
        self.clock.callLater(0.0, call, *args)

    def after_reading(self, call: Callable[..., object], *args: object) -> None:
        """Call in the turn after the next one."""
        self.soon(self.soon, call, *args)


class _Delayed:
    """A reactor's delayed call that may be cancelled whenever, as a loop's may."""

    __slots__ = ("call",)

    def __init__(self, call: Any) -> None:
        self.call = call

    def cancel(self) -> None:
        """Cancel it if it is still to come."""
        if self.call.active():
            self.call.cancel()


def unix_ahead(
    wall: Callable[[], float] = time.time, monotonic: Callable[[], float] = time.monotonic, tries: int = 5
) -> float:
    """What Unix time is ahead of the monotonic clock, in seconds: at most too much, never too little.

    A process that is kept from running between the two looks would take every replica for fresher than it
    is, by as long as it stood, as long as it lives. So the look counts that took the least time.
    """
    least, ahead = float("inf"), 0.0
    for _ in range(tries):
        before = monotonic()
        unix = wall()
        took = monotonic() - before
        if took < least:
            least, ahead = took, unix - before
    return ahead
