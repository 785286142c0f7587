"""The stated settings, as the platform and the simulator give them, to the module's own types.

One translation for every way in. Standard library only: the bench's adapter uses it.
"""

from __future__ import annotations

import math
from typing import Any

from sedgepitch.routing import messages as api

Wire = dict[str, Any]

FRESHNESS = {
    "mutate": api.Freshness.WRITE,
    "strong": api.Freshness.FRESH,
    "causal": api.Freshness.SESSION,
    "lag_bound": api.Freshness.BOUNDED,
    "eventual": api.Freshness.ANY,
}
EFFECT = {
    "idempotent": api.Idempotency.IDEMPOTENT,
    "deduplicated": api.Idempotency.KEYED,
    "at_most_once": api.Idempotency.NONE,
}
SCOPE = {"all": api.DeduplicationScope.ALL, "cell": api.DeduplicationScope.CELL}
CHECKS = {
    "silent": api.StaleReadHandling.SERVE,
    "bounce": api.StaleReadHandling.REJECT,
    "await": api.StaleReadHandling.WAIT,
}
MARKS = {"brought": api.SessionTracking.BY_CLIENT, "kept": api.SessionTracking.BY_PROXY}

NUMBER = (int, float)


class BadSettings(Exception):
    """The input cannot be used; the text says where and why."""


def take(source: Wire, name: str, kind: type | tuple[type, ...], where: str) -> Any:
    """Return a required field; raises BadSettings, which says plainly what is wrong with it."""
    if name not in source:
        raise BadSettings(f"{where}: field '{name}' is missing")
    value = source[name]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise BadSettings(f"{where}: field '{name}' has the wrong type")
    return value


def number(source: Wire, name: str, default: float, where: str, least: float = 0.0) -> float:
    """Return a field that may be missing: a finite number of at least so much; raises BadSettings."""
    value = source.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, NUMBER) or not math.isfinite(value):
        raise BadSettings(f"{where}: field '{name}' is not a number")
    if value < least:
        raise BadSettings(f"{where}: field '{name}' is below {least:g}")
    return float(value)


def flag(source: Wire, name: str, where: str) -> bool:
    """Return a field that may be missing and is true or false; raises BadSettings."""
    value = source.get(name)
    if value is not None and not isinstance(value, bool):
        raise BadSettings(f"{where}: field '{name}' is neither true nor false")
    return bool(value)


def part(source: Wire, name: str) -> Wire:
    """Return a part of the settings, empty where it is missing; raises BadSettings."""
    value = source.get(name)
    if value is not None and not isinstance(value, dict):
        raise BadSettings(f"setup.{name}: not an object")
    return value or {}


def known(table: dict[str, Any], value: Any, where: str, other: Any = None) -> Any:
    """Return what a word means, `other` for one that is not known; raises BadSettings where there is none."""
    if not isinstance(value, str):
        raise BadSettings(f"{where} is not a word")
    if value not in table and other is not None:
        return other
    if value not in table:
        raise BadSettings(f"{where} has an unknown value")
    return table[value]


def translate_class(raw: Wire, freshness: str, max_staleness: float, where: str) -> api.RequestClass:
    """Turn one stated class into the policy's type; raises BadSettings."""
    if not isinstance(raw, dict):
        raise BadSettings(f"{where}: not an object")
    latency_objective, deadline = (take(raw, name, NUMBER, where) for name in ("objectiveS", "deadlineS"))
    for name, value in (("objectiveS", latency_objective), ("deadlineS", deadline)):
        if not 0.0 < value < math.inf:
            raise BadSettings(f"{where}: field '{name}' must be a number above 0")
    return api.RequestClass(
        name=take(raw, "name", str, where),
        latency_objective=latency_objective,
        deadline=deadline,
        priority_weight=number(raw, "importance", 1.0, where),
        late_priority_weight=number(raw, "lateWorth", 0.0, where),
        idempotency=known(EFFECT, take(raw, "effect", str, where), f"{where}: field 'effect'"),
        deduplication_scope=known(
            SCOPE, raw.get("keyScope") or "cell", f"{where}: field 'keyScope'", api.DeduplicationScope.CELL
        ),
        deduplication_window=number(raw, "windowS", 0.0, where),
        freshness=known(FRESHNESS, freshness, "setup.specifics: field 'freshness'"),
        max_staleness=max_staleness,
    )


def translate_settings(raw: Wire) -> api.Settings:
    """Turn the set-up message into the policy's settings; raises BadSettings, which names the field."""
    specifics, limits = part(raw, "specifics"), part(raw, "limits")
    rules, stats = part(raw, "rules"), part(raw, "stats")
    classes = take(raw, "classes", list, "setup")
    kinds = specifics.get("freshness", ["mutate"] * len(classes))
    ages = specifics.get("maxAgeS", [0.0] * len(classes))
    if not isinstance(kinds, list) or not isinstance(ages, list):
        raise BadSettings("setup.specifics: 'freshness' and 'maxAgeS' must be lists")
    if len(kinds) != len(classes) or len(ages) != len(classes):
        raise BadSettings("setup.specifics: 'freshness' and 'maxAgeS' must match the classes")
    translated = []
    for index, (stated, kind, age) in enumerate(zip(classes, kinds, ages, strict=True)):
        bound = number({"maxAgeS": age}, "maxAgeS", 0.0, "setup.specifics")
        translated.append(translate_class(stated, kind, bound, f"setup.classes[{index}]"))
    if len({c.name for c in translated}) != len(translated):
        raise BadSettings("setup.classes: two classes of one name")
    fields = stats.get("fields") or ()
    if not isinstance(fields, (list, tuple)):
        raise BadSettings("setup.stats: field 'fields' is not a list")
    behind, session_tracking = specifics.get("behind") or "silent", specifics.get("sessionMarks") or "brought"
    where, ours = "setup.rules", "setup.specifics: field"
    return api.Settings(
        classes=tuple(translated),
        zone=str(raw.get("az", "")),
        tick=number(raw, "tickS", 0.001, "setup"),
        proxy_instances=int(number(raw, "groupSize", 1, "setup")),
        rules=api.RuleLimits(
            answer_slack=number(rules, "answerSlackS", 0.0, where),
            drain_grace=number(rules, "drainGraceS", 0.0, where),
            overload_factor=number(rules, "overloadFactor", 1.0, where),
            overload_duration=number(rules, "fallS", 1.0, where),
            initial_capacity=number(rules, "startCapacity", 1.0, where),
            slow_start_window=number(rules, "warmWithinS", 0.0, where),
            max_poll_interval=number(rules, "askWithinS", 0.0, where),
        ),
        stale_read_handling=known(CHECKS, behind, f"{ours} 'behind'", api.StaleReadHandling.SERVE),
        session_tracking=known(
            MARKS, session_tracking, f"{ours} 'sessionMarks'", api.SessionTracking.BY_CLIENT
        ),
        stale_read_wait=number(specifics, "patienceS", 0.0, "setup.specifics"),
        subscription_required=raw.get("registryMode") == "subscribe",
        health_checks=flag(limits, "probes", "setup.limits"),
        load_reports_in_answers=stats.get("how") == "piggyback",
        reports_position=stats.get("how") != "silent" and "x0" in fields,
        list_reports_primary=specifics.get("roleInList", "silent") != "silent",
        max_attempts=int(number(limits, "mostTries", 1, "setup.limits", 1)),
        hedging=flag(limits, "secondCopies", "setup.limits"),
        cancel=flag(limits, "cancel", "setup.limits"),
        retry_after=flag(limits, "retryAfter", "setup.limits"),
        max_retry_after=number(limits, "maxRetryAfterS", 0.0, "setup.limits"),
    )


def report(raw: Any, zero: float = 0.0) -> api.LoadReport | None:
    """Turn a load report into the module's type; `zero` is what its position counts from, in seconds."""
    if not isinstance(raw, dict) or not raw:
        return None
    position, primary = raw.get("x0"), raw.get("x1")
    return api.LoadReport(
        position=None if position is None else zero + position,
        primary=None if primary is None else primary >= 0.5,
        load=raw.get("inflight", raw.get("queue")),
    )
