"""Replicated discoveries that lag, lose their state, hang, reset and move, in random order and virtual time.

The client and its watches are the real ones. After each series the present discovery works again, and the
list that the client holds has to become the one that the discovery has.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from sedgepitch.decisions.discovery.list_versions import ListVersion
from sedgepitch.routing.messages import EndpointState
from tests.support.newest_reports import NewestReports
from tests.support.slow_discovery import (
    HANGS,
    EmulatedCall,
    EmulatedSource,
    SlowDiscovery,
    chunk,
    version_bytes,
)

NAMES = ("a", "b", "c", "d")
PHASES = ("up", "draining", "removed")
STATES = {"up": EndpointState.UP, "draining": EndpointState.DRAINING}
SERIES = 100
STEPS = 40
MAX_EPOCHS = 16  # of one series, between losses of the state
SETTLED_WITHIN_S = 30.0
NOTIFIED_WITHIN_S = 6.0  # the platform: a change counts as notified at the latest this long after it


@dataclass
class Registry:
    """What the replicas serve: the phase of each endpoint by revision.

    A revision that was lost with the state is not given to another list: a watch from it could not be told
    from one that continues the present list.
    """

    revision: int = 1
    phases: dict[str, str] = field(default_factory=lambda: dict.fromkeys(NAMES, "up"))
    earlier: dict[int, dict[str, str]] = field(default_factory=dict)
    epoch: int = 0  # how often the state was lost
    newest: int = 1  # of all epochs

    def change(self, name: str, phase: str) -> None:
        """Change the phase of an endpoint in a new revision."""
        self.earlier[self.revision] = dict(self.phases)
        self.phases[name] = phase
        self.revision += 1
        while self.revision % MAX_EPOCHS != self.epoch:
            self.revision += 1
        self.newest = max(self.newest, self.revision)

    def lose_state(self, draw: random.Random) -> None:
        """Go back to an earlier revision, and number the next ones from there."""
        if self.earlier and self.epoch + 1 < MAX_EPOCHS:
            self.revision = draw.choice(sorted(self.earlier))
            self.phases = dict(self.earlier[self.revision])
            self.earlier = {n: phases for n, phases in self.earlier.items() if n < self.revision}
            self.epoch += 1


class Replica(EmulatedSource):
    """A discovery that knows a registry as of the last time that it caught up with it."""

    def __init__(self, clock, registry: Registry, draw: random.Random) -> None:
        super().__init__(
            clock,
            one_by_one=draw.random() < 0.4,
            byte_interval_s=draw.choice((0.0, 0.0, 0.001)),
            connect_delay_s=draw.choice((0.0, 0.0, 1.5)),
        )
        self.registry = registry
        self.draw = draw
        self.epoch = 0
        self.known = {registry.revision: dict(registry.phases)}
        self.positions: dict[int, int] = {}  # revision sent last, by number of the call
        self.prefers_complete = draw.random() < 0.3
        self.computes_at_call = draw.random() < 0.5
        self.computed: dict[int, bytes] = {}

    @property
    def present(self) -> int:
        """Return the revision that the replica has."""
        return max(self.known)

    def catch_up(self) -> None:
        """Learn what the registry has, and send it on the watches that were answered."""
        if self.registry.epoch != self.epoch:
            self.epoch = self.registry.epoch
            self.known = {
                n: phases for n, phases in self.registry.earlier.items() if self.draw.random() < 0.5
            }
            self.positions.clear()
            self.reset_all()
        self.known[self.registry.revision] = dict(self.registry.phases)
        for call in self.calls:
            position = self.positions.get(call.number, self.present)
            if call.open and not call.silent and position < self.present:
                call.send(chunk(self.object_after(position)))
                self.positions[call.number] = self.present

    def object_after(self, index: int) -> bytes:
        """Return the changes after a revision, or the complete list if it is not known."""
        phases = self.known[self.present]
        before = self.known.get(index)
        complete = before is None
        if complete:
            named = {name: phase for name, phase in phases.items() if phase != "removed"}
        else:
            named = {name: phase for name, phase in phases.items() if phase != before[name]}
        return version_bytes(self.present, complete, **named)

    def serve(self, call: EmulatedCall) -> None:
        """Compute the answer now if this replica does so, and schedule it."""
        if self.computes_at_call:
            self.computed[call.number] = self.compute(call)
        super().serve(call)

    def compute(self, call: EmulatedCall) -> bytes:
        """Return the first object for a call, and note its revision."""
        self.positions[call.number] = self.present
        return self.object_after(-1 if self.prefers_complete else call.index)

    def first_object(self, call: EmulatedCall) -> bytes:
        """Return the first object for a call, and what has changed since it was computed."""
        if not self.computes_at_call or call.number not in self.positions:
            return self.compute(call)
        first = self.computed.pop(call.number)
        if self.positions[call.number] < self.present:
            first += self.object_after(self.positions[call.number])
            self.positions[call.number] = self.present
        return first


class Series:
    """One series of troubles, and the return to a discovery that works."""

    def __init__(self, monkeypatch, seed: str) -> None:
        self.draw = random.Random(seed)
        self.discovery = SlowDiscovery(monkeypatch)
        self.registry = Registry()
        clock = self.discovery.clock
        self.replicas = [Replica(clock, self.registry, self.draw) for _ in range(3)]
        self.addresses = [self.discovery.add(f"r-{n}", replica) for n, replica in enumerate(self.replicas)]
        self.present = self.replicas[0]
        self.newest = NewestReports()
        self.discovery.on_applied = self.check_departures
        self.discovery.start(self.addresses[0])

    def check_departures(self, version: ListVersion) -> None:
        """Check that no endpoint is up that departed as of the newest revision."""
        self.newest.add(version)
        up = {name for name, state in self.discovery.states.items() if state is EndpointState.UP}
        assert not up & self.newest.departed()

    def step(self) -> None:
        """Play one trouble, or a change of the list."""
        draw = self.draw
        replica = draw.choice(self.replicas)
        kind = draw.choice(
            ("change", "change", "catch up", "silence", "resume", "reset", "move", "delay", "refuse", "lose")
        )
        if kind == "change":
            self.registry.change(draw.choice(NAMES), draw.choice(PHASES))
        elif kind == "catch up":
            replica.catch_up()
        elif kind == "silence":
            replica.silence_all()
        elif kind == "resume":
            replica.resume_all()
        elif kind == "reset":
            replica.reset_all()
        elif kind == "move":
            self.move(draw.randrange(len(self.replicas)))
        elif kind == "delay":
            delays = [draw.choice((0.0, 0.0, 1.2, 2.5, 3.5, 6.0, HANGS)) for _ in range(4)]
            replica.delay_s = lambda number: delays[number % len(delays)]
        elif kind == "refuse":
            replica.refused = not replica.refused
        elif draw.random() < 0.3:
            self.registry.lose_state(draw)
        self.run(draw.choice((0.1, 0.5, 1.0, 3.0)))

    def move(self, number: int) -> None:
        """Let the client follow another replica."""
        self.present = self.replicas[number]
        self.discovery.client.set_address(self.addresses[number])

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        self.discovery.run_until(self.discovery.clock.seconds() + duration_s)

    def recover(self) -> None:
        """Let the present replica work again; calls that it served one by one do not keep it any longer."""
        self.present.refused = False
        self.present.delay_s = lambda number: 0.0
        self.present.free_at = self.discovery.clock.seconds()
        self.present.catch_up()
        self.present.reset_all()
        self.run(SETTLED_WITHIN_S)

    def differing(self) -> set[str]:
        """Return the endpoints whose state is not that of the registry.

        After a loss of its state an endpoint may be withheld that was drained by a newer revision before.
        """
        may_be_withheld = self.registry.revision <= self.registry.newest and self.registry.epoch > 0
        differing = set()
        for name, phase in self.registry.phases.items():
            state = self.discovery.states.get(name, EndpointState.GONE)
            if state is EndpointState.DRAINING and phase == "up" and may_be_withheld:
                continue
            if state is not STATES.get(phase, EndpointState.GONE):
                differing.add(name)
        return differing


@pytest.mark.parametrize("series", range(SERIES))
def test_the_list_of_a_discovery_that_works_again_is_held_after_any_troubles(monkeypatch, series):
    played = Series(monkeypatch, f"histories/{series}")
    for _ in range(STEPS):
        played.step()
    played.recover()
    assert not played.differing()
    played.registry.change("a", "draining")
    played.present.catch_up()
    played.run(NOTIFIED_WITHIN_S)
    assert not played.differing()
    assert played.present.open_calls == 1
