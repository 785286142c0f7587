"""Golden emulated servers: each seed gives the same bytes and records as when the digests were recorded.

`python -m tests.test_golden_emulator` prints the digests of the current code, to record them again after an
intended change of behaviour.
"""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import pytest

from tests.support.golden_emulator import EmulatorSimulation

DIGESTS = Path(__file__).parent / "golden" / "emulator.json"
SEEDS = range(1, 21)


@pytest.mark.parametrize("seed", SEEDS)
def test_emulated_servers_reproduce_recorded_digests(seed, tmp_path):
    assert EmulatorSimulation(seed, tmp_path / "record").run() == json.loads(DIGESTS.read_text())[str(seed)]


def compute_digests() -> dict[str, str]:
    """Return the digests of all seeds."""
    with tempfile.TemporaryDirectory() as folder:
        return {str(seed): EmulatorSimulation(seed, Path(folder) / str(seed)).run() for seed in SEEDS}


if __name__ == "__main__":
    print(json.dumps(compute_digests(), indent=1))
