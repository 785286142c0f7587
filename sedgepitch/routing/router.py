"""Every decision of sedgepitch: which member answers a request, when, and when it is turned away.

The types, events and actions stand in ``routing/messages.py``. A Router is a pure state machine: the same
settings, seed and events give the same actions. docs/design.md says what is the paper's and what ours.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice
from random import Random

from sedgepitch.routing import messages as api
from sedgepitch.routing.concurrency_limit import ConcurrencyLimits
from sedgepitch.routing.eligibility import Eligibility
from sedgepitch.routing.freshness import FreshnessRules
from sedgepitch.routing.health_checks import HealthChecks
from sedgepitch.routing.idle_connections import IdleConnections
from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.messages import (
    NEVER_RAN,
    AttemptResult,
    EndpointState,
    Freshness,
    Idempotency,
    SessionTracking,
    StaleReadHandling,
)
from sedgepitch.routing.outlier_detection import NOT_RUNNING, OutlierDetection
from sedgepitch.routing.primary_discovery import PrimaryDiscovery, role_listed, role_reported
from sedgepitch.routing.records import (
    NEVER,
    POSITION_ROUNDING_S,
    EjectionReason,
    Endpoint,
    InFlightAttempt,
    ReadPreference,
    ReplicaGroup,
    RoutedRequest,
)
from sedgepitch.routing.response_deadlines import overdue_after, silence_deadline, silent_since
from sedgepitch.routing.retries import Retries
from sedgepitch.routing.side_comparison import (
    COMPARISON_PERIOD_S,
    compare_sides,
    record_latency,
    side_for_read,
)
from sedgepitch.routing.slow_start import SlowStart
from sedgepitch.routing.state import RouterState

# The mechanism (paper: Huang et al.; "ours" where the paper or the design page leaves it open).
# Freshness.
ASK_MOST = 2  # replicas that a read may ask for their position before it is placed
# Health.
OVERTAKEN = 4  # answers to requests sent later that show one as lost on its way, not as waiting its turn
REST = (0.5, 4.0)  # s that a suspected member rests: at first, and at most; doubles with each failed trial
# Load.
PRIMARY_LIMIT_SHARE = 0.7  # share of a primary's limit that reads fill by preference
WAIT = 0.15  # share of its aim that a read may wait for room before it is refused
HEDGE_ROOM = 0.4  # share of a member's room that second copies may use: they must not feed an overload
OWN_ZONE = 0.15  # share of the aim by which a member elsewhere must be quicker to win a tie
KEEP_WARM = 0.5  # s; a driver spreads over as many members as it would use this often each, two at least
FORGET_GONE = 12  # periods after which a member that is gone is forgotten


class Router:
    """Decides for one driver. Feed it events with ``handle``; carry out the actions it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.state = state = RouterState(settings, Random(seed))
        self.settings, self.rules, self.random = settings, settings.rules, state.random
        self.classes = {c.name: c for c in settings.classes}
        self.groups, self.endpoints, self.requests = state.groups, state.endpoints, state.requests
        self.latencies = LatencyEstimates(state)
        self.slow_start = SlowStart(state)
        self.health_checks = HealthChecks(state)
        self.freshness = FreshnessRules(state)
        self.idle_connections = IdleConnections(self.latencies)
        self.limits = ConcurrencyLimits(state, self.latencies)
        self.outlier_detection = OutlierDetection(state, self.health_checks)
        self.eligibility = Eligibility(
            state, self.slow_start, self.outlier_detection, self.latencies, self.limits
        )
        self.primary_discovery = PrimaryDiscovery(state, self.eligibility, self.health_checks)
        self.retries = Retries(state, self.slow_start)
        self.next_period = -NEVER
        self.subscribe_at, self.subscribe_pause = -NEVER if settings.subscription_required else NEVER, REST[0]

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Take the events of one moment, in order, and return what to do about them."""
        self.state.now, self.state.actions = now, []
        self.state.event_loop_blocked = (
            now - self.state.timer_at > self.state.check_interval
        )  # what waited for us looks late and is not
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
                    self.state.set_timer(self.subscribe_at)
                    most = max(REST[0], self.rules.max_poll_interval / 4)
                    self.subscribe_pause = min(self.subscribe_pause * 2.0, most)
                case api.ClientDisconnected():
                    if request := self.requests.get(event.request):
                        self.retries.close(request)
        if now >= self.state.timer_at - self.settings.tick / 2:
            self.patrol()
        return self.state.actions

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
        group = self.groups.setdefault(endpoint.group_id if endpoint else entry.group, ReplicaGroup())
        if endpoint is None:
            endpoint = self.endpoints[entry.endpoint] = Endpoint(
                id=entry.endpoint,
                group_id=entry.group,
                zone=entry.zone,
                size=entry.size,
                state=entry.state,
                started_at=entry.started,
                preference_weight=0.0,
                concurrency_limit=self.limits.initial_limit,
                primary_read_share=self.limits.initial_primary_read_share,
            )
            endpoint.preference_weight = self.random.random() ** (
                1.0 / endpoint.size
            )  # the larger, the likelier early
            group.endpoints.append(endpoint)
            group.endpoints.sort(key=lambda m: -m.preference_weight)
            endpoint.warming_since = entry.started if entry.started > 0 else -NEVER
        elif entry.started > endpoint.started_at:
            endpoint.started_at = endpoint.warming_since = entry.started
            self.outlier_detection.restarted(endpoint)
        endpoint.state, endpoint.size = entry.state, entry.size
        role_listed(group, endpoint, entry.primary)

    def on_shares(self, shares: dict[str, float]) -> None:
        """Use zones as told; where none was used and some is now, the suspects there may be tried at once."""
        returned = self.slow_start.set_zone_weights(shares)
        for group in self.groups.values():
            for endpoint in group.ejected.values():
                if endpoint.zone in returned:
                    self.outlier_detection.zone_returned(endpoint)

    # Answers and reports

    def on_finished(self, event: api.AttemptFinished) -> None:
        """Learn from the end of an attempt, then serve, resend or give the request up."""
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None or (event.request, event.attempt) not in endpoint.in_flight:
            return
        attempt = endpoint.in_flight.pop((event.request, event.attempt))
        sent, request, lost_from = attempt.sent_at, attempt.request, attempt.overtaken_from
        endpoint.overtaken.discard((event.request, event.attempt))
        if not endpoint.in_flight:
            self.state.endpoints_in_use.pop(endpoint.id, None)
        group = self.groups[endpoint.group_id]
        self.freshness.write_finished(request, event)
        self.learn(endpoint, group, event, request, lost_from)
        request.in_flight.pop(event.attempt)
        if group.waiting:
            self.place_waiting(group)
        if request.done or event.final:
            self.retries.close(request)
            return
        if event.result not in NEVER_RAN:
            request.may_have_run.append((endpoint, sent))
        if event.result is AttemptResult.OVERLOADED:
            self.retries.overloaded(request)
        if not request.in_flight:
            self.next_step(request)

    def learn(
        self,
        endpoint: Endpoint,
        group: ReplicaGroup,
        event: api.AttemptFinished,
        request: RoutedRequest,
        lost_from: int,
    ) -> None:
        """Role, position, health, load and the side's sample, from one outcome."""
        now, cls, result, key = (
            self.state.now,
            request.request_class,
            event.result,
            (event.request, event.attempt),
        )
        if event.primary is not None and role_reported(group, endpoint, event.primary, now):
            self.place_waiting(group)
        self.on_report(endpoint, event.report)
        if event.primary is False:
            self.on_report(endpoint, api.LoadReport(event.position))
        gain = min(
            0.5, max(0.1, (now - endpoint.last_answer_at) / COMPARISON_PERIOD_S)
        )  # few answers weigh more each
        answered = result in (
            AttemptResult.OK,
            AttemptResult.ERROR,
            AttemptResult.OVERLOADED,
            AttemptResult.NOT_ELIGIBLE,
        )
        if answered:
            endpoint.last_answer_at, endpoint.connection_failures = now, 0
            self.state.last_answer_at = now
            if result is not AttemptResult.ERROR:
                self.outlier_detection.answered_well(endpoint, key, gain)
            elif cls.freshness is not Freshness.WRITE:
                request.errors.append(endpoint)
            request.served = request.served or result is AttemptResult.OK
            self.outlier_detection.attribute_errors(request)
        elif result is AttemptResult.CONNECT_FAILED and self.outlier_detection.process_runs(endpoint):
            self.limits.connect_failed(endpoint)
        elif result in NOT_RUNNING:
            self.outlier_detection.connection_failed(endpoint, key, result)
        elif result is AttemptResult.TIMEOUT:
            self.outlier_detection.timed_out(endpoint, key)
        if endpoint.trial == key:
            endpoint.trial = None
        if (
            result not in (AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.OVERLOADED)
            or self.state.event_loop_blocked
        ):
            return
        share = 1.5 if result is AttemptResult.OVERLOADED else min(1.5, event.elapsed / cls.latency_objective)
        if result is AttemptResult.OK:
            endpoint.answers += 1
            self.limits.answered(endpoint)
        elif result is AttemptResult.TIMEOUT and endpoint.answers >= lost_from:
            return  # those sent later were answered, so the member is not too busy
        mean_ratio = endpoint.latency_ratio
        self.latencies.observe_ratio(endpoint, share, gain)
        self.limits.observe(endpoint, cls, result, event.elapsed, mean_ratio)
        if result is not AttemptResult.OVERLOADED:
            record_latency(group, endpoint, request, event.elapsed)
        if result is AttemptResult.OK:
            self.idle_connections.answered(endpoint)
            self.latencies.observe_answer(cls, event)

    def on_report(self, endpoint: Endpoint, report: api.LoadReport | None) -> None:
        """Positions only grow; one ahead of now is not believed. A report is as old as its position."""
        position = report.position if report else None
        if report and report.load is not None:
            endpoint.reported_load, endpoint.load_reported_at = report.load, self.state.now
        if position is None:
            return
        if endpoint.position < position <= self.state.now + POSITION_ROUNDING_S:
            endpoint.position, endpoint.replication_lag = position, self.state.now - position
        group = self.groups[endpoint.group_id]
        if report.primary is not None and role_reported(
            group, endpoint, report.primary, min(position, self.state.now)
        ):
            self.place_waiting(group)

    def on_probed(self, event: api.HealthCheckFinished) -> None:
        """A probe gives position and role; that it is answered shows only that a process runs."""
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        group, endpoint.health_check_pending = self.groups[endpoint.group_id], False
        self.on_report(endpoint, event.report)
        self.outlier_detection.health_check_finished(endpoint, event)
        if group.waiting:
            self.place_waiting(group)
        if group.ejected and group.last_request is not None:
            self.tend(group, group.last_request)

    # Who may be sent to, who is recent enough, who is primary

    # Requests

    def on_arrived(self, event: api.RequestReceived) -> None:
        """Take a request and place it."""
        cls, group = self.classes.get(event.class_name), self.groups.get(event.group)
        if event.request in self.requests:
            return
        if cls is None or group is None:
            self.state.actions.append(api.Reject(event.request))
            return
        until = self.state.now + event.time_left
        late = cls.late_priority_weight > 0 and cls.freshness is Freshness.WRITE
        request = self.requests[event.request] = RoutedRequest(
            id=event.request,
            request_class=cls,
            group=group,
            session=event.session,
            deadline=until,
            useful_until=(
                until if cls.late_priority_weight > 0 else min(until, self.state.now + cls.latency_objective)
            ),
            wait_until=until if late else min(until, self.state.now + WAIT * cls.latency_objective),
            primary_only=cls.freshness in (Freshness.WRITE, Freshness.FRESH),
            sampling_draw=self.random.random(),
        )
        self.retries.request_received()
        if self.settings.session_tracking is SessionTracking.BY_CLIENT and event.session_age > 0:
            request.required_position = self.state.now - event.session_age
        group.request_interval += 0.1 * (
            min(COMPARISON_PERIOD_S, self.state.now - group.last_request_at) - group.request_interval
        )
        group.last_request_at, group.last_request = self.state.now, request
        request.limit_share = self.limits.limit_share(cls)
        self.place(request)
        if group.ejected:
            self.tend(group, request)

    def place(self, request: RoutedRequest) -> None:
        """Send to the best member that may take it now; let it wait for one while that can still help."""
        cls, now = request.request_class, self.state.now
        if request.deadline - now < max(self.state.answer_margin, self.latencies.service_time[cls.name] / 2):
            self.retries.answer(request)
            return
        endpoint = self.choose(request) if now >= request.retry_at else None
        # What no trusted member takes is the trial of a suspect: else a group whose members were all but
        # one cut off for a while is never used again, as trials are copies of what the others serve.
        request.needs_trial = endpoint is None and bool(request.group.ejected)
        if request.needs_trial and now >= request.retry_at:
            endpoint = self.choose(request)
        if endpoint is not None and self.retries.may_attempt(request, endpoint):
            self.send(request, endpoint)
        elif now + self.state.answer_margin >= request.wait_until or self.retries.deduplication_window_over(
            request
        ):
            self.retries.answer(request)
        else:
            request.group.waiting.append(request)
            self.state.set_timer(
                min(request.wait_until - self.state.answer_margin, now + self.state.check_interval)
            )

    def choose(self, request: RoutedRequest) -> Endpoint | None:
        """The side, then the pick within it."""
        cls, primary = request.request_class, request.group.primary
        if cls.freshness is Freshness.WRITE and primary is None:
            return self.primary_discovery.next_candidate(request)
        if request.primary_only:
            doubtful = cls.freshness is Freshness.FRESH and primary is not None and primary.role_unconfirmed
            if primary is None or (not doubtful and self.eligibility.may_send(primary, request)):
                return primary
            lost = cls.freshness is Freshness.WRITE and primary.ejection_reason
            return self.primary_discovery.next_candidate(request) if lost else None
        on_replicas = side_for_read(self.state, request) is ReadPreference.SECONDARY
        main = self.limits.primary_for_read(request)
        if (
            not on_replicas
            and main is not None
            and self.eligibility.may_send(main, request, PRIMARY_LIMIT_SHARE)
        ):
            return main
        if (endpoint := self.pick(request)) is not None:
            return endpoint
        wait = self.ask_first(request) or main is None or not self.eligibility.may_send(main, request)
        return None if wait else main

    def ask_first(self, request: RoutedRequest) -> bool:
        """Before the primary bears a read: ask a likely replica for its position, twice at most."""
        tells = self.settings.health_checks and self.settings.reports_position
        if (
            request.position_checks >= ASK_MOST
            or request.request_class.freshness is Freshness.ANY
            or not tells
        ):
            return False
        if self.state.now + 2.0 * self.state.answer_margin >= request.wait_until:
            return False
        bound = self.freshness.max_staleness(request)
        if bound <= 0.0:  # no replica is at the present
            return False
        passed = [request.group.primary, *request.attempts]
        others = (
            m for m in request.group.endpoints if m not in passed and self.eligibility.may_send(m, request)
        )
        likely = list(
            islice(
                (m for m in others if m.replication_lag < bound or self.health_checks.position_check_due(m)),
                2,
            )
        )
        if likely:
            request.position_checks += 1
            self.health_checks.request(min(likely, key=self.busyness))
        return bool(likely)

    def pick(self, request: RoutedRequest, room: float = 1.0) -> Endpoint | None:
        """Two-choice among the replicas that qualify, by own requests in flight for their size.

        A driver with little traffic keeps to the first few of its order, so that connections stay in use.
        """
        group = request.group
        reach = max(2, int(KEEP_WARM / max(group.request_interval, self.settings.tick)))
        keep_known = (
            group.request_interval * len(group.endpoints) < self.health_checks.staleness_bound / 2
        )  # one probe serves several reads
        able, qualified = [], []
        for endpoint in group.endpoints:
            if endpoint is group.primary or endpoint in request.attempts:
                continue
            if self.eligibility.may_send(endpoint, request, room):
                able.append(endpoint)
                if self.freshness.fresh_enough(endpoint, request):
                    qualified.append(endpoint)
                    if len(qualified) == reach:
                        break
                elif keep_known and self.health_checks.position_check_due(endpoint):
                    self.health_checks.request(endpoint)
        if not qualified:
            checked = able if self.settings.stale_read_handling is not StaleReadHandling.SERVE else []
            return max(checked, key=lambda m: m.position, default=None)
        weights = [m.size * self.slow_start.capacity_share(m) for m in qualified]
        return min(self.random.choices(qualified, weights, k=2), key=self.busyness)

    def busyness(self, endpoint: Endpoint) -> tuple[float, float]:
        """Own requests in flight for its size and warmth; on a tie the quicker, then the own zone."""
        capacity = endpoint.size * self.slow_start.capacity_share(endpoint)
        return len(endpoint.in_flight) / capacity, self.latencies.latency_ratio(endpoint) + OWN_ZONE * (
            endpoint.zone != self.settings.zone
        )

    def send(self, request: RoutedRequest, endpoint: Endpoint) -> None:
        """Send, and keep count; a trial of a suspected member is marked as such.

        Where connections were found lost after less idle time, those of this member are closed first.
        """
        key = (request.id, len(request.attempts))
        request.attempts.append(endpoint)
        request.in_flight[key[1]] = self.state.now
        self.freshness.write_started(request)
        overtaken_from = endpoint.answers + len(endpoint.in_flight) + OVERTAKEN
        endpoint.in_flight[key] = InFlightAttempt(self.state.now, request, overtaken_from)
        endpoint.idle_before_send, endpoint.last_sent_at = (
            self.state.now - endpoint.last_sent_at,
            self.state.now,
        )
        self.state.endpoints_in_use[endpoint.id] = endpoint
        if endpoint.ejection_reason:
            endpoint.trial = key
            endpoint.ejected_until = self.state.now + endpoint.ejection_time
        else:
            self.state.set_timer(
                min(
                    silence_deadline(endpoint, self.latencies),
                    self.state.now + overdue_after(endpoint, self.latencies),
                )
            )
        self.idle_connections.close_before_send(endpoint)
        self.state.actions.append(api.SendAttempt(request.id, endpoint.id, 0.0))

    def next_step(self, request: RoutedRequest) -> None:
        """After a failed attempt: another one where rules, time and budget allow, else the final answer."""
        if self.retries.should_retry(request):
            self.place(request)
        else:
            self.retries.answer(request)

    # What time brings

    def patrol(self) -> None:
        """Silence, waiting requests, the subscription; then sleep until the next of them is due."""
        self.state.timer_at = NEVER
        if self.state.now >= self.subscribe_at:
            self.subscribe_at = NEVER
            self.state.actions.append(api.WatchEndpointList())
        self.state.set_timer(self.subscribe_at)
        for endpoint in list(self.state.endpoints_in_use.values()):
            if not endpoint.ejection_reason:
                self.look_for_silence(endpoint)
        for group in self.groups.values():
            if group.waiting:
                self.primary_discovery.check_roles(group)
                self.place_waiting(group)

    def on_period(self) -> None:
        """The paper's comparison; and what is remembered for long is let go."""
        self.next_period = self.state.now + COMPARISON_PERIOD_S
        self.idle_connections.end_period()
        for group in self.groups.values():
            compare_sides(group)
            self.freshness.forget_sessions(group)
        for endpoint in list(self.endpoints.values()):
            endpoint.periods_gone = endpoint.periods_gone + 1 if endpoint.state is EndpointState.GONE else 0
            if endpoint.periods_gone > FORGET_GONE and not endpoint.in_flight:
                self.forget(endpoint)

    def forget(self, endpoint: Endpoint) -> None:
        """Nothing is known any more of a member that has long been gone: ids that come back are rare."""
        group = self.groups[endpoint.group_id]
        group.endpoints.remove(endpoint)
        group.ejected.pop(endpoint.id, None)
        group.primary = None if group.primary is endpoint else group.primary
        del self.endpoints[endpoint.id]

    def look_for_silence(self, endpoint: Endpoint) -> None:
        """Help requests at a silent member; suspect it if others answered and its connection was in use."""
        after = overdue_after(endpoint, self.latencies)
        for key, attempt in list(endpoint.in_flight.items()):
            if self.state.now < attempt.sent_at + after:
                self.state.set_timer(attempt.sent_at + after)
                break
            if endpoint.answers >= attempt.overtaken_from:
                endpoint.overtaken.add(key)
                self.hedge(attempt.request, endpoint)
        due = silence_deadline(endpoint, self.latencies)
        if self.state.now < due:
            self.state.set_timer(due)
            return
        since = silent_since(endpoint)
        for attempt in list(endpoint.in_flight.values()):
            self.hedge(attempt.request)
        lost_connection = self.idle_connections.explains_silence(endpoint)
        if not lost_connection and self.state.last_answer_at > since:
            self.outlier_detection.eject(endpoint, EjectionReason.SILENT)
            return
        endpoint.silence_excused_at = self.state.now
        self.state.set_timer(silence_deadline(endpoint, self.latencies))

    def tend(self, group: ReplicaGroup, request: RoutedRequest) -> None:
        """Try suspects whose rest is over, by a copy of a safe read, so that nothing is lost by a trial."""
        for endpoint in list(group.ejected.values()):
            unused = self.slow_start.zone_is_left(endpoint)
            if self.state.now < endpoint.ejected_until or endpoint.trial or unused:
                continue
            copy = (
                request.in_flight
                and request.request_class.idempotency is Idempotency.IDEMPOTENT
                and endpoint not in request.attempts
            )
            copy = copy and self.retries.may_attempt(request, endpoint)
            if (
                copy
                and self.outlier_detection.trial_is_due(endpoint)
                and self.freshness.fresh_enough(endpoint, request)
            ):
                self.send(request, endpoint)
            elif (
                copy or not self.outlier_detection.trial_is_due(endpoint)
            ) and self.state.now - endpoint.health_checked_at >= REST[0] / 2:
                self.health_checks.request(endpoint)

    def hedge(self, request: RoutedRequest, lost_at: Endpoint | None = None) -> None:
        """A second copy of a safe read that waits too long, while the budget lasts.

        Of what was overtaken, the same member gets the copy where no other may: it does answer others.
        """
        cls, endpoint = request.request_class, None
        if request.done or request.hedged or self.retries.budget < 1.0:
            return
        if cls.idempotency is Idempotency.IDEMPOTENT and not request.primary_only:
            endpoint = self.pick(request, HEDGE_ROOM)
        if endpoint is None and lost_at and self.eligibility.may_send(lost_at, request, HEDGE_ROOM):
            serves = lost_at is request.group.primary or self.freshness.fresh_enough(lost_at, request)
            endpoint = lost_at if serves else None
        if (
            endpoint is not None
            and not endpoint.ejection_reason
            and self.retries.may_attempt(request, endpoint)
        ):
            request.hedged = True
            self.retries.spend_budget()
            self.send(request, endpoint)

    def place_waiting(self, group: ReplicaGroup) -> None:
        """Place what waits, the most worth per work first; give up what has waited too long."""
        waiting, group.waiting = sorted(group.waiting, key=lambda r: -r.limit_share), []
        for request in waiting:
            if not request.done and not request.in_flight:
                self.place(request)
