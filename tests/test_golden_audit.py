"""Golden findings of the audit: the same records give the findings whose digests were recorded.

`python -m tests.test_golden_audit` prints the digests of the current code, to record them again after an
intended change of behaviour.
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path

import pytest

from sedgepitch.audit.findings import ClassGuarantees, RuleParameters
from sedgepitch.audit.rules import audit
from tests.support.golden_audit import RecordSource

DIGESTS = Path(__file__).parent / "golden" / "audit.json"
SEEDS = range(1, 21)
CLASSES = {
    "write": ClassGuarantees("write", 0.0, "unsafe", 0.0),
    "keyed": ClassGuarantees("write", 0.0, "keyed", 0.5),
    "fresh": ClassGuarantees("fresh", 0.0, "safe", 0.0),
    "session": ClassGuarantees("session", 0.0, "safe", 0.0),
    "bounded": ClassGuarantees("bounded", 0.5, "safe", 0.0),
    "any": ClassGuarantees("any", 0.0, "safe", 0.0),
}
PARAMETERS = RuleParameters(0.5, 0.4, 1.0, 0.2, 3.0, 0.05)


def findings(seed: int) -> list[dict]:
    """Return the audit's findings on the records of one seed."""
    return [finding.as_dict() for finding in audit(RecordSource(seed).make(), CLASSES, PARAMETERS)]


def digest(seed: int) -> str:
    """Return the digest of the findings on one seed."""
    return hashlib.sha256(json.dumps(findings(seed)).encode()).hexdigest()


@pytest.mark.parametrize("seed", SEEDS)
def test_findings_match_the_recorded_digest(seed):
    assert digest(seed) == json.loads(DIGESTS.read_text())[str(seed)]


def test_records_comply_with_and_violate_every_rule():
    violated = {row["rule"] for seed in SEEDS for row in findings(seed) if row["broken"]}
    complied = {row["rule"] for seed in SEEDS for row in findings(seed) if row["checked"] > row["broken"]}
    assert violated == complied == {1, 2, 3, 4, 5}


if __name__ == "__main__":
    print(json.dumps({str(seed): digest(seed) for seed in SEEDS}, indent=1))
