"""Since when the event loop may have stood still, from a check that ought to run at regular intervals.

A signal is handled when the loop runs, and nothing says when it was sent. Where the loop has stood still
until just now, the process was suspended or starved, and the signal may be as old as the last check.
"""

from __future__ import annotations

LATE_MIN_S = 0.02  # a check that is later than this shows that the loop stood still
JUST_NOW_S = 0.02  # so long after the late check, the loop still counts as just resumed
NEVER = float("-inf")


class LoopStall:
    """The checks of one event loop; all times are seconds of one monotonic clock."""

    __slots__ = ("_checked_at", "_interval", "_resumed_at", "_still_since")

    def __init__(self, interval: float, now: float) -> None:
        """Expect a check each `interval` seconds from now on."""
        self._interval = interval
        self._checked_at = now
        self._still_since = now
        self._resumed_at = NEVER

    def checked(self, now: float) -> None:
        """Note that the check runs now."""
        if now - self._checked_at > self._interval + LATE_MIN_S:
            self._still_since = self._checked_at
            self._resumed_at = now
        self._checked_at = now

    def running_since(self, now: float) -> float:
        """Return `now`, or the last moment at which the loop is known to have run before it stood still."""
        if now - self._checked_at > self._interval + LATE_MIN_S:
            return self._checked_at
        if now - self._resumed_at <= JUST_NOW_S:
            return self._still_since
        return now
