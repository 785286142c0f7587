"""A seeded gossip cluster in virtual time; one digest covers every byte that its members send.

Loss, duplication, delay, partitions, suspended, killed and restarted members and state entries depend on the
seed alone. The messages of the members determine what happens next, so two versions give the same digest only
if every datagram, every stream frame, every membership decision and every random draw is the same.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from heapq import heappop, heappush

from sedgepitch.decisions.gossip.actions import Action, EventKind, SendDatagram, StreamPing
from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.decisions.gossip.replay_protection import SenderSessions, Verdict
from sedgepitch.decisions.gossip.settings import GossipSettings
from sedgepitch.peers import wire
from sedgepitch.peers.keys import Authenticator

START_S = 1000.0
AUTHENTICATOR = Authenticator([b"golden key of the gossip digests"])
SESSION_ID = 77
EVENT_KINDS = list(EventKind)
MAX_MEMBERS = 12


class GoldenCluster:
    """Runs one seed; `play` returns the SHA-256 of all messages and decisions."""

    def __init__(self, seed: int, length_s: float = 20.0) -> None:
        """Draw the size of the cluster and the network's conditions."""
        self.rng = random.Random(seed)
        self.length_s = length_s
        self.hash = hashlib.sha256()
        self.seen: dict[str, int] = {}
        self.now = START_S
        self.names = [f"m{number}" for number in range(self.rng.randrange(3, MAX_MEMBERS + 1))]
        self.loss = self.rng.choice((0.0, 0.05, 0.2))
        self.duplication = self.rng.choice((0.0, 0.1))
        self.max_delay_s = self.rng.choice((0.002, 0.02, 0.08))
        self.partition: set[str] = set()
        self.members: dict[str, GossipNode] = {}
        self.clock_offsets: dict[str, float] = {}
        self.suspended: dict[str, list[tuple[str, bytes]]] = {}
        self.counters: dict[str, int] = {}
        self.armed: dict[str, float] = {}
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled = 0

    def play(self) -> str:
        """Run the cluster and return the digest."""
        for name in self.names:
            self.at(START_S + self.rng.uniform(0.0, 1.0), lambda name=name: self.start(name))
        self.plan_faults()
        end = START_S + self.length_s
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heappop(self.heap)
            call()
        self.now = end
        for name in sorted(self.members):
            self.record("members", name, " ".join(self.members[name].alive()))
            self.record("frame", name, self.encode(name, "", self.frame_of(name)).hex())
        return self.hash.hexdigest()

    def plan_faults(self) -> None:
        """Draw the faults and published state entries, and schedule them."""
        for _ in range(self.rng.randrange(4, 10)):
            when = START_S + self.rng.uniform(1.0, self.length_s)
            name = self.rng.choice(self.names)
            length = self.rng.uniform(0.3, 9.0)
            kind = self.rng.choice(("suspend", "suspend", "kill", "leave", "partition", "seedless"))
            self.at(when, lambda kind=kind, name=name, length=length: self.fault(kind, name, length))
        for number in range(self.rng.randrange(5, 40)):
            when = START_S + self.rng.uniform(0.5, self.length_s)
            name = self.rng.choice(self.names)
            body = self.rng.randbytes(self.rng.randrange(0, 300))
            self.at(when, lambda n=name, k=f"kind{number % 3}", b=body: self.publish(n, k, b))

    # Faults

    def fault(self, kind: str, name: str, length_s: float) -> None:
        """Start one fault, which ends after `length_s`."""
        end = self.now + length_s
        if kind == "partition":
            self.partition = set(self.rng.sample(self.names, len(self.names) // 2))
            self.at(end, self.partition.clear)
        elif name not in self.members or name in self.suspended:
            return
        elif kind == "suspend":
            self.suspended[name] = []
            self.at(end, lambda: self.resume(name, keep=length_s > 4.0))
        elif kind == "kill":
            del self.members[name]
            self.at(end, lambda: self.start(name))
        elif kind == "leave":
            self.carry_out(name, self.members[name].leave())
            del self.members[name]
            self.at(end, lambda: self.start(name))
        else:
            self.members[name].anti_entropy.seeds.clear()

    def start(self, name: str) -> None:
        """Start a member with its seed addresses and no other state."""
        if name in self.members:
            return
        self.suspended.pop(name, None)
        seeds = [self.address(other) for other in self.names[:2] if other != name]
        settings = GossipSettings()
        seed = self.rng.getrandbits(32)
        self.members[name] = GossipNode(settings, name, self.address(name), seeds, seed)
        self.clock_offsets[name] = self.rng.uniform(-500.0, 500.0)
        self.run_timer(name)

    def resume(self, name: str, keep: bool) -> None:
        """Resume a suspended member; the datagrams queued for it are delivered or dropped."""
        waiting = self.suspended.pop(name, [])
        if keep and name in self.members:
            for sender, data in waiting:
                self.deliver(sender, name, data)
        self.run_timer(name)

    def publish(self, name: str, kind: str, body: bytes) -> None:
        """Publish a state entry."""
        if name in self.members and name not in self.suspended:
            self.members[name].publish(self.clock(name), kind, body)
            self.carry_out(name, [])

    # Time and network

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        self.scheduled += 1
        heappush(self.heap, (when, self.scheduled, call))

    def clock(self, name: str) -> float:
        """Return the time on a member's own clock."""
        return self.now + self.clock_offsets[name]

    def address(self, name: str) -> tuple[str, int]:
        """Return the listening address of a member."""
        return ("127.0.0.1", 10_000 + int(name[1:]))

    def separated(self, sender: str, to: str) -> bool:
        """Return whether the partition separates two members."""
        return (sender in self.partition) != (to in self.partition)

    def run_timer(self, name: str) -> None:
        """Run the timer of a member."""
        if name in self.members and name not in self.suspended:
            self.carry_out(name, self.members[name].on_timer(self.clock(name)))

    def carry_out(self, name: str, actions: list[Action]) -> None:
        """Record and carry out the actions of a member, then arm its timer."""
        member = self.members[name]
        for event in member.take_events():
            self.record("event", name, f"{EVENT_KINDS.index(event.kind)} {event.member}")
        for action in actions:
            if isinstance(action, SendDatagram):
                data = self.encode(name, action.to, action.message, wire.MAX_DATAGRAM_BYTES)
                self.send(name, action.to, data)
            elif isinstance(action, StreamPing):
                self.record("stream ping", name, action.to)
                self.stream_ping(name, action.to)
            else:
                self.record("sync", name, str(action.address[1]))
                self.sync(name, f"m{action.address[1] - 10_000}")
        self.record("due", name, repr(member.due() - self.clock_offsets[name]))
        due = member.due() - self.clock_offsets[name]
        armed = self.armed.get(name, 0.0)
        if armed <= self.now or due < armed - 1e-9:
            due = max(due, self.now + 1e-4)
            self.armed[name] = due
            self.at(due, lambda: self.run_timer(name))

    def encode(self, sender: str, to: str, body: wire.Body, max_bytes: int = wire.MAX_FRAME_BYTES) -> bytes:
        """Return the authenticated wire encoding of a message."""
        self.counters[sender] = self.counters.get(sender, 0) + 1
        envelope = wire.Envelope(sender, to, SESSION_ID, self.counters[sender], body)
        return wire.encode(AUTHENTICATOR, envelope, max_bytes)

    def send(self, sender: str, to: str, data: bytes) -> None:
        """Send a datagram over a network with loss, duplication and delay."""
        self.record(
            f"datagram {wire.decode(AUTHENTICATOR, data).body.__struct_config__.tag}", sender, data.hex()
        )
        for _ in range(1 + (self.rng.random() < self.duplication)):
            if self.rng.random() >= self.loss:
                when = self.now + self.rng.uniform(0.0005, self.max_delay_s)
                self.at(when, lambda: self.deliver(sender, to, data))

    def deliver(self, sender: str, to: str, data: bytes) -> None:
        """Deliver a datagram to its receiver."""
        if to not in self.members or self.separated(sender, to):
            return
        if to in self.suspended:
            self.suspended[to].append((sender, data))
            return
        message = wire.decode(AUTHENTICATOR, data).body
        self.carry_out(to, self.members[to].on_datagram(self.clock(to), sender, message))

    def reachable(self, name: str, to: str) -> bool:
        """Return whether a stream between two members can be opened."""
        running = name in self.members and name not in self.suspended
        return running and to in self.members and to not in self.suspended and not self.separated(name, to)

    def stream_ping(self, name: str, to: str) -> None:
        """Ping over a stream; the answer arrives after a round trip."""

        def answered() -> None:
            if self.reachable(name, to):
                self.members[name].stream_ping_answered(self.clock(name), to)
                self.carry_out(name, [])

        self.at(self.now + 4.0 * self.rng.uniform(0.0005, self.max_delay_s), answered)

    def sync(self, name: str, to: str) -> None:
        """Exchange complete states."""
        if not self.reachable(name, to):
            return
        self.merge(to, name, self.encode(name, to, self.frame_of(name)))
        data = self.encode(to, name, self.frame_of(to))
        self.at(self.now + 0.002, lambda: self.merge(name, to, data))

    def frame_of(self, name: str) -> wire.StreamState:
        """Return the frame that carries a member's complete state."""
        return wire.StreamState(b"echo", self.members[name].state(self.clock(name)))

    def merge(self, name: str, sender: str, data: bytes) -> None:
        """Merge the state of another member into a member."""
        self.record("frame", sender, data.hex())
        if name in self.members and name not in self.suspended:
            state = wire.decode(AUTHENTICATOR, data, wire.MAX_FRAME_BYTES).body.state
            self.members[name].merge(self.clock(name), state, sender)
            self.carry_out(name, [])

    def record(self, kind: str, name: str, text: str) -> None:
        """Add one line to the digest."""
        self.seen[kind] = self.seen.get(kind, 0) + 1
        self.hash.update(f"{self.now!r} {kind} {name} {text}\n".encode())


def play_replay_protection(seed: int, steps: int = 2000) -> str:
    """Check reordered and repeated datagrams of several incarnations; return the digest of the verdicts."""
    rng, digest, now = random.Random(seed), hashlib.sha256(), 0.0
    sessions = SenderSessions(seed, 4)
    challenges: dict[str, bytes] = {}
    for _ in range(steps):
        now += rng.expovariate(20.0)
        name, incarnation = f"m{rng.randrange(6)}", rng.randrange(1, 3)
        counter = max(1, int(now * 20.0) - rng.randrange(80))
        verdict = sessions.check(now, name, incarnation, counter)
        digest.update(f"{name} {incarnation} {counter} {list(Verdict).index(verdict)}\n".encode())
        if verdict is Verdict.CHALLENGE and (number := sessions.challenge(now, name)) is not None:
            digest.update(number)
            challenges[name] = number
        if rng.random() < 0.2 and name in challenges:
            proven = sessions.verify(now, name, incarnation, counter, challenges[name])
            digest.update(f"proven {proven}\n".encode())
        elif rng.random() < 0.01:
            sessions.establish(now, name, incarnation, counter)
    return digest.hexdigest()
