"""Failure detection: probes one member per interval and suspects a member that does not answer.

If a target does not ack in time, other members (helpers) ping it on request, and this node pings it over a
stream, since datagram loss does not mean that a member is dead. A helper that cannot reach the target replies
with a nack. If nacks are missing as well, the fault is more likely on this node's side, and its local health
score grows (Lifeguard).

Deviation from Lifeguard: while this node receives messages from other members, the missing nack of a member
that sent nothing at all does not count. When many members fail at once, most of the helpers are dead too, and
the survivors would attribute the missing nacks to their own health.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from math import inf

from sedgepitch.decisions.gossip.actions import Action, StreamPing, SyncState
from sedgepitch.decisions.gossip.local_health import LocalHealth
from sedgepitch.decisions.gossip.members import MemberTable
from sedgepitch.decisions.gossip.membership import Membership
from sedgepitch.decisions.gossip.messages import Ack, Nack, Ping, PingRequest
from sedgepitch.decisions.gossip.piggyback import Sender
from sedgepitch.decisions.gossip.probe_order import ProbeOrder
from sedgepitch.decisions.gossip.settings import GossipSettings

SEQUENCE_START_BITS = 24  # random first sequence number, so that a restarted node does not soon reuse one


@dataclass(slots=True)
class Probe:
    """The probe in progress. Times are seconds on this node's clock."""

    target: str
    sequence: int
    indirect_at: float  # when helpers are asked to ping the target
    ends_at: float  # when the target becomes suspected
    requested: bool = False  # whether helpers were asked
    without_nack: set[str] = field(default_factory=set)  # helpers that have not sent a nack


@dataclass(slots=True, frozen=True)
class RelayedProbe:
    """A ping sent on behalf of another member."""

    requester: str
    requester_sequence: int
    expires_at: float


class FailureDetector:
    """Probes members and suspects those that do not answer."""

    def __init__(
        self,
        settings: GossipSettings,
        table: MemberTable,
        membership: Membership,
        sender: Sender,
        health: LocalHealth,
        probe_order: ProbeOrder,
        rng: random.Random,
    ) -> None:
        """Start without a probe; the first one is due immediately."""
        self.relayed: dict[int, RelayedProbe] = {}  # keyed by the sequence number of this node's ping
        self._settings = settings
        self._table = table
        self._membership = membership
        self._sender = sender
        self._health = health
        self._probe_order = probe_order
        self._probe: Probe | None = None
        self._probe_at = -inf
        self._active_members: set[str] = set()  # members that sent a message since the current probe started
        self._sequence = rng.getrandbits(SEQUENCE_START_BITS)

    @property
    def due(self) -> float:
        """Return the next time at which `end_overdue` or `probe_next` has work."""
        times = [self._probe_at, *(relay.expires_at for relay in self.relayed.values())]
        if self._probe is not None:
            times.append(self._probe.ends_at if self._probe.requested else self._probe.indirect_at)
        return min(times)

    def probe_next(self, now: float, actions: list[Action]) -> None:
        """Ping the next member if an interval has passed and no probe is in progress."""
        if now < self._probe_at:
            return
        interval = self._settings.probe_interval * self._health.multiplier
        self._probe_at = now + interval
        if self._probe is not None:
            return
        target = self._probe_order.next()
        if target is None:
            return
        self._sequence += 1
        timeout = self._settings.ping_timeout * self._health.multiplier
        self._probe = Probe(target, self._sequence, now + timeout, now + interval)
        self._active_members.clear()
        self._sender.send(now, target, Ping(self._sequence), actions)

    def end_overdue(self, now: float, actions: list[Action]) -> None:
        """Start the indirect probe, suspect a target without an answer, and nack expired relayed probes."""
        probe = self._probe
        if probe is not None and not probe.requested and now >= probe.indirect_at:
            self._probe_indirectly(now, probe, actions)
        if probe is not None and now >= probe.ends_at:
            self._fail(now, probe, actions)
        for sequence, relay in list(self.relayed.items()):
            if now >= relay.expires_at:
                del self.relayed[sequence]
                self._sender.send(now, relay.requester, Nack(relay.requester_sequence), actions)

    def relay(self, now: float, requester: str, request: PingRequest, actions: list[Action]) -> None:
        """Ping a target on behalf of another member."""
        if (
            len(self.relayed) >= self._settings.max_relayed_probes
            or request.target not in self._table.members
        ):
            return
        self._sequence += 1
        expires_at = now + self._settings.ping_timeout
        self.relayed[self._sequence] = RelayedProbe(requester, request.sequence, expires_at)
        self._sender.send(now, request.target, Ping(self._sequence), actions)

    def ack_received(self, now: float, sequence: int, actions: list[Action]) -> None:
        """Handle an ack: forward it to the requester, or end this node's own probe."""
        relay = self.relayed.pop(sequence, None)
        if relay is not None:
            self._sender.send(now, relay.requester, Ack(relay.requester_sequence), actions)
        elif self._probe is not None and sequence == self._probe.sequence:
            self._succeed()

    def nack_received(self, name: str, sequence: int) -> None:
        """Record that a helper is reachable although the target is not."""
        if self._probe is not None and sequence == self._probe.sequence:
            self._probe.without_nack.discard(name)

    def message_received(self, name: str) -> None:
        """Record that a message of any kind arrived from a member."""
        self._active_members.add(name)

    def stream_answer_received(self, name: str) -> None:
        """End this node's probe of a member that answered over a stream."""
        self._active_members.add(name)
        if self._probe is not None and self._probe.target == name:
            self._succeed()

    def reset(self, now: float) -> None:
        """Drop all probes in progress after a pause of this process, since they are out of date."""
        self._probe = None
        self.relayed.clear()
        self._probe_at = max(self._probe_at, now + self._settings.probe_interval)

    def _succeed(self) -> None:
        self._probe = None
        self._health.adjust(-1)

    def _probe_indirectly(self, now: float, probe: Probe, actions: list[Action]) -> None:
        helpers = self._table.sample(self._settings.indirect_probes, (probe.target,))
        probe.requested = True
        probe.without_nack = set(helpers)
        for helper in helpers:
            self._sender.send(now, helper, PingRequest(probe.sequence, probe.target), actions)
        address = self._table.address_of(probe.target)
        if address is not None:
            actions.append(StreamPing(probe.target, address))

    def _fail(self, now: float, probe: Probe, actions: list[Action]) -> None:
        self._probe = None
        missing_nacks = (
            probe.without_nack & self._active_members if self._active_members else probe.without_nack
        )
        self._health.adjust(len(missing_nacks))
        member = self._table.members.get(probe.target)
        if member is None or not member.reachable:
            return
        self._membership.suspect(now, member, self._table.name)
        address = self._table.address_of(member.name)
        if address is not None:
            # Lets a target that is alive learn of the suspicion and refute it.
            actions.append(SyncState(address))
