"""A gossip node on sockets: connects datagrams, streams and timers to the node, which makes all decisions.

Input that arrived while this process was suspended is stale: when a timer fires late, datagrams queued in the
socket are dropped, and open streams are closed.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sedgepitch.core.types import Clock
from sedgepitch.decisions.gossip.actions import (
    Action,
    Address,
    EventKind,
    MemberEvent,
    SendDatagram,
    StreamPing,
    SyncState,
)
from sedgepitch.decisions.gossip.messages import ClusterState, Message
from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.decisions.gossip.replay_protection import SenderSessions
from sedgepitch.decisions.gossip.settings import GossipSettings
from sedgepitch.decisions.gossip.state_entries import PublishedEntry
from sedgepitch.errors import PeerError
from sedgepitch.net.listener import listen
from sedgepitch.peers import wire
from sedgepitch.peers.counters import PeerCounter
from sedgepitch.peers.datagrams import Datagrams
from sedgepitch.peers.input_errors import InputErrors
from sedgepitch.peers.keys import Authenticator
from sedgepitch.peers.status import node_status
from sedgepitch.peers.streams import STREAM_TIMEOUT_S, AcceptedStreams, OpenedStream, Stream
from sedgepitch.peers.wire import Envelope

LISTEN_BACKLOG = 64  # connections waiting to be accepted
MAX_STREAMS = 32  # open at the same time, in each direction
TIMER_MIN_S = 0.001
TIMER_TOLERANCE_S = 1e-4  # a set timer is kept unless the next one is due earlier by more
SESSION_ID_BITS = 63
SEED_BITS = 32
Reactor = Any  # Twisted's reactors have no common type


class NotStartedError(PeerError):
    """The service was used before `start`."""


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """Settings of a peer. It contacts `seeds` first; `routes` overrides the addresses of peers by name."""

    name: str
    listen: Address
    seeds: tuple[Address, ...] = ()
    routes: dict[str, Address] = field(default_factory=dict)
    gossip: GossipSettings = field(default_factory=GossipSettings)


def _ignore_event(event: MemberEvent) -> None:
    """Ignore a membership event."""


def _ignore_log(event: str, **fields: object) -> None:
    """Discard a log event."""


class PeerService:
    """One peer. `on_event` is called for each membership event; `log` writes a structured log event."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        settings: PeerSettings,
        authenticator: Authenticator,
        on_event: Callable[[MemberEvent], None] = _ignore_event,
        log: Callable[..., None] = _ignore_log,
        seed: int | None = None,
    ) -> None:
        """Create a peer; `start` opens its sockets. `seed` seeds the random generator in tests."""
        self.clock = clock
        self.settings = settings
        self.authenticator = authenticator
        self.on_event = on_event
        self.rng = random.Random(seed) if seed is not None else random.SystemRandom()
        self.node: GossipNode | None = None
        self.streams: set[Stream] = set()
        self.stream_bytes = 0
        self.counters: Counter[PeerCounter] = Counter()
        self.input_errors = InputErrors(clock, self.counters, log)
        self.stopped = False
        self._session_id = self.rng.getrandbits(SESSION_ID_BITS)
        self._counter = 0
        sessions = SenderSessions(self.rng.getrandbits(SEED_BITS), settings.gossip.max_members)
        self._datagrams = Datagrams(self, sessions)
        self._reactor = reactor
        self._log = log
        self._udp: Any = None
        self._tcp: Any = None
        self._timer: Any = None
        self._timer_at = 0.0

    # Start and stop

    def start(self) -> Address:
        """Open the TCP and UDP sockets on the same port; returns the address. Raises CannotListenError."""
        host, port = self.settings.listen
        self._tcp = listen(self._reactor, port, AcceptedStreams(self), host, LISTEN_BACKLOG)
        port = self._tcp.getHost().port
        try:
            self._udp = self._reactor.listenUDP(
                port, self._datagrams, interface=host, maxPacketSize=wire.MAX_DATAGRAM_BYTES + 1
            )
        except Exception:
            self._tcp.stopListening()
            raise
        settings = self.settings
        seed = self.rng.getrandbits(SEED_BITS)
        self.node = GossipNode(settings.gossip, settings.name, (host, port), settings.seeds, seed)
        self.node.table.routes.update(settings.routes)
        self._on_timer()
        return host, port

    def stop(self) -> None:
        """Announce that this peer leaves the cluster, and close all sockets."""
        if self.stopped or self.node is None:
            return
        self._execute(self.node, self.node.leave())
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._udp.stopListening()
        self._tcp.stopListening()
        for stream in list(self.streams):
            stream.abort()

    # Called by the owner

    def publish(self, kind: str, body: bytes) -> None:
        """Publish a state entry. Raises StateEntryError if too large, NotStartedError before `start`."""
        if self.node is None:
            raise NotStartedError(f"the peer {self.settings.name} is not started")
        self.node.publish(self.clock.now(), kind, body)
        self._schedule_timer()

    def entries_of_kind(self, kind: str) -> dict[str, PublishedEntry]:
        """Return the state entries of one kind by origin; none before `start`."""
        return self.node.entries_of_kind(kind, self.clock.now()) if self.node is not None else {}

    def status(self) -> dict[str, object]:
        """Return the known members and counters, for operators; empty before `start`."""
        if self.node is None:
            return {}
        sent_bytes = self.stream_bytes + self._datagrams.sent_bytes
        return node_status(self.node, self.clock.now(), self.counters, sent_bytes)

    # Called by datagrams and streams

    def envelope(self, to: str, body: wire.Body) -> Envelope:
        """Wrap a message with the next counter value of this session."""
        self._counter += 1
        return Envelope(self.settings.name, to, self._session_id, self._counter, body)

    def address_of(self, name: str) -> Address | None:
        """Return the address of a member; None if it is unknown."""
        return self.node.table.address_of(name) if self.node is not None else None

    def was_suspended(self) -> bool:
        """Return whether this process has just resumed from a suspension, so that queued input is stale."""
        node = self.node
        return node is not None and node.timer_delay(self.clock.now()) > node.settings.pause_threshold

    def handle_message(self, now: float, sender: str, message: Message) -> None:
        """Pass a message of a proven session to the node."""
        if self.node is not None:
            self._execute(self.node, self.node.on_datagram(now, sender, message))
            self._schedule_timer()

    def may_accept_stream(self) -> bool:
        """Return whether another incoming stream may be accepted."""
        return sum(stream.accepted for stream in self.streams) < MAX_STREAMS

    def stream_completed(self, stream: Stream, envelope: Envelope, state: ClusterState | None) -> None:
        """Handle a stream that has proven the other side's session; `state` is None for a ping."""
        node = self.node
        if node is None or self.stopped:
            return
        now, sender = self.clock.now(), envelope.sender
        self.counters[PeerCounter.STREAMS] += 1
        self._datagrams.sessions.establish(now, sender, envelope.session_id, envelope.counter)
        self._datagrams.session_proven(now, sender)
        if not stream.accepted and stream.ping_target:
            node.stream_ping_answered(now, sender)
        if state is not None:
            node.merge(now, state, sender)
            self._execute(node, [])
        self._schedule_timer()

    # Timer and actions

    def _on_timer(self) -> None:
        self._timer = None
        if self.stopped or self.node is None:
            return
        if self.was_suspended():
            self.counters[PeerCounter.LATE_TIMERS] += 1
            for stream in list(self.streams):
                stream.abort()
            self._datagrams.forget_unproven()
        self._execute(self.node, self.node.on_timer(self.clock.now()))
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        """Schedule the timer for the node's next due time."""
        if self.stopped or self.node is None:
            return
        due = self.node.due()
        if self._timer is not None:
            if due >= self._timer_at - TIMER_TOLERANCE_S:
                return
            self._timer.cancel()
        now = self.clock.now()
        self._timer_at = max(due, now + TIMER_MIN_S)
        self._timer = self.clock.call_later(self._timer_at - now, self._on_timer)

    def _execute(self, node: GossipNode, actions: list[Action]) -> None:
        for event in node.take_events():
            if event.kind is not EventKind.ENTRY_CHANGED:
                self._log(f"peer.{event.kind.value}", peer=event.member)
            self.on_event(event)
        for action in actions:
            match action:
                case SendDatagram():
                    self._datagrams.send(action.to, action.address, action.message)
                case SyncState():
                    self._open_stream(action.address)
                case StreamPing():
                    self._open_stream(action.address, ping_target=action.to)

    def _open_stream(self, address: Address, ping_target: str = "") -> None:
        if len(self.streams) >= 2 * MAX_STREAMS:
            self.counters[PeerCounter.STREAMS_REFUSED] += 1
            return
        host, port = address
        self._reactor.connectTCP(host, port, OpenedStream(self, ping_target), timeout=STREAM_TIMEOUT_S)
