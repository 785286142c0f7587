"""Limits the admitted requests in flight of one pool so that they hardly queue at its endpoints.

The router's concurrency limit of each endpoint keeps latency within the objective. Under overload it settles
where an answer takes nearly the whole objective, which leaves no time for queueing in admission control. This
limit covers all endpoints of a pool together and controls queueing instead: it holds the median latency at
TARGET_RATIO times the baseline, which is the latency without a queue. It only bounds the total; the router
still decides which endpoint gets which request.

The rule, applied once per span, is that of delay-based congestion control (Brakmo and Peterson, TCP Vegas,
1995; the gradient form of Netflix's concurrency-limits): above the target ratio the limit falls in
proportion; below it the limit grows a little if it is in use. There are three differences:

- Latency is compared per request class, each with its own baseline, so that a change in the mix of classes
  does not look like a change in speed.
- A latency far below the class's objective is not treated as queueing: answers that take a tenth of a
  millisecond vary tenfold with the iterations of the event loop.
- The baseline is measured regularly instead of remembered (as BBR probes the round-trip time; Cardwell and
  others, 2016). From time to time the limit is lowered for a moment, and the latency of the requests admitted
  then becomes the new baseline, whether it is higher or lower. So a process that starts under overload finds
  the true baseline, endpoints that slow down to half their speed are not mistaken for overloaded ones, and
  the baseline does not drift. Between probes a span with a lower latency lowers the baseline. Probes become
  rarer while they find no change.

The limit starts low and doubles each span while answers stay fast (slow start), so a process that starts
under overload first sees its endpoints without a queue.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median

SPAN_S = 0.25
STALE_SPANS = 4  # spans without a decision after which one answer of a class is enough
MIN_SAMPLE = 6  # answers of a class in a span that are needed for a decision
TARGET_RATIO = 2.0  # median latency over the baseline
MIN_OBJECTIVE_SHARE = 0.05  # lower bound of the baseline, as a share of the class's objective
MIN_BASELINE_S = 0.002  # lower values are event loop noise, and a baseline of 0 would be divided by
MIN_LIMIT = 2.0  # requests in flight
INITIAL_LIMIT = 16.0  # requests in flight
FIRST_DECREASE_FACTOR_MIN = 0.4  # of the requests in flight; lower bound of the first decrease
DECREASE_FACTOR_MIN = 0.75  # the same for later decreases
GROWTH_FACTOR = 1.1  # per span, while the limit is in use
MIN_GROWTH = 0.5  # requests per span
SLOW_START_FACTOR = 2.0  # per span
PROBE_SHARE = 0.3  # of the limit; bounds the requests in flight during a probe
MAX_PROBE_SPANS = 8  # longest probe, in half spans
MIN_PROBE_PAUSE = 8  # spans between probes
MAX_PROBE_PAUSE = 120  # spans
BASELINE_TOLERANCE = 0.5  # relative change up to which the baseline counts as unchanged
NOT_DRAINED = -1.0  # earlier than any time of the clock


@dataclass(slots=True, frozen=True)
class ClassSample:
    """The latency of one request class in one span; times in seconds."""

    objective: float
    median: float
    count: int

    @property
    def noise_floor(self) -> float:
        """Return the latency below which queueing cannot be distinguished from noise."""
        return max(MIN_OBJECTIVE_SHARE * self.objective, MIN_BASELINE_S)


class CapacityEstimate:
    """The limit of one pool of endpoints. Pure: times are passed in, in seconds."""

    __slots__ = (
        "_baseline",
        "_drained_at",
        "_probe_pause",
        "_probe_spans",
        "_samples",
        "_span_started_at",
        "_spans_in_doubt",
        "current_limit",
        "in_slow_start",
        "limit",
        "peak_in_flight",
    )

    def __init__(self, now: float) -> None:
        """Start at the initial limit, with no baseline."""
        self.limit = INITIAL_LIMIT
        self.current_limit = INITIAL_LIMIT  # the limit, or less during a probe
        self.in_slow_start = True  # until the first decrease
        self.peak_in_flight = 0  # in the current span
        self._samples: dict[str, tuple[float, list[float]]] = {}  # class -> objective, latencies
        self._baseline: dict[str, float] = {}  # s, by class
        self._span_started_at = now
        self._drained_at = NOT_DRAINED  # when the requests from before the probe had drained
        self._probe_spans = 0  # half spans since the probe began
        self._spans_in_doubt = 0  # spans with a doubtful baseline since the last probe
        self._probe_pause = MIN_PROBE_PAUSE  # spans

    @property
    def probing(self) -> bool:
        """Return whether the baseline is being probed."""
        return self.current_limit < self.limit

    def record_latency(self, class_name: str, objective: float, seconds: float, sent_at: float) -> None:
        """Record the latency of one answer whose request was sent at `sent_at`.

        During a probe, it counts only if the requests from before the probe had drained by then.
        """
        if self.probing and not 0.0 <= self._drained_at <= sent_at:
            return
        sample = self._samples.get(class_name)
        if sample is None:
            sample = self._samples[class_name] = (objective, [])
        sample[1].append(seconds)

    def record_in_flight(self, count: int, now: float) -> None:
        """Record how many requests are in flight, including one admitted now."""
        if count > self.peak_in_flight:
            self.peak_in_flight = count
        if self._drained_at < 0.0 and self.current_limit < self.limit:
            self._drained_at = now

    def update(self, now: float) -> None:
        """Compare latencies and adjust the limit, at most once per span."""
        elapsed = now - self._span_started_at
        if elapsed < (SPAN_S / 2 if self.probing else SPAN_S):
            return
        # With slow answers few arrive per span, and the limit must still be able to change.
        stale = elapsed >= STALE_SPANS * SPAN_S
        latencies = self._class_latencies(1 if stale else MIN_SAMPLE)
        if self.probing:
            self._probe_spans += 1
            if not latencies and self._probe_spans < MAX_PROBE_SPANS:
                self._span_started_at = now
                return
            self._end_probe(latencies)
        elif latencies:
            self._adjust_limit(latencies)
        elif not stale:
            return  # too few answers so far
        self._samples.clear()
        self.peak_in_flight = 0
        self._span_started_at = now

    def _class_latencies(self, min_sample: int) -> dict[str, ClassSample]:
        return {
            name: ClassSample(objective, median(latencies), len(latencies))
            for name, (objective, latencies) in self._samples.items()
            if len(latencies) >= min_sample
        }

    def _end_probe(self, latencies: dict[str, ClassSample]) -> None:
        """Set the baseline to the latencies of the probe, and the pause until the next probe."""
        changed = not latencies
        for name, latency in latencies.items():
            old = self._baseline.get(name, 0.0)
            same_within = BASELINE_TOLERANCE * max(old, latency.noise_floor)
            changed = changed or abs(latency.median - old) > same_within
            self._baseline[name] = latency.median
        self._probe_pause = MIN_PROBE_PAUSE if changed else min(2 * self._probe_pause, MAX_PROBE_PAUSE)
        self._spans_in_doubt = 0
        self.current_limit = self.limit

    def _adjust_limit(self, latencies: dict[str, ClassSample]) -> None:
        """Lower the limit if answers queue; raise it if they do not and the limit is in use."""
        ratio = self._latency_ratio(latencies)
        if ratio > TARGET_RATIO:
            in_use = min(self.limit, float(max(1, self.peak_in_flight)))
            factor_min = FIRST_DECREASE_FACTOR_MIN if self.in_slow_start else DECREASE_FACTOR_MIN
            self.limit = max(MIN_LIMIT, in_use * max(factor_min, TARGET_RATIO / ratio))
            self.in_slow_start = False
        elif self.peak_in_flight >= self.limit - 1.0:
            factor = SLOW_START_FACTOR if self.in_slow_start else GROWTH_FACTOR
            self.limit = max(self.limit * factor, self.limit + MIN_GROWTH)
        self.current_limit = self.limit
        if self._baseline_in_doubt(latencies):
            self._spans_in_doubt += 1
            if self._spans_in_doubt >= self._probe_pause:
                self._begin_probe()

    def _latency_ratio(self, latencies: dict[str, ClassSample]) -> float:
        """Return the ratio of median latency to baseline, averaged over all answers.

        Also lower the baseline of each class whose median latency is below it.
        """
        ratio = 0.0
        total = 0.0
        for name, latency in latencies.items():
            baseline = min(self._baseline.get(name, latency.median), latency.median)
            self._baseline[name] = baseline
            floor = max(baseline, latency.noise_floor)
            ratio += latency.count * latency.median / floor
            total += latency.count
        return ratio / total

    def _baseline_in_doubt(self, latencies: dict[str, ClassSample]) -> bool:
        """Return whether answers are slow while the limit is full, so that all of them may have queued."""
        slow = any(latency.median > latency.noise_floor for latency in latencies.values())
        return slow and self.peak_in_flight >= max(2.0 * MIN_LIMIT, self.limit - 1.0)

    def _begin_probe(self) -> None:
        self.limit = min(self.limit, float(self.peak_in_flight))
        self.current_limit = max(MIN_LIMIT, PROBE_SHARE * self.limit)
        self._drained_at = NOT_DRAINED
        self._probe_spans = 0
