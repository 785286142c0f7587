"""Whether this driver uses a zone, and how much: what the fleet's digests say, weighed and kept steady. Pure.

A zone is *normal, suspected, leaving, left* or *returning*, and has a share: how much of the reads that may
go there, go there. docs/zones.md has the options weighed, the bounds and their proofs. In short:

- Who judges. The drivers of the own zone, the mates, decide for themselves by over two thirds of their
  weight: a zone that is cut off from here is lost here, and those inside it, or elsewhere, serve on. All
  drivers outside a zone together move each other by over half of theirs, unless the mates see it well.
- What one driver weighs. Its requests a second, held between the median's 1/sqrt(2) and sqrt(2) times: no
  driver counts twice another, so fewer than a third move nobody, whatever they tell (see `Council`).
- How long it lasts. A zone that is lost is left at once, one that fails or is slow is left in steps and
  watched with a small share. Back comes a lost one when a few, chosen in turn, were served there; then in
  steps that stay under what a starting member bears, nobody ahead of the mates' median by more than a step.
- What it never does. Leave the last zone; leave what the others cannot bear; make a member that the module
  distrusts trusted: a share only takes away.

The same views give the same states: no clock, no chance, no order of arrival. Times are seconds on the own
monotonic clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from functools import reduce
from math import ceil, exp, sqrt
from operator import or_

from sedgepitch.decisions.zones.digests import (
    FAILING,
    LOST_MEMBERS,
    SPAN,
    Digest,
    Row,
    Stance,
    Vote,
    enough,
    parts,
    votes,
)
from sedgepitch.decisions.zones.operator_commands import Order

FRESH_FOR = 10.0  # s; an older digest is not heard
TRY_RATE = 1.0  # requests a second that one who tries may send whatever its part is: any member bears that
TURN_MOST = 4.0  # times the length of a turn, where there are few requests
TURN_AT_MOST = 0.1  # s between turns while a zone is not used in full
BACK = 0.1  # of a zone's share, that is changed at once when the others bear less, or more, than was thought
ALONE = 3  # drivers that must agree, where there are as many
STRAINED = 0.8  # mean answer as a share of its aim, from which on a zone bears too much
SOON = 0.9  # share of the full one from which on a zone bears what it did
REMEMBERED = 900.0  # s in which what members once bore fades to a third
RECENT = 1.5 * SPAN  # s that a row's counts are of, in the mean


class State(IntEnum):
    """What this driver does with a zone."""

    NORMAL = 0
    SUSPECTED = 1
    LEAVING = 2
    LEFT = 3
    RETURNING = 4


@dataclass(slots=True, frozen=True)
class ZoneSettings:
    """Paces and bounds. Times in seconds."""

    start: float = 0.2  # share of its capacity that a member has when it starts, as the rules state
    warm: float = 10.0  # within which it is warm, as the rules state
    safe: float = 0.8  # of what that allows, for all drivers together
    steps: int = 5  # of a return
    hold: float = 0.15  # that a verdict stands before it counts
    hold_slow: float = 1.0  # the same where the zone still answers
    leave_over: float = 2.0  # that leaving a zone takes which still answers
    watch: float = 0.1  # share kept in it, so that all see how it does
    wait: float = 1.0  # before the first trial of a lost zone; doubles with each relapse
    wait_most: float = 60.0
    turn: float = 1.5  # that a few are those who try
    triers: int = 2
    trial: float = 0.5  # of its own traffic, that one who tries sends there at most
    settle: float = 1.0  # in which digests of before a return are heard no more
    calm: float = 60.0  # after which a relapse is forgotten
    headroom: float = 1.5  # times what members have served while well, that they are trusted to bear

    def __post_init__(self) -> None:
        """Say plainly which setting cannot be used."""
        for name in ("warm", "hold", "hold_slow", "leave_over", "wait", "turn"):
            if getattr(self, name) <= 0:
                raise ValueError(f"zones: {name} must be above 0")
        if not 0 < self.start <= 1 or not 0 < self.watch < 1 or self.headroom < 1:
            raise ValueError("zones: start and watch are shares, and headroom is at least 1")
        if self.steps < 1 or self.triers < 1:
            raise ValueError("zones: steps and triers are at least 1")

    def step_share(self, step: int) -> float:
        """The share at a step of a return: what a member that started with it bears then."""
        if step >= self.steps:
            return 1.0
        return self.safe * (self.start + (1.0 - self.start) * step / self.steps)


@dataclass(slots=True, frozen=True)
class View:
    """What is known at one moment: `heard` of the living others, with ages; `zones` by members' size."""

    now: float
    own: Digest
    heard: Mapping[str, tuple[float, Digest]]
    zones: Mapping[str, float]
    leaves: Mapping[str, Order] = field(default_factory=dict)
    late: bool = False  # this process stood still: nothing is judged in this turn
    living: int = 0  # drivers that live, this one included, whether or not their digests were heard


@dataclass(slots=True)
class Zone:
    """One zone as this driver treats it."""

    name: str
    state: State = State.NORMAL
    share: float = 1.0
    since: float = 0.0  # when the state began
    why: str = ""
    cause: Vote = Vote.NONE  # what it was left for; NONE for an order
    step: int = 0
    step_at: float = 0.0
    wait: float = 0.0
    relapses: int = 0
    verdict: Vote = Vote.NONE
    verdict_at: float = 0.0  # since when it stands
    well_at: float | None = None  # since when it is seen well, while watched
    back_at: float = float("-inf")  # when a return was done
    from_share: float = 1.0
    load: float = 0.0  # answers a second that it gave when it was left


def weigh(demands: Mapping[str, float]) -> dict[str, float]:
    """What each driver's vote weighs: its demand, within a factor of sqrt(2) of the median."""
    asked = sorted(d for d in demands.values() if d > 0)
    middle = asked[len(asked) // 2] if asked else 1.0
    return {n: min(middle * sqrt(2.0), max(middle / sqrt(2.0), d)) for n, d in demands.items()}


class Council:
    """The living drivers' digests at one moment, and what they amount to.

    Let n drivers vote on a zone, L of them liars. No weight is over twice another's, so the liars' part is
    at most 2L / (2L + n - L). It reaches one half at L = n / 3: below that neither a false leave nor a
    blocked one is had from the fleet. Among k mates, where over two thirds are asked for, a false leave
    needs L over k / 2, and at least three where there are three; a true one is blocked from k / 5 on, and
    then the fleet's half decides.
    """

    def __init__(self, name: str, view: View) -> None:
        self.name, self.zone, self.view = name, view.own.zone, view
        self.digests = {n: d for n, (age, d) in view.heard.items() if age <= FRESH_FOR and n != name}
        self.digests[name] = view.own
        self.weights = weigh({n: d.demand for n, d in self.digests.items()})
        self.parts = {n: parts(d) for n, d in self.digests.items()}
        self.votes = {
            n: {z: Vote.NONE if v is Vote.WELL and z in self.parts[n] else v for z, v in votes(d).items()}
            for n, d in self.digests.items()
        }
        self.everyone = sorted(self.digests)
        self.mates = sorted(n for n, d in self.digests.items() if d.zone == self.zone)

    def part(self, jury: Iterable[str], zone: str, least: Vote, most: Vote = Vote.LOST) -> tuple[int, float]:
        """How many of a jury vote between two, and their part of the weight of all that vote."""
        count, weight, total = 0, 0.0, 0.0
        for name in jury:
            vote = self.votes[name].get(zone, Vote.NONE)
            if vote is Vote.NONE:
                continue
            total += self.weights[name]
            if least <= vote <= most:
                count += 1
                weight += self.weights[name]
        return count, weight / total if total else 0.0

    def together(self, jury: list[str], zone: str) -> bool:
        """Whether a jury's drivers, none of which uses enough of a zone's members, know it lost together.

        Over two thirds of the weight of those who say anything find all that they use there down, and what
        they name is enough of the zone. Two thirds, since here it is one liar's word that a member is down.
        """
        against = [n for n in jury if zone in self.parts[n] or self.votes[n].get(zone) is Vote.LOST]
        if len(against) < max(min(ALONE, len(jury)), ceil(len(jury) / 3)):
            return False
        total = sum(self.weights[n] for n in jury if n in against or self.votes[n].get(zone, Vote.NONE))
        if sum(self.weights[n] for n in against) <= total * 2 / 3:
            return False
        rows = [r for n in against if (r := self.row(n, zone)) is not None]
        there = sorted(r.there for r in rows)[len(rows) // 2]
        return reduce(or_, (r.down for r in rows), 0).bit_count() >= enough(there)

    def verdict(self, zone: str) -> Vote:
        """The worst that a quorum says of a zone as seen from here; WELL where none speaks against it."""
        mates = self.mates
        outside = [n for n, d in self.digests.items() if d.zone != zone]
        _, well = self.part(mates, zone, Vote.WELL, Vote.WELL)
        for level in (Vote.LOST, Vote.FAILING, Vote.SLOW):
            count, share = self.part(mates, zone, level)
            if share > 2 / 3 and count >= max(min(ALONE, len(mates)), ceil(len(mates) / 2)):
                return level
            if level is Vote.LOST and self.together(mates, zone):
                return level
            # Inside a zone that is cut off the mates see it well; the others count where none of them does.
            if well >= 0.5 or (self.zone == zone and (well > 0.0 or count == 0)):
                continue
            # Who stands inside knows first that a zone is lost, and last that it is cut off: with or without.
            for jury in (outside, self.everyone):
                count, share = self.part(jury, zone, level)
                if share > 0.5 and count >= max(min(ALONE, len(jury)), ceil(len(jury) / 3)):
                    return level
                if level is Vote.LOST and self.together(jury, zone):
                    return level
        return Vote.WELL

    def doubted(self, zone: str) -> float:
        """The part of the weight of all outside, or here, that speaks against a zone, the larger one."""
        outside = [n for n, d in self.digests.items() if d.zone != zone]
        return max(self.part(self.mates, zone, Vote.SLOW)[1], self.part(outside, zone, Vote.SLOW)[1])

    def row(self, name: str, zone: str) -> Row | None:
        """One driver's row of a zone."""
        return next((r for r in self.digests[name].rows if r.zone == zone), None)

    def served(self, zone: str) -> list[str]:
        """The mates that were served well there: answers, few failures, and hardly a silent member."""
        found = []
        for name in self.mates:
            row = self.row(name, zone)
            if row is None or not self.digests[name].fit or row.good == 0:
                continue
            few = row.silent + row.refused < FAILING * row.asked
            if few and row.bad <= (1.0 - LOST_MEMBERS) * row.members:
                found.append(name)
        return found

    def back(self, zone: str) -> list[str]:
        """The other mates that are on the way back to a zone, or use it in full and see it well."""
        found = []
        for name in self.mates:
            for stance in self.digests[name].stances:
                if name == self.name or stance.zone != zone:
                    continue
                full = stance.state in (State.NORMAL, State.SUSPECTED)
                well = full and self.votes[name].get(zone) is Vote.WELL
                if well or stance.state == State.RETURNING:
                    found.append(name)
        return found

    def stances(self, zone: str) -> list[tuple[float, Stance]]:
        """What the other mates do with a zone, each with its weight."""
        return [
            (self.weights[n], s)
            for n in self.mates
            if n != self.name
            for s in self.digests[n].stances
            if s.zone == zone
        ]

    def middle(self, zone: str) -> tuple[bool, float]:
        """Whether the other mates are out of a zone, by their quorum; and their weighted median share."""
        told = sorted(self.stances(zone), key=lambda t: t[1].share)
        total = sum(self.weights[n] for n in self.mates if n != self.name)
        out = [w for w, s in told if s.state in (State.LEFT, State.RETURNING)]
        share, passed = 1.0, 0.0
        for weight, stance in told:
            passed += weight
            share = stance.share / 1000.0
            if passed >= total / 2:
                break
        else:
            share = 1.0  # who says nothing of it uses it in full
        return len(out) >= 2 and sum(out) > total * 2 / 3, share

    def heard_enough(self) -> bool:
        """Whether two thirds of the living were heard: before that a few would be a quorum."""
        return len(self.digests) * 3 >= self.view.living * 2

    def rate(self, zone: str) -> float:
        """Answers a second that all drivers together had from a zone."""
        return sum(r.good for n in self.digests if (r := self.row(n, zone)) is not None) / RECENT

    def slowness(self, zone: str) -> float:
        """The mean answer there, as a share of its aim."""
        rows = [r for n in self.digests if (r := self.row(n, zone)) is not None]
        good = sum(r.good for r in rows)
        return sum(r.slowness * r.good for r in rows) / good / 1000.0 if good else 0.0


class Zones:
    """One driver's zones. `turn` takes a view and returns the shares that the module is to be told."""

    def __init__(self, name: str, settings: ZoneSettings) -> None:
        self.name, self.settings = name, settings
        self.zones: dict[str, Zone] = {}
        self.proven = 0.0  # answers a second and size that members have given while well, at best
        self.proven_at = 0.0
        self.changes: list[tuple[str, str]] = []  # (zone, what) since the owner looked

    def turn(self, view: View) -> dict[str, float]:
        """Judge all zones. Those without members that may be used are forgotten: the list says enough."""
        for name in view.zones:
            self.zones.setdefault(name, Zone(name, since=view.now, wait=self.settings.wait))
        for name in [n for n in self.zones if n not in view.zones]:
            del self.zones[name]
        council = Council(self.name, view)
        if not view.late and council.heard_enough():
            self._prove(council)
            doubts = {n: council.doubted(n) for n in self.zones}
            for zone in sorted(self.zones.values(), key=lambda z: (-doubts[z.name], z.name)):
                self._judge(zone, council, doubts[zone.name])
        return {z.name: z.share for z in self.zones.values()}

    def stances(self, now: float) -> tuple[Stance, ...]:
        """What to tell of the zones that are not used in full."""
        return tuple(
            Stance(z.name, int(z.state), round(1000 * z.share), int(10 * (now - z.since)), z.relapses)
            for z in sorted(self.zones.values(), key=lambda z: z.name)
        )

    # One zone

    def _judge(self, zone: Zone, council: Council, doubt: float) -> None:
        now, verdict = council.view.now, council.verdict(zone.name)
        if verdict is not zone.verdict:
            zone.verdict, zone.verdict_at = verdict, now
        stood = now - zone.verdict_at
        sure = verdict >= Vote.SLOW and stood >= (
            self.settings.hold if verdict is Vote.LOST else self.settings.hold_slow
        )
        order = council.view.leaves.get(zone.name)
        if zone.state in (State.NORMAL, State.SUSPECTED):
            self._normal(zone, council, doubt, sure, order)
        elif zone.state is State.LEAVING:
            self._leaving(zone, council, sure, order)
        elif zone.state is State.LEFT:
            self._left(zone, council, order)
        else:
            self._returning(zone, council, sure, order)

    def _normal(self, zone: Zone, council: Council, doubt: float, sure: bool, order: Order | None) -> None:
        now = council.view.now
        if zone.relapses and now - zone.since > self.settings.calm:
            zone.relapses, zone.wait = 0, self.settings.wait
        if order is not None or sure:
            if self._leave(zone, council, order):
                return
            self._doubt(zone, now, zone.why)
            return
        out, share = council.middle(zone.name)
        # A newcomer, or one that slept, does as its mates do.
        # One that was back before them does not: what it hears of them is older than its own step.
        behind = now - zone.back_at < self.settings.warm
        if out and not behind and self._others(zone, council):
            self._follow(zone, now, share)
        elif doubt >= 0.25:
            self._doubt(zone, now, f"{doubt:.0%} of the weight speaks against it")
        elif zone.state is State.SUSPECTED:
            self._go(zone, State.NORMAL, now, 1.0, "")

    def _follow(self, zone: Zone, now: float, share: float) -> None:
        """Use a zone as the mates do, by their median: not at all, a little, or on the way back."""
        settings, why = self.settings, "as the mates do"
        if share >= settings.step_share(0):
            steps = [k for k in range(settings.steps) if settings.step_share(k) <= share + 1e-3]
            self._step(zone, now, max(steps), why)
            return
        watched = share >= settings.watch - 1e-3
        zone.cause = Vote.FAILING if watched else Vote.LOST
        self._go(zone, State.LEFT, now, settings.watch if watched else 0.0, why)

    def _doubt(self, zone: Zone, now: float, why: str) -> None:
        if zone.state is not State.SUSPECTED:
            self._go(zone, State.SUSPECTED, now, 1.0, why)
        zone.why = why

    def _leave(self, zone: Zone, council: Council, order: Order | None) -> bool:
        """Begin to leave, where that may be; returns whether it may."""
        now = council.view.now
        if not self._others(zone, council):
            zone.why = "nothing else is there to go to"
            return False
        zone.load = council.rate(zone.name)
        zone.cause, zone.from_share = (Vote.NONE if order is not None else zone.verdict), zone.share
        if zone.verdict is Vote.LOST and order is None:
            self._go(zone, State.LEFT, now, 0.0, "lost")
            return True
        if self._kept(zone, council, order) >= SOON:
            zone.why = "the other zones have no room for it"
            return False
        why = f"ordered by {order.by}" if order is not None else f"it is {zone.verdict.name.lower()}"
        self._go(zone, State.LEAVING, now, zone.share, why)
        return True

    def _leaving(self, zone: Zone, council: Council, sure: bool, order: Order | None) -> None:
        now, settings = council.view.now, self.settings
        if zone.verdict is Vote.LOST and sure and self._others(zone, council):
            zone.cause = Vote.LOST
            self._go(zone, State.LEFT, now, 0.0, "lost")
            return
        if zone.cause is Vote.NONE and order is None:
            self._return(zone, now, "the order is taken back")
            return
        over = max(order.within if order is not None else 0.0, settings.leave_over)
        passed = min(1.0, (now - zone.since) / over)
        kept = self._kept(zone, council, order)
        zone.share = max(kept, zone.from_share + (kept - zone.from_share) * passed)
        if passed >= 1.0:
            text = (
                f"{zone.why}; {kept:.0%} stays, the others bear no more"
                if kept > settings.watch
                else zone.why
            )
            self._go(zone, State.LEFT, now, kept, text)

    def _left(self, zone: Zone, council: Council, order: Order | None) -> None:
        now = council.view.now
        if order is not None:  # it governs; when it is taken back, what was seen before does
            zone.why = f"ordered by {order.by}"
            if zone.cause is Vote.NONE and now - zone.step_at >= RECENT:
                zone.step_at = now
                kept = self._kept(zone, council, order)
                zone.share += max(-BACK, min(BACK, kept - zone.share))
            return
        if not self._others(zone, council) and zone.cause is not Vote.LOST:
            self._return(zone, now, "nothing else is there to go to")
            return
        if zone.cause is Vote.NONE:
            self._return(zone, now, "the order is taken back")
        elif zone.cause is Vote.LOST:
            self._try(zone, council)
        else:
            self._watch(zone, council)

    def _watch(self, zone: Zone, council: Council) -> None:
        """A zone that still answers has a small share; it comes back when it was well for the wait."""
        now = council.view.now
        if zone.verdict is Vote.LOST:
            zone.cause = Vote.LOST
            self._go(zone, State.LEFT, now, 0.0, "lost")
            return
        _, well = council.part(council.mates, zone.name, Vote.WELL, Vote.WELL)
        if zone.verdict is not Vote.WELL or well <= 0.5:
            zone.well_at = None
        elif zone.well_at is None:
            zone.well_at = now
        elif now - zone.well_at >= max(zone.wait, self.settings.hold_slow):
            self._return(zone, now, "well again")

    def _try(self, zone: Zone, council: Council) -> None:
        """A few in turn try a lost zone; when enough were served there, all begin to return."""
        now, settings = council.view.now, self.settings
        served = council.served(zone.name)
        enough = min(settings.triers, ceil(len(council.mates) / 3))
        if len(served) >= enough and now - zone.since >= zone.wait:
            self._return(zone, now, f"{', '.join(served[:3])} served there")
            return
        back = sum(council.weights[n] for n in council.back(zone.name))
        others = sum(council.weights[n] for n in council.mates if n != self.name)
        if now - zone.since >= zone.wait and back > others * 2 / 3:
            self._return(zone, now, "the mates are back")
            return
        passed = now - zone.since - zone.wait
        # Where drivers have few requests a turn lasts longer, so that it has some.
        usual = sorted(d.demand for n, d in council.digests.items() if n in council.mates)
        length = settings.turn * min(TURN_MOST, max(1.0, TRY_RATE * 4.0 / max(0.01, usual[len(usual) // 2])))
        mine = passed >= 0 and self.name in self.triers(zone, council, int(passed / length))
        if mine or self.name in served:
            # Halved: those of the last turn that were served go on beside those of this one.
            fair = settings.step_share(0) * len(council.mates) / settings.triers / 2.0
            least = TRY_RATE / max(0.01, council.view.own.demand)
            zone.share = min(settings.trial, max(fair, least))
        else:
            zone.share = 0.0

    def triers(self, zone: Zone, council: Council, turn: int) -> list[str]:
        """The mates whose turn it is, by rendezvous: all that see the same mates name the same."""

        def rank(name: str) -> bytes:
            return hashlib.blake2b(f"{zone.name}/{turn}/{name}".encode(), digest_size=8).digest()

        return sorted(council.mates, key=rank)[: self.settings.triers]

    def _returning(self, zone: Zone, council: Council, sure: bool, order: Order | None) -> None:
        now, settings = council.view.now, self.settings
        if order is not None:
            self._leave(zone, council, order)
            return
        if sure and now - zone.since >= settings.settle and self._others(zone, council):
            zone.relapses += 1
            zone.wait = min(2.0 * zone.wait, settings.wait_most)
            zone.cause = zone.verdict
            share = 0.0 if zone.verdict is Vote.LOST else min(zone.share, settings.watch)
            self._go(zone, State.LEFT, now, share, f"relapsed: {zone.verdict.name.lower()}")
            return
        own = council.votes[self.name].get(zone.name, Vote.NONE)
        if own >= Vote.FAILING or zone.name in council.parts[self.name]:
            zone.step_at = now  # what is seen here holds here
        _, middle = council.middle(zone.name)
        ahead = bool(council.stances(zone.name)) and zone.share > middle + 1e-3
        if now - zone.step_at < settings.warm / settings.steps - TURN_AT_MOST or ahead:
            return
        if zone.step + 1 < settings.steps:
            self._step(zone, now, zone.step + 1, zone.why)
        else:
            zone.back_at = now
            self._go(zone, State.NORMAL, now, 1.0, "")

    def _return(self, zone: Zone, now: float, why: str) -> None:
        self._step(zone, now, 0, why)

    def _step(self, zone: Zone, now: float, step: int, why: str) -> None:
        if zone.state is not State.RETURNING:
            self._go(zone, State.RETURNING, now, 0.0, why)
        zone.step, zone.step_at = step, now
        zone.share = self.settings.step_share(step)

    def _go(self, zone: Zone, state: State, now: float, share: float, why: str) -> None:
        zone.state, zone.since, zone.share, zone.why, zone.well_at = state, now, share, why, None
        self.changes.append((zone.name, state.name.lower()))

    # What the others bear

    def _others(self, zone: Zone, council: Council) -> list[Zone]:
        """The zones that stay when this one is left: used in full, and nobody's verdict is against them."""
        return [
            z
            for z in self.zones.values()
            if z is not zone and z.share >= SOON and council.verdict(z.name) < Vote.FAILING
        ]

    def _prove(self, council: Council) -> None:
        """Remember what members served while they were well: the rate per size, at best.

        Not while a zone is used in part: what the others bear of it just now is not yet proven to last.
        """
        if any(z.share < SOON for z in self.zones.values()):
            return
        rates = [
            council.rate(n) / size
            for n, size in council.view.zones.items()
            if size > 0 and council.slowness(n) < 0.5
        ]
        passed, self.proven_at = council.view.now - self.proven_at, council.view.now
        self.proven = max(self.proven * exp(-max(0.0, passed) / REMEMBERED), *rates, 0.0)

    def _kept(self, zone: Zone, council: Council, order: Order | None) -> float:
        """The share that has to stay, since the other zones would not bear it.

        They are trusted to bear `headroom` times what they served at best while well, less what they
        serve; strained ones give some back. What was moved there is counted with them.
        """
        room = (1.0 - zone.share) * zone.load
        for other in self._others(zone, council):
            able = self.settings.headroom * self.proven * council.view.zones[other.name]
            if council.slowness(other.name) < STRAINED:
                room += max(0.0, able - council.rate(other.name))
            else:
                room -= BACK * zone.load
        kept = max(0.0, 1.0 - room / zone.load) if zone.load > 0 else 0.0
        return kept if order is not None else max(kept, self.settings.watch)
