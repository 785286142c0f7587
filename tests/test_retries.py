"""Unit tests of the rules for attempts, the retry budget and final answers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sedgepitch.routing import messages as api
from sedgepitch.routing.retries import BUDGET_MAX, Retries
from sedgepitch.routing.slow_start import SlowStart
from tests.support.router_harness import SETTINGS, make_endpoint, make_request, make_state


def make_retries(settings: api.Settings = SETTINGS) -> Retries:
    """Return the retry rules of an empty router state."""
    state = make_state(settings)
    return Retries(state, SlowStart(state))


@pytest.mark.parametrize(
    ("name", "age", "other_group", "allowed"),
    [
        ("any", 50.0, True, True),
        ("write", 0.9, False, True),
        ("write", 0.9, True, False),  # only the replica group it was sent to drops repeats of its key
        ("write", 1.0, False, False),  # the deduplication window is 1 s
        ("wide", 0.9, True, True),
        ("unsafe", 0.0, False, False),
    ],
)
def test_request_that_may_have_run_is_resent_only_if_repeats_are_dropped(name, age, other_group, allowed):
    retries = make_retries()
    state = retries.state
    request = make_request(state, name)
    tried, other = make_endpoint(state, 1), make_endpoint(state, 2)
    other.group_id = 2 if other_group else 1
    assert retries.may_attempt(request, other)
    request.may_have_run.append((tried, state.now - age))
    assert retries.may_attempt(request, other) is allowed


def test_no_attempt_above_the_maximum_after_the_deadline_or_in_parallel_without_hedging():
    retries = make_retries(replace(SETTINGS, hedging=False, max_attempts=2))
    state = retries.state
    endpoint, request = make_endpoint(state), make_request(state)
    assert retries.may_attempt(request, endpoint)
    request.attempts = [endpoint]
    request.in_flight = {0: state.now}
    assert not retries.may_attempt(request, endpoint)
    request.in_flight = {}
    assert retries.may_attempt(request, endpoint)
    request.attempts = [endpoint, endpoint]
    assert not retries.may_attempt(request, endpoint)
    request.attempts = []
    state.now = request.deadline
    assert not retries.may_attempt(request, endpoint)


def test_retry_of_a_request_that_may_have_run_uses_the_budget_that_requests_fill():
    retries = make_retries()
    request = make_request(retries.state)
    request.may_have_run.append((make_endpoint(retries.state), retries.state.now))
    assert retries.should_retry(request) and not retries.should_retry(request)
    for _ in range(1000):
        retries.request_received()
    assert retries.budget == BUDGET_MAX and retries.should_retry(request)


@pytest.mark.parametrize(
    ("name", "answer"), [("any", api.Reject), ("wide", api.Reject), ("write", api.Fail), ("unsafe", api.Fail)]
)
def test_request_that_may_have_run_is_rejected_only_if_a_client_retry_is_harmless(name, answer):
    retries = make_retries()
    request = make_request(retries.state, name)
    request.may_have_run.append((make_endpoint(retries.state), retries.state.now))
    retries.answer(request)
    assert [type(action) for action in retries.state.actions] == [answer] and request.done


def test_backoff_after_overload_starts_with_the_second_rejection_and_grows():
    retries = make_retries()
    request = make_request(retries.state)
    backoffs = []
    for _ in range(4):
        retries.overloaded(request)
        backoffs.append((request.retry_at - retries.state.now) / retries.state.check_interval)
    assert backoffs == pytest.approx([0.0, 2.0, 6.0, 14.0])
