"""Translates settings, as the platform and the simulator provide them, to the router's own types.

All callers share this translation, so the terms of the wire format stay in it. It uses only the standard
library, because the simulator's adapter imports it.
"""

from __future__ import annotations

import math
from typing import Any, TypeVar

from sedgepitch.errors import ConfigurationError
from sedgepitch.routing import messages as api

T = TypeVar("T")
Wire = dict[str, Any]
"""A decoded JSON object from the wire or from a settings file."""

FRESHNESS = {
    "mutate": api.Freshness.WRITE,
    "strong": api.Freshness.FRESH,
    "causal": api.Freshness.SESSION,
    "lag_bound": api.Freshness.BOUNDED,
    "eventual": api.Freshness.ANY,
}
IDEMPOTENCY = {
    "idempotent": api.Idempotency.IDEMPOTENT,
    "deduplicated": api.Idempotency.KEYED,
    "at_most_once": api.Idempotency.NONE,
}
DEDUPLICATION_SCOPE = {"all": api.DeduplicationScope.ALL, "cell": api.DeduplicationScope.CELL}
STALE_READ_HANDLING = {
    "silent": api.StaleReadHandling.SERVE,
    "bounce": api.StaleReadHandling.REJECT,
    "await": api.StaleReadHandling.WAIT,
}
SESSION_TRACKING = {"brought": api.SessionTracking.BY_CLIENT, "kept": api.SessionTracking.BY_PROXY}
PRIMARY_ROLE_MIN = 0.5  # a reported role is a number: 1 for a primary, 0 for a replica


class InvalidInputError(ConfigurationError):
    """Invalid settings or an invalid line on the wire; the message says where and why."""


def read_required(source: Wire, name: str, kind: type[T], where: str) -> T:
    """Return a required field of type `kind`; raises InvalidInputError."""
    if name not in source:
        raise InvalidInputError(f"{where}: field '{name}' is missing")
    value = source[name]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise InvalidInputError(f"{where}: field '{name}' has the wrong type")
    return value


def read_required_number(source: Wire, name: str, where: str) -> float:
    """Return a required number, integer or float; raises InvalidInputError."""
    value = source.get(name)
    return read_required(source, name, int if isinstance(value, int) else float, where)


def read_number(source: Wire, name: str, default: float, where: str, least: float = 0.0) -> float:
    """Return an optional number, finite and not below `least`; raises InvalidInputError."""
    value = source.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise InvalidInputError(f"{where}: field '{name}' is not a number")
    if value < least:
        raise InvalidInputError(f"{where}: field '{name}' is below {least:g}")
    return float(value)


def read_flag(source: Wire, name: str, where: str) -> bool:
    """Return an optional boolean, false if it is missing; raises InvalidInputError."""
    value = source.get(name)
    if value is not None and not isinstance(value, bool):
        raise InvalidInputError(f"{where}: field '{name}' is neither true nor false")
    return bool(value)


def read_object(source: Wire, name: str) -> Wire:
    """Return a section of the settings, empty if it is missing; raises InvalidInputError."""
    value = source.get(name)
    if value is not None and not isinstance(value, dict):
        raise InvalidInputError(f"setup.{name}: not an object")
    return value or {}


def read_word(table: dict[str, T], value: object, where: str, default: T | None = None) -> T:
    """Return the value that the table has for a word on the wire, or `default` for an unknown word.

    Raises InvalidInputError for a value that is not a string, and for an unknown word without a default.
    """
    if not isinstance(value, str):
        raise InvalidInputError(f"{where} is not a word")
    if value in table:
        return table[value]
    if default is None:
        raise InvalidInputError(f"{where} has an unknown value")
    return default


def translate_class(raw: object, freshness: object, max_staleness: float, where: str) -> api.RequestClass:
    """Translate one request class; raises InvalidInputError."""
    if not isinstance(raw, dict):
        raise InvalidInputError(f"{where}: not an object")
    latency_objective = read_required_number(raw, "objectiveS", where)
    deadline = read_required_number(raw, "deadlineS", where)
    for name, value in (("objectiveS", latency_objective), ("deadlineS", deadline)):
        if not 0.0 < value < math.inf:
            raise InvalidInputError(f"{where}: field '{name}' must be a number above 0")
    return api.RequestClass(
        name=read_required(raw, "name", str, where),
        latency_objective=latency_objective,
        deadline=deadline,
        priority_weight=read_number(raw, "importance", 1.0, where),
        late_priority_weight=read_number(raw, "lateWorth", 0.0, where),
        idempotency=read_word(
            IDEMPOTENCY, read_required(raw, "effect", str, where), f"{where}: field 'effect'"
        ),
        deduplication_scope=read_word(
            DEDUPLICATION_SCOPE,
            raw.get("keyScope") or "cell",
            f"{where}: field 'keyScope'",
            api.DeduplicationScope.CELL,
        ),
        deduplication_window=read_number(raw, "windowS", 0.0, where),
        freshness=read_word(FRESHNESS, freshness, "setup.specifics: field 'freshness'"),
        max_staleness=max_staleness,
    )


def translate_classes(raw: Wire, specifics: Wire) -> tuple[api.RequestClass, ...]:
    """Translate all request classes; raises InvalidInputError.

    Their freshness and maximum staleness come from parallel lists in `specifics`.
    """
    classes = read_required(raw, "classes", list, "setup")
    kinds = specifics.get("freshness", ["mutate"] * len(classes))
    ages = specifics.get("maxAgeS", [0.0] * len(classes))
    if not isinstance(kinds, list) or not isinstance(ages, list):
        raise InvalidInputError("setup.specifics: 'freshness' and 'maxAgeS' must be lists")
    if len(kinds) != len(classes) or len(ages) != len(classes):
        raise InvalidInputError("setup.specifics: 'freshness' and 'maxAgeS' must match the classes")
    translated = []
    for index, (raw_class, kind, age) in enumerate(zip(classes, kinds, ages, strict=True)):
        max_staleness = read_number({"maxAgeS": age}, "maxAgeS", 0.0, "setup.specifics")
        translated.append(translate_class(raw_class, kind, max_staleness, f"setup.classes[{index}]"))
    if len({c.name for c in translated}) != len(translated):
        raise InvalidInputError("setup.classes: two classes of one name")
    return tuple(translated)


def translate_rules(rules: Wire) -> api.RuleLimits:
    """Translate the limits of the rules; raises InvalidInputError."""
    where = "setup.rules"
    return api.RuleLimits(
        answer_slack=read_number(rules, "answerSlackS", 0.0, where),
        drain_grace=read_number(rules, "drainGraceS", 0.0, where),
        overload_factor=read_number(rules, "overloadFactor", 1.0, where),
        overload_duration=read_number(rules, "fallS", 1.0, where),
        initial_capacity=read_number(rules, "startCapacity", 1.0, where),
        slow_start_window=read_number(rules, "warmWithinS", 0.0, where),
        max_poll_interval=read_number(rules, "askWithinS", 0.0, where),
    )


def translate_settings(raw: Wire) -> api.Settings:
    """Translate the settings passed at start-up; raises InvalidInputError, which names the field.

    Unknown fields are ignored. An unknown word in `keyScope`, `behind` or `sessionMarks` is read as the
    strictest value of the field; in `effect` or `freshness` it is an error.
    """
    specifics, limits = read_object(raw, "specifics"), read_object(raw, "limits")
    rules, stats = read_object(raw, "rules"), read_object(raw, "stats")
    classes = translate_classes(raw, specifics)
    report_fields = stats.get("fields") or ()
    if not isinstance(report_fields, list | tuple):
        raise InvalidInputError("setup.stats: field 'fields' is not a list")
    return api.Settings(
        classes=classes,
        zone=str(raw.get("az", "")),
        tick=read_number(raw, "tickS", 0.001, "setup"),
        proxy_instances=int(read_number(raw, "groupSize", 1, "setup")),
        rules=translate_rules(rules),
        stale_read_handling=read_word(
            STALE_READ_HANDLING,
            specifics.get("behind") or "silent",
            "setup.specifics: field 'behind'",
            api.StaleReadHandling.SERVE,
        ),
        session_tracking=read_word(
            SESSION_TRACKING,
            specifics.get("sessionMarks") or "brought",
            "setup.specifics: field 'sessionMarks'",
            api.SessionTracking.BY_CLIENT,
        ),
        stale_read_wait=read_number(specifics, "patienceS", 0.0, "setup.specifics"),
        subscription_required=raw.get("registryMode") == "subscribe",
        health_checks=read_flag(limits, "probes", "setup.limits"),
        load_reports_in_answers=stats.get("how") == "piggyback",
        reports_position=stats.get("how") != "silent" and "x0" in report_fields,
        list_reports_primary=specifics.get("roleInList", "silent") != "silent",
        max_attempts=int(read_number(limits, "mostTries", 1, "setup.limits", 1)),
        hedging=read_flag(limits, "secondCopies", "setup.limits"),
        cancel=read_flag(limits, "cancel", "setup.limits"),
        retry_after=read_flag(limits, "retryAfter", "setup.limits"),
        max_retry_after=read_number(limits, "maxRetryAfterS", 0.0, "setup.limits"),
    )


def translate_load_report(raw: object, counted_from: float = 0.0) -> api.LoadReport | None:
    """Translate a load report; return None if there is none.

    `counted_from` is the origin of its position, in seconds on the proxy's clock.
    """
    if not isinstance(raw, dict) or not raw:
        return None
    position, primary = raw.get("x0"), raw.get("x1")
    return api.LoadReport(
        position=None if position is None else counted_from + position,
        primary=None if primary is None else primary >= PRIMARY_ROLE_MIN,
        load=raw.get("inflight", raw.get("queue")),
    )
