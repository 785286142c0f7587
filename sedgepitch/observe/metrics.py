"""Prometheus metrics of one proxy instance; each has its own registry, so one process can run several."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from sedgepitch.core.engine import Engine
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.core.types import Response

RESPONSE_TIME_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
NO_CLASS = "cursor"  # class label of requests on open cursors, which have no class


class _EngineGauges(Collector):
    """Exports the engine's counters as gauges, read at each collection."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    def collect(self) -> list[GaugeMetricFamily]:
        """Return the current values."""
        engine = self.engine
        requests = engine.request_table
        lag = engine.event_loop_lag
        deadline_margin = lag.deadline_margin(engine.clock.now())
        gauges: list[tuple[str, str, float]] = [
            ("sedgepitch_owed", "Requests pending.", requests.pending),
            (
                "sedgepitch_overdue",
                "Requests answered by the last guard only.",
                engine.answered_by_last_guard,
            ),
            (
                "sedgepitch_answered_twice",
                "Second answers that were suppressed.",
                requests.duplicate_responses,
            ),
            ("sedgepitch_left", "Clients that disconnected before their answer.", requests.cancelled),
            ("sedgepitch_reserve_seconds", "Deadline margin for the event loop's lag.", deadline_margin),
            ("sedgepitch_latest_seconds", "Longest lag of the event loop.", lag.longest),
            ("sedgepitch_too_slow", "Requests rejected for the event loop's lag.", engine.rejected_for_lag),
            (
                "sedgepitch_too_many",
                "Requests rejected for the load of this process.",
                engine.rejected_for_load,
            ),
            ("sedgepitch_own_limit", "Concurrency limit of this process.", engine.process_limit.limit),
            (
                "sedgepitch_hurried",
                "Requests answered early since the loop was late.",
                engine.answered_early,
            ),
        ]
        return [GaugeMetricFamily(name, text, value=value) for name, text, value in gauges]


class Metrics:
    """Counts final answers by class and verdict, attempts by endpoint, and the time to answer."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        # Cached labelled children, since looking them up costs more than counting.
        self._by_outcome: dict[tuple[str, str], tuple[Counter, Histogram]] = {}
        self._by_endpoint: dict[int, Counter] = {}
        self.answers = Counter(
            "sedgepitch_answers", "Final answers.", ("class_name", "verdict"), registry=self.registry
        )
        self.attempts = Counter("sedgepitch_attempts", "Attempts.", ("member",), registry=self.registry)
        self.input_errors = Counter(
            "sedgepitch_input_errors", "Malformed input.", ("kind",), registry=self.registry
        )
        self.faults = Counter(
            "sedgepitch_faults", "Exceptions of callbacks.", ("at",), registry=self.registry
        )
        self.seconds = Histogram(
            "sedgepitch_answer_seconds",
            "Time to the final answer.",
            ("class_name",),
            buckets=RESPONSE_TIME_BUCKETS_S,
            registry=self.registry,
        )

    def watch(self, engine: Engine) -> None:
        """Export the counters of an engine as well."""
        self.registry.register(_EngineGauges(engine))

    def answered(self, pending: PendingRequest, response: Response, elapsed: float) -> None:
        """Count one final answer, `elapsed` seconds after the request arrived, and its attempts."""
        class_name = pending.request.class_name or NO_CLASS
        key = (class_name, response.status.value)
        children = self._by_outcome.get(key)
        if children is None:
            children = (self.answers.labels(*key), self.seconds.labels(class_name))
            self._by_outcome[key] = children
        answers, seconds = children
        answers.inc()
        seconds.observe(elapsed)
        for endpoint in pending.attempted_endpoints:
            attempts = self._by_endpoint.get(endpoint)
            if attempts is None:
                attempts = self._by_endpoint[endpoint] = self.attempts.labels(str(endpoint))
            attempts.inc()
