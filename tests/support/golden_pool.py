"""A seeded simulation of one connection pool: connections open, fail and are lost during attempts.

The digest covers, as canonical text, all that the pool does. The wording of reasons is included, since
clients see it. Times are virtual seconds.
"""

from __future__ import annotations

import random
from typing import Any

from twisted.internet.task import Clock

from sedgepitch.core.clock import FakeClock
from sedgepitch.core.connection_pool import ConnectionPool, PoolLimits
from sedgepitch.core.types import AttemptOutcome
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.routing.messages import AttemptResult
from tests.support.golden_admission import Digest

STEPS = 600


class SimulatedConnection:
    """One connection requested by the pool."""

    def __init__(self, simulation: PoolSimulation, number: int, ready: Any, failed: Any, lost: Any) -> None:
        self.simulation, self.number = simulation, number
        self.ready, self.failed, self.lost = ready, failed, lost
        self.state = "opening"
        self.done: Any = None
        self.bytes_unsent = 0

    def give_up(self) -> None:
        """Record that the pool cancelled the opening."""
        self.simulation.write("give up", self.number)
        self.state = "over"

    def start(self, payload: object, done: Any) -> None:
        """Accept a request."""
        self.simulation.write("start", self.number, payload)
        self.done = done

    def close(self) -> None:
        """Record that the pool closed it; the loss is reported in a later step."""
        if self.simulation.closed is None:
            self.simulation.write("close", self.number)
        else:
            self.simulation.closed.append(self.number)

    def unsent(self) -> int:
        """Return the number of unsent bytes."""
        return self.bytes_unsent

    def usable(self) -> bool:
        """Return whether it may be reused; every seventh may not."""
        return self.number % 7 != 0


class PoolSimulation:
    """Runs one seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(f"golden pool {seed}")
        self.digest = Digest()
        self.task = Clock()
        self.requested: list[SimulatedConnection] = []
        self.attempts: list[Any] = []
        self.closed: list[int] | None = None  # numbers of the connections closed by the final pool.close()
        self.budget = DescriptorBudget(self.rng.choice((0, 64)))
        limits = PoolLimits(self.rng.choice((2, 5)), 0.25, 2.0, self.rng.choice((0.0, 1.0)))
        self.pool = ConnectionPool(FakeClock(self.task), self.connect, self.judge, limits, self.budget)

    def write(self, kind: str, *values: object) -> None:
        """Add one line with the current time to the digest."""
        self.digest.line(kind, self.task.seconds(), *values)

    def connect(self, ready: Any, failed: Any, lost: Any) -> Any:
        """Start to open a connection; return the function that cancels it."""
        connection = SimulatedConnection(self, len(self.requested), ready, failed, lost)
        self.requested.append(connection)
        return connection.give_up

    def judge(self, attempt: Any, reply: Any) -> AttemptOutcome:
        """Return the outcome of a reply."""
        self.write("judge", attempt.payload, attempt.sent_at, reply)
        return AttemptOutcome(AttemptResult.OK, reply)

    def play(self) -> str:
        """Run to the end and return the digest as hex."""
        for step in range(STEPS):
            self.step(step, self.rng.randrange(20))
            self.write("pool", len(self.pool.connections), len(self.pool.idle), self.budget.endpoints)
        self.task.advance(5.0)
        self.closed = []
        self.pool.close()  # in an unspecified order
        self.write("closed", sorted(self.closed))
        return self.digest.hash.hexdigest()

    def step(self, step: int, kind: int) -> None:
        """Make one random event happen."""
        rng, pool = self.rng, self.pool
        if kind < 5:
            send_by = self.task.seconds() + rng.choice((-0.1, 0.05, 5.0, float("inf")))
            self.attempts.append(pool.send(step, lambda outcome: self.ended(step, outcome), send_by))
        elif kind == 5:
            pool.send_with_timeout(step, lambda outcome: self.ended(step, outcome), 0.3)
        elif kind < 8 and self.attempts:
            attempt = rng.choice(self.attempts)
            if not attempt.started() and not self.at_most_one_opening():
                return
            if kind == 6:
                attempt.abandon()
            else:
                self.write("withdraw", attempt.started(), attempt.withdraw())
        elif kind < 17:
            self.connection_event(kind)
        elif kind == 17 and rng.random() < 0.2:
            pool.close_idle()
        elif kind == 18 and step > STEPS - 60 and self.at_most_one_opening():
            pool.retire()
        else:
            self.task.advance(rng.choice((0.0, 0.01, 0.1, 0.3, 1.1)))

    def at_most_one_opening(self) -> bool:
        """Return whether at most one connection is opening; among several, the pool may pick any."""
        return sum(connection.state == "opening" for connection in self.requested) <= 1

    def connection_event(self, kind: int) -> None:
        """Make a connection open, fail, answer, be lost or have a full socket."""
        live = [c for c in self.requested if c.state != "over"]
        if not live:
            return
        connection = self.rng.choice(live)
        if connection.state == "opening":
            if kind < 15:
                connection.state = "open"
                connection.ready(connection)
            else:
                connection.state = "over"
                connection.failed("refused")
        elif connection.done is not None and kind < 13:
            done, connection.done = connection.done, None
            done(f"reply {connection.number}")
        elif kind == 13:
            connection.state = "over"
            connection.lost("ended")
        else:
            connection.bytes_unsent = 10 * (kind % 2)

    def ended(self, payload: int, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt."""
        self.write("ended", payload, outcome.result.value, outcome.why, outcome.reply)
