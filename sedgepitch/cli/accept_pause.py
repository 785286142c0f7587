"""When an overloaded proxy accepts connections all the same.

A client in the backlog is connected and its request's time runs, though nothing of it has been read. Leaving
it there saves an overloaded process work, but not for longer than a request can wait.
"""

from __future__ import annotations

PAUSE_MAX_S = 0.2  # of accepting; request deadlines begin at a few tenths of a second


class AcceptPause:
    """Bounds how long overload keeps connections in the backlog; times are monotonic seconds."""

    __slots__ = ("_paused_since",)

    def __init__(self) -> None:
        """Begin without a pause."""
        self._paused_since: float | None = None

    def may_accept(self, overloaded: bool, now: float) -> bool:
        """Return whether to accept what waits now: not while overloaded, but once in each PAUSE_MAX_S."""
        if not overloaded:
            self._paused_since = None
            return True
        if self._paused_since is None:
            self._paused_since = now
            return False
        if now - self._paused_since < PAUSE_MAX_S:
            return False
        self._paused_since = now
        return True
