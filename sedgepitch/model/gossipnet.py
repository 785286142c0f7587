"""Simulates a gossip cluster in virtual time: loss, delay, partitions, suspended and killed members.

`python -m sedgepitch.model.gossipnet` prints simulated detection times, false suspicions and traffic.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from sedgepitch.decisions.gossip.actions import Action, Address, EventKind, SendDatagram, StreamPing
from sedgepitch.decisions.gossip.messages import ClusterState, MemberState, Message, Nack
from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.decisions.gossip.piggyback import encoded_size_bound
from sedgepitch.decisions.gossip.settings import GossipSettings

DATAGRAM_OVERHEAD_BYTES = 40  # per datagram, without updates and entries: version, tag, names, counters
START_S = 1000.0
FIRST_PORT = 10_000
SEED_MEMBERS = 2  # the first members; all others start with their addresses
MAX_CLOCK_OFFSET_S = 500.0
MIN_TIMER_S = 1e-4  # minimum delay of a timer, so that virtual time always advances
STATE_TRANSFER_S = 0.002
STREAM_ONE_WAY_DELAYS = 4.0  # of a handshake, a request and its response
SECONDS_PER_HOUR = 3600.0


def _no_partition(_sender: str, _to: str) -> bool:
    """Report no partition between any two members."""
    return False


@dataclass(slots=True)
class NetworkConditions:
    """Network behaviour; delays in seconds. `partitioned(sender, to)` returns whether that path is cut."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay: float = 0.0005
    max_delay: float = 0.002
    partitioned: Callable[[str, str], bool] = _no_partition


@dataclass(slots=True, frozen=True)
class RecordedEvent:
    """A membership event of `member` at `observer`; `at` is in virtual seconds."""

    at: float
    observer: str
    kind: EventKind
    member: str


@dataclass(slots=True)
class Record:
    """The events and the traffic of a cluster."""

    events: list[RecordedEvent] = field(default_factory=list)
    datagrams: int = 0
    bytes: int = 0


class SimulatedCluster:
    """A cluster of gossip nodes. `run` advances virtual time; other methods act on one member by name."""

    def __init__(
        self,
        count: int,
        seed: int,
        settings: GossipSettings | None = None,
        network: NetworkConditions | None = None,
    ) -> None:
        """Start `count` members; `seed` determines all random draws."""
        self.settings = settings or GossipSettings()
        self.network = network or NetworkConditions()
        self.rng = random.Random(seed)
        self.now = START_S
        self.nodes: dict[str, GossipNode] = {}
        self.clock_offsets: dict[str, float] = {}  # each member's clock has its own offset
        self.suspended: dict[str, list[tuple[str, Message]]] = {}  # with the datagrams in its socket buffer
        self.record = Record()
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled = 0
        self._timers: dict[str, float] = {}
        for number in range(count):
            self.start(f"d{number}")

    # Members

    def start(self, name: str) -> GossipNode:
        """Start a member, or restart it with empty state."""
        names = (f"d{number}" for number in range(SEED_MEMBERS))
        seeds = [self._address(other) for other in names if other != name]
        node = GossipNode(self.settings, name, self._address(name), seeds, self.rng.getrandbits(32))
        self.nodes[name] = node
        self.clock_offsets[name] = self.rng.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S)
        self._on_timer(name)
        return node

    def kill(self, name: str) -> None:
        """Kill a member: it stops without announcing that it leaves."""
        self.nodes.pop(name, None)
        self.suspended.pop(name, None)

    def suspend(self, name: str) -> None:
        """Suspend a member; datagrams to it are kept in its socket buffer."""
        self.suspended[name] = []

    def resume(self, name: str, read_waiting: bool = False) -> None:
        """Resume a member. Buffered datagrams are dropped as stale, as in `PeerService`.

        With `read_waiting` they are delivered instead.
        """
        buffered = self.suspended.pop(name, [])
        if read_waiting:
            for sender, message in buffered:
                self._deliver(sender, name, message)
        self._on_timer(name)

    # Time

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call at virtual time `when`."""
        self._scheduled += 1
        heappush(self._calls, (when, self._scheduled, call))

    def run(self, seconds: float) -> None:
        """Advance virtual time and run the calls that come due."""
        end = self.now + seconds
        while self._calls and self._calls[0][0] <= end:
            self.now, _, call = heappop(self._calls)
            call()
        self.now = end

    def run_until(self, condition: Callable[[], bool], timeout: float, step: float = 0.05) -> float:
        """Run until a condition holds; returns the seconds it took. Raises AssertionError at the timeout."""
        began = self.now
        while not condition():
            if self.now - began > timeout:
                raise AssertionError(
                    f"condition not met within {timeout} s; first two views: {self._first_views()}"
                )
            self.run(step)
        return self.now - began

    def clock(self, name: str) -> float:
        """Return the time on the clock of one member."""
        return self.now + self.clock_offsets[name]

    # Views

    def agree(self, names: list[str]) -> bool:
        """Return whether all of these members consider exactly these members alive."""
        expected = sorted(names)
        return all(self.nodes[name].alive() == expected for name in names)

    def _first_views(self) -> list[list[str]]:
        running = [node for name, node in self.nodes.items() if name not in self.suspended]
        return [node.alive() for node in running[:2]]

    # Actions

    def send(self, sender: str, action: SendDatagram) -> None:
        """Send a datagram over the network."""
        network, message = self.network, action.message
        self.record.datagrams += 1
        self.record.bytes += DATAGRAM_OVERHEAD_BYTES
        if not isinstance(message, Nack):
            self.record.bytes += sum(encoded_size_bound(update) // 2 for update in message.updates)
            self.record.bytes += sum(encoded_size_bound(entry) // 2 for entry in message.entries)
        copies = 1 + (self.rng.random() < network.duplication)
        for _ in range(copies):
            if self.rng.random() >= network.loss:
                delay = self.rng.uniform(network.min_delay, network.max_delay)
                self.at(self.now + delay, lambda: self._deliver(sender, action.to, message))

    def _on_timer(self, name: str) -> None:
        node = self.nodes.get(name)
        if node is not None and name not in self.suspended:
            self._execute(name, node.on_timer(self.clock(name)))

    def _execute(self, name: str, actions: list[Action]) -> None:
        node = self.nodes[name]
        for event in node.take_events():
            self.record.events.append(RecordedEvent(self.now, name, event.kind, event.member))
        for action in actions:
            if isinstance(action, SendDatagram):
                self.send(name, action)
            elif isinstance(action, StreamPing):
                self._stream_ping(name, action.to)
            else:
                self._sync(name, self._name(action.address))
        self._arm(name, node)

    def _arm(self, name: str, node: GossipNode) -> None:
        """Set a member's timer, unless one is already set for that time or earlier."""
        due = node.due() - self.clock_offsets[name]
        armed = self._timers.get(name, 0.0)
        if armed <= self.now or due < armed - 1e-9:
            due = max(due, self.now + MIN_TIMER_S)
            self._timers[name] = due
            self.at(due, lambda: self._on_timer(name))

    def _deliver(self, sender: str, to: str, message: Message) -> None:
        if to not in self.nodes or self.network.partitioned(sender, to):
            return
        if to in self.suspended:
            self.suspended[to].append((sender, message))
            return
        self._execute(to, self.nodes[to].on_datagram(self.clock(to), sender, message))

    # Streams

    def _running(self, name: str) -> bool:
        return name in self.nodes and name not in self.suspended

    def _connects(self, name: str, to: str) -> bool:
        """Return whether a stream connects. Loss does not prevent it, since streams retransmit."""
        partitioned = self.network.partitioned(name, to) or self.network.partitioned(to, name)
        return self._running(to) and not partitioned

    def _stream_ping(self, name: str, to: str) -> None:
        def answered() -> None:
            if self._running(name) and self._connects(name, to):
                self.nodes[name].stream_ping_answered(self.clock(name), to)

        delay = self.rng.uniform(self.network.min_delay, self.network.max_delay)
        self.at(self.now + STREAM_ONE_WAY_DELAYS * delay, answered)

    def _sync(self, name: str, to: str) -> None:
        if not self._connects(name, to):
            return
        self._merge(to, self.nodes[name].state(self.clock(name)), name)
        reply = self.nodes[to].state(self.clock(to))  # includes refutations of what it has just merged
        self.at(self.now + STATE_TRANSFER_S, lambda: self._merge(name, reply, to))

    def _merge(self, name: str, state: ClusterState, sender: str) -> None:
        if self._running(name):
            self.nodes[name].merge(self.clock(name), state, sender)
            self._execute(name, [])

    def _address(self, name: str) -> Address:
        return ("127.0.0.1", FIRST_PORT + int(name[1:]))

    def _name(self, address: Address) -> str:
        return f"d{address[1] - FIRST_PORT}"


@dataclass(slots=True, frozen=True)
class Measurement:
    """One row of the table.

    Detection in seconds; false suspicions and deaths per member and hour; bytes per member and second.
    """

    count: int
    loss: float
    first_detection: float
    last_detection: float
    suspicions: float
    deaths: float
    bytes: float


def measure(count: int, loss: float, seed: int, calm: float = 60.0) -> Measurement:
    """Run for `calm` seconds with loss and no failure, then kill one member and measure its detection."""
    cluster = SimulatedCluster(count, seed, network=NetworkConditions(loss=loss))
    names = list(cluster.nodes)
    cluster.run_until(lambda: cluster.agree(names), 60.0)
    cluster.record.bytes = 0
    first = len(cluster.record.events)
    cluster.run(calm)
    false_events = [event.kind for event in cluster.record.events[first:]]
    bytes_per_second = cluster.record.bytes / calm / count
    killed_at, first = cluster.now, len(cluster.record.events)
    victim = names[-1]
    cluster.kill(victim)
    cluster.run_until(
        lambda: all(node.members[victim].state is MemberState.DEAD for node in cluster.nodes.values()), 120.0
    )
    detected = [
        event.at - killed_at
        for event in cluster.record.events[first:]
        if event.kind is EventKind.DEAD and event.member == victim
    ]
    per_hour = SECONDS_PER_HOUR / calm / count
    return Measurement(
        count,
        loss,
        min(detected),
        max(detected),
        false_events.count(EventKind.SUSPECTED) * per_hour,
        false_events.count(EventKind.DEAD) * per_hour,
        bytes_per_second,
    )


def main() -> int:
    """Print the table."""
    print("simulated, one seed per row, probe interval 0.25 s")
    headers = ("first dead s", "last s", "suspected/h", "dead/h", "bytes/s")
    print(
        f"{'peers':>6}{'loss':>6}{headers[0]:>14}{headers[1]:>8}{headers[2]:>13}{headers[3]:>8}{headers[4]:>9}"
    )
    for count in (8, 16, 32):
        for loss in (0.0, 0.05, 0.2):
            row = measure(count, loss, seed=count)
            print(
                f"{row.count:6}{row.loss:6.2f}{row.first_detection:14.2f}{row.last_detection:8.2f}"
                f"{row.suspicions:13.1f}{row.deaths:8.1f}{row.bytes:9.0f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
