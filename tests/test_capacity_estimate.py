"""The limit on how many may be inside, against a small room of servers in virtual time."""

from __future__ import annotations

import heapq
import random
from statistics import median

import pytest

from sedgepitch.decisions.admission.capacity_estimate import MIN_LIMIT, CapacityEstimate
from sedgepitch.decisions.admission.process_concurrency_limit import INITIAL_LIMIT, ProcessConcurrencyLimit
from sedgepitch.decisions.admission.process_concurrency_limit import MIN_LIMIT as MIN_PROCESS_LIMIT


def play(servers: int, offered, service, seconds: float, seed: int = 1, names=("read",)) -> dict:
    """An open flood before one room: what is beyond the limit is dropped, servers take turns in one queue.

    `offered` and `service` give rate and mean time by the present time; returns answers as (sent, took).
    """
    rng = random.Random(seed)
    limit, now, inside = CapacityEstimate(0.0), 0.0, 0
    free = [0.0] * servers
    ending: list[tuple[float, float, str]] = []
    done: list[tuple[float, float]] = []
    limits: list[float] = []
    arrival, dropped = 0.0, 0
    while now < seconds:
        if ending and ending[0][0] <= arrival:
            now, sent, name = heapq.heappop(ending)
            inside -= 1
            limit.record_latency(name, 0.2, now - sent, sent)
            done.append((sent, now - sent))
        else:
            now = arrival
            arrival += rng.expovariate(offered(now))
            dropped += inside >= limit.current_limit
            if inside < limit.current_limit:
                inside += 1
                limit.record_in_flight(inside, now)
                start = max(now, heapq.heappop(free))
                name = rng.choice(names)
                takes = service(now) * rng.uniform(0.8, 1.2) * (4.0 if name == "heavy" else 1.0)
                heapq.heappush(free, start + takes)
                heapq.heappush(ending, (start + takes, now, name))
        limit.update(now)
        limits.append(limit.limit)
    return {"done": done, "limit": limit, "limits": limits, "dropped": dropped}


def tail(result: dict, since: float) -> tuple[float, float]:
    """Median time and answers a second, of what was sent since then."""
    times = [took for sent, took in result["done"] if sent >= since]
    last = max(sent for sent, _ in result["done"])
    return median(times), len(times) / (last - since)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_from_the_start_finds_the_baseline_latency_and_the_capacity(seed):
    result = play(6, lambda now: 2000.0, lambda now: 0.01, 30.0, seed)
    took, rate = tail(result, 15.0)
    assert took < 0.03, "an admitted request is answered almost as if it were alone"
    assert rate > 0.85 * 600


def test_without_a_queue_nothing_is_dropped():
    result = play(6, lambda now: 200.0, lambda now: 0.01, 10.0)
    assert result["dropped"] == 0
    assert not result["limit"].probing


def test_overload_after_a_calm_time_is_bounded_within_seconds():
    result = play(6, lambda now: 200.0 if now < 5.0 else 2000.0, lambda now: 0.01, 12.0)
    took, rate = tail(result, 8.0)
    assert took < 0.03
    assert rate > 0.85 * 600


def test_endpoints_that_slow_down_to_a_half_are_not_starved():
    result = play(6, lambda now: 2000.0, lambda now: 0.01 if now < 20.0 else 0.02, 45.0)
    took, rate = tail(result, 35.0)
    assert rate > 0.8 * 300
    assert took < 0.06
    assert min(result["limits"]) >= MIN_LIMIT


def test_endpoints_that_become_faster_are_used():
    result = play(6, lambda now: 2000.0, lambda now: 0.02 if now < 15.0 else 0.01, 40.0)
    _, rate = tail(result, 30.0)
    assert rate > 0.85 * 600


def test_a_change_in_the_mix_is_no_change_in_speed():
    result = play(6, lambda now: 60.0, lambda now: 0.01, 20.0, names=("read", "heavy"))
    assert result["dropped"] == 0


def test_slow_answers_do_not_keep_the_limit_at_its_start():
    result = play(200, lambda now: 60.0, lambda now: 1.0, 60.0)
    assert result["limit"].limit > 30
    assert tail(result, 30.0)[1] > 50


def test_long_overload_does_not_drift():
    result = play(3, lambda now: 900.0, lambda now: 0.01, 120.0)
    early, _ = tail(result, 30.0)
    late, rate = tail(result, 100.0)
    assert late < 1.3 * early
    assert rate > 0.85 * 300


def test_answers_of_a_fraction_of_a_millisecond_set_no_limit():
    rng, limit = random.Random(1), CapacityEstimate(0.0)
    for step in range(20_000):
        now = step * 0.001
        limit.record_in_flight(32, now)
        limit.record_latency("read", 0.2, rng.choice((0.0002, 0.004)), now)
        limit.update(now)
    assert limit.current_limit > 32


def test_answers_that_took_no_time_of_a_class_without_an_objective_set_no_limit():
    limit = CapacityEstimate(0.0)
    for step in range(40):
        limit.record_in_flight(4, step * 0.1)
        limit.record_latency("upload", 0.0, 0.0, step * 0.1)
        limit.update(step * 0.1)
    assert limit.current_limit >= 16
    assert not limit.probing


# The limit on the process's own concurrency


def waits(limit: ProcessConcurrencyLimit, seconds: float, wait: float, inside: int, now: float) -> float:
    """Many equal waits for so long; returns the time afterwards."""
    for _ in range(int(seconds / 0.01)):
        now += 0.01
        limit.record(wait, inside, now)
    return now


def test_a_process_that_lags_carries_less_and_grows_back_when_it_does_not():
    limit = ProcessConcurrencyLimit(0.02)
    now = waits(limit, 2.0, 0.0005, 64, 0.0)
    high = limit.limit
    assert high > INITIAL_LIMIT, "used and quick, it may carry more"
    now = waits(limit, 3.0, 0.2, 64, now)
    assert limit.limit < INITIAL_LIMIT / 2
    assert limit.limit >= MIN_PROCESS_LIMIT
    now = waits(limit, 5.0, 0.0005, int(limit.limit), now)
    assert limit.limit > MIN_PROCESS_LIMIT


def test_one_pause_is_one_decrease():
    limit = ProcessConcurrencyLimit(0.02)
    now = waits(limit, 1.0, 0.0005, 10, 0.0)
    before = limit.limit
    limit.record(0.4, 10, now + 0.2)
    assert limit.decreases == 1
    assert limit.limit < before
    waits(limit, 2.0, 0.0005, 10, now + 0.2)
    assert limit.decreases == 1
    assert limit.limit > 10, "and it is grown back"
    assert not limit.rejects_unread(1.0, True)


def test_requests_are_rejected_unread_only_in_spans_of_long_waits_and_only_if_they_waited():
    limit = ProcessConcurrencyLimit(0.02)
    now = waits(limit, 1.0, 0.03, 10, 0.0)
    assert not limit.rejects_unread(0.5, True), "late, but not overloaded"
    now = waits(limit, 0.5, 0.2, 10, now)
    assert limit.rejects_unread(0.05, True)
    assert not limit.rejects_unread(0.05, False), "of a tenant that does not ask most"
    assert limit.rejects_unread(0.5, False)
    assert not limit.rejects_unread(0.01, True), "this one came just now"
    waits(limit, 0.5, 0.001, 10, now)
    assert not limit.rejects_unread(0.5, True)


# Guards against: overload without an end where nothing is read any more, since nothing may be accepted.
def test_overload_ends_when_nothing_has_been_read_for_a_while():
    limit = ProcessConcurrencyLimit(0.02)
    now = waits(limit, 1.0, 0.2, 10, 0.0)
    assert limit.overloaded_at(now)
    assert limit.overloaded_at(now + 0.4)
    assert not limit.overloaded_at(now + 0.6)
    limit.record(0.2, 1, now + 5.0)
    assert not limit.overloaded_at(now + 5.0), "one late read after an idle time is no row"
    now = waits(limit, 3.0, 0.7, 10, now + 5.0)
    assert limit.overloaded_at(now), "reads that are late by more than that time leave no idle time between"


def test_unread_requests_of_the_most_active_tenant_are_rejected_first():
    from sedgepitch.decisions.admission.controller import AdmissionController
    from sedgepitch.decisions.admission.settings import AdmissionSettings
    from tests.support.mongodb_harness import MongodbProxy, command, replies

    proxy = MongodbProxy()
    admission = proxy.engine.admission = AdmissionController(AdmissionSettings(), 1, proxy.clock.now())
    proxy.context.tenant_sources = ("app_name", "address")
    connection, transport = proxy.client()
    connection.app_name = "public"
    connection.dataReceived(command(1, find="readings", comment="history-read", maxTimeMS=300))
    proxy.turn(0.4)
    waits(proxy.engine.process_limit, 0.5, 0.3, 10, proxy.clock.now())
    for number, busiest, unread in ((2, "council", 0), (3, "public", 1)):
        admission.most_active_tenant = busiest
        transport.arrived = proxy.clock.now() - 0.05
        connection.dataReceived(command(number, find="readings", comment="history-read", maxTimeMS=300))
        assert proxy.engine.rejected_for_load == unread
        admission.most_active_tenant = busiest
        proxy.turn(0.4)
        response_to, last = replies(transport)[-1]
        assert response_to == number
        assert "NoWritesPerformed" in last["errorLabels"]
