"""One group of stand-in members: the log, who is primary, elections, and the keys of retryable writes.

The log is one list that survives every failover: a write is acknowledged once a replica has received it, and
what was not acknowledged may survive, too. Rolled back branches are therefore not played here; they are
covered by the property tests of decisions/positions.py.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

from sedgepitch.emulator.document_store import Effect, Store


@dataclass(slots=True, frozen=True)
class Entry:
    """One entry of the log: its stamp, term, when it was committed, and what it changes."""

    stamp: tuple[int, int]
    term: int
    at: float
    effects: tuple[Effect, ...]


class Placed(Protocol):
    """A member as its group sees it: a place in the log, and whether it could lead."""

    applied: int
    store: Store
    draining: bool

    def wall(self) -> float:
        """Return its own wall clock."""

    def catch_up(self) -> None:
        """Apply all that it has received."""

    def electable(self) -> bool:
        """Whether it could be primary now."""


M = TypeVar("M", bound=Placed)


class Group(Generic[M]):
    """The log and the roles of one group."""

    def __init__(self, number: int, now: Callable[[], float], later: Callable[..., Any], timing: Any) -> None:
        self.number, self.now, self.later, self.timing = number, now, later, timing
        self.members: list[M] = []
        self.log: list[Entry] = []
        self.term = 0
        self.primary: M | None = None
        self.keys: dict[tuple[str, int], tuple[float, dict[str, Any]]] = {}
        self.election = 0  # the running one's number
        self.role_changed: Callable[[M | None, int], None] = lambda primary, term: None

    def append(self, member: M, effects: list[Effect], wall: float) -> Entry:
        """Commit one entry at the primary; stamps only grow, whatever its clock says."""
        seconds, increment = int(wall), 1
        if self.log and self.log[-1].stamp >= (seconds, 1):
            seconds, increment = self.log[-1].stamp[0], self.log[-1].stamp[1] + 1
        entry = Entry((seconds, increment), self.term, self.now(), tuple(effects))
        self.log.append(entry)
        member.applied = len(self.log)
        member.store.apply(entry.effects)
        return entry

    def repeat(self, key: tuple[str, int]) -> dict[str, Any] | None:
        """Return the answer that this key got, while it is remembered."""
        known = self.keys.get(key)
        return known[1] if known and self.now() - known[0] <= self.timing.key_window else None

    def remember(self, key: tuple[str, int], reply: dict[str, Any]) -> None:
        """Remember a key's answer; old ones are let go."""
        self.keys[key] = (self.now(), reply)
        if len(self.keys) > 50_000:
            bound = self.now() - self.timing.key_window
            self.keys = {k: v for k, v in self.keys.items() if v[0] >= bound}

    def promote(self, member: M) -> None:
        """Make a member the primary: it applies all it has received, then opens its term with an entry."""
        self.election += 1
        self.term += 1
        self.primary = member
        member.catch_up()
        self.append(member, [], member.wall())
        self.role_changed(member, self.term)

    def lost_primary(self, member: M, after: float) -> None:
        """The primary cannot be reached: another one takes over, if it is still lost by then."""
        if self.primary is not member:
            return
        self.election += 1
        number = self.election

        def depose() -> None:
            if self.election == number and self.primary is member:
                self.primary = None
                self.role_changed(None, self.term)
                self.later(self.timing.election_takes, elect)

        def elect() -> None:
            if self.election == number:
                able = [m for m in self.members if m.electable()]
                if able:
                    self.promote(max(able, key=lambda m: m.applied))
                else:
                    self.later(self.timing.election_takes, elect)

        self.later(after, depose)

    def primary_back(self, member: M) -> None:
        """The primary answers again before anyone took its place."""
        if self.primary is member:
            self.election += 1

    def hand_over(self, to: M | None = None) -> None:
        """Move the primary on purpose; writes are turned away meanwhile."""
        old, self.primary = self.primary, None
        self.election += 1
        number = self.election
        self.role_changed(None, self.term)

        def take() -> None:
            if self.election == number:
                able = [m for m in self.members if m.electable() and m is not old and not m.draining]
                able = able or [m for m in self.members if m.electable()]
                if able:
                    self.promote(to if to in able and to is not None else max(able, key=lambda m: m.applied))

        self.later(self.timing.handover, take)
