"""The router of one proxy instance: a pure state machine that dispatches events to its components.

The same settings, seed and events produce the same actions. ``routing/messages.py`` exports the types of the
events and actions; docs/design.md names the module of each decision.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from sedgepitch.routing import messages
from sedgepitch.routing.attempt_results import AttemptResults
from sedgepitch.routing.attempts import Attempts
from sedgepitch.routing.concurrency_limit import ConcurrencyLimits
from sedgepitch.routing.eligibility import Eligibility
from sedgepitch.routing.endpoint_list import EndpointList
from sedgepitch.routing.freshness import FreshnessRules
from sedgepitch.routing.half_open_trials import HalfOpenTrials
from sedgepitch.routing.health_checks import HealthChecks
from sedgepitch.routing.hedging import Hedging
from sedgepitch.routing.idle_connections import IdleConnections
from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.load_reports import LoadReports
from sedgepitch.routing.outlier_detection import OutlierDetection
from sedgepitch.routing.primary_discovery import PrimaryDiscovery
from sedgepitch.routing.records import NEVER
from sedgepitch.routing.request_intake import RequestIntake
from sedgepitch.routing.retries import Retries
from sedgepitch.routing.selection import Selection
from sedgepitch.routing.side_comparison import COMPARISON_PERIOD_S, compare_sides
from sedgepitch.routing.silence_detection import SilenceDetection
from sedgepitch.routing.slow_start import SlowStart
from sedgepitch.routing.state import RouterState
from sedgepitch.routing.wait_queue import WaitQueue


class Router:
    """Makes all routing decisions of one proxy instance.

    Pass events to ``handle`` and carry out the returned actions in order.
    """

    def __init__(self, settings: messages.Settings, seed: int) -> None:
        """Create the components and connect each to those that it depends on."""
        self.state = state = RouterState(settings, Random(seed))
        self.settings = settings
        self.endpoints = state.endpoints
        self.groups = state.groups
        self.requests = state.requests
        self.next_period_at = -NEVER
        self._build_endpoint_components(state)
        self._build_request_components(state)
        self._build_event_components(state)

    def _build_endpoint_components(self, state: RouterState) -> None:
        self.latencies = LatencyEstimates(state)
        self.slow_start = SlowStart(state)
        self.health_checks = HealthChecks(state)
        self.freshness = FreshnessRules(state)
        self.idle_connections = IdleConnections(self.latencies)
        self.limits = ConcurrencyLimits(state, self.latencies)
        self.outlier_detection = OutlierDetection(state, self.health_checks, self.slow_start)
        self.endpoint_list = EndpointList(state, self.limits, self.outlier_detection, self.slow_start)
        self.eligibility = Eligibility(
            state, self.slow_start, self.outlier_detection, self.latencies, self.limits
        )
        self.primary_discovery = PrimaryDiscovery(state, self.eligibility, self.health_checks)

    def _build_request_components(self, state: RouterState) -> None:
        self.retries = Retries(state, self.slow_start)
        self.selection = Selection(
            state=state,
            eligibility=self.eligibility,
            slow_start=self.slow_start,
            latencies=self.latencies,
            freshness=self.freshness,
            limits=self.limits,
            health_checks=self.health_checks,
            primary_discovery=self.primary_discovery,
        )
        self.attempts = Attempts(
            state, self.freshness, self.outlier_detection, self.idle_connections, self.latencies
        )
        self.wait_queue = WaitQueue(state, self.latencies, self.selection, self.retries, self.attempts)
        self.reports = LoadReports(state, self.wait_queue)
        self.hedging = Hedging(self.selection, self.eligibility, self.freshness, self.retries, self.attempts)
        self.trials = HalfOpenTrials(
            state=state,
            outlier_detection=self.outlier_detection,
            slow_start=self.slow_start,
            freshness=self.freshness,
            health_checks=self.health_checks,
            retries=self.retries,
            attempts=self.attempts,
        )

    def _build_event_components(self, state: RouterState) -> None:
        self.request_intake = RequestIntake(
            state, self.limits, self.freshness, self.retries, self.wait_queue, self.trials
        )
        self.attempt_results = AttemptResults(
            state=state,
            attempts=self.attempts,
            reports=self.reports,
            outlier_detection=self.outlier_detection,
            limits=self.limits,
            latencies=self.latencies,
            idle_connections=self.idle_connections,
            retries=self.retries,
            wait_queue=self.wait_queue,
        )
        self.silence_detection = SilenceDetection(
            state=state,
            latencies=self.latencies,
            outlier_detection=self.outlier_detection,
            idle_connections=self.idle_connections,
            attempts=self.attempts,
            hedging=self.hedging,
        )

    def handle(self, now: float, events: Iterable[messages.Event]) -> list[messages.Action]:
        """Process events that occurred at the same time, in order, and return the resulting actions.

        `now` is the time in seconds on the proxy's clock, which is monotonic.
        """
        state = self.state
        state.now = now
        state.actions = []
        state.event_loop_blocked = now - state.timer_at > state.check_interval
        if now >= self.next_period_at:
            self._end_period()
        for event in events:
            self._dispatch(event)
        if now >= state.timer_at - state.settings.tick / 2:
            self._check_periodically()
        return state.actions

    def _dispatch(self, event: messages.Event) -> None:
        # TimerExpired needs no case: `handle` runs the periodic check with any event, once it is due.
        match event:
            case messages.RequestReceived():
                self.request_intake.request_received(event)
            case messages.AttemptFinished():
                self.attempt_results.attempt_finished(event)
            case messages.HealthCheckFinished():
                self._health_check_finished(event)
            case messages.EndpointListUpdate():
                self.endpoint_list.update(event)
            case messages.ZoneWeights(shares):
                self.endpoint_list.set_zone_weights({zone: share for zone, share in shares if share < 1.0})
            case messages.EndpointListFailed():
                self.endpoint_list.watch_failed()
            case messages.ClientDisconnected(number):
                if request := self.requests.get(number):
                    self.retries.close(request)

    def _health_check_finished(self, event: messages.HealthCheckFinished) -> None:
        endpoint = self.endpoints.get(event.endpoint)
        if endpoint is None:
            return
        group = self.groups[endpoint.group_id]
        self.health_checks.finished(endpoint)
        self.reports.record(endpoint, event.report)
        self.outlier_detection.health_check_finished(endpoint, event)
        if group.waiting:
            self.wait_queue.place_waiting(group)
        if group.ejected and group.last_request is not None:
            self.trials.start_due(group, group.last_request)

    def _check_periodically(self) -> None:
        self.state.timer_at = NEVER
        self.endpoint_list.watch_if_due()
        for endpoint in list(self.state.endpoints_in_use.values()):
            if endpoint.ejection_reason is None:
                self.silence_detection.check(endpoint)
        for group in self.groups.values():
            if group.waiting:
                self.primary_discovery.check_roles(group)
                self.wait_queue.place_waiting(group)

    def _end_period(self) -> None:
        self.next_period_at = self.state.now + COMPARISON_PERIOD_S
        self.idle_connections.end_period()
        for group in self.groups.values():
            compare_sides(group)
            self.freshness.drop_sessions(group)
        self.endpoint_list.remove_gone()
