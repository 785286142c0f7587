"""When a driver that was told to end stops accepting, closes what is free, and has answered everything.

======================  ==================================================================================
from                    what holds
======================  ==================================================================================
told to end             clients keep what they hold and new ones still come: all are served
`accepting_until`       what waits to be accepted is accepted, then the port closes
`closing_from`          who has nothing under way and nothing unread is closed, others with their answer
`answered_by`           everything taken has had its answer: what is still under way is ended by then
`over_by`               whatever clients still hold, the driver ends
======================  ==================================================================================

Served for so long because for many clients there is no other driver; closed before the end because a close
between requests costs a client one more connection, and the end of the process under one costs its request.
"""

from __future__ import annotations

STILL_COMING = 0.5  # s after the signal in which new connections still come (the platform: 0.2 to 0.4)
LONGEST, BEYOND = 3.0, 0.7  # s; the platform kills no sooner than the longest deadline, counted as LONGEST
# where it is longer, and BEYOND after the signal
CLOSING, ANSWERED, OVER = 0.35, 0.15, 0.03  # s before that


class ShutdownSchedule:
    """The times of one end. Pure; `told` and all others are times of one clock, `longest` is in seconds."""

    __slots__ = ("accepting_until", "answered_by", "closing_from", "over_by")

    def __init__(self, told: float, longest: float) -> None:
        killed = told + min(longest, LONGEST) + BEYOND
        self.accepting_until = told + min(STILL_COMING, killed - told - CLOSING)
        self.closing_from, self.answered_by = killed - CLOSING, killed - ANSWERED
        self.over_by = killed - OVER

    def over(self, now: float, listening: bool, connections: int, pending: int) -> bool:
        """Whether the driver may end. What is owed is never left: the platform's own end is no worse."""
        return not pending and (now >= self.over_by or (not listening and not connections))
