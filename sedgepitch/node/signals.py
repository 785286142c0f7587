"""Signals from the first line of the program on: kept until somebody can act, never the end of the process.

Imported before anything heavy. A signal that comes while the program is loading, or between the reactor's
last turn and the exit, has its default effect otherwise, and for SIGHUP that is a crash.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any

NUMBERS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class Signals:
    """What came, in order. `act` is called for each in the signal handler: it must only pass it on."""

    def __init__(self) -> None:
        self.kept: list[int] = []
        self.act: Callable[[int], Any] | None = None
        for number in NUMBERS:
            signal.signal(number, self._came)

    def _came(self, number: int, frame: Any) -> None:
        if self.act is None:
            self.kept.append(number)
        else:
            self.act(number)

    def to(self, act: Callable[[int], Any]) -> None:
        """Pass on what was kept, and from now on at once."""
        self.act = act
        kept, self.kept = self.kept, []
        for number in kept:
            act(number)

    @property
    def told_to_end(self) -> bool:
        """Whether what is kept asks for the end."""
        return signal.SIGTERM in self.kept or signal.SIGINT in self.kept

    def over(self) -> None:
        """The program ends: nothing is acted on any more, also while the interpreter winds up."""
        for number in NUMBERS:
            signal.signal(number, signal.SIG_IGN)
