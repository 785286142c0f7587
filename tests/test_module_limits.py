"""The limits the operators set on the decision module."""

from __future__ import annotations

from pathlib import Path

ROUTER = Path(__file__).parent.parent / "sedgepitch" / "routing" / "router.py"


def test_policy_stays_short_enough_to_read_at_night():
    lines = ROUTER.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 800
    assert max(map(len, lines)) <= 110
