"""State entries: what this node publishes, and what others have published."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite

from sedgepitch.decisions.gossip.actions import EventKind
from sedgepitch.decisions.gossip.dissemination import TransmitQueue
from sedgepitch.decisions.gossip.members import HeldEntry, MemberTable
from sedgepitch.decisions.gossip.messages import StateEntry
from sedgepitch.decisions.gossip.settings import GossipSettings
from sedgepitch.errors import ConfigurationError

INCARNATION_SHIFT = 32  # bits: versions of a higher incarnation are above all those of a lower one


class StateEntryError(ConfigurationError, ValueError):
    """An entry that is too large, or of one kind too many, to be published."""


@dataclass(slots=True, frozen=True)
class PublishedEntry:
    """What a member published, and how many seconds ago."""

    age: float
    body: bytes


class StateEntries:
    """Own entries by kind, and the rules by which others' entries are taken."""

    def __init__(self, settings: GossipSettings, table: MemberTable, queue: TransmitQueue) -> None:
        """Begin without own entries."""
        self.own: dict[str, HeldEntry] = {}
        self._settings = settings
        self._table = table
        self._queue = queue
        self._previous_versions: dict[str, int] = {}  # published by an earlier process of this name

    def publish(self, now: float, kind: str, body: bytes) -> None:
        """Publish an entry, which replaces the last of its kind. Raises StateEntryError."""
        settings = self._settings
        if len(body) > settings.max_entry_bytes or len(kind) > settings.max_name_length:
            raise StateEntryError(f"a state entry of {len(body)} bytes is over {settings.max_entry_bytes}")
        if kind not in self.own and len(self.own) >= settings.max_entry_kinds:
            raise StateEntryError(f"more than {settings.max_entry_kinds} kinds of state entries")
        held = self.own.get(kind)
        previous = held.version if held else self._previous_versions.get(kind, 0)
        version = max(previous, self._table.incarnation << INCARNATION_SHIFT) + 1
        self.own[kind] = HeldEntry(version, now, body)
        self._queue.add(now, self._table.name, kind)

    def of_kind(self, kind: str, now: float) -> dict[str, PublishedEntry]:
        """Return the entries of one kind by origin, own included, of members not known to be gone."""
        found = {
            member.name: PublishedEntry(now - held.published_at, held.body)
            for member in self._table.members.values()
            if member.reachable and (held := member.entries.get(kind)) is not None
        }
        if (own := self.own.get(kind)) is not None:
            found[self._table.name] = PublishedEntry(now - own.published_at, own.body)
        return found

    def accept(self, now: float, entry: StateEntry) -> None:
        """Take an entry of a reachable member if it is newer than the one held."""
        if entry.origin == self._table.name:
            self._outdo_previous_process(now, entry)
            return
        member = self._table.members.get(entry.origin)
        if member is None or not member.reachable:
            return
        known = member.entries.get(entry.kind)
        if not self._acceptable(entry, known is None, len(member.entries)):
            return
        if known is not None and entry.version <= known.version:
            return
        member.entries[entry.kind] = HeldEntry(entry.version, now - entry.age, entry.body)
        self._table.report(EventKind.ENTRY_CHANGED, entry.origin)
        self._queue.add(now, entry.origin, entry.kind)

    def raise_versions(self, now: float) -> None:
        """Lift own entries above all versions of the incarnation before the present one."""
        for kind, held in self.own.items():
            held.version = max(held.version, (self._table.incarnation << INCARNATION_SHIFT) + 1)
            self._queue.add(now, self._table.name, kind)

    def encoded(self, now: float, origin: str, kind: str) -> StateEntry | None:
        """Return an entry as a message with its age; None if it is not held."""
        entries = self._entries_of(origin)
        held = entries.get(kind)
        return self._message(now, origin, kind, held) if held is not None else None

    def all_encoded(self, now: float) -> Iterator[StateEntry]:
        """Yield own entries, then those of reachable members."""
        for kind, held in self.own.items():
            yield self._message(now, self._table.name, kind, held)
        for member in self._table.members.values():
            if member.reachable:
                for kind, held in member.entries.items():
                    yield self._message(now, member.name, kind, held)

    def _entries_of(self, origin: str) -> dict[str, HeldEntry]:
        if origin == self._table.name:
            return self.own
        member = self._table.members.get(origin)
        return member.entries if member else {}

    def _message(self, now: float, origin: str, kind: str, held: HeldEntry) -> StateEntry:
        return StateEntry(origin, kind, held.version, max(0.0, now - held.published_at), held.body)

    def _acceptable(self, entry: StateEntry, new_kind: bool, kinds: int) -> bool:
        settings = self._settings
        if new_kind and kinds >= settings.max_entry_kinds:
            return False
        if len(entry.body) > settings.max_entry_bytes or len(entry.kind) > settings.max_name_length:
            return False
        return entry.age >= 0.0 and isfinite(entry.age)

    def _outdo_previous_process(self, now: float, entry: StateEntry) -> None:
        """Exceed the version of an entry under this name that this process has not published."""
        held = self.own.get(entry.kind)
        if held is not None:
            if entry.version >= held.version and entry.body != held.body:
                held.version = entry.version + 1
                self._queue.add(now, self._table.name, entry.kind)
        elif len(self._previous_versions) < self._settings.max_entry_kinds:
            previous = self._previous_versions.get(entry.kind, 0)
            self._previous_versions[entry.kind] = max(previous, entry.version)
