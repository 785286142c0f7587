"""Every decision of sedgepitch: which member answers a request, when, and when it is turned away.

The types, events and actions stand in ``sedgepitch/interface.py``. A Router is a pure state machine: the
same settings, seed and events give the same actions. docs/design.md says what is the paper's and what ours.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from statistics import median

from sedgepitch import interface as api
from sedgepitch.interface import Checks, Effect, Freshness, Marks, Result, Scope, State

# The mechanism (paper: Huang et al.; "ours" where the paper or the design page leaves it open).
PERIOD = 5.0  # s between comparisons of the two sides; ours, the paper has 60
THRESHOLD = 0.5  # a side must answer in under this share of the other's median; paper's Decision Threshold
EXPLORE = 0.04  # share of open reads that try the other side; paper's Exploration Fraction is 0.10
LEAST_SAMPLE = 5  # answers a side needs in a period to be compared; ours, one fast answer proves nothing
# Freshness.
POSITION_SLACK = 0.001  # s; positions and commits are told in whole milliseconds, rounded either way
PROBE_LEAD = 0.3  # share of a read's bound that must be left before its position is asked for anew
PROBE_GAP = 0.25  # least time between two probes of a member, as a share of that bound
# Health.
SILENCE = 8.0  # answers that a member should have given meanwhile, judged by its peers' latency
FAILING = 0.35  # share of failed answers above which a member is rested
REST = (0.5, 4.0)  # s that a suspected member rests: at first, and at most; doubles with each failed trial
TRIALS = 3  # good trials in a row that bring back a member that was failing
# Load.
LIMIT = (1.0, 48.0)  # own requests in flight a member may have: at least; to begin with, all drivers together
LATE = 0.8  # share of its aim beyond which an answer says that the member is too busy
STRAINED = 0.3  # mean latency, as a share of the aim, below which a late answer is a heavy request's own
SPEED_UP = (5.0, 25.0)  # growth is up to this much faster, one more for each so many answers in time on end
BACK_OFF, GROW = 0.75, 0.008  # a late answer cuts the limit to this share; one in time lets it grow by this
LEAST_WORTHY = 0.7  # share of the limit that the class of least worth per work may fill
WAIT = 0.15  # share of its aim that a read may wait for room before it is refused
HEDGE_ROOM = 0.4  # share of a member's room that second copies may use: they must not feed an overload
OWN_ZONE = 0.15  # share of the aim by which a member elsewhere must be quicker to win a tie
COLD_SHARE = 0.5  # share of the stated overload multiple that a cold member's allowance may use
COLD_BURST = 0.25  # s of its allowance that a cold member may be sent at once
BUDGET = (0.15, 10.0)  # resends and second copies: earned by each request, and kept at most
PROBE_BUDGET = 0.4  # probes that each read in need of a position earns its group; one a member is kept
BEATS = 20.0  # looks at the clock within the shortest aim
NEVER = float("inf")

NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT, Result.MISS)


class Member:
    """What this driver knows of one member, from its own traffic, reports and the list."""

    def __init__(self, listing: api.Listing, start_limit: float) -> None:
        self.id, self.group, self.zone = listing.member, listing.group, listing.zone
        self.size, self.state, self.started = listing.size, listing.state, listing.started
        self.listed_primary = False
        self.told_draining = False
        self.position, self.lag = -NEVER, NEVER
        self.role_at = -NEVER
        self.out: dict[tuple[int, int], tuple[float, Request]] = {}
        self.last_answer = -NEVER
        self.failing = 0.0
        self.suspect = ""  # why it is kept from traffic: "silent", "down" or "failing"
        self.suspect_since = self.rest_until = 0.0
        self.rest = REST[0]
        self.trial: tuple[int, int] | None = None
        self.good_trials = 0
        self.limit, self.limit_at = start_limit, -NEVER
        self.in_time, self.strain = 0, 0.0
        self.cold_from = -NEVER
        self.allowance, self.allowance_at = 1.0, 0.0
        self.sent, self.rate = 0, 0.0
        self.probing, self.probed_at = False, -NEVER

    def distrust(self, why: str, now: float) -> None:
        """Keep traffic away for a while, longer each time a trial fails."""
        self.rest = min(self.rest * 2.0, REST[1]) if self.suspect else REST[0]
        if not self.suspect:
            self.suspect_since = now
        self.suspect, self.rest_until, self.trial, self.good_trials = why, now + self.rest, None, 0

    def trust(self) -> None:
        """Take it back into traffic."""
        self.suspect, self.failing, self.trial, self.rest = "", 0.0, None, REST[0]


class Group:
    """The members that hold the same data: who is primary, the two samples, and the side in use."""

    def __init__(self) -> None:
        self.members: dict[int, Member] = {}
        self.primary: Member | None = None
        self.side_replicas = True
        self.samples: tuple[list[float], list[float]] = ([], [])  # replicas', primary's
        self.typical = 0.0
        self.reference = 0.0
        self.waiting: list[Request] = []
        self.scout_at = -NEVER
        self.scout: int | None = None
        self.needs_position = -NEVER
        self.probes = 2.0
        self.sessions: dict[str, float] = {}
        self.session_floor = -NEVER

    def compare(self) -> None:
        """The paper's comparison, once a period; between the thresholds, or without a sample, hold."""
        replicas, primary = self.samples
        if len(replicas) >= LEAST_SAMPLE and len(primary) >= LEAST_SAMPLE:
            on_replicas, on_primary = median(replicas), median(primary)
            if on_replicas < THRESHOLD * on_primary:
                self.side_replicas = True
            elif on_primary < THRESHOLD * on_replicas:
                self.side_replicas = False
        self.samples = ([], [])

    def told_role(self, member: Member, primary: bool, at: float) -> bool:
        """Take evidence of a role, the newest counts; true where it made a new primary known."""
        if at < member.role_at:
            return False
        member.role_at = at
        if not primary and self.primary is member:
            self.primary = None
        elif primary and self.primary is not member and (not self.primary or at >= self.primary.role_at):
            self.primary = member
            return True
        return False


class Request:
    """One request that is owed an answer, and the attempts made for it."""

    def __init__(self, event: api.Arrived, cls: api.RequestClass, group: Group, now: float) -> None:
        self.id, self.cls, self.group, self.session = event.request, cls, group, event.session
        self.arrived, self.until = now, now + event.time_left
        self.need = -NEVER
        self.attempts: list[Member] = []
        self.out: dict[int, float] = {}
        self.may_have_run: list[tuple[Member, float]] = []
        self.done = self.hedged = self.asked = False
        self.worthy = 1.0
        late = cls.late_worth > 0 and cls.freshness is Freshness.WRITE
        self.give_up = self.until if late else min(self.until, now + WAIT * cls.aim)


class Router:
    """Decides for one driver. Feed it events with ``handle``; carry out the actions it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        if not settings.classes:
            raise ValueError("settings.classes: at least one class is needed")
        for name in ("aim", "deadline"):
            if any(getattr(c, name) <= 0 for c in settings.classes):
                raise ValueError(f"settings.classes: {name} must be above 0")
        if settings.tick < 0:
            raise ValueError("settings.tick: must not be negative")
        if settings.most_attempts < 1:
            raise ValueError("settings.most_attempts: at least one attempt is needed")
        self.settings, self.rules = settings, settings.rules
        self.random = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.work = {c.name: c.aim * 0.2 for c in settings.classes}
        self.groups: dict[int, Group] = {}
        self.start_limit = max(LIMIT[0] * 2.0, LIMIT[1] / max(1, settings.drivers))
        self.members: dict[int, Member] = {}
        self.requests: dict[int, Request] = {}
        self.tenants: dict[str, tuple[float, float]] = {}
        self.actions: list[api.Action] = []
        self.now = 0.0
        self.beat = max(settings.tick, min(c.aim for c in settings.classes) / BEATS)
        self.margin = self.beat + 2.0 * settings.tick
        self.beats = 0
        self.next_period = self.next_rates = NEVER
        self.budget = BUDGET[1]
        self.subscribe_at = -NEVER if settings.subscribe else NEVER
        self.subscribe_pause = REST[0]
        bounds = [c.max_age for c in settings.classes if c.freshness is Freshness.BOUNDED]
        self.bound = min(bounds, default=min(c.aim for c in settings.classes))

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in order, and return what to do about them."""
        self.now, self.actions = now, []
        beat_due = self.beats == 0
        if beat_due:
            self.next_period, self.next_rates = now + PERIOD, now + 1.0
        for event in events:
            match event:
                case api.Arrived():
                    self.on_arrived(event)
                case api.Finished():
                    self.on_finished(event)
                case api.Timer():
                    beat_due = beat_due or event.nonce == self.beats
                case api.Probed():
                    self.on_probed(event)
                case api.Members():
                    self.on_members(event)
                case api.ListFailed():
                    self.subscribe_at = now + self.subscribe_pause * (1.0 + self.random.random())
                    self.subscribe_pause = min(
                        self.subscribe_pause * 2.0, max(REST[0], self.rules.ask_within / 4)
                    )
                case api.ClientGone():
                    if request := self.requests.pop(event.request, None):
                        request.done = True
        if beat_due:
            self.beats += 1
            self.on_beat()
            self.actions.append(api.SetTimer(self.beat, self.beats))
        return self.actions

    # The member list

    def on_members(self, event: api.Members) -> None:
        """Apply a list; a member missing from a complete one is gone."""
        named = set()
        for listing in event.listings:
            named.add(listing.member)
            self.on_listing(listing)
        if event.complete:
            for member in self.members.values():
                if member.id not in named:
                    member.state = State.GONE
        if not event.remembered:
            self.subscribe_pause = REST[0]

    def on_listing(self, listing: api.Listing) -> None:
        """Apply one entry: state, start and role. The role is late, so answers outrank it."""
        member = self.members.get(listing.member)
        if member is None:
            member = self.members[listing.member] = Member(listing, self.start_limit)
            self.groups.setdefault(listing.group, Group()).members[listing.member] = member
            member.cold_from = listing.started if listing.started > 0 else -NEVER
        elif listing.started > member.started:
            member.started = member.cold_from = listing.started
            if member.suspect == "down":
                member.rest_until = self.now
        group = self.groups[member.group]
        member.state, member.size = listing.state, listing.size
        member.told_draining = listing.state is State.DRAINING or (
            member.told_draining and listing.state is State.GONE
        )
        if listing.primary and not member.listed_primary:
            held = group.primary
            if held is None or held.suspect or held.state is not State.UP:
                group.told_role(member, True, max(member.role_at, held.role_at if held else -NEVER))
        member.listed_primary = listing.primary

    # Answers and reports

    def on_finished(self, event: api.Finished) -> None:
        """Learn from the end of an attempt, then serve, resend or give the request up."""
        member = self.members.get(event.member)
        if member is None or (event.request, event.attempt) not in member.out:
            return
        sent, request = member.out.pop((event.request, event.attempt))
        group = self.groups[member.group]
        self.learn(member, group, event, request.cls)
        request.out.pop(event.attempt)
        if event.result is Result.OK and request.cls.freshness is Freshness.WRITE and event.position:
            group.sessions[request.session] = max(group.sessions.get(request.session, 0.0), event.position)
        if request.done or event.final:
            self.close(request)
            return
        if event.result not in NEVER_RAN:
            request.may_have_run.append((member, sent))
        if not request.out:
            self.next_step(request)

    def learn(self, member: Member, group: Group, event: api.Finished, cls: api.RequestClass) -> None:
        """Role, position, health, load and the side's sample, from one outcome."""
        now, result, key = self.now, event.result, (event.request, event.attempt)
        if event.primary is not None and group.told_role(member, event.primary, now):
            self.on_primary(group)
        self.on_report(member, event.report)
        if event.primary is False:
            self.on_report(member, api.Report(event.position))
        answered = result in (Result.OK, Result.ERROR, Result.FULL, Result.MISS)
        if answered:
            member.last_answer = now
            member.failing += 0.1 * ((result is Result.ERROR) - member.failing)
            if member.suspect:
                self.on_trial(member, key, result)
            elif member.failing > FAILING:
                member.distrust("failing", now)
        elif result is Result.CONNECT_FAILED and member.out and now - member.last_answer < REST[0]:
            member.limit = max(LIMIT[0], len(member.out) * BACK_OFF)  # a full table, not a dead process
        elif result in (Result.CONNECT_FAILED, Result.RESET):
            if member.trial == key or not member.suspect:
                member.distrust("down", now)
        elif result is Result.TIMEOUT and member.trial == key:
            member.distrust("silent", now)
        if member.trial == key:
            member.trial = None
        if result not in (Result.OK, Result.TIMEOUT, Result.FULL):
            return
        late = result is not Result.OK or event.elapsed > LATE * cls.aim
        strained = member.strain > STRAINED
        member.strain += 0.1 * (min(1.5, event.elapsed / cls.aim) - member.strain)
        member.in_time = 0 if late else member.in_time + 1
        if late and strained and now - member.limit_at > self.work[cls.name]:
            member.limit = max(LIMIT[0], min(member.limit, len(member.out) + 1.0) * BACK_OFF)
            member.limit_at = now
        elif not late and len(member.out) + 1 > member.limit / 2:
            member.limit += GROW * member.limit * min(SPEED_UP[0], 1.0 + member.in_time / SPEED_UP[1])
        if result is Result.FULL:
            return
        if cls.freshness in (Freshness.BOUNDED, Freshness.ANY):
            group.samples[member is group.primary].append(event.elapsed)
        if result is Result.OK:
            group.typical += (event.elapsed - group.typical) * (0.05 if group.typical else 1.0)
            known = self.work[cls.name]
            self.work[cls.name] = known + 0.02 * known * (3.0 if event.elapsed > known * 1.5 else -1.0)

    def on_trial(self, member: Member, key: tuple[int, int], result: Result) -> None:
        """A suspected member answered: silence is over at once; errors must stay away for several trials."""
        if member.suspect != "failing":
            member.trust()
        elif member.trial == key:
            if result is Result.ERROR:
                member.distrust("failing", self.now)
            else:
                member.good_trials += 1
                if member.good_trials >= TRIALS:
                    member.trust()

    def on_report(self, member: Member, report: api.Report | None) -> None:
        """Positions only grow; one ahead of now is not believed. A report is as old as its position."""
        if report is None:
            return
        position = report.position
        if position is not None and member.position < position <= self.now + POSITION_SLACK:
            member.position, member.lag = position, self.now - position
        if report.primary is not None and position is not None:
            group = self.groups[member.group]
            if group.told_role(member, report.primary, min(position, self.now)):
                self.on_primary(group)

    def on_probed(self, event: api.Probed) -> None:
        """A probe gives position and role; that it is answered shows only that a process runs."""
        member = self.members.get(event.member)
        if member is None:
            return
        member.probing = False
        self.on_report(member, event.report)
        if member.suspect == "down" and event.result is Result.OK:
            if self.now - member.suspect_since > REST[0]:
                member.cold_from = max(member.cold_from, self.now)  # it may well have restarted
            member.suspect, member.rest_until = "silent", self.now
        elif member.suspect == "down":
            member.distrust("down", self.now)
        self.place_waiting(self.groups[member.group])

    def on_primary(self, group: Group) -> None:
        """A primary was found: what waits for one goes on, and writes stuck at the old one are sent again."""
        group.scout = None
        if self.settings.second_copies and group.primary is not None:
            for member in group.members.values():
                if member is group.primary:
                    continue
                for _, request in list(member.out.values()):
                    write = not request.done and request.cls.freshness is Freshness.WRITE
                    if write and self.may_resend(request, group.primary):
                        self.send(request, group.primary)
        self.place_waiting(group)

    # Who may be sent to, who is recent enough, who is primary

    def may_send(self, member: Member, share: float = NEVER) -> bool:
        """Drain, cold start, health and own load, in that order."""
        gone = member.state is not State.UP
        if gone and not (
            self.rules.removal_not_binding and member.state is State.GONE and not member.told_draining
        ):
            return False
        if member.cold_from + self.rules.warm_within > self.now and not self.cold_room(member):
            return False
        if member.suspect:
            if member.suspect == "down" and self.settings.probes and member.rest < REST[1]:
                return False  # a probe comes first, but one that always fails must not decide alone
            return member.trial is None and self.now >= member.rest_until
        return len(member.out) < member.limit * share

    def warmth(self, member: Member) -> float:
        """The share of its capacity that a member surely has by now."""
        start, within = self.rules.start_capacity, self.rules.warm_within
        age = self.now - member.cold_from
        return 1.0 if age >= within else start + (1.0 - start) * max(0.0, age) / within

    def cold_room(self, member: Member) -> bool:
        """Give a cold member its warmth's share of what its warm peers get, with no bursts."""
        factor = max(1.0, COLD_SHARE * self.rules.overload_factor)
        rate = max(1.0, factor * self.warmth(member) * self.groups[member.group].reference)
        earned = (self.now - member.allowance_at) * rate
        member.allowance = min(max(1.0, rate * COLD_BURST), member.allowance + earned)
        member.allowance_at = self.now
        return member.allowance >= 1.0

    def fresh_enough(self, member: Member, request: Request) -> bool:
        """By its last known position, at this moment, the member holds all that the read must see."""
        kind = request.cls.freshness
        if kind is Freshness.ANY:
            return True
        if kind is Freshness.BOUNDED:
            return member.position >= self.now - request.cls.max_age + POSITION_SLACK
        return kind is Freshness.SESSION and member.position >= request.need + POSITION_SLACK

    # Requests

    def on_arrived(self, event: api.Arrived) -> None:
        """Take a request and place it."""
        cls, group = self.classes.get(event.class_name), self.groups.get(event.group)
        if event.request in self.requests:
            return
        if cls is None or group is None:
            self.actions.append(api.Refuse(event.request, 0.0))
            return
        request = self.requests[event.request] = Request(event, cls, group, self.now)
        self.budget = min(BUDGET[1], self.budget + BUDGET[0])
        if cls.freshness is Freshness.SESSION:
            if self.settings.marks is Marks.CARRIED:
                if event.session_age > 0:
                    request.need = self.now - event.session_age
            else:
                request.need = group.sessions.get(event.session, group.session_floor)
        if cls.freshness in (Freshness.SESSION, Freshness.BOUNDED):
            group.needs_position = self.now
            group.probes = min(group.probes + PROBE_BUDGET, float(len(group.members)))
        best = max(c.worth / self.work[c.name] for c in self.settings.classes)
        worth = cls.worth * self.share_worth(event.tenant)
        request.worthy = LEAST_WORTHY + (1.0 - LEAST_WORTHY) * worth / self.work[cls.name] / best
        self.place(request)

    def share_worth(self, tenant: str) -> float:
        """What a tenant sends beyond an even part of its quota is worth little where room is scarce."""
        if tenant not in self.settings.quotas:
            return 1.0
        rate = self.settings.quotas[tenant] / max(1, self.settings.drivers)
        left, at = self.tenants.get(tenant, (rate, self.now))
        left = min(rate, left + (self.now - at) * rate)
        self.tenants[tenant] = (max(0.0, left - 1.0), self.now)
        return 1.0 if left >= 1.0 else self.settings.over_quota_worth

    def place(self, request: Request) -> None:
        """Send to the best member that may take it now; let it wait for one while that can still help."""
        cls, now = request.cls, self.now
        if request.until - now < max(self.margin, self.work[cls.name] / 2):
            self.finish(request)
            return
        member = self.choose(request)
        if member is not None and self.may_resend(request, member):
            self.send(request, member)
        elif now + self.margin >= request.give_up or any(
            now - sent > cls.window for _, sent in request.may_have_run if cls.effect is not Effect.SAFE
        ):
            self.finish(request)
        else:
            request.group.waiting.append(request)

    def choose(self, request: Request) -> Member | None:
        """The side, then the pick within it."""
        group, cls = request.group, request.cls
        primary = group.primary
        if cls.freshness is Freshness.WRITE and primary is None:
            return self.scout(group, request)
        if cls.freshness in (Freshness.WRITE, Freshness.FRESH):
            if primary is not None and self.may_send(primary, request.worthy):
                return primary
            if cls.freshness is Freshness.WRITE and primary is not None and primary.suspect:
                return self.scout(group, request)
            return None
        share = request.worthy
        on_replicas = group.side_replicas or cls.freshness is Freshness.SESSION
        if cls.freshness is not Freshness.SESSION and self.random.random() < EXPLORE:
            on_replicas = not on_replicas
        main = primary if primary is not None and primary not in request.attempts else None
        if not on_replicas and main is not None and self.may_send(main, share * LEAST_WORTHY):
            return main
        if (member := self.pick(request)) is not None:
            return member
        if self.ask_first(request):
            return None
        return main if main is not None and self.may_send(main, share) else None

    def ask_first(self, request: Request) -> bool:
        """Before the primary bears a read: ask a likely replica for its position, once."""
        if request.asked or request.cls.freshness is Freshness.ANY or not self.settings.probes:
            return False
        if self.now + 2.0 * self.margin >= request.give_up or not self.settings.reports_position:
            return False
        request.asked = True
        bound = request.cls.max_age if request.cls.freshness is Freshness.BOUNDED else self.now - request.need
        likely = [
            m
            for m in request.group.members.values()
            if m is not request.group.primary
            and m.lag < bound
            and not m.suspect
            and self.may_send(m, request.worthy)
        ]
        if not likely:
            return False
        member = min(likely, key=lambda m: (m.zone != self.settings.zone, m.lag))
        if not member.probing:
            self.probe(member)
        return True

    def pick(self, request: Request, room: float = 1.0) -> Member | None:
        """Two-choice among the replicas that qualify, by own requests in flight for their size."""
        group, cls = request.group, request.cls
        able, qualified = [], []
        for member in group.members.values():
            if member is group.primary or member in request.attempts:
                continue
            if self.may_send(member, request.worthy * room):
                able.append(member)
                if self.fresh_enough(member, request):
                    if member.suspect and cls.effect is Effect.SAFE:
                        return member
                    qualified.append(member)
        if not qualified:
            if able and self.settings.checks is not Checks.NONE:
                return max(able, key=lambda m: m.position)
            return None
        first = qualified[int(self.random.random() * len(qualified))]
        second = qualified[int(self.random.random() * len(qualified))]
        return min((first, second), key=self.busyness)

    def busyness(self, member: Member) -> tuple[float, float]:
        """Own requests in flight for its size and warmth; on a tie the quicker, then the own zone."""
        in_flight = len(member.out) / (member.size * self.warmth(member))
        return in_flight, member.strain + OWN_ZONE * (member.zone != self.settings.zone)

    def scout(self, group: Group, request: Request) -> Member | None:
        """With no primary known one write at a time tries the members in id order, then pauses."""
        if group.scout is not None and group.scout != request.id and group.scout in self.requests:
            return None
        if self.now < group.scout_at or len(request.attempts) >= self.settings.most_attempts - 2:
            return None
        for member_id in sorted(group.members):
            member = group.members[member_id]
            if member not in request.attempts and self.may_send(member, request.worthy):
                group.scout = request.id
                return member
        group.scout, group.scout_at = None, self.now + REST[0]
        return None

    def send(self, request: Request, member: Member) -> None:
        """Send, and keep count; a trial of a suspected member is marked as such."""
        hop = len(request.attempts)
        key = (request.id, hop)
        request.attempts.append(member)
        request.out[hop] = self.now
        member.out[key] = (self.now, request)
        member.sent += 1
        member.allowance -= 1.0
        if member.suspect:
            member.trial = key
            member.rest_until = self.now + member.rest
        self.actions.append(api.Send(request.id, member.id, 0.0))

    def may_resend(self, request: Request, member: Member) -> bool:
        """Rules 1 and 2 for a further attempt at this member."""
        settings, cls = self.settings, request.cls
        if request.done or len(request.attempts) >= settings.most_attempts or self.now >= request.until:
            return False
        if request.out and not settings.second_copies:
            return False
        risky = request.may_have_run + [(request.attempts[hop], sent) for hop, sent in request.out.items()]
        if cls.effect is Effect.SAFE or not risky:
            return True
        if cls.effect is Effect.UNSAFE:
            return False
        return all(
            self.now - sent <= cls.window - settings.tick
            and (
                cls.scope is Scope.ALL
                or (cls.scope is Scope.ZONE and tried.zone == member.zone)
                or (cls.scope is Scope.CELL and tried.group == member.group)
            )
            for tried, sent in risky
        )

    def next_step(self, request: Request) -> None:
        """After a failed attempt: another one where rules, time and budget allow, else the final answer."""
        cls = request.cls
        over = self.now - request.arrived >= cls.aim and cls.late_worth == 0
        over = over or self.now + self.margin >= request.until
        over = over or len(request.attempts) >= self.settings.most_attempts
        over = over or (cls.effect is Effect.UNSAFE and bool(request.may_have_run))
        if request.may_have_run and not over:
            over = self.budget < (1.0 if cls.freshness is Freshness.WRITE else BUDGET[1] / 3)
            self.budget -= not over
        if over:
            self.finish(request)
        else:
            self.place(request)

    def finish(self, request: Request) -> None:
        """The one final answer: refused only where trying again is harmless, else failed."""
        cls = request.cls
        harmless = (
            cls.effect is Effect.SAFE
            or not (request.may_have_run or request.out)
            or (cls.effect is Effect.KEYED and cls.scope is Scope.ALL)
        )
        answer = api.Refuse(request.id, self.come_back(request)) if harmless else api.Fail(request.id)
        self.actions.append(answer)
        self.close(request)

    def come_back(self, request: Request) -> float:
        """When a refused client may try again: after the crowd it was refused for has had its time."""
        if not self.settings.come_back:
            return 0.0
        return min(self.settings.max_come_back, request.cls.deadline * (0.5 + self.random.random()))

    def close(self, request: Request) -> None:
        """Nothing more is owed or sent for this request."""
        request.done = True
        self.requests.pop(request.id, None)
        if request.group.scout == request.id:
            request.group.scout = None

    # The beat

    def on_beat(self) -> None:
        """What time alone brings: silence, waiting requests, probes, periods."""
        now = self.now
        for group in self.groups.values():
            self.look_at(group)
            if group.waiting:
                self.place_waiting(group)
        if now >= self.next_rates:
            self.next_rates = now + 1.0
            for group in self.groups.values():
                self.measure(group)
        if now >= self.next_period:
            self.next_period = now + PERIOD
            for group in self.groups.values():
                group.compare()
        if now >= self.subscribe_at:
            self.subscribe_at = NEVER
            self.actions.append(api.Subscribe())

    def measure(self, group: Group) -> None:
        """What a warm member is sent a second, the measure for cold ones; and old sessions are dropped."""
        warm = []
        for member in group.members.values():
            member.rate += 0.3 * (member.sent - member.rate)
            member.sent = 0
            if member.cold_from + self.rules.warm_within <= self.now and member.state is State.UP:
                warm.append(member.rate)
        mean = sum(warm) / len(warm) if warm else 0.0
        group.reference = max(mean, group.reference * 0.98)
        if len(group.sessions) > 1000:
            listed = [m.position for m in group.members.values() if m.state is State.UP]
            floor = min(listed, default=-NEVER)
            group.session_floor = max(group.session_floor, floor)
            group.sessions = {k: v for k, v in group.sessions.items() if v + POSITION_SLACK > floor}

    def look_at(self, group: Group) -> None:
        """Suspect the silent, and ask for positions and roles that are wanted."""
        now, typical = self.now, max(group.typical, self.settings.tick)
        lost = group.primary is None or group.primary.suspect
        wanted = now - group.needs_position < 1.0
        nearest = sorted(group.members.values(), key=lambda m: (m.zone != self.settings.zone, -m.position))
        for member in nearest:
            if member.out and not member.suspect:
                since = max(member.last_answer, next(iter(member.out.values()))[0])
                if (now - since) * len(member.out) > SILENCE * typical and now - since > 2.0 * typical:
                    member.distrust("silent", now)
                    for _, request in list(member.out.values()):
                        self.hedge(request)
            if not self.settings.probes or member.probing or member.state is not State.UP:
                continue
            if member.suspect == "down":
                if now >= member.rest_until:
                    self.probe(member)
                continue
            behind = now - member.position
            gap = max(PROBE_GAP * self.bound, 0.25 * min(behind, PERIOD) if behind > self.bound else 0.0)
            if lost and self.settings.reports_position and now - member.probed_at >= REST[0] / 2:
                self.probe(member)
            elif wanted and member is not group.primary and behind > self.bound * (1.0 - PROBE_LEAD):
                if group.probes >= 1.0 and self.settings.reports_position and now - member.probed_at >= gap:
                    group.probes -= 1.0
                    self.probe(member)

    def probe(self, member: Member) -> None:
        """Ask a member for its report."""
        member.probing, member.probed_at = True, self.now
        self.actions.append(api.Probe(member.id))

    def hedge(self, request: Request) -> None:
        """A second copy of a safe read that waits too long, while the budget lasts."""
        safe = request.cls.effect is Effect.SAFE and self.settings.second_copies
        if request.done or request.hedged or not safe or self.budget < BUDGET[1] / 3:
            return
        member = self.pick(request, HEDGE_ROOM)
        if member is not None and not member.suspect and self.may_resend(request, member):
            request.hedged = True
            self.budget -= 1.0
            self.send(request, member)

    def place_waiting(self, group: Group) -> None:
        """Place what waits, the most worth per work first; give up what has waited too long."""
        waiting, group.waiting = group.waiting, []
        waiting.sort(key=lambda r: -r.worthy)
        for request in waiting:
            if not request.done and not request.out:
                self.place(request)
