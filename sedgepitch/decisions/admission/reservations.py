"""Come-back times that are kept: a calendar of future room, in slots.

Each slot has room for a share of what the fleet is measured to serve; the rest stays for those who come
unannounced. Of that room a tenant may book its share by weight, so that one which is refused most cannot book
all. A refused client is told a moment drawn within the first slot that has room for it, so those refused
together do not return together.

Who is promised is known by a mark, which a front makes of what stays the same when a client tries again:
its session, the kind of request and the key if there is one. A mark may have several promises; whoever
comes with it uses up the earliest whose slot has begun, and none before, so coming early gains nothing. When
room falls, the latest promises that no longer fit end; who comes on one that has ended is
told a new time. The number of promises is bounded; beyond it, or where nothing was measured yet, nothing is
promised.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TypeVar

Key = TypeVar("Key")

SLOT = 0.05  # s
RESERVED = 0.5  # share of the measured rate that may be promised
GRACE = 0.25  # s after its slot for which a promise still holds: clients' timers are late, never early
LEAST_AHEAD = 0.05  # s; nobody is told to come back sooner


@dataclass(slots=True, eq=False)
class Reservation:
    """A time that somebody was told."""

    mark: str
    tenant: str
    slot: int
    cost: float
    at: float


class ReservationSchedule:
    """Promises of one room. Memory is bounded by `most` promises, whatever the number of tenants."""

    def __init__(self, most: int, horizon: float, seed: int) -> None:
        self.most, self.horizon = most, horizon
        self.random = random.Random(seed)
        self.booked: dict[int, float] = {}
        self.booked_by: dict[tuple[int, str], float] = {}
        self.tenants: dict[str, int] = {}  # promises of each
        self.first: dict[str, int] = {}  # a tenant's earlier slots have no room
        self.by_mark: dict[str, deque[Reservation]] = {}
        self.all: OrderedDict[Reservation, None] = OrderedDict()  # as they were made
        self.ended = 0  # promises ended because room fell
        self.rate = 0.0  # seconds of members' time that are served a second

    def measured(self, rate: float, now: float) -> None:
        """Take the rate at which the room serves; promises that no longer fit end, the latest first."""
        fell, rose = rate < 0.8 * self.rate, rate > self.rate
        if rose:
            self.first.clear()
        if not (fell or rose):
            return
        self.rate = rate
        if not fell:
            return
        room = rate * SLOT * RESERVED
        for promise in list(reversed(self.all)):
            if promise.at > now and self.booked[promise.slot] > room + 1e-12:
                self._end(promise)
                self.by_mark[promise.mark].remove(promise)
                if not self.by_mark[promise.mark]:
                    del self.by_mark[promise.mark]
                self.ended += 1

    def promise(
        self, mark: str, tenant: str, cost: float, share: float, after: float, now: float
    ) -> float | None:
        """Promise a time no sooner than `after` seconds from now; None where none can be promised.

        `share` is the tenant's part of the room, 1 for all of it.
        """
        self._tidy(now)
        if self.rate <= 0.0 or len(self.all) >= self.most:
            return None
        room = max(self.rate * SLOT * RESERVED, cost)  # a slot holds at least one request
        own = max(room * share, cost)
        slot = max(int((now + max(after, LEAST_AHEAD)) / SLOT) + 1, self.first.get(tenant, 0))
        end = int((now + self.horizon) / SLOT)
        while slot < end and (
            self.booked.get(slot, 0.0) + cost > room + 1e-12
            or self.booked_by.get((slot, tenant), 0.0) + cost > own + 1e-12
        ):
            slot += 1
        self.first[tenant] = slot
        if slot >= end:
            return None
        at = (slot + self.random.random()) * SLOT
        promise = Reservation(mark, tenant, slot, cost, at)
        self.booked[slot] = self.booked.get(slot, 0.0) + cost
        self.booked_by[slot, tenant] = self.booked_by.get((slot, tenant), 0.0) + cost
        self.tenants[tenant] = self.tenants.get(tenant, 0) + 1
        self.all[promise] = None
        held = self.by_mark.setdefault(mark, deque())
        held.append(promise)
        return at - now

    def comes(self, mark: str, now: float) -> bool:
        """Whether who comes now with this mark was promised this moment; the promise is used up by it."""
        held = self.by_mark.get(mark)
        kept = False
        while held and not kept and held[0].slot * SLOT <= now:
            promise = held.popleft()
            self._end(promise)
            kept = now <= (promise.slot + 1) * SLOT + GRACE
        if held is not None and not held:
            del self.by_mark[mark]
        return kept

    def _end(self, promise: Reservation) -> None:
        del self.all[promise]
        _take(self.booked, promise.slot, promise.cost)
        _take(self.booked_by, (promise.slot, promise.tenant), promise.cost)
        self.tenants[promise.tenant] -= 1
        if not self.tenants[promise.tenant]:
            del self.tenants[promise.tenant]
            self.first.pop(promise.tenant, None)

    def _tidy(self, now: float) -> None:
        """Let go of promises whose time is over; they stand nearly in order of their slots."""
        while self.all:
            promise = next(iter(self.all))
            if now <= (promise.slot + 1) * SLOT + GRACE:
                break
            held = self.by_mark[promise.mark]
            held.remove(promise)
            if not held:
                del self.by_mark[promise.mark]
            self._end(promise)
        if len(self.first) > self.most:
            self.first.clear()


def _take(table: dict[Key, float], key: Key, cost: float) -> None:
    left = table[key] - cost
    if left > 1e-9:
        table[key] = left
    else:
        del table[key]
