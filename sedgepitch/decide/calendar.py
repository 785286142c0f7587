"""Come-back times that are kept: a calendar of future room, in slots.

Each slot has room for a share of what the fleet is measured to serve; the rest stays for those who come
unannounced. A refused client is told a moment drawn within the first slot that has room left, so those
refused together do not return together. Who comes in its slot, or a grace after it, is let in before all
that waits. Who comes early is treated as any other and keeps its promise. When room falls, the latest
promises that no longer fit end; who comes on one that has ended is told a new time. The number of promises
is bounded; beyond it, or where nothing was measured yet, nothing is promised.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass

SLOT = 0.05  # s
RESERVED = 0.5  # share of the measured rate that may be promised
GRACE = 0.25  # s after its slot for which a promise still holds: clients' timers are late, never early
LEAST_AHEAD = 0.05  # s; nobody is told to come back sooner


@dataclass(slots=True)
class Promise:
    """A time that somebody was told."""

    slot: int
    cost: float
    at: float


class Calendar:
    """Promises of one room. Memory is bounded by `most` promises and `horizon` seconds of slots."""

    def __init__(self, most: int, horizon: float, seed: int) -> None:
        self.most, self.horizon = most, horizon
        self.random = random.Random(seed)
        self.booked: dict[int, float] = {}
        self.promises: OrderedDict[str, Promise] = OrderedDict()
        self.first = 0  # no slot before it has room: the search begins there
        self.ended = 0  # promises ended because room fell
        self.rate = 0.0  # seconds of members' time that are served a second

    def measured(self, rate: float, now: float) -> None:
        """Take the rate at which the room serves; promises that no longer fit end, the latest first."""
        fell = rate < 0.8 * self.rate
        if fell or rate > self.rate:
            self.first = 0
        self.rate = rate
        if not fell:
            return
        room = rate * SLOT * RESERVED
        for who in reversed(list(self.promises)):
            promise = self.promises[who]
            if promise.at > now and self.booked.get(promise.slot, 0.0) > room:
                self._end(who)
                self.ended += 1

    def promise(self, who: str, cost: float, after: float, now: float) -> float | None:
        """Promise a time no sooner than that many seconds from now; None where none can be promised."""
        self._tidy(now)
        if self.rate <= 0.0:
            return None
        if who in self.promises and self.promises[who].at > now:
            return self.promises[who].at - now  # it keeps the one it has: asking again gains nothing
        if len(self.promises) >= self.most:
            return None
        room = max(self.rate * SLOT * RESERVED, cost)  # a slot holds at least one request
        slot = int((now + max(after, LEAST_AHEAD)) / SLOT) + 1
        slot = max(slot, self.first)
        end = int((now + self.horizon) / SLOT)
        while slot < end and self.booked.get(slot, 0.0) + cost > room:
            slot += 1
        if slot >= end:
            return None
        if cost <= room / 4:
            self.first = slot
        self.booked[slot] = self.booked.get(slot, 0.0) + cost
        at = (slot + self.random.random()) * SLOT
        self.promises[who] = Promise(slot, cost, at)
        return at - now

    def comes(self, who: str, now: float) -> bool:
        """Whether who comes now was promised this moment; the promise is used up by it."""
        promise = self.promises.get(who)
        if promise is None or now < promise.slot * SLOT:
            return False
        kept = now <= (promise.slot + 1) * SLOT + GRACE
        self._end(who)
        return kept

    def _end(self, who: str) -> None:
        promise = self.promises.pop(who)
        left = self.booked.get(promise.slot, 0.0) - promise.cost
        if left > 1e-9:
            self.booked[promise.slot] = left
        else:
            self.booked.pop(promise.slot, None)

    def _tidy(self, now: float) -> None:
        """Let go of promises whose time is over; they stand nearly in order of their slots."""
        while self.promises:
            who, promise = next(iter(self.promises.items()))
            if now <= (promise.slot + 1) * SLOT + GRACE:
                break
            self._end(who)
