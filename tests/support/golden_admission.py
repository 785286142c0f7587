"""Seeded simulations of the admission controller and of each limit that it uses.

Each run of one seed gives a SHA-256 digest of all decisions as canonical text. Numbers are written with
`repr`, so two versions have the same digest only if every decision, every random draw and every float
operation is the same. Reasons are numbered in the order of first appearance, so their wording may change.
Times are virtual seconds.
"""

from __future__ import annotations

import hashlib
import random
from heapq import heappop, heappush
from typing import Any

from sedgepitch.decisions.admission.capacity_estimate import CapacityEstimate
from sedgepitch.decisions.admission.controller import AdmissionController
from sedgepitch.decisions.admission.fair_queue import FairQueue, QueuedRequest
from sedgepitch.decisions.admission.messages import AdmissionRequest, Admit
from sedgepitch.decisions.admission.process_concurrency_limit import ProcessConcurrencyLimit
from sedgepitch.decisions.admission.reservations import ReservationSchedule
from sedgepitch.decisions.admission.settings import AdmissionSettings
from sedgepitch.decisions.event_loop_lag import EventLoopLag

LENGTH_S = 3.0
TICK_S = 0.01
CLASSES = (
    ("map", 0.2, 1.0, False),
    ("read", 0.05, 3.0, False),
    ("upload", 0.0, 6.0, True),
    ("note", 0.2, 1.0, True),
)


class Digest:
    """A running hash of text, with one line per decision."""

    def __init__(self) -> None:
        self.hash = hashlib.sha256()
        self.reasons: dict[str, int] = {}
        self.kinds: dict[str, int] = {}

    def line(self, kind: str, *values: object) -> None:
        """Add one line."""
        self.kinds[kind] = self.kinds.get(kind, 0) + 1
        self.hash.update((" ".join([kind, *map(repr, values)]) + "\n").encode())

    def reason(self, text: str) -> int:
        """Return the number of a reason, assigned on first appearance."""
        return self.reasons.setdefault(text, len(self.reasons))


def draw_settings(rng: random.Random) -> AdmissionSettings:
    """Draw settings; some have small limits that are soon reached."""
    return AdmissionSettings(
        tenant_weights={f"tenant-{n}": rng.choice((0.5, 2.0, 4.0)) for n in range(rng.randrange(4))},
        default_weight=rng.choice((1.0, 1.0, 2.0)),
        max_queued=rng.choice((10, 60, 2000)),
        max_waiting_in_router=rng.choice((2, 8)),
        max_admitted_per_turn=rng.choice((2, 32)),
        max_queueing_share=rng.choice((0.2, 0.4)),
        max_tracked_tenants=rng.choice((16, 4096)),
        max_reservations=rng.choice((30, 10_000)),
        reservation_horizon=rng.choice((1.0, 5.0)),
        retry_budget_share=rng.choice((0.0, 0.2)),
    )


class AdmissionSimulation:
    """One controller with clients, endpoints and a proxy process under load of its own."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"golden admission {seed}")
        self.digest = Digest()
        self.now = 0.0
        self.controller = AdmissionController(draw_settings(self.rng), seed, 0.0)
        self.process_limit = ProcessConcurrencyLimit(0.02)
        self.event_queue: list[tuple[float, int, Any]] = []
        self.sequence = self.next_request = 0
        self.requests: dict[int, AdmissionRequest] = {}  # pending, by id
        self.admitted: list[int] = []  # ids in order of admission, not sent yet
        self.free_servers = self.rng.choice((2, 6, 20))
        self.service_s = self.rng.choice((0.002, 0.01, 0.04))
        capacity = self.free_servers / self.service_s
        self.rate_per_s = min(1500.0, capacity * self.rng.choice((0.5, 1.5, 3.0)))
        self.tenants = self.rng.choice((1, 3, 12, 60))
        self.keyed = self.rng.random() < 0.5
        self.router_rejection_rate = self.rng.choice((0.0, 0.0, 0.1))
        self.pause_s = 0.0

    def at(self, delay_s: float, action: Any) -> None:
        """Schedule `action` after `delay_s` seconds."""
        self.sequence += 1
        heappush(self.event_queue, (self.now + delay_s, self.sequence, action))

    def play(self) -> None:
        """Run to the end."""
        self.at(0.0, self.arrive)
        self.at(TICK_S, self.tick)
        self.at(self.rng.uniform(0.5, 2.0), self.disturb)
        while self.event_queue and self.event_queue[0][0] <= LENGTH_S:
            self.now, _, action = heappop(self.event_queue)
            action()
        self.write_state()

    def arrive(self) -> None:
        """Submit a request of a new client and schedule the next."""
        self.at(self.rng.expovariate(self.rate_per_s), self.arrive)
        tenant = f"tenant-{min(self.rng.randrange(self.tenants), self.rng.randrange(self.tenants))}"
        self.submit(tenant, self.rng.choice(CLASSES), f"mark-{self.next_request}", f"key-{self.next_request}")

    def submit(self, tenant: str, cls: tuple[str, float, float, bool], mark: str, key: str) -> None:
        """Submit one admission request."""
        name, objective_s, weight, primary_only = cls
        self.next_request += 1
        request = AdmissionRequest(
            self.next_request,
            tenant,
            f"{tenant}-client-{self.rng.randrange(4)}",
            name,
            weight,
            self.rng.choice((0.02, 0.3, 1.0, 2.0)),
            self.rng.choice((0, 0, 0, 1)),
            primary_only,
            mark,
            key if self.keyed else "",
            objective_s,
        )
        self.requests[request.id] = request
        self.apply(self.controller.arrive(request, self.now))
        if self.rng.random() < 0.03:
            self.at(self.rng.uniform(0.0, 0.3), lambda: self.leave(request.id))

    def apply(self, decisions: list[Any]) -> None:
        """Record decisions and carry them out."""
        for decision in decisions:
            request = self.requests[decision.id]
            if isinstance(decision, Admit):
                self.digest.line("admit", self.now, decision.id)
                self.admitted.append(decision.id)
                continue
            reason = self.digest.reason(decision.why)
            self.digest.line("reject", self.now, decision.id, decision.retry_after, reason)
            del self.requests[decision.id]
            self.retry_sometimes(request, decision.retry_after)
        self.at(0.0, self.dispatch)

    def retry_sometimes(self, request: AdmissionRequest, retry_after_s: float) -> None:
        """Make some clients retry: at the reserved time, too early or too late."""
        draw = self.rng.random()
        cls = next(c for c in CLASSES if c[0] == request.class_name)
        token = request.reservation_token
        key = request.idempotency_key or f"key-{token}"

        def retry() -> None:
            self.submit(request.tenant, cls, token, key)

        if retry_after_s > 0 and draw < 0.6:
            self.at(retry_after_s + self.rng.choice((0.0, 0.01, 0.2, 0.6)), retry)
        elif draw < 0.7:
            self.at(self.rng.uniform(0.0, 0.05), retry)

    def dispatch(self) -> None:
        """Assign admitted requests to free servers, as the router would."""
        while self.admitted and self.free_servers:
            number = self.admitted.pop(0)
            if number not in self.requests:
                continue
            if self.rng.random() < self.router_rejection_rate:
                retry_after_s = self.controller.reserve(number, self.now)
                self.digest.line("promise", self.now, number, retry_after_s)
                request = self.requests.pop(number)
                self.retry_sometimes(request, retry_after_s)
                self.apply(self.controller.ended(number, self.now, False, 0.0))
                continue
            self.free_servers -= 1
            duration_s = self.service_s * self.rng.uniform(0.5, 2.0)
            self.at(duration_s, lambda number=number: self.finish(number))
            self.apply(self.controller.sent(number, self.now))
        self.apply_router_turn()

    def apply_router_turn(self) -> None:
        """Report that the router has decided on all admitted requests."""
        decisions = self.controller.router_decided(self.now)
        if decisions:
            self.apply(decisions)

    def finish(self, number: int) -> None:
        """Complete a request; the answer may have waited to be read during a stall."""
        self.free_servers += 1
        if number in self.requests:
            del self.requests[number]
            received = self.now - self.pause_s * self.rng.random() if self.rng.random() < 0.5 else 0.0
            self.apply(self.controller.ended(number, self.now, self.rng.random() < 0.95, received))
        self.at(0.0, self.dispatch)

    def leave(self, number: int) -> None:
        """Close the client connection of a request."""
        if self.requests.pop(number, None) is not None:
            self.digest.line("left", self.now, number)
            self.apply(self.controller.ended(number, self.now, True))

    def tick(self) -> None:
        """Run the controller's timer and record the load of the process."""
        self.at(TICK_S, self.tick)
        self.process_limit.record(self.pause_s * self.rng.random(), self.controller.in_flight, self.now)
        self.controller.process_limit = self.process_limit.limit
        self.apply(self.controller.tick(self.now))
        self.write_state()

    def write_state(self) -> None:
        """Record the state that operators see."""
        controller = self.controller
        self.digest.line(
            "counts",
            controller.queued,
            controller.in_flight,
            controller.most_active_tenant,
            controller.process_limit,
        )
        state = controller.state(self.now)
        totals, rooms, largest = state.values()
        self.digest.line(
            "state", totals, [list(r.values()) for r in rooms], [list(t.values()) for t in largest]
        )

    def disturb(self) -> None:
        """Change the endpoints, the load of the process or the settings."""
        rng = self.rng
        self.at(rng.uniform(0.2, 1.5), self.disturb)
        kind = rng.randrange(5)
        if kind == 0:
            self.service_s *= rng.choice((0.5, 2.0, 3.0))
        elif kind == 1:
            self.pause_s = rng.choice((0.0, 0.001, 0.05, 0.2))
        elif kind == 2:
            self.router_rejection_rate = rng.choice((0.0, 0.3))
        elif kind == 3:
            self.rate_per_s = min(1500.0, max(20.0, self.rate_per_s * rng.choice((0.3, 2.0))))
        else:
            self.controller.reload(draw_settings(rng))


def play_capacity_estimate(seed: int, digest: Digest) -> None:
    """Latencies of three classes that shift over time, with requests in flight up to the limit."""
    rng = random.Random(f"golden capacity {seed}")
    estimate, now, in_flight, base_s = CapacityEstimate(0.0), 0.0, 0, rng.choice((0.0005, 0.01, 0.1))
    for _ in range(2000):
        now += rng.choice((0.0, 0.001, 0.005, 0.02))
        if rng.random() < 0.002:
            base_s *= rng.choice((0.4, 2.5))
        if in_flight < estimate.current_limit:
            in_flight += 1
            estimate.record_in_flight(in_flight, now)
        elif rng.random() < 0.7:
            in_flight -= 1
            duration_s = base_s * rng.uniform(0.8, 1.3) * (1.0 + in_flight / 10.0)
            name = rng.choice(("read", "map", "upload"))
            estimate.record_latency(
                name, {"read": 0.05, "map": 0.2, "upload": 0.0}[name], duration_s, now - duration_s
            )
        estimate.update(now)
        digest.line("capacity", estimate.limit, estimate.current_limit, estimate.probing)


def play_process_limits(seed: int, digest: Digest) -> None:
    """Event loop waits, with calm and with burst phases."""
    rng = random.Random(f"golden process {seed}")
    lag, limit, now, scale_s = EventLoopLag(), ProcessConcurrencyLimit(rng.choice((0.005, 0.02))), 50.0, 0.001
    for _ in range(800):
        now += rng.choice((0.0, 0.002, 0.02, 0.02, 0.3))
        if rng.random() < 0.02:
            scale_s = rng.choice((0.0005, 0.005, 0.05, 0.5))
        wait_s = scale_s * rng.random()
        lag.record(wait_s, now)
        limit.record(wait_s, rng.choice((2, 20, int(limit.limit))), now)
        digest.line(
            "lag",
            lag.deadline_margin(now),
            lag.seconds_until_margin_below(rng.choice((0.01, 0.1, 0.4)), now),
            lag.longest,
        )
        waited_s = rng.uniform(0.0, 0.1)
        digest.line(
            "process",
            limit.limit,
            limit.overloaded,
            limit.rejects_unread(waited_s, rng.random() < 0.5),
            limit.decreases,
        )


def play_reservations(seed: int, digest: Digest) -> None:
    """Reservations are made, redeemed, missed, and revoked when the rate falls."""
    rng = random.Random(f"golden reservations {seed}")
    schedule, now = ReservationSchedule(rng.choice((30, 1000)), rng.choice((1.0, 4.0)), seed), 20.0
    for _ in range(800):
        now += rng.choice((0.0, 0.001, 0.01, 0.1))
        kind, tenant = rng.randrange(10), f"tenant-{rng.randrange(4)}"
        token = f"{tenant} mark {rng.randrange(12)}"
        if kind == 0:
            schedule.update_rate(rng.uniform(0.2, 5.0), now)
        elif kind < 6:
            args = (rng.uniform(0.001, 0.05), rng.choice((0.2, 0.5, 1.0)), rng.uniform(0.0, 0.5), now)
            digest.line("told", schedule.reserve(token, tenant, *args))
        else:
            digest.line("kept", schedule.redeem(token, now))
        digest.line("reservations", len(schedule.reservations), schedule.revoked)


def play_fair_queue(seed: int, digest: Digest) -> None:
    """Requests are pushed, popped, removed, shed and corrected in random order."""
    rng = random.Random(f"golden queue {seed}")
    queue, waiting = FairQueue(rng.choice((4, 1000))), {}
    for number in range(800):
        tenant = f"tenant-{rng.randrange(12)}"
        weight, cost_s = rng.choice((0.5, 1.0, 3.0)), rng.uniform(0.001, 0.05)
        kind = rng.randrange(12)
        if kind < 6:
            waiting[number] = QueuedRequest(
                number, tenant, f"client-{rng.randrange(4)}", rng.choice((1.0, 3.0)), cost_s, weight
            )
            queue.push(waiting[number])
        elif kind < 9:
            popped = queue.pop()
            digest.line("pop", popped and (popped.id, popped.start_tag))
            if popped is not None:
                del waiting[popped.id]
        elif kind == 9 and waiting:
            queue.remove(waiting.pop(rng.choice(list(waiting))))
        elif kind == 10:
            queue.charge(tenant, cost_s, weight)
            queue.correct(f"tenant-{rng.randrange(12)}", rng.uniform(-0.02, 0.05), weight)
        elif (fullest := queue.longest()) is not None and rng.random() < 0.3:
            shed = queue.shed_from(fullest)
            digest.line("shed", shed and shed.id)
            if shed is not None:
                del waiting[shed.id]
        digest.line("queue", queue.length, queue.cost, queue.virtual_time, queue.lead(tenant))


def play_limits(seed: int) -> dict[str, str]:
    """Run one seed against each limit separately; return a digest of each."""
    digests = {}
    parts = {
        "capacity": play_capacity_estimate,
        "process": play_process_limits,
        "reservations": play_reservations,
        "queue": play_fair_queue,
    }
    for name, part in parts.items():
        digest = Digest()
        part(seed, digest)
        digests[name] = digest.hash.hexdigest()
    return digests
