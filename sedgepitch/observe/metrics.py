"""Plain metrics of one driver, for prometheus; one registry each, so that several fit in one process."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from sedgepitch.core.engine import Engine
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.core.types import Response

BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class _Gauges(Collector):
    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def collect(self) -> list[GaugeMetricFamily]:
        """Read the ledger as it stands."""
        request_table = self.engine.request_table
        figures = {
            "sedgepitch_owed": ("Requests that are owed an answer.", request_table.pending),
            "sedgepitch_overdue": (
                "Answers that only the last guard gave.",
                self.engine.answered_by_last_guard,
            ),
            "sedgepitch_answered_twice": (
                "Second answers that were held back.",
                request_table.duplicate_responses,
            ),
            "sedgepitch_left": ("Clients that left before their answer.", request_table.cancelled),
            "sedgepitch_reserve_seconds": (
                "How much earlier answers are decided, for the driver's own delay.",
                self.engine.event_loop_lag.deadline_margin(self.engine.clock.now()),
            ),
            "sedgepitch_latest_seconds": (
                "The longest that bytes or timers waited.",
                self.engine.event_loop_lag.longest,
            ),
            "sedgepitch_too_slow": (
                "Requests refused for the driver's own delay.",
                self.engine.rejected_for_lag,
            ),
            "sedgepitch_too_many": (
                "Requests refused for the driver's own load.",
                self.engine.rejected_for_load,
            ),
            "sedgepitch_own_limit": ("How many may be inside for its sake.", self.engine.process_limit.limit),
            "sedgepitch_hurried": (
                "Answers given early since the driver became late.",
                self.engine.answered_early,
            ),
        }
        return [GaugeMetricFamily(name, text, value=value) for name, (text, value) in figures.items()]


class Metrics:
    """Counts answers by class and verdict, attempts by member, and the time to answer."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._children: dict[tuple[str, str], tuple[Counter, Histogram]] = {}
        self._members: dict[int, Counter] = {}
        self.answers = Counter(
            "sedgepitch_answers", "Final answers.", ("class_name", "verdict"), registry=self.registry
        )
        self.attempts = Counter("sedgepitch_attempts", "Attempts.", ("member",), registry=self.registry)
        self.input_errors = Counter(
            "sedgepitch_input_errors", "Bad input.", ("kind",), registry=self.registry
        )
        self.faults = Counter(
            "sedgepitch_faults", "Callbacks that raised inside a turn.", ("at",), registry=self.registry
        )
        self.seconds = Histogram(
            "sedgepitch_answer_seconds",
            "Time to the final answer.",
            ("class_name",),
            buckets=BUCKETS,
            registry=self.registry,
        )

    def watch(self, engine: Engine) -> None:
        """Show an engine's ledger, too."""
        self.registry.register(_Gauges(engine))

    def answered(self, pending: PendingRequest, answer: Response, elapsed: float) -> None:
        """Count one final answer; labelled children are kept, since finding them costs most."""
        name = pending.request.class_name or "cursor"
        key = (name, answer.status.value)
        children = self._children.get(key)
        if children is None:
            children = self._children[key] = (self.answers.labels(*key), self.seconds.labels(name))
        children[0].inc()
        children[1].observe(elapsed)
        for endpoint in pending.attempted_endpoints:
            counter = self._members.get(endpoint)
            if counter is None:
                counter = self._members[endpoint] = self.attempts.labels(str(endpoint))
            counter.inc()
