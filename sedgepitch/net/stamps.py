"""When bytes came, by the system's stamps, which are wall time, though the wall clock may step. Pure.

A stamp is compared with the wall clock at the read, so a clock that is set ahead while bytes lie unread makes
them look as old as the step is large: requests seem out of time, and the driver seems seconds late, which
refuses everything for as long as `decisions/event_loop_lag.py` remembers. (A machine that was suspended does
the same.)
Set back, they look newer than they are, which costs no more than not knowing.

All times are seconds; `wall` since the epoch, the others monotonic.
"""

from __future__ import annotations

STEP = 0.02  # s by which the two clocks part between two reads, that no slewing does


class Stamps:
    """The two clocks' distance, as of the last read of any connection, and the last time that they parted."""

    __slots__ = ("_ahead", "_parted_at", "_step")

    def __init__(self) -> None:
        self._ahead: float | None = None  # of wall time, at the last read
        self._parted_at = float("-inf")  # the first read after the step
        self._step = 0.0

    def arrived(self, stamp: float, wall: float, now: float) -> float:
        """When bytes with this stamp came, where the clocks show these times now; never after now.

        Bytes from before the first read after a step may have been stamped by either clock: the later of the
        two moments counts. So nothing is taken for older than it is, but some may be for newer, once a step.
        """
        ahead = wall - now
        if self._ahead is not None and abs(ahead - self._ahead) > STEP:
            self._parted_at, self._step = now, ahead - self._ahead
        self._ahead = ahead
        came = stamp - ahead
        if self._step > 0.0 and came < self._parted_at:
            came += self._step
        return min(now, came)
