"""Handles signals from the first line of the program on: queued until somebody can act on them.

Imported before anything heavy. A signal that arrives while the program is loading, or between the reactor's
last turn and the exit, has its default effect otherwise, and for SIGHUP that ends the process.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
SHUTDOWN = (signal.SIGTERM, signal.SIGINT)


class SignalQueue:
    """The signals received, in order. The receiver runs in the signal handler: it may only pass them on."""

    def __init__(self) -> None:
        self._queued: list[int] = []
        self._receiver: Callable[[int], object] | None = None
        for number in HANDLED:
            signal.signal(number, self._received)

    def _received(self, number: int, _frame: FrameType | None) -> None:
        if self._receiver is None:
            self._queued.append(number)
        else:
            self._receiver(number)

    def deliver_to(self, receiver: Callable[[int], object]) -> None:
        """Deliver what is queued, and from now on each signal at once."""
        self._receiver = receiver
        queued, self._queued = self._queued, []
        for number in queued:
            receiver(number)

    @property
    def shutdown_requested(self) -> bool:
        """Whether a queued signal requests the shutdown."""
        return any(number in SHUTDOWN for number in self._queued)

    def ignore_all(self) -> None:
        """Ignore all further signals, also while the interpreter exits."""
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)
