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
from sedgepitch.routing.messages import (
    AttemptResult,
    DeduplicationScope,
    EndpointState,
    Freshness,
    Idempotency,
    SessionTracking,
    StaleReadHandling,
)

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

DEAD = (AttemptResult.CONNECT_FAILED, AttemptResult.RESET)  # what a process that does not run answers
NEVER_RAN = (
    AttemptResult.OVERLOADED,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.NOT_SENT,
    AttemptResult.NOT_ELIGIBLE,
)


Sent = tuple[float, "Request", int]  # when; for whom; the count of answers from which on it is overtaken


class Member:
    """What this driver knows of one member, from its own traffic, reports and the list."""

    def __init__(self, entry: api.EndpointEntry, start_limit: float) -> None:
        self.id, self.group, self.zone = entry.endpoint, entry.group, entry.zone
        self.size, self.state, self.started = entry.size, entry.state, entry.started
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

    def told_role(self, endpoint: Member, primary: bool, at: float) -> bool:
        """Take evidence of a role, the newest counts; true where it made a new primary known."""
        if at < endpoint.role_at:
            return False
        endpoint.role_at, endpoint.hearsay = at, False
        if not primary and self.primary is endpoint:
            self.primary = None
        elif primary and self.primary is not endpoint and (not self.primary or at >= self.primary.role_at):
            self.primary = endpoint
            return True
        return False


class Request:
    """One request that is owed an answer, and the attempts made for it."""

    def __init__(
        self, event: api.RequestReceived, cls: api.RequestClass, group: Group, now: float, luck: float
    ):
        self.id, self.cls, self.group, self.session = event.request, cls, group, event.session
        self.until = now + event.time_left
        self.useful = (
            self.until if cls.late_priority_weight > 0 else min(self.until, now + cls.latency_objective)
        )
        self.need = -NEVER
        self.attempts: list[Member] = []
        self.out: dict[int, float] = {}
        self.may_have_run: list[tuple[Member, float]] = []
        self.done = self.hedged = self.served = self.stuck = False
        self.asked, self.turned_away, self.not_before = 0, 0, 0.0
        self.erred: list[Member] = []
        self.worthy, self.luck = 1.0, luck
        self.bound = cls.freshness in (Freshness.WRITE, Freshness.FRESH)  # to the primary
        late = cls.late_priority_weight > 0 and cls.freshness is Freshness.WRITE
        self.give_up = self.until if late else min(self.until, now + WAIT * cls.latency_objective)


class Router:
    """Decides for one driver. Feed it events with ``handle``; carry out the actions it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.rules = settings, settings.rules
        self.random = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.work = {c.name: c.latency_objective * 0.2 for c in settings.classes}
        self.groups: dict[int, Group] = {}
        self.endpoints: dict[int, Member] = {}
        self.requests: dict[int, Request] = {}
        self.now, self.actions = 0.0, []
        self.latency_objective = latency_objective = min(c.latency_objective for c in settings.classes)
        self.patrol_every, self.margin = max(settings.tick, latency_objective / PATROL), 3.0 * settings.tick
        self.typical = latency_objective * 0.2  # an answer's latency
        # A driver of a large fleet may have one request at a member, of whatever class.
        self.first_limit = max(1.0 / LEAST_WORTHY, LIMIT[1] / max(1, settings.proxy_instances))
        self.first_spare = min(1.0, max(LIMIT[0], SPARE * LIMIT[1] / max(1, settings.proxy_instances)))
        self.wake_at, self.wakes, self.stalled = -NEVER, 0, False
        self.busy: dict[int, Member] = {}
        self.zone_strain: dict[str, float] = {}
        self.zone_shares: dict[str, float] = {}  # of zones that are used in part, as told
        self.load_cost = (0.0, 1.0)  # s of latency for each unit of reported load: a regression's two sums
        self.heard_at, self.idle_limit, self.idle_lost = -NEVER, NEVER, 0
        self.next_period, self.budget = -NEVER, 1.0
        self.subscribe_at, self.subscribe_pause = -NEVER if settings.subscription_required else NEVER, REST[0]
        bounds = [c.max_staleness for c in settings.classes if c.freshness is Freshness.BOUNDED]
        self.bound = min(bounds, default=latency_objective)

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in order, and return what to do about them."""
        self.now, self.actions = now, []
        self.stalled = now - self.wake_at > self.patrol_every  # what waited for us looks late and is not
        if now >= self.next_period:
            self.on_period()
        for event in events:
            match event:
                case api.RequestReceived():
                    self.on_arrived(event)
                case api.AttemptFinished():
                    self.on_finished(event)
                case api.HealthCheckFinished():
                    self.on_probed(event)
                case api.EndpointListUpdate():
                    self.on_members(event)
                case api.ZoneWeights():
                    self.on_shares({zone: share for zone, share in event.shares if share < 1.0})
                case api.EndpointListFailed():
                    self.subscribe_at = now + self.subscribe_pause * (1.0 + self.random.random())
                    self.wake(self.subscribe_at)
                    most = max(REST[0], self.rules.max_poll_interval / 4)
                    self.subscribe_pause = min(self.subscribe_pause * 2.0, most)
                case api.ClientDisconnected():
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

    def on_members(self, event: api.EndpointListUpdate) -> None:
        """Apply a list; a member missing from a complete one is gone."""
        for entry in event.entries:
            self.on_listing(entry)
        named = {entry.endpoint for entry in event.entries}
        for endpoint in self.endpoints.values():
            if event.complete and endpoint.id not in named:
                endpoint.state = EndpointState.GONE
        if not event.remembered:
            self.subscribe_pause = REST[0]

    def on_listing(self, entry: api.EndpointEntry) -> None:
        """Apply one entry: state, start and role. The role is late, so answers outrank it."""
        endpoint = self.endpoints.get(entry.endpoint)
        group = self.groups.setdefault(endpoint.group if endpoint else entry.group, Group())
        if endpoint is None:
            endpoint = self.endpoints[entry.endpoint] = Member(entry, self.first_limit)
            endpoint.spare = self.first_spare
            endpoint.turn = self.random.random() ** (1.0 / endpoint.size)  # the larger, the likelier early
            group.order.append(endpoint)
            group.order.sort(key=lambda m: -m.turn)
            endpoint.cold_from = entry.started if entry.started > 0 else -NEVER
        elif entry.started > endpoint.started:
            endpoint.started = endpoint.cold_from = entry.started
            if endpoint.suspect == "down":
                endpoint.rest_until = self.now + REST[0] * self.random.random()
        endpoint.state, endpoint.size = entry.state, entry.size
        if entry.primary and not endpoint.listed_primary:
            held = group.primary
            if held is None or held.suspect or held.state is not EndpointState.UP:
                denied = endpoint.role_at > -NEVER
                group.told_role(endpoint, True, max(endpoint.role_at, held.role_at if held else -NEVER))
                endpoint.hearsay = denied
        endpoint.listed_primary = entry.primary

    def on_shares(self, shares: dict[str, float]) -> None:
        """Use zones as told; where none was used and some is now, the suspects there may be tried at once."""
        for group in self.groups.values():
            for endpoint in group.suspects.values():
                if self.zone_shares.get(endpoint.zone, 1.0) <= 0.0 < shares.get(endpoint.zone, 1.0):
                    endpoint.rest, endpoint.rest_until = REST[0], self.now
        self.zone_shares = shares

    # Answers and reports

    def on_finished(self, event: api.AttemptFinished) -> None:
        """Learn from the end of an attempt, then serve, resend or give the request up."""
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None or (event.request, event.attempt) not in endpoint.out:
            return
        sent, request, lost_from = endpoint.out.pop((event.request, event.attempt))
        endpoint.lost.discard((event.request, event.attempt))
        if not endpoint.out:
            self.busy.pop(endpoint.id, None)
        group = self.groups[endpoint.group]
        if self.marks(request):
            self.wrote(request.group, request.session, event)
        self.learn(endpoint, group, event, request, lost_from)
        request.out.pop(event.attempt)
        if group.waiting:
            self.place_waiting(group)
        if request.done or event.final:
            self.close(request)
            return
        if event.result not in NEVER_RAN:
            request.may_have_run.append((endpoint, sent))
        if event.result is AttemptResult.OVERLOADED:
            request.turned_away += 1
            request.not_before = self.now + self.patrol_every * (2.0**request.turned_away - 2.0)
        if not request.out:
            self.next_step(request)

    def marks(self, request: Request) -> bool:
        """Whether what it writes is remembered here for its session's reads."""
        own = request.session and request.cls.freshness is Freshness.WRITE
        return bool(own) and self.settings.session_tracking is not SessionTracking.BY_CLIENT

    def wrote(self, group: Group, session: str, event: api.AttemptFinished) -> None:
        """What the session's reads must see from now on: the commit, or all until now where it is not told.

        An attempt that may have run, though its answer was lost, may have committed until its end.
        """
        group.writing[session] -= 1
        if not group.writing[session]:
            del group.writing[session]
        if event.result not in NEVER_RAN:
            told = event.position if event.result is AttemptResult.OK else None
            group.sessions[session] = max(group.sessions.get(session, 0.0), told or self.now)

    def learn(
        self, endpoint: Member, group: Group, event: api.AttemptFinished, request: Request, lost_from: int
    ) -> None:
        """Role, position, health, load and the side's sample, from one outcome."""
        now, cls, result, key = self.now, request.cls, event.result, (event.request, event.attempt)
        if event.primary is not None and group.told_role(endpoint, event.primary, now):
            self.place_waiting(group)
        self.on_report(endpoint, event.report)
        if event.primary is False:
            self.on_report(endpoint, api.LoadReport(event.position))
        gain = min(0.5, max(0.1, (now - endpoint.last_answer) / PERIOD))  # few answers weigh more each
        answered = result in (
            AttemptResult.OK,
            AttemptResult.ERROR,
            AttemptResult.OVERLOADED,
            AttemptResult.NOT_ELIGIBLE,
        )
        if answered:
            endpoint.last_answer, endpoint.breaks = now, 0
            self.heard_at = now
            if result is not AttemptResult.ERROR:
                self.on_good(endpoint, key, gain)
            elif cls.freshness is not Freshness.WRITE:
                request.erred.append(endpoint)
            request.served = request.served or result is AttemptResult.OK
            while request.served and request.erred:  # an error is a member's if all went well elsewhere
                self.blame(request.erred.pop())
        elif result is AttemptResult.CONNECT_FAILED and endpoint.out and now - endpoint.last_answer < REST[0]:
            endpoint.unreached += 1.0
            if endpoint.unreached > ONE_IN:
                endpoint.limit = max(
                    LIMIT[0], len(endpoint.out) * BACK_OFF
                )  # a full table, not a dead process
        elif result in (AttemptResult.CONNECT_FAILED, AttemptResult.RESET):
            if endpoint.trial == key:
                self.distrust(endpoint, "down")
            elif not endpoint.suspect:
                self.broke(endpoint, result)
        elif result is AttemptResult.TIMEOUT and endpoint.trial == key:
            self.distrust(endpoint, "silent")
        if endpoint.trial == key:
            endpoint.trial = None
        if result not in (AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.OVERLOADED) or self.stalled:
            return
        share = 1.5 if result is AttemptResult.OVERLOADED else min(1.5, event.elapsed / cls.latency_objective)
        if result is AttemptResult.OK:
            endpoint.answers += 1
            endpoint.unreached *= FADE
        elif result is AttemptResult.TIMEOUT and endpoint.answers >= lost_from:
            return  # those sent later were answered, so the member is not too busy
        late = result is not AttemptResult.OK or event.elapsed > LATE * cls.latency_objective
        strained = endpoint.strain > STRAINED
        around = self.zone_strain.get(endpoint.zone, 0.0)
        endpoint.strain += gain * (share - endpoint.strain)
        self.zone_strain[endpoint.zone] = around + 0.2 * (share - around)
        if (
            late
            and (strained or result is AttemptResult.OVERLOADED)
            and now - endpoint.limit_at > self.work[cls.name]
        ):
            endpoint.limit = max(LIMIT[0], min(endpoint.limit, len(endpoint.out) + 1.0) * BACK_OFF)
            endpoint.limit_at = now
            if self.first_spare < 1.0:
                endpoint.spare = max(LIMIT[0], endpoint.spare * BACK_OFF)
        elif not late and len(endpoint.out) + 1 > endpoint.limit / 2:
            endpoint.limit += max(GROW_LEAST, GROW * endpoint.limit)
            endpoint.spare = min(1.0, endpoint.spare + GROW_LEAST)
        if cls.freshness in (Freshness.BOUNDED, Freshness.ANY) and result is not AttemptResult.OVERLOADED:
            group.samples[endpoint is group.primary].append(event.elapsed)
        if result is AttemptResult.OK and event.report and event.report.load:
            load, (cost, square) = event.report.load, self.load_cost
            cost += load * max(0.0, event.elapsed - self.work[cls.name])
            self.load_cost = (0.98 * cost, 0.98 * (square + load * load))
        if result is AttemptResult.OK:
            self.idle_lost = 0 if endpoint.idle > SILENCE * self.typical else self.idle_lost
            self.typical += 0.05 * (event.elapsed - self.typical)
            known = self.work[cls.name]
            self.work[cls.name] = known + 0.02 * known * (3.0 if event.elapsed > known * 1.5 else -1.0)

    def on_good(self, endpoint: Member, key: tuple[int, int], gain: float) -> None:
        """Silence is over with an answer; after errors a suspected member needs several good trials."""
        endpoint.failing *= 1.0 - gain
        if endpoint.suspect == "failing" and endpoint.trial == key:
            endpoint.good_trials += 1
        if endpoint.suspect and (endpoint.suspect != "failing" or endpoint.good_trials >= TRIALS):
            endpoint.suspect, endpoint.failing, endpoint.trial, endpoint.rest = "", 0.0, None, REST[0]
            del self.groups[endpoint.group].suspects[endpoint.id]

    def broke(self, endpoint: Member, result: AttemptResult) -> None:
        """A connection's end is not a member's: ask it, and see whether the next ones break as well."""
        endpoint.breaks = endpoint.breaks + 1 if result in DEAD else 0
        if endpoint.breaks >= BREAKS:
            self.distrust(endpoint, "down")
        elif endpoint.breaks:
            self.probe(endpoint)

    def blame(self, endpoint: Member) -> None:
        """One more error that was the member's own, not the request's."""
        endpoint.failing += 0.15 * (1.0 - endpoint.failing)
        if endpoint.suspect == "failing" or (not endpoint.suspect and endpoint.failing > FAILING):
            self.distrust(endpoint, "failing")

    def distrust(self, endpoint: Member, why: str) -> None:
        """Keep traffic away for a while, longer each time a trial fails; never all drivers at one moment."""
        endpoint.rest = min(endpoint.rest * 2.0, REST[1]) if endpoint.suspect else REST[0]
        endpoint.dead = endpoint.dead and bool(endpoint.suspect)
        endpoint.suspect, endpoint.trial, endpoint.good_trials = why, None, 0
        endpoint.rest_until = self.now + endpoint.rest * (0.75 + 0.5 * self.random.random())
        self.groups[endpoint.group].suspects[endpoint.id] = endpoint

    def on_report(self, endpoint: Member, report: api.LoadReport | None) -> None:
        """Positions only grow; one ahead of now is not believed. A report is as old as its position."""
        position = report.position if report else None
        if report and report.load is not None:
            endpoint.load, endpoint.load_at = report.load, self.now
        if position is None:
            return
        if endpoint.position < position <= self.now + POSITION_SLACK:
            endpoint.position, endpoint.lag = position, self.now - position
        group = self.groups[endpoint.group]
        if report.primary is not None and group.told_role(endpoint, report.primary, min(position, self.now)):
            self.place_waiting(group)

    def on_probed(self, event: api.HealthCheckFinished) -> None:
        """A probe gives position and role; that it is answered shows only that a process runs."""
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        group, endpoint.probing = self.groups[endpoint.group], False
        self.on_report(endpoint, event.report)
        if endpoint.suspect == "down" and event.result is AttemptResult.OK:
            if endpoint.dead:
                endpoint.cold_from = max(endpoint.cold_from, self.now)  # it was dead, so it has restarted
            endpoint.suspect, endpoint.rest_until = "silent", self.now
        elif endpoint.suspect == "down":
            self.distrust(endpoint, "down")
            endpoint.dead = True
        elif endpoint.breaks and not endpoint.suspect:
            self.broke(endpoint, event.result)
        elif event.result is AttemptResult.TIMEOUT and not endpoint.suspect:
            if self.heard_at > self.now - event.elapsed > endpoint.last_answer:
                self.distrust(endpoint, "silent")  # asked in vain: else reads wait for it again and again
        if group.waiting:
            self.place_waiting(group)
        if group.suspects and group.last is not None:
            self.tend(group, group.last)

    # Who may be sent to, who is recent enough, who is primary

    def may_send(self, endpoint: Member, request: Request, room: float = 1.0) -> bool:
        """Drain, cold start, health and load; limits below one are chances, eased off by zone."""
        if not self.open_to(endpoint, request):
            return False
        if endpoint.suspect:
            alone = request.cls.idempotency is not Idempotency.IDEMPOTENT or not self.settings.hedging
            return self.due(endpoint) and (alone or request.stuck)
        if self.now + self.queueing(endpoint) > request.useful:
            return False  # the answer would come too late to earn
        around = (
            self.zone_strain.get(endpoint.zone, 0.0)
            if self.now - endpoint.last_answer > self.latency_objective
            else 0.0
        )
        ease = max(LIMIT[0], min(1.0, (1.0 - around) / (1.0 - SPARE)))
        share, under_way = endpoint.limit * request.worthy * room * ease, len(endpoint.out)
        if request.bound:  # reads that may go elsewhere take no room from what may not
            under_way = sum(other.bound for _, other, _ in endpoint.out.values())
            if not under_way and share < 1.0 and (self.now - endpoint.used_at) * share > self.typical:
                return True  # less than that share of the time
        return under_way + request.luck < share

    def due(self, endpoint: Member) -> bool:
        """Its rest is over and it may have a trial; a dead one is probed first, unless probes always fail."""
        dead = endpoint.suspect == "down" and self.settings.health_checks and endpoint.rest < REST[1]
        return not dead and endpoint.trial is None and self.now >= endpoint.rest_until

    def warmth(self, endpoint: Member) -> float:
        """The share of its capacity that a member surely has by now."""
        start, within = self.rules.initial_capacity, self.rules.slow_start_window
        age = self.now - endpoint.cold_from
        return 1.0 if age >= within else start + (1.0 - start) * max(0.0, age) / within

    def open_to(self, endpoint: Member, request: Request) -> bool:
        """Rules 3 and 4: not drained; and a cold one gets its warmth's share of own requests, by chance."""
        if endpoint.state is not EndpointState.UP or not self.zone_open(endpoint, request):
            return False
        if endpoint.cold_from + self.rules.slow_start_window <= self.now:
            return True
        share = COLD_SHARE * self.rules.overload_factor * self.warmth(endpoint)
        if not request.bound:
            share /= sum(m.state is EndpointState.UP for m in request.group.order)
        return (request.luck + endpoint.id * GOLDEN) % 1.0 < share

    def zone_open(self, endpoint: Member, request: Request) -> bool:
        """A zone that is left, or come back to, bears its share of reads; the primary does what it must."""
        main = endpoint is request.group.primary and request.cls.freshness is Freshness.SESSION
        return request.bound or main or request.luck < self.zone_shares.get(endpoint.zone, 1.0)

    def fresh_enough(self, endpoint: Member, request: Request) -> bool:
        """By its last known position, at this moment, the member holds all that the read must see."""
        kind = request.cls.freshness
        if kind is Freshness.ANY:
            return True
        if kind is Freshness.BOUNDED:
            return endpoint.position >= self.now - request.cls.max_staleness + POSITION_SLACK
        return kind is Freshness.SESSION and endpoint.position >= self.need(request) + POSITION_SLACK

    def need(self, request: Request) -> float:
        """The position a session's read must see: remembered ones grow while it waits or is tried again.

        A write that is out may have been committed until now: whether its answer is lost shows only later.
        """
        if self.settings.session_tracking is not SessionTracking.BY_CLIENT:
            held = request.group.sessions.get(request.session, request.group.session_floor)
            request.need = max(request.need, held)
            if request.session in request.group.writing:
                return self.now
        return request.need

    # Requests

    def on_arrived(self, event: api.RequestReceived) -> None:
        """Take a request and place it."""
        cls, group = self.classes.get(event.class_name), self.groups.get(event.group)
        if event.request in self.requests:
            return
        if cls is None or group is None:
            self.actions.append(api.Reject(event.request))
            return
        request = self.requests[event.request] = Request(event, cls, group, self.now, self.random.random())
        self.budget = min(BUDGET[1], self.budget + BUDGET[0])
        if self.settings.session_tracking is SessionTracking.BY_CLIENT and event.session_age > 0:
            request.need = self.now - event.session_age
        group.gap += 0.1 * (min(PERIOD, self.now - group.asked_at) - group.gap)
        group.asked_at, group.last = self.now, request
        best = max(c.priority_weight / self.work[c.name] for c in self.settings.classes)
        request.worthy = (
            LEAST_WORTHY + (1.0 - LEAST_WORTHY) * cls.priority_weight / self.work[cls.name] / best
        )
        self.place(request)
        if group.suspects:
            self.tend(group, request)

    def place(self, request: Request) -> None:
        """Send to the best member that may take it now; let it wait for one while that can still help."""
        cls, now = request.cls, self.now
        if request.until - now < max(self.margin, self.work[cls.name] / 2):
            self.finish(request)
            return
        endpoint = self.choose(request) if now >= request.not_before else None
        # What no trusted member takes is the trial of a suspect: else a group whose members were all but
        # one cut off for a while is never used again, as trials are copies of what the others serve.
        request.stuck = endpoint is None and bool(request.group.suspects)
        if request.stuck and now >= request.not_before:
            endpoint = self.choose(request)
        if endpoint is not None and self.may_resend(request, endpoint):
            self.send(request, endpoint)
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
            main = None if any(m is not main and m.state is EndpointState.UP for m in group.order) else main
        if not on_replicas and main is not None and self.may_send(main, request, LEAST_WORTHY):
            return main
        if (endpoint := self.pick(request)) is not None:
            return endpoint
        wait = self.ask_first(request) or main is None or not self.may_send(main, request)
        return None if wait else main

    def ask_first(self, request: Request) -> bool:
        """Before the primary bears a read: ask a likely replica for its position, twice at most."""
        tells = self.settings.health_checks and self.settings.reports_position
        if request.asked >= ASK_MOST or request.cls.freshness is Freshness.ANY or not tells:
            return False
        if self.now + 2.0 * self.margin >= request.give_up:
            return False
        bound = (
            request.cls.max_staleness
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

    def may_ask(self, endpoint: Member) -> bool:
        """One that is far behind is asked more rarely."""
        behind = self.now - endpoint.position
        gap = max(PROBE_GAP * self.bound, 0.25 * min(behind, PERIOD) if behind > self.bound else 0.0)
        return not endpoint.probing and self.now - endpoint.probed_at >= gap

    def pick(self, request: Request, room: float = 1.0) -> Member | None:
        """Two-choice among the replicas that qualify, by own requests in flight for their size.

        A driver with little traffic keeps to the first few of its order, so that connections stay in use.
        """
        group = request.group
        reach = max(2, int(KEEP_WARM / max(group.gap, self.settings.tick)))
        keep_known = group.gap * len(group.order) < self.bound / 2  # one probe serves several reads
        able, qualified = [], []
        for endpoint in group.order:
            if endpoint is group.primary or endpoint in request.attempts:
                continue
            if self.may_send(endpoint, request, room):
                able.append(endpoint)
                if self.fresh_enough(endpoint, request):
                    qualified.append(endpoint)
                    if len(qualified) == reach:
                        break
                elif keep_known and self.may_ask(endpoint):
                    self.probe(endpoint)
        if not qualified:
            checked = able if self.settings.stale_read_handling is not StaleReadHandling.SERVE else []
            return max(checked, key=lambda m: m.position, default=None)
        weights = [m.size * self.warmth(m) for m in qualified]
        return min(self.random.choices(qualified, weights, k=2), key=self.busyness)

    def busyness(self, endpoint: Member) -> tuple[float, float]:
        """Own requests in flight for its size and warmth; on a tie the quicker, then the own zone."""
        capacity = endpoint.size * self.warmth(endpoint)
        return len(endpoint.out) / capacity, self.strain(endpoint) + OWN_ZONE * (
            endpoint.zone != self.settings.zone
        )

    def strain(self, endpoint: Member) -> float:
        """Mean latency as a share of the aim; its zone's stands in where own answers are few."""
        return max(
            endpoint.strain,
            self.zone_strain.get(endpoint.zone, 0.0),
            self.queueing(endpoint) / self.latency_objective,
        )

    def queueing(self, endpoint: Member) -> float:
        """What its reported load adds to an answer's time, by what such reports have meant here: a hint."""
        recent = self.now - endpoint.load_at < 2.0 * REST[0]
        return endpoint.load * self.load_cost[0] / self.load_cost[1] if recent else 0.0

    def scout(self, group: Group, request: Request) -> Member | None:
        """With no primary known one write at a time tries the members in id order, then pauses.

        The next one goes on where it stopped: a group may have more members than a request has attempts.
        """
        taken = group.scout != request.id and group.scout in self.requests
        spent = len(request.attempts) >= max(1, self.settings.max_attempts - 2)
        if taken or spent or self.now < group.scout_at:
            return None
        for endpoint in sorted(group.order, key=lambda m: (m.id <= group.scouted, m.id)):
            if endpoint not in request.attempts and self.may_send(endpoint, request):
                group.scout, group.scouted = request.id, endpoint.id
                return endpoint
        group.scout, group.scout_at = None, self.now + REST[0]
        return None

    def send(self, request: Request, endpoint: Member) -> None:
        """Send, and keep count; a trial of a suspected member is marked as such.

        Where connections were found lost after less idle time, those of this member are closed first.
        """
        key = (request.id, len(request.attempts))
        request.attempts.append(endpoint)
        request.out[key[1]] = self.now
        if self.marks(request):
            request.group.writing[request.session] = request.group.writing.get(request.session, 0) + 1
        endpoint.out[key] = (self.now, request, endpoint.answers + len(endpoint.out) + OVERTAKEN)
        endpoint.idle, endpoint.used_at = self.now - endpoint.used_at, self.now
        self.busy[endpoint.id] = endpoint
        if endpoint.suspect:
            endpoint.trial = key
            endpoint.rest_until = self.now + endpoint.rest
        else:
            self.wake(min(self.silence_due(endpoint), self.now + self.overdue_after(endpoint)))
        if self.idle_limit < endpoint.idle < NEVER:
            self.actions.append(api.CloseIdleConnections(endpoint.id))
        self.actions.append(api.SendAttempt(request.id, endpoint.id, 0.0))

    def may_resend(self, request: Request, endpoint: Member) -> bool:
        """All rules for an attempt at this member; every send passes here."""
        settings, cls = self.settings, request.cls
        over = request.done or len(request.attempts) >= settings.max_attempts or self.now >= request.until
        if over or (request.out and not settings.hedging) or not self.open_to(endpoint, request):
            return False
        risky = request.may_have_run + [(request.attempts[hop], sent) for hop, sent in request.out.items()]
        if cls.idempotency is Idempotency.IDEMPOTENT or not risky:
            return True
        if cls.idempotency is Idempotency.NONE or self.window_over(request):
            return False
        return cls.deduplication_scope is DeduplicationScope.ALL or all(
            tried.group == endpoint.group for tried, _ in risky
        )

    def window_over(self, request: Request) -> bool:
        """Whether members may have forgotten the key of an attempt that may have run."""
        sent = [at for _, at in request.may_have_run] + list(request.out.values())
        limit = request.cls.deduplication_window - self.settings.tick
        return (
            request.cls.idempotency is not Idempotency.IDEMPOTENT
            and bool(sent)
            and self.now - min(sent) > limit
        )

    def next_step(self, request: Request) -> None:
        """After a failed attempt: another one where rules, time and budget allow, else the final answer."""
        cls = request.cls
        over = self.now >= request.useful
        over = over or len(request.attempts) >= self.settings.max_attempts
        over = over or (cls.idempotency is Idempotency.NONE and bool(request.may_have_run))
        over = over or len(request.erred) > 1  # two members agree that the request itself is bad
        if request.may_have_run and not over:
            over = self.budget < 1.0
            self.budget -= not over
        (self.finish if over else self.place)(request)

    def finish(self, request: Request) -> None:
        """The one final answer: refused only where trying again is harmless, else failed."""
        cls = request.cls
        risky = bool(request.may_have_run or request.out)
        wide = cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is DeduplicationScope.ALL
        if risky and cls.idempotency is not Idempotency.IDEMPOTENT and not wide:
            self.actions.append(api.Fail(request.id))
        else:  # the client may come back after the crowd that it was refused for has had its time
            pause = min(self.settings.max_retry_after, cls.deadline * (0.5 + self.random.random()))
            self.actions.append(api.Reject(request.id, pause if self.settings.retry_after else 0.0))
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
            self.actions.append(api.WatchEndpointList())
        self.wake(self.subscribe_at)
        for endpoint in list(self.busy.values()):
            if not endpoint.suspect:
                self.look_for_silence(endpoint)
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
            floor = min((m.position for m in group.order if m.state is EndpointState.UP), default=-NEVER)
            if len(group.sessions) > SESSIONS:  # one member that tells nothing would keep them for ever
                floor = max(floor, sorted(group.sessions.values())[-SESSIONS] + POSITION_SLACK)
            group.session_floor = max(group.session_floor, floor)
            group.sessions = {k: v for k, v in group.sessions.items() if v + POSITION_SLACK > floor}
        for endpoint in list(self.endpoints.values()):
            endpoint.gone_for = endpoint.gone_for + 1 if endpoint.state is EndpointState.GONE else 0
            if endpoint.gone_for > FORGET_GONE and not endpoint.out:
                self.forget(endpoint)

    def forget(self, endpoint: Member) -> None:
        """Nothing is known any more of a member that has long been gone: ids that come back are rare."""
        group = self.groups[endpoint.group]
        group.order.remove(endpoint)
        group.suspects.pop(endpoint.id, None)
        group.primary = None if group.primary is endpoint else group.primary
        del self.endpoints[endpoint.id]

    def silence_due(self, endpoint: Member) -> float:
        """When the answers that a member owes make its silence remarkable."""
        waiting = max(1, len(endpoint.out) - len(endpoint.lost))
        return endpoint.silent_from() + max(2.0, SILENCE / waiting) * self.typical

    def overdue_after(self, endpoint: Member) -> float:
        """How long after its send a request is remarkable that a member has not answered, though others."""
        return OVERDUE * max(self.typical, endpoint.strain * self.latency_objective)

    def look_for_silence(self, endpoint: Member) -> None:
        """Help requests at a silent member; suspect it if others answered and its connection was in use."""
        after = self.overdue_after(endpoint)
        for key, (sent, request, lost_from) in list(endpoint.out.items()):
            if self.now < sent + after:
                self.wake(sent + after)
                break
            if endpoint.answers >= lost_from:
                endpoint.lost.add(key)
                self.hedge(request, endpoint)
        due = self.silence_due(endpoint)
        if self.now < due:
            self.wake(due)
            return
        since = endpoint.silent_from()
        for _, request, _ in list(endpoint.out.values()):
            self.hedge(request)
        if len(endpoint.out) == 1 and SILENCE * self.typical < endpoint.idle < min(self.idle_limit, 1e9):
            self.idle_lost += 1  # twice with no such send answered between: connections are dropped unseen
            if self.idle_lost > 1:
                self.idle_limit = endpoint.idle / 2.0
        elif self.heard_at > since:
            self.distrust(endpoint, "silent")
            return
        endpoint.watched = self.now
        self.wake(self.silence_due(endpoint))

    def seek_primary(self, group: Group) -> None:
        """While requests wait for a primary, ask members for their role: as many as there are waiting."""
        lost = group.primary is None or group.primary.suspect
        if not lost or self.now < group.seek_at:
            return
        group.seek_at = self.now + REST[0] / 2
        for endpoint in self.random.sample(group.order, min(len(group.order), len(group.waiting))):
            self.probe(endpoint)

    def tend(self, group: Group, request: Request) -> None:
        """Try suspects whose rest is over, by a copy of a safe read, so that nothing is lost by a trial."""
        for endpoint in list(group.suspects.values()):
            unused = self.zone_shares.get(endpoint.zone, 1.0) <= 0.0
            if self.now < endpoint.rest_until or endpoint.trial or unused:
                continue
            copy = (
                request.out
                and request.cls.idempotency is Idempotency.IDEMPOTENT
                and endpoint not in request.attempts
            )
            copy = copy and self.may_resend(request, endpoint)
            if copy and self.due(endpoint) and self.fresh_enough(endpoint, request):
                self.send(request, endpoint)
            elif (copy or not self.due(endpoint)) and self.now - endpoint.probed_at >= REST[0] / 2:
                self.probe(endpoint)

    def probe(self, endpoint: Member) -> None:
        """Ask a member for its report."""
        if self.settings.health_checks and not endpoint.probing and endpoint.state is EndpointState.UP:
            endpoint.probing, endpoint.probed_at = True, self.now
            self.actions.append(api.CheckHealth(endpoint.id))

    def hedge(self, request: Request, lost_at: Member | None = None) -> None:
        """A second copy of a safe read that waits too long, while the budget lasts.

        Of what was overtaken, the same member gets the copy where no other may: it does answer others.
        """
        cls, endpoint = request.cls, None
        if request.done or request.hedged or self.budget < 1.0:
            return
        if cls.idempotency is Idempotency.IDEMPOTENT and not request.bound:
            endpoint = self.pick(request, HEDGE_ROOM)
        if endpoint is None and lost_at and self.may_send(lost_at, request, HEDGE_ROOM):
            serves = lost_at is request.group.primary or self.fresh_enough(lost_at, request)
            endpoint = lost_at if serves else None
        if endpoint is not None and not endpoint.suspect and self.may_resend(request, endpoint):
            request.hedged = True
            self.budget -= 1.0
            self.send(request, endpoint)

    def place_waiting(self, group: Group) -> None:
        """Place what waits, the most worth per work first; give up what has waited too long."""
        waiting, group.waiting = sorted(group.waiting, key=lambda r: -r.worthy), []
        for request in waiting:
            if not request.done and not request.out:
                self.place(request)
