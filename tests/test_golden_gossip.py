"""Golden gossip: each seed gives the recorded datagrams, frames and decisions.

Two versions of the program can gossip in one cluster, so the encoded bytes must not change. `python -m
tests.test_golden_gossip` prints the digests of the current code, to record them after an intended change of
behaviour.
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
def run_seed(seed: int) -> tuple[str, frozenset[str]]:
    """Run one seed; return its digest and the kinds of records that occurred."""
    cluster = GoldenCluster(seed)
    return cluster.play(), frozenset(cluster.seen)


@pytest.mark.parametrize("seed", SEEDS)
def test_cluster_sends_and_decides_as_recorded(seed):
    assert run_seed(seed)[0] == json.loads(DIGESTS.read_text())[f"cluster {seed}"]


@pytest.mark.parametrize("seed", REPLAY_SEEDS)
def test_replay_protection_decides_as_recorded(seed):
    assert play_replay_protection(seed) == json.loads(DIGESTS.read_text())[f"replay {seed}"]


def test_seeds_cover_every_kind_of_message_and_record():
    recorded: set[str] = set()
    for seed in SEEDS:
        recorded |= run_seed(seed)[1]
    kinds = {f"datagram {tag}" for tag in (PING, PING_REQUEST, ACK, NACK, UPDATES)}
    assert recorded == kinds | {"frame", "sync", "stream ping", "event", "due", "members"}


if __name__ == "__main__":
    digests = {f"cluster {seed}": run_seed(seed)[0] for seed in SEEDS}
    digests |= {f"replay {seed}": play_replay_protection(seed) for seed in REPLAY_SEEDS}
    print(json.dumps(digests, indent=1))
