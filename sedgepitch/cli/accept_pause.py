"""Bounds how long an overloaded proxy leaves new connections in the listen backlog.

A client in the backlog is connected and its request's deadline is running, though the proxy has read nothing
yet. Leaving it there saves an overloaded process work, but must not last longer than a request can wait.
"""

from __future__ import annotations

PAUSE_MAX_S = 0.2  # longest pause in accepting; the shortest request deadlines are a few tenths of a second


class AcceptPause:
    """Decides when to accept connections during overload; times are monotonic seconds."""

    __slots__ = ("_paused_since",)

    def __init__(self) -> None:
        """Start unpaused."""
        self._paused_since: float | None = None

    def may_accept(self, overloaded: bool, now: float) -> bool:
        """Return whether to accept now: always without overload, once per PAUSE_MAX_S under overload."""
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
