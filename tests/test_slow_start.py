"""Unit tests of slow start: the warm-up ramp of endpoints and the zone weights."""

from __future__ import annotations

import pytest

from sedgepitch.routing.messages import EndpointState
from sedgepitch.routing.slow_start import SlowStart
from tests.support.router_harness import SETTINGS, make_endpoint, make_request, make_state

WINDOW_S = SETTINGS.rules.slow_start_window


@pytest.mark.parametrize(
    ("age", "share"), [(-1.0, 0.2), (0.0, 0.2), (WINDOW_S / 2, 0.6), (WINDOW_S, 1.0), (1e6, 1.0)]
)
def test_capacity_grows_linearly_from_the_initial_share(age, share):
    state = make_state()
    endpoint = make_endpoint(state, warming_since=state.now - age)
    assert SlowStart(state).capacity_share(endpoint) == pytest.approx(share)


@pytest.mark.parametrize("listed", [EndpointState.DRAINING, EndpointState.GONE])
def test_endpoint_that_is_not_up_gets_no_new_requests(listed):
    state = make_state()
    endpoint = make_endpoint(state, state=listed)
    assert not SlowStart(state).accepts(endpoint, make_request(state, "write"))


def test_warming_endpoint_accepts_its_share_of_sampling_draws():
    state = make_state()
    endpoint = make_endpoint(state, warming_since=state.now)
    slow_start = SlowStart(state)
    draws = [n / 1000 for n in range(1000)]
    accepted = [slow_start.accepts(endpoint, make_request(state, sampling_draw=draw)) for draw in draws]
    assert sum(accepted) / 1000 == pytest.approx(0.5 * SETTINGS.rules.overload_factor * 0.2, abs=0.002)


def test_set_zone_weights_returns_the_zones_that_have_traffic_again():
    slow_start = SlowStart(make_state())
    assert slow_start.set_zone_weights({"a": 0.0, "b": 0.0, "c": 0.5}) == set()
    assert slow_start.set_zone_weights({"b": 0.0}) == {"a"}
    assert slow_start.set_zone_weights({"b": 0.1}) == {"b"}


def test_zone_weight_applies_only_to_reads_that_other_endpoints_could_serve():
    state = make_state()
    primary, replica = make_endpoint(state, 1), make_endpoint(state, 2)
    state.groups[1].primary = primary
    slow_start = SlowStart(state)
    slow_start.set_zone_weights({"a": 0.0})
    accepted = {
        (name, endpoint.id)
        for name in ("any", "bounded", "session", "fresh", "write")
        for endpoint in (primary, replica)
        if slow_start.accepts(endpoint, make_request(state, name))
    }
    assert accepted == {("session", 1), ("fresh", 1), ("fresh", 2), ("write", 1), ("write", 2)}
