"""How late this driver itself is, and so how much earlier it must decide to keep what it promises.

A process that shares its machine, or has more to do than it can, reads bytes after they came and finds its
timers after they were due. Both are seen as waits: from the kernel's stamp of arrival to the read, and from
a timer's due time to its call. An answer that is decided at a deadline leaves that much after it.

The reserve is the delay that must be expected of the next decision: the waits of the last few seconds are
kept as the longest of each of SPANS short spans, and the reserve is the longest but one, or half of the
longest. One pause alone, of a collector or a machine that stood still, is half a forecast: to believe all of
it would make the driver turn away work that it can do, to believe none let it be surprised where delays grow.
The second within the window is believed at once, and forgotten when the window has passed over it.
A quantile over all waits would not do: under load most reads are prompt, and those that matter are not.

What the reserve is for: answers are decided earlier by it; a request with less time than it is refused on
arrival, with the time at which the reserve should have passed. It does not touch freshness, where a promise
would be worth nothing: there the time from decision to hand-over is measured (`core/connection_pool.py`).
"""

from __future__ import annotations

SPANS = 16  # kept
SPAN = 0.25  # s
HALF = 0.5  # share of the longest wait that counts though it was the only one
FLOOR = 0.002  # s; waits below this are a loop's ordinary turns
COME_BACK = 0.1  # s; the least advice to one refused for the driver's own delay


class EventLoopLag:
    """The waits of one driver. Pure: time is passed in, in monotonic seconds."""

    __slots__ = ("_longest", "_number", "_reserve", "peak", "sum", "waits")

    def __init__(self) -> None:
        self._longest = [0.0] * SPANS
        self._number = 0  # of the present span
        self._reserve = 0.0
        self.peak = 0.0  # ever, in seconds; for reports
        self.waits, self.sum = 0, 0.0

    def waited(self, seconds: float, now: float) -> None:
        """Take one wait that ended now."""
        self.waits += 1
        if seconds <= FLOOR:
            return
        self.sum += seconds
        if seconds > self.peak:
            self.peak = seconds
        self._pass(now)
        # A long wait touches all the spans it lasted: two that overlap are one pause.
        index = self._number % SPANS
        if seconds > self._longest[index]:
            self._longest[index] = seconds
            self._settle()

    def reserve(self, now: float) -> float:
        """How many seconds before its time an answer has to be decided."""
        self._pass(now)
        return self._reserve

    def clears_in(self, below: float, now: float) -> float:
        """In how many seconds the reserve will be below so many, if no more waits are seen."""
        self._pass(now)
        left = 0.0
        kept = [(age, self._longest[(self._number - age) % SPANS]) for age in range(SPANS)]
        over = [age for age, longest in kept if longest >= below]
        if len(over) >= 2:  # until only one of them is left
            left = (SPANS - over[1]) * SPAN - now % SPAN
        for age, longest in kept:
            if HALF * longest >= below:
                left = max(left, (SPANS - age) * SPAN - now % SPAN)
        return max(COME_BACK, left)

    def _pass(self, now: float) -> None:
        number = int(now / SPAN)
        if number <= self._number:
            return
        for gone in range(max(self._number, number - SPANS) + 1, number + 1):
            self._longest[gone % SPANS] = 0.0
        self._number = number
        self._settle()

    def _settle(self) -> None:
        first = second = 0.0
        for longest in self._longest:
            if longest > first:
                first, second = longest, first
            elif longest > second:
                second = longest
        self._reserve = max(second, HALF * first)
