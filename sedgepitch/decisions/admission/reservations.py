"""Reserves capacity for rejected requests, at the Retry-After that their clients are told.

The future is cut into slots. Of each, RESERVABLE_SHARE of the measured service rate may be reserved; the rest
stays for requests without a reservation. Of that a tenant may reserve its quota by weight, so that one which
is rejected most cannot reserve all. The moment is drawn at random within the first slot that has capacity, so
clients that were rejected together do not return together.

A reservation is known by a token, which a protocol makes of what stays the same when a client retries. A
token may have several reservations; a request with it redeems the earliest whose slot has begun, and none
before, so coming early gains nothing. When capacity falls, the latest reservations that no longer fit are
revoked; who comes on one of these gets a new Retry-After.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TypeVar

Key = TypeVar("Key")

SLOT_S = 0.05
RESERVABLE_SHARE = 0.5  # of the measured service rate
GRACE_S = 0.25  # after its slot for which a reservation holds: clients' timers are late, never early
MIN_RETRY_AFTER = 0.05  # s
RATE_FALL = 0.8  # of the known rate, below which a new one counts as a fall
COST_TOLERANCE = 1e-12  # s, of float sums
NO_COST = 1e-9  # s; a slot with less has no reservations


@dataclass(slots=True, eq=False)
class Reservation:
    """Capacity that is reserved for one retry; `cost` is in seconds of an endpoint's time."""

    token: str
    tenant: str
    slot: int
    cost: float
    at: float

    def holds_until(self) -> float:
        """Return the last moment at which it can be redeemed."""
        return (self.slot + 1) * SLOT_S + GRACE_S


class ReservationSchedule:
    """The reservations of one pool, at most `max_reservations`, whatever the number of tenants.

    Nothing is reserved further ahead than `horizon` seconds, nor before a service rate is known.
    """

    def __init__(self, max_reservations: int, horizon: float, seed: int) -> None:
        """Make an empty schedule; `seed` fixes the moments that it draws."""
        self.max_reservations = max_reservations
        self.horizon = horizon
        self.reservations: OrderedDict[Reservation, None] = OrderedDict()  # as they were made
        self.by_token: dict[str, deque[Reservation]] = {}
        self.reserved_cost: dict[int, float] = {}  # by slot
        self.tenant_reserved_cost: dict[tuple[int, str], float] = {}  # by slot and tenant
        self.tenant_counts: dict[str, int] = {}
        self.revoked = 0
        self.service_rate = 0.0  # seconds of endpoints' time that are served a second
        self._random = random.Random(seed)
        self._first_slots: dict[str, int] = {}  # a tenant's earlier slots are full

    def update_rate(self, service_rate: float, now: float) -> None:
        """Take the rate at which the pool serves; where it falls, revoke the latest that no longer fit."""
        falls = service_rate < RATE_FALL * self.service_rate
        rises = service_rate > self.service_rate
        if rises:
            self._first_slots.clear()
        if not (falls or rises):
            return
        self.service_rate = service_rate
        if falls:
            self._revoke_what_no_longer_fits(service_rate * SLOT_S * RESERVABLE_SHARE, now)

    def _revoke_what_no_longer_fits(self, slot_capacity: float, now: float) -> None:
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
        """Reserve capacity no sooner than `after` seconds from now.

        Returns in how many seconds, None where nothing can be reserved. `cost` is in seconds of an endpoint's
        time; `quota` is the tenant's share of the capacity, 1 for all of it.
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
        """Whether a request that comes now with this token has capacity reserved; uses the reservation up."""
        waiting = self.by_token.get(token)
        if waiting is None:
            return False
        holds = False
        while waiting and not holds and waiting[0].slot * SLOT_S <= now:
            reservation = waiting.popleft()
            self._remove(reservation)
            holds = now <= reservation.holds_until()
        if not waiting:
            del self.by_token[token]
        return holds

    def _add(self, reservation: Reservation) -> None:
        slot, tenant, cost = reservation.slot, reservation.tenant, reservation.cost
        self.reserved_cost[slot] = self.reserved_cost.get(slot, 0.0) + cost
        self.tenant_reserved_cost[slot, tenant] = self.tenant_reserved_cost.get((slot, tenant), 0.0) + cost
        self.tenant_counts[tenant] = self.tenant_counts.get(tenant, 0) + 1
        self.reservations[reservation] = None
        self.by_token.setdefault(reservation.token, deque()).append(reservation)

    def _remove(self, reservation: Reservation) -> None:
        """Release what a reservation holds; its token is left to the caller."""
        tenant = reservation.tenant
        del self.reservations[reservation]
        _subtract(self.reserved_cost, reservation.slot, reservation.cost)
        _subtract(self.tenant_reserved_cost, (reservation.slot, tenant), reservation.cost)
        self.tenant_counts[tenant] -= 1
        if not self.tenant_counts[tenant]:
            del self.tenant_counts[tenant]
            self._first_slots.pop(tenant, None)

    def _remove_token(self, reservation: Reservation) -> None:
        waiting = self.by_token[reservation.token]
        waiting.remove(reservation)
        if not waiting:
            del self.by_token[reservation.token]

    def _drop_expired(self, now: float) -> None:
        """Drop reservations that nobody redeemed; they stand nearly in the order of their slots."""
        while self.reservations:
            reservation = next(iter(self.reservations))
            if now <= reservation.holds_until():
                break
            self._remove_token(reservation)
            self._remove(reservation)
        if len(self._first_slots) > self.max_reservations:
            self._first_slots.clear()


def _subtract(costs: dict[Key, float], key: Key, cost: float) -> None:
    left = costs[key] - cost
    if left > NO_COST:
        costs[key] = left
    else:
        del costs[key]
