"""Every decision of sedgepitch: which member answers a request, when, and when it is turned away.

The types, events and actions stand in ``routing/messages.py``. A Router is a pure state machine: the same
settings, seed and events give the same actions. docs/design.md says what is the paper's and what ours.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from itertools import islice
from statistics import median

from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import Checks, Effect, Freshness, Marks, Result, Scope, State

# The mechanism (paper: Huang et al.; "ours" where the paper or the design page leaves it open).
PERIOD = 5.0  # s between comparisons of the two sides; ours, the paper has 60
THRESHOLD = 0.5  # a side must answer in under this share of the other's median; paper's Decision Threshold
EXPLORE = 0.04  # share of open reads that try the other side; paper's Exploration Fraction is 0.10
LEAST_SAMPLE = 5  # answers a side needs in a period to be compared; ours, one fast answer proves nothing
# Freshness.
SESSIONS = 4096  # of a group that are remembered one by one; where more wrote, older ones are held to a floor
POSITION_SLACK = 0.001  # s; positions and commits are told in whole milliseconds, rounded either way
ASK_MOST = 2  # replicas that a read may ask for their position before it is placed
PROBE_GAP = 0.25  # least time between two probes of a member, as a share of that bound
# Health.
BREAKS = 3  # connections in a row that break, with no answer between, which show that a member is down
FADE, ONE_IN = 0.9, 1.2  # the weight of each after one more answer; more than that is a full table
SILENCE = 8.0  # answers that a member should have given meanwhile, judged by its peers' latency
OVERTAKEN = 4  # answers to requests sent later that show one as lost on its way, not as waiting its turn
OVERDUE = 4.0  # times the mean answer after which one so overtaken gets a second copy
FAILING = 0.35  # share of failed answers above which a member is rested
REST = (0.5, 4.0)  # s that a suspected member rests: at first, and at most; doubles with each failed trial
TRIALS = 3  # good trials in a row that bring back a member that was failing
# Load.
LIMIT = (0.1, 48.0)  # own requests in flight a member may have: at least; to begin with, all drivers together
LATE = 0.8  # share of its aim beyond which an answer says that the member is too busy
STRAINED = 0.3  # mean latency, as a share of the aim, below which a late answer is a heavy request's own
BACK_OFF, GROW = 0.75, 0.025  # a late answer cuts the limit to this share; one in time lets it grow by this
GROW_LEAST = 0.04  # growth at least, so that a limit below one, which is a chance, recovers in few answers
LEAST_WORTHY = 0.7  # share of the limit that the class of least worth per work may fill
SPARE = 0.5  # mean latency, as a share of the aim, beyond which limits fall and a primary bears no reads
WAIT = 0.15  # share of its aim that a read may wait for room before it is refused
HEDGE_ROOM = 0.4  # share of a member's room that second copies may use: they must not feed an overload
OWN_ZONE = 0.15  # share of the aim by which a member elsewhere must be quicker to win a tie
COLD_SHARE = 0.5  # share of the stated overload multiple, for its warmth, that a cold member may be sent
BUDGET = (0.15, 5.0)  # resends and second copies: earned by each request, and kept at most
PATROL = 4.0  # looks at waiting requests within the shortest aim
KEEP_WARM = 0.5  # s; a driver spreads over as many members as it would use this often each, two at least
FORGET_GONE = 12  # periods after which a member that is gone is forgotten
FORGET_IDLE = 1.5  # growth, each period, of the idle time after which a connection is taken for lost
NEVER = float("inf")
GOLDEN = 0.618034  # spreads one request's luck over the members

DEAD = (Result.CONNECT_FAILED, Result.RESET)  # what a process that does not run answers
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT, Result.MISS)


Sent = tuple[float, "Request", int]  # when; for whom; the count of answers from which on it is overtaken


class Member:
    """What this driver knows of one member, from its own traffic, reports and the list."""

    def __init__(self, listing: api.Listing, start_limit: float) -> None:
        self.id, self.group, self.zone = listing.member, listing.group, listing.zone
        self.size, self.state, self.started = listing.size, listing.state, listing.started
        self.listed_primary = self.hearsay = False  # named primary by the late list against its own word
        self.position, self.lag, self.role_at = -NEVER, NEVER, -NEVER
        self.out: dict[tuple[int, int], Sent] = {}
        self.lost: set[tuple[int, int]] = set()  # of those, the overtaken
        self.last_answer = self.watched = self.used_at = -NEVER
        self.turn = 0.0
        self.idle = 0.0  # how long its connections had been unused before the last send
        self.failing = 0.0
        self.suspect = ""  # why it is kept from traffic: "silent", "down" or "failing"
        self.rest, self.rest_until = REST[0], 0.0
        self.trial, self.good_trials = None, 0
        self.limit, self.limit_at = start_limit, -NEVER  # own requests in flight
        self.spare = 1.0  # as a primary: the chance of a read that might go elsewhere
        self.strain, self.cold_from = 0.0, -NEVER
        self.answers = self.breaks = self.gone_for = 0
        self.unreached = 0.0  # connections of late that did not come about
        self.load, self.load_at = 0.0, -NEVER  # as it reported
        self.dead = False  # a probe has failed since it was lost
        self.probing, self.probed_at = False, -NEVER

    def silent_from(self) -> float:
        """Since when it owes an answer, those lost on their way left out."""
        owed = next((sent for key, (sent, _, _) in self.out.items() if key not in self.lost), NEVER)
        return max(self.last_answer, self.watched, owed)


class Group:
    """The members that hold the same data: who is primary, the two samples, and the side in use."""

    def __init__(self) -> None:
        self.order: list[Member] = []  # this driver's own order of preference
        self.suspects: dict[int, Member] = {}
        self.primary: Member | None = None
        self.side_replicas = True
        self.samples: tuple[list[float], list[float]] = ([], [])  # replicas', primary's
        self.waiting: list[Request] = []
        self.scout_at = self.seek_at = self.asked_at = -NEVER
        self.scout: int | None = None
        self.scouted = -1  # the member tried last
        self.gap = 1.0  # s between this driver's requests for the group
        self.last: Request | None = None
        self.sessions: dict[str, float] = {}  # the last commit of each, as far as seen here
        self.writing: dict[str, int] = {}  # a session's write attempts that are out
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
        member.role_at, member.hearsay = at, False
        if not primary and self.primary is member:
            self.primary = None
        elif primary and self.primary is not member and (not self.primary or at >= self.primary.role_at):
            self.primary = member
            return True
        return False


class Request:
    """One request that is owed an answer, and the attempts made for it."""

    def __init__(self, event: api.Arrived, cls: api.RequestClass, group: Group, now: float, luck: float):
        self.id, self.cls, self.group, self.session = event.request, cls, group, event.session
        self.until = now + event.time_left
        self.useful = self.until if cls.late_worth > 0 else min(self.until, now + cls.aim)
        self.need = -NEVER
        self.attempts: list[Member] = []
        self.out: dict[int, float] = {}
        self.may_have_run: list[tuple[Member, float]] = []
        self.done = self.hedged = self.served = self.stuck = False
        self.asked, self.turned_away, self.not_before = 0, 0, 0.0
        self.erred: list[Member] = []
        self.worthy, self.luck = 1.0, luck
        self.bound = cls.freshness in (Freshness.WRITE, Freshness.FRESH)  # to the primary
        late = cls.late_worth > 0 and cls.freshness is Freshness.WRITE
        self.give_up = self.until if late else min(self.until, now + WAIT * cls.aim)


class Router:
    """Decides for one driver. Feed it events with ``handle``; carry out the actions it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.rules = settings, settings.rules
        self.random = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.work = {c.name: c.aim * 0.2 for c in settings.classes}
        self.groups: dict[int, Group] = {}
        self.members: dict[int, Member] = {}
        self.requests: dict[int, Request] = {}
        self.now, self.actions = 0.0, []
        self.aim = aim = min(c.aim for c in settings.classes)
        self.patrol_every, self.margin = max(settings.tick, aim / PATROL), 3.0 * settings.tick
        self.typical = aim * 0.2  # an answer's latency
        # A driver of a large fleet may have one request at a member, of whatever class.
        self.first_limit = max(1.0 / LEAST_WORTHY, LIMIT[1] / max(1, settings.drivers))
        self.first_spare = min(1.0, max(LIMIT[0], SPARE * LIMIT[1] / max(1, settings.drivers)))
        self.wake_at, self.wakes, self.stalled = -NEVER, 0, False
        self.busy: dict[int, Member] = {}
        self.zone_strain: dict[str, float] = {}
        self.zone_shares: dict[str, float] = {}  # of zones that are used in part, as told
        self.load_cost = (0.0, 1.0)  # s of latency for each unit of reported load: a regression's two sums
        self.heard_at, self.idle_limit, self.idle_lost = -NEVER, NEVER, 0
        self.next_period, self.budget = -NEVER, 1.0
        self.subscribe_at, self.subscribe_pause = -NEVER if settings.subscribe else NEVER, REST[0]
        bounds = [c.max_age for c in settings.classes if c.freshness is Freshness.BOUNDED]
        self.bound = min(bounds, default=aim)

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in order, and return what to do about them."""
        self.now, self.actions = now, []
        self.stalled = now - self.wake_at > self.patrol_every  # what waited for us looks late and is not
        if now >= self.next_period:
            self.on_period()
        for event in events:
            match event:
                case api.Arrived():
                    self.on_arrived(event)
                case api.Finished():
                    self.on_finished(event)
                case api.Probed():
                    self.on_probed(event)
                case api.Members():
                    self.on_members(event)
                case api.ZoneShares():
                    self.on_shares({zone: share for zone, share in event.shares if share < 1.0})
                case api.ListFailed():
                    self.subscribe_at = now + self.subscribe_pause * (1.0 + self.random.random())
                    self.wake(self.subscribe_at)
                    most = max(REST[0], self.rules.ask_within / 4)
                    self.subscribe_pause = min(self.subscribe_pause * 2.0, most)
                case api.ClientGone():
                    if request := self.requests.pop(event.request, None):
                        request.done = True
        if now >= self.wake_at - self.settings.tick / 2:
            self.patrol()
        return self.actions

    def wake(self, at: float) -> None:
        """Have a timer by then. There is none while nothing is due: hundreds of drivers are mostly idle."""
        if at < self.wake_at:
            self.wake_at = at
            self.wakes += 1
            self.actions.append(api.SetTimer(max(self.settings.tick, at - self.now), self.wakes))

    # The member list

    def on_members(self, event: api.Members) -> None:
        """Apply a list; a member missing from a complete one is gone."""
        for listing in event.listings:
            self.on_listing(listing)
        named = {listing.member for listing in event.listings}
        for member in self.members.values():
            if event.complete and member.id not in named:
                member.state = State.GONE
        if not event.remembered:
            self.subscribe_pause = REST[0]

    def on_listing(self, listing: api.Listing) -> None:
        """Apply one entry: state, start and role. The role is late, so answers outrank it."""
        member = self.members.get(listing.member)
        group = self.groups.setdefault(member.group if member else listing.group, Group())
        if member is None:
            member = self.members[listing.member] = Member(listing, self.first_limit)
            member.spare = self.first_spare
            member.turn = self.random.random() ** (1.0 / member.size)  # the larger, the likelier early
            group.order.append(member)
            group.order.sort(key=lambda m: -m.turn)
            member.cold_from = listing.started if listing.started > 0 else -NEVER
        elif listing.started > member.started:
            member.started = member.cold_from = listing.started
            if member.suspect == "down":
                member.rest_until = self.now + REST[0] * self.random.random()
        member.state, member.size = listing.state, listing.size
        if listing.primary and not member.listed_primary:
            held = group.primary
            if held is None or held.suspect or held.state is not State.UP:
                denied = member.role_at > -NEVER
                group.told_role(member, True, max(member.role_at, held.role_at if held else -NEVER))
                member.hearsay = denied
        member.listed_primary = listing.primary

    def on_shares(self, shares: dict[str, float]) -> None:
        """Use zones as told; where none was used and some is now, the suspects there may be tried at once."""
        for group in self.groups.values():
            for member in group.suspects.values():
                if self.zone_shares.get(member.zone, 1.0) <= 0.0 < shares.get(member.zone, 1.0):
                    member.rest, member.rest_until = REST[0], self.now
        self.zone_shares = shares

    # Answers and reports

    def on_finished(self, event: api.Finished) -> None:
        """Learn from the end of an attempt, then serve, resend or give the request up."""
        member = self.members.get(event.member)
        if member is None or (event.request, event.attempt) not in member.out:
            return
        sent, request, lost_from = member.out.pop((event.request, event.attempt))
        member.lost.discard((event.request, event.attempt))
        if not member.out:
            self.busy.pop(member.id, None)
        group = self.groups[member.group]
        if self.marks(request):
            self.wrote(request.group, request.session, event)
        self.learn(member, group, event, request, lost_from)
        request.out.pop(event.attempt)
        if group.waiting:
            self.place_waiting(group)
        if request.done or event.final:
            self.close(request)
            return
        if event.result not in NEVER_RAN:
            request.may_have_run.append((member, sent))
        if event.result is Result.FULL:
            request.turned_away += 1
            request.not_before = self.now + self.patrol_every * (2.0**request.turned_away - 2.0)
        if not request.out:
            self.next_step(request)

    def marks(self, request: Request) -> bool:
        """Whether what it writes is remembered here for its session's reads."""
        own = request.session and request.cls.freshness is Freshness.WRITE
        return bool(own) and self.settings.marks is not Marks.CARRIED

    def wrote(self, group: Group, session: str, event: api.Finished) -> None:
        """What the session's reads must see from now on: the commit, or all until now where it is not told.

        An attempt that may have run, though its answer was lost, may have committed until its end.
        """
        group.writing[session] -= 1
        if not group.writing[session]:
            del group.writing[session]
        if event.result not in NEVER_RAN:
            told = event.position if event.result is Result.OK else None
            group.sessions[session] = max(group.sessions.get(session, 0.0), told or self.now)

    def learn(
        self, member: Member, group: Group, event: api.Finished, request: Request, lost_from: int
    ) -> None:
        """Role, position, health, load and the side's sample, from one outcome."""
        now, cls, result, key = self.now, request.cls, event.result, (event.request, event.attempt)
        if event.primary is not None and group.told_role(member, event.primary, now):
            self.place_waiting(group)
        self.on_report(member, event.report)
        if event.primary is False:
            self.on_report(member, api.Report(event.position))
        gain = min(0.5, max(0.1, (now - member.last_answer) / PERIOD))  # few answers weigh more each
        answered = result in (Result.OK, Result.ERROR, Result.FULL, Result.MISS)
        if answered:
            member.last_answer, member.breaks = now, 0
            self.heard_at = now
            if result is not Result.ERROR:
                self.on_good(member, key, gain)
            elif cls.freshness is not Freshness.WRITE:
                request.erred.append(member)
            request.served = request.served or result is Result.OK
            while request.served and request.erred:  # an error is a member's if all went well elsewhere
                self.blame(request.erred.pop())
        elif result is Result.CONNECT_FAILED and member.out and now - member.last_answer < REST[0]:
            member.unreached += 1.0
            if member.unreached > ONE_IN:
                member.limit = max(LIMIT[0], len(member.out) * BACK_OFF)  # a full table, not a dead process
        elif result in (Result.CONNECT_FAILED, Result.RESET):
            if member.trial == key:
                self.distrust(member, "down")
            elif not member.suspect:
                self.broke(member, result)
        elif result is Result.TIMEOUT and member.trial == key:
            self.distrust(member, "silent")
        if member.trial == key:
            member.trial = None
        if result not in (Result.OK, Result.TIMEOUT, Result.FULL) or self.stalled:
            return
        share = 1.5 if result is Result.FULL else min(1.5, event.elapsed / cls.aim)
        if result is Result.OK:
            member.answers += 1
            member.unreached *= FADE
        elif result is Result.TIMEOUT and member.answers >= lost_from:
            return  # those sent later were answered, so the member is not too busy
        late = result is not Result.OK or event.elapsed > LATE * cls.aim
        strained = member.strain > STRAINED
        around = self.zone_strain.get(member.zone, 0.0)
        member.strain += gain * (share - member.strain)
        self.zone_strain[member.zone] = around + 0.2 * (share - around)
        if late and (strained or result is Result.FULL) and now - member.limit_at > self.work[cls.name]:
            member.limit = max(LIMIT[0], min(member.limit, len(member.out) + 1.0) * BACK_OFF)
            member.limit_at = now
            if self.first_spare < 1.0:
                member.spare = max(LIMIT[0], member.spare * BACK_OFF)
        elif not late and len(member.out) + 1 > member.limit / 2:
            member.limit += max(GROW_LEAST, GROW * member.limit)
            member.spare = min(1.0, member.spare + GROW_LEAST)
        if cls.freshness in (Freshness.BOUNDED, Freshness.ANY) and result is not Result.FULL:
            group.samples[member is group.primary].append(event.elapsed)
        if result is Result.OK and event.report and event.report.load:
            load, (cost, square) = event.report.load, self.load_cost
            cost += load * max(0.0, event.elapsed - self.work[cls.name])
            self.load_cost = (0.98 * cost, 0.98 * (square + load * load))
        if result is Result.OK:
            self.idle_lost = 0 if member.idle > SILENCE * self.typical else self.idle_lost
            self.typical += 0.05 * (event.elapsed - self.typical)
            known = self.work[cls.name]
            self.work[cls.name] = known + 0.02 * known * (3.0 if event.elapsed > known * 1.5 else -1.0)

    def on_good(self, member: Member, key: tuple[int, int], gain: float) -> None:
        """Silence is over with an answer; after errors a suspected member needs several good trials."""
        member.failing *= 1.0 - gain
        if member.suspect == "failing" and member.trial == key:
            member.good_trials += 1
        if member.suspect and (member.suspect != "failing" or member.good_trials >= TRIALS):
            member.suspect, member.failing, member.trial, member.rest = "", 0.0, None, REST[0]
            del self.groups[member.group].suspects[member.id]

    def broke(self, member: Member, result: Result) -> None:
        """A connection's end is not a member's: ask it, and see whether the next ones break as well."""
        member.breaks = member.breaks + 1 if result in DEAD else 0
        if member.breaks >= BREAKS:
            self.distrust(member, "down")
        elif member.breaks:
            self.probe(member)

    def blame(self, member: Member) -> None:
        """One more error that was the member's own, not the request's."""
        member.failing += 0.15 * (1.0 - member.failing)
        if member.suspect == "failing" or (not member.suspect and member.failing > FAILING):
            self.distrust(member, "failing")

    def distrust(self, member: Member, why: str) -> None:
        """Keep traffic away for a while, longer each time a trial fails; never all drivers at one moment."""
        member.rest = min(member.rest * 2.0, REST[1]) if member.suspect else REST[0]
        member.dead = member.dead and bool(member.suspect)
        member.suspect, member.trial, member.good_trials = why, None, 0
        member.rest_until = self.now + member.rest * (0.75 + 0.5 * self.random.random())
        self.groups[member.group].suspects[member.id] = member

    def on_report(self, member: Member, report: api.Report | None) -> None:
        """Positions only grow; one ahead of now is not believed. A report is as old as its position."""
        position = report.position if report else None
        if report and report.load is not None:
            member.load, member.load_at = report.load, self.now
        if position is None:
            return
        if member.position < position <= self.now + POSITION_SLACK:
            member.position, member.lag = position, self.now - position
        group = self.groups[member.group]
        if report.primary is not None and group.told_role(member, report.primary, min(position, self.now)):
            self.place_waiting(group)

    def on_probed(self, event: api.Probed) -> None:
        """A probe gives position and role; that it is answered shows only that a process runs."""
        member = self.members.get(event.member)
        if member is None:
            return
        group, member.probing = self.groups[member.group], False
        self.on_report(member, event.report)
        if member.suspect == "down" and event.result is Result.OK:
            if member.dead:
                member.cold_from = max(member.cold_from, self.now)  # it was dead, so it has restarted
            member.suspect, member.rest_until = "silent", self.now
        elif member.suspect == "down":
            self.distrust(member, "down")
            member.dead = True
        elif member.breaks and not member.suspect:
            self.broke(member, event.result)
        elif event.result is Result.TIMEOUT and not member.suspect:
            if self.heard_at > self.now - event.elapsed > member.last_answer:
                self.distrust(member, "silent")  # asked in vain: else reads wait for it again and again
        if group.waiting:
            self.place_waiting(group)
        if group.suspects and group.last is not None:
            self.tend(group, group.last)

    # Who may be sent to, who is recent enough, who is primary

    def may_send(self, member: Member, request: Request, room: float = 1.0) -> bool:
        """Drain, cold start, health and load; limits below one are chances, eased off by zone."""
        if not self.open_to(member, request):
            return False
        if member.suspect:
            alone = request.cls.effect is not Effect.SAFE or not self.settings.second_copies
            return self.due(member) and (alone or request.stuck)
        if self.now + self.queueing(member) > request.useful:
            return False  # the answer would come too late to earn
        around = self.zone_strain.get(member.zone, 0.0) if self.now - member.last_answer > self.aim else 0.0
        ease = max(LIMIT[0], min(1.0, (1.0 - around) / (1.0 - SPARE)))
        share, under_way = member.limit * request.worthy * room * ease, len(member.out)
        if request.bound:  # reads that may go elsewhere take no room from what may not
            under_way = sum(other.bound for _, other, _ in member.out.values())
            if not under_way and share < 1.0 and (self.now - member.used_at) * share > self.typical:
                return True  # less than that share of the time
        return under_way + request.luck < share

    def due(self, member: Member) -> bool:
        """Its rest is over and it may have a trial; a dead one is probed first, unless probes always fail."""
        dead = member.suspect == "down" and self.settings.probes and member.rest < REST[1]
        return not dead and member.trial is None and self.now >= member.rest_until

    def warmth(self, member: Member) -> float:
        """The share of its capacity that a member surely has by now."""
        start, within = self.rules.start_capacity, self.rules.warm_within
        age = self.now - member.cold_from
        return 1.0 if age >= within else start + (1.0 - start) * max(0.0, age) / within

    def open_to(self, member: Member, request: Request) -> bool:
        """Rules 3 and 4: not drained; and a cold one gets its warmth's share of own requests, by chance."""
        if member.state is not State.UP or not self.zone_open(member, request):
            return False
        if member.cold_from + self.rules.warm_within <= self.now:
            return True
        share = COLD_SHARE * self.rules.overload_factor * self.warmth(member)
        if not request.bound:
            share /= sum(m.state is State.UP for m in request.group.order)
        return (request.luck + member.id * GOLDEN) % 1.0 < share

    def zone_open(self, member: Member, request: Request) -> bool:
        """A zone that is left, or come back to, bears its share of reads; the primary does what it must."""
        main = member is request.group.primary and request.cls.freshness is Freshness.SESSION
        return request.bound or main or request.luck < self.zone_shares.get(member.zone, 1.0)

    def fresh_enough(self, member: Member, request: Request) -> bool:
        """By its last known position, at this moment, the member holds all that the read must see."""
        kind = request.cls.freshness
        if kind is Freshness.ANY:
            return True
        if kind is Freshness.BOUNDED:
            return member.position >= self.now - request.cls.max_age + POSITION_SLACK
        return kind is Freshness.SESSION and member.position >= self.need(request) + POSITION_SLACK

    def need(self, request: Request) -> float:
        """The position a session's read must see: remembered ones grow while it waits or is tried again.

        A write that is out may have been committed until now: whether its answer is lost shows only later.
        """
        if self.settings.marks is not Marks.CARRIED:
            held = request.group.sessions.get(request.session, request.group.session_floor)
            request.need = max(request.need, held)
            if request.session in request.group.writing:
                return self.now
        return request.need

    # Requests

    def on_arrived(self, event: api.Arrived) -> None:
        """Take a request and place it."""
        cls, group = self.classes.get(event.class_name), self.groups.get(event.group)
        if event.request in self.requests:
            return
        if cls is None or group is None:
            self.actions.append(api.Refuse(event.request))
            return
        request = self.requests[event.request] = Request(event, cls, group, self.now, self.random.random())
        self.budget = min(BUDGET[1], self.budget + BUDGET[0])
        if self.settings.marks is Marks.CARRIED and event.session_age > 0:
            request.need = self.now - event.session_age
        group.gap += 0.1 * (min(PERIOD, self.now - group.asked_at) - group.gap)
        group.asked_at, group.last = self.now, request
        best = max(c.worth / self.work[c.name] for c in self.settings.classes)
        request.worthy = LEAST_WORTHY + (1.0 - LEAST_WORTHY) * cls.worth / self.work[cls.name] / best
        self.place(request)
        if group.suspects:
            self.tend(group, request)

    def place(self, request: Request) -> None:
        """Send to the best member that may take it now; let it wait for one while that can still help."""
        cls, now = request.cls, self.now
        if request.until - now < max(self.margin, self.work[cls.name] / 2):
            self.finish(request)
            return
        member = self.choose(request) if now >= request.not_before else None
        # What no trusted member takes is the trial of a suspect: else a group whose members were all but
        # one cut off for a while is never used again, as trials are copies of what the others serve.
        request.stuck = member is None and bool(request.group.suspects)
        if request.stuck and now >= request.not_before:
            member = self.choose(request)
        if member is not None and self.may_resend(request, member):
            self.send(request, member)
        elif now + self.margin >= request.give_up or self.window_over(request):
            self.finish(request)
        else:
            request.group.waiting.append(request)
            self.wake(min(request.give_up - self.margin, now + self.patrol_every))

    def choose(self, request: Request) -> Member | None:
        """The side, then the pick within it."""
        group, cls, primary = request.group, request.cls, request.group.primary
        if cls.freshness is Freshness.WRITE and primary is None:
            return self.scout(group, request)
        if request.bound:
            doubtful = cls.freshness is Freshness.FRESH and primary is not None and primary.hearsay
            if primary is None or (not doubtful and self.may_send(primary, request)):
                return primary
            lost = cls.freshness is Freshness.WRITE and primary.suspect
            return self.scout(group, request) if lost else None
        on_replicas = group.side_replicas != (self.random.random() < EXPLORE)
        on_replicas = on_replicas or cls.freshness is Freshness.SESSION
        main = None if primary is None or primary in request.attempts or primary.hearsay else primary
        if main is not None and (main.limit < 1.0 or self.strain(main) > SPARE):
            main = None
        elif main is not None and request.luck > main.spare:  # where reads may go elsewhere at all
            main = None if any(m is not main and m.state is State.UP for m in group.order) else main
        if not on_replicas and main is not None and self.may_send(main, request, LEAST_WORTHY):
            return main
        if (member := self.pick(request)) is not None:
            return member
        wait = self.ask_first(request) or main is None or not self.may_send(main, request)
        return None if wait else main

    def ask_first(self, request: Request) -> bool:
        """Before the primary bears a read: ask a likely replica for its position, twice at most."""
        tells = self.settings.probes and self.settings.reports_position
        if request.asked >= ASK_MOST or request.cls.freshness is Freshness.ANY or not tells:
            return False
        if self.now + 2.0 * self.margin >= request.give_up:
            return False
        bound = (
            request.cls.max_age
            if request.cls.freshness is Freshness.BOUNDED
            else self.now - self.need(request)
        )
        if bound <= 0.0:  # no replica is at the present
            return False
        passed = [request.group.primary, *request.attempts]
        others = (m for m in request.group.order if m not in passed and self.may_send(m, request))
        likely = list(islice((m for m in others if m.lag < bound or self.may_ask(m)), 2))
        if likely:
            request.asked += 1
            self.probe(min(likely, key=self.busyness))
        return bool(likely)

    def may_ask(self, member: Member) -> bool:
        """One that is far behind is asked more rarely."""
        behind = self.now - member.position
        gap = max(PROBE_GAP * self.bound, 0.25 * min(behind, PERIOD) if behind > self.bound else 0.0)
        return not member.probing and self.now - member.probed_at >= gap

    def pick(self, request: Request, room: float = 1.0) -> Member | None:
        """Two-choice among the replicas that qualify, by own requests in flight for their size.

        A driver with little traffic keeps to the first few of its order, so that connections stay in use.
        """
        group = request.group
        reach = max(2, int(KEEP_WARM / max(group.gap, self.settings.tick)))
        keep_known = group.gap * len(group.order) < self.bound / 2  # one probe serves several reads
        able, qualified = [], []
        for member in group.order:
            if member is group.primary or member in request.attempts:
                continue
            if self.may_send(member, request, room):
                able.append(member)
                if self.fresh_enough(member, request):
                    qualified.append(member)
                    if len(qualified) == reach:
                        break
                elif keep_known and self.may_ask(member):
                    self.probe(member)
        if not qualified:
            checked = able if self.settings.checks is not Checks.NONE else []
            return max(checked, key=lambda m: m.position, default=None)
        weights = [m.size * self.warmth(m) for m in qualified]
        return min(self.random.choices(qualified, weights, k=2), key=self.busyness)

    def busyness(self, member: Member) -> tuple[float, float]:
        """Own requests in flight for its size and warmth; on a tie the quicker, then the own zone."""
        capacity = member.size * self.warmth(member)
        return len(member.out) / capacity, self.strain(member) + OWN_ZONE * (
            member.zone != self.settings.zone
        )

    def strain(self, member: Member) -> float:
        """Mean latency as a share of the aim; its zone's stands in where own answers are few."""
        return max(member.strain, self.zone_strain.get(member.zone, 0.0), self.queueing(member) / self.aim)

    def queueing(self, member: Member) -> float:
        """What its reported load adds to an answer's time, by what such reports have meant here: a hint."""
        recent = self.now - member.load_at < 2.0 * REST[0]
        return member.load * self.load_cost[0] / self.load_cost[1] if recent else 0.0

    def scout(self, group: Group, request: Request) -> Member | None:
        """With no primary known one write at a time tries the members in id order, then pauses.

        The next one goes on where it stopped: a group may have more members than a request has attempts.
        """
        taken = group.scout != request.id and group.scout in self.requests
        spent = len(request.attempts) >= max(1, self.settings.most_attempts - 2)
        if taken or spent or self.now < group.scout_at:
            return None
        for member in sorted(group.order, key=lambda m: (m.id <= group.scouted, m.id)):
            if member not in request.attempts and self.may_send(member, request):
                group.scout, group.scouted = request.id, member.id
                return member
        group.scout, group.scout_at = None, self.now + REST[0]
        return None

    def send(self, request: Request, member: Member) -> None:
        """Send, and keep count; a trial of a suspected member is marked as such.

        Where connections were found lost after less idle time, those of this member are closed first.
        """
        key = (request.id, len(request.attempts))
        request.attempts.append(member)
        request.out[key[1]] = self.now
        if self.marks(request):
            request.group.writing[request.session] = request.group.writing.get(request.session, 0) + 1
        member.out[key] = (self.now, request, member.answers + len(member.out) + OVERTAKEN)
        member.idle, member.used_at = self.now - member.used_at, self.now
        self.busy[member.id] = member
        if member.suspect:
            member.trial = key
            member.rest_until = self.now + member.rest
        else:
            self.wake(min(self.silence_due(member), self.now + self.overdue_after(member)))
        if self.idle_limit < member.idle < NEVER:
            self.actions.append(api.CloseIdle(member.id))
        self.actions.append(api.Send(request.id, member.id, 0.0))

    def may_resend(self, request: Request, member: Member) -> bool:
        """All rules for an attempt at this member; every send passes here."""
        settings, cls = self.settings, request.cls
        over = request.done or len(request.attempts) >= settings.most_attempts or self.now >= request.until
        if over or (request.out and not settings.second_copies) or not self.open_to(member, request):
            return False
        risky = request.may_have_run + [(request.attempts[hop], sent) for hop, sent in request.out.items()]
        if cls.effect is Effect.SAFE or not risky:
            return True
        if cls.effect is Effect.UNSAFE or self.window_over(request):
            return False
        return cls.scope is Scope.ALL or all(tried.group == member.group for tried, _ in risky)

    def window_over(self, request: Request) -> bool:
        """Whether members may have forgotten the key of an attempt that may have run."""
        sent = [at for _, at in request.may_have_run] + list(request.out.values())
        limit = request.cls.window - self.settings.tick
        return request.cls.effect is not Effect.SAFE and bool(sent) and self.now - min(sent) > limit

    def next_step(self, request: Request) -> None:
        """After a failed attempt: another one where rules, time and budget allow, else the final answer."""
        cls = request.cls
        over = self.now >= request.useful
        over = over or len(request.attempts) >= self.settings.most_attempts
        over = over or (cls.effect is Effect.UNSAFE and bool(request.may_have_run))
        over = over or len(request.erred) > 1  # two members agree that the request itself is bad
        if request.may_have_run and not over:
            over = self.budget < 1.0
            self.budget -= not over
        (self.finish if over else self.place)(request)

    def finish(self, request: Request) -> None:
        """The one final answer: refused only where trying again is harmless, else failed."""
        cls = request.cls
        risky = bool(request.may_have_run or request.out)
        wide = cls.effect is Effect.KEYED and cls.scope is Scope.ALL
        if risky and cls.effect is not Effect.SAFE and not wide:
            self.actions.append(api.Fail(request.id))
        else:  # the client may come back after the crowd that it was refused for has had its time
            pause = min(self.settings.max_come_back, cls.deadline * (0.5 + self.random.random()))
            self.actions.append(api.Refuse(request.id, pause if self.settings.come_back else 0.0))
        self.close(request)

    def close(self, request: Request) -> None:
        """Nothing more is owed or sent for this request."""
        request.done = True
        self.requests.pop(request.id, None)

    # What time brings

    def patrol(self) -> None:
        """Silence, waiting requests, the subscription; then sleep until the next of them is due."""
        self.wake_at = NEVER
        if self.now >= self.subscribe_at:
            self.subscribe_at = NEVER
            self.actions.append(api.Subscribe())
        self.wake(self.subscribe_at)
        for member in list(self.busy.values()):
            if not member.suspect:
                self.look_for_silence(member)
        for group in self.groups.values():
            if group.waiting:
                self.seek_primary(group)
                self.place_waiting(group)

    def on_period(self) -> None:
        """The paper's comparison; and what is remembered for long is let go."""
        self.next_period = self.now + PERIOD
        self.idle_limit *= FORGET_IDLE
        for group in self.groups.values():
            group.compare()
            floor = min((m.position for m in group.order if m.state is State.UP), default=-NEVER)
            if len(group.sessions) > SESSIONS:  # one member that tells nothing would keep them for ever
                floor = max(floor, sorted(group.sessions.values())[-SESSIONS] + POSITION_SLACK)
            group.session_floor = max(group.session_floor, floor)
            group.sessions = {k: v for k, v in group.sessions.items() if v + POSITION_SLACK > floor}
        for member in list(self.members.values()):
            member.gone_for = member.gone_for + 1 if member.state is State.GONE else 0
            if member.gone_for > FORGET_GONE and not member.out:
                self.forget(member)

    def forget(self, member: Member) -> None:
        """Nothing is known any more of a member that has long been gone: ids that come back are rare."""
        group = self.groups[member.group]
        group.order.remove(member)
        group.suspects.pop(member.id, None)
        group.primary = None if group.primary is member else group.primary
        del self.members[member.id]

    def silence_due(self, member: Member) -> float:
        """When the answers that a member owes make its silence remarkable."""
        waiting = max(1, len(member.out) - len(member.lost))
        return member.silent_from() + max(2.0, SILENCE / waiting) * self.typical

    def overdue_after(self, member: Member) -> float:
        """How long after its send a request is remarkable that a member has not answered, though others."""
        return OVERDUE * max(self.typical, member.strain * self.aim)

    def look_for_silence(self, member: Member) -> None:
        """Help requests at a silent member; suspect it if others answered and its connection was in use."""
        after = self.overdue_after(member)
        for key, (sent, request, lost_from) in list(member.out.items()):
            if self.now < sent + after:
                self.wake(sent + after)
                break
            if member.answers >= lost_from:
                member.lost.add(key)
                self.hedge(request, member)
        due = self.silence_due(member)
        if self.now < due:
            self.wake(due)
            return
        since = member.silent_from()
        for _, request, _ in list(member.out.values()):
            self.hedge(request)
        if len(member.out) == 1 and SILENCE * self.typical < member.idle < min(self.idle_limit, 1e9):
            self.idle_lost += 1  # twice with no such send answered between: connections are dropped unseen
            if self.idle_lost > 1:
                self.idle_limit = member.idle / 2.0
        elif self.heard_at > since:
            self.distrust(member, "silent")
            return
        member.watched = self.now
        self.wake(self.silence_due(member))

    def seek_primary(self, group: Group) -> None:
        """While requests wait for a primary, ask members for their role: as many as there are waiting."""
        lost = group.primary is None or group.primary.suspect
        if not lost or self.now < group.seek_at:
            return
        group.seek_at = self.now + REST[0] / 2
        for member in self.random.sample(group.order, min(len(group.order), len(group.waiting))):
            self.probe(member)

    def tend(self, group: Group, request: Request) -> None:
        """Try suspects whose rest is over, by a copy of a safe read, so that nothing is lost by a trial."""
        for member in list(group.suspects.values()):
            unused = self.zone_shares.get(member.zone, 1.0) <= 0.0
            if self.now < member.rest_until or member.trial or unused:
                continue
            copy = request.out and request.cls.effect is Effect.SAFE and member not in request.attempts
            copy = copy and self.may_resend(request, member)
            if copy and self.due(member) and self.fresh_enough(member, request):
                self.send(request, member)
            elif (copy or not self.due(member)) and self.now - member.probed_at >= REST[0] / 2:
                self.probe(member)

    def probe(self, member: Member) -> None:
        """Ask a member for its report."""
        if self.settings.probes and not member.probing and member.state is State.UP:
            member.probing, member.probed_at = True, self.now
            self.actions.append(api.Probe(member.id))

    def hedge(self, request: Request, lost_at: Member | None = None) -> None:
        """A second copy of a safe read that waits too long, while the budget lasts.

        Of what was overtaken, the same member gets the copy where no other may: it does answer others.
        """
        cls, member = request.cls, None
        if request.done or request.hedged or self.budget < 1.0:
            return
        if cls.effect is Effect.SAFE and not request.bound:
            member = self.pick(request, HEDGE_ROOM)
        if member is None and lost_at and self.may_send(lost_at, request, HEDGE_ROOM):
            serves = lost_at is request.group.primary or self.fresh_enough(lost_at, request)
            member = lost_at if serves else None
        if member is not None and not member.suspect and self.may_resend(request, member):
            request.hedged = True
            self.budget -= 1.0
            self.send(request, member)

    def place_waiting(self, group: Group) -> None:
        """Place what waits, the most worth per work first; give up what has waited too long."""
        waiting, group.waiting = sorted(group.waiting, key=lambda r: -r.worthy), []
        for request in waiting:
            if not request.done and not request.out:
                self.place(request)
