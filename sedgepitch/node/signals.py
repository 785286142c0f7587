"""Installs signal handlers as the first step of the program and queues signals until a receiver is set.

Imported before the slow modules. Otherwise a signal that arrives during loading, or between the last turn of
the reactor and the exit, would have its default effect: SIGHUP, too, would end the process.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
SHUTDOWN = (signal.SIGTERM, signal.SIGINT)


class SignalQueue:
    """Received signals, in order. The receiver is called in the signal handler and may only forward them."""

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
        """Deliver the queued signals, and each later signal immediately."""
        self._receiver = receiver
        queued, self._queued = self._queued, []
        for number in queued:
            receiver(number)

    @property
    def shutdown_requested(self) -> bool:
        """Return whether a queued signal requests a shutdown."""
        return any(number in SHUTDOWN for number in self._queued)

    def ignore_all(self) -> None:
        """Ignore all further signals, including during the exit of the interpreter."""
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)
