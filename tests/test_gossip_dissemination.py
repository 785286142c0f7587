"""How often updates are sent, in which order, and how many ride on a datagram."""

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


class Parts:
    """A table of some members with the queue, the entries and the sender that work on it."""

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
def test_an_update_is_sent_four_times_the_logarithm_of_the_members(members, times):
    parts = Parts(members)
    parts.queue.add(0.0, "own")
    sent = 0
    while parts.send(UpdateMessage()):
        sent += 1
    assert sent == times and len(parts.queue) == 0


def test_the_least_sent_update_comes_first_and_a_new_one_starts_anew():
    parts = Parts(3)
    parts.queue.add(0.0, "m1")
    parts.queue.count_transmission("m1", "", 3)
    parts.queue.add(0.0, "m2")
    assert parts.queue.least_sent_first() == [("m2", ""), ("m1", "")]
    parts.queue.add(0.0, "m1")
    assert parts.queue.least_sent_first() == [("m1", ""), ("m2", "")]


def test_a_datagram_has_room_for_a_bounded_number_of_updates():
    parts = Parts(60)
    for name in parts.table.members:
        parts.queue.add(0.0, name)
    (datagram,) = parts.send(Ack(1))
    sizes = [encoded_size_bound(update) for update in datagram.message.updates]
    assert 0 < len(sizes) < 60
    assert sum(sizes) <= SETTINGS.piggyback_bytes < sum(sizes) + max(sizes)


def test_a_suspected_receiver_is_told_of_the_suspicion_first():
    parts = Parts(2)
    parts.table.members["m0"].state = MemberState.SUSPECT
    parts.queue.add(0.0, "m1")
    (datagram,) = parts.send(Ack(1))
    assert [update.member for update in datagram.message.updates] == ["m0", "m1"]


def test_a_nack_carries_nothing_and_an_update_message_without_updates_is_not_sent():
    parts = Parts(1)
    parts.queue.add(0.0, "own")
    assert [datagram.message for datagram in parts.send(Nack(7))] == [Nack(7)]
    assert parts.send(Ack(7), to="unknown") == []
    parts.queue.discard("own")
    assert parts.send(UpdateMessage()) == []


def test_an_entry_is_sent_with_the_age_that_it_has():
    parts = Parts(1)
    parts.entries.publish(10.0, "zones", b"body")
    entry = parts.entries.encoded(12.5, "own", "zones")
    assert entry is not None and (entry.age, entry.body) == (2.5, b"body")


def test_entries_too_many_or_too_large_are_refused():
    parts = Parts(0)
    for number in range(SETTINGS.max_entry_kinds):
        parts.entries.publish(0.0, f"kind{number}", b"")
    with pytest.raises(StateEntryError, match="more than 8 kinds"):
        parts.entries.publish(0.0, "one more", b"")
    with pytest.raises(StateEntryError, match="513 bytes is over 512"):
        parts.entries.publish(0.0, "kind0", b"x" * 513)
