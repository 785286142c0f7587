"""Golden digests of discovery and client connections: a seed gives the same text as when they were recorded.

`python -m tests.test_golden_discovery` prints the digests of the current code, to record them again after an
intended change of behaviour.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tests.support.golden_discovery import play

DIGESTS = Path(__file__).parent / "golden" / "discovery.json"
SEEDS = range(1, 25)


@pytest.mark.parametrize("seed", SEEDS)
def test_discovery_and_connection_decisions_match_the_golden_digests(seed):
    assert play(seed).digest() == json.loads(DIGESTS.read_text())[str(seed)]


def test_the_seeds_cover_every_kind_of_decision():
    kinds = set().union(*(play(seed).kinds for seed in (1, 2, 3, 4, 5, 6)))
    assert kinds >= {
        "closed-by-heartbeat", "moved", "closed-by-opening", "not-newer", "update", "forgotten",
        "bytes", "incomplete", "request", "idle", "blocked", "unblocked", "closed", "room", "overdue",
        "accept", "connect", "schedule", "over", "version", "malformed-object", "malformed-stream",
    }  # fmt: skip


if __name__ == "__main__":
    print(json.dumps({str(seed): play(seed).digest() for seed in SEEDS}, indent=1))
