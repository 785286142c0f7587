"""Golden traffic of both protocols: each seed produces the bytes whose digest was recorded.

`python -m tests.test_golden_protocols` prints the digests of the current code, to update the recorded ones
after an intended change of behaviour.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tests.support.golden_mongodb import MongodbSimulation
from tests.support.golden_postgresql import PostgresqlSimulation
from tests.support.golden_protocols import ProtocolSimulation

DIGESTS = Path(__file__).parent / "golden" / "protocols.json"
SEEDS = range(1, 21)
PLAYS: dict[str, type[ProtocolSimulation]] = {
    "mongodb": MongodbSimulation,
    "postgresql": PostgresqlSimulation,
}


def recorded() -> dict[str, dict[str, str]]:
    """Return the recorded digests by protocol and seed."""
    return json.loads(DIGESTS.read_text())


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("protocol", PLAYS)
def test_the_traffic_matches_the_recorded_digest(protocol, seed):
    assert PLAYS[protocol](seed).run() == recorded()[protocol][str(seed)]


if __name__ == "__main__":
    print(
        json.dumps({name: {str(s): play(s).run() for s in SEEDS} for name, play in PLAYS.items()}, indent=1)
    )
