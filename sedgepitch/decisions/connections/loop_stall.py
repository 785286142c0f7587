"""Estimates since when the event loop may have been stalled, from a check that runs at regular intervals.

A signal is handled when the loop runs, and the time at which it was sent is unknown. If the loop was stalled
until just now, the process was suspended or starved, and the signal may be as old as the last check.
"""

from __future__ import annotations

LATE_MIN_S = 0.02  # a check that is later than this indicates a stall
JUST_NOW_S = 0.02  # after the late check, during which the loop counts as just resumed
NEVER = float("-inf")


class LoopStall:
    """The checks of one event loop. Times are seconds of one monotonic clock."""

    __slots__ = ("_checked_at", "_interval", "_resumed_at", "_stalled_since")

    def __init__(self, interval: float, now: float) -> None:
        """Expect a check every `interval` seconds from now on."""
        self._interval = interval
        self._checked_at = now
        self._stalled_since = now
        self._resumed_at = NEVER

    def checked(self, now: float) -> None:
        """Record that the check runs now."""
        if now - self._checked_at > self._interval + LATE_MIN_S:
            self._stalled_since = self._checked_at
            self._resumed_at = now
        self._checked_at = now

    def running_since(self, now: float) -> float:
        """Return `now`, or after a stall the last time before it at which the loop is known to have run."""
        if now - self._checked_at > self._interval + LATE_MIN_S:
            return self._checked_at
        if now - self._resumed_at <= JUST_NOW_S:
            return self._stalled_since
        return now
