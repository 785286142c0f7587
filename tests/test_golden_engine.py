"""Golden runs of the engine: the same seed does the same as when the digests were recorded.

`python -m tests.test_golden_engine` prints the digests of the present code, to record them anew where a
change of behaviour is meant.
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
def played(seed: int) -> EngineSimulation:
    """Play one seed, once."""
    engine_play = EngineSimulation(seed)
    engine_play.play()
    return engine_play


@pytest.mark.parametrize("seed", SEEDS)
def test_the_engine_does_as_recorded(seed):
    assert played(seed).digest.hash.hexdigest() == json.loads(DIGESTS.read_text())[str(seed)]


def test_the_seeds_meet_every_kind_of_event():
    kinds: Counter[str] = Counter()
    counters: Counter[str] = Counter()
    for seed in SEEDS:
        kinds.update(played(seed).digest.kinds)
        engine = played(seed).engine
        for name in ("answered_early", "rejected_for_lag", "rejected_for_load"):
            counters[name] += getattr(engine, name)
        counters["callback errors"] += engine.callbacks.errors
    assert {"answer", "abandon", "withdraw", "fault", "probe", "observer ended", "sticky"} <= set(kinds)
    assert len(+counters) == 4, counters


if __name__ == "__main__":
    print(json.dumps({str(seed): played(seed).digest.hash.hexdigest() for seed in SEEDS}, indent=1))
