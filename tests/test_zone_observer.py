"""ZoneObserver: the endpoints of a zone that count as unreachable according to the router."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from sedgepitch.core.clock import FakeClock
from sedgepitch.core.engine import Engine
from sedgepitch.peers.zone_observer import ZoneObserver
from sedgepitch.routing import messages as api
from sedgepitch.routing.records import EjectionReason
from sedgepitch.routing.router import Router
from tests.support.mongodb_harness import StubEndpoints
from tests.support.router_harness import SETTINGS


@pytest.fixture
def observer() -> ZoneObserver:
    """Three endpoints of zone c, all ejected as silent; endpoint 3 has a half-open trial in progress."""
    clock = FakeClock(Clock())
    engine = Engine(Router(SETTINGS, 1), StubEndpoints(), clock)
    entries = tuple(api.EndpointEntry(n, 0, api.EndpointState.UP, "c", n == 1) for n in (1, 2, 3))
    engine.list_changed(api.EndpointListUpdate(entries, complete=True))
    for endpoint in engine.router.endpoints.values():
        endpoint.ejection_reason = EjectionReason.SILENT
    engine.router.endpoints[3].trial = SimpleNamespace()
    return ZoneObserver(engine, clock)


# Guards against: half-open trials of a dead zone's endpoints make the zone look reachable.
def test_endpoint_in_half_open_trial_is_unreachable_until_it_answers(observer):
    (row,) = observer.rows(0.0, [])
    assert (row.zone, row.endpoints, row.unreachable) == ("c", 3, 3)


def test_endpoint_in_half_open_trial_is_not_unreachable_in_a_partly_used_zone(observer):
    observer.observations.attempt_sent(0.0, 3, "c")
    (row,) = observer.rows(0.0, ["c"])
    assert (row.endpoints, row.unreachable) == (1, 0)
