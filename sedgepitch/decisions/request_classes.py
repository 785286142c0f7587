"""Which class a command belongs to, and how fresh its data must be by all that client and class ask for.

A class states an effect and a freshness. A command may ask for more and never gets less: each class has
variants beside it, `name/fresh`, `name/session` and `name/unsafe`, which differ in that one matter alone, so
the module's comparison and limits work on the same figures. Compiled once, first match wins, in order.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, fields, replace
from fnmatch import translate
from typing import ClassVar

from sedgepitch.routing.messages import Freshness, Idempotency, RequestClass

FRESH, SESSION, UNSAFE = "/fresh", "/session", "/unsafe"


@dataclass(slots=True, frozen=True)
class Facts:
    """What a front read off a command; no values of the data itself."""

    database: str
    collection: str
    command: str
    writes: bool
    keyed: bool = False  # it carries a key by which its members drop repeats
    comment: str = ""
    read_preference: str = ""  # the mode, "" where the client stated none
    read_concern: str = ""  # the level, "" where the client stated none
    max_staleness: float | None = None  # s
    app_name: str = ""


@dataclass(slots=True, frozen=True)
class Match:
    """What a command must look like: shell patterns, all of which must match; an empty one matches all.

    The one list of what settings may match on: `config/models.py` takes it as it stands.
    """

    database: str = "*"
    collection: str = "*"
    command: str = "*"
    comment: str = "*"
    read_preference: str = "*"
    read_concern: str = "*"
    app_name: str = "*"

    __pydantic_config__: ClassVar[dict[str, str]] = {"extra": "forbid"}  # keys that nobody knows are mistakes


@dataclass(slots=True, frozen=True)
class Rule:
    """One class's match."""

    class_name: str
    match: Match = field(default_factory=Match)


@dataclass(slots=True, frozen=True)
class Placement:
    """A class of the module's, and the age of the session's last write where the read must see one (s)."""

    class_name: str
    session_age: float = 0.0


def variants(classes: Iterable[RequestClass]) -> tuple[RequestClass, ...]:
    """Return the classes with their variants."""
    out: list[RequestClass] = []
    for cls in classes:
        out.append(cls)
        if cls.freshness is Freshness.WRITE:
            if cls.idempotency is Idempotency.KEYED:
                out.append(replace(cls, name=cls.name + UNSAFE, idempotency=Idempotency.NONE))
            continue
        if cls.freshness is not Freshness.FRESH:
            out.append(replace(cls, name=cls.name + FRESH, freshness=Freshness.FRESH))
        if cls.freshness in (Freshness.BOUNDED, Freshness.ANY):
            out.append(replace(cls, name=cls.name + SESSION, freshness=Freshness.SESSION))
    return tuple(out)


class Classifier:
    """The compiled rules of one set of classes.

    Raises ValueError where a rule names a class that is not there, or no class takes what no rule matches.
    """

    def __init__(self, classes: Sequence[RequestClass], rules: Sequence[Rule]) -> None:
        self.classes = {c.name: c for c in classes}
        self.rules: list[tuple[RequestClass, tuple[tuple[str, re.Pattern[str]], ...]]] = []
        for rule in rules:
            if rule.class_name not in self.classes:
                raise ValueError(f"a match names the class '{rule.class_name}', which is not there")
            tests = tuple(
                (f.name, re.compile(translate(pattern)))
                for f in fields(Match)
                if (pattern := getattr(rule.match, f.name)) != "*"
            )
            self.rules.append((self.classes[rule.class_name], tests))
        self.most_deadline = max((c.deadline for c in classes), default=0.0)
        self._cache: dict[Facts, RequestClass | None] = {}

    def find(self, facts: Facts) -> RequestClass | None:
        """Return the first class whose match fits; None where none does: such a command is refused.

        A write fits only classes of writes, and a read only the others: a rule that would send a write the
        way of reads matches nothing.
        """
        if facts in self._cache:
            return self._cache[facts]
        found = None
        for cls, tests in self.rules:
            if (cls.freshness is Freshness.WRITE) is facts.writes and all(
                pattern.match(getattr(facts, name)) for name, pattern in tests
            ):
                found = cls
                break
        if len(self._cache) >= 4096:  # comments may differ in each command: the cache must not grow by them
            self._cache.clear()
        self._cache[facts] = found
        return found

    def place(
        self, cls: RequestClass, facts: Facts, time_left: float, session_age: float | None
    ) -> Placement:
        """Return the variant for this command, by the strictest of class, preference, concern and session.

        `session_age` is how long ago the newest write that the read must see was committed, None for no such
        write. A bounded read that must see a write as well is held to the stricter of both; its bound is then
        counted from the latest moment at which it may still be sent.
        """
        if cls.freshness is Freshness.WRITE:
            unsafe = cls.idempotency is Idempotency.KEYED and not facts.keyed
            return Placement(cls.name + UNSAFE if unsafe else cls.name)
        if cls.freshness is Freshness.FRESH:
            return Placement(cls.name)
        if facts.read_concern == "linearizable" or facts.read_preference == "primary":
            return Placement(cls.name + FRESH)
        ages = [] if session_age is None else [session_age]
        bounds = [cls.max_staleness] if cls.freshness is Freshness.BOUNDED else []
        if facts.max_staleness is not None and (not bounds or facts.max_staleness < bounds[0]):
            bounds = [facts.max_staleness]
            ages.append(facts.max_staleness - time_left)
        if not ages:
            return Placement(cls.name)
        age = min(ages + [bound - time_left for bound in bounds])
        if age <= 0:
            return Placement(cls.name + FRESH)
        return Placement(cls.name if cls.freshness is Freshness.SESSION else cls.name + SESSION, age)
