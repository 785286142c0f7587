"""What the rules are checked against, and what comes of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

VIOLATIONS_SHOWN_MAX = 20  # in words, for each rule


@dataclass(slots=True, frozen=True)
class ClassGuarantees:
    """What a class promises, in the words of the settings; times in seconds."""

    freshness: str  # write, fresh, session, bounded, any
    max_staleness: float
    idempotency: str  # safe, keyed, unsafe
    deduplication_window: float


@dataclass(slots=True, frozen=True)
class RuleParameters:
    """The parameters of the rules; times in seconds."""

    drain_grace: float
    overload_factor: float
    overload_time: float
    start_capacity: float  # share of its capacity that a server has when it starts
    warm_within: float
    slack: float = 0.25  # for records that were written late; always in the proxy's favour


@dataclass(slots=True)
class Finding:
    """One rule: on how many cases it was checked, and how it was broken."""

    rule: int
    name: str
    checked: int = 0
    broken: int = 0
    violations: list[str] = field(default_factory=list)  # the first ones in words

    def passed(self, count: int = 1) -> None:
        """Count cases that kept the rule."""
        self.checked += count

    def failed(self, violation: str) -> None:
        """Count a case that broke the rule."""
        self.checked += 1
        self.broken += 1
        if len(self.violations) < VIOLATIONS_SHOWN_MAX:
            self.violations.append(violation)

    def as_dict(self) -> dict[str, Any]:
        """Return it for a report."""
        return {
            "rule": self.rule,
            "name": self.name,
            "checked": self.checked,
            "broken": self.broken,
            "told": self.violations,
        }
