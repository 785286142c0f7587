"""Admission control: fair shares, reservations and bounds, in virtual time and in front of the router."""

from __future__ import annotations

import heapq
import random
from dataclasses import asdict, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sedgepitch.config.models import DoorModel
from sedgepitch.core.types import ClientRequest, ResponseStatus
from sedgepitch.decisions.admission.controller import AdmissionController
from sedgepitch.decisions.admission.fair_queue import FairQueue, QueuedRequest
from sedgepitch.decisions.admission.messages import AdmissionRequest, Admit, Reject
from sedgepitch.decisions.admission.pool import MIN_ALLOWANCE
from sedgepitch.decisions.admission.reservations import GRACE_S, SLOT_S, ReservationSchedule
from sedgepitch.decisions.admission.settings import AdmissionSettings
from tests.support.mongodb_harness import MongodbProxy


def arrival(number: int, tenant: str = "a", **changes) -> AdmissionRequest:
    base = AdmissionRequest(number, tenant, "c", "map", 1.0, 1.0, 0, False, f"{tenant}/{number}")
    return replace(base, **changes)


class Fleet:
    """Servers behind admission control in virtual time: an admitted request takes a free server or waits."""

    def __init__(self, admission: AdmissionController, servers: int, rng: random.Random) -> None:
        self.admission, self.free, self.rng, self.now = admission, servers, rng, 0.0
        self.waiting: list[tuple[int, float]] = []
        self.heap: list[tuple[float, int, str, object]] = []
        self.order = 0
        self.cost: dict[int, float] = {}
        self.tenant: dict[int, str] = {}
        self.decisions: dict[int, list] = {}
        self.used: dict[str, float] = {}
        self.max_queued = 0

    def schedule(self, when: float, kind: str, item: object) -> None:
        self.order += 1
        heapq.heappush(self.heap, (when, self.order, kind, item))

    def submit(self, when: float, request: AdmissionRequest, cost: float) -> None:
        self.cost[request.id], self.tenant[request.id] = cost, request.tenant
        self.schedule(when, "arrive", request)

    def apply(self, decisions) -> None:
        for decision in decisions:
            self.decisions.setdefault(decision.id, []).append(decision)
            if isinstance(decision, Admit):
                self.waiting.append((decision.id, self.now))
        while self.free and self.waiting:
            number, _ = self.waiting.pop(0)
            self.free -= 1
            self.schedule(self.now + self.cost[number], "done", number)
            self.apply(self.admission.sent(number, self.now))

    def run(self, until: float) -> None:
        next_tick = 0.0
        while self.heap and self.heap[0][0] <= until:
            self.now, _, kind, item = heapq.heappop(self.heap)
            if self.now > next_tick:
                next_tick = self.now + 0.01
                self.apply(self.admission.tick(self.now))
            if kind == "arrive":
                self.apply(self.admission.arrive(item, self.now))
            else:
                self.free += 1
                tenant = self.tenant[item]
                self.used[tenant] = self.used.get(tenant, 0.0) + self.cost[item]
                self.apply(self.admission.ended(item, self.now, True))
            self.max_queued = max(self.max_queued, self.admission.queued)


def flood(rates: dict[str, float], cost, seconds=20.0, servers=4, seed=1, **changes) -> Fleet:
    """Run tenants that send requests at these rates; `cost` gives a request's true cost by tenant."""
    rng = random.Random(seed)
    fleet = Fleet(AdmissionController(AdmissionSettings(**changes), seed, 0.0), servers, rng)
    number = 0
    for tenant, rate in rates.items():
        when = 0.0
        while (when := when + rng.expovariate(rate)) < seconds:
            number += 1
            client = f"{tenant}-{number % 3}"
            fleet.submit(when, arrival(number, tenant, client=client), cost(tenant))
    fleet.run(seconds)
    return fleet


def shares(fleet: Fleet) -> dict[str, float]:
    total = sum(fleet.used.values())
    return {tenant: used / total for tenant, used in sorted(fleet.used.items())}


def test_a_tenant_at_ten_times_its_quota_does_not_reduce_the_shares_of_others():
    result = shares(flood({"noisy": 4000.0, "b": 400.0, "c": 400.0}, lambda t: 0.01))
    assert all(abs(share - 1 / 3) < 0.05 / 3 for share in result.values()), result


def test_shares_follow_tenant_weights():
    result = shares(flood({"a": 900.0, "b": 900.0}, lambda t: 0.01, tenant_weights={"a": 3.0}))
    assert result["a"] == pytest.approx(0.75, abs=0.03)


def test_shares_follow_measured_cost_not_request_count():
    result = shares(flood({"dear": 300.0, "cheap": 3000.0}, lambda t: 0.05 if t == "dear" else 0.005))
    assert result["dear"] == pytest.approx(0.5, abs=0.05), result


def test_unused_quota_of_one_tenant_goes_to_the_others():
    fleet = flood({"small": 20.0, "big": 2000.0}, lambda t: 0.01)
    assert fleet.used["small"] > 0.95 * 20 * 20 * 0.01 * 0.9
    assert sum(fleet.used.values()) > 0.95 * 4 * 20


def test_ten_noisy_tenants_do_not_starve_990_quiet_ones():
    rates = {f"t{n}": (400.0 if n < 10 else 0.2) for n in range(1000)}
    fleet = flood(rates, lambda t: 0.01, seconds=10.0)
    quiet = [n for n, tenant in fleet.tenant.items() if int(tenant[1:]) >= 10]
    served = sum(isinstance(fleet.decisions[n][0], Admit) for n in quiet if n in fleet.decisions)
    assert served / len(quiet) > 0.95
    noisy = [fleet.used[f"t{n}"] for n in range(10)]
    assert min(noisy) > 0.9 * max(noisy)


def test_memory_stays_bounded_over_ten_thousand_tenants_with_one_request_each():
    rng = random.Random(1)
    fleet = Fleet(
        AdmissionController(
            AdmissionSettings(max_queued=200, max_tracked_tenants=100, max_reservations=500), 1, 0.0
        ),
        2,
        rng,
    )
    for number in range(10_000):
        fleet.submit(number / 2000.0, arrival(number, f"t{number}"), 0.01)
    fleet.run(60.0)
    admission = fleet.admission
    assert fleet.max_queued <= 200
    assert len(admission._retry_budget.rejected_keys) <= 500
    assert not admission.requests and not admission.queued and not len(admission._queue_timers)
    for pool in admission.pools.values():
        assert len(pool.queue.finish_tags) <= 100
        assert len(pool.reservations.reservations) <= 500
        assert not pool.queue.tenants
    assert set(fleet.decisions) == set(range(10_000))


def test_clients_that_return_at_retry_after_are_served():
    rng = random.Random(3)
    fleet = Fleet(AdmissionController(AdmissionSettings(), 3, 0.0), 4, rng)
    number, reserved_at, served = 0, {}, 0
    when = 0.0
    while (when := when + rng.expovariate(800.0)) < 12.0:  # twice the capacity of the fleet
        number += 1
        fleet.submit(when, arrival(number, f"t{number % 20}", reservation_token=f"m{number}"), 0.01)
    due: list[tuple[float, str, str]] = []
    for second in range(1, 1500):
        fleet.run(second * 0.01)
        for n, decisions in list(fleet.decisions.items()):
            for decision in decisions:
                if isinstance(decision, Reject) and decision.retry_after > 0 and n not in reserved_at:
                    reserved_at[n] = fleet.now + decision.retry_after
                    number += 1
                    retry = arrival(number, fleet.tenant[n], reservation_token=f"m{n}", time_left=0.5)
                    fleet.submit(reserved_at[n] + 0.01, retry, 0.01)
                    due.append((reserved_at[n], number, n))
    retries = [new for at, new, _ in due if at < 13.0]
    served = sum(isinstance(fleet.decisions[new][0], Admit) for new in retries)
    assert len(retries) > 500
    assert served / len(retries) >= 0.95


def test_a_reservation_is_valid_once_and_not_before_its_slot():
    schedule = ReservationSchedule(100, 5.0, 1)
    assert schedule.reserve("x", "t", 0.01, 1.0, 0.0, 10.0) is None  # the service rate is unknown
    schedule.update_rate(1.0, 10.0)
    retry_after = schedule.reserve("x", "t", 0.01, 1.0, 0.2, 10.0)
    assert 0.2 <= retry_after <= 0.2 + 3 * SLOT_S
    assert not schedule.redeem("x", 10.0 + 0.05)  # too early: rejected, but the reservation stays
    assert schedule.redeem("x", 10.0 + retry_after)
    assert not schedule.redeem("x", 10.0 + retry_after)
    late = schedule.reserve("y", "t", 0.01, 1.0, 0.2, 10.0)
    assert not schedule.redeem("y", 10.0 + late + SLOT_S + GRACE_S + 0.01)
    assert (
        not schedule.reservations
        and not schedule.reserved_cost
        and not schedule.tenant_reserved_cost
        and not schedule.by_token
    )


def test_reservations_never_exceed_capacity_and_the_latest_are_revoked_when_it_falls():
    schedule = ReservationSchedule(10_000, 5.0, 1)
    schedule.update_rate(4.0, 0.0)
    retry_after = [schedule.reserve(f"c{n}", "t", 0.01, 1.0, 0.0, 0.0) for n in range(2000)]
    assert None in retry_after
    assert all(reserved <= 4.0 * SLOT_S * 0.5 + 1e-9 for reserved in schedule.reserved_cost.values())
    before = len(schedule.reservations)
    schedule.update_rate(2.0, 0.0)
    assert all(reserved <= 2.0 * SLOT_S * 0.5 + 1e-9 for reserved in schedule.reserved_cost.values())
    assert 0.4 * before < len(schedule.reservations) < 0.6 * before
    assert schedule.revoked == before - len(schedule.reservations)


def test_a_tenant_with_many_rejections_reserves_no_more_than_its_quota():
    schedule = ReservationSchedule(10_000, 2.0, 1)
    schedule.update_rate(4.0, 0.0)
    for n in range(2000):
        schedule.reserve(f"noisy {n}", "noisy", 0.01, 0.5, 0.0, 0.0)
    assert all(b <= 4.0 * SLOT_S * 0.25 + 1e-9 for b in schedule.reserved_cost.values())
    assert schedule.reserve("quiet", "quiet", 0.01, 0.5, 0.0, 0.0) < 0.2


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.floats(0.001, 0.03), st.floats(0.0, 0.3), st.integers(0, 5)),
        max_size=100,
    )
)
def test_the_totals_of_a_reservation_schedule_are_consistent(steps):
    schedule, now = ReservationSchedule(30, 2.0, 1), 0.0
    for tenant, cost, elapsed, action in steps:
        now += elapsed
        if action == 0:
            schedule.update_rate(cost * 100, now)
        elif action < 4:
            retry_after = schedule.reserve(f"{tenant}{action}", tenant, cost, 0.5, elapsed, now)
            assert retry_after is None or 0 < retry_after <= 2.0 + SLOT_S
        else:
            schedule.redeem(f"{tenant}{action - 3}", now)
        assert len(schedule.reservations) <= 30
        assert sum(schedule.reserved_cost.values()) == pytest.approx(
            sum(p.cost for p in schedule.reservations)
        )
        assert sum(schedule.tenant_reserved_cost.values()) == pytest.approx(
            sum(p.cost for p in schedule.reservations)
        )
        assert sum(schedule.tenant_counts.values()) == len(schedule.reservations)
        assert sum(map(len, schedule.by_token.values())) == len(schedule.reservations)


def test_retries_stay_within_the_budget_when_all_requests_fail():
    admission, now, admitted = AdmissionController(AdmissionSettings(), 1, 0.0), 0.0, 0
    for number in range(500):
        now += 0.002
        admission.arrive(arrival(number, idempotency_key=f"m{number}"), now)
        admission.sent(number, now)
        admission.ended(number, now + 0.001, False)
    for number in range(500, 1500):  # each is retried twice, at once
        now += 0.0001
        decisions = admission.arrive(arrival(number, idempotency_key=f"m{number % 500}"), now)
        if isinstance(decisions[0], Admit):
            admitted += 1
            admission.sent(number, now)
            admission.ended(number, now, False)
    assert admitted <= 0.2 * 500 + 6


def test_new_requests_of_a_client_do_not_count_as_retries():
    admission = AdmissionController(AdmissionSettings(), 1, 0.0)
    for number in range(300):  # one connection, no idempotency key, all rejected by the router
        admission.arrive(arrival(number, reservation_token="one connection"), number * 0.001)
        admission.ended(number, number * 0.001, False)
    assert isinstance(admission.arrive(arrival(1000, reservation_token="one connection"), 0.4)[0], Admit)


def test_a_request_that_could_not_be_admitted_in_time_is_rejected_at_once():
    fleet = flood({"a": 2000.0}, lambda t: 0.01, seconds=5.0)
    late = fleet.admission.arrive(arrival(10**6, "a", client="a-0", time_left=0.001), fleet.now)
    assert isinstance(late[0], Reject)
    assert late[0].why == "its turn would come too late"


def test_the_allowance_falls_after_rejections_in_the_router_and_recovers():
    admission = AdmissionController(AdmissionSettings(), 1, 0.0)
    for number in range(40):
        admission.arrive(arrival(number), 0.0)
        admission.ended(number, 0.1, False)
    (pool,) = admission.pools.values()
    assert pool.allowance == MIN_ALLOWANCE
    for number in range(100, 1000):
        admission.arrive(arrival(number), 1.0)
        admission.sent(number, 1.001)
        admission.ended(number, 1.01, True)
    assert pool.allowance == 8.0
    assert pool.waiting_in_router == pool.in_flight == 0


def test_load_is_shed_from_the_lowest_priority_of_the_tenant_with_the_most_queued():
    admission = AdmissionController(
        AdmissionSettings(max_queued=20, max_waiting_in_router=2, max_admitted_per_turn=2), 1, 0.0
    )
    for number in range(22):
        admission.arrive(arrival(number, "noisy", priority_weight=1.0 if number % 2 else 6.0), 0.0)
    decisions = admission.arrive(arrival(100, "quiet"), 0.0)
    assert [type(d) for d in decisions] == [Reject]
    assert decisions[0].id % 2 == 1  # priority weight 1
    assert admission.queued == 20


def test_a_reload_of_weights_keeps_queued_requests():
    admission = AdmissionController(
        AdmissionSettings(max_waiting_in_router=2, max_admitted_per_turn=2), 1, 0.0
    )
    for number in range(12):
        admission.arrive(arrival(number, "ab"[number % 2]), 0.0)
    assert admission.queued == 10
    admission.reload(
        AdmissionSettings(tenant_weights={"a": 9.0}, max_waiting_in_router=2, max_admitted_per_turn=2)
    )
    admitted = []
    for number in range(12):
        admitted += [d.id for d in admission.sent(number, 0.1)] if number in (0, 1, *admitted) else []
    assert admission.queued == 0


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 2), st.floats(0.001, 0.05), st.booleans()), max_size=120
    ),
    st.lists(st.floats(0.5, 4.0), min_size=5, max_size=5),
)
def test_costs_by_weight_of_queued_tenants_differ_by_at_most_a_request_each(plan, weights):
    queue, used, number, max_cost = FairQueue(1000), [0.0] * 5, 0, 0.05
    requests = {}
    for tenant in range(5):  # all five have requests queued throughout
        for _ in range(200):
            number += 1
            cost = plan[number % len(plan)][2] if plan else 0.01
            requests[number] = QueuedRequest(number, str(tenant), "c", 1.0, cost, weights[tenant])
            queue.push(requests[number])
    for _ in range(300):
        if min(t.length for t in queue.tenants.values()) < 2 or len(queue.tenants) < 5:
            break
        request = queue.pop()
        used[int(request.tenant)] += request.cost
        for one in range(5):
            for other in range(5):
                difference = abs(used[one] / weights[one] - used[other] / weights[other])
                assert difference <= max_cost / weights[one] + max_cost / weights[other] + 1e-9


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 2**32))
def test_each_request_is_decided_once_and_the_same_calls_give_the_same_decisions(seed):
    def run() -> tuple[dict, int]:
        rng = random.Random(seed)
        admission = AdmissionController(
            AdmissionSettings(max_queued=15, max_waiting_in_router=3, max_reservations=20), seed, 0.0
        )
        now, states, decided = 0.0, {}, {}

        def apply(decisions):
            for decision in decisions:
                decided.setdefault(decision.id, []).append(decision)
                if isinstance(decision, Admit):
                    assert states[decision.id] == "queued"
                    states[decision.id] = "admitted"
                else:
                    assert states.pop(decision.id) == "queued"

        for number in range(120):
            now += rng.choice([0.0, 0.001, 0.02, 0.5, -0.1 if rng.random() < 0.05 else 0.0])
            now = max(now, 0.0)
            states[number] = "queued"
            token = f"m{rng.randrange(30)}"
            changes = {"priority_weight": rng.choice([1.0, 6.0]), "time_left": rng.choice([0.01, 0.3, 2.0])}
            apply(
                admission.arrive(
                    arrival(number, f"t{rng.randrange(5)}", reservation_token=token, **changes), now
                )
            )
            for other in list(states):
                draw = rng.random()
                if draw < 0.1 and states.get(other) == "admitted":
                    apply(admission.sent(other, now))
                elif draw < 0.2 and other in states:
                    del states[other]
                    apply(admission.ended(other, now, rng.random() < 0.8))
            apply(admission.tick(now))
            assert admission.queued == sum(state == "queued" for state in states.values()) <= 15
            assert set(admission.requests) == set(states)
        return decided, len(states)

    assert run() == run()


def test_each_queued_request_gets_exactly_one_final_answer():
    proxy = MongodbProxy()
    proxy.engine.admission = AdmissionController(
        AdmissionSettings(max_waiting_in_router=2, max_admitted_per_turn=2), 1, proxy.clock.now()
    )
    for endpoint in proxy.engine.router.endpoints.values():
        endpoint.concurrency_limit = 0.0  # the router can send nothing
    answers = []
    for number in range(8):
        command = ClientRequest(
            "note", 0, 0.5, "payload", tenant="t", client=str(number), reservation_token=str(number)
        )
        proxy.engine.submit(command, answers.append)
    proxy.turn()
    assert proxy.engine.admission.queued == 6
    assert len(proxy.engine.router.requests) == 2
    for _ in range(60):
        proxy.turn(0.01)
    assert len(answers) == 8
    assert {a.status for a in answers} == {ResponseStatus.REJECTED}
    assert not proxy.engine.request_table.requests
    assert proxy.engine.answered_by_last_guard == 0
    assert not proxy.engine.admission.requests


def test_a_request_whose_client_disconnects_is_removed_from_the_queue():
    proxy = MongodbProxy()
    proxy.engine.admission = AdmissionController(
        AdmissionSettings(max_waiting_in_router=2, max_admitted_per_turn=2), 1, proxy.clock.now()
    )
    for endpoint in proxy.engine.router.endpoints.values():
        endpoint.concurrency_limit = 0.0
    pending = [
        proxy.engine.submit(ClientRequest("note", 0, 0.5, "p", reservation_token=str(n)), lambda a: None)
        for n in range(4)
    ]
    proxy.turn()
    proxy.engine.client_disconnected(pending[3])
    proxy.turn()
    assert proxy.engine.admission.queued == 1
    assert pending[3].id not in proxy.engine.admission.requests


def test_each_key_of_the_door_section_sets_its_field():
    keys = {
        "weights": ("tenant_weights", {"a": 3.0}),
        "default_weight": ("default_weight", 2.5),
        "most_held": ("max_queued", 11),
        "most_waiting_inside": ("max_waiting_in_router", 12),
        "most_at_a_turn": ("max_admitted_per_turn", 13),
        "hold_share": ("max_queueing_share", 0.14),
        "most_debts": ("max_tracked_tenants", 17),
        "most_promises": ("max_reservations", 18),
        "horizon": ("reservation_horizon", 1.9),
        "retry_share": ("retry_budget_share", 0.21),
    }
    assert DoorModel().build() == AdmissionSettings()
    stated = {key: value for key, (_, value) in keys.items()} | {"horizon": "1.9 s"}
    built = DoorModel(**stated).build()
    assert asdict(built) == dict(keys.values())
