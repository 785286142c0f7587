"""Golden runs of the engine: each seed gives the same digest as when the digests were recorded.

`python -m tests.test_golden_engine` prints the digests of the current code, to record them again after an
intended change of behaviour.
"""

from __future__ import annotations

import json
from collections import Counter
from functools import cache
from pathlib import Path

import pytest

from tests.support.golden_engine import EngineSimulation

DIGESTS = Path(__file__).parent / "golden" / "engine.json"
SEEDS = range(1, 25)


@cache
def run_seed(seed: int) -> EngineSimulation:
    """Run one seed; the result is cached."""
    simulation = EngineSimulation(seed)
    simulation.play()
    return simulation


@pytest.mark.parametrize("seed", SEEDS)
def test_the_engine_matches_the_recorded_digest(seed):
    assert run_seed(seed).digest.hash.hexdigest() == json.loads(DIGESTS.read_text())[str(seed)]


def test_the_seeds_cover_every_kind_of_event():
    kinds: Counter[str] = Counter()
    counters: Counter[str] = Counter()
    for seed in SEEDS:
        kinds.update(run_seed(seed).digest.kinds)
        engine = run_seed(seed).engine
        for name in ("answered_early", "rejected_for_lag", "rejected_for_load"):
            counters[name] += getattr(engine, name)
        counters["callback errors"] += engine.callbacks.errors
    assert {"answer", "abandon", "withdraw", "fault", "probe", "observer ended", "sticky"} <= set(kinds)
    assert len(+counters) == 4, counters


if __name__ == "__main__":
    print(json.dumps({str(seed): run_seed(seed).digest.hash.hexdigest() for seed in SEEDS}, indent=1))
