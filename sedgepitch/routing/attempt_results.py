"""Updates the endpoint's state when an attempt ends, and retries or answers the request."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.attempts import Attempts
from sedgepitch.routing.concurrency_limit import ConcurrencyLimits
from sedgepitch.routing.idle_connections import IdleConnections
from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.load_reports import LoadReports
from sedgepitch.routing.messages import NEVER_RAN, AttemptFinished, AttemptResult
from sedgepitch.routing.outlier_detection import NOT_RUNNING, OutlierDetection
from sedgepitch.routing.records import AttemptKey, Endpoint, InFlightAttempt, RoutedRequest
from sedgepitch.routing.retries import Retries
from sedgepitch.routing.side_comparison import record_latency
from sedgepitch.routing.state import RouterState
from sedgepitch.routing.wait_queue import WaitQueue

# A response's weight in the moving averages is the time since the endpoint's previous response over this
# time, within the limits below. Responses that arrive rarely therefore weigh more.
AVERAGING_TIME_S = 5.0
ANSWER_WEIGHT_MIN, ANSWER_WEIGHT_MAX = 0.1, 0.5
LATENCY_RATIO_MAX = 1.5  # cap on the latency ratio of one attempt; an overload rejection counts as the cap

ANSWERED = (
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.OVERLOADED,
    AttemptResult.NOT_ELIGIBLE,
)
"""Results that include a response from the endpoint."""

TIMED = (AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.OVERLOADED)
"""Results whose latency indicates how busy the endpoint is."""


@dataclass(slots=True, eq=False)
class AttemptResults:
    """Passes each result to the components that use it, in a fixed order."""

    state: RouterState
    attempts: Attempts
    reports: LoadReports
    outlier_detection: OutlierDetection
    limits: ConcurrencyLimits
    latencies: LatencyEstimates
    idle_connections: IdleConnections
    retries: Retries
    wait_queue: WaitQueue

    def attempt_finished(self, event: AttemptFinished) -> None:
        """Update the endpoint's state, then retry or answer the request if no other attempt is in flight."""
        endpoint = self.state.endpoints.get(event.endpoint)
        attempt = self.attempts.remove_from_endpoint(endpoint, event) if endpoint is not None else None
        if endpoint is None or attempt is None:
            return
        request, group = attempt.request, self.state.groups[endpoint.group_id]
        self._record_result(endpoint, attempt, event)
        self.attempts.remove_from_request(request, event.attempt)
        if group.waiting:
            self.wait_queue.place_waiting(group)
        if request.done or event.final:
            self.retries.close(request)
            return
        if event.result not in NEVER_RAN:
            request.may_have_run.append((endpoint, attempt.sent_at))
        if event.result is AttemptResult.OVERLOADED:
            self.retries.overloaded(request)
        if not request.in_flight:
            self._retry_or_answer(request)

    def _retry_or_answer(self, request: RoutedRequest) -> None:
        if self.retries.should_retry(request):
            self.wait_queue.place(request)
        else:
            self.retries.answer(request)

    def _record_result(self, endpoint: Endpoint, attempt: InFlightAttempt, event: AttemptFinished) -> None:
        if event.primary is not None:
            self.reports.record_role(endpoint, event.primary, self.state.now)
        self.reports.record(endpoint, event.report)
        if event.primary is False and event.position is not None:
            self.reports.record_position(endpoint, event.position)
        since_last_answer = self.state.now - endpoint.last_answer_at
        weight = min(ANSWER_WEIGHT_MAX, max(ANSWER_WEIGHT_MIN, since_last_answer / AVERAGING_TIME_S))
        key = (event.request, event.attempt)
        if event.result in ANSWERED:
            self._record_response(endpoint, attempt.request, event, weight)
        elif event.result in NOT_RUNNING:
            self._record_broken_connection(endpoint, key, event.result)
        elif event.result is AttemptResult.TIMEOUT:
            self.outlier_detection.timed_out(endpoint, key)
        self.outlier_detection.trial_ended(endpoint, key)
        if event.result in TIMED and not self.state.event_loop_blocked:
            self._update_latency_estimates(endpoint, attempt, event, weight)

    def _record_response(
        self, endpoint: Endpoint, request: RoutedRequest, event: AttemptFinished, weight: float
    ) -> None:
        now = self.state.now
        endpoint.last_answer_at = now
        self.outlier_detection.answered(endpoint)
        self.state.last_answer_at = now
        if event.result is not AttemptResult.ERROR:
            self.outlier_detection.answered_without_error(endpoint, (event.request, event.attempt), weight)
        else:
            self.outlier_detection.answered_with_error(endpoint, request)
        request.served = request.served or event.result is AttemptResult.OK
        self.outlier_detection.attribute_errors(request)

    def _record_broken_connection(self, endpoint: Endpoint, key: AttemptKey, result: AttemptResult) -> None:
        refused = result is AttemptResult.CONNECT_FAILED
        if refused and self.outlier_detection.process_is_running(endpoint):
            self.limits.connect_failed(endpoint)
        else:
            self.outlier_detection.connection_failed(endpoint, key, result)

    def _update_latency_estimates(
        self, endpoint: Endpoint, attempt: InFlightAttempt, event: AttemptFinished, weight: float
    ) -> None:
        request, result = attempt.request, event.result
        request_class = request.request_class
        if result is AttemptResult.OK:
            endpoint.answers += 1
            self.limits.answered(endpoint)
        elif result is AttemptResult.TIMEOUT and endpoint.answers >= attempt.overtaken_from:
            return  # later requests were answered, so this one was lost: the time-out is no sign of load
        ratio = min(LATENCY_RATIO_MAX, event.elapsed / request_class.latency_objective)
        if result is AttemptResult.OVERLOADED:
            ratio = LATENCY_RATIO_MAX
        mean_ratio = endpoint.latency_ratio
        self.latencies.observe_ratio(endpoint, ratio, weight)
        self.limits.observe(endpoint, request_class, result, event.elapsed, mean_ratio)
        if result is not AttemptResult.OVERLOADED:
            group = self.state.groups[endpoint.group_id]
            record_latency(group, endpoint, request, event.elapsed)
        if result is AttemptResult.OK:
            self.idle_connections.answered(endpoint)
            self.latencies.observe_answer(request_class, event)
