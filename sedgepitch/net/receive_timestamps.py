"""Converts the kernel's receive timestamps from wall time to monotonic time. Performs no I/O.

A timestamp is compared with the wall clock at the read. If the wall clock is set forward while bytes are
unread, or the machine is suspended, the bytes look older by the size of the step: requests would appear to
have expired, and the event loop to be seconds late. If the clock is set back, the bytes look newer than they
are, which is harmless.

All times are in seconds; `wall` is since the epoch, the others are monotonic.
"""

from __future__ import annotations

CLOCK_STEP_MIN_S = 0.02  # between two reads; clock slewing changes the offset by less


class ReceiveTimestamps:
    """The offset between the two clocks at the last read of any connection, and its last step."""

    __slots__ = ("_offset", "_step", "_stepped_at")

    def __init__(self) -> None:
        self._offset: float | None = None  # wall minus monotonic time, at the last read
        self._stepped_at = float("-inf")  # the first read after the step
        self._step = 0.0

    def arrival_time(self, timestamp: float, wall: float, now: float) -> float:
        """Return when bytes with this timestamp arrived, never after `now`; the clocks read `wall` and `now`.

        Bytes that arrived before the first read after a step may be stamped before or after the step; the
        later of the two possible times is used. So bytes never look older than they are, but may look newer
        once per step.
        """
        offset = wall - now
        if self._offset is not None and abs(offset - self._offset) > CLOCK_STEP_MIN_S:
            self._stepped_at = now
            self._step = offset - self._offset
        self._offset = offset
        arrived = timestamp - offset
        if self._step > 0.0 and arrived < self._stepped_at:
            arrived += self._step
        return min(now, arrived)
