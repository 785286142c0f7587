"""The limits the operators set on the decision module."""

from __future__ import annotations

from pathlib import Path

POLICY = Path(__file__).parent.parent / "sedgepitch" / "policy.py"


def test_policy_stays_short_enough_to_read_at_night():
    lines = POLICY.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 800
    assert max(map(len, lines)) <= 110
