"""The lag of this process's event loop, and the deadline margin that it calls for.

A process that shares its machine, or has more to do than it can, reads bytes after they arrived and runs
timers after they were due. Both are samples of its lag. An answer that is decided at a deadline leaves that
much after it, so answers are decided earlier by the deadline margin, the lag to expect of the next decision.

The margin is the second longest lag of the last WINDOW_SPANS spans, and at least half of the longest. One
pause alone, of a garbage collector or a suspended machine, is thus half a forecast: taken whole it would shed
work that can be done, and ignored it would leave growing lag unseen. A second pause within the window counts
in full. A quantile over all samples would not do: under load most reads are prompt, and the rest matter.
"""

from __future__ import annotations

WINDOW_SPANS = 16
SPAN_S = 0.25
SINGLE_PAUSE_WEIGHT = 0.5  # share of the longest lag that counts though it was the only one
MIN_LAG_S = 0.002  # shorter samples are ordinary turns of the event loop
MIN_RETRY_AFTER = 0.1  # s; least Retry-After of a request rejected for the lag


class EventLoopLag:
    """Lag samples of one process. Pure: moments are passed in, in monotonic seconds."""

    __slots__ = ("_longest_by_span", "_margin", "_span", "longest", "samples", "total")

    def __init__(self) -> None:
        """Start without samples: the margin is 0."""
        self._longest_by_span = [0.0] * WINDOW_SPANS  # s, by the span's number modulo WINDOW_SPANS
        self._span = 0  # number of the present span
        self._margin = 0.0
        self.longest = 0.0  # s, since the start
        self.samples = 0
        self.total = 0.0  # s, of the samples above MIN_LAG_S

    def record(self, seconds: float, now: float) -> None:
        """Record one wait of so many seconds that ended now."""
        self.samples += 1
        if seconds <= MIN_LAG_S:
            return
        self.total += seconds
        if seconds > self.longest:
            self.longest = seconds
        self._advance(now)
        # Waits that overlap end in the same span, so one pause counts once.
        index = self._span % WINDOW_SPANS
        if seconds > self._longest_by_span[index]:
            self._longest_by_span[index] = seconds
            self._update_margin()

    def deadline_margin(self, now: float) -> float:
        """Return how many seconds before its deadline an answer has to be decided."""
        self._advance(now)
        return self._margin

    def seconds_until_margin_below(self, seconds: float, now: float) -> float:
        """Return in how many seconds the margin falls below `seconds`, if no more lag is seen.

        Never less than MIN_RETRY_AFTER.
        """
        self._advance(now)
        clears_in = 0.0
        by_age = [
            (age, self._longest_by_span[(self._span - age) % WINDOW_SPANS]) for age in range(WINDOW_SPANS)
        ]
        ages_over = [age for age, lag in by_age if lag >= seconds]
        if len(ages_over) > 1:  # until only one of them is left
            clears_in = (WINDOW_SPANS - ages_over[1]) * SPAN_S - now % SPAN_S
        for age, lag in by_age:
            if SINGLE_PAUSE_WEIGHT * lag >= seconds:
                clears_in = max(clears_in, (WINDOW_SPANS - age) * SPAN_S - now % SPAN_S)
        return max(MIN_RETRY_AFTER, clears_in)

    def _advance(self, now: float) -> None:
        """Begin the spans that have come since, and forget as many old ones."""
        span = int(now / SPAN_S)
        if span <= self._span:
            return
        for new in range(max(self._span, span - WINDOW_SPANS) + 1, span + 1):
            self._longest_by_span[new % WINDOW_SPANS] = 0.0
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
