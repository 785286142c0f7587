"""Limits how many requests this process carries at once, by its own delay.

Where the proxy's processor is what is short, endpoints look idle and no limit of theirs is reached: what is
admitted waits in this process, each turn of the event loop grows with it, and answers come late. So the
limit follows the mean wait of a span, from arrival to read and from due to called. Above the tolerable wait
it falls to DECREASE of what was in flight; below MAX_GROWTH_WAIT_SHARE of it and in use it grows, at first
doubling (slow start). Admission takes it as one more limit; without admission, what is beyond it is
rejected at once. One long pause is one span and one decrease.

Under more load even reading requests is too much. While spans in a row are that late (`overloaded`), a
request that itself waited too long may be rejected unread: first of the most active tenant, and of all
others when they waited several times as long. It never ran, so the rejection is truthful, and its time is
mostly gone. No new connections are accepted meanwhile, so overload ends by itself once nothing has been
read for OVERLOAD_MAX_AGE_S: after the last connection has closed, nothing else would show its end.
"""

from __future__ import annotations

SPAN_S = 0.1
INITIAL_LIMIT = 64.0  # requests
MIN_LIMIT = 8.0  # requests
DECREASE = 0.7
GROWTH_FACTOR = 1.1  # a span
MIN_GROWTH = 1.0  # requests a span
SLOW_START_FACTOR = 2.0  # a span
MAX_GROWTH_WAIT_SHARE = 0.25  # of the tolerable wait
MIN_USE_SHARE = 0.25  # of the limit that has to be in use for it to grow
OVERLOADED_WAIT_RATIO = 2.5  # mean wait of a span over the tolerable wait
OVERLOADED_SPANS = 2  # in a row
OVERLOAD_MAX_AGE_S = 0.5  # since the last wait, after which it says nothing of now
OTHER_TENANTS_WAIT_RATIO = 4.0  # wait over the tolerable wait, for tenants that are not the most active
NEVER = float("inf")


class ProcessConcurrencyLimit:
    """The limit. Pure: moments are passed in; `tolerable_wait` is in seconds."""

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
        self.late_spans = 0  # in a row
        self._span_started_at = -NEVER
        self._recorded_at = -NEVER
        self._total = 0.0  # s waited in this span
        self._samples = 0
        self._peak_in_process = 0  # requests, in this span

    def record(self, seconds: float, in_process: int, now: float) -> None:
        """Record one wait that ended now, and how many requests the process carries."""
        if now - seconds - self._recorded_at > OVERLOAD_MAX_AGE_S:
            self._forget_late_spans()
        self._recorded_at = now
        self._total += seconds
        self._samples += 1
        if in_process > self._peak_in_process:
            self._peak_in_process = in_process
        if now - self._span_started_at >= SPAN_S:
            self._move_limit(self._total / self._samples)
            self._span_started_at = now
            self._total = 0.0
            self._samples = 0
            self._peak_in_process = 0

    @property
    def overloaded(self) -> bool:
        """Whether the last spans were so late that reading is too much, as of the last wait."""
        return self.late_spans >= OVERLOADED_SPANS

    def overloaded_at(self, now: float) -> bool:
        """Whether it is overloaded now: accepting connections is too much, and judging others."""
        return self.overloaded and now - self._recorded_at <= OVERLOAD_MAX_AGE_S

    def rejects_unread(self, waited: float, most_active: bool) -> bool:
        """Whether a request that has waited so many seconds may be rejected without being read.

        `most_active` says that it is of the most active tenant, or that tenants are not told apart.
        """
        ratio = 1.0 if most_active else OTHER_TENANTS_WAIT_RATIO
        return self.overloaded and waited > self.tolerable_wait * ratio

    def _forget_late_spans(self) -> None:
        """Begin anew after an idle time; the limit stays."""
        self.late_spans = 0
        self._total = 0.0
        self._samples = 0
        self._peak_in_process = 0

    def _move_limit(self, mean_wait: float) -> None:
        late = mean_wait > OVERLOADED_WAIT_RATIO * self.tolerable_wait
        self.late_spans = self.late_spans + 1 if late else 0
        if mean_wait > self.tolerable_wait:
            self.in_slow_start = False
            if self._peak_in_process > MIN_LIMIT:  # with fewer, the wait is not made of them
                self.limit = max(MIN_LIMIT, DECREASE * min(self.limit, float(self._peak_in_process)))
                self.decreases += 1
            return
        in_use = self._peak_in_process >= MIN_USE_SHARE * self.limit
        if mean_wait < MAX_GROWTH_WAIT_SHARE * self.tolerable_wait and in_use:
            factor = SLOW_START_FACTOR if self.in_slow_start else GROWTH_FACTOR
            self.limit = max(self.limit * factor, self.limit + MIN_GROWTH)
