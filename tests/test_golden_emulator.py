"""Golden emulated servers: the same seed gives the same bytes and records as when the digests were recorded.

`python -m tests.test_golden_emulator` prints the digests of the present code, to record them anew where a
change of behaviour is meant.
"""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import pytest

from tests.support.golden_emulator import EmulatorPlay

DIGESTS = Path(__file__).parent / "golden" / "emulator.json"
SEEDS = range(1, 21)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_servers_write_what_was_recorded(seed, tmp_path):
    assert EmulatorPlay(seed, tmp_path / "record").run() == json.loads(DIGESTS.read_text())[str(seed)]


def play_all() -> dict[str, str]:
    """Return the digests of all seeds."""
    with tempfile.TemporaryDirectory() as folder:
        return {str(seed): EmulatorPlay(seed, Path(folder) / str(seed)).run() for seed in SEEDS}


if __name__ == "__main__":
    print(json.dumps(play_all(), indent=1))
