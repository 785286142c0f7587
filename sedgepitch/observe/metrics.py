"""The metrics of one proxy for Prometheus; a registry each, so that several proxies fit in one process."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from sedgepitch.core.engine import Engine
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.core.types import Response

BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class _EngineGauges(Collector):
    """What an engine counts, read when it is asked for."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def collect(self) -> list[GaugeMetricFamily]:
        """Return the gauges as they stand."""
        engine = self.engine
        request_table = engine.request_table
        gauges = {
            "sedgepitch_owed": ("Pending requests.", request_table.pending),
            "sedgepitch_overdue": (
                "Answers given by the last guard; above 0 is a defect.",
                engine.answered_by_last_guard,
            ),
            "sedgepitch_answered_twice": (
                "Second answers that were held back; above 0 is a defect.",
                request_table.duplicate_responses,
            ),
            "sedgepitch_left": ("Requests whose client disconnected first.", request_table.cancelled),
            "sedgepitch_reserve_seconds": (
                "Deadline margin: seconds by which answers are decided earlier for the event loop's lag.",
                engine.event_loop_lag.deadline_margin(engine.clock.now()),
            ),
            "sedgepitch_latest_seconds": (
                "Longest lag of the event loop since the start, in seconds.",
                engine.event_loop_lag.longest,
            ),
            "sedgepitch_too_slow": (
                "Requests rejected for the event loop's lag.",
                engine.rejected_for_lag,
            ),
            "sedgepitch_too_many": (
                "Requests rejected for the process's own load.",
                engine.rejected_for_load,
            ),
            "sedgepitch_own_limit": (
                "Requests that the process can carry at once.",
                engine.process_limit.limit,
            ),
            "sedgepitch_hurried": (
                "Answers given early since the event loop's lag had grown.",
                engine.answered_early,
            ),
        }
        return [GaugeMetricFamily(name, text, value=value) for name, (text, value) in gauges.items()]


class Metrics:
    """Counts answers by class and status, attempts by endpoint, and the seconds to the answer."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._children: dict[tuple[str, str], tuple[Counter, Histogram]] = {}
        self._attempts_by_endpoint: dict[int, Counter] = {}
        self.answers = Counter(
            "sedgepitch_answers", "Final answers.", ("class_name", "verdict"), registry=self.registry
        )
        self.attempts = Counter("sedgepitch_attempts", "Attempts.", ("member",), registry=self.registry)
        self.input_errors = Counter(
            "sedgepitch_input_errors", "Input that could not be read.", ("kind",), registry=self.registry
        )
        self.faults = Counter("sedgepitch_faults", "Callbacks that raised.", ("at",), registry=self.registry)
        self.seconds = Histogram(
            "sedgepitch_answer_seconds",
            "Time to the final answer.",
            ("class_name",),
            buckets=BUCKETS,
            registry=self.registry,
        )

    def watch(self, engine: Engine) -> None:
        """Show an engine's own counters, too."""
        self.registry.register(_EngineGauges(engine))

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
            counter = self._attempts_by_endpoint.get(endpoint)
            if counter is None:
                counter = self._attempts_by_endpoint[endpoint] = self.attempts.labels(str(endpoint))
            counter.inc()
