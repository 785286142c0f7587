"""A gossip node: one member's side of the protocol in one object.

The caller passes events and the time and carries out the returned actions; `due` returns when to call
`on_timer`.

A late timer shows that this process was suspended or starved of CPU. Missing answers during such a pause say
nothing about other members, so probes in progress are dropped and all suspicions are extended by the length
of the pause, before any input that arrived meanwhile is processed. The cost is that failures during a pause
are detected later.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from math import inf

from msgspec.structs import replace

from sedgepitch.decisions.gossip.actions import Action, Address, MemberEvent, SendDatagram
from sedgepitch.decisions.gossip.anti_entropy import AntiEntropy, downgrade_dead
from sedgepitch.decisions.gossip.dissemination import TransmitQueue
from sedgepitch.decisions.gossip.failure_detection import FailureDetector
from sedgepitch.decisions.gossip.local_health import LocalHealth
from sedgepitch.decisions.gossip.members import Member, MemberTable
from sedgepitch.decisions.gossip.membership import Membership
from sedgepitch.decisions.gossip.messages import (
    Ack,
    ClusterState,
    MembershipUpdate,
    MemberState,
    Message,
    Nack,
    Ping,
    PingRequest,
    StateEntry,
    UpdateMessage,
)
from sedgepitch.decisions.gossip.piggyback import Sender
from sedgepitch.decisions.gossip.probe_order import ProbeOrder
from sedgepitch.decisions.gossip.settings import GossipSettings, GossipSettingsError
from sedgepitch.decisions.gossip.state_entries import PublishedEntry, StateEntries

PAUSE_HEALTH_PENALTY = 2  # added to the local health score after a pause of this process


class GossipNode:
    """One member. Raises GossipSettingsError for an invalid name."""

    def __init__(
        self, settings: GossipSettings, name: str, address: Address, seeds: Iterable[Address], seed: int
    ) -> None:
        """Start without members; `seeds` are the first contacts, `seed` seeds the random generator."""
        if not 0 < len(name) <= settings.max_name_length:
            raise GossipSettingsError(f"a peer name must have 1 to {settings.max_name_length} characters")
        rng = random.Random(seed)
        self.settings = settings
        self.table = MemberTable(name, address, rng)
        self.health = LocalHealth(settings.max_local_health)
        self.pauses = 0
        queue = TransmitQueue(settings)
        probe_order = ProbeOrder(self.table, rng)
        self.entries = StateEntries(settings, self.table, queue)
        self.membership = Membership(settings, self.table, queue, self.entries, self.health, probe_order)
        sender = Sender(settings, self.table, self.entries, queue)
        self.detector = FailureDetector(
            settings, self.table, self.membership, sender, self.health, probe_order, rng
        )
        self.anti_entropy = AntiEntropy(settings, self.table, self.entries, seeds, rng)
        self._queue = queue
        self._sender = sender
        self._due = -inf

    # Views

    @property
    def name(self) -> str:
        """Return this member's name."""
        return self.table.name

    @property
    def members(self) -> dict[str, Member]:
        """Return the other members by name."""
        return self.table.members

    def alive(self) -> list[str]:
        """Return the sorted names of alive and suspected members, including this one."""
        return self.table.alive()

    def entries_of_kind(self, kind: str, now: float) -> dict[str, PublishedEntry]:
        """Return the state entries of one kind by origin, of alive and suspected members and of this one."""
        return self.entries.of_kind(kind, now)

    def take_events(self) -> list[MemberEvent]:
        """Return and clear the events since the last call."""
        events = self.table.events
        self.table.events = []
        return events

    def due(self) -> float:
        """Return when to call `on_timer`."""
        self._due = min(
            self.detector.due, self.anti_entropy.due, self._queue.due, self.membership.next_timeout()
        )
        return self._due

    def timer_delay(self, now: float) -> float:
        """Return the seconds by which the timer is late; 0 before `due` was first called."""
        return max(0.0, now - self._due) if self._due > -inf else 0.0

    # Events

    def publish(self, now: float, kind: str, body: bytes) -> None:
        """Publish a state entry, replacing the previous one of its kind. Raises StateEntryError."""
        self.entries.publish(now, kind, body)

    def on_timer(self, now: float) -> list[Action]:
        """Run all due work."""
        self._detect_pause(now)
        actions: list[Action] = []
        self.detector.end_overdue(now, actions)
        self.membership.expire(now)
        self.detector.probe_next(now, actions)
        self.anti_entropy.sync(now, actions)
        if now >= self._queue.due:
            self._sender.gossip(now, actions)
        self.due()
        return actions

    def on_datagram(self, now: float, sender: str, message: Message) -> list[Action]:
        """Process and answer an authenticated message of a member."""
        self._detect_pause(now)
        actions: list[Action] = []
        if sender == self.name:
            return actions
        self.detector.message_received(sender)
        if not isinstance(message, Nack):
            self._apply(now, message.updates, message.entries, sender)
        match message:
            case Ping():
                self._sender.send(now, sender, Ack(message.sequence), actions)
            case PingRequest():
                self.detector.relay(now, sender, message, actions)
            case Ack():
                self.detector.ack_received(now, message.sequence, actions)
            case Nack():
                self.detector.nack_received(sender, message.sequence)
            case UpdateMessage():
                pass
        self.due()
        return actions

    def state(self, now: float) -> ClusterState:
        """Return the complete state of this node, for an exchange over a stream."""
        return self.anti_entropy.state(now)

    def merge(self, now: float, state: ClusterState, sender: str) -> None:
        """Merge the complete state of another member."""
        self._detect_pause(now)
        self.detector.message_received(sender)
        self._apply(now, [downgrade_dead(update, sender) for update in state.updates], state.entries, sender)
        self.due()

    def stream_ping_answered(self, now: float, name: str) -> None:
        """Process the answer to a StreamPing."""
        self._detect_pause(now)
        self.detector.stream_answer_received(name)
        self.due()

    def leave(self) -> list[Action]:
        """Tell a few members that this node leaves; they spread the update."""
        self.membership.leaving = True
        self.table.incarnation += 1
        update = replace(self.table.own_update(), state=int(MemberState.LEFT))
        return [
            SendDatagram(name, address, UpdateMessage((update,)))
            for name in self.table.sample(2 * self.settings.gossip_fanout)
            if (address := self.table.address_of(name)) is not None
        ]

    def _apply(
        self, now: float, updates: Iterable[MembershipUpdate], entries: Iterable[StateEntry], sender: str
    ) -> None:
        for update in updates:
            self.membership.apply(now, update, sender)
        for entry in entries:
            self.entries.accept(now, entry)

    def _detect_pause(self, now: float) -> None:
        """Detect a suspension of this process, before input that arrived meanwhile is processed."""
        delay = self.timer_delay(now)
        if delay <= self.settings.pause_threshold:
            return
        self._due = now
        self.pauses += 1
        self.health.adjust(PAUSE_HEALTH_PENALTY)
        self.membership.extend_suspicions(delay)
        self.detector.reset(now)
        self.anti_entropy.due = now  # exchange states to learn what happened during the pause
