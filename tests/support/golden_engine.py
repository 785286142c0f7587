"""A seeded simulation of the engine: clients, endpoints and an event loop that stalls, on a fake clock.

The digest covers, as canonical text, all that the engine does: attempts sent and withdrawn, each final
answer, calls of observers, and its counters. Numbers are written with `repr`; the wording of reasons is left
out. Times are virtual seconds.
"""

from __future__ import annotations

import random
from importlib.resources import files
from typing import Any

from twisted.internet.task import Clock

from sedgepitch.config.load import parse
from sedgepitch.core.clock import FakeClock
from sedgepitch.core.engine import Engine
from sedgepitch.core.types import AttemptOutcome, ClientRequest
from sedgepitch.decisions.admission.controller import AdmissionController
from sedgepitch.decisions.admission.settings import AdmissionSettings
from sedgepitch.routing import messages
from sedgepitch.routing.messages import AttemptResult
from sedgepitch.routing.router import Router
from tests.support.golden_admission import Digest

START_S = 1000.0
LENGTH_S = 2.5
STEP_S = 0.002
ENDPOINTS = (1, 2, 3, 4)
OUTCOMES = (AttemptResult.RESET, AttemptResult.ERROR, AttemptResult.OVERLOADED, AttemptResult.NOT_ELIGIBLE)
EXAMPLE = files("sedgepitch.config").joinpath("example.yaml").read_text()


class CallbackFailed(Exception):
    """Raised by callbacks of the simulation at random."""


class SimulatedAttempt:
    """One attempt at an endpoint, which may wait for a connection before it is sent."""

    def __init__(self, simulation: EngineSimulation, number: int, on_end: Any, started: bool) -> None:
        self.simulation, self.number, self.on_end, self.has_started = simulation, number, on_end, started
        self.over = False

    def abandon(self) -> None:
        """Ignore the outcome from now on."""
        self.over = True
        self.simulation.write("abandon", self.number)

    def started(self) -> bool:
        """Return whether it was sent."""
        return self.has_started

    def withdraw(self) -> bool:
        """Cancel it if it was not sent yet; return whether that succeeded."""
        self.simulation.write("withdraw", self.number, self.has_started)
        if not self.has_started:
            self.over = True
        return not self.has_started

    def begin(self) -> None:
        """Mark it as sent."""
        self.has_started = True

    def end(self, outcome: AttemptOutcome) -> None:
        """Report its outcome, once."""
        if not self.over:
            self.over = True
            self.on_end(outcome)


class EngineSimulation:
    """Runs one seed as the upstream side, the observers and the clients of one engine."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"golden engine {seed}")
        self.digest = Digest()
        self.task = Clock()
        self.task.advance(START_S)
        self.clock = FakeClock(self.task)
        settings = parse(EXAMPLE, "example").module_settings()
        self.classes = [c.name for c in settings.classes]
        admission = None
        if seed % 2:
            limits = AdmissionSettings(max_queued=self.rng.choice((5, 100)), max_waiting_in_router=4)
            admission = AdmissionController(limits, seed, self.clock.now())
        self.engine = Engine(
            Router(settings, seed),
            self,
            self.clock,
            max_in_flight=self.rng.choice((40, 1000)),
            admission=admission,
            watch=lambda: self.write("watch"),
            log=lambda text: self.write("log"),
            on_response=self.observe,
            on_callback_error=lambda where, error: self.write("fault", where, type(error).__name__),
        )
        if seed % 3 == 0:
            self.engine.attempt_observer = self
        self.pending: dict[int, Any] = {}
        self.attempts = self.number = 0
        self.fault: dict[int, AttemptResult | None] = dict.fromkeys(ENDPOINTS, AttemptResult.OK)
        self.rate_per_s = self.rng.choice((20.0, 100.0, 300.0))
        self.stalls = self.rng.random() < 0.5
        self.callback_error_rate = 0.01 if self.rng.random() < 0.5 else 0.0

    def write(self, kind: str, *values: object) -> None:
        """Add one line with the current time to the digest."""
        self.digest.line(kind, self.clock.now(), *values)

    def play(self) -> None:
        """Run to the end."""
        self.change_list(complete=True)
        self.clock.call_later(0.01, self.arrive)
        self.clock.call_later(0.2, self.disturb)
        while self.clock.now() < START_S + LENGTH_S:
            if self.stalls and self.rng.random() < 0.01:
                self.task.rightNow += self.rng.choice((0.02, 0.2, 0.5))
                self.engine.record_wait(self.rng.choice((0.01, 0.2)), self.clock.now())
                self.engine.before_reading()
            self.task.advance(STEP_S)
            self.task.advance(0.0)
        self.engine.answer_all_by(self.clock.now() + 0.1)
        for _ in range(100):
            self.task.advance(0.01)
        self.write_counters()

    # Clients

    def arrive(self) -> None:
        """Submit one request and schedule the next."""
        rng = self.rng
        self.clock.call_later(rng.expovariate(self.rate_per_s), self.arrive)
        self.number += 1
        number, now = self.number, self.clock.now()
        age_s = rng.choice((0.0, 0.05, 1.0))
        request = ClientRequest(
            rng.choice(self.classes),
            0,
            rng.choice((0.01, 0.1, 0.5, 1.0)),
            number,
            f"session-{rng.randrange(5)}",
            age_s,
            0,
            f"tenant-{rng.randrange(3)}",
            f"client-{rng.randrange(6)}",
            f"mark-{rng.randrange(50)}",
            f"key-{number}",
        )
        answered = lambda response: self.answered(number, response)  # noqa: E731
        arrived = rng.choice((None, now, now - 0.02, now - 0.3))
        if rng.random() < 0.1:
            self.write("sticky", number)
            pending = self.engine.submit_sticky(rng.choice(ENDPOINTS), request, answered, arrived)
        else:
            self.write("submit", number, request.class_name)
            pending = self.engine.submit(request, answered, arrived)
        self.pending[number] = pending
        if rng.random() < 0.1:
            self.clock.call_later(rng.uniform(0.0, 0.2), self.disconnect, number)
        if rng.random() < 0.05:
            self.write("unread", self.engine.reject_unread(rng.uniform(0.0, 0.2), "tenant-1"))

    def disconnect(self, number: int) -> None:
        """Close a client connection, answered or not."""
        self.write("disconnect", number, self.pending[number].open)
        self.engine.client_disconnected(self.pending[number])

    def answered(self, number: int, response: Any) -> None:
        """Record a final answer."""
        self.write("answer", number, *self.fields_of(response))
        if self.rng.random() < self.callback_error_rate:
            raise CallbackFailed

    def fields_of(self, response: Any) -> tuple[object, ...]:
        """Return the fields of an answer without its reason."""
        return (
            response.status.value,
            response.reply,
            response.endpoint,
            response.retry_after,
            response.reserved,
        )

    def observe(self, pending: Any, response: Any, elapsed_s: float) -> None:
        """Record the call that feeds the log and the metrics."""
        self.write("observe", pending.id, pending.attempted_endpoints, self.fields_of(response), elapsed_s)
        if self.rng.random() < self.callback_error_rate:
            raise CallbackFailed

    # The endpoints

    def send(self, endpoint: int, payload: Any, on_end: Any, by: float) -> SimulatedAttempt:
        """Accept an attempt and schedule its outcome."""
        rng = self.rng
        if rng.random() < self.callback_error_rate:
            raise CallbackFailed
        self.attempts += 1
        self.write("send", self.attempts, endpoint, payload, by)
        connected = rng.random() < 0.8
        attempt = SimulatedAttempt(self, self.attempts, on_end, connected)
        if not connected:
            self.clock.call_later(0.03, attempt.begin)
        result = self.fault[endpoint]
        if result is not None:
            if result is not AttemptResult.OK and rng.random() < 0.5:
                result = AttemptResult.OK
            delay_s = rng.choice((0.001, 0.005, 0.02, 0.2))
            self.clock.call_later(delay_s, self.finish, attempt, endpoint, result)
        return attempt

    def finish(self, attempt: SimulatedAttempt, endpoint: int, result: AttemptResult) -> None:
        """End an attempt."""
        now = self.clock.now()
        arrived = self.rng.choice((0.0, now, now - 0.005))
        primary, position = endpoint == 1, now - (0.0 if endpoint == 1 else 0.05)
        report = messages.LoadReport(position, primary, float(self.rng.randrange(5)))
        attempt.end(AttemptOutcome(result, attempt.number, primary, position, report, "text", arrived))

    def check_health(self, endpoint: int, on_end: Any) -> None:
        """Answer a health check."""
        self.write("probe", endpoint)
        if self.rng.random() < self.callback_error_rate:
            raise CallbackFailed
        result = AttemptResult.TIMEOUT if self.fault[endpoint] is None else AttemptResult.OK
        report = messages.LoadReport(self.clock.now() - 0.01, endpoint == 1)
        self.clock.call_later(0.01, on_end, AttemptOutcome(result, report=report))

    def close_idle(self, endpoint: int) -> None:
        """Record the request to close idle connections."""
        self.write("close idle", endpoint)

    def update_endpoints(self, entries: Any, complete: bool) -> None:
        """Record an update of the endpoint list."""
        self.write("listed", len(entries), complete)

    # Observer of attempts

    def request_received(self) -> None:
        """Record a received request."""
        self.write("observer arrived")

    def attempt_sent(self, endpoint: int) -> None:
        """Record a sent attempt."""
        self.write("observer sent", endpoint)

    def attempt_ended(self, endpoint: int, result: AttemptResult, latency_ratio: float) -> None:
        """Record the end of an attempt."""
        self.write("observer ended", endpoint, result.value, latency_ratio)

    # Faults

    def disturb(self) -> None:
        """Change an endpoint or the list and schedule the next change."""
        rng = self.rng
        self.clock.call_later(rng.uniform(0.05, 0.4), self.disturb)
        kind = rng.randrange(4)
        if kind == 0:
            self.fault[rng.choice(ENDPOINTS)] = rng.choice((None, *OUTCOMES))
        elif kind == 1:
            self.fault[rng.choice(ENDPOINTS)] = AttemptResult.OK
        else:
            self.change_list(complete=kind == 2)
        self.write_counters()

    def change_list(self, complete: bool) -> None:
        """Send a list in which endpoints may be draining, restarted or missing."""
        rng = self.rng
        listed = []
        for endpoint in ENDPOINTS:
            draw = rng.random()
            if draw < 0.1 and self.number:
                continue
            up = draw < 0.85 or endpoint == 1 or not self.number
            state = messages.EndpointState.UP if up else messages.EndpointState.DRAINING
            started = START_S if self.number and draw > 0.75 else 0.0
            listed.append(messages.EndpointEntry(endpoint, 0, state, "north", endpoint == 1, 1.0, started))
        self.engine.list_changed(messages.EndpointListUpdate(tuple(listed), complete=complete))

    def write_counters(self) -> None:
        """Record the counters and the request table of the engine."""
        engine = self.engine
        table = engine.request_table
        self.write(
            "table",
            len(table.requests),
            table.pending,
            table.opened,
            table.completed,
            table.cancelled,
            table.duplicate_responses,
        )
        counters = (
            engine.answered_by_last_guard,
            engine.answered_early,
            engine.rejected_for_lag,
            engine.rejected_for_load,
            engine.callbacks.errors,
        )
        self.write("counters", *counters, sorted(engine.draining_since.items()), engine.process_limit.limit)
