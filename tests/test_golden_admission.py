"""Golden decisions of admission: the same seed gives the same decisions as when the digests were recorded.

`python -m tests.test_golden_admission` prints the digests of the present code, to record them anew where a
change of behaviour is meant.
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
def played(seed: int) -> AdmissionSimulation:
    """Play one seed against the controller, once."""
    controller = AdmissionSimulation(seed)
    controller.play()
    return controller


def play(seed: int) -> dict[str, str]:
    """Return the digest of the controller's decisions, and one of each limit by itself."""
    return {"controller": played(seed).digest.hash.hexdigest(), **play_limits(seed)}


@pytest.mark.parametrize("seed", SEEDS)
def test_admission_decides_as_recorded(seed):
    assert play(seed) == json.loads(DIGESTS.read_text())[str(seed)]


def test_the_seeds_meet_every_decision_and_every_reason():
    kinds: Counter[str] = Counter()
    reasons: set[str] = set()
    for seed in SEEDS:
        kinds.update(played(seed).digest.kinds)
        reasons.update(played(seed).digest.reasons)
    assert {"admit", "reject", "promise", "left"} <= set(kinds)
    assert len(reasons) == 5, sorted(reasons)


if __name__ == "__main__":
    print(json.dumps({str(seed): play(seed) for seed in SEEDS}, indent=1))
