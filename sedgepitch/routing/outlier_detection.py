"""Which endpoints are ejected, why and for how long, and what brings them back.

An ejected endpoint gets no traffic for its ejection time, which doubles with each failed trial. Then it is
half-open: one attempt at a time tries it. An unreachable one has to pass a health check first.
"""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.health_checks import HealthChecks
from sedgepitch.routing.messages import AttemptResult, Freshness, HealthCheckFinished
from sedgepitch.routing.records import AttemptKey, EjectionReason, Endpoint, RoutedRequest
from sedgepitch.routing.slow_start import SlowStart
from sedgepitch.routing.state import RouterState

EJECTION_TIME_MIN_S = 0.5
EJECTION_TIME_MAX_S = 4.0
JITTER_MIN, JITTER_RANGE = 0.75, 0.5  # factor of the ejection time: never all proxy instances at one moment
CONNECTION_FAILURES_MAX = 3  # in a row, with no answer between, which show that an endpoint is unreachable
ERROR_WEIGHT = 0.15  # weight of one more attributed error in the error rate
ERROR_RATE_MAX = 0.35  # error rate above which an endpoint is ejected
SUCCESSES_TO_RETURN = 3  # in a row, by trials, after errors
RUNNING_WINDOW_S = 0.5  # an endpoint that answered within this time runs, though it takes no connection

NOT_RUNNING = (AttemptResult.CONNECT_FAILED, AttemptResult.RESET)
"""What a process that does not run answers with."""


@dataclass(slots=True, eq=False)
class OutlierDetection:
    """Ejects endpoints and takes them back."""

    state: RouterState
    health_checks: HealthChecks
    slow_start: SlowStart

    def eject(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        """Keep traffic away for the ejection time; a further ejection without a return doubles it."""
        again = endpoint.ejection_reason is not None
        doubled = min(endpoint.ejection_time * 2.0, EJECTION_TIME_MAX_S)
        endpoint.ejection_time = doubled if again else EJECTION_TIME_MIN_S
        endpoint.failed_health_check = endpoint.failed_health_check and again
        endpoint.ejection_reason = reason
        endpoint.trial = None
        endpoint.consecutive_successes = 0
        jitter = JITTER_MIN + JITTER_RANGE * self.state.random.random()
        endpoint.ejected_until = self.state.now + endpoint.ejection_time * jitter
        self.state.groups[endpoint.group_id].ejected[endpoint.id] = endpoint

    def trial_is_due(self, endpoint: Endpoint) -> bool:
        """Return whether an ejected endpoint may be tried by a request.

        An unreachable one is checked first; after the longest ejection time it is tried all the same, as its
        health checks may be what fails.
        """
        if endpoint.trial is not None or self.state.now < endpoint.ejected_until:
            return False
        unreachable = endpoint.ejection_reason is EjectionReason.UNREACHABLE
        checked_first = self.state.settings.health_checks and endpoint.ejection_time < EJECTION_TIME_MAX_S
        return not (unreachable and checked_first)

    def trial_started(self, endpoint: Endpoint, key: AttemptKey) -> None:
        """An attempt tries the ejected endpoint; no other one does within its ejection time."""
        endpoint.trial = key
        endpoint.ejected_until = self.state.now + endpoint.ejection_time

    def zone_returned(self, endpoint: Endpoint) -> None:
        """The endpoint's zone has traffic again: it may be tried at once."""
        endpoint.ejection_time = EJECTION_TIME_MIN_S
        endpoint.ejected_until = self.state.now

    def restarted(self, endpoint: Endpoint) -> None:
        """The list says that the process has started anew: an unreachable one is tried soon."""
        if endpoint.ejection_reason is EjectionReason.UNREACHABLE:
            endpoint.ejected_until = self.state.now + EJECTION_TIME_MIN_S * self.state.random.random()

    def forgotten(self, endpoint: Endpoint) -> None:
        """The endpoint is long gone."""
        self.state.groups[endpoint.group_id].ejected.pop(endpoint.id, None)

    # What attempts show

    def answered(self, endpoint: Endpoint) -> None:
        """Any answer shows that the endpoint takes connections."""
        endpoint.connection_failures = 0

    def answered_with_error(self, endpoint: Endpoint, request: RoutedRequest) -> None:
        """Note an error that may be the endpoint's own; one to a write is not judged."""
        if request.request_class.freshness is not Freshness.WRITE:
            request.errors.append(endpoint)

    def answered_well(self, endpoint: Endpoint, key: AttemptKey, weight: float) -> None:
        """Take an answer that is no error, with its weight in the error rate.

        Any such answer ends silence; after errors several trials in a row have to succeed.
        """
        endpoint.error_rate *= 1.0 - weight
        if endpoint.ejection_reason is None:
            return
        failing = endpoint.ejection_reason is EjectionReason.FAILING
        if failing and endpoint.trial == key:
            endpoint.consecutive_successes += 1
        if not failing or endpoint.consecutive_successes >= SUCCESSES_TO_RETURN:
            self._take_back(endpoint)

    def _take_back(self, endpoint: Endpoint) -> None:
        endpoint.ejection_reason = None
        endpoint.error_rate = 0.0
        endpoint.trial = None
        endpoint.ejection_time = EJECTION_TIME_MIN_S
        del self.state.groups[endpoint.group_id].ejected[endpoint.id]

    def attribute_errors(self, request: RoutedRequest) -> None:
        """Count a request's errors against their endpoints once another endpoint has served it.

        An error that every endpoint answers with is the request's own.
        """
        while request.served and request.errors:
            endpoint = request.errors.pop()
            endpoint.error_rate += ERROR_WEIGHT * (1.0 - endpoint.error_rate)
            ejected_for = endpoint.ejection_reason
            too_many = ejected_for is None and endpoint.error_rate > ERROR_RATE_MAX
            if too_many or ejected_for is EjectionReason.FAILING:
                self.eject(endpoint, EjectionReason.FAILING)

    def process_runs(self, endpoint: Endpoint) -> bool:
        """Return whether a failure to connect is no sign of a dead process: it holds requests and answers."""
        return bool(endpoint.in_flight) and self.state.now - endpoint.last_answer_at < RUNNING_WINDOW_S

    def connection_failed(self, endpoint: Endpoint, key: AttemptKey, result: AttemptResult) -> None:
        """A connection broke or did not come about: eject after a trial, count it for a healthy endpoint."""
        if endpoint.trial == key:
            self.eject(endpoint, EjectionReason.UNREACHABLE)
        elif endpoint.ejection_reason is None:
            self._count_connection_failure(endpoint, result)

    def _count_connection_failure(self, endpoint: Endpoint, result: AttemptResult) -> None:
        # One connection's end is not the endpoint's: check it, and see whether the next ones break as well.
        endpoint.connection_failures = endpoint.connection_failures + 1 if result in NOT_RUNNING else 0
        if endpoint.connection_failures >= CONNECTION_FAILURES_MAX:
            self.eject(endpoint, EjectionReason.UNREACHABLE)
        elif endpoint.connection_failures:
            self.health_checks.check(endpoint)

    def timed_out(self, endpoint: Endpoint, key: AttemptKey) -> None:
        """An attempt ended unanswered: that fails a trial."""
        if endpoint.trial == key:
            self.eject(endpoint, EjectionReason.SILENT)

    def trial_ended(self, endpoint: Endpoint, key: AttemptKey) -> None:
        """An attempt has ended: if it was the endpoint's trial, another one may start."""
        if endpoint.trial == key:
            endpoint.trial = None

    # What health checks show

    def health_check_finished(self, endpoint: Endpoint, event: HealthCheckFinished) -> None:
        """Judge the endpoint by a health check. One that passes shows only that a process runs."""
        reason = endpoint.ejection_reason
        if reason is EjectionReason.UNREACHABLE:
            self._unreachable_checked(endpoint, event.result is AttemptResult.OK)
        elif reason is not None:
            return
        elif endpoint.connection_failures:
            self._count_connection_failure(endpoint, event.result)
        elif event.result is AttemptResult.TIMEOUT:
            asked_at = self.state.now - event.elapsed
            # Else reads that need its position would wait for such an endpoint again and again.
            if self.state.last_answer_at > asked_at > endpoint.last_answer_at:
                self.eject(endpoint, EjectionReason.SILENT)

    def _unreachable_checked(self, endpoint: Endpoint, passed: bool) -> None:
        if not passed:
            self.eject(endpoint, EjectionReason.UNREACHABLE)
            endpoint.failed_health_check = True
            return
        if endpoint.failed_health_check:  # it did not run, so it has restarted
            self.slow_start.started(endpoint, max(endpoint.warming_since, self.state.now))
        endpoint.ejection_reason = EjectionReason.SILENT
        endpoint.ejected_until = self.state.now
