"""Unit tests of outlier detection: ejection, half-open trials and return of endpoints."""

from __future__ import annotations

import pytest

from sedgepitch.routing import messages as api
from sedgepitch.routing.health_checks import HealthChecks
from sedgepitch.routing.messages import AttemptResult
from sedgepitch.routing.outlier_detection import (
    CONNECTION_FAILURES_MAX,
    EJECTION_TIME_MAX_S,
    EJECTION_TIME_MIN_S,
    SUCCESSES_TO_RETURN,
    OutlierDetection,
)
from sedgepitch.routing.records import EjectionReason
from sedgepitch.routing.slow_start import SlowStart
from tests.support.router_harness import make_endpoint, make_request, make_state

KEY = (1, 0)


def make_detection() -> OutlierDetection:
    """Return the outlier detection of an empty router state."""
    state = make_state()
    return OutlierDetection(state, HealthChecks(state), SlowStart(state))


def test_ejection_time_doubles_up_to_its_maximum_and_is_reset_after_a_return():
    detection = make_detection()
    endpoint = make_endpoint(detection.state)
    times = []
    for _ in range(5):
        detection.eject(endpoint, EjectionReason.SILENT)
        times.append(endpoint.ejection_time)
        jitter = (endpoint.ejected_until - detection.state.now) / endpoint.ejection_time
        assert 0.75 <= jitter <= 1.25
    assert times == [EJECTION_TIME_MIN_S, 1.0, 2.0, EJECTION_TIME_MAX_S, EJECTION_TIME_MAX_S]
    detection.answered_without_error(endpoint, KEY, 0.1)
    assert endpoint.ejection_reason is None and not detection.state.groups[1].ejected
    detection.eject(endpoint, EjectionReason.SILENT)
    assert endpoint.ejection_time == EJECTION_TIME_MIN_S


def test_unreachable_endpoint_gets_a_trial_only_after_a_successful_health_check():
    detection = make_detection()
    endpoint = make_endpoint(detection.state)
    for _ in range(CONNECTION_FAILURES_MAX):
        assert endpoint.ejection_reason is None
        detection.connection_failed(endpoint, KEY, AttemptResult.RESET)
    assert endpoint.ejection_reason is EjectionReason.UNREACHABLE
    detection.health_check_finished(endpoint, api.HealthCheckFinished(1, AttemptResult.CONNECT_FAILED, 0.001))
    detection.state.now = endpoint.ejected_until
    assert not detection.trial_is_due(endpoint)
    detection.health_check_finished(endpoint, api.HealthCheckFinished(1, AttemptResult.OK, 0.001))
    assert detection.trial_is_due(endpoint)
    assert endpoint.warming_since == detection.state.now, "its process was not running, so it has restarted"
    detection.trial_started(endpoint, KEY)
    assert not detection.trial_is_due(endpoint)


def test_errors_are_attributed_only_if_another_endpoint_served_the_request():
    detection = make_detection()
    endpoint = make_endpoint(detection.state)
    for number in range(20):
        request = make_request(detection.state, number=number)
        detection.answered_with_error(endpoint, request)
        detection.attribute_errors(request)
    assert endpoint.error_rate == 0.0
    for number in range(20):
        request = make_request(detection.state, number=number, served=True)
        detection.answered_with_error(endpoint, request)
        detection.attribute_errors(request)
    assert endpoint.ejection_reason is EjectionReason.FAILING


def test_failing_endpoint_returns_after_consecutive_successes():
    detection = make_detection()
    endpoint = make_endpoint(detection.state)
    detection.eject(endpoint, EjectionReason.FAILING)
    for success in range(SUCCESSES_TO_RETURN):
        assert endpoint.ejection_reason is EjectionReason.FAILING, success
        detection.trial_started(endpoint, KEY)
        detection.answered_without_error(endpoint, KEY, 0.1)
        detection.trial_ended(endpoint, KEY)
    assert endpoint.ejection_reason is None


@pytest.mark.parametrize(("last_answer", "ejected"), [(100.0, True), (99.0, False)])
def test_health_check_timeout_ejects_only_while_other_endpoints_respond(last_answer, ejected):
    detection = make_detection()
    endpoint = make_endpoint(detection.state)
    detection.state.last_answer_at = last_answer
    detection.health_check_finished(endpoint, api.HealthCheckFinished(1, AttemptResult.TIMEOUT, 0.25))
    assert (endpoint.ejection_reason is EjectionReason.SILENT) is ejected
