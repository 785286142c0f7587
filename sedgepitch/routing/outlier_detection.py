"""Outlier detection: ejects faulty endpoints and lets them return.

An ejected endpoint gets no traffic for its ejection time, which doubles with each failed trial. It is then
half-open: one attempt at a time is sent to it as a trial. An unreachable endpoint must pass a health check
first.
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
# The ejection time is multiplied by a factor drawn from this range, so that proxy instances do not all start
# their trials at once.
JITTER_MIN, JITTER_RANGE = 0.75, 0.5
CONNECTION_FAILURES_MAX = 3  # consecutive connection failures after which an endpoint is unreachable
ERROR_WEIGHT = 0.15  # weight of an attributed error in the error rate
ERROR_RATE_MAX = 0.35  # error rate above which an endpoint is ejected
SUCCESSES_TO_RETURN = 3  # consecutive successful trials that end an ejection for errors
# A process that responded within this time is considered running, even if it refuses a connection.
RUNNING_WINDOW_S = 0.5

NOT_RUNNING = (AttemptResult.CONNECT_FAILED, AttemptResult.RESET)
"""Results that suggest that the endpoint's process is not running."""


@dataclass(slots=True, eq=False)
class OutlierDetection:
    """Ejects endpoints and reinstates them."""

    state: RouterState
    health_checks: HealthChecks
    slow_start: SlowStart

    def eject(self, endpoint: Endpoint, reason: EjectionReason) -> None:
        """Eject the endpoint for its ejection time, which doubles if the endpoint is already ejected."""
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
        """Return whether a request may be sent to the ejected endpoint as a trial.

        An unreachable endpoint needs a successful health check first. Once its ejection time has reached the
        maximum, a trial is allowed without one, because the health checks themselves may be what fails.
        """
        if endpoint.trial is not None or self.state.now < endpoint.ejected_until:
            return False
        unreachable = endpoint.ejection_reason is EjectionReason.UNREACHABLE
        checked_first = self.state.settings.health_checks and endpoint.ejection_time < EJECTION_TIME_MAX_S
        return not (unreachable and checked_first)

    def trial_started(self, endpoint: Endpoint, key: AttemptKey) -> None:
        """Record the attempt as the endpoint's trial; no other trial starts within the ejection time."""
        endpoint.trial = key
        endpoint.ejected_until = self.state.now + endpoint.ejection_time

    def zone_returned(self, endpoint: Endpoint) -> None:
        """Allow a trial at once, because the endpoint's zone has traffic again."""
        endpoint.ejection_time = EJECTION_TIME_MIN_S
        endpoint.ejected_until = self.state.now

    def restarted(self, endpoint: Endpoint) -> None:
        """Allow a trial of an unreachable endpoint soon, because the list shows a restart of its process."""
        if endpoint.ejection_reason is EjectionReason.UNREACHABLE:
            endpoint.ejected_until = self.state.now + EJECTION_TIME_MIN_S * self.state.random.random()

    def removed(self, endpoint: Endpoint) -> None:
        """Drop an endpoint that is removed from the records."""
        self.state.groups[endpoint.group_id].ejected.pop(endpoint.id, None)

    # Results of attempts

    def answered(self, endpoint: Endpoint) -> None:
        """Reset the count of connection failures: any response shows that connections work."""
        endpoint.connection_failures = 0

    def answered_with_error(self, endpoint: Endpoint, request: RoutedRequest) -> None:
        """Note an error response that may be the endpoint's fault; errors to writes are ignored."""
        if request.request_class.freshness is not Freshness.WRITE:
            request.errors.append(endpoint)

    def answered_without_error(self, endpoint: Endpoint, key: AttemptKey, weight: float) -> None:
        """Record a response that is not an error, with its weight in the error rate.

        The response ends an ejection, except one for errors, which takes several successful trials in a row.
        """
        endpoint.error_rate *= 1.0 - weight
        if endpoint.ejection_reason is None:
            return
        failing = endpoint.ejection_reason is EjectionReason.FAILING
        if failing and endpoint.trial == key:
            endpoint.consecutive_successes += 1
        if not failing or endpoint.consecutive_successes >= SUCCESSES_TO_RETURN:
            self._reinstate(endpoint)

    def _reinstate(self, endpoint: Endpoint) -> None:
        endpoint.ejection_reason = None
        endpoint.error_rate = 0.0
        endpoint.trial = None
        endpoint.ejection_time = EJECTION_TIME_MIN_S
        del self.state.groups[endpoint.group_id].ejected[endpoint.id]

    def attribute_errors(self, request: RoutedRequest) -> None:
        """Count a request's errors against their endpoints once an endpoint has served it.

        If every endpoint returns an error, the request itself is at fault.
        """
        while request.served and request.errors:
            endpoint = request.errors.pop()
            endpoint.error_rate += ERROR_WEIGHT * (1.0 - endpoint.error_rate)
            ejected_for = endpoint.ejection_reason
            too_many = ejected_for is None and endpoint.error_rate > ERROR_RATE_MAX
            if too_many or ejected_for is EjectionReason.FAILING:
                self.eject(endpoint, EjectionReason.FAILING)

    def process_is_running(self, endpoint: Endpoint) -> bool:
        """Return whether the process is running although a connect failed.

        It is if attempts are in flight at the endpoint and it has responded recently.
        """
        return bool(endpoint.in_flight) and self.state.now - endpoint.last_answer_at < RUNNING_WINDOW_S

    def connection_failed(self, endpoint: Endpoint, key: AttemptKey, result: AttemptResult) -> None:
        """Handle a failed connect or a broken connection.

        If the attempt was the trial of an ejected endpoint, the endpoint is ejected again. The failure of an
        endpoint that is not ejected is counted.
        """
        if endpoint.trial == key:
            self.eject(endpoint, EjectionReason.UNREACHABLE)
        elif endpoint.ejection_reason is None:
            self._count_connection_failure(endpoint, result)

    def _count_connection_failure(self, endpoint: Endpoint, result: AttemptResult) -> None:
        # A single failure may concern only one connection, so the endpoint is checked before it is ejected.
        endpoint.connection_failures = endpoint.connection_failures + 1 if result in NOT_RUNNING else 0
        if endpoint.connection_failures >= CONNECTION_FAILURES_MAX:
            self.eject(endpoint, EjectionReason.UNREACHABLE)
        elif endpoint.connection_failures:
            self.health_checks.check(endpoint)

    def timed_out(self, endpoint: Endpoint, key: AttemptKey) -> None:
        """Eject the endpoint again if the attempt that timed out was its trial."""
        if endpoint.trial == key:
            self.eject(endpoint, EjectionReason.SILENT)

    def trial_ended(self, endpoint: Endpoint, key: AttemptKey) -> None:
        """Allow another trial if the attempt that ended was the endpoint's trial."""
        if endpoint.trial == key:
            endpoint.trial = None

    # Results of health checks

    def health_check_finished(self, endpoint: Endpoint, event: HealthCheckFinished) -> None:
        """Update the endpoint's state after a health check.

        A successful check shows only that the process is running, so it does not end an ejection by itself.
        """
        reason = endpoint.ejection_reason
        if reason is EjectionReason.UNREACHABLE:
            self._unreachable_checked(endpoint, event.result is AttemptResult.OK)
        elif reason is not None:
            return
        elif endpoint.connection_failures:
            self._count_connection_failure(endpoint, event.result)
        elif event.result is AttemptResult.TIMEOUT:
            check_sent_at = self.state.now - event.elapsed
            # Without this ejection, reads that need the endpoint's position would wait for it repeatedly.
            if self.state.last_answer_at > check_sent_at > endpoint.last_answer_at:
                self.eject(endpoint, EjectionReason.SILENT)

    def _unreachable_checked(self, endpoint: Endpoint, passed: bool) -> None:
        if not passed:
            self.eject(endpoint, EjectionReason.UNREACHABLE)
            endpoint.failed_health_check = True
            return
        if endpoint.failed_health_check:  # the process was not running, so it has restarted since
            self.slow_start.started(endpoint, max(endpoint.warming_since, self.state.now))
        endpoint.ejection_reason = EjectionReason.SILENT
        endpoint.ejected_until = self.state.now
