"""Many gossip peers on a network in virtual time: loss, delay, cuts, frozen and killed peers.

`python -m sedgepitch.model.gossipnet` prints detection times, false suspicions and bytes; simulated figures.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from sedgepitch.decisions.gossip import protocol as gossip
from sedgepitch.decisions.gossip.protocol import Address, Gossip, GossipSettings, Knock, Life, Say

OVERHEAD = 40  # bytes of a datagram beside its news: version, tag, names, counters


@dataclass(slots=True)
class Network:
    """What datagrams meet. `cut` says whether one name cannot reach another. Times in seconds."""

    loss: float = 0.0
    doubled: float = 0.0
    least: float = 0.0005
    most: float = 0.002
    cut: Callable[[str, str], bool] = lambda a, b: False


@dataclass(slots=True)
class Seen:
    """What happened, with its time: (time, at whom, what, about whom)."""

    changes: list[tuple[float, str, str, str]] = field(default_factory=list)
    datagrams: int = 0
    bytes: int = 0


class Fleet:
    """Peers by name. `run` lets time pass; `freeze`, `wake`, `kill` and `start` treat one."""

    def __init__(
        self, count: int, seed: int, settings: GossipSettings | None = None, network: Network | None = None
    ) -> None:
        self.settings, self.network = settings or GossipSettings(), network or Network()
        self.random, self.seed = random.Random(seed), seed
        self.now = 1000.0
        self.peers: dict[str, Gossip] = {}
        self.offsets: dict[str, float] = {}  # every peer's clock starts elsewhere
        self.frozen: dict[str, list[tuple[str, Any]]] = {}
        self.seen = Seen()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._armed: dict[str, float] = {}
        for number in range(count):
            self.start(f"d{number}")

    def start(self, name: str) -> Gossip:
        """Start a peer, or start one anew that knows nothing."""
        seeds = [self._address(f"d{n}") for n in range(2) if f"d{n}" != name]
        made = Gossip(self.settings, name, self._address(name), seeds, self.random.getrandbits(32))
        self.peers[name] = made
        self.offsets[name] = self.random.uniform(-500.0, 500.0)
        self._turn(name)
        return made

    def kill(self, name: str) -> None:
        """End a peer; nobody is told."""
        self.peers.pop(name, None)
        self.frozen.pop(name, None)

    def freeze(self, name: str) -> None:
        """Stop a process. What comes waits in its sockets."""
        self.frozen[name] = []

    def wake(self, name: str, keep: bool = False) -> None:
        """Let it go on; what waited is dropped by its age as the sockets do, unless kept."""
        waited = self.frozen.pop(name, [])
        if keep:
            for sender, message in waited:
                self._deliver(sender, name, message)
        self._turn(name)

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Have something done."""
        self._count += 1
        heappush(self._heap, (when, self._count, call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = end

    def clock(self, name: str) -> float:
        """The time on a peer's own clock."""
        return self.now + self.offsets[name]

    def views(self, without: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
        """Whom each living peer holds for living."""
        held = (p for n, p in self.peers.items() if n not in without and n not in self.frozen)
        return [tuple(p.alive()) for p in held]

    def agree(self, names: list[str]) -> bool:
        """Whether all of these hold just these for living."""
        want = sorted(names)
        return all(self.peers[n].alive() == want for n in names)

    def until(self, met: Callable[[], bool], within: float, step: float = 0.05) -> float:
        """Run until something is so; returns how long that took. Raises AssertionError where it never is."""
        began = self.now
        while not met():
            if self.now - began > within:
                raise AssertionError(f"not met within {within} s: {self.views()[:2]}")
            self.run(step)
        return self.now - began

    def _address(self, name: str) -> Address:
        return ("127.0.0.1", 10_000 + int(name[1:]))

    def _name(self, address: Address) -> str:
        return f"d{address[1] - 10_000}"

    def _turn(self, name: str) -> None:
        peer = self.peers.get(name)
        if peer is None or name in self.frozen:
            return
        self._carry(name, peer.turn(self.clock(name)))

    def _carry(self, name: str, actions: list[gossip.Action]) -> None:
        peer = self.peers[name]
        for what, about in peer.changes:
            self.seen.changes.append((self.now, name, what, about))
        peer.changes.clear()
        for action in actions:
            if isinstance(action, Say):
                self._send(name, action)
            elif isinstance(action, Knock):
                self._knock(name, action.to)
            else:
                self._sync(name, self._name(action.address))
        due = peer.due() - self.offsets[name]
        armed = self._armed.get(name, 0.0)
        if armed <= self.now or due < armed - 1e-9:
            due = max(due, self.now + 1e-4)  # virtual time never stands still
            self._armed[name] = due
            self.at(due, lambda: self._turn(name))

    def _send(self, sender: str, say: Say) -> None:
        network = self.network
        message = say.message
        news = [*getattr(message, "rumours", ()), *getattr(message, "words", ())]
        self.seen.datagrams += 1
        self.seen.bytes += OVERHEAD + sum(self.peers[sender]._size(piece) // 2 for piece in news)
        copies = 1 + (self.random.random() < network.doubled)
        for _ in range(copies):
            if self.random.random() >= network.loss:
                delay = self.random.uniform(network.least, network.most)
                self.at(self.now + delay, lambda: self._deliver(sender, say.to, message))

    def _deliver(self, sender: str, to: str, message: Any) -> None:
        if to not in self.peers or self.network.cut(sender, to):
            return
        if to in self.frozen:
            self.frozen[to].append((sender, message))
            return
        self._carry(to, self.peers[to].heard(self.clock(to), sender, message))

    def _reached(self, name: str, to: str) -> bool:
        """Whether a stream comes about; streams send anew what is lost."""
        cut = self.network.cut(name, to) or self.network.cut(to, name)
        return to in self.peers and to not in self.frozen and not cut

    def _knock(self, name: str, to: str) -> None:
        def answered() -> None:
            if name in self.peers and name not in self.frozen and self._reached(name, to):
                self.peers[name].knocked(self.clock(name), to)

        self.at(self.now + 4.0 * self.random.uniform(self.network.least, self.network.most), answered)

    def _sync(self, name: str, to: str) -> None:
        if not self._reached(name, to):
            return
        mine = self.peers[name].state(self.clock(name))
        self._carry(to, self.peers[to].merge(self.clock(to), mine, name))
        theirs = self.peers[to].state(self.clock(to))  # with what it refutes
        self.at(self.now + 0.002, lambda: self._merged(name, theirs, to))

    def _merged(self, name: str, state: gossip.State, sender: str) -> None:
        if name in self.peers and name not in self.frozen:
            self._carry(name, self.peers[name].merge(self.clock(name), state, sender))


@dataclass(slots=True, frozen=True)
class Measured:
    """One row: detection in s, false suspicions and deaths an hour and peer, bytes a second and peer."""

    count: int
    loss: float
    first: float
    last: float
    suspicions: float
    deaths: float
    bytes: float


def measure(count: int, loss: float, seed: int, calm: float = 60.0) -> Measured:
    """A calm time with loss, then one peer is killed."""
    fleet = Fleet(count, seed, network=Network(loss=loss))
    names = list(fleet.peers)
    fleet.until(lambda: fleet.agree(names), 60.0)
    fleet.seen.bytes = 0
    mark = len(fleet.seen.changes)
    fleet.run(calm)
    each_hour = 3600.0 / calm / count
    false = [what for _, _, what, _ in fleet.seen.changes[mark:]]
    rate = fleet.seen.bytes / calm / count
    began, mark = fleet.now, len(fleet.seen.changes)
    fleet.kill(names[-1])
    rest = names[:-1]
    fleet.until(lambda: all(p.peers[names[-1]].life is Life.DEAD for p in fleet.peers.values()), 120.0)
    dead = [
        t - began for t, _, what, about in fleet.seen.changes[mark:] if what == "dead" and about not in rest
    ]
    return Measured(
        count,
        loss,
        min(dead),
        max(dead),
        false.count("suspected") * each_hour,
        false.count("dead") * each_hour,
        rate,
    )


def main() -> int:
    """Print the table."""
    print("simulated, one seed a row; a period of 0.25 s")
    heads = ("first dead s", "last s", "suspected/h", "dead/h", "bytes/s")
    print(f"{'peers':>6}{'loss':>6}{heads[0]:>14}{heads[1]:>8}{heads[2]:>13}{heads[3]:>8}{heads[4]:>9}")
    for count in (8, 16, 32):
        for loss in (0.0, 0.05, 0.2):
            row = measure(count, loss, seed=count)
            print(
                f"{row.count:6}{row.loss:6.2f}{row.first:14.2f}{row.last:8.2f}"
                f"{row.suspicions:13.1f}{row.deaths:8.1f}{row.bytes:9.0f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
