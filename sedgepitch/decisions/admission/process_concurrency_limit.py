"""Limits how many requests this process handles at once, by its own delay.

When the proxy's own processor is the bottleneck, endpoints look idle and none of their limits is reached:
admitted requests wait in this process, each iteration of the event loop gets longer, and answers come late.
So the limit follows the mean wait in a span, from the arrival of bytes until they are read and from the due
time of a timer until it runs. Above the tolerable wait the limit falls to DECREASE of the requests in
process. Below MAX_GROWTH_WAIT_SHARE of it, and with the limit in use, it grows, doubling at first (slow
start). Admission control applies it as one more limit; without admission control, requests beyond it are
rejected at once. One long pause is one span and so one decrease.

Under still higher load even reading requests takes too long. While consecutive spans are that late
(`overloaded`), a request that itself waited too long may be rejected unread: first those of the most active
tenant, and those of other tenants once they waited several times as long. The request has not run, as a
rejection states, and most of its time is gone already. No new connections are accepted meanwhile. Overload
therefore ends by itself when nothing has been read for OVERLOAD_MAX_AGE_S: after the last connection has
closed, no further wait could show its end.
"""

from __future__ import annotations

SPAN_S = 0.1
INITIAL_LIMIT = 64.0  # requests
MIN_LIMIT = 8.0  # requests
DECREASE = 0.7  # factor
GROWTH_FACTOR = 1.1  # per span
MIN_GROWTH = 1.0  # requests per span
SLOW_START_FACTOR = 2.0  # per span
MAX_GROWTH_WAIT_SHARE = 0.25  # of the tolerable wait
MIN_USE_SHARE = 0.25  # of the limit; it grows only if that much is in use
OVERLOADED_WAIT_RATIO = 2.5  # mean wait of a span over the tolerable wait
OVERLOADED_SPANS = 2  # in a row
OVERLOAD_MAX_AGE_S = 0.5  # since the last wait; older waits do not indicate overload
OTHER_TENANTS_WAIT_RATIO = 4.0  # wait over the tolerable wait; for all but the most active tenant
NEVER = float("inf")


class ProcessConcurrencyLimit:
    """The limit. Pure: times are passed in; `tolerable_wait` is in seconds."""

    __slots__ = (
        "_peak_in_process",
        "_recorded_at",
        "_samples",
        "_span_started_at",
        "_total",
        "decreases",
        "in_slow_start",
        "late_spans",
        "limit",
        "tolerable_wait",
    )

    def __init__(self, tolerable_wait: float) -> None:
        """Start at the initial limit, in slow start."""
        self.tolerable_wait = tolerable_wait
        self.limit = INITIAL_LIMIT
        self.in_slow_start = True
        self.decreases = 0
        self.late_spans = 0  # consecutive
        self._span_started_at = -NEVER
        self._recorded_at = -NEVER
        self._total = 0.0  # s, sum of the waits in this span
        self._samples = 0
        self._peak_in_process = 0  # requests, in this span

    def record(self, seconds: float, in_process: int, now: float) -> None:
        """Record a wait that ended now, and how many requests the process handles."""
        if now - seconds - self._recorded_at > OVERLOAD_MAX_AGE_S:
            self._forget_late_spans()
        self._recorded_at = now
        self._total += seconds
        self._samples += 1
        if in_process > self._peak_in_process:
            self._peak_in_process = in_process
        if now - self._span_started_at >= SPAN_S:
            self._adjust_limit(self._total / self._samples)
            self._span_started_at = now
            self._total = 0.0
            self._samples = 0
            self._peak_in_process = 0

    @property
    def overloaded(self) -> bool:
        """Return whether the last spans were late enough to reject requests unread, as of the last wait."""
        return self.late_spans >= OVERLOADED_SPANS

    def overloaded_at(self, now: float) -> bool:
        """Return whether the process is overloaded now and should not accept connections or vote on zones."""
        return self.overloaded and now - self._recorded_at <= OVERLOAD_MAX_AGE_S

    def rejects_unread(self, waited: float, most_active: bool) -> bool:
        """Return whether a request that has waited `waited` seconds may be rejected without being read.

        `most_active` means that it belongs to the most active tenant, or that tenants are not distinguished.
        """
        ratio = 1.0 if most_active else OTHER_TENANTS_WAIT_RATIO
        return self.overloaded and waited > self.tolerable_wait * ratio

    def _forget_late_spans(self) -> None:
        """Reset the late spans and samples after an idle time; the limit stays."""
        self.late_spans = 0
        self._total = 0.0
        self._samples = 0
        self._peak_in_process = 0

    def _adjust_limit(self, mean_wait: float) -> None:
        late = mean_wait > OVERLOADED_WAIT_RATIO * self.tolerable_wait
        self.late_spans = self.late_spans + 1 if late else 0
        if mean_wait > self.tolerable_wait:
            self.in_slow_start = False
            if self._peak_in_process > MIN_LIMIT:  # with fewer requests, they are not the cause of the wait
                self.limit = max(MIN_LIMIT, DECREASE * min(self.limit, float(self._peak_in_process)))
                self.decreases += 1
            return
        in_use = self._peak_in_process >= MIN_USE_SHARE * self.limit
        if mean_wait < MAX_GROWTH_WAIT_SHARE * self.tolerable_wait and in_use:
            factor = SLOW_START_FACTOR if self.in_slow_start else GROWTH_FACTOR
            self.limit = max(self.limit * factor, self.limit + MIN_GROWTH)
