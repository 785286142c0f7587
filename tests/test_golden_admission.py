"""Golden digests of admission control: the same seed gives the same decisions as when they were recorded.

`python -m tests.test_golden_admission` prints the digests of the current code, to record them again after an
intended change of behaviour.
"""

from __future__ import annotations

import json
from collections import Counter
from functools import cache
from pathlib import Path

import pytest

from tests.support.golden_admission import AdmissionSimulation, play_limits

DIGESTS = Path(__file__).parent / "golden" / "admission.json"
SEEDS = range(1, 25)


@cache
def run_seed(seed: int) -> AdmissionSimulation:
    """Run one seed against the controller; the result is cached."""
    simulation = AdmissionSimulation(seed)
    simulation.play()
    return simulation


def play(seed: int) -> dict[str, str]:
    """Return the digest of the controller's decisions, and one of each limit on its own."""
    return {"controller": run_seed(seed).digest.hash.hexdigest(), **play_limits(seed)}


@pytest.mark.parametrize("seed", SEEDS)
def test_admission_decisions_match_the_golden_digests(seed):
    assert play(seed) == json.loads(DIGESTS.read_text())[str(seed)]


def test_the_seeds_cover_every_decision_and_rejection_reason():
    kinds: Counter[str] = Counter()
    reasons: set[str] = set()
    for seed in SEEDS:
        kinds.update(run_seed(seed).digest.kinds)
        reasons.update(run_seed(seed).digest.reasons)
    assert {"admit", "reject", "promise", "left"} <= set(kinds)
    assert len(reasons) == 5, sorted(reasons)


if __name__ == "__main__":
    print(json.dumps({str(seed): play(seed) for seed in SEEDS}, indent=1))
