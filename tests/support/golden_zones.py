"""Seeded proxy instances that evaluate zones together in steps of virtual time, with one digest of all steps.

Endpoints, requests, faults, lost digests, Byzantine instances and operator commands depend on the seed alone.
The zone weights that the instances decide on route their next requests, so two versions give the same digest
only if each encoded byte, vote, verdict, state and float operation is the same.
"""

from __future__ import annotations

import hashlib
import random

import msgspec

from sedgepitch.decisions.zones import digests, operator_commands
from sedgepitch.decisions.zones.controller import ZoneController
from sedgepitch.decisions.zones.digests import ZoneDigest, ZoneObservation, ZoneStatus
from sedgepitch.decisions.zones.evidence import FleetEvidence, ReceivedDigest, ZoneView
from sedgepitch.decisions.zones.observations import ZoneObservations
from sedgepitch.decisions.zones.operator_commands import ZoneCommands
from sedgepitch.decisions.zones.settings import ZoneSettings
from sedgepitch.decisions.zones.votes import partial_outages, votes

START_S = 500.0
STEP_S = 0.1
DIGEST_DELAY_STEPS = 3
ZONES = ("east", "north", "south")
FAULTS = ("lost", "partly lost", "failing", "slow", "cut off", "overload")
LATENCY_RATIO_SLOW = 1.2


class GoldenZones:
    """Runs one seed; `play` returns the SHA-256 of all digests sent and decisions made."""

    def __init__(self, seed: int, length_s: float = 13.0) -> None:
        """Draw zones, endpoints, and instances with their request rates; some instances are Byzantine."""
        self.rng = random.Random(seed)
        self.steps = round(length_s / STEP_S)
        self.hash = hashlib.sha256()
        self.seen: set[str] = set()
        rng = self.rng
        self.zones = ZONES[: rng.choice((2, 3, 3))]
        self.endpoints_a_zone = rng.choice((1, 3, 4, 12))
        self.endpoints = {
            100 * place + number: zone
            for place, zone in enumerate(self.zones, 1)
            for number in range(self.endpoints_a_zone)
        }
        self.numbers = list(self.endpoints)
        self.names = [f"i{number:02}" for number in range(rng.randrange(3, 9))]
        self.home = {name: self.zones[place % len(self.zones)] for place, name in enumerate(self.names)}
        self.rate = {name: rng.uniform(0.5, 40.0) for name in self.names}
        self.byzantine = set(rng.sample(self.names, rng.choice((0, 0, 1, len(self.names) // 3))))
        settings = ZoneSettings(slow_start_window=5.0, trial_delay=rng.choice((1.0, 2.0)))
        self.controllers = {name: ZoneController(name, settings) for name in self.names}
        self.observed = {name: ZoneObservations() for name in self.names}
        self.commands = {name: ZoneCommands() for name in self.names}
        self.suspects: dict[str, dict[int, str]] = {name: {} for name in self.names}
        self.faults: list[tuple[int, int, str, str]] = []
        self.sent_digests: list[dict[str, bytes]] = []
        self.now = START_S

    def play(self) -> str:
        """Run all steps and return the digest."""
        for _ in range(self.rng.randrange(1, 5)):
            begin = self.rng.randrange(10, self.steps - 20)
            end = begin + self.rng.randrange(5, 100)
            self.faults.append((begin, end, self.rng.choice(FAULTS), self.rng.choice(self.zones)))
        for step in range(self.steps):
            self.now += STEP_S
            sent: dict[str, bytes] = {}
            for name in self.names:
                self.traffic(step, name)
                sent[name] = self.send_digest(name)
            self.sent_digests.append(sent)
            self.command(step)
            for name in self.names:
                self.evaluate(step, name)
        return self.hash.hexdigest()

    # Traffic

    def fault_of(self, step: int, name: str, zone: str) -> str:
        """Return the fault that affects an instance's requests to a zone in this step."""
        for begin, end, fault, where in self.faults:
            if begin <= step < end and where == zone and not (fault == "cut off" and self.home[name] == zone):
                return fault
        return ""

    def traffic(self, step: int, name: str) -> None:
        """Send the requests of this step to the zones that the zone weights allow."""
        rng, observed = self.rng, self.observed[name]
        zones = self.controllers[name].zones
        arrived = int(self.rate[name] * STEP_S + rng.random())
        for _ in range(arrived):
            observed.request_received(self.now)
            endpoint = rng.choice(self.numbers)
            zone = self.endpoints[endpoint]
            if zone in zones and rng.random() >= zones[zone].share:
                continue
            observed.attempt_sent(self.now, endpoint, zone)
            self.finish(name, endpoint, zone, self.fault_of(step, name, zone))
        if rng.random() < 0.002:
            observed.forget(self.now)
        if rng.random() < 0.002:
            observed.forget_zone(rng.choice(self.zones))

    def finish(self, name: str, endpoint: int, zone: str, fault: str) -> None:
        """Record the outcome of one attempt."""
        rng, observed, suspects = self.rng, self.observed[name], self.suspects[name]
        if fault in ("lost", "cut off") or (fault == "partly lost" and endpoint % 3 == 0):
            suspects[endpoint] = zone
            if rng.random() < 0.7:
                observed.timed_out(self.now, endpoint, zone)
            return
        suspects.pop(endpoint, None)
        if fault == "failing" and rng.random() < 0.5:
            observed.failed(self.now, endpoint, zone)
            return
        ratio = rng.uniform(0.02, 0.3)
        if fault in ("slow", "overload"):
            ratio += LATENCY_RATIO_SLOW * rng.random()
        observed.succeeded(self.now, endpoint, zone, ratio)

    # Digests and commands

    def digest(self, name: str) -> ZoneDigest:
        """Return the digest of an instance; a Byzantine one reports random rows."""
        rng, controller = self.rng, self.controllers[name]
        if name in self.byzantine:
            rows = tuple(
                ZoneObservation(zone, *(rng.randrange(40) for _ in range(9)), endpoints_up=rng.randrange(9))
                for zone in self.zones
            )
            statuses = tuple(ZoneStatus(zone, 3, rng.randrange(1001), 5) for zone in self.zones)
            return ZoneDigest(self.home[name], rng.choice((0.0, 1e6)), True, rows, statuses)
        partly_used = [zone.name for zone in controller.zones.values() if zone.share < 1.0]
        up = dict.fromkeys(self.zones, self.endpoints_a_zone)
        rows = self.observed[name].rows(self.now, self.suspects[name], up, partly_used)
        may_judge = rng.random() >= 0.01
        demand = round(self.observed[name].request_rate, 2)
        return ZoneDigest(self.home[name], demand, may_judge, rows, controller.statuses(self.now))

    def send_digest(self, name: str) -> bytes:
        """Record the digest of this step and return its encoding."""
        digest = self.digest(name)
        body = digests.encode(digest)
        self.record("digest", name, body.hex())
        self.record("votes", name, repr({zone: int(v) for zone, v in votes(digest).items()}))
        self.record("partial", name, repr(sorted(partial_outages(digest))))
        return body

    def command(self, step: int) -> None:
        """Issue operator commands at random and exchange them between instances."""
        rng = self.rng
        if rng.random() < 0.01:
            name, zone = rng.choice(self.names), rng.choice(self.zones)
            action = rng.choice(("leave", "return"))
            self.commands[name].issue(zone, action, rng.choice((0.0, 3.0)), name)
        if step % 5 == 0:
            for name in self.names:
                other = rng.choice(self.names)
                body = operator_commands.encode(self.commands[other])
                new = self.commands[name].merge(operator_commands.decode(body))
                self.record("commands", name, f"{new} {body.hex()}")

    # Decisions

    def evaluate(self, step: int, name: str) -> None:
        """Evaluate the zones of an instance with the digests it has received, and record its decisions."""
        rng = self.rng
        sent = self.sent_digests[-DIGEST_DELAY_STEPS] if len(self.sent_digests) >= DIGEST_DELAY_STEPS else {}
        received = {}
        for other, body in sent.items():
            if other != name and rng.random() >= 0.02 and (digest := digests.decode(body)) is not None:
                age = rng.choice((0.3, 0.3, 0.3, 11.0)) if step % 7 == 0 else 0.3
                received[other] = ReceivedDigest(age, digest)
        own = digests.decode(self.sent_digests[-1][name]) or self.digest(name)
        sizes = {zone: float(self.endpoints_a_zone) for zone in self.zones}
        after_pause = rng.random() < 0.01
        leaves = self.commands[name].leave_commands()
        view = ZoneView(self.now, own, received, sizes, leaves, after_pause, len(self.names))
        zones = self.controllers[name]
        shares = zones.step(view)
        self.record("shares", name, repr(shares))
        for transition in zones.take_transitions():
            state_name = transition.state.name.lower()
            self.seen.add(state_name)
            self.record("change", name, f"{transition.zone} {state_name}")
        self.record("proven", name, repr(zones.capacity.rate))
        for zone in zones.zones.values():
            state = (int(zone.state), zone.state_since, zone.share, int(zone.cause))
            state += (zone.ramp_step, zone.trial_delay)
            self.record("state", name, f"{zone.name} {state!r} {zone.relapses} {zone.load_before!r}")
        if step % 4 == 0:
            self.record_evidence(name, view)

    def record_evidence(self, name: str, view: ZoneView) -> None:
        """Record the evidence in the digests that an instance has received."""
        evidence = FleetEvidence(name, view)
        for zone in self.zones:
            verdict = int(evidence.verdict(zone))
            self.seen.add(f"verdict {verdict}")
            self.record(
                "verdict",
                name,
                f"{verdict} {evidence.weight_against(zone)!r} {evidence.success_rate(zone)!r}",
            )
            use = evidence.peer_use(zone)
            peers = f"{evidence.served(zone)} {evidence.returned(zone)}"
            self.record("served", name, f"{peers} {(use.quorum_left, use.median_share)!r}")

    def record(self, kind: str, name: str, text: str) -> None:
        """Add one line to the digest."""
        self.seen.add(kind)
        self.hash.update(f"{self.now!r} {kind} {name} {text}\n".encode())


def play_bounds(seed: int) -> str:
    """Encode and decode zone digests at and beyond their limits; return a digest of the results."""
    rng, digest = random.Random(seed), hashlib.sha256()
    for _ in range(200):
        zones = [f"{number:02}" + "z" * rng.randrange(23) for number in range(rng.randrange(13))]
        rows = tuple(
            ZoneObservation(
                zone, *(rng.choice((0, 9, 9999, -1 if rng.random() < 0.02 else 1)) for _ in range(12))
            )
            for zone in zones
        )
        statuses = tuple(ZoneStatus(zone, rng.randrange(5), rng.randrange(1002), 7) for zone in zones)
        sent = ZoneDigest("home", rng.uniform(0, 1e4), True, rows, statuses)
        digest.update(digests.encode(sent))
        digest.update(repr(digests.decode(msgspec.msgpack.encode(sent)) is None).encode())
    return digest.hexdigest()
