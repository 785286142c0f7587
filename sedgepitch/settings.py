"""The stated settings, as the platform and the simulator give them, to the module's own types.

One translation for every way in. Standard library only: the bench's adapter uses it.
"""

from __future__ import annotations

from typing import Any

from sedgepitch import interface as api

Wire = dict[str, Any]

FRESHNESS = {
    "mutate": api.Freshness.WRITE,
    "strong": api.Freshness.FRESH,
    "causal": api.Freshness.SESSION,
    "lag_bound": api.Freshness.BOUNDED,
    "eventual": api.Freshness.ANY,
}
EFFECT = {
    "idempotent": api.Effect.SAFE,
    "deduplicated": api.Effect.KEYED,
    "at_most_once": api.Effect.UNSAFE,
}
CHECKS = {"silent": api.Checks.NONE, "bounce": api.Checks.BOUNCE, "await": api.Checks.AWAIT}
MARKS = {"brought": api.Marks.CARRIED, "kept": api.Marks.REMEMBERED}

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


def translate_class(raw: Wire, freshness: str, max_age: float) -> api.RequestClass:
    """Turn one stated class into the policy's type."""
    where = "setup.classes"
    effect, scope = take(raw, "effect", str, where), str(raw.get("keyScope", "cell"))
    if effect not in EFFECT:
        raise BadSettings(f"{where}: field 'effect' has an unknown value")
    if freshness not in FRESHNESS:
        raise BadSettings("setup.specifics: field 'freshness' has an unknown value")
    return api.RequestClass(
        name=take(raw, "name", str, where),
        aim=take(raw, "objectiveS", NUMBER, where),
        deadline=take(raw, "deadlineS", NUMBER, where),
        worth=raw.get("importance", 1.0),
        late_worth=raw.get("lateWorth", 0.0),
        effect=EFFECT[effect],
        scope=api.Scope.ALL if scope == "all" else api.Scope.CELL,
        window=raw.get("windowS", 0.0),
        freshness=FRESHNESS[freshness],
        max_age=max_age,
    )


def translate_settings(raw: Wire) -> api.Settings:
    """Turn the set-up message into the policy's settings."""
    specifics, limits = raw.get("specifics", {}), raw.get("limits", {})
    rules, stats = raw.get("rules", {}), raw.get("stats", {})
    classes = take(raw, "classes", list, "setup")
    kinds = specifics.get("freshness", ["mutate"] * len(classes))
    ages = specifics.get("maxAgeS", [0.0] * len(classes))
    if len(kinds) != len(classes) or len(ages) != len(classes):
        raise BadSettings("setup.specifics: 'freshness' and 'maxAgeS' must match the classes")
    return api.Settings(
        classes=tuple(translate_class(c, k, a) for c, k, a in zip(classes, kinds, ages, strict=True)),
        zone=str(raw.get("az", "")),
        tick=raw.get("tickS", 0.001),
        drivers=raw.get("groupSize", 1),
        rules=api.Rules(
            answer_slack=rules.get("answerSlackS", 0.0),
            drain_grace=rules.get("drainGraceS", 0.0),
            overload_factor=rules.get("overloadFactor", 1.0),
            overload_time=rules.get("fallS", 1.0),
            start_capacity=rules.get("startCapacity", 1.0),
            warm_within=rules.get("warmWithinS", 0.0),
            ask_within=rules.get("askWithinS", 0.0),
        ),
        checks=CHECKS.get(specifics.get("behind"), api.Checks.NONE),
        marks=MARKS.get(specifics.get("sessionMarks"), api.Marks.CARRIED),
        patience=specifics.get("patienceS", 0.0),
        subscribe=raw.get("registryMode") == "subscribe",
        probes=bool(limits.get("probes", False)),
        reports_in_answers=stats.get("how") == "piggyback",
        reports_position=stats.get("how") != "silent" and "x0" in stats.get("fields", ()),
        list_names_primary=specifics.get("roleInList", "silent") != "silent",
        most_attempts=limits.get("mostTries", 1),
        second_copies=bool(limits.get("secondCopies", False)),
        cancel=bool(limits.get("cancel", False)),
        come_back=bool(limits.get("retryAfter", False)),
        max_come_back=limits.get("maxRetryAfterS", 0.0),
    )


def report(raw: Any, zero: float = 0.0) -> api.Report | None:
    """Turn a load report into the module's type; `zero` is what its position counts from, in seconds."""
    if not isinstance(raw, dict) or not raw:
        return None
    position, primary = raw.get("x0"), raw.get("x1")
    return api.Report(
        position=None if position is None else zero + position,
        primary=None if primary is None else primary >= 0.5,
        load=raw.get("inflight", raw.get("queue")),
    )
