"""Golden zone decisions: each seed gives the recorded digests, votes, states and weights.

`python -m tests.test_golden_zones` prints the digests of the current code, to record them after an intended
change of behaviour.
"""

from __future__ import annotations

import json
from functools import cache
from pathlib import Path

import pytest

from tests.support.golden_zones import GoldenZones, play_bounds

DIGESTS = Path(__file__).parent / "golden" / "zones.json"
SEEDS = range(1, 13)
BOUNDS_SEEDS = range(1, 5)


@cache
def run_seed(seed: int) -> tuple[str, frozenset[str]]:
    """Run one seed; return its digest and the kinds of records that occurred."""
    zones = GoldenZones(seed)
    return zones.play(), frozenset(zones.seen)


@pytest.mark.parametrize("seed", SEEDS)
def test_zone_decisions_are_as_recorded(seed):
    assert run_seed(seed)[0] == json.loads(DIGESTS.read_text())[f"zones {seed}"]


@pytest.mark.parametrize("seed", BOUNDS_SEEDS)
def test_digests_are_truncated_and_rejected_as_recorded(seed):
    assert play_bounds(seed) == json.loads(DIGESTS.read_text())[f"bounds {seed}"]


def test_seeds_reach_every_state_and_verdict():
    recorded: set[str] = set()
    for seed in SEEDS:
        recorded |= run_seed(seed)[1]
    assert {"normal", "suspected", "leaving", "left", "returning"} <= recorded
    assert {"verdict 1", "verdict 2", "verdict 3", "verdict 4"} <= recorded


if __name__ == "__main__":
    digests = {f"zones {seed}": run_seed(seed)[0] for seed in SEEDS}
    digests |= {f"bounds {seed}": play_bounds(seed) for seed in BOUNDS_SEEDS}
    print(json.dumps(digests, indent=1))
