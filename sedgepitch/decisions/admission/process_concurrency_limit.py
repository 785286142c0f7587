"""How many requests this driver itself can carry at once: a limit like any other, from its own delay.

Where the driver's processor is what is short, members look idle and no limit of theirs is felt; what is let
in waits in this process, each turn grows with all that is in it, and answers come late by the driver's own
queue. So what is inside is bounded by the mean wait of a short span, from arrival to read and from due to
called: above a tolerable wait the bound falls to CUT of what is inside, below a quarter of it and in use it
grows; at first it doubles (slow start). The door takes it as one more bound on what it lets in; without a
door what is beyond it is refused at once, which costs little and can be tried again.

One long pause is one span and one cut, and is grown back within a second or two.

Beyond that there is a load at which reading requests is already too much. While spans in a row are that late
(`swamped`), what has itself waited longer than is tolerable may be refused without being read: first of the
tenant that asks most, where a door knows it, and of all others when they have waited several times that. It
never ran, so refusing is honest, and its time is mostly gone. Nor are new connections accepted meanwhile.
"""

from __future__ import annotations

SPAN = 0.1  # s
START, LEAST = 64.0, 8.0  # requests inside
CUT = 0.7
GROW, GROW_LEAST = 1.1, 1.0  # a span
SWAMPED = 2.5  # times the tolerable wait, for two spans in a row
OTHERS = 4.0  # times the tolerable wait, beyond which tenants that do not ask most are refused unread, too
CALM = 0.25  # share of the tolerable wait below which the bound may grow
NEVER = float("inf")


class ProcessConcurrencyLimit:
    """The bound. Pure: time is passed in; `tolerable` is in seconds."""

    __slots__ = ("_count", "_from", "_most", "_sum", "cuts", "late_spans", "limit", "starting", "tolerable")

    def __init__(self, tolerable: float) -> None:
        self.tolerable = tolerable
        self.limit, self.starting = START, True
        self.cuts = 0
        self.late_spans = 0  # in a row
        self._from, self._sum, self._count = -NEVER, 0.0, 0
        self._most = 0  # inside in this span

    def waited(self, seconds: float, inside: int, now: float) -> None:
        """Take one wait that ended now, and how many are inside."""
        self._sum += seconds
        self._count += 1
        if inside > self._most:
            self._most = inside
        if now - self._from >= SPAN:
            self._move(self._sum / self._count)
            self._from, self._sum, self._count, self._most = now, 0.0, 0, 0

    @property
    def late(self) -> bool:
        """Whether spans in a row are so late that reading is too much: no time for new connections either."""
        return self.late_spans >= 2

    def swamped(self, waited: float, busiest: bool) -> bool:
        """Whether a request that has waited so many seconds may be refused without being read.

        `busiest` says that it is of the tenant that asks most, or that tenants are not told apart.
        """
        return self.late and waited > self.tolerable * (1.0 if busiest else OTHERS)

    def _move(self, wait: float) -> None:
        self.late_spans = self.late_spans + 1 if wait > SWAMPED * self.tolerable else 0
        if wait > self.tolerable:
            self.starting = False
            if self._most > LEAST:  # with next to nothing inside, the wait is not made of it
                self.limit = max(LEAST, CUT * min(self.limit, float(self._most)))
                self.cuts += 1
        elif wait < CALM * self.tolerable and self._most >= CALM * self.limit:
            self.limit = max(self.limit * (2.0 if self.starting else GROW), self.limit + GROW_LEAST)
