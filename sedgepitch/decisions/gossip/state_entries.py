"""State entries: published by this node, or received from other members."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from math import isfinite

from sedgepitch.decisions.gossip.actions import EventKind
from sedgepitch.decisions.gossip.dissemination import TransmitQueue
from sedgepitch.decisions.gossip.members import MemberTable, StoredEntry
from sedgepitch.decisions.gossip.messages import StateEntry
from sedgepitch.decisions.gossip.settings import GossipSettings
from sedgepitch.errors import ConfigurationError

INCARNATION_SHIFT = 32  # bits; versions of a higher incarnation exceed all those of a lower one


class StateEntryError(ConfigurationError, ValueError):
    """An entry cannot be published: it is too large, or there are too many kinds."""


@dataclass(slots=True, frozen=True)
class PublishedEntry:
    """The body of a published entry and its age in seconds."""

    age: float
    body: bytes


class StateEntries:
    """This node's entries by kind, and the rules for accepting entries of other members."""

    def __init__(self, settings: GossipSettings, table: MemberTable, queue: TransmitQueue) -> None:
        """Start without entries."""
        self.own: dict[str, StoredEntry] = {}
        self._settings = settings
        self._table = table
        self._queue = queue
        self._previous_versions: dict[str, int] = {}  # published by an earlier process of this name

    def publish(self, now: float, kind: str, body: bytes) -> None:
        """Publish an entry, replacing the previous one of its kind. Raises StateEntryError."""
        settings = self._settings
        if len(body) > settings.max_entry_bytes or len(kind) > settings.max_name_length:
            raise StateEntryError(f"a state entry of {len(body)} bytes is over {settings.max_entry_bytes}")
        if kind not in self.own and len(self.own) >= settings.max_entry_kinds:
            raise StateEntryError(f"more than {settings.max_entry_kinds} kinds of state entries")
        stored = self.own.get(kind)
        previous = stored.version if stored else self._previous_versions.get(kind, 0)
        version = max(previous, self._table.incarnation << INCARNATION_SHIFT) + 1
        self.own[kind] = StoredEntry(version, now, body)
        self._queue.add(now, self._table.name, kind)

    def of_kind(self, kind: str, now: float) -> dict[str, PublishedEntry]:
        """Return the entries of one kind by origin, of alive and suspected members and of this one."""
        published = {
            member.name: PublishedEntry(now - stored.published_at, stored.body)
            for member in self._table.members.values()
            if member.reachable and (stored := member.entries.get(kind)) is not None
        }
        if (own := self.own.get(kind)) is not None:
            published[self._table.name] = PublishedEntry(now - own.published_at, own.body)
        return published

    def accept(self, now: float, entry: StateEntry) -> None:
        """Accept an entry of a reachable member if it is newer than the stored one."""
        if entry.origin == self._table.name:
            self._supersede_previous_process(now, entry)
            return
        member = self._table.members.get(entry.origin)
        if member is None or not member.reachable:
            return
        stored = member.entries.get(entry.kind)
        if not self._acceptable(entry, stored is None, len(member.entries)):
            return
        if stored is not None and entry.version <= stored.version:
            return
        member.entries[entry.kind] = StoredEntry(entry.version, now - entry.age, entry.body)
        self._table.report(EventKind.ENTRY_CHANGED, entry.origin)
        self._queue.add(now, entry.origin, entry.kind)

    def raise_versions(self, now: float) -> None:
        """Raise the versions of own entries above all versions of the previous incarnation."""
        for kind, stored in self.own.items():
            stored.version = max(stored.version, (self._table.incarnation << INCARNATION_SHIFT) + 1)
            self._queue.add(now, self._table.name, kind)

    def encoded(self, now: float, origin: str, kind: str) -> StateEntry | None:
        """Return an entry as a message with its current age; None if it is not stored."""
        entries = self._entries_of(origin)
        stored = entries.get(kind)
        return self._message(now, origin, kind, stored) if stored is not None else None

    def all_encoded(self, now: float) -> Iterator[StateEntry]:
        """Yield own entries, then those of reachable members."""
        for kind, stored in self.own.items():
            yield self._message(now, self._table.name, kind, stored)
        for member in self._table.members.values():
            if member.reachable:
                for kind, stored in member.entries.items():
                    yield self._message(now, member.name, kind, stored)

    def _entries_of(self, origin: str) -> dict[str, StoredEntry]:
        if origin == self._table.name:
            return self.own
        member = self._table.members.get(origin)
        return member.entries if member else {}

    def _message(self, now: float, origin: str, kind: str, stored: StoredEntry) -> StateEntry:
        return StateEntry(origin, kind, stored.version, max(0.0, now - stored.published_at), stored.body)

    def _acceptable(self, entry: StateEntry, new_kind: bool, kinds: int) -> bool:
        settings = self._settings
        if new_kind and kinds >= settings.max_entry_kinds:
            return False
        if len(entry.body) > settings.max_entry_bytes or len(entry.kind) > settings.max_name_length:
            return False
        return entry.age >= 0.0 and isfinite(entry.age)

    def _supersede_previous_process(self, now: float, entry: StateEntry) -> None:
        """Raise own versions above those published under this name by an earlier process."""
        stored = self.own.get(entry.kind)
        if stored is not None:
            if entry.version >= stored.version and entry.body != stored.body:
                stored.version = entry.version + 1
                self._queue.add(now, self._table.name, entry.kind)
        elif len(self._previous_versions) < self._settings.max_entry_kinds:
            previous = self._previous_versions.get(entry.kind, 0)
            self._previous_versions[entry.kind] = max(previous, entry.version)
