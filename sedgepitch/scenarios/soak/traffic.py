"""Request classes of a soak, the proxy settings for them, and the guarantees that the audit checks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sedgepitch.audit.findings import ClassGuarantees, RuleParameters

MAX_STALENESS_S = 1.0
DEDUPLICATION_WINDOW_S = 10.0
DRAIN_GRACE_S = 0.5
LATE_ANSWER_S = 0.5  # past its deadline, before a request counts as lost
CONNECT_TIMEOUT_S = 1.0
IDLE_CLOSE_S = 60.0
MAX_RETRY_AFTER_S = 2.0


@dataclass(slots=True, frozen=True)
class TrafficClass:
    """One request class. `deadline_share` is its deadline as a share of the longest deadline of the run."""

    name: str
    weight: float  # relative share of the traffic
    writes: bool
    effect: str
    freshness: str
    idempotency: str  # in the audit's terms, as is audited_freshness
    audited_freshness: str
    deadline_share: float


CLASSES = (
    TrafficClass("look", 5.0, False, "idempotent", "eventual", "safe", "any", 0.4),
    TrafficClass("recent", 3.0, False, "idempotent", "lag_bound", "safe", "bounded", 0.4),
    TrafficClass("change", 2.0, True, "deduplicated", "mutate", "keyed", "write", 1.0),
    TrafficClass("once", 1.0, True, "at_most_once", "mutate", "unsafe", "write", 0.6),
)


def class_settings(longest_deadline: float) -> list[dict[str, Any]]:
    """Return the classes in the form of the platform's settings."""
    rows = []
    for cls in CLASSES:
        deadline = cls.deadline_share * longest_deadline
        row = {"name": cls.name, "objectiveS": deadline / 2.0, "deadlineS": deadline, "effect": cls.effect}
        if cls.effect == "deduplicated":
            row |= {"keyScope": "cell", "windowS": DEDUPLICATION_WINDOW_S}
        rows.append(row)
    return rows


def platform_settings(longest_deadline: float) -> dict[str, Any]:
    """Return the settings of the proxy."""
    return {
        "az": "a",
        "classes": class_settings(longest_deadline),
        "specifics": {
            "freshness": [cls.freshness for cls in CLASSES],
            "maxAgeS": [MAX_STALENESS_S if cls.freshness == "lag_bound" else 0 for cls in CLASSES],
            "sessionMarks": "brought",
            "roleInList": "trailing",
        },
        "limits": {
            "mostTries": 4,
            "probes": True,
            "secondCopies": True,
            "cancel": True,
            "retryAfter": True,
            "maxRetryAfterS": MAX_RETRY_AFTER_S,
            "connectTimeoutS": CONNECT_TIMEOUT_S,
            "idleCloseS": IDLE_CLOSE_S,
        },
        "stats": {"how": "piggyback", "fields": ["x0", "x1", "queue"]},
        "registryMode": "automatic",
        "rules": {"drainGraceS": DRAIN_GRACE_S, "startCapacity": 0.5, "warmWithinS": 0.0},
    }


def guarantees() -> dict[str, ClassGuarantees]:
    """Return the guarantees of each class that the audit checks."""
    return {
        cls.name: ClassGuarantees(
            cls.audited_freshness, MAX_STALENESS_S, cls.idempotency, DEDUPLICATION_WINDOW_S
        )
        for cls in CLASSES
    }


def rule_parameters(own_delay: float) -> RuleParameters:
    """Return the audit's parameters; `own_delay` is the longest event loop lag of the soak itself, in s."""
    return RuleParameters(
        drain_grace=DRAIN_GRACE_S,
        overload_factor=1.0,
        overload_time=1.0,
        start_capacity=0.5,
        warm_within=0.0,
        slack=LATE_ANSWER_S + own_delay,
    )
