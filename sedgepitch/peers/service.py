"""One peer on sockets: datagrams and short streams, carried to and from `decisions/gossip`. Decides nothing.

What came while this process stood still is not read as news: datagrams that wait in the socket at a late turn
are dropped, streams that were open are closed.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, DatagramProtocol, ServerFactory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from sedgepitch.core.types import Clock
from sedgepitch.decisions.gossip import protocol as gossip
from sedgepitch.decisions.gossip.protocol import Address, Gossip, GossipSettings, Knock, Say, Sync
from sedgepitch.decisions.gossip.replay_protection import Sessions, Verdict
from sedgepitch.net.listener import listen
from sedgepitch.peers import wire
from sedgepitch.peers.keys import Sealer
from sedgepitch.peers.wire import BadDatagram, Challenge, Envelope, Opened, Opening, Proof, Whole

BACKLOG = 64  # streams that may wait to be accepted
STREAM_WITHIN = 2.0  # s for a whole exchange
MOST_STREAMS = 32  # open at once, each way
PROOFS_A_SECOND = 50  # answers to challenges
PARKED_FOR = 0.5  # s that a first datagram waits for its sender's proof
LINE_EVERY = 1.0  # s between lines of one kind about bad input


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """Where this peer is and whom it asks first. `routes`: how a peer is reached from here, by name."""

    name: str
    listen: Address
    seeds: tuple[Address, ...] = ()
    routes: dict[str, Address] = field(default_factory=dict)
    gossip: GossipSettings = field(default_factory=GossipSettings)


class Peers:
    """The service. `changed` hears (what, name) as in `Gossip.changes`; `say` writes a line of the log."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        settings: PeerSettings,
        sealer: Sealer,
        changed: Callable[[str, str], None] = lambda what, name: None,
        say: Callable[..., None] = lambda event, **fields: None,
        seed: int | None = None,
    ) -> None:
        self.reactor, self.clock, self.settings, self.sealer = reactor, clock, settings, sealer
        self.changed, self.say = changed, say
        self.random = random.Random(seed) if seed is not None else random.SystemRandom()
        self.life, self.counter = self.random.getrandbits(63), 0
        self.sessions = Sessions(self.random.getrandbits(32), settings.gossip.most_peers)
        self.gossip: Gossip | None = None
        self.parked: dict[str, tuple[float, Any]] = {}
        self.streams: set[_Stream] = set()
        self.counts: Counter[str] = Counter()
        self.sent_bytes = 0
        self.proofs_from, self.proofs = 0.0, 0
        self.said: dict[str, float] = {}
        self.udp: Any = None
        self.tcp: Any = None
        self.timer: Any = None
        self.timer_at = 0.0
        self.stopped = False

    # Life

    def start(self) -> Address:
        """Open both sockets on one port; returns the address. Raises CannotListenError."""
        host, port = self.settings.listen
        self.tcp = listen(self.reactor, port, _Accepting(self), host, BACKLOG)
        port = self.tcp.getHost().port
        try:
            self.udp = self.reactor.listenUDP(
                port, _Datagrams(self), interface=host, maxPacketSize=wire.MOST_DATAGRAM + 1
            )
        except Exception:
            self.tcp.stopListening()
            raise
        self.gossip = Gossip(
            self.settings.gossip,
            self.settings.name,
            (host, port),
            self.settings.seeds,
            self.random.getrandbits(32),
        )
        self.gossip.routes.update(self.settings.routes)
        self._turn()
        return host, port

    def stop(self) -> None:
        """Say goodbye and close."""
        if self.stopped or self.gossip is None:
            return
        self._carry(self.gossip.leave(self.clock.now()))
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self.udp.stopListening()
        self.tcp.stopListening()
        for stream in list(self.streams):
            stream.end()

    def tell(self, kind: str, body: bytes) -> None:
        """Say something of this peer to all; raises ValueError where it is too large."""
        assert self.gossip is not None
        self.gossip.tell(self.clock.now(), kind, body)
        self._arm()

    def heard_of(self, kind: str) -> dict[str, tuple[float, bytes]]:
        """The living peers' words of one kind, each with its age in seconds."""
        return self.gossip.heard_of(kind, self.clock.now()) if self.gossip is not None else {}

    def status(self) -> dict[str, Any]:
        """What is held, for people."""
        held, now = self.gossip, self.clock.now()
        if held is None:
            return {}
        return {
            "name": held.name,
            "address": "{}:{}".format(*held.address),
            "incarnation": held.incarnation,
            "awareness": held.awareness,
            "sleeps": held.sleeps,
            "suspicions": held.suspicions,
            "deaths": held.deaths,
            "counts": dict(self.counts),
            "sent_bytes": self.sent_bytes,
            "peers": [
                {
                    "name": peer.name,
                    "address": "{}:{}".format(*(held.address_of(peer.name) or peer.address)),
                    "life": peer.life.name.lower(),
                    "for_s": round(now - peer.since, 3),
                    "incarnation": peer.incarnation,
                    "accusers": sorted(peer.accusers) if peer.life == gossip.Life.SUSPECT else [],
                    "words": {kind: round(now - word.born, 3) for kind, word in peer.words.items()},
                }
                for peer in sorted(held.peers.values(), key=lambda p: p.name)
            ],
        }

    # Time

    def late(self) -> bool:
        """Whether this process stood still: what waits to be read is as old as that."""
        held = self.gossip
        return held is not None and held.lateness(self.clock.now()) > held.settings.asleep_after

    def _turn(self) -> None:
        self.timer = None
        if self.stopped or self.gossip is None:
            return
        if self.late():
            self.counts["late turns"] += 1
            for stream in list(self.streams):
                stream.end()
            self.parked.clear()
        self._carry(self.gossip.turn(self.clock.now()))
        self._arm()

    def _arm(self) -> None:
        """Have a turn when the next thing is due."""
        if self.stopped or self.gossip is None:
            return
        due = self.gossip.due()
        if self.timer is not None:
            if due >= self.timer_at - 1e-4:
                return
            self.timer.cancel()
        now = self.clock.now()
        self.timer_at = max(due, now + 0.001)
        self.timer = self.clock.call_later(self.timer_at - now, self._turn)

    def _carry(self, actions: list[gossip.Action]) -> None:
        assert self.gossip is not None
        changes, self.gossip.changes = self.gossip.changes, []
        for what, name in changes:
            if what != "word":
                self.say(f"peer.{what}", peer=name)
            self.changed(what, name)
        for action in actions:
            if isinstance(action, Say):
                self._send(action.to, action.address, action.message)
            elif isinstance(action, Sync):
                self._open(action.address, "")
            elif isinstance(action, Knock):
                self._open(action.address, action.to)

    # Datagrams

    def envelope(self, to: str, body: Any) -> Envelope:
        """Wrap a message; every one has the next number."""
        self.counter += 1
        return Envelope(self.settings.name, to, self.life, self.counter, body)

    def _send(self, to: str, address: Address, body: Any) -> None:
        if self.udp is None or self.stopped:
            return
        data = wire.encode(self.sealer, self.envelope(to, body))
        try:
            self.udp.write(data, address)
        except OSError:  # a full buffer, or nobody there: as lost on the way
            self.counts["unsent"] += 1
            return
        self.counts["sent"] += 1
        self.sent_bytes += len(data)

    def datagram(self, data: bytes, source: Address) -> None:
        """Take what came; nothing that does not verify has an effect."""
        held = self.gossip
        if held is None or self.stopped:
            return
        if self.late():
            self.counts["old"] += 1
            return
        try:
            told = wire.decode(self.sealer, data)
        except BadDatagram as error:
            self._bad("bad", "peers.bad", str(error), source)
            return
        if told.to != held.name or told.sender == held.name:
            self.counts["not for me"] += 1
            return
        now, body = self.clock.now(), told.body
        if isinstance(body, Challenge):
            self._prove(now, told.sender, body, source)
        elif isinstance(body, Proof):
            if self.sessions.proven(now, told.sender, told.life, told.counter, body.number):
                self._unpark(now, told.sender)
        elif isinstance(body, (Opening, Opened, Whole)):
            self.counts["bad"] += 1
        else:
            verdict = self.sessions.judge(now, told.sender, told.life, told.counter)
            if verdict is Verdict.TAKE:
                self.counts["taken"] += 1
                self._carry(held.heard(now, told.sender, body))
                self._arm()
            elif verdict is Verdict.DROP:
                self.counts["replayed"] += 1
            else:
                self._challenge(now, told.sender, body, source)

    def _challenge(self, now: float, sender: str, body: Any, source: Address) -> None:
        assert self.gossip is not None
        number = self.sessions.challenge(now, sender)
        if number is None:
            self.counts["unproven"] += 1
            return
        self.parked[sender] = (now, body)
        if len(self.parked) > self.settings.gossip.most_peers:
            del self.parked[next(iter(self.parked))]
        self._send(sender, self.gossip.address_of(sender) or source, Challenge(number))

    def _prove(self, now: float, sender: str, challenge: Challenge, source: Address) -> None:
        assert self.gossip is not None
        if now - self.proofs_from >= 1.0:
            self.proofs_from, self.proofs = now, 0
        self.proofs += 1
        if self.proofs <= PROOFS_A_SECOND and len(challenge.number) <= 64:
            self._send(sender, self.gossip.address_of(sender) or source, Proof(challenge.number))

    def _unpark(self, now: float, sender: str) -> None:
        parked = self.parked.pop(sender, None)
        if parked is not None and now - parked[0] <= PARKED_FOR and self.gossip is not None:
            self._carry(self.gossip.heard(now, sender, parked[1]))
            self._arm()

    def _bad(self, kind: str, event: str, why: str, source: Any) -> None:
        self.counts[kind] += 1
        now = self.clock.now()
        if now - self.said.get(event, -LINE_EVERY) >= LINE_EVERY:
            self.said[event] = now
            self.say(event, why=why, source="{}:{}".format(*source), times=self.counts[kind])

    # Streams

    def _open(self, address: Address, name: str) -> None:
        if len(self.streams) >= 2 * MOST_STREAMS:
            self.counts["streams refused"] += 1
            return
        self.reactor.connectTCP(*address, _Opening(self, name), timeout=STREAM_WITHIN)

    def accepts(self) -> bool:
        """Whether one more stream may be opened to this peer."""
        return sum(s.served for s in self.streams) < MOST_STREAMS

    def whole(self, stream: _Stream, told: Envelope, state: gossip.State | None) -> None:
        """A stream has proved its other end, and brought its state or none."""
        held, now = self.gossip, self.clock.now()
        if held is None or self.stopped:
            return
        self.counts["streams"] += 1
        self.sessions.accept(now, told.sender, told.life, told.counter)
        self._unpark(now, told.sender)
        if not stream.served and stream.name:
            held.knocked(now, told.sender)
        if state is not None:
            self._carry(held.merge(now, state, told.sender))
        self._arm()


class _Datagrams(DatagramProtocol):
    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        self.peers.datagram(data, addr)


class _Stream(Int32StringReceiver):
    """One exchange: each side repeats the other's number, so neither can be a replay."""

    MAX_LENGTH = wire.MOST_FRAME
    transport: Any

    def __init__(self, peers: Peers, served: bool, name: str = "") -> None:
        self.peers, self.served, self.name = peers, served, name
        self.number = peers.random.randbytes(16)
        self.theirs = b""
        self.timer: Any = None
        self.over = False

    def connectionMade(self) -> None:
        self.peers.streams.add(self)
        self.timer = self.peers.clock.call_later(STREAM_WITHIN, self.end)
        if not self.served:
            self._say(Opening(self.number), self.name)

    def end(self) -> None:
        """Close it at once."""
        self.over = True
        if self.transport is not None:
            self.transport.abortConnection()

    def stringReceived(self, string: bytes) -> None:
        peers = self.peers
        if self.over or peers.stopped:
            return
        if peers.late():
            self.end()
            return
        try:
            told = wire.decode(peers.sealer, string, wire.MOST_FRAME)
            self._frame(told)
        except BadDatagram as error:
            self._wrong(str(error))

    def lengthLimitExceeded(self, length: int) -> None:
        self._wrong(f"a frame of {length} bytes")

    def _frame(self, told: Envelope) -> None:
        peers, body = self.peers, told.body
        held = peers.gossip
        if held is None or told.to not in (held.name, "") or told.sender == held.name:
            raise BadDatagram(f"a frame from '{told.sender}' to '{told.to}'")
        if self.served and isinstance(body, Opening):
            self.theirs = body.number[:64]
            self._say(Opened(self.theirs, self.number), told.sender)
            return
        if not self.served and isinstance(body, Opened) and body.echo == self.number and not self.theirs:
            self.theirs = body.number[:64]
            state = None if self.name else held.state(peers.clock.now())
            self._say(Whole(self.theirs, state), told.sender)
            return
        if not isinstance(body, Whole) or body.echo != self.number:
            raise BadDatagram(f"a frame out of turn from '{told.sender}'")
        peers.whole(self, told, body.state)
        if self.served:
            state = held.state(peers.clock.now()) if body.state is not None else None
            self._say(Whole(self.theirs, state), told.sender)
        self.over = True
        if self.transport is not None:
            self.transport.loseConnection()

    def _say(self, body: Any, to: str) -> None:
        try:
            data = wire.encode(self.peers.sealer, self.peers.envelope(to, body), wire.MOST_FRAME)
        except ValueError as error:
            self._wrong(str(error))
            return
        self.peers.sent_bytes += len(data) + 4
        self.sendString(data)

    def _wrong(self, why: str) -> None:
        source: IAddress = self.transport.getPeer()
        place = (source.host, source.port) if isinstance(source, IPv4Address) else ("?", 0)
        self.peers._bad("bad frames", "peers.bad_frame", why, place)
        self.end()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.over = True
        self.peers.streams.discard(self)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class _Accepting(ServerFactory):
    noisy = False

    def __init__(self, peers: Peers) -> None:
        self.peers = peers

    def buildProtocol(self, addr: IAddress | None) -> _Stream | None:
        if not self.peers.accepts():
            self.peers.counts["streams refused"] += 1
            return None
        return _Stream(self.peers, served=True)


class _Opening(ClientFactory):
    noisy = False

    def __init__(self, peers: Peers, name: str) -> None:
        self.peers, self.name = peers, name

    def buildProtocol(self, addr: IAddress | None) -> _Stream:
        return _Stream(self.peers, served=False, name=self.name)
