"""Up to which moment a member surely has everything, told on the driver's own clock alone.

Members tell optimes: where they stand in the log, in units of their own clocks. The module wants positions:
a time t on the driver's clock so that the member has all that was committed until t. The bridge is a *mark*:
when a question that was sent at t came back from the primary with the optime P, then all that was committed
until t stands in the log at or before P, whatever any wall clock says. So a member that has applied P has
everything up to t. Three things follow:

* An idle primary needs no writes: each question to it makes a new mark with the same P, and a replica that
  has P is fresh as of that question.
* Skew between members' clocks plays no part: only the driver's sends are timed, by one clock.
* A mark is true for ever in the log that it was made of. That log ends for us when a newer term is seen:
  the marks of the old one are let go, and a member counts again once its own optime carries the new term,
  which it can only have from the new log. A rolled back branch therefore never proves anything.

Optimes are compared as (seconds, increment) within the newest term. One that is far ahead of the log's own
pace is not believed. Two members that claim one term as primary make it contested: no role is told, no mark
made of hellos until a write settles it (a member that takes a write is the primary; one that turns it away is
not). Sources: MongoDB's replication documents (optimes, terms, elections); the wish 'Topology Watcher'.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

Stamp = tuple[int, int]  # seconds, increment: a point in the log

MOST_MARKS = 1024  # beyond it every second one of the older half goes; fewer marks are only more cautious
LEAP = 60.0  # s that a log may be ahead of the newest mark and of the time since then; more is not believed
NOTHING_KNOWN = 0.0  # the position of a member that answered and proved nothing


@dataclass(slots=True, frozen=True)
class Sighting:
    """What one answer shows: a position on the driver's clock, and a role where it is sure."""

    position: float | None
    primary: bool | None


class Marks:
    """The frontier of marks of one log: later times with later optimes, none made useless by another.

    A mark is useless where a later question found an optime that is not greater.
    """

    def __init__(self) -> None:
        self.stamps: list[Stamp] = []
        self.first: list[float] = []  # the earliest question that found this optime
        self.last: list[float] = []  # the latest

    def add(self, at: float, stamp: Stamp) -> None:
        """Take a mark; answers may come in any order."""
        at_or_after = bisect_left(self.last, at)
        if at_or_after < len(self.last) and self.stamps[at_or_after] <= stamp:
            if self.stamps[at_or_after] == stamp:
                self.first[at_or_after] = min(self.first[at_or_after], at)
            return
        low = bisect_left(self.stamps, stamp)
        first = at
        if low < len(self.stamps) and self.stamps[low] == stamp:
            first = min(at, self.first[low])
        high = bisect_right(self.last, at)
        if low < high:
            del self.stamps[low:high], self.first[low:high], self.last[low:high]
        self.stamps.insert(low, stamp)
        self.first.insert(low, first)
        self.last.insert(low, at)
        if len(self.stamps) > MOST_MARKS:
            half = len(self.stamps) // 2
            del self.stamps[0:half:2], self.first[0:half:2], self.last[0:half:2]

    def reached(self, stamp: Stamp) -> float | None:
        """Return the time up to which one that has applied this stamp has everything."""
        index = bisect_right(self.stamps, stamp)
        return self.last[index - 1] if index else None

    def needed(self, stamp: Stamp) -> float | None:
        """Return the least position that proves this stamp applied, None where no mark shows it yet."""
        index = bisect_left(self.stamps, stamp)
        return self.first[index] if index < len(self.stamps) else None

    def newest(self) -> tuple[float, Stamp] | None:
        """Return the latest mark, or None."""
        return (self.last[-1], self.stamps[-1]) if self.stamps else None


@dataclass(slots=True)
class _Member:
    term: int = -1  # of its own newest log entry
    stamp: Stamp | None = None
    claims: int = -1  # the term in which it last called itself primary
    since: float = 0.0  # when it was asked and first said so in that term
    asked: float = float("-inf")  # when the newest question that it answered by hello was sent


@dataclass(slots=True)
class GroupPositions:
    """What is known of the log of one group, and of each member's place in it."""

    term: int = -1  # the newest that any member's log or claim has shown
    holder: int | None = None  # the primary of that term
    contested: bool = False
    marks: Marks = field(default_factory=Marks)
    endpoints: dict[int, _Member] = field(default_factory=dict)

    def hello(self, endpoint: int, sent: float, primary: bool, term: int, stamp: Stamp | None) -> Sighting:
        """Take a member's own report of role, term and last optime; `sent` is when it was asked."""
        known = self._member(endpoint)
        if sent < known.asked:  # an older answer that comes late: it may tell of a log since rolled back
            return Sighting(None, None)
        known.asked = sent
        if term > self.term:
            self._new_term(term)
        known.term, known.stamp = term, stamp
        if not primary:
            known.claims = -1
            if self.holder == endpoint:
                self.holder = None
            return Sighting(self._position(known), False)
        if term < self.term:  # a primary of the past, that has not heard of its end
            return Sighting(NOTHING_KNOWN, False)
        if known.claims != term:
            known.claims, known.since = term, sent
        if self.holder is None and not self.contested:
            self.holder = endpoint
        elif self.holder != endpoint:
            if self.holder is not None and self._member(self.holder).claims == self.term:
                self.contested, self.holder, self.marks = True, None, Marks()
            return Sighting(self._position(known), None)
        if stamp is None:
            return Sighting(sent, True)
        self.marks.add(sent, stamp)
        return Sighting(sent, True)

    def wrote(self, endpoint: int, sent: float, stamp: Stamp | None) -> Sighting:
        """Take a write's good answer: its member is the primary, and its optime makes a mark."""
        known = self._member(endpoint)
        if known.claims != self.term:
            # An old answer, of a term that is over; or it has just taken over, and its hello will say so.
            return Sighting(None, None if known.claims >= 0 else True)
        if sent < known.since:  # it may have been primary of an earlier term, too
            return Sighting(None, None)
        if self.contested:
            self.contested = False
            for other in self.endpoints.values():
                if other is not known and other.claims == self.term:
                    other.claims = -1
        self.holder = endpoint
        if stamp is not None and self._believed(stamp, sent):
            self.marks.add(sent, stamp)
        return Sighting(sent, True)

    def read(self, endpoint: int, sent: float, stamp: Stamp | None) -> Sighting:
        """Take the optime in a read's answer. It proves no role: a former primary answers reads, too."""
        known = self._member(endpoint)
        if stamp and known.stamp and stamp > known.stamp and sent >= known.asked:
            known.stamp = stamp
        if endpoint == self.holder:
            return Sighting(None, None)
        return Sighting(self._position(known), None)

    def turned_away(self, endpoint: int) -> None:
        """Note that a member turned a write away: it is not the primary of any term up to now."""
        self._member(endpoint).claims = -1
        if self.holder == endpoint:
            self.holder = None
        claimants = [m for m, known in self.endpoints.items() if known.claims == self.term]
        self.contested = self.contested and len(claimants) > 1

    def position(self, endpoint: int) -> float | None:
        """Return what the member's last optime proves by now, None where nothing is known of it."""
        known = self.endpoints.get(endpoint)
        return None if known is None or known.stamp is None else self._position(known)

    def session_need(self, after: Stamp, now: float) -> float:
        """Return the position that a replica must have for a read after this optime; now if none can."""
        need = self.marks.needed(after)
        return now if need is None else min(need, now)

    def wants_mark(self, now: float, within: float) -> bool:
        """Whether the newest mark is too old to prove anyone fresh within that bound."""
        newest = self.marks.newest()
        return newest is None or now - newest[0] > within

    def forget(self, endpoint: int) -> None:
        """Let a member go that has left the list."""
        self.endpoints.pop(endpoint, None)
        if self.holder == endpoint:
            self.holder = None

    def _member(self, endpoint: int) -> _Member:
        return self.endpoints.setdefault(endpoint, _Member())

    def _new_term(self, term: int) -> None:
        self.term, self.holder, self.contested, self.marks = term, None, False, Marks()

    def _believed(self, stamp: Stamp, at: float) -> bool:
        newest = self.marks.newest()
        return newest is None or stamp[0] <= newest[1][0] + max(0.0, at - newest[0]) + LEAP

    def _position(self, known: _Member) -> float:
        newest = self.marks.newest()
        if known.stamp is None or known.term != self.term or newest is None:
            return NOTHING_KNOWN
        if known.stamp[0] > newest[1][0] + LEAP:
            # Ahead by more than the newest mark and a minute: a broken report. May hurt where this driver has
            # not asked the primary for a minute; the next mark mends it.
            return NOTHING_KNOWN
        reached = self.marks.reached(known.stamp)
        return NOTHING_KNOWN if reached is None else reached
