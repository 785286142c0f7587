"""Every decision of sedgepitch: which member answers a request, when, and when it is turned away.

The types, events and actions stand in ``routing/messages.py``. A Router is a pure state machine: the same
settings, seed and events give the same actions. docs/design.md says what is the paper's and what ours.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from sedgepitch.routing import messages as api
from sedgepitch.routing.attempts import Attempts
from sedgepitch.routing.concurrency_limit import ConcurrencyLimits
from sedgepitch.routing.eligibility import Eligibility
from sedgepitch.routing.freshness import FreshnessRules
from sedgepitch.routing.half_open_trials import HalfOpenTrials
from sedgepitch.routing.health_checks import HealthChecks
from sedgepitch.routing.hedging import Hedging
from sedgepitch.routing.idle_connections import IdleConnections
from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.messages import (
    NEVER_RAN,
    AttemptResult,
    EndpointState,
    Freshness,
    SessionTracking,
)
from sedgepitch.routing.outlier_detection import NOT_RUNNING, OutlierDetection
from sedgepitch.routing.primary_discovery import PrimaryDiscovery, role_listed, role_reported
from sedgepitch.routing.records import (
    NEVER,
    POSITION_ROUNDING_S,
    Endpoint,
    ReplicaGroup,
    RoutedRequest,
)
from sedgepitch.routing.retries import Retries
from sedgepitch.routing.selection import Selection
from sedgepitch.routing.side_comparison import (
    COMPARISON_PERIOD_S,
    compare_sides,
    record_latency,
)
from sedgepitch.routing.silence_detection import SilenceDetection
from sedgepitch.routing.slow_start import SlowStart
from sedgepitch.routing.state import RouterState
from sedgepitch.routing.wait_queue import WaitQueue

# The mechanism (paper: Huang et al.; "ours" where the paper or the design page leaves it open).
# Freshness.
# Health.
REST = (0.5, 4.0)  # s that a suspected member rests: at first, and at most; doubles with each failed trial
# Load.
WAIT = 0.15  # share of its aim that a read may wait for room before it is refused
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
        self.selection = Selection(
            state, self.eligibility, self.freshness, self.limits, self.health_checks, self.primary_discovery
        )
        outliers = self.outlier_detection
        self.attempts = Attempts(state, self.freshness, outliers, self.idle_connections, self.latencies)
        self.wait_queue = WaitQueue(state, self.latencies, self.selection, self.retries, self.attempts)
        self.hedging = Hedging(self.selection, self.eligibility, self.freshness, self.retries, self.attempts)
        self.silence_detection = SilenceDetection(
            state, self.latencies, outliers, self.idle_connections, self.hedging
        )
        self.trials = HalfOpenTrials(
            state, outliers, self.slow_start, self.freshness, self.health_checks, self.retries, self.attempts
        )
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
        attempt = self.attempts.finished(endpoint, event) if endpoint is not None else None
        if endpoint is None or attempt is None:
            return
        sent, request, lost_from = attempt.sent_at, attempt.request, attempt.overtaken_from
        group = self.groups[endpoint.group_id]
        self.freshness.write_finished(request, event)
        self.learn(endpoint, group, event, request, lost_from)
        request.in_flight.pop(event.attempt)
        if group.waiting:
            self.wait_queue.place_waiting(group)
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
            self.wait_queue.place_waiting(group)
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
            self.wait_queue.place_waiting(group)

    def on_probed(self, event: api.HealthCheckFinished) -> None:
        """A probe gives position and role; that it is answered shows only that a process runs."""
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        group, endpoint.health_check_pending = self.groups[endpoint.group_id], False
        self.on_report(endpoint, event.report)
        self.outlier_detection.health_check_finished(endpoint, event)
        if group.waiting:
            self.wait_queue.place_waiting(group)
        if group.ejected and group.last_request is not None:
            self.trials.start_due(group, group.last_request)

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
        self.wait_queue.place(request)
        if group.ejected:
            self.trials.start_due(group, request)

    def next_step(self, request: RoutedRequest) -> None:
        """After a failed attempt: another one where rules, time and budget allow, else the final answer."""
        if self.retries.should_retry(request):
            self.wait_queue.place(request)
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
                self.silence_detection.check(endpoint)
        for group in self.groups.values():
            if group.waiting:
                self.primary_discovery.check_roles(group)
                self.wait_queue.place_waiting(group)

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
