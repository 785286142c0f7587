"""Golden gossip: the same seed gives the same datagrams, frames and decisions as when it was recorded.

Two versions of the program gossip in one cluster, so the bytes must not change. `python -m
tests.test_golden_gossip` prints the digests of the present code, to record them anew where a change of
behaviour is meant.
"""

from __future__ import annotations

import json
from functools import cache
from pathlib import Path

import pytest

from tests.support.golden_gossip import GoldenCluster, play_replay_protection

DIGESTS = Path(__file__).parent / "golden" / "gossip.json"
SEEDS = range(1, 15)
REPLAY_SEEDS = range(1, 9)
PING, PING_REQUEST, ACK, NACK, UPDATES = range(1, 6)


@cache
def played(seed: int) -> tuple[str, frozenset[str]]:
    """Play one seed; returns its digest, and what was recorded at least once."""
    cluster = GoldenCluster(seed)
    return cluster.play(), frozenset(cluster.seen)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_cluster_sends_and_decides_as_recorded(seed):
    assert played(seed)[0] == json.loads(DIGESTS.read_text())[f"cluster {seed}"]


@pytest.mark.parametrize("seed", REPLAY_SEEDS)
def test_replays_are_judged_as_recorded(seed):
    assert play_replay_protection(seed) == json.loads(DIGESTS.read_text())[f"replay {seed}"]


def test_the_seeds_send_every_kind_of_message_and_see_every_event():
    seen: set[str] = set()
    for seed in SEEDS:
        seen |= played(seed)[1]
    kinds = {f"datagram {tag}" for tag in (PING, PING_REQUEST, ACK, NACK, UPDATES)}
    assert seen == kinds | {"frame", "sync", "stream ping", "event", "due", "members"}


if __name__ == "__main__":
    digests = {f"cluster {seed}": played(seed)[0] for seed in SEEDS}
    digests |= {f"replay {seed}": play_replay_protection(seed) for seed in REPLAY_SEEDS}
    print(json.dumps(digests, indent=1))
