"""The event loop lag of this process, and the deadline margin that follows from it.

A process that shares its machine or is overloaded reads bytes some time after they arrived and runs timers
some time after they were due. Both delays are samples of the lag. An answer that is decided at its deadline
leaves that much later, so answers are decided earlier by the deadline margin, which is the lag to expect.

The margin is the second longest lag of the last WINDOW_SPANS spans, but at least half of the longest. A
single pause, from a garbage collection or a suspended machine, therefore counts half: in full it would reject
work that can be done, and without it growing lag would go unnoticed. A second pause within the window counts
in full. A quantile over all samples would not work: under load most reads are prompt, and the others matter.
"""

from __future__ import annotations

WINDOW_SPANS = 16
SPAN_S = 0.25
SINGLE_PAUSE_WEIGHT = 0.5  # share of the longest lag that always counts
MIN_LAG_S = 0.002  # shorter samples are ordinary iterations of the event loop
MIN_RETRY_AFTER = 0.1  # s; shortest Retry-After of a request rejected because of the lag


class EventLoopLag:
    """Lag samples of one process. Pure: times are passed in, in seconds of a monotonic clock."""

    __slots__ = ("_longest_by_span", "_margin", "_span", "longest", "samples", "total")

    def __init__(self) -> None:
        """Start without samples: the margin is 0."""
        self._longest_by_span = [0.0] * WINDOW_SPANS  # s, by span number modulo WINDOW_SPANS
        self._span = 0  # number of the current span
        self._margin = 0.0
        self.longest = 0.0  # s, since start-up
        self.samples = 0
        self.total = 0.0  # s, of the samples above MIN_LAG_S

    def record(self, seconds: float, now: float) -> None:
        """Record a wait of `seconds` that ended now."""
        self.samples += 1
        if seconds <= MIN_LAG_S:
            return
        self.total += seconds
        if seconds > self.longest:
            self.longest = seconds
        self._advance(now)
        # Overlapping waits end in the same span, so one pause counts once.
        index = self._span % WINDOW_SPANS
        if seconds > self._longest_by_span[index]:
            self._longest_by_span[index] = seconds
            self._update_margin()

    def deadline_margin(self, now: float) -> float:
        """Return how many seconds before its deadline an answer must be decided."""
        self._advance(now)
        return self._margin

    def seconds_until_margin_below(self, seconds: float, now: float) -> float:
        """Return in how many seconds the margin falls below `seconds` if no further lag occurs.

        At least MIN_RETRY_AFTER.
        """
        self._advance(now)
        clears_in = 0.0
        by_age = [
            (age, self._longest_by_span[(self._span - age) % WINDOW_SPANS]) for age in range(WINDOW_SPANS)
        ]
        ages_over = [age for age, lag in by_age if lag >= seconds]
        if len(ages_over) > 1:  # until only one of them is in the window
            clears_in = (WINDOW_SPANS - ages_over[1]) * SPAN_S - now % SPAN_S
        for age, lag in by_age:
            if SINGLE_PAUSE_WEIGHT * lag >= seconds:
                clears_in = max(clears_in, (WINDOW_SPANS - age) * SPAN_S - now % SPAN_S)
        return max(MIN_RETRY_AFTER, clears_in)

    def _advance(self, now: float) -> None:
        """Begin the spans up to now, which replace the oldest ones."""
        span = int(now / SPAN_S)
        if span <= self._span:
            return
        for started in range(max(self._span, span - WINDOW_SPANS) + 1, span + 1):
            self._longest_by_span[started % WINDOW_SPANS] = 0.0
        self._span = span
        self._update_margin()

    def _update_margin(self) -> None:
        first = second = 0.0
        for lag in self._longest_by_span:
            if lag > first:
                first, second = lag, first
            elif lag > second:
                second = lag
        self._margin = max(second, SINGLE_PAUSE_WEIGHT * first)
