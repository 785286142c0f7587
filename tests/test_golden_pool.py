"""Golden runs of the connection pool: each seed gives the same digest as when the digests were recorded.

`python -m tests.test_golden_pool` prints the digests of the current code, to record them again after an
intended change of behaviour.
"""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import pytest

from tests.support.golden_pool import PoolSimulation

DIGESTS = Path(__file__).parent / "golden" / "connection_pool.json"
SEEDS = range(1, 41)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_pool_matches_the_recorded_digest(seed):
    assert PoolSimulation(seed).play() == json.loads(DIGESTS.read_text())[str(seed)]


def test_the_seeds_cover_every_kind_of_event():
    kinds: Counter[str] = Counter()
    for seed in SEEDS:
        simulation = PoolSimulation(seed)
        simulation.play()
        kinds.update(simulation.digest.kinds)
    assert set(kinds) == {"pool", "start", "give up", "close", "closed", "judge", "ended", "withdraw"}


if __name__ == "__main__":
    print(json.dumps({str(seed): PoolSimulation(seed).play() for seed in SEEDS}, indent=1))
