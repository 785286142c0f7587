"""Admission by latency objective: tenants under their quota against water-filling, in virtual time."""

from __future__ import annotations

import random

import pytest

from sedgepitch.decisions.admission.controller import AdmissionController
from sedgepitch.decisions.admission.messages import Admit, Reject
from sedgepitch.decisions.admission.settings import AdmissionSettings
from tests.test_admission import Fleet, arrival

LATENCY_OBJECTIVE_S = 0.2


class Timed(Fleet):
    """A fleet that notes when each request came and was answered, and whose endpoints may slow down."""

    def __init__(self, admission: AdmissionController, servers: int, rng: random.Random) -> None:
        super().__init__(admission, servers, rng)
        self.came: dict[int, float] = {}
        self.took: dict[int, float] = {}

    def ask(self, when: float, request, cost: float) -> None:
        super().ask(when, request, cost)
        self.came[request.id] = when

    def run(self, until: float) -> None:
        ended = self.admission.ended

        def noted(number, now, served, received_at=0.0):
            self.took[number] = now - self.came[number]
            return ended(number, now, served, received_at)

        self.admission.ended = noted
        super().run(until)


def play(rates, cost=lambda now: 0.01, seconds=20.0, servers=5, seed=1, **changes) -> Timed:
    """`rates` gives each tenant's rate by the present time; `cost` the members' time for a request then."""
    rng = random.Random(seed)
    fleet = Timed(AdmissionController(AdmissionSettings(**changes), seed, 0.0), servers, rng)
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
            fleet.ask(when, request, cost(when) * rng.uniform(0.8, 1.2))
    fleet.run(seconds + 1.0)
    return fleet


def in_time(fleet: Timed, tenant: str, since: float = 2.0) -> float:
    """Share of a tenant's requests, asked from then on, that were answered within the objective."""
    asked = [n for n, t in fleet.tenant.items() if t == tenant and fleet.came[n] >= since]
    return sum(fleet.took.get(n, 9.0) <= LATENCY_OBJECTIVE_S for n in asked) / len(asked)


def of_served(fleet: Timed, since: float = 2.0) -> float:
    """Share of what was served, from then on, that was served within the objective."""
    took = [took for n, took in fleet.took.items() if fleet.came[n] >= since]
    return sum(t <= LATENCY_OBJECTIVE_S for t in took) / len(took)


def water_level(rates: dict[str, float], capacity: float) -> float:
    """The fluid reference: each gets what it asks, or the level at which the capacity is used up."""
    left, asks = capacity, sorted(rates.values())
    for count, ask in enumerate(asks):
        level = left / (len(asks) - count)
        if ask > level:
            return level
        left -= ask
    return max(asks)


@pytest.mark.parametrize("seed", [1, 2])
def test_tenants_under_the_water_level_are_served_in_time_and_little_is_served_late(seed):
    rates = {"public": 1600.0, "a": 120.0, "b": 120.0, "c": 40.0}
    fleet = play({t: lambda now, r=r: r for t, r in rates.items()}, seed=seed)
    level = water_level(rates, 500.0)
    assert level == pytest.approx(220.0)
    for tenant in ("a", "b", "c"):
        assert in_time(fleet, tenant) > 0.95, tenant
    assert of_served(fleet) > 0.9
    served = sum(fleet.tenant[n] == "public" for n in fleet.took if fleet.came[n] >= 2.0) / 18.0
    assert served > 0.9 * level


def test_a_tenant_that_alternates_between_idle_and_burst_gets_no_more_than_its_quota():
    fleet = play({"public": lambda now: 1600.0, "waves": lambda now: 900.0 if now % 2 < 0.5 else 0.0})
    served = {
        t: sum(fleet.tenant[n] == t for n in fleet.took if fleet.came[n] >= 2.0) for t in ("public", "waves")
    }
    # A quarter of the time half of the capacity, and what was held when the burst ended.
    assert served["waves"] < 1.35 * 0.25 * 250.0 * 18.0
    assert served["waves"] > 0.6 * 0.25 * 250.0 * 18.0
    assert of_served(fleet) > 0.85


def test_endpoints_that_slow_down_to_a_half_leave_the_small_tenant_its_time():
    fleet = play(
        {"public": lambda now: 1600.0, "small": lambda now: 50.0},
        cost=lambda now: 0.01 if now < 8.0 else 0.02,
        seconds=24.0,
    )
    assert in_time(fleet, "small", since=12.0) > 0.9
    assert of_served(fleet, since=12.0) > 0.85
    served = sum(fleet.came[n] >= 12.0 for n in fleet.took) / 12.0
    assert served > 0.8 * 250.0, "the members' new capacity is used"


def test_a_thousand_tenants_under_their_quota_beside_one_far_above_it():
    rates = {f"t{n}": (lambda now: 0.3) for n in range(1000)} | {"public": lambda now: 2000.0}
    fleet = play(rates, seconds=12.0)
    small = [n for n, t in fleet.tenant.items() if t != "public" and fleet.came[n] >= 2.0]
    assert sum(fleet.took.get(n, 9.0) <= LATENCY_OBJECTIVE_S for n in small) / len(small) > 0.95
    assert of_served(fleet) > 0.9


def test_work_that_would_be_late_is_rejected_early():
    fleet = play({"public": lambda now: 1600.0})
    refused = [n for n, v in fleet.decisions.items() if isinstance(v[-1], Reject)]
    assert refused
    assert not any(isinstance(fleet.decisions[n][0], Admit) for n in refused)
    assert of_served(fleet) > 0.9


def test_a_write_with_a_late_priority_weight_may_be_queued_beyond_its_latency_objective():
    admission = AdmissionController(AdmissionSettings(), 1, 0.0)
    patient = admission._max_queueing_delay(arrival(1, time_left=2.0, latency_objective=0.0))
    impatient = admission._max_queueing_delay(
        arrival(2, time_left=2.0, latency_objective=LATENCY_OBJECTIVE_S)
    )
    assert patient == pytest.approx(0.8)
    assert impatient < LATENCY_OBJECTIVE_S


def test_the_process_limit_leaves_each_pool_its_part():
    admission = AdmissionController(AdmissionSettings(), 1, 0.0)
    admission.process_limit = 8.0
    reads = [
        admission.arrive(arrival(n, "public", latency_objective=LATENCY_OBJECTIVE_S), 0.0) for n in range(40)
    ]
    assert sum(isinstance(d[0], Admit) for d in reads if d) == 8
    assert isinstance(admission.arrive(arrival(100, "stations", primary_only=True), 0.0)[0], Admit)
    assert isinstance(admission.arrive(arrival(101, "stations", primary_only=True), 0.0)[0], Admit)
