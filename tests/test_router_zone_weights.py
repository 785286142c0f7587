"""Zone weights in the router: a weight diverts optional reads, and never overrides a rule."""

from __future__ import annotations

import pytest

from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult
from tests.support.router_harness import Rig, entry, route_request, sends

ENDPOINTS = (
    entry(1, primary=True, zone="a"),
    entry(2, zone="a"),
    entry(3, zone="b"),
    entry(4, zone="b"),
)


def make_rig(**weights: float) -> Rig:
    rig = Rig(endpoints=ENDPOINTS)
    for endpoint in (1, 2, 3, 4):
        rig.report(endpoint, 0.0, primary=endpoint == 1)
    if weights:
        rig.feed(api.ZoneWeights(tuple(sorted(weights.items()))))
    return rig


def send_requests(rig: Rig, name: str, count: int = 300, **fields) -> dict[int, int]:
    """Send requests of a class one after the other; return the number of attempts per endpoint."""
    counts: dict[int, int] = {}
    for _ in range(count):
        for endpoint in (1, 2, 3, 4):
            rig.report(endpoint, 0.0, primary=endpoint == 1)
        request, endpoints = route_request(rig, name, **fields)
        for attempt, endpoint in enumerate(endpoints):
            counts[endpoint] = counts.get(endpoint, 0) + 1
            rig.finish(request, attempt, endpoint, AttemptResult.OK, position=rig.now)
    return counts


def test_full_weights_give_the_same_actions_as_no_weights():
    plain, weighted = make_rig(), make_rig(a=1.0, b=1.0)
    for rig in (plain, weighted):
        for name in ("bounded", "any", "session", "fresh", "write"):
            send_requests(rig, name, 20)
    assert plain.log == weighted.log and len(plain.log) > 100


@pytest.mark.parametrize("name", ["bounded", "any", "session"])
def test_no_read_goes_to_a_zone_with_weight_zero(name):
    counts = send_requests(make_rig(b=0.0), name, session="s", session_age=5.0)
    assert not {3, 4} & counts.keys() and sum(counts.values()) >= 300


@pytest.mark.parametrize("name", ["write", "fresh"])
def test_writes_and_fresh_reads_go_to_the_primary_whatever_its_zone_weight(name):
    assert set(send_requests(make_rig(a=0.0), name, 50)) == {1}


def test_session_read_may_go_to_a_primary_in_a_zone_with_weight_zero():
    rig = make_rig(a=0.0, b=0.0)
    rig.feed(api.EndpointListUpdate(ENDPOINTS[:1], complete=True))
    assert set(send_requests(rig, "session", 20, session="s", session_age=0.1)) <= {1}


def test_zone_weight_is_the_share_of_requests_that_may_go_to_the_zone():
    rig = make_rig(b=0.3)
    counts = send_requests(rig, "any", 600)
    in_zone_b = counts.get(3, 0) + counts.get(4, 0)
    assert 0.05 < in_zone_b / sum(counts.values()) < 0.35


def test_weight_reinstates_no_ejected_endpoint_and_weight_zero_allows_no_trial():
    rig = make_rig()
    for _ in range(120):
        request, endpoints = route_request(rig, "any")
        for attempt, endpoint in enumerate(endpoints):
            if endpoint in (3, 4):
                rig.finish(request, attempt, endpoint, AttemptResult.RESET)
            else:
                rig.finish(request, attempt, endpoint, AttemptResult.OK, position=rig.now)
    rig.run(1.0)
    ejected = {e.id for e in rig.router.endpoints.values() if e.ejection_reason}
    assert ejected == {3, 4}
    rig.feed(api.ZoneWeights((("b", 0.0),)))
    log_start = len(rig.log)
    for _ in range(100):
        request, endpoints = route_request(rig, "any")
        for attempt, endpoint in enumerate(endpoints):
            rig.finish(request, attempt, endpoint, AttemptResult.OK, position=rig.now)
        rig.run(0.05)
    later = rig.log[log_start:]
    assert not {3, 4} & set(sends(later))
    assert not [a for a in later if isinstance(a, api.CheckHealth) and a.endpoint in (3, 4)]
    rig.feed(api.ZoneWeights((("b", 0.5),)))  # the zone gets traffic again: trials may start at once
    assert all(rig.router.endpoints[e].ejected_until <= rig.now for e in (3, 4))
    assert {e.id for e in rig.router.endpoints.values() if e.ejection_reason} == {3, 4}
