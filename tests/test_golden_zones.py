"""Golden zone decisions: the same seed gives the same digests, votes, states and weights as when recorded.

`python -m tests.test_golden_zones` prints the digests of the present code, to record them anew where a change
of behaviour is meant.
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
def played(seed: int) -> tuple[str, frozenset[str]]:
    """Play one seed; returns its digest, and what was recorded at least once."""
    zones = GoldenZones(seed)
    return zones.play(), frozenset(zones.seen)


@pytest.mark.parametrize("seed", SEEDS)
def test_zones_are_judged_as_recorded(seed):
    assert played(seed)[0] == json.loads(DIGESTS.read_text())[f"zones {seed}"]


@pytest.mark.parametrize("seed", BOUNDS_SEEDS)
def test_digests_are_cut_and_refused_as_recorded(seed):
    assert play_bounds(seed) == json.loads(DIGESTS.read_text())[f"bounds {seed}"]


def test_the_seeds_reach_every_state_and_verdict():
    seen: set[str] = set()
    for seed in SEEDS:
        seen |= played(seed)[1]
    assert {"normal", "suspected", "leaving", "left", "returning"} <= seen
    assert {"verdict 1", "verdict 2", "verdict 3", "verdict 4"} <= seen


if __name__ == "__main__":
    digests = {f"zones {seed}": played(seed)[0] for seed in SEEDS}
    digests |= {f"bounds {seed}": play_bounds(seed) for seed in BOUNDS_SEEDS}
    print(json.dumps(digests, indent=1))
