"""The daemon's clock: monotonic seconds, and the reactor's timers."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any


class ReactorClock:
    """Monotonic time beside a reactor's timers (a reactor's own seconds are wall time)."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.now = time.monotonic

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> Any:
        """Call after that many seconds."""
        return self.reactor.callLater(max(0.0, delay), call, *args)


class FakeClock:
    """A clock for tests, on ``twisted.internet.task.Clock``."""

    def __init__(self, task_clock: Any) -> None:
        self.clock = task_clock

    def now(self) -> float:
        """Return the fake time."""
        return float(self.clock.seconds())

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> Any:
        """Call after that much fake time."""
        return self.clock.callLater(max(0.0, delay), call, *args)
