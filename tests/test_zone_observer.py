"""What an instance takes from its router: which endpoints of a zone are unreachable."""

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
    """Three endpoints of zone c, all ejected for silence; endpoint 3 has a half-open trial under way."""
    clock = FakeClock(Clock())
    engine = Engine(Router(SETTINGS, 1), StubEndpoints(), clock)
    entries = tuple(api.EndpointEntry(n, 0, api.EndpointState.UP, "c", n == 1) for n in (1, 2, 3))
    engine.list_changed(api.EndpointListUpdate(entries, complete=True))
    for endpoint in engine.router.endpoints.values():
        endpoint.ejection_reason = EjectionReason.SILENT
    engine.router.endpoints[3].trial = SimpleNamespace()
    return ZoneObserver(engine, clock)


# Guards against: half-open trials of a dead zone's endpoints make it look answered to its instances.
def test_an_endpoint_under_trial_is_unreachable_until_it_answers(observer):
    (row,) = observer.rows(0.0, [])
    assert (row.zone, row.endpoints, row.unreachable) == ("c", 3, 3)


def test_in_a_partly_used_zone_a_trial_has_the_benefit_of_the_doubt(observer):
    observer.observations.attempt_sent(0.0, 3, "c")
    (row,) = observer.rows(0.0, ["c"])
    assert (row.endpoints, row.unreachable) == (1, 0)
