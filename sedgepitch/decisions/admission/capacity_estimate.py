"""Limits how many admitted requests may be in flight, so that they are answered almost without queueing.

The router's limits for each endpoint keep latency within the objective: under overload they settle where an
answer takes nearly all of it, which leaves no time to queue in admission. This limit is on all endpoints of a
pool together and looks at queueing instead: it holds the median latency at TARGET_RATIO times the baseline,
which is the latency without a queue. It can only be the lower of the two; which endpoint gets what stays with
the router.

The rule, once a span, is that of delay-based congestion control (Brakmo and Peterson, TCP Vegas, 1995; the
gradient form of Netflix' concurrency-limits): above the target ratio the limit falls in proportion, below it
and in use it grows a little. It differs in three points:

- Latency is compared by request class, each with its own baseline: a change in the mix is no change in speed.
- A latency far below the class's objective is no queue worth cutting: answers of a tenth of a millisecond
  vary tenfold with the turns of the event loop.
- The baseline is measured, not remembered (as BBR probes the round-trip time; Cardwell and others, 2016).
  From time to time the limit is lowered for a moment, and answers to what is admitted then are the new
  baseline, faster or slower. A process that starts under overload finds it so, endpoints that slow down to a
  half are not taken for overloaded, and nothing drifts. Between probes a faster span lowers the baseline.
  Probes that change nothing become rare.

The limit starts low and doubles each span while answers stay fast (slow start), so a process that starts
under overload sees its endpoints without a queue first.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median

SPAN_S = 0.25
STALE_SPANS = 4  # after so many spans a single answer of a class is enough to decide on
MIN_SAMPLE = 6  # answers of a class in a span
TARGET_RATIO = 2.0  # median latency over the baseline
MIN_OBJECTIVE_SHARE = 0.05  # share of a class's objective that stands in for a lower baseline
MIN_BASELINE_S = 0.002  # lower ones show the turns of the event loop, and 0 could not be divided by
MIN_LIMIT = 2.0  # requests in flight
INITIAL_LIMIT = 16.0  # requests in flight
FIRST_DECREASE_FACTOR_MIN = 0.4  # of what was in flight, that the first decrease leaves at least
DECREASE_FACTOR_MIN = 0.75  # the same for later ones
GROWTH_FACTOR = 1.1  # a span, of a limit that is in use
MIN_GROWTH = 0.5  # requests a span
SLOW_START_FACTOR = 2.0  # a span
PROBE_SHARE = 0.3  # of the limit that may be in flight while the baseline is probed
MAX_PROBE_SPANS = 8  # half spans
MIN_PROBE_PAUSE = 8  # spans between probes
MAX_PROBE_PAUSE = 120  # spans
SAME_BASELINE = 0.5  # relative change of the baseline that counts as none
NOT_DRAINED = -1.0  # no moment


@dataclass(slots=True, frozen=True)
class ClassSample:
    """What one span showed of one request class; times in seconds."""

    objective: float
    median: float
    count: int

    @property
    def noise_floor(self) -> float:
        """Return the latency below which no queue can be told."""
        return max(MIN_OBJECTIVE_SHARE * self.objective, MIN_BASELINE_S)


class CapacityEstimate:
    """The limit of one pool of endpoints. Pure: moments are passed in, in seconds."""

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
        self.in_slow_start = True  # no queue has been seen yet
        self.peak_in_flight = 0  # in this span
        self._samples: dict[str, tuple[float, list[float]]] = {}  # class -> objective, latencies
        self._baseline: dict[str, float] = {}  # s, by class
        self._span_started_at = now
        self._drained_at = NOT_DRAINED  # when what was in flight before the probe had drained
        self._probe_spans = 0  # half spans that the probe has lasted
        self._spans_in_doubt = 0  # since the last probe
        self._probe_pause = MIN_PROBE_PAUSE  # spans

    @property
    def probing(self) -> bool:
        """Whether the baseline is being probed."""
        return self.current_limit < self.limit

    def record_latency(self, class_name: str, objective: float, seconds: float, sent_at: float) -> None:
        """Record the latency of one answer, and when its request was sent."""
        if self.probing and not 0.0 <= self._drained_at <= sent_at:
            return
        sample = self._samples.get(class_name)
        if sample is None:
            sample = self._samples[class_name] = (objective, [])
        sample[1].append(seconds)

    def record_in_flight(self, count: int, now: float) -> None:
        """Record how many requests are in flight after one was admitted now."""
        if count > self.peak_in_flight:
            self.peak_in_flight = count
        if self._drained_at < 0.0 and self.current_limit < self.limit:
            self._drained_at = now

    def update(self, now: float) -> None:
        """Compare latencies and move the limit, once a span; does nothing within one."""
        passed = now - self._span_started_at
        if passed < (SPAN_S / 2 if self.probing else SPAN_S):
            return
        stale = passed >= STALE_SPANS * SPAN_S  # slow answers are few, and must not keep the limit in place
        latencies = self._class_latencies(1 if stale else MIN_SAMPLE)
        if self.probing:
            self._probe_spans += 1
            if not latencies and self._probe_spans < MAX_PROBE_SPANS:
                self._span_started_at = now
                return
            self._end_probe(latencies)
        elif latencies:
            self._move_limit(latencies)
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
        """Take the latencies of a probe as the baseline, and plan the next probe."""
        changed = not latencies
        for name, latency in latencies.items():
            old = self._baseline.get(name, 0.0)
            same_within = SAME_BASELINE * max(old, latency.noise_floor)
            changed = changed or abs(latency.median - old) > same_within
            self._baseline[name] = latency.median
        self._probe_pause = MIN_PROBE_PAUSE if changed else min(2 * self._probe_pause, MAX_PROBE_PAUSE)
        self._spans_in_doubt = 0
        self.current_limit = self.limit

    def _move_limit(self, latencies: dict[str, ClassSample]) -> None:
        """Lower the limit where answers queue, raise it where it is in use and they do not."""
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
        """Return the mean of median latency over baseline, by answers; a faster class lowers its baseline."""
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
        """Whether answers take long while the limit is full: they may all have queued."""
        slow = any(latency.median > latency.noise_floor for latency in latencies.values())
        return slow and self.peak_in_flight >= max(2.0 * MIN_LIMIT, self.limit - 1.0)

    def _begin_probe(self) -> None:
        self.limit = min(self.limit, float(self.peak_in_flight))
        self.current_limit = max(MIN_LIMIT, PROBE_SHARE * self.limit)
        self._drained_at = NOT_DRAINED
        self._probe_spans = 0
