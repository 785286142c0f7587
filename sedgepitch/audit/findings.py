"""The guarantees and parameters that the rules are checked against, and the findings."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

VIOLATIONS_SHOWN_MAX = 20  # texts kept for each rule; further violations are only counted


@dataclass(slots=True, frozen=True)
class ClassGuarantees:
    """The guarantees of one request class, with the values that the settings use; times in seconds."""

    freshness: str  # write, fresh, session, bounded, any
    max_staleness: float
    idempotency: str  # safe, keyed, unsafe
    deduplication_window: float


@dataclass(slots=True, frozen=True)
class RuleParameters:
    """The limits that the rules state; times in seconds."""

    drain_grace: float
    overload_factor: float
    overload_time: float
    start_capacity: float  # share of its full capacity that a server has when it starts
    warm_within: float
    slack: float = 0.25  # tolerance for records that were written late; only ever relaxes a check


@dataclass(slots=True)
class Finding:
    """The result of one rule: number of cases checked, number of violations, and their texts."""

    rule: int
    name: str
    checked: int = 0
    broken: int = 0
    violations: list[str] = field(default_factory=list)  # the first VIOLATIONS_SHOWN_MAX

    def passed(self, count: int = 1) -> None:
        """Count cases that comply with the rule."""
        self.checked += count

    def failed(self, violation: str) -> None:
        """Count a case that violates the rule."""
        self.checked += 1
        self.broken += 1
        if len(self.violations) < VIOLATIONS_SHOWN_MAX:
            self.violations.append(violation)

    def as_dict(self) -> dict[str, Any]:
        """Return the finding as written to a report."""
        return {
            "rule": self.rule,
            "name": self.name,
            "checked": self.checked,
            "broken": self.broken,
            "told": self.violations,
        }
