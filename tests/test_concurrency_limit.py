"""Unit tests of the concurrency limits and of the primary's share of reads."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sedgepitch.routing.concurrency_limit import LIMIT_MIN, ConcurrencyLimits
from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.messages import AttemptResult
from sedgepitch.routing.records import InFlightAttempt
from tests.support.router_harness import CLASSES, SETTINGS, make_endpoint, make_request, make_state

ANY = next(c for c in CLASSES if c.name == "any")


def make_limits(instances: int = 1) -> ConcurrencyLimits:
    """Return the concurrency limits of an empty router state."""
    state = make_state(replace(SETTINGS, proxy_instances=instances))
    return ConcurrencyLimits(state, LatencyEstimates(state))


@pytest.mark.parametrize(
    ("instances", "limit", "share"),
    [(1, 48.0, 1.0), (24, 2.0, 1.0), (48, 1.0 / 0.7, 0.5), (4000, 1.0 / 0.7, 0.1)],
)
def test_initial_limits_are_divided_among_proxy_instances(instances, limit, share):
    limits = make_limits(instances)
    assert limits.initial_limit == limit
    assert limits.initial_primary_read_share == pytest.approx(share)


@pytest.mark.parametrize(
    ("result", "elapsed", "mean_ratio", "after"),
    [
        (AttemptResult.OK, 0.1, 0.5, 10.25),
        (AttemptResult.OK, 0.17, 0.5, 7.5),
        (AttemptResult.OK, 0.17, 0.2, 10.0),  # low mean ratio: only this request was expensive
        (AttemptResult.OVERLOADED, 0.001, 0.0, 7.5),
        (AttemptResult.TIMEOUT, 0.2, 0.5, 7.5),
    ],
)
def test_limit_decreases_by_a_factor_on_overload_and_grows_with_responses_in_time(
    result, elapsed, mean_ratio, after
):
    limits = make_limits()
    endpoint = make_endpoint(limits.state, concurrency_limit=10.0)
    for number in range(9):
        request = make_request(limits.state, number=number)
        endpoint.in_flight[number, 0] = InFlightAttempt(limits.state.now, request, 4)
    limits.observe(endpoint, ANY, result, elapsed, mean_ratio)
    assert endpoint.concurrency_limit == after
    if after == 7.5:
        limits.observe(endpoint, ANY, result, elapsed, mean_ratio)
        assert endpoint.concurrency_limit == after, "at most one decrease per service time"


def test_limit_does_not_fall_below_its_minimum_or_grow_while_unused():
    limits = make_limits()
    endpoint = make_endpoint(limits.state, concurrency_limit=10.0)
    limits.observe(endpoint, ANY, AttemptResult.OK, 0.01, 0.0)
    assert endpoint.concurrency_limit == 10.0
    for _ in range(50):
        limits.state.now += 1.0
        limits.observe(endpoint, ANY, AttemptResult.OVERLOADED, 0.01, 0.0)
    assert endpoint.concurrency_limit == LIMIT_MIN


def test_class_with_the_lowest_priority_per_unit_of_work_gets_the_smallest_limit_share():
    limits = make_limits()
    shares = {c.name: limits.limit_share(c) for c in CLASSES}
    assert shares["write"] == 1.0
    assert shares["any"] == pytest.approx(0.7 + 0.3 / 6.0)


def test_optional_reads_take_no_headroom_from_primary_only_requests():
    limits = make_limits()
    endpoint = make_endpoint(limits.state, concurrency_limit=2.0)
    for number in range(2):
        request = make_request(limits.state, number=number)
        endpoint.in_flight[number, 0] = InFlightAttempt(limits.state.now, request, 4)
    assert not limits.has_headroom(endpoint, make_request(limits.state, "any", 3), 1.0)
    assert limits.has_headroom(endpoint, make_request(limits.state, "write", 3), 1.0)
