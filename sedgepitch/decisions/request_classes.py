"""Which request class a command belongs to, and how fresh its data must be.

A class states an idempotency and a freshness. A command may require more than its class, never less. For
that a class of reads has the variants `name/fresh` and `name/session`, if they are stricter than the class,
and a class of writes with idempotency keys has `name/unsafe`, for commands without a key. A variant differs
from its class in that one property, so that the router's limits use the same figures. Rules are compiled
once; the first matching rule applies.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, fields, replace
from fnmatch import translate
from typing import ClassVar

from sedgepitch.routing.messages import Freshness, Idempotency, RequestClass

FRESH_SUFFIX = "/fresh"
SESSION_SUFFIX = "/session"
UNSAFE_SUFFIX = "/unsafe"
ANYTHING = "*"
CACHED_COMMANDS_MAX = 4096


@dataclass(slots=True, frozen=True)
class CommandFacts:
    """The properties of a command that a protocol extracts; no values of its data."""

    database: str
    collection: str
    command: str
    writes: bool
    keyed: bool = False  # has an idempotency key, by which endpoints drop duplicates
    comment: str = ""
    read_preference: str = ""  # the mode, "" if the client set none
    read_concern: str = ""  # the level, "" if the client set none
    max_staleness: float | None = None  # s
    app_name: str = ""


@dataclass(slots=True, frozen=True)
class Match:
    """Shell patterns for the properties of a command, all of which must match.

    Its fields are the keys that settings may match on: `config/models.py` uses this class as it is.
    """

    database: str = ANYTHING
    collection: str = ANYTHING
    command: str = ANYTHING
    comment: str = ANYTHING
    read_preference: str = ANYTHING
    read_concern: str = ANYTHING
    app_name: str = ANYTHING

    __pydantic_config__: ClassVar[dict[str, str]] = {"extra": "forbid"}  # unknown keys are errors


@dataclass(slots=True, frozen=True)
class ClassRule:
    """One match of a request class."""

    class_name: str
    match: Match = field(default_factory=Match)


@dataclass(slots=True, frozen=True)
class ClassifiedCommand:
    """The class variant that a command belongs to."""

    class_name: str
    session_age: float = 0.0  # s since the last commit that the read must see, 0 if there is none


def variants(classes: Iterable[RequestClass]) -> tuple[RequestClass, ...]:
    """Return the classes with their variants."""
    found: list[RequestClass] = []
    for cls in classes:
        found.append(cls)
        if cls.freshness is Freshness.WRITE:
            if cls.idempotency is Idempotency.KEYED:
                found.append(replace(cls, name=cls.name + UNSAFE_SUFFIX, idempotency=Idempotency.NONE))
            continue
        if cls.freshness is not Freshness.FRESH:
            found.append(replace(cls, name=cls.name + FRESH_SUFFIX, freshness=Freshness.FRESH))
        if cls.freshness in (Freshness.BOUNDED, Freshness.ANY):
            found.append(replace(cls, name=cls.name + SESSION_SUFFIX, freshness=Freshness.SESSION))
    return tuple(found)


@dataclass(slots=True, frozen=True)
class _CompiledRule:
    cls: RequestClass
    patterns: tuple[tuple[str, re.Pattern[str]], ...]  # (field of CommandFacts, pattern)

    def matches(self, facts: CommandFacts) -> bool:
        """Return whether class and command are both writes or both reads, and all patterns match."""
        if (self.cls.freshness is Freshness.WRITE) is not facts.writes:
            return False
        return all(pattern.match(getattr(facts, name)) for name, pattern in self.patterns)


class Classifier:
    """The compiled rules of one set of classes.

    Raises ValueError if a rule names an unknown class.
    """

    def __init__(self, classes: Sequence[RequestClass], rules: Sequence[ClassRule]) -> None:
        """Compile the rules."""
        self.classes = {cls.name: cls for cls in classes}
        self.rules = [self._compile(rule) for rule in rules]
        self.deadline_max = max((cls.deadline for cls in classes), default=0.0)
        self._cache: dict[CommandFacts, RequestClass | None] = {}

    def _compile(self, rule: ClassRule) -> _CompiledRule:
        if rule.class_name not in self.classes:
            raise ValueError(f"a match names the class '{rule.class_name}', which is not defined")
        patterns = tuple(
            (part.name, re.compile(translate(pattern)))
            for part in fields(Match)
            if (pattern := getattr(rule.match, part.name)) != ANYTHING
        )
        return _CompiledRule(self.classes[rule.class_name], patterns)

    def find(self, facts: CommandFacts) -> RequestClass | None:
        """Return the class of the first matching rule; None if none matches: the command is then rejected.

        A write matches only classes of writes, and a read only the others: a rule that would route a write
        like a read matches nothing.
        """
        if facts in self._cache:
            return self._cache[facts]
        found = next((rule.cls for rule in self.rules if rule.matches(facts)), None)
        if len(self._cache) >= CACHED_COMMANDS_MAX:  # each command may have a different comment
            self._cache.clear()
        self._cache[facts] = found
        return found

    def choose_variant(
        self, cls: RequestClass, facts: CommandFacts, time_left: float, session_age: float | None
    ) -> ClassifiedCommand:
        """Return the variant for this command.

        The strictest of class, read preference, read concern and session applies.

        `time_left` is in seconds. `session_age` is the age in seconds of the newest commit that the read must
        see, None if there is no such commit.
        """
        if cls.freshness is Freshness.WRITE:
            unsafe = cls.idempotency is Idempotency.KEYED and not facts.keyed
            return ClassifiedCommand(cls.name + UNSAFE_SUFFIX if unsafe else cls.name)
        if cls.freshness is Freshness.FRESH:
            return ClassifiedCommand(cls.name)
        if facts.read_concern == "linearizable" or facts.read_preference == "primary":
            return ClassifiedCommand(cls.name + FRESH_SUFFIX)
        age = self._required_age(cls, facts, time_left, session_age)
        if age is None:
            return ClassifiedCommand(cls.name)
        if age <= 0:
            return ClassifiedCommand(cls.name + FRESH_SUFFIX)
        suffix = "" if cls.freshness is Freshness.SESSION else SESSION_SUFFIX
        return ClassifiedCommand(cls.name + suffix, age)

    @staticmethod
    def _required_age(
        cls: RequestClass, facts: CommandFacts, time_left: float, session_age: float | None
    ) -> float | None:
        """Return the maximum age of the data in seconds, None if the class's own freshness is enough.

        If a bounded read must also see a commit, the stricter condition applies. The bound counts from the
        latest time at which the read may still be sent.
        """
        ages = [] if session_age is None else [session_age]
        bound = cls.max_staleness if cls.freshness is Freshness.BOUNDED else None
        if facts.max_staleness is not None and (bound is None or facts.max_staleness < bound):
            bound = facts.max_staleness
            ages.append(facts.max_staleness - time_left)
        if not ages:
            return None
        if bound is not None:
            ages.append(bound - time_left)
        return min(ages)
