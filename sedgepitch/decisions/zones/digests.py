"""What one driver has seen of each zone, as a digest that others can weigh, and what a digest says. Pure.

A driver counts the ends of its own attempts, by member, over one to two spans; from these and from the
members that its module keeps from traffic it makes one row a zone. A digest holds figures and no verdict, so
that all who hear it judge it by the same function, `votes`; who lies can lie only in figures, and one
driver's figures are one vote.

Times are seconds on the driver's monotonic clock, passed in; ages are added by whoever hears a digest.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from functools import lru_cache, reduce
from operator import or_
from statistics import median

import msgspec
from msgspec import Struct

SPAN = 1.5  # s; counts are of the present span and the one before
MOST_ZONES = 10  # rows a digest, so that it fits a word
MOST_BODY = 512  # bytes of an encoded digest
MOST_NAME = 24  # characters of a zone's name in a digest

LOST_MEMBERS = 0.7  # share of the members tried that are silent or down: the zone, not a member of it
SEVERAL = 4  # members found silent or down that stand for a zone, or over half of it where that is fewer
IN_VAIN = 2  # attempts without an answer since the last one, with so many members silent: lost as well
QUIET, LEAST_QUIET = 4.0, 500.0  # mean gaps between answers, and ms at least, that are no silence
LEAST_ASKED = 8  # attempts below which a share of failures proves nothing
FAILING = 0.2  # share of attempts that came to nothing
CALM, CALM_MEAN = 0.05, 0.4  # failures, and mean answer as a share of the aim, of a zone that does well
SPREAD = 0.6  # share of the members tried that a zone's trouble touches; below it is a member's own
SLOWER = 3.0  # times the other zones' mean answer
WORTH_NOTICE = 0.15  # share of the aim under which slow is not worth leaving for


def bit(member: int) -> int:
    """A member's bit among 64, the same at all drivers. Two may share one: bits count too few, never more."""
    return 1 << ((member * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF) >> 58)  # Knuth's multiplicative hash


class Vote(IntEnum):
    """What a digest says of a zone; a higher one is worse."""

    NONE = 0  # nothing that could be judged
    WELL = 1
    SLOW = 2
    FAILING = 3
    LOST = 4


class Row(Struct, frozen=True, array_like=True):
    """One zone. Members are those tried of late; `slowness` is the mean answer, in thousandths of its aim."""

    zone: str
    asked: int = 0
    good: int = 0
    silent: int = 0
    refused: int = 0
    slowness: int = 0
    members: int = 0
    bad: int = 0  # of those, silent or down
    hurt: int = 0  # of the rest, with an attempt that came to nothing
    slow: int = 0  # of the rest, slower by far than the members of other zones
    quiet: int = 0  # thousandths of a second since the last answer
    unanswered: int = 0  # attempts sent since then
    there: int = 0  # members of the zone that are up, by the list
    down: int = 0  # those silent or down, a bit each (see `bit`)


class Stance(Struct, frozen=True, array_like=True):
    """What a driver does with a zone: its share in thousandths, for how many tenths of a second."""

    zone: str
    state: int
    share: int
    since: int
    relapses: int = 0


class Digest(Struct, frozen=True, array_like=True):
    """What a driver tells of itself. `demand` is requests a second; `fit` is false where it may not judge."""

    zone: str
    demand: float
    fit: bool
    rows: tuple[Row, ...] = ()
    stances: tuple[Stance, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Digest)


def encode(digest: Digest) -> bytes:
    """Return it as a word's body; zones that were asked least are left out where it would not fit."""
    rows, stances = digest.rows, {s.zone: s for s in digest.stances}
    for _ in range(len(rows) + 1):
        kept = tuple(s for r in rows if (s := stances.get(r.zone)) is not None)
        body = _encoder.encode(msgspec.structs.replace(digest, rows=rows, stances=kept))
        if len(body) <= MOST_BODY or not rows:
            break
        least = min(rows, key=lambda r: (r.asked, r.zone))
        rows = tuple(r for r in rows if r is not least)
    return body


def decode(body: bytes) -> Digest | None:
    """Return a digest, or None for what is none, or for figures that cannot be."""
    try:
        told = _decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, UnicodeDecodeError):
        return None
    figures = [n for r in told.rows for n in r.__struct_fields__[1:] if getattr(r, n) < 0]
    figures += [n for s in told.stances for n in s.__struct_fields__[1:] if getattr(s, n) < 0]
    sane = 0.0 <= told.demand <= 1e6 and not figures  # also false for what is not a number
    sane = sane and all(r.down.bit_count() <= r.bad for r in told.rows)
    sane = sane and all(s.share <= 1000 and s.state <= 4 for s in told.stances)
    names = [r.zone for r in told.rows]
    sane = sane and len(names) <= MOST_ZONES and len(names) == len(set(names))
    return told if sane and len(told.stances) <= MOST_ZONES else None


@lru_cache(maxsize=4096)  # a digest is judged again at every turn until its driver tells another
def votes(digest: Digest) -> dict[str, Vote]:
    """What a digest says of each zone; the same for all who hear it. Not to be changed.

    Against a zone it speaks only beside another zone that answers: where all look bad, it is the load, or
    the driver itself, and leaving would not help.
    """
    if not digest.fit:
        return {}
    seen = {row.zone: _alone(row) for row in digest.rows}
    answering = _answering(digest, seen)
    # A zone that still answers is bad only beside one that does well: under a load that is too much for all,
    # failures fall where chance has them.
    calm = {
        row.zone: row.slowness
        for row in digest.rows
        if row.zone in answering
        and row.asked >= LEAST_ASKED
        and _failures(row) < CALM * row.asked
        and row.slowness < 1000 * CALM_MEAN
    }
    out = {}
    for row in digest.rows:
        vote = seen[row.zone]
        others = [slowness for zone, slowness in calm.items() if zone != row.zone]
        if vote is Vote.LOST and not answering - {row.zone}:
            vote = Vote.NONE
        elif vote in (Vote.SLOW, Vote.FAILING) and not others:
            vote = Vote.NONE
        elif vote is Vote.SLOW and row.slowness < SLOWER * min(others):
            vote = Vote.WELL
        out[row.zone] = vote
    return out


@lru_cache(maxsize=4096)
def parts(digest: Digest) -> frozenset[str]:
    """The zones of which all that this driver uses is down, though it uses too few members to speak for them.

    Several such drivers may know together what none of them knows: `Council.together`.
    """
    if not digest.fit:
        return frozenset()
    seen = {row.zone: _alone(row) for row in digest.rows}
    answering = _answering(digest, seen)
    return frozenset(
        row.zone
        for row in digest.rows
        if row.down
        and row.bad >= LOST_MEMBERS * row.members
        and seen[row.zone] is not Vote.LOST
        and answering - {row.zone}
    )


def enough(there: int) -> int:
    """How many members, silent or down, stand for a zone of so many: over half of them, or several."""
    return min(SEVERAL, there // 2 + 1)


def _answering(digest: Digest, seen: Mapping[str, Vote]) -> set[str]:
    """The zones that serve this driver; `seen` is what its rows say alone."""
    return {
        row.zone
        for row in digest.rows
        if row.good > 0 and seen[row.zone] is not Vote.LOST and _failures(row) < FAILING * max(1, row.asked)
    }


def _failures(row: Row) -> int:
    return row.silent + row.refused


def _alone(row: Row) -> Vote:
    """A row without the others beside it."""
    if row.members == 0:
        return Vote.NONE
    # A driver that uses few of the members must not take those for the zone.
    many = row.bad >= enough(row.there)
    if many and row.bad >= LOST_MEMBERS * row.members:
        return Vote.LOST
    # An answer of a while ago, for the pace at which they came, says nothing of now.
    usual = 1000.0 * QUIET * 1.5 * SPAN / max(1, row.good)
    silent = row.good == 0 or row.quiet > max(LEAST_QUIET, usual)
    if silent and many and row.unanswered >= IN_VAIN:
        return Vote.LOST  # nobody there answers; who else would, was not asked
    wide = row.members > 1 and row.hurt + row.bad >= SPREAD * row.members
    if row.asked >= LEAST_ASKED and wide and _failures(row) >= FAILING * row.asked:
        return Vote.FAILING
    if row.slowness >= 1000 * WORTH_NOTICE and row.slow >= LOST_MEMBERS * row.members:
        return Vote.SLOW
    return Vote.NONE if silent else Vote.WELL


@dataclass(slots=True)
class _Seen:
    """One member over one span."""

    zone: str
    sent: int = 0
    good: int = 0
    silent: int = 0
    refused: int = 0
    slowness: float = 0.0  # summed over the good
    last: float = -1e9  # when it last answered


class Evidence:
    """Counts of one driver's own attempts. Bounded by the members that it uses within two spans."""

    def __init__(self) -> None:
        self._spans: tuple[dict[int, _Seen], dict[int, _Seen]] = ({}, {})
        self._from = -SPAN
        self._arrivals = [0, 0]
        self._unanswered: dict[str, int] = {}
        self.demand = 0.0  # requests a second, smoothed over the spans

    def arrived(self, now: float) -> None:
        """One request came in."""
        self._roll(now)
        self._arrivals[0] += 1

    def sent(self, now: float, member: int, zone: str) -> None:
        """An attempt was sent; what hangs there is seen by this, and by the module's suspicion."""
        self._of(now, member, zone).sent += 1
        self._unanswered[zone] = self._unanswered.get(zone, 0) + 1

    def good(self, now: float, member: int, zone: str, share_of_aim: float) -> None:
        """A member answered, after so much of the request's aim."""
        seen = self._of(now, member, zone)
        seen.good += 1
        seen.last = now
        self._unanswered[zone] = 0
        seen.slowness += min(share_of_aim, 20.0)

    def silent(self, now: float, member: int, zone: str) -> None:
        """A member did not answer in time."""
        self._of(now, member, zone).silent += 1

    def refused(self, now: float, member: int, zone: str) -> None:
        """A connection was refused, broke, or an answer was an error of the member's own."""
        self._of(now, member, zone).refused += 1

    def forget(self, now: float) -> None:
        """This process slept: what it counted is not of now."""
        self._spans, self._from, self._arrivals, self._unanswered = ({}, {}), now, [0, 0], {}

    def forget_zone(self, zone: str) -> None:
        """What was counted there is of another time: it is come back to now."""
        self._unanswered = {z: n for z, n in self._unanswered.items() if z[:MOST_NAME] != zone}
        for span in self._spans:
            for number in [n for n, seen in span.items() if seen.zone[:MOST_NAME] == zone]:
                del span[number]

    def rows(
        self, now: float, suspects: Mapping[int, str], zones: Mapping[str, int], part: Iterable[str] = ()
    ) -> tuple[Row, ...]:
        """One row a zone; `zones` counts their members that are up.

        `suspects` are members that the module holds for silent or down, with their zones; one under trial is
        left out by the caller. In the zones of `part`, that this driver uses in part, a suspect only counts
        if it was tried within the spans: else a zone that is come back to would still be judged by what was
        seen when it was left.
        """
        self._roll(now)
        members: dict[int, _Seen] = {}
        for span in self._spans:
            for number, seen in span.items():
                held = members.setdefault(number, _Seen(seen.zone))
                held.good += seen.good
                held.last = max(held.last, seen.last)
                held.silent += seen.silent
                held.refused += seen.refused
                held.slowness += seen.slowness
        bad, narrow = set(suspects), {z[:MOST_NAME] for z in part}
        for number, zone in suspects.items():
            if zone[:MOST_NAME] not in narrow:
                members.setdefault(number, _Seen(zone))
        means = {n: s.slowness / s.good for n, s in members.items() if s.good}
        out = []
        for zone, up in sorted(zones.items()):
            there = {n: s for n, s in members.items() if s.zone[:MOST_NAME] == zone}
            elsewhere = [m for n, m in means.items() if n not in there]
            usual = median(elsewhere) if elsewhere else float("inf")
            good = sum(s.good for s in there.values())
            silent = sum(s.silent for s in there.values())
            refused = sum(s.refused for s in there.values())
            slowness = sum(s.slowness for s in there.values()) / max(1, good)
            out.append(
                Row(
                    zone,
                    good + silent + refused,
                    good,
                    silent,
                    refused,
                    round(1000 * slowness),
                    len(there),
                    sum(n in bad for n in there),
                    sum(n not in bad and s.silent + s.refused > 0 for n, s in there.items()),
                    sum(n not in bad and means.get(n, 0.0) >= SLOWER * usual for n in there),
                    min(60_000, round(1000 * (now - max((s.last for s in there.values()), default=now)))),
                    sum(n for z, n in self._unanswered.items() if z[:MOST_NAME] == zone),
                    up,
                    reduce(or_, (bit(n) for n in there if n in bad), 0),
                )
            )
        out.sort(key=lambda r: (-r.asked, r.zone))
        return tuple(out[:MOST_ZONES])

    def _of(self, now: float, member: int, zone: str) -> _Seen:
        self._roll(now)
        return self._spans[0].setdefault(member, _Seen(zone))

    def _roll(self, now: float) -> None:
        """Begin a new span where the present one is over."""
        passed = now - self._from
        if passed < SPAN:
            return
        last = self._spans[0] if passed < 2.0 * SPAN else {}
        rate = self._arrivals[0] / max(passed, SPAN)
        self.demand = rate if self.demand == 0.0 else self.demand + 0.5 * (rate - self.demand)
        self._spans, self._arrivals = ({}, last), [0, self._arrivals[0]]
        self._from = now
