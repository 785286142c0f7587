"""Reserves capacity for rejected requests at the Retry-After that their clients receive.

Time ahead is divided into slots. In each slot RESERVABLE_SHARE of the measured service rate may be reserved;
the rest is for requests without a reservation. A tenant may reserve at most its quota by weight of that
share, so a tenant with many rejections cannot reserve all of it. The time is drawn at random within the first
slot with capacity, so clients that were rejected together do not return together.

A reservation is identified by a token, which a protocol derives from what stays the same when a client
retries. A token may have several reservations. A request with the token redeems the earliest one whose slot
has begun, and none before that, so returning early gains nothing. When capacity falls, the latest
reservations that no longer fit are revoked; a request that returns for one of them gets a new Retry-After.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TypeVar

Key = TypeVar("Key")

SLOT_S = 0.05
RESERVABLE_SHARE = 0.5  # of the measured service rate
GRACE_S = 0.25  # validity of a reservation after its slot, since clients' timers are late, never early
MIN_RETRY_AFTER = 0.05  # s
RATE_FALL_RATIO = 0.8  # of the known rate; only a rate below that counts as a fall
COST_TOLERANCE = 1e-12  # s, rounding error of sums
NO_COST = 1e-9  # s; a slot with less has no reservations


@dataclass(slots=True, eq=False)
class Reservation:
    """Capacity reserved for one retry; `cost` is in seconds of endpoint time."""

    token: str
    tenant: str
    slot: int
    cost: float
    at: float  # drawn time within the slot, at which the client should retry

    def expires_at(self) -> float:
        """Return the latest time at which it can be redeemed."""
        return (self.slot + 1) * SLOT_S + GRACE_S


class ReservationSchedule:
    """The reservations of one pool: at most `max_reservations`, however many tenants there are.

    Nothing is reserved more than `horizon` seconds ahead or before the service rate is known.
    """

    def __init__(self, max_reservations: int, horizon: float, seed: int) -> None:
        """Create an empty schedule; `seed` fixes the drawn times."""
        self.max_reservations = max_reservations
        self.horizon = horizon
        self.reservations: OrderedDict[Reservation, None] = OrderedDict()  # oldest first
        self.by_token: dict[str, deque[Reservation]] = {}
        self.reserved_cost: dict[int, float] = {}  # by slot
        self.tenant_reserved_cost: dict[tuple[int, str], float] = {}  # by slot and tenant
        self.tenant_counts: dict[str, int] = {}
        self.revoked = 0
        self.service_rate = 0.0  # seconds of endpoint time served per second
        self._random = random.Random(seed)
        self._first_slots: dict[str, int] = {}  # by tenant; its earlier slots are full

    def update_rate(self, service_rate: float, now: float) -> None:
        """Set the pool's service rate; if it falls, revoke the latest reservations that no longer fit."""
        lower = service_rate < RATE_FALL_RATIO * self.service_rate
        higher = service_rate > self.service_rate
        if higher:
            self._first_slots.clear()
        if not (lower or higher):
            return
        self.service_rate = service_rate
        if lower:
            self._revoke_excess(service_rate * SLOT_S * RESERVABLE_SHARE, now)

    def _revoke_excess(self, slot_capacity: float, now: float) -> None:
        for reservation in list(reversed(self.reservations)):
            if reservation.at <= now:
                continue
            if self.reserved_cost[reservation.slot] > slot_capacity + COST_TOLERANCE:
                self._remove(reservation)
                self._remove_token(reservation)
                self.revoked += 1

    def reserve(
        self, token: str, tenant: str, cost: float, quota: float, after: float, now: float
    ) -> float | None:
        """Reserve capacity at least `after` seconds from now.

        Return in how many seconds, None if nothing can be reserved. `cost` is in seconds of endpoint time;
        `quota` is the tenant's share of the capacity, 1 for all of it.
        """
        self._drop_expired(now)
        if self.service_rate <= 0.0 or len(self.reservations) >= self.max_reservations:
            return None
        slot_capacity = max(self.service_rate * SLOT_S * RESERVABLE_SHARE, cost)  # one request always fits
        tenant_capacity = max(slot_capacity * quota, cost)
        first_slot = int((now + max(after, MIN_RETRY_AFTER)) / SLOT_S) + 1
        slot = max(first_slot, self._first_slots.get(tenant, 0))
        end = int((now + self.horizon) / SLOT_S)
        while slot < end and (
            self.reserved_cost.get(slot, 0.0) + cost > slot_capacity + COST_TOLERANCE
            or self.tenant_reserved_cost.get((slot, tenant), 0.0) + cost > tenant_capacity + COST_TOLERANCE
        ):
            slot += 1
        self._first_slots[tenant] = slot
        if slot >= end:
            return None
        at = (slot + self._random.random()) * SLOT_S
        self._add(Reservation(token, tenant, slot, cost, at))
        return at - now

    def redeem(self, token: str, now: float) -> bool:
        """Return whether a request with this token has capacity reserved now, and use up the reservation."""
        reserved = self.by_token.get(token)
        if reserved is None:
            return False
        valid = False
        while reserved and not valid and reserved[0].slot * SLOT_S <= now:
            reservation = reserved.popleft()
            self._remove(reservation)
            valid = now <= reservation.expires_at()
        if not reserved:
            del self.by_token[token]
        return valid

    def _add(self, reservation: Reservation) -> None:
        slot, tenant, cost = reservation.slot, reservation.tenant, reservation.cost
        self.reserved_cost[slot] = self.reserved_cost.get(slot, 0.0) + cost
        self.tenant_reserved_cost[slot, tenant] = self.tenant_reserved_cost.get((slot, tenant), 0.0) + cost
        self.tenant_counts[tenant] = self.tenant_counts.get(tenant, 0) + 1
        self.reservations[reservation] = None
        self.by_token.setdefault(reservation.token, deque()).append(reservation)

    def _remove(self, reservation: Reservation) -> None:
        """Remove a reservation and release its capacity; the caller updates `by_token`."""
        tenant = reservation.tenant
        del self.reservations[reservation]
        _subtract(self.reserved_cost, reservation.slot, reservation.cost)
        _subtract(self.tenant_reserved_cost, (reservation.slot, tenant), reservation.cost)
        self.tenant_counts[tenant] -= 1
        if not self.tenant_counts[tenant]:
            del self.tenant_counts[tenant]
            self._first_slots.pop(tenant, None)

    def _remove_token(self, reservation: Reservation) -> None:
        reserved = self.by_token[reservation.token]
        reserved.remove(reservation)
        if not reserved:
            del self.by_token[reservation.token]

    def _drop_expired(self, now: float) -> None:
        """Drop expired reservations; they are stored nearly in the order of their slots."""
        while self.reservations:
            reservation = next(iter(self.reservations))
            if now <= reservation.expires_at():
                break
            self._remove_token(reservation)
            self._remove(reservation)
        if len(self._first_slots) > self.max_reservations:
            self._first_slots.clear()


def _subtract(costs: dict[Key, float], key: Key, cost: float) -> None:
    remaining = costs[key] - cost
    if remaining > NO_COST:
        costs[key] = remaining
    else:
        del costs[key]
