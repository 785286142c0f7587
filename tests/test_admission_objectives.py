"""Admission control with latency objectives, compared with water-filling, in virtual time."""

from __future__ import annotations

import random

import pytest

from sedgepitch.decisions.admission.controller import AdmissionController
from sedgepitch.decisions.admission.messages import Admit, Reject
from sedgepitch.decisions.admission.settings import AdmissionSettings
from tests.test_admission import Fleet, arrival

LATENCY_OBJECTIVE_S = 0.2


class TimedFleet(Fleet):
    """A fleet that records the arrival time and latency of each request."""

    def __init__(self, admission: AdmissionController, servers: int, rng: random.Random) -> None:
        super().__init__(admission, servers, rng)
        self.arrived_at: dict[int, float] = {}
        self.latency: dict[int, float] = {}

    def submit(self, when: float, request, cost: float) -> None:
        super().submit(when, request, cost)
        self.arrived_at[request.id] = when

    def run(self, until: float) -> None:
        ended = self.admission.ended

        def record_and_end(number, now, served, received_at=0.0):
            self.latency[number] = now - self.arrived_at[number]
            return ended(number, now, served, received_at)

        self.admission.ended = record_and_end
        super().run(until)


def play(rates, cost=lambda now: 0.01, seconds=20.0, servers=5, seed=1, **changes) -> TimedFleet:
    """Run tenants; `rates` gives each one's rate by time, `cost` the service time of a request by time."""
    rng = random.Random(seed)
    fleet = TimedFleet(AdmissionController(AdmissionSettings(**changes), seed, 0.0), servers, rng)
    number = 0
    for tenant, rate in rates.items():
        when = 0.0
        while when < seconds:
            if not rate(when):
                when += 0.01
                continue
            when += rng.expovariate(rate(when))
            if when >= seconds:
                break
            number += 1
            request = arrival(
                number,
                tenant,
                client=f"{tenant}-{number % 5}",
                time_left=0.8,
                latency_objective=LATENCY_OBJECTIVE_S,
            )
            fleet.submit(when, request, cost(when) * rng.uniform(0.8, 1.2))
    fleet.run(seconds + 1.0)
    return fleet


def share_in_time(fleet: TimedFleet, tenant: str, since: float = 2.0) -> float:
    """Return the share of a tenant's requests from `since` on that were answered within the objective."""
    requests = [n for n, t in fleet.tenant.items() if t == tenant and fleet.arrived_at[n] >= since]
    return sum(fleet.latency.get(n, 9.0) <= LATENCY_OBJECTIVE_S for n in requests) / len(requests)


def share_of_served_in_time(fleet: TimedFleet, since: float = 2.0) -> float:
    """Return the share of the answers to requests from `since` on that met the objective."""
    latencies = [latency for n, latency in fleet.latency.items() if fleet.arrived_at[n] >= since]
    return sum(t <= LATENCY_OBJECTIVE_S for t in latencies) / len(latencies)


def water_level(rates: dict[str, float], capacity: float) -> float:
    """Return the level at which the capacity is used up if each tenant gets its demand or the level."""
    remaining, demands = capacity, sorted(rates.values())
    for count, demand in enumerate(demands):
        level = remaining / (len(demands) - count)
        if demand > level:
            return level
        remaining -= demand
    return max(demands)


@pytest.mark.parametrize("seed", [1, 2])
def test_tenants_below_the_water_level_are_served_in_time_and_few_answers_are_late(seed):
    rates = {"public": 1600.0, "a": 120.0, "b": 120.0, "c": 40.0}
    fleet = play({t: lambda now, r=r: r for t, r in rates.items()}, seed=seed)
    level = water_level(rates, 500.0)
    assert level == pytest.approx(220.0)
    for tenant in ("a", "b", "c"):
        assert share_in_time(fleet, tenant) > 0.95, tenant
    assert share_of_served_in_time(fleet) > 0.9
    served = sum(fleet.tenant[n] == "public" for n in fleet.latency if fleet.arrived_at[n] >= 2.0) / 18.0
    assert served > 0.9 * level


def test_a_tenant_that_alternates_between_idle_and_burst_gets_no_more_than_its_quota():
    fleet = play({"public": lambda now: 1600.0, "waves": lambda now: 900.0 if now % 2 < 0.5 else 0.0})
    served = {
        t: sum(fleet.tenant[n] == t for n in fleet.latency if fleet.arrived_at[n] >= 2.0)
        for t in ("public", "waves")
    }
    # Half of the capacity for a quarter of the time, plus the requests queued at the end of a burst.
    assert served["waves"] < 1.35 * 0.25 * 250.0 * 18.0
    assert served["waves"] > 0.6 * 0.25 * 250.0 * 18.0
    assert share_of_served_in_time(fleet) > 0.85


def test_a_small_tenant_is_served_in_time_when_endpoints_slow_down_to_half_speed():
    fleet = play(
        {"public": lambda now: 1600.0, "small": lambda now: 50.0},
        cost=lambda now: 0.01 if now < 8.0 else 0.02,
        seconds=24.0,
    )
    assert share_in_time(fleet, "small", since=12.0) > 0.9
    assert share_of_served_in_time(fleet, since=12.0) > 0.85
    served = sum(fleet.arrived_at[n] >= 12.0 for n in fleet.latency) / 12.0
    assert served > 0.8 * 250.0, "the endpoints' new capacity is used"


def test_a_thousand_tenants_below_their_quota_are_served_in_time_beside_one_far_above_it():
    rates = {f"t{n}": (lambda now: 0.3) for n in range(1000)} | {"public": lambda now: 2000.0}
    fleet = play(rates, seconds=12.0)
    small = [n for n, t in fleet.tenant.items() if t != "public" and fleet.arrived_at[n] >= 2.0]
    assert sum(fleet.latency.get(n, 9.0) <= LATENCY_OBJECTIVE_S for n in small) / len(small) > 0.95
    assert share_of_served_in_time(fleet) > 0.9


def test_requests_that_would_be_late_are_rejected_before_admission():
    fleet = play({"public": lambda now: 1600.0})
    rejected = [n for n, v in fleet.decisions.items() if isinstance(v[-1], Reject)]
    assert rejected
    assert not any(isinstance(fleet.decisions[n][0], Admit) for n in rejected)
    assert share_of_served_in_time(fleet) > 0.9


def test_only_a_request_with_a_latency_objective_has_its_queueing_delay_bounded_by_it():
    admission = AdmissionController(AdmissionSettings(), 1, 0.0)
    without_objective = admission._max_queueing_delay(arrival(1, time_left=2.0, latency_objective=0.0))
    with_objective = admission._max_queueing_delay(
        arrival(2, time_left=2.0, latency_objective=LATENCY_OBJECTIVE_S)
    )
    assert without_objective == pytest.approx(0.8)
    assert with_objective < LATENCY_OBJECTIVE_S


def test_the_process_limit_guarantees_each_pool_an_even_part():
    admission = AdmissionController(AdmissionSettings(), 1, 0.0)
    admission.process_limit = 8.0
    reads = [
        admission.arrive(arrival(n, "public", latency_objective=LATENCY_OBJECTIVE_S), 0.0) for n in range(40)
    ]
    assert sum(isinstance(d[0], Admit) for d in reads if d) == 8
    assert isinstance(admission.arrive(arrival(100, "stations", primary_only=True), 0.0)[0], Admit)
    assert isinstance(admission.arrive(arrival(101, "stations", primary_only=True), 0.0)[0], Admit)
