"""Turns the kernel's receive timestamps, which are wall time, into monotonic time. Performs no I/O.

A timestamp is compared with the wall clock at the read. If that clock is set ahead while bytes lie unread, or
the machine is suspended, they look as old as the step is large: requests would seem to be out of time and the
event loop seconds late. If it is set back, they look newer than they are, which is harmless.

All times are seconds; `wall` since the epoch, the others monotonic.
"""

from __future__ import annotations

CLOCK_STEP_MIN_S = 0.02  # between two reads; slewing moves the clocks apart by less


class ReceiveTimestamps:
    """The distance of the two clocks at the last read of any connection, and the last step between them."""

    __slots__ = ("_offset", "_step", "_stepped_at")

    def __init__(self) -> None:
        self._offset: float | None = None  # wall minus monotonic time, at the last read
        self._stepped_at = float("-inf")  # the first read after the step
        self._step = 0.0

    def arrival_time(self, timestamp: float, wall: float, now: float) -> float:
        """Return when bytes with this timestamp arrived, never after `now`; the clocks show `wall` and `now`.

        Bytes from before the first read after a step may carry a time of either clock; the later of the two
        moments counts. So bytes never look older than they are, but may look newer once per step.
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
