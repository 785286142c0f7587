"""The process clock: monotonic time, timers, and calls deferred until pending input has been read."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio

    from sedgepitch.core.types import TimerHandle

OFFSET_SAMPLES = 5


class DelayedCall(Protocol):
    """A Twisted delayed call."""

    def active(self) -> bool:
        """Return whether the call is still scheduled."""

    def cancel(self) -> object:
        """Cancel the call; raises if it has run or has been cancelled."""


class Reactor(Protocol):
    """The part of a Twisted reactor that a clock uses."""

    def callLater(self, delay: float, call: Callable[..., object], *args: object) -> DelayedCall:  # noqa: N802
        """Call after `delay` seconds."""


class TaskClock(Reactor, Protocol):
    """The part of a `twisted.internet.task.Clock` that a clock uses."""

    def seconds(self) -> float:
        """Return the fake time."""


class ReactorClock:
    """Monotonic time with a reactor's timers; the reactor's own `seconds()` is wall time.

    On an asyncio loop, the loop's timers are used directly: the reactor keeps its delayed calls in a heap of
    its own and re-arms one timer at each change, which costs more than a routing decision when events arrive
    one at a time.
    """

    def __init__(self, reactor: Reactor) -> None:
        """Use the timers of `reactor`, or of its asyncio loop if it has one."""
        self.reactor = reactor
        self.loop: asyncio.AbstractEventLoop | None = getattr(reactor, "_asyncioEventloop", None)
        self.now = time.monotonic

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> TimerHandle:
        """Call after `delay` seconds; cancelling the handle after the call has run does nothing."""
        if self.loop is not None:
            return self.loop.call_later(max(0.0, delay), call, *args)
        return _CancellableCall(self.reactor.callLater(max(0.0, delay), call, *args))

    def soon(self, call: Callable[..., object], *args: object) -> None:
        """Call once everything readable in this event loop turn has been read."""
        if self.loop is not None:
            self.loop.call_soon(call, *args)
        else:
            self.reactor.callLater(0.0, call, *args)

    def after_reading(self, call: Callable[..., object], *args: object) -> None:
        """From a timer: call once all data that is unread now has been read.

        uvloop runs a `call_soon` made in a timer before it polls the sockets again, so data that arrived
        during a long turn would still be unread; a second `call_soon`, made from the first, runs after the
        poll.
        """
        self.soon(self.soon, call, *args)


class FakeClock:
    """A clock for tests, based on `twisted.internet.task.Clock`."""

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
        """Call in the next event loop turn."""
        self.clock.callLater(0.0, call, *args)

    def after_reading(self, call: Callable[..., object], *args: object) -> None:
        """Call in the turn after the next one."""
        self.soon(self.soon, call, *args)


class _CancellableCall:
    """A delayed call that may be cancelled at any time, like an asyncio timer handle."""

    __slots__ = ("call",)

    def __init__(self, call: DelayedCall) -> None:
        self.call = call

    def cancel(self) -> None:
        """Cancel the call if it is still scheduled."""
        if self.call.active():
            self.call.cancel()


def unix_offset(
    wall: Callable[[], float] = time.time,
    monotonic: Callable[[], float] = time.monotonic,
    samples: int = OFFSET_SAMPLES,
) -> float:
    """Return Unix time minus monotonic time, in seconds; the result may be too large, never too small.

    An offset that is too small would make replicas look fresher than they are, so the monotonic clock is read
    first. A suspension between the two reads makes the offset too large by its length, and replicas look
    staler for the rest of the run. So of several samples, the one that took the least time is used.
    """
    shortest = float("inf")
    offset = 0.0
    for _ in range(samples):
        before = monotonic()
        unix = wall()
        duration = monotonic() - before
        if duration < shortest:
            shortest = duration
            offset = unix - before
    return offset
