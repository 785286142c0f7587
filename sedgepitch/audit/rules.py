"""The audit: all five rules, checked from records only.

It depends on the text of the rules and not on how a proxy implements them. A busy process may write a record
late; such times get a tolerance of `slack` in the proxy's favour, and no more.
"""

from __future__ import annotations

from collections.abc import Iterable

from sedgepitch.audit import (
    rule_draining,
    rule_no_duplicate_effect,
    rule_no_stale_read,
    rule_one_answer,
    rule_slow_start,
)
from sedgepitch.audit.findings import ClassGuarantees, Finding, RuleParameters
from sedgepitch.audit.record_index import RecordIndex
from sedgepitch.audit.records import Record


def audit(
    records: Iterable[Record], classes: dict[str, ClassGuarantees], parameters: RuleParameters
) -> list[Finding]:
    """Check all five rules; `records` must be in order of time."""
    index = RecordIndex(records)
    return [
        rule_one_answer.check(index, parameters),
        rule_no_duplicate_effect.check(index, classes, parameters),
        rule_draining.check(index, parameters),
        rule_slow_start.check(index, parameters),
        rule_no_stale_read.check(index, classes, parameters),
    ]
