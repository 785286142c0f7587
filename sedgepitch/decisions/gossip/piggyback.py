"""Builds datagrams: messages with as many piggybacked updates as fit."""

from __future__ import annotations

from msgspec.structs import replace

from sedgepitch.decisions.gossip.actions import Action, SendDatagram
from sedgepitch.decisions.gossip.dissemination import TransmitQueue
from sedgepitch.decisions.gossip.members import MemberTable
from sedgepitch.decisions.gossip.messages import (
    MembershipUpdate,
    MemberState,
    Message,
    Nack,
    StateEntry,
    UpdateMessage,
)
from sedgepitch.decisions.gossip.settings import GossipSettings
from sedgepitch.decisions.gossip.state_entries import StateEntries

# Upper bounds of the msgpack overhead beyond the text and body of an update or entry.
UPDATE_OVERHEAD_BYTES = 32
ENTRY_OVERHEAD_BYTES = 40
MAX_BYTES_PER_CHARACTER = 4


def encoded_size_bound(part: MembershipUpdate | StateEntry) -> int:
    """Return an upper bound of the encoded size of an update or entry, for any numbers in it."""
    if isinstance(part, MembershipUpdate):
        characters = len(part.member) + len(part.host) + len(part.accuser)
        return UPDATE_OVERHEAD_BYTES + MAX_BYTES_PER_CHARACTER * characters
    characters = len(part.origin) + len(part.kind)
    return ENTRY_OVERHEAD_BYTES + MAX_BYTES_PER_CHARACTER * characters + len(part.body)


class Sender:
    """Turns messages into datagrams, with pending updates packed into them."""

    def __init__(
        self, settings: GossipSettings, table: MemberTable, entries: StateEntries, queue: TransmitQueue
    ) -> None:
        """Take pending updates from the queue, and their content from the table and the entries."""
        self._settings = settings
        self._table = table
        self._entries = entries
        self._queue = queue

    def send(self, now: float, to: str, message: Message, actions: list[Action]) -> None:
        """Add the datagram to `actions`; an UpdateMessage without content is not sent."""
        address = self._table.address_of(to)
        if address is None:
            return
        if isinstance(message, Nack):
            actions.append(SendDatagram(to, address, message))
            return
        updates, entries = self._pack(now, to)
        if isinstance(message, UpdateMessage) and not updates and not entries:
            return
        packed = replace(message, updates=tuple(updates), entries=tuple(entries))
        actions.append(SendDatagram(to, address, packed))

    def gossip(self, now: float, actions: list[Action]) -> None:
        """Send pending updates, without another message, to a few random members."""
        self._queue.begin_interval(now)
        for name in self._table.sample(self._settings.gossip_fanout):
            self.send(now, name, UpdateMessage(), actions)

    def _pack(self, now: float, to: str) -> tuple[list[MembershipUpdate], list[StateEntry]]:
        """Select the updates to piggyback on a message and count them as sent.

        A suspected receiver gets the update about its suspicion first, so that it can refute it.
        """
        updates: list[MembershipUpdate] = []
        entries: list[StateEntry] = []
        room = self._settings.piggyback_bytes
        receiver = self._table.members.get(to)
        if receiver is not None and receiver.state is MemberState.SUSPECT:
            updates.append(receiver.update(self._table.name))
            room -= encoded_size_bound(updates[0])
        for member, kind in self._queue.least_sent_first():
            part = self._current_part(now, member, kind)
            if part is None:
                self._queue.discard(member, kind)
                continue
            size = encoded_size_bound(part)
            if size > room:
                continue
            room -= size
            if isinstance(part, MembershipUpdate):
                updates.append(part)
            else:
                entries.append(part)
            self._queue.count_transmission(member, kind, len(self._table.members))
        return updates, entries

    def _current_part(self, now: float, member: str, kind: str) -> MembershipUpdate | StateEntry | None:
        if not kind:
            return self._table.update_about(member)
        return self._entries.encoded(now, member, kind)
