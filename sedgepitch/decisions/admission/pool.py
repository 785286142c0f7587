"""One pool of endpoints with a common queue: a replica group's primary, or all endpoints of the group."""

from __future__ import annotations

from collections import deque

from sedgepitch.decisions.admission.capacity_estimate import CapacityEstimate
from sedgepitch.decisions.admission.fair_queue import FairQueue, QueuedRequest
from sedgepitch.decisions.admission.reservations import ReservationSchedule
from sedgepitch.decisions.admission.settings import AdmissionSettings

MIN_ALLOWANCE = 2.0  # requests that may always wait in the router
ALLOWANCE_DECREASE = 0.7  # factor, per request rejected in the router
ALLOWANCE_INCREASE = 0.02  # requests, per request sent at once
SENT_AT_ONCE_S = 0.01  # longest time from admission to an attempt that counts as at once
RATE_SPAN_S = 0.5  # over which the service rate is measured
RATE_WEIGHT = 0.5  # of one span's rate in the mean, under load
RATE_DECAY = 0.98  # factor per span without load, in which the rate shows only the demand
MANY_TENANTS = 64  # queued tenants from which weights are not summed but taken as equal


class AdmissionPool:
    """Queue, reservations and limits of one pool. Times are seconds of the caller's clock.

    Two limits apply together. `capacity` bounds the requests in flight, by the queueing at the endpoints.
    `allowance` bounds the requests that wait in the router for an endpoint: it falls when one is rejected
    there and grows when they are sent at once, so it is the lower one while endpoints are lost, warming up or
    not fresh enough.
    """

    def __init__(self, settings: AdmissionSettings, seed: int, now: float) -> None:
        """Create an empty pool; `seed` fixes the times of its reservations."""
        self.queue = FairQueue(settings.max_tracked_tenants)
        self.redeemed: deque[QueuedRequest] = deque()  # queued with a reservation, ahead of `queue`
        self.reservations = ReservationSchedule(settings.max_reservations, settings.reservation_horizon, seed)
        self.capacity = CapacityEstimate(now)
        self.max_allowance = float(settings.max_waiting_in_router)
        self.max_admitted_per_turn = settings.max_admitted_per_turn
        self.allowance = self.max_allowance
        self.in_flight = 0
        self.waiting_in_router = 0  # admitted and not sent yet
        self.turn = 0  # number of the router's next turn
        self.unseen = 0  # requests waiting in the router that were admitted since its last turn
        self.under_load = False  # a request was queued in this span
        self.service_rate = 0.0  # seconds of endpoint time served per second, 0 if unknown
        self._served_cost = 0.0  # s, in this span
        self._span_started_at = now

    def reload(self, settings: AdmissionSettings) -> None:
        """Apply new settings; queued requests keep their place."""
        self.max_allowance = float(settings.max_waiting_in_router)
        self.max_admitted_per_turn = settings.max_admitted_per_turn
        self.allowance = min(self.allowance, self.max_allowance)
        self.queue.max_tracked_tenants = settings.max_tracked_tenants
        self.reservations.max_reservations = settings.max_reservations
        self.reservations.horizon = settings.reservation_horizon

    # Limits

    def may_admit(self) -> bool:
        """Return whether both limits allow one more request.

        Requests that the router has not seen yet do not count as waiting. If none waits and none was queued
        recently, more of them may be admitted in one turn.
        """
        if self.in_flight >= self.capacity.current_limit:
            return False
        waiting = self.waiting_in_router - self.unseen
        idle = not waiting and not self.under_load and self.allowance >= self.max_allowance
        return self.unseen < (self.max_admitted_per_turn if idle else self.allowance - waiting)

    def count_admitted(self, now: float) -> int:
        """Count a request admitted now; return the turn in which the router will see it."""
        self.unseen += 1
        self.waiting_in_router += 1
        self.in_flight += 1
        self.capacity.record_in_flight(self.in_flight, now)
        return self.turn

    def count_sent(self, turn: int, waited: float) -> None:
        """Count the first attempt of a request that waited `waited` seconds in the router."""
        self._decrement_waiting(turn)
        if waited < SENT_AT_ONCE_S:
            self.allowance = min(self.max_allowance, self.allowance + ALLOWANCE_INCREASE)

    def count_ended_unsent(self, turn: int, served: bool) -> None:
        """Count a request that ended before an attempt; lower the allowance if it was not served."""
        self._decrement_waiting(turn)
        if not served:
            self.allowance = max(MIN_ALLOWANCE, self.allowance * ALLOWANCE_DECREASE)

    def _decrement_waiting(self, turn: int) -> None:
        self.waiting_in_router -= 1
        if turn == self.turn:
            self.unseen -= 1

    def router_decided(self) -> bool:
        """Begin a new turn of the router; return whether queued requests may now be admitted."""
        if not self.unseen:
            return False
        self.turn += 1
        self.unseen = 0
        return bool(self.queue.length or self.redeemed)

    # Service rate

    def count_served(self, request: QueuedRequest, cost: float) -> None:
        """Charge the true cost of a request that ended, in seconds of endpoint time."""
        self._served_cost += cost
        self.queue.correct(request.tenant, cost - request.cost, request.tenant_weight)

    def update_rates(self, now: float) -> None:
        """Update the limit and the service rate, each at most once per span.

        The rate of a pool under load is its capacity; without load it is only a lower bound.
        """
        self.capacity.update(now)
        elapsed = now - self._span_started_at
        if elapsed < RATE_SPAN_S:
            return
        rate = self._served_cost / elapsed
        if not self.under_load:
            self.service_rate = max(rate, RATE_DECAY * self.service_rate)
        elif self.service_rate:
            self.service_rate += RATE_WEIGHT * (rate - self.service_rate)
        else:
            self.service_rate = rate
        self._served_cost = 0.0
        self._span_started_at = now
        self.under_load = bool(self.queue.length)
        self.reservations.update_rate(self.service_rate, now)

    def drain_time(self) -> float:
        """Return in how many seconds the present queue will be served, 0 if the rate is unknown."""
        return self.queue.cost / self.service_rate if self.service_rate > 0.0 else 0.0

    # Queue

    def expected_queueing_delay(self, request: QueuedRequest) -> float:
        """Return for how many seconds a new request would be queued: its tenant's backlog at its quota."""
        if self.service_rate <= 0.0:
            return 0.0
        tenants = self.queue.tenants
        tenant = tenants.get(request.tenant)
        if tenant is None:
            return self.queue.lead(request.tenant) / self.service_rate
        if len(tenants) < MANY_TENANTS:
            weights = sum(other.weight for other in tenants.values())
        else:
            weights = request.tenant_weight * len(tenants)
        return tenant.backlog_before(request) * weights / (request.tenant_weight * self.service_rate)

    def shed_for(self, new_request: QueuedRequest) -> QueuedRequest | None:
        """Remove and return a queued request in favour of a new one; None if the new one has to be rejected.

        The request is taken from the tenant with the highest queued cost by weight, if that exceeds the cost
        that the new request's tenant would have. From that tenant itself only a request of lower priority is
        taken.
        """
        longest = self.queue.longest()
        if longest is None:
            return None
        if longest.name == new_request.tenant:
            lower = min(longest.levels) < new_request.priority_weight
            return self.queue.shed_from(longest) if lower else None
        if longest.cost / longest.weight <= self._cost_with(new_request) / new_request.tenant_weight:
            return None
        return self.queue.shed_from(longest)

    def _cost_with(self, new_request: QueuedRequest) -> float:
        own = self.queue.tenants.get(new_request.tenant)
        return (own.cost if own else 0.0) + new_request.cost

    def next_queued(self) -> QueuedRequest | None:
        """Remove and return the next request: those with a reservation first, then in fair order."""
        while self.redeemed:
            request = self.redeemed.popleft()
            if not request.removed:
                self.queue.charge(request.tenant, request.cost, request.tenant_weight)
                return request
        return self.queue.pop()

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request from the queue."""
        if request in self.redeemed:
            self.redeemed.remove(request)
            request.removed = True
        else:
            self.queue.remove(request)
