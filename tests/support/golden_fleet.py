"""A seeded fleet simulation that drives the router through its line protocol and feeds its answers back.

Settings, endpoints, clients, faults and list changes depend on the seed alone. The router's output determines
what happens next, so two versions print the same bytes only if every decision, every random draw and every
float operation is the same. Times are virtual seconds.
"""

from __future__ import annotations

import hashlib
import json
import random
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from sedgepitch.routing import messages
from sedgepitch.wirehost import Host, to_wire

Wire = dict[str, Any]
START_S = 1000.0
POSITIONS_COUNTED_FROM_S = 900.0
TICK_S = 0.002
ROUND_DIGITS = 6
OUTCOMES_WITH_STAMP = ("delivered", "empty", "shed", "app_error")
FAULTS = ("silent", "dead", "failing", "slow", "lossy", "full")


@dataclass
class EmulatedEndpoint:
    """One endpoint of the fleet, with its current fault."""

    number: int
    group: int
    zone: str
    size: float
    primary: bool
    state: str = "U"
    started_s: float = 0.0
    replication_lag_s: float = 0.02
    fault: str = ""
    in_flight: int = 0

    def entry(self) -> Wire:
        """Return its entry in the endpoint list."""
        return {
            "member": self.number,
            "cluster": self.group,
            "locality": self.zone,
            "state": self.state,
            "leader": int(self.primary),
            "powerHint": self.size,
            "cameUpS": self.started_s,
        }


@dataclass
class OpenRequest:
    """One pending request at a proxy instance."""

    instance: str
    until_s: float
    writes: bool
    attempts: int = 0
    attempts_in_flight: set[int] = field(default_factory=set)
    done: bool = False


def make_setup(rng: random.Random, zones: list[str], instances: int) -> Wire:
    """Draw the settings of one deployment: request classes of each freshness and idempotency, and limits."""
    kinds = ["mutate", "mutate", "strong", "causal", "lag_bound", "eventual"]
    classes, ages = [], []
    for index, kind in enumerate(kinds):
        effect = rng.choice(("deduplicated", "at_most_once")) if kind == "mutate" else "idempotent"
        objective = rng.choice((0.05, 0.1, 0.2))
        classes.append(
            {
                "name": f"class-{index}",
                "objectiveS": objective,
                "deadlineS": round(objective * rng.choice((2.0, 4.0, 8.0)), 3),
                "importance": rng.choice((1.0, 3.0, 6.0)),
                "lateWorth": rng.choice((0.0, 0.0, 0.3)),
                "effect": effect,
                "keyScope": rng.choice(("cell", "all")),
                "windowS": rng.choice((0.3, 1.2, 5.0)),
            }
        )
        ages.append(rng.choice((0.1, 0.5, 2.0)) if kind == "lag_bound" else 0.0)
    return {
        "az": zones[0],
        "classes": classes,
        "groupSize": rng.choice((instances, 12, 200)),
        "registryMode": rng.choice(("automatic", "subscribe")),
        "tickS": TICK_S,
        "limits": {
            "mostTries": rng.choice((1, 3, 10)),
            "probes": rng.random() < 0.8,
            "secondCopies": rng.random() < 0.7,
            "cancel": True,
            "retryAfter": rng.random() < 0.7,
            "maxRetryAfterS": 2.0,
        },
        "rules": {
            "answerSlackS": 0.008,
            "askWithinS": 10.0,
            "drainGraceS": 0.5,
            "fallS": 1.0,
            "overloadFactor": 2.5,
            "startCapacity": 0.16,
            "warmWithinS": rng.choice((2.0, 8.0)),
        },
        "specifics": {
            "freshness": kinds,
            "maxAgeS": ages,
            "behind": rng.choice(("silent", "bounce", "await")),
            "sessionMarks": rng.choice(("brought", "kept")),
            "patienceS": 0.05,
            "countedFromS": POSITIONS_COUNTED_FROM_S,
            "roleInList": rng.choice(("trailing", "silent")),
        },
        "stats": {"fields": ["x0", "x1", "queue"], "how": rng.choice(("piggyback", "pull", "silent"))},
    }


class GoldenFleet:
    """Runs one seed for `length_s` virtual seconds and digests the router's whole output."""

    def __init__(self, seed: int, length_s: float = 15.0) -> None:
        self.rng = random.Random(f"golden fleet {seed}")
        self.end_s = START_S + length_s
        self.now = START_S
        self.host = Host()
        self.digest = hashlib.sha256()
        self.lines: list[str] = []
        self.actions: dict[str, int] = {}
        self.event_queue: list[tuple[float, int, Any]] = []
        self.sequence = 0
        self.next_request = 0
        self.next_endpoint = 0
        self.batch_number = 0
        self.pending: list[Wire] = []
        self.requests: dict[int, OpenRequest] = {}
        self.commits: dict[str, float] = {}
        self.attempt_endpoint: dict[tuple[int, int], EmulatedEndpoint] = {}
        zones = ["north", "south", "west"][: self.rng.choice((1, 2, 3))]
        self.zones = zones
        self.instances = [f"proxy-{n}" for n in range(self.rng.choice((1, 2, 3)))]
        self.setup = make_setup(self.rng, zones, len(self.instances))
        self.subscribed = dict.fromkeys(self.instances, self.setup["registryMode"] == "automatic")
        self.endpoints: list[EmulatedEndpoint] = []
        self.groups = [10 + n for n in range(self.rng.choice((1, 2)))]
        for group in self.groups:
            for index in range(self.rng.choice((2, 3, 5, 8))):
                self.endpoints.append(self.make_endpoint(group, primary=index == 0))
        self.rate_per_s = self.rng.choice((15.0, 60.0, 200.0))

    def make_endpoint(self, group: int, primary: bool = False, started_s: float = 0.0) -> EmulatedEndpoint:
        """Add one endpoint to a group."""
        self.next_endpoint += self.rng.randrange(1, 40)
        lag = self.rng.choice((0.005, 0.02, 0.3, 1.5))
        size = self.rng.choice((1.0, 1.0, 1.5, 2.0))
        zone = self.rng.choice(self.zones)
        return EmulatedEndpoint(self.next_endpoint, group, zone, size, primary, "U", started_s, lag)

    # The event queue

    def at(self, delay_s: float, action: Any) -> None:
        """Schedule `action` after `delay_s` seconds."""
        self.sequence += 1
        heappush(self.event_queue, (round(self.now + delay_s, ROUND_DIGITS), self.sequence, action))

    def play(self) -> str:
        """Run to the end and return the digest as hex."""
        self.send_list("Persisted", self.instances, hello=True)
        self.flush()
        self.at(0.0, self.arrive)
        self.at(self.rng.uniform(0.5, 2.0), self.disturb)
        while self.event_queue and self.event_queue[0][0] <= self.end_s:
            self.now = self.event_queue[0][0]
            while self.event_queue and self.event_queue[0][0] <= self.now + TICK_S / 2:
                heappop(self.event_queue)[2]()
            self.flush()
        return self.digest.hexdigest()

    def flush(self) -> None:
        """Send the pending batch and carry out the router's commands."""
        if not self.pending:
            return
        self.batch_number += 1
        items, self.pending = self.pending, []
        line = json.dumps({"wallS": self.now, "batch": self.batch_number, "items": items})
        self.lines.append(line)
        reply = self.host.answer(line)
        self.digest.update(reply.encode() + b"\n")
        for command in json.loads(reply)["cmds"]:
            self.carry_out(command)

    # Clients and platform

    def arrive(self) -> None:
        """Submit one request and schedule the next."""
        rng = self.rng
        self.at(rng.expovariate(self.rate_per_s), self.arrive)
        index = rng.choice((0, 1, 2, 3, 3, 4, 4, 4, 5, 5))
        cls, instance = self.setup["classes"][index], rng.choice(self.instances)
        self.next_request += 1
        number = self.next_request
        time_left_s = round(cls["deadlineS"] * rng.uniform(0.3, 1.0), ROUND_DIGITS)
        self.requests[number] = OpenRequest(instance, self.now + time_left_s, index < 2)
        event = {"type": "query", "driver": instance, "job": number, "ttlS": time_left_s, "qos": cls["name"]}
        event["shard"] = rng.choice(self.groups)
        if index in (0, 1, 3):
            event["sess"] = f"session-{rng.randrange(12)}"
            if index == 3 and (commit := self.commits.get(event["sess"])):
                event["tokenAgeMs"] = round((self.now - commit) * 1000.0, 3)
        self.pending.append(event)
        self.at(time_left_s, lambda: self.time_up(number))
        if rng.random() < 0.02:
            self.at(time_left_s * rng.random(), lambda: self.leave(number))

    def leave(self, number: int) -> None:
        """Close the client connection, unless the request is complete."""
        request = self.requests[number]
        if not request.done:
            request.done = True
            self.pending.append({"type": "left", "driver": request.instance, "job": number})

    def time_up(self, number: int) -> None:
        """Time out all attempts in flight at the client's deadline."""
        request = self.requests[number]
        for attempt in sorted(request.attempts_in_flight):
            self.finish(number, attempt, self.attempt_endpoint[number, attempt], "expired")

    def disturb(self) -> None:
        """Make one random change to the fleet and schedule the next."""
        rng = self.rng
        self.at(rng.uniform(0.2, 1.5), self.disturb)
        endpoint = rng.choice(self.endpoints)
        kind = rng.randrange(10)
        if kind <= 4:
            endpoint.fault = rng.choice(FAULTS)
            self.at(rng.uniform(0.3, 6.0), lambda: self.recover(endpoint))
        elif kind == 5:
            self.fail_over(endpoint.group)
        elif kind == 6:
            endpoint.state = rng.choice(("L", "D"))
            self.at(rng.uniform(1.0, 4.0), lambda: self.restart(endpoint))
        elif kind == 7:
            self.endpoints.append(self.make_endpoint(endpoint.group, started_s=self.now))
        elif kind == 8:
            self.weigh_zones()
        else:
            endpoint.replication_lag_s = rng.choice((0.005, 0.3, 2.0, 5.0))
        self.at(rng.uniform(0.0, 0.8), self.announce)

    def recover(self, endpoint: EmulatedEndpoint) -> None:
        """End a fault; a dead endpoint restarts."""
        if endpoint.fault == "dead":
            endpoint.started_s = self.now
        endpoint.fault = ""
        self.announce()

    def restart(self, endpoint: EmulatedEndpoint) -> None:
        """Restart an endpoint that was draining or down."""
        endpoint.state, endpoint.started_s = "U", self.now
        self.announce()

    def fail_over(self, group: int) -> None:
        """Make a random endpoint of the group the primary."""
        candidates = [e for e in self.endpoints if e.group == group and e.state == "U"]
        if candidates:
            chosen = self.rng.choice(candidates)
            for endpoint in self.endpoints:
                if endpoint.group == group:
                    endpoint.primary = endpoint is chosen

    def weigh_zones(self) -> None:
        """Send every instance a random weight for each zone."""
        shares = tuple((zone, self.rng.choice((0.0, 0.3, 1.0))) for zone in self.zones)
        self.flush()
        for name in self.instances:
            router = self.host.instances[name].router
            commands = [to_wire(name, a) for a in router.handle(self.now, [messages.ZoneWeights(shares)])]
            self.digest.update(json.dumps(commands).encode())
            for command in commands:
                self.carry_out(command)

    def announce(self) -> None:
        """Send the endpoint list to the instances that watch it."""
        watching = [name for name in self.instances if self.subscribed[name]]
        if watching:
            self.send_list(self.rng.choice(("Partial", "Complete", "Complete")), watching)
        if self.setup["registryMode"] == "subscribe" and watching and self.rng.random() < 0.2:
            lost = self.rng.choice(watching)
            self.subscribed[lost] = False
            self.pending.append({"type": "sync", "driver": lost, "how": "Error"})

    def send_list(self, how: str, instances: list[str], hello: bool = False) -> None:
        """Send the endpoint list, or a random part of it, to these instances."""
        entries = [e.entry() for e in self.endpoints if how == "Partial" or e.state != "D"]
        if how == "Partial":
            entries = self.rng.sample(entries, self.rng.randrange(1, len(entries) + 1))
        self.pending.append({"type": "manifest", "rosterId": 0, "lines": entries})
        for name in instances:
            if hello:
                entropy = self.rng.getrandbits(32)
                event = {"type": "hello", "driver": name, "entropy": entropy, "setup": self.setup}
                self.pending.append(event)
            self.pending.append({"type": "sync", "driver": name, "how": how, "rosterId": 0, "rev": 1})

    # Commands of the router

    def carry_out(self, command: Wire) -> None:
        """Carry out one command of the router."""
        kind = command["type"]
        self.actions[kind] = self.actions.get(kind, 0) + 1
        if kind == "attempt":
            self.attempt(command)
        elif kind in ("refuse", "dropRequest"):
            self.requests[command["job"]].done = True
        elif kind == "remind":
            event = {"type": "tickDue", "driver": command["driver"], "nonce": command["nonce"]}
            self.at(command["afterS"], lambda: self.pending.append(event))
        elif kind == "probe":
            self.check_health(command)
        elif kind == "keepInformed":
            self.at(self.rng.uniform(0.01, 0.2), lambda: self.subscribe(command["driver"]))

    def subscribe(self, name: str) -> None:
        """Answer a subscription; one in four fails."""
        if self.rng.random() < 0.25:
            self.pending.append({"type": "sync", "driver": name, "how": "Error"})
            return
        self.subscribed[name] = True
        self.send_list("Complete", [name])

    def attempt(self, command: Wire) -> None:
        """Start an attempt at an endpoint and schedule its outcome."""
        number = command["job"]
        request = self.requests[number]
        attempt, request.attempts = request.attempts, request.attempts + 1
        endpoint = next(e for e in self.endpoints if e.number == command["member"])
        self.attempt_endpoint[number, attempt] = endpoint
        request.attempts_in_flight.add(attempt)
        endpoint.in_flight += 1
        sent = self.now
        outcome, delay_s = self.outcome(endpoint, request)
        if outcome:
            self.at(delay_s, lambda: self.finish(number, attempt, endpoint, outcome, sent))

    def outcome(self, endpoint: EmulatedEndpoint, request: OpenRequest) -> tuple[str, float]:
        """Draw the outcome of an attempt and its delay; "" if the endpoint never answers."""
        rng = self.rng
        delay_s = rng.uniform(0.002, 0.012) * (1.0 + endpoint.in_flight / (4.0 * endpoint.size))
        if endpoint.fault == "silent" or (endpoint.fault == "lossy" and rng.random() < 0.3):
            return "", 0.0
        if endpoint.fault == "dead":
            return rng.choice(("dial_failed", "dropped")), 0.001
        if endpoint.fault == "failing" and rng.random() < 0.6:
            return rng.choice(("app_error", "dropped")), delay_s
        if endpoint.fault == "full" and rng.random() < 0.5:
            return rng.choice(("shed", "dial_failed")), 0.002
        if endpoint.fault == "slow":
            delay_s *= 12.0
        if request.writes and not endpoint.primary:
            return "empty", delay_s
        if request.writes and rng.random() < 0.08:
            return "dropped", delay_s
        return "delivered", delay_s

    def finish(
        self, number: int, attempt: int, endpoint: EmulatedEndpoint, outcome: str, sent: float | None = None
    ) -> None:
        """Report the outcome of an attempt to the router, once."""
        request = self.requests[number]
        if attempt not in request.attempts_in_flight:
            return
        request.attempts_in_flight.discard(attempt)
        endpoint.in_flight -= 1
        served = outcome == "delivered"
        request.done = request.done or served
        event = {
            "type": "finished",
            "driver": request.instance,
            "job": number,
            "hop": attempt,
            "member": endpoint.number,
            "outcome": outcome,
            "durationS": round(self.now - (self.now - 0.05 if sent is None else sent), ROUND_DIGITS),
            "doneFlag": request.done,
        }
        if outcome in OUTCOMES_WITH_STAMP:
            commit = self.now if endpoint.primary else self.now - endpoint.replication_lag_s
            millis = int((commit - POSITIONS_COUNTED_FROM_S) * 1000.0)
            event["stamp"] = 4 * millis + (1 if endpoint.primary else 2)
            if self.setup["stats"]["how"] == "piggyback":
                event["feedback"] = self.report(endpoint)
            if served and request.writes:
                self.commits[f"session-{number % 12}"] = commit
        self.pending.append(event)

    def report(self, endpoint: EmulatedEndpoint) -> Wire:
        """Return a load report of an endpoint that is 1 ms old."""
        behind_s = 0.0 if endpoint.primary else endpoint.replication_lag_s
        position = round(self.now - 0.001 - behind_s - POSITIONS_COUNTED_FROM_S, ROUND_DIGITS)
        return {"x0": position, "x1": int(endpoint.primary), "queue": endpoint.in_flight}

    def check_health(self, command: Wire) -> None:
        """Schedule the answer to a health check."""
        endpoint = next(e for e in self.endpoints if e.number == command["member"])
        event = {"type": "statusBack", "driver": command["driver"], "member": endpoint.number}
        if endpoint.fault == "dead":
            event |= {"outcome": "dial_failed", "durationS": 0.001}
        elif endpoint.fault == "silent":
            event |= {"outcome": "expired", "durationS": 0.25}
        else:
            event |= {"outcome": "delivered", "durationS": 0.004}
            if self.setup["stats"]["how"] != "silent":
                event["feedback"] = self.report(endpoint)
        self.at(event["durationS"], lambda: self.pending.append(event))
