"""Dissemination: how often updates are sent, in which order, and how many fit in a datagram."""

from __future__ import annotations

import random

import pytest

from sedgepitch.decisions.gossip.actions import Action, SendDatagram
from sedgepitch.decisions.gossip.dissemination import TransmitQueue
from sedgepitch.decisions.gossip.members import Member, MemberTable
from sedgepitch.decisions.gossip.messages import Ack, MemberState, Nack, UpdateMessage
from sedgepitch.decisions.gossip.piggyback import Sender, encoded_size_bound
from sedgepitch.decisions.gossip.settings import GossipSettings
from sedgepitch.decisions.gossip.state_entries import StateEntries, StateEntryError

SETTINGS = GossipSettings()


class DisseminationParts:
    """A member table with the queue, state entries and sender that operate on it."""

    def __init__(self, members: int) -> None:
        self.table = MemberTable("own", ("127.0.0.1", 1), random.Random(1))
        for number in range(members):
            name = f"m{number}"
            self.table.members[name] = Member(name, ("127.0.0.1", 2 + number), 0, MemberState.ALIVE, 0.0)
        self.queue = TransmitQueue(SETTINGS)
        self.entries = StateEntries(SETTINGS, self.table, self.queue)
        self.sender = Sender(SETTINGS, self.table, self.entries, self.queue)

    def send(self, message: Ack | Nack | UpdateMessage, to: str = "m0") -> list[SendDatagram]:
        actions: list[Action] = []
        self.sender.send(0.0, to, message, actions)
        return [action for action in actions if isinstance(action, SendDatagram)]


@pytest.mark.parametrize(("members", "times"), [(1, 4), (8, 4), (9, 8), (98, 8), (99, 12)])
def test_update_is_sent_four_times_the_rounded_up_logarithm_of_the_member_count(members, times):
    parts = DisseminationParts(members)
    parts.queue.add(0.0, "own")
    sent = 0
    while parts.send(UpdateMessage()):
        sent += 1
    assert sent == times and len(parts.queue) == 0


def test_least_sent_update_comes_first_and_requeuing_resets_the_count():
    parts = DisseminationParts(3)
    parts.queue.add(0.0, "m1")
    parts.queue.count_transmission("m1", "", 3)
    parts.queue.add(0.0, "m2")
    assert parts.queue.least_sent_first() == [("m2", ""), ("m1", "")]
    parts.queue.add(0.0, "m1")
    assert parts.queue.least_sent_first() == [("m1", ""), ("m2", "")]


def test_updates_in_a_datagram_are_bounded_in_size():
    parts = DisseminationParts(60)
    for name in parts.table.members:
        parts.queue.add(0.0, name)
    (datagram,) = parts.send(Ack(1))
    sizes = [encoded_size_bound(update) for update in datagram.message.updates]
    assert 0 < len(sizes) < 60
    assert sum(sizes) <= SETTINGS.piggyback_bytes < sum(sizes) + max(sizes)


def test_suspected_receiver_gets_its_suspicion_first():
    parts = DisseminationParts(2)
    parts.table.members["m0"].state = MemberState.SUSPECT
    parts.queue.add(0.0, "m1")
    (datagram,) = parts.send(Ack(1))
    assert [update.member for update in datagram.message.updates] == ["m0", "m1"]


def test_nack_carries_no_updates_and_empty_update_message_is_not_sent():
    parts = DisseminationParts(1)
    parts.queue.add(0.0, "own")
    assert [datagram.message for datagram in parts.send(Nack(7))] == [Nack(7)]
    assert parts.send(Ack(7), to="unknown") == []
    parts.queue.discard("own")
    assert parts.send(UpdateMessage()) == []


def test_entry_is_encoded_with_its_current_age():
    parts = DisseminationParts(1)
    parts.entries.publish(10.0, "zones", b"body")
    entry = parts.entries.encoded(12.5, "own", "zones")
    assert entry is not None and (entry.age, entry.body) == (2.5, b"body")


def test_too_many_or_too_large_entries_are_rejected():
    parts = DisseminationParts(0)
    for number in range(SETTINGS.max_entry_kinds):
        parts.entries.publish(0.0, f"kind{number}", b"")
    with pytest.raises(StateEntryError, match="more than 8 kinds"):
        parts.entries.publish(0.0, "one more", b"")
    with pytest.raises(StateEntryError, match="513 bytes is over 512"):
        parts.entries.publish(0.0, "kind0", b"x" * 513)
