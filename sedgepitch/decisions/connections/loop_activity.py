"""Keeps the last time at which the event loop is known to have run, which bounds when a signal was sent.

Nothing tells when a signal was sent. A process that runs handles it at once; one that is suspended, or waits
for a processor, handles it later by as much. So a signal was sent after the last time at which the loop is
known to have run before the handler, and not after the handler itself.

======================  =========================================================================
the signal              the bound is earlier than the sending by at most
======================  =========================================================================
on a busy loop          the time since its last input
on an idle loop         the interval of the periodic check
after a suspension      that, plus the time from the beginning of the suspension to the sending
======================  =========================================================================

It is never later, however short the suspension is.
"""

from __future__ import annotations


class LoopActivity:
    """The activity of one event loop. Times are seconds of one monotonic clock."""

    __slots__ = ("last_ran_at",)

    def __init__(self, now: float) -> None:
        """Start with the creation as the last time at which the loop is known to have run."""
        self.last_ran_at = now

    def ran(self, now: float) -> None:
        """Record that the loop runs now; called by a periodic check, and on input."""
        self.last_ran_at = now
