"""Guarded calls into other layers: protocols, log and observers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar, TypeVarTuple

Arguments = TypeVarTuple("Arguments")
Result = TypeVar("Result")


class CallbackGuard:
    """Contains exceptions of callbacks, so that the event loop turn and other requests' actions continue.

    Each exception is counted and passed to `on_error(place, exception)`: a defect in a callback then shows
    only as a counter and a log event.
    """

    __slots__ = ("errors", "on_error")

    def __init__(self, on_error: Callable[[str, BaseException], None] | None = None) -> None:
        """Report exceptions to `on_error`, if one is given."""
        self.on_error = on_error
        self.errors = 0

    def call(self, place: str, callback: Callable[[*Arguments], Result], *args: *Arguments) -> Result | None:
        """Call `callback` with `args`; return its result, or None if it raised."""
        try:
            return callback(*args)
        except Exception as error:
            self.errors += 1
            if self.on_error is not None:
                try:
                    self.on_error(place, error)
                except Exception:
                    self.errors += 1  # the error handler failed too: only the counter records it
            return None
