"""The capacity estimate against simulated servers in virtual time, and the process concurrency limit."""

from __future__ import annotations

import heapq
import random
from statistics import median

import pytest

from sedgepitch.decisions.admission.capacity_estimate import MIN_LIMIT, CapacityEstimate
from sedgepitch.decisions.admission.process_concurrency_limit import INITIAL_LIMIT, ProcessConcurrencyLimit
from sedgepitch.decisions.admission.process_concurrency_limit import MIN_LIMIT as MIN_PROCESS_LIMIT


def play(servers: int, offered, service, seconds: float, seed: int = 1, names=("read",)) -> dict:
    """Run an open load against servers with one queue; requests beyond the limit are dropped.

    `offered` and `service` give the request rate and the mean service time by time. Answers are returned as
    (sent at, latency).
    """
    rng = random.Random(seed)
    limit, now, in_flight = CapacityEstimate(0.0), 0.0, 0
    free = [0.0] * servers
    ending: list[tuple[float, float, str]] = []
    done: list[tuple[float, float]] = []
    limits: list[float] = []
    arrival, dropped = 0.0, 0
    while now < seconds:
        if ending and ending[0][0] <= arrival:
            now, sent, name = heapq.heappop(ending)
            in_flight -= 1
            limit.record_latency(name, 0.2, now - sent, sent)
            done.append((sent, now - sent))
        else:
            now = arrival
            arrival += rng.expovariate(offered(now))
            dropped += in_flight >= limit.current_limit
            if in_flight < limit.current_limit:
                in_flight += 1
                limit.record_in_flight(in_flight, now)
                start = max(now, heapq.heappop(free))
                name = rng.choice(names)
                service_time = service(now) * rng.uniform(0.8, 1.2) * (4.0 if name == "heavy" else 1.0)
                heapq.heappush(free, start + service_time)
                heapq.heappush(ending, (start + service_time, now, name))
        limit.update(now)
        limits.append(limit.limit)
    return {"done": done, "limit": limit, "limits": limits, "dropped": dropped}


def tail(result: dict, since: float) -> tuple[float, float]:
    """Return median latency and answers per second of the requests sent from `since` on."""
    latencies = [latency for sent, latency in result["done"] if sent >= since]
    last = max(sent for sent, _ in result["done"])
    return median(latencies), len(latencies) / (last - since)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_overload_from_the_start_finds_the_baseline_latency_and_the_capacity(seed):
    result = play(6, lambda now: 2000.0, lambda now: 0.01, 30.0, seed)
    latency, rate = tail(result, 15.0)
    assert latency < 0.03, "an admitted request is answered almost without queueing"
    assert rate > 0.85 * 600


def test_nothing_is_dropped_below_capacity():
    result = play(6, lambda now: 200.0, lambda now: 0.01, 10.0)
    assert result["dropped"] == 0
    assert not result["limit"].probing


def test_overload_after_normal_load_is_limited_within_seconds():
    result = play(6, lambda now: 200.0 if now < 5.0 else 2000.0, lambda now: 0.01, 12.0)
    latency, rate = tail(result, 8.0)
    assert latency < 0.03
    assert rate > 0.85 * 600


def test_endpoints_that_slow_down_to_half_speed_stay_in_use():
    result = play(6, lambda now: 2000.0, lambda now: 0.01 if now < 20.0 else 0.02, 45.0)
    latency, rate = tail(result, 35.0)
    assert rate > 0.8 * 300
    assert latency < 0.06
    assert min(result["limits"]) >= MIN_LIMIT


def test_the_limit_grows_when_endpoints_become_faster():
    result = play(6, lambda now: 2000.0, lambda now: 0.02 if now < 15.0 else 0.01, 40.0)
    _, rate = tail(result, 30.0)
    assert rate > 0.85 * 600


def test_a_mix_of_fast_and_slow_classes_is_not_taken_for_queueing():
    result = play(6, lambda now: 60.0, lambda now: 0.01, 20.0, names=("read", "heavy"))
    assert result["dropped"] == 0


def test_the_limit_grows_beyond_its_initial_value_when_answers_are_slow():
    result = play(200, lambda now: 60.0, lambda now: 1.0, 60.0)
    assert result["limit"].limit > 30
    assert tail(result, 30.0)[1] > 50


def test_latency_does_not_drift_under_long_overload():
    result = play(3, lambda now: 900.0, lambda now: 0.01, 120.0)
    early, _ = tail(result, 30.0)
    late, rate = tail(result, 100.0)
    assert late < 1.3 * early
    assert rate > 0.85 * 300


def test_noise_in_latencies_below_a_millisecond_does_not_lower_the_limit():
    rng, limit = random.Random(1), CapacityEstimate(0.0)
    for step in range(20_000):
        now = step * 0.001
        limit.record_in_flight(32, now)
        limit.record_latency("read", 0.2, rng.choice((0.0002, 0.004)), now)
        limit.update(now)
    assert limit.current_limit > 32


def test_zero_latencies_of_a_class_without_an_objective_do_not_lower_the_limit():
    limit = CapacityEstimate(0.0)
    for step in range(40):
        limit.record_in_flight(4, step * 0.1)
        limit.record_latency("upload", 0.0, 0.0, step * 0.1)
        limit.update(step * 0.1)
    assert limit.current_limit >= 16
    assert not limit.probing


# The process concurrency limit


def record_waits(
    limit: ProcessConcurrencyLimit, seconds: float, wait: float, in_process: int, now: float
) -> float:
    """Record equal waits for `seconds`; return the time afterwards."""
    for _ in range(int(seconds / 0.01)):
        now += 0.01
        limit.record(wait, in_process, now)
    return now


def test_the_process_limit_falls_with_long_waits_and_grows_back_after_them():
    limit = ProcessConcurrencyLimit(0.02)
    now = record_waits(limit, 2.0, 0.0005, 64, 0.0)
    high = limit.limit
    assert high > INITIAL_LIMIT, "the limit grows while it is in use and waits are short"
    now = record_waits(limit, 3.0, 0.2, 64, now)
    assert limit.limit < INITIAL_LIMIT / 2
    assert limit.limit >= MIN_PROCESS_LIMIT
    now = record_waits(limit, 5.0, 0.0005, int(limit.limit), now)
    assert limit.limit > MIN_PROCESS_LIMIT


def test_one_pause_causes_one_decrease():
    limit = ProcessConcurrencyLimit(0.02)
    now = record_waits(limit, 1.0, 0.0005, 10, 0.0)
    before = limit.limit
    limit.record(0.4, 10, now + 0.2)
    assert limit.decreases == 1
    assert limit.limit < before
    record_waits(limit, 2.0, 0.0005, 10, now + 0.2)
    assert limit.decreases == 1
    assert limit.limit > 10, "it has grown back"
    assert not limit.rejects_unread(1.0, True)


def test_requests_are_rejected_unread_only_under_overload_and_after_a_long_wait():
    limit = ProcessConcurrencyLimit(0.02)
    now = record_waits(limit, 1.0, 0.03, 10, 0.0)
    assert not limit.rejects_unread(0.5, True), "waits are above the tolerable wait, but there is no overload"
    now = record_waits(limit, 0.5, 0.2, 10, now)
    assert limit.rejects_unread(0.05, True)
    assert not limit.rejects_unread(0.05, False), "not of the most active tenant"
    assert limit.rejects_unread(0.5, False)
    assert not limit.rejects_unread(0.01, True), "this request has just arrived"
    record_waits(limit, 0.5, 0.001, 10, now)
    assert not limit.rejects_unread(0.5, True)


# Guards against overload that never ends: no connections are accepted, so nothing is read, so no wait shows
# the end.
def test_overload_ends_when_nothing_has_been_read_for_a_while():
    limit = ProcessConcurrencyLimit(0.02)
    now = record_waits(limit, 1.0, 0.2, 10, 0.0)
    assert limit.overloaded_at(now)
    assert limit.overloaded_at(now + 0.4)
    assert not limit.overloaded_at(now + 0.6)
    limit.record(0.2, 1, now + 5.0)
    assert not limit.overloaded_at(now + 5.0), "one late read after an idle time is not overload"
    now = record_waits(limit, 3.0, 0.7, 10, now + 5.0)
    assert limit.overloaded_at(now), "waits longer than OVERLOAD_MAX_AGE_S are not an idle time"


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
    record_waits(proxy.engine.process_limit, 0.5, 0.3, 10, proxy.clock.now())
    for number, most_active, unread in ((2, "council", 0), (3, "public", 1)):
        admission.most_active_tenant = most_active
        transport.arrived = proxy.clock.now() - 0.05
        connection.dataReceived(command(number, find="readings", comment="history-read", maxTimeMS=300))
        assert proxy.engine.rejected_for_load == unread
        admission.most_active_tenant = most_active
        proxy.turn(0.4)
        response_to, last = replies(transport)[-1]
        assert response_to == number
        assert "NoWritesPerformed" in last["errorLabels"]
