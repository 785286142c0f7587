"""Golden tests of the router: each seed must give the same decisions as when its digest was recorded.

`python -m tests.test_golden_routing` prints the digests of the current code, to record them again after an
intended change of behaviour.
"""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import pytest

from tests.support.golden_fleet import GoldenFleet

DIGESTS = Path(__file__).parent / "golden" / "routing.json"
SEEDS = range(1, 31)
LONG_SEEDS = (10, 20, 30)  # these runs are long enough that endpoints which left the list are removed
LONG_S = 90.0


def play(seed: int) -> str:
    """Run one seed and return the digest of the router's decisions."""
    return (GoldenFleet(seed, LONG_S) if seed in LONG_SEEDS else GoldenFleet(seed)).play()


@pytest.mark.parametrize("seed", SEEDS)
def test_router_decides_as_recorded(seed):
    assert play(seed) == json.loads(DIGESTS.read_text())[str(seed)]


def test_seeds_cover_every_kind_of_action():
    seen: Counter[str] = Counter()
    for seed in SEEDS:
        fleet = GoldenFleet(seed, length_s=5.0)
        fleet.play()
        seen.update(fleet.actions)
    assert set(seen) == {
        "attempt", "refuse", "dropRequest", "probe", "shutIdle", "keepInformed", "remind",
    }  # fmt: skip


if __name__ == "__main__":
    print(json.dumps({str(seed): play(seed) for seed in SEEDS}, indent=1))
