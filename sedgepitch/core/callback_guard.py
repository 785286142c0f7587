"""Calls of code that belongs to other layers: protocols, log and observers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar, TypeVarTuple

Arguments = TypeVarTuple("Arguments")
Result = TypeVar("Result")


class CallbackGuard:
    """Keeps an exception in a callback from ending the turn or other requests' actions.

    It is counted and told to `on_error(place, exception)`. A defect is then only a counter and a log event.
    """

    __slots__ = ("errors", "on_error")

    def __init__(self, on_error: Callable[[str, BaseException], None] | None = None) -> None:
        """Tell exceptions to `on_error`, if it is given."""
        self.on_error = on_error
        self.errors = 0

    def call(self, place: str, callback: Callable[[*Arguments], Result], *args: *Arguments) -> Result | None:
        """Call `callback` with `args`; returns what it returns, None where it raised."""
        try:
            return callback(*args)
        except Exception as error:
            self.errors += 1
            if self.on_error is not None:
                try:
                    self.on_error(place, error)
                except Exception:
                    self.errors += 1  # the log itself raises: only the counter is left to tell
            return None
