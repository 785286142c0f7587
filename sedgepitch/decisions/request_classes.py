"""Which request class a command belongs to, and how fresh its data must be.

A class states an idempotency and a freshness. A command may ask for more and never gets less: each class has
variants beside it, `name/fresh`, `name/session` and `name/unsafe`, which differ in that one property alone,
so that the router's limits work on the same figures. Rules are compiled once; the first match in order wins.
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
    """What a protocol read off a command; no values of the data itself."""

    database: str
    collection: str
    command: str
    writes: bool
    keyed: bool = False  # it carries an idempotency key, by which endpoints drop repeats
    comment: str = ""
    read_preference: str = ""  # the mode, "" where the client stated none
    read_concern: str = ""  # the level, "" where the client stated none
    max_staleness: float | None = None  # s
    app_name: str = ""


@dataclass(slots=True, frozen=True)
class Match:
    """What a command must look like: shell patterns, all of which must match.

    The one list of what settings may match on: `config/models.py` takes it as it stands.
    """

    database: str = ANYTHING
    collection: str = ANYTHING
    command: str = ANYTHING
    comment: str = ANYTHING
    read_preference: str = ANYTHING
    read_concern: str = ANYTHING
    app_name: str = ANYTHING

    __pydantic_config__: ClassVar[dict[str, str]] = {"extra": "forbid"}  # unknown keys are mistakes


@dataclass(slots=True, frozen=True)
class ClassRule:
    """One match of a class."""

    class_name: str
    match: Match = field(default_factory=Match)


@dataclass(slots=True, frozen=True)
class ClassifiedCommand:
    """The class variant that a command belongs to."""

    class_name: str
    session_age: float = 0.0  # s since the last commit that the read must see, 0 where there is none


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

    def fits(self, facts: CommandFacts) -> bool:
        """Whether the command is a write or read as the class is, and all patterns match."""
        if (self.cls.freshness is Freshness.WRITE) is not facts.writes:
            return False
        return all(pattern.match(getattr(facts, name)) for name, pattern in self.patterns)


class Classifier:
    """The compiled rules of one set of classes.

    Raises ValueError where a rule names a class that is not there, or no class takes what no rule matches.
    """

    def __init__(self, classes: Sequence[RequestClass], rules: Sequence[ClassRule]) -> None:
        """Compile the rules."""
        self.classes = {cls.name: cls for cls in classes}
        self.rules = [self._compile(rule) for rule in rules]
        self.deadline_max = max((cls.deadline for cls in classes), default=0.0)
        self._cache: dict[CommandFacts, RequestClass | None] = {}

    def _compile(self, rule: ClassRule) -> _CompiledRule:
        if rule.class_name not in self.classes:
            raise ValueError(f"a match names the class '{rule.class_name}', which is not there")
        patterns = tuple(
            (part.name, re.compile(translate(pattern)))
            for part in fields(Match)
            if (pattern := getattr(rule.match, part.name)) != ANYTHING
        )
        return _CompiledRule(self.classes[rule.class_name], patterns)

    def find(self, facts: CommandFacts) -> RequestClass | None:
        """Return the first class whose match fits; None where none does: such a command is rejected.

        A write fits only classes of writes, and a read only the others: a rule that would send a write the
        way of reads matches nothing.
        """
        if facts in self._cache:
            return self._cache[facts]
        found = next((rule.cls for rule in self.rules if rule.fits(facts)), None)
        if len(self._cache) >= CACHED_COMMANDS_MAX:  # comments may differ in each command
            self._cache.clear()
        self._cache[facts] = found
        return found

    def choose_variant(
        self, cls: RequestClass, facts: CommandFacts, time_left: float, session_age: float | None
    ) -> ClassifiedCommand:
        """Return the variant for this command, by the strictest of class, preference, concern and session.

        `time_left` is in seconds. `session_age` is how long ago, in seconds, the newest commit was made that
        the read must see, None for no such commit.
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
        """Return how old the data may be in seconds, None where the class's own freshness says all.

        A bounded read that must see a commit as well is held to the stricter of both; its bound is counted
        from the latest moment at which it may still be sent.
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
