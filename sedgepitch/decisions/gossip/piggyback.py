"""Messages leave with as many updates as there is room for."""

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

# Upper bounds of what msgpack needs beside the text and body of a message part.
UPDATE_OVERHEAD_BYTES = 32
ENTRY_OVERHEAD_BYTES = 40
MAX_BYTES_PER_CHARACTER = 4


def encoded_size_bound(part: MembershipUpdate | StateEntry) -> int:
    """Return the bytes that an update or entry takes at most, whatever its numbers."""
    if isinstance(part, MembershipUpdate):
        characters = len(part.member) + len(part.host) + len(part.accuser)
        return UPDATE_OVERHEAD_BYTES + MAX_BYTES_PER_CHARACTER * characters
    characters = len(part.origin) + len(part.kind)
    return ENTRY_OVERHEAD_BYTES + MAX_BYTES_PER_CHARACTER * characters + len(part.body)


class Sender:
    """Makes datagrams of messages, with pending updates packed into them."""

    def __init__(
        self, settings: GossipSettings, table: MemberTable, entries: StateEntries, queue: TransmitQueue
    ) -> None:
        """Send what waits in the queue, as the table and the entries have it."""
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
        """Send the pending updates by themselves to a few random members."""
        self._queue.begin_interval(now)
        for name in self._table.sample(self._settings.gossip_fanout):
            self.send(now, name, UpdateMessage(), actions)

    def _pack(self, now: float, to: str) -> tuple[list[MembershipUpdate], list[StateEntry]]:
        """Choose what rides on a message and count it as sent.

        A suspected receiver is told of the suspicion first, so that it can refute it.
        """
        updates: list[MembershipUpdate] = []
        entries: list[StateEntry] = []
        room = self._settings.piggyback_bytes
        receiver = self._table.members.get(to)
        if receiver is not None and receiver.state is MemberState.SUSPECT:
            updates.append(receiver.update(self._table.name))
            room -= encoded_size_bound(updates[0])
        for member, kind in self._queue.least_sent_first():
            part = self._part(now, member, kind)
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

    def _part(self, now: float, member: str, kind: str) -> MembershipUpdate | StateEntry | None:
        if not kind:
            return self._table.update_about(member)
        return self._entries.encoded(now, member, kind)
