"""Zone weights in the router: a weight takes reads away, never anything that a rule asks for."""

from __future__ import annotations

import pytest

from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult
from tests.support.router_harness import Rig, entry, placed, sends

ENDPOINTS = (
    entry(1, primary=True, zone="a"),
    entry(2, zone="a"),
    entry(3, zone="b"),
    entry(4, zone="b"),
)


def rig(**weights: float) -> Rig:
    held = Rig(endpoints=ENDPOINTS)
    for endpoint in (1, 2, 3, 4):
        held.report(endpoint, 0.0, primary=endpoint == 1)
    if weights:
        held.feed(api.ZoneWeights(tuple(sorted(weights.items()))))
    return held


def read(held: Rig, name: str, count: int = 300, **fields) -> dict[int, int]:
    """Who was sent how many of these, each answered before the next."""
    got: dict[int, int] = {}
    for _ in range(count):
        for endpoint in (1, 2, 3, 4):
            held.report(endpoint, 0.0, primary=endpoint == 1)
        request, endpoints = placed(held, name, **fields)
        for attempt, endpoint in enumerate(endpoints):
            got[endpoint] = got.get(endpoint, 0) + 1
            held.finish(request, attempt, endpoint, AttemptResult.OK, position=held.now)
    return got


def test_without_the_event_or_with_full_weights_actions_are_the_same():
    plain, weighted = rig(), rig(a=1.0, b=1.0)
    for held in (plain, weighted):
        for name in ("bounded", "any", "session", "fresh", "write"):
            read(held, name, 20)
    assert plain.log == weighted.log and len(plain.log) > 100


@pytest.mark.parametrize("name", ["bounded", "any", "session"])
def test_no_read_goes_to_a_zone_that_is_left(name):
    got = read(rig(b=0.0), name, session="s", session_age=5.0)
    assert not {3, 4} & got.keys() and sum(got.values()) >= 300


@pytest.mark.parametrize("name", ["write", "fresh"])
def test_writes_and_fresh_reads_follow_the_primary_wherever_it_is(name):
    assert set(read(rig(a=0.0), name, 50)) == {1}


def test_a_session_read_may_go_to_a_primary_in_a_zone_that_is_left():
    held = rig(a=0.0, b=0.0)
    held.feed(api.EndpointListUpdate(ENDPOINTS[:1], complete=True))
    assert set(read(held, "session", 20, session="s", session_age=0.1)) <= {1}


def test_a_zone_s_weight_is_the_share_of_requests_that_may_go_there():
    held = rig(b=0.3)
    got = read(held, "any", 600)
    there = got.get(3, 0) + got.get(4, 0)
    assert 0.05 < there / sum(got.values()) < 0.35


def test_a_weight_takes_no_ejected_endpoint_back_and_no_trial_goes_to_a_zone_that_is_left():
    held = rig()
    for _ in range(120):
        request, endpoints = placed(held, "any")
        for at, endpoint in enumerate(endpoints):
            if endpoint in (3, 4):
                held.finish(request, at, endpoint, AttemptResult.RESET)
            else:
                held.finish(request, at, endpoint, AttemptResult.OK, position=held.now)
    held.run(1.0)
    ejected = {m.id for m in held.router.endpoints.values() if m.ejection_reason}
    assert ejected == {3, 4}
    held.feed(api.ZoneWeights((("b", 0.0),)))
    mark = len(held.log)
    for _ in range(100):
        request, endpoints = placed(held, "any")
        for at, endpoint in enumerate(endpoints):
            held.finish(request, at, endpoint, AttemptResult.OK, position=held.now)
        held.run(0.05)
    later = held.log[mark:]
    assert not {3, 4} & set(sends(later))
    assert not [a for a in later if isinstance(a, api.CheckHealth) and a.endpoint in (3, 4)]
    held.feed(api.ZoneWeights((("b", 0.5),)))  # what may be used again may be tried at once
    assert all(held.router.endpoints[m].ejected_until <= held.now for m in (3, 4))
    assert {m.id for m in held.router.endpoints.values() if m.ejection_reason} == {3, 4}
