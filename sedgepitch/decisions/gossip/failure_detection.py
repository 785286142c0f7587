"""Failure detection: one member is probed an interval; one that does not answer is suspected.

A target that does not ack in time is pinged by other members on request, and asked over a stream, since lost
datagrams do not make a member dead. Other members that cannot reach it say so by a nack; where even nacks are
missing, this node is more likely the one that hears nothing, and its local health score grows (Lifeguard).

Departure from Lifeguard: while this node hears from others, the missing nack of a member that is silent
altogether does not count. Where many members fail at once, those that are asked are mostly dead themselves,
and the survivors would take the silence for their own deafness.
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

SEQUENCE_START_BITS = 24  # sequence numbers begin at random, so a restarted node repeats none soon


@dataclass(slots=True)
class Probe:
    """The probe under way. Times are seconds on this node's clock."""

    target: str
    sequence: int
    indirect_at: float  # when other members are asked
    ends_at: float  # when the target is suspected
    requested: bool = False  # whether other members were asked
    without_nack: set[str] = field(default_factory=set)  # those asked that have not answered so far


@dataclass(slots=True, frozen=True)
class RelayedProbe:
    """A ping on behalf of another member."""

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
        """Begin without a probe; the first one is due at once."""
        self.relayed: dict[int, RelayedProbe] = {}  # by the sequence number of this node's ping
        self._settings = settings
        self._table = table
        self._membership = membership
        self._sender = sender
        self._health = health
        self._probe_order = probe_order
        self._probe: Probe | None = None
        self._probe_at = -inf
        self._heard: set[str] = set()  # members since the present probe began
        self._sequence = rng.getrandbits(SEQUENCE_START_BITS)

    @property
    def due(self) -> float:
        """Return when `end_overdue` or `probe_next` has something to do."""
        times = [self._probe_at, *(relay.expires_at for relay in self.relayed.values())]
        if self._probe is not None:
            times.append(self._probe.ends_at if self._probe.requested else self._probe.indirect_at)
        return min(times)

    def probe_next(self, now: float, actions: list[Action]) -> None:
        """Ping the next member if an interval has passed and no probe is under way."""
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
        self._heard.clear()
        self._sender.send(now, target, Ping(self._sequence), actions)

    def end_overdue(self, now: float, actions: list[Action]) -> None:
        """Ask others about a target that is late, suspect one that stayed silent, end relayed probes."""
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
        """Ping a target on another member's behalf."""
        if (
            len(self.relayed) >= self._settings.max_relayed_probes
            or request.target not in self._table.members
        ):
            return
        self._sequence += 1
        expires_at = now + self._settings.ping_timeout
        self.relayed[self._sequence] = RelayedProbe(requester, request.sequence, expires_at)
        self._sender.send(now, request.target, Ping(self._sequence), actions)

    def acked(self, now: float, sequence: int, actions: list[Action]) -> None:
        """Take an ack: pass it on, or end this node's own probe."""
        relay = self.relayed.pop(sequence, None)
        if relay is not None:
            self._sender.send(now, relay.requester, Ack(relay.requester_sequence), actions)
        elif self._probe is not None and sequence == self._probe.sequence:
            self._succeed()

    def nacked(self, name: str, sequence: int) -> None:
        """Note that an asked member is reachable though the target is not."""
        if self._probe is not None and sequence == self._probe.sequence:
            self._probe.without_nack.discard(name)

    def heard(self, name: str) -> None:
        """Note that a member was heard, whatever it said."""
        self._heard.add(name)

    def answered_by_stream(self, name: str) -> None:
        """End this node's probe of a member that answered over a stream."""
        self._heard.add(name)
        if self._probe is not None and self._probe.target == name:
            self._succeed()

    def restart(self, now: float) -> None:
        """Drop all probes under way after a pause of this process: they are too old to judge by."""
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
        missing = probe.without_nack & self._heard if self._heard else probe.without_nack
        self._health.adjust(len(missing))
        member = self._table.members.get(probe.target)
        if member is None or not member.reachable:
            return
        self._membership.suspect(now, member, self._table.name)
        address = self._table.address_of(member.name)
        if address is not None:
            actions.append(
                SyncState(address)
            )  # a target that is alive learns of the suspicion and refutes it
