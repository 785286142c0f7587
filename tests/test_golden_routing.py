"""Golden decisions of the router: the same seed gives the same bytes as when the digests were recorded.

`python -m tests.test_golden_routing` prints the digests of the present code, to record them anew where a
change of behaviour is meant.
"""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import pytest

from tests.support.golden_fleet import GoldenFleet

DIGESTS = Path(__file__).parent / "golden" / "routing.json"
SEEDS = range(1, 31)
LONG_SEEDS = (10, 20, 30)  # long enough that endpoints which left the list are forgotten
LONG_S = 90.0


def play(seed: int) -> str:
    """Play one seed; returns the digest of what the router printed."""
    return (GoldenFleet(seed, LONG_S) if seed in LONG_SEEDS else GoldenFleet(seed)).play()


@pytest.mark.parametrize("seed", SEEDS)
def test_the_router_decides_as_recorded(seed):
    assert play(seed) == json.loads(DIGESTS.read_text())[str(seed)]


def test_the_seeds_ask_for_every_kind_of_action():
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
