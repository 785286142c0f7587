"""The limit on how many may be inside, against a small room of servers in virtual time."""

from __future__ import annotations

import heapq
import random
from statistics import median

import pytest

from sedgepitch.decide.capacity import LEAST, RoomLimit


def play(servers: int, offered, service, seconds: float, seed: int = 1, names=("read",)) -> dict:
    """An open flood before one room: what is beyond the limit is dropped, servers take turns in one queue.

    `offered` and `service` give rate and mean time by the present time; returns answers as (sent, took).
    """
    rng = random.Random(seed)
    limit, now, inside = RoomLimit(0.0), 0.0, 0
    free = [0.0] * servers
    ending: list[tuple[float, float, str]] = []
    done: list[tuple[float, float]] = []
    limits: list[float] = []
    arrival, dropped = 0.0, 0
    while now < seconds:
        if ending and ending[0][0] <= arrival:
            now, sent, name = heapq.heappop(ending)
            inside -= 1
            limit.answered(name, 0.2, now - sent, sent)
            done.append((sent, now - sent))
        else:
            now = arrival
            arrival += rng.expovariate(offered(now))
            dropped += inside >= limit.bound
            if inside < limit.bound:
                inside += 1
                limit.inside(inside, now)
                start = max(now, heapq.heappop(free))
                name = rng.choice(names)
                takes = service(now) * rng.uniform(0.8, 1.2) * (4.0 if name == "heavy" else 1.0)
                heapq.heappush(free, start + takes)
                heapq.heappush(ending, (start + takes, now, name))
        limit.measure(now)
        limits.append(limit.limit)
    return {"done": done, "limit": limit, "limits": limits, "dropped": dropped}


def tail(result: dict, since: float) -> tuple[float, float]:
    """Median time and answers a second, of what was sent since then."""
    times = [took for sent, took in result["done"] if sent >= since]
    last = max(sent for sent, _ in result["done"])
    return median(times), len(times) / (last - since)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_flood_from_the_start_finds_the_servers_pace_and_their_capacity(seed):
    result = play(6, lambda now: 2000.0, lambda now: 0.01, 30.0, seed)
    took, rate = tail(result, 15.0)
    assert took < 0.03, "let in, a request is answered almost as if it were alone"
    assert rate > 0.85 * 600


def test_without_a_queue_the_limit_is_not_felt():
    result = play(6, lambda now: 200.0, lambda now: 0.01, 10.0)
    assert result["dropped"] == 0
    assert not result["limit"].dipping


def test_a_calm_time_first_and_the_flood_is_bounded_within_seconds():
    result = play(6, lambda now: 200.0 if now < 5.0 else 2000.0, lambda now: 0.01, 12.0)
    took, rate = tail(result, 8.0)
    assert took < 0.03
    assert rate > 0.85 * 600


def test_members_that_slow_down_to_a_half_are_not_starved():
    result = play(6, lambda now: 2000.0, lambda now: 0.01 if now < 20.0 else 0.02, 45.0)
    took, rate = tail(result, 35.0)
    assert rate > 0.8 * 300
    assert took < 0.06
    assert min(result["limits"]) >= LEAST


def test_members_that_become_quicker_are_used():
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


def test_a_long_flood_does_not_drift():
    result = play(3, lambda now: 900.0, lambda now: 0.01, 120.0)
    early, _ = tail(result, 30.0)
    late, rate = tail(result, 100.0)
    assert late < 1.3 * early
    assert rate > 0.85 * 300


def test_answers_of_a_fraction_of_a_millisecond_set_no_limit():
    rng, limit = random.Random(1), RoomLimit(0.0)
    for step in range(20_000):
        now = step * 0.001
        limit.inside(32, now)
        limit.answered("read", 0.2, rng.choice((0.0002, 0.004)), now)
        limit.measure(now)
    assert limit.bound > 32
