"""The clock of a process: monotonic seconds, timers, and calls once this turn's input has been read."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio

    from sedgepitch.core.types import TimerHandle

OFFSET_SAMPLES = 5


class DelayedCall(Protocol):
    """A delayed call of Twisted."""

    def active(self) -> bool:
        """Whether the call is still to come."""

    def cancel(self) -> object:
        """Cancel it; raises where it is past."""


class Reactor(Protocol):
    """What a clock needs of a Twisted reactor."""

    def callLater(self, delay: float, call: Callable[..., object], *args: object) -> DelayedCall:  # noqa: N802
        """Call after `delay` seconds."""


class TaskClock(Reactor, Protocol):
    """What a clock needs of a `twisted.internet.task.Clock`."""

    def seconds(self) -> float:
        """Return the fake time."""


class ReactorClock:
    """Monotonic time beside a reactor's timers; a reactor's own seconds are wall time.

    On an asyncio loop its own timers are used: a reactor keeps its delayed calls in a heap of its own and
    re-arms one timer at each change, which costs more than the router's decision where events come singly.
    """

    def __init__(self, reactor: Reactor) -> None:
        """Use the timers of `reactor`, or of its asyncio loop where it has one."""
        self.reactor = reactor
        self.loop: asyncio.AbstractEventLoop | None = getattr(reactor, "_asyncioEventloop", None)
        self.now = time.monotonic

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> TimerHandle:
        """Call after `delay` seconds; the handle can be cancelled also when it is past."""
        if self.loop is not None:
            return self.loop.call_later(max(0.0, delay), call, *args)
        return _CancellableCall(self.reactor.callLater(max(0.0, delay), call, *args))

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
    """A clock for tests, on `twisted.internet.task.Clock`."""

    def __init__(self, task_clock: TaskClock) -> None:
        """Use the time of a `twisted.internet.task.Clock`."""
        self.clock = task_clock

    def now(self) -> float:
        """Return the fake time."""
        return float(self.clock.seconds())

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> TimerHandle:
        """Call after `delay` seconds of fake time."""
        return _CancellableCall(self.clock.callLater(max(0.0, delay), call, *args))

    def soon(self, call: Callable[..., object], *args: object) -> None:
        """Call in the next turn."""
        self.clock.callLater(0.0, call, *args)

    def after_reading(self, call: Callable[..., object], *args: object) -> None:
        """Call in the turn after the next one."""
        self.soon(self.soon, call, *args)


class _CancellableCall:
    """A delayed call that may be cancelled at any time, as that of an asyncio loop may."""

    __slots__ = ("call",)

    def __init__(self, call: DelayedCall) -> None:
        self.call = call

    def cancel(self) -> None:
        """Cancel it if it is still to come."""
        if self.call.active():
            self.call.cancel()


def unix_offset(
    wall: Callable[[], float] = time.time,
    monotonic: Callable[[], float] = time.monotonic,
    samples: int = OFFSET_SAMPLES,
) -> float:
    """Return Unix time less monotonic time, in seconds: at most too much, never too little.

    A process that is suspended between the two reads would take every replica for fresher than it is, by as
    long as it was suspended, for as long as it runs. So the sample counts that took the least time.
    """
    least = float("inf")
    offset = 0.0
    for _ in range(samples):
        before = monotonic()
        unix = wall()
        took = monotonic() - before
        if took < least:
            least = took
            offset = unix - before
    return offset
