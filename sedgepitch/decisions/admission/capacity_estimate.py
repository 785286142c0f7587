"""How many requests may be inside at once, so that those let in are answered almost as if they were alone.

The module's limits keep each member's answers within the aim: under a flood they settle where an answer
takes nearly the aim, which leaves no time for waiting at the door, and half of what is served comes late.
This limit is for all members of a room together and looks at queueing, not at the aim: it holds the median
answer at GAIN times what it takes without a queue. It can only be the lower of the two, and it moves on the
sum; which member gets what stays with the module.

The rule, once a span of a quarter second, is that of delay-based congestion control (Brakmo and Peterson,
TCP Vegas, 1995; the gradient form of Netflix' concurrency-limits): above the wanted ratio the limit goes
down in proportion, below it and in use it goes up by a little. Three departures:

- Latency is compared by class, each with its own base, so that a change in the mix is no change in speed.
- What is far under a class's aim is no queue worth cutting: answers of a tenth of a millisecond vary tenfold
  with the loop's turns, and batching them is what makes them cheap.
- What an answer takes without a queue is measured, not remembered (as BBR does; Cardwell and others, 2016):
  from time to time the limit dips, and answers to what was let in then are the base, quicker or slower than
  the one before. So a driver that starts in a flood finds its base in a few dips, members that slow down to a
  half are not taken for crowded, and nothing drifts. Between dips a quicker span lowers the base. Dips that
  change nothing become rare.

It starts low and doubles each span while answers stay quick (slow start), so a driver that wakes in a flood
sees its members without a queue first. Where members are quick the start is over in a second or two.
"""

from __future__ import annotations

from statistics import median

SPAN = 0.25  # s
LEAST_SAMPLE = 6  # answers of a class in a span
GAIN = 2.0  # the median answer's time, as a multiple of that without a queue
LOW = 0.05  # share of a class's aim that stands in for a base below it
LEAST_BASE = 0.002  # s; a base below this tells of the loop's turns, and one of nothing would divide by it
LEAST = 2.0  # requests that may be inside, whatever happens
CUT_FIRST, CUT = 0.4, 0.75  # the limit after a span, at least, of what was inside: at the first queue, later
GROW, GROW_LEAST = 1.1, 0.5  # growth of a limit that is in use, a span
START = 16.0  # inside at first
DIP = 0.3  # share of the limit that may be inside while the base is measured
DIP_MOST = 8  # half spans that a dip may last
SOON, SELDOM = 8, 120  # spans between dips: at first, and at most
SAME = 0.5  # change of the base that counts as none


class CapacityEstimate:
    """The limit of one room. Pure: time is passed in, in seconds."""

    __slots__ = (
        "_base",
        "_dip_from",
        "_from",
        "_pause",
        "_samples",
        "_since_dip",
        "_spans",
        "bound",
        "limit",
        "most_inside",
        "starting",
    )

    def __init__(self, now: float) -> None:
        self.limit = START
        self.bound = START  # the limit, or less while it dips
        self.starting = True  # no queue has been seen yet
        self.most_inside = 0  # in this span
        self._samples: dict[str, tuple[float, list[float]]] = {}  # class -> aim, times of answers
        self._base: dict[str, float] = {}
        self._from = now
        self._dip_from = -1.0  # since when the dip is felt; below 0 when there is none, or not yet
        self._spans = 0  # half spans that the dip has lasted
        self._since_dip, self._pause = 0, SOON  # spans

    @property
    def dipping(self) -> bool:
        """Whether the base is being measured."""
        return self.bound < self.limit

    def answered(self, class_name: str, latency_objective: float, seconds: float, sent: float) -> None:
        """Take the time that one answer took at its member, and when it was sent."""
        if self.dipping and not 0.0 <= self._dip_from <= sent:
            return
        known = self._samples.get(class_name)
        if known is None:
            known = self._samples[class_name] = (latency_objective, [])
        known[1].append(seconds)

    def inside(self, count: int, now: float) -> None:
        """Take how many are inside after one was let in."""
        if count > self.most_inside:
            self.most_inside = count
        if self._dip_from < 0.0 and self.bound < self.limit:
            self._dip_from = now  # what was inside before the dip has drained

    def measure(self, now: float) -> None:
        """Once a span: compare, and move the limit."""
        if now - self._from < (SPAN / 2 if self.dipping else SPAN):
            return
        waited = now - self._from >= 4 * SPAN
        least = 1 if waited else LEAST_SAMPLE  # slow answers are few, and must not keep the limit where it is
        middles: dict[str, tuple[float, float, int]] = {}
        for name, (latency_objective, times) in self._samples.items():
            if len(times) >= least:
                middles[name] = (latency_objective, median(times), len(times))
        if self.dipping:
            self._spans += 1
            if not middles and self._spans < DIP_MOST:
                self._from = now
                return
            self._rebase(middles)
        elif middles:
            self._move(middles)
        elif not waited:
            return  # too few answers so far
        self._samples.clear()
        self.most_inside, self._from = 0, now

    def _rebase(self, middles: dict[str, tuple[float, float, int]]) -> None:
        """The dip is over: what answers took in it is the base."""
        changed = not middles
        for name, (latency_objective, middle, _) in middles.items():
            old = self._base.get(name, 0.0)
            changed = changed or abs(middle - old) > SAME * max(old, LOW * latency_objective, LEAST_BASE)
            self._base[name] = middle
        self._pause = SOON if changed else min(2 * self._pause, SELDOM)
        self._since_dip, self.bound = 0, self.limit

    def _move(self, middles: dict[str, tuple[float, float, int]]) -> None:
        ratio = total = 0.0
        for name, (latency_objective, middle, count) in middles.items():
            base = min(self._base.get(name, middle), middle)
            self._base[name] = base
            ratio += count * middle / max(base, LOW * latency_objective, LEAST_BASE)
            total += count
        ratio /= total
        if ratio > GAIN:
            in_use = min(self.limit, float(max(1, self.most_inside)))
            self.limit = max(LEAST, in_use * max(CUT_FIRST if self.starting else CUT, GAIN / ratio))
            self.starting = False
        elif self.most_inside >= self.limit - 1.0:
            self.limit = max(self.limit * (2.0 if self.starting else GROW), self.limit + GROW_LEAST)
        self.bound = self.limit
        # A base is in doubt where answers take long and the limit is full: they may all have queued.
        slow = any(
            middle > max(LOW * latency_objective, LEAST_BASE)
            for latency_objective, middle, _ in middles.values()
        )
        full = self.most_inside >= max(2.0 * LEAST, self.limit - 1.0)
        if not (slow and full):
            return
        self._since_dip += 1
        if self._since_dip >= self._pause:
            self.limit = min(self.limit, float(self.most_inside))
            self.bound = max(LEAST, DIP * self.limit)
            self._dip_from, self._spans = -1.0, 0
