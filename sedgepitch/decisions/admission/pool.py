"""One pool of endpoints that share a queue: a replica group's primary, or all endpoints of the group."""

from __future__ import annotations

from collections import deque

from sedgepitch.decisions.admission.capacity_estimate import CapacityEstimate
from sedgepitch.decisions.admission.fair_queue import FairQueue, QueuedRequest
from sedgepitch.decisions.admission.reservations import ReservationSchedule
from sedgepitch.decisions.admission.settings import AdmissionSettings

MIN_ALLOWANCE = 2.0  # requests that may wait in the router, whatever happens
ALLOWANCE_DECREASE = 0.7  # factor, after a request was rejected in the router
ALLOWANCE_INCREASE = 0.02  # requests, after one was sent at once
SENT_AT_ONCE_S = 0.01  # between admission and the first attempt
RATE_SPAN_S = 0.5  # over which the service rate is measured
RATE_WEIGHT = 0.5  # of one span's rate, under load
RATE_DECAY = 0.98  # of the known rate in a span without load, which shows no more than what was asked
MANY_TENANTS = 64  # with something queued, from which their mean weight stands for all


class AdmissionPool:
    """Queue, reservations and limits of one pool. Moments are seconds on the caller's clock.

    Two limits hold at once. `capacity` bounds the requests in flight, by queueing at the endpoints.
    `allowance` bounds those that wait in the router for an endpoint: it falls when one is rejected there
    and grows when they are sent at once, so it governs where endpoints are lost, warming up or not fresh
    enough.
    """

    def __init__(self, settings: AdmissionSettings, seed: int, now: float) -> None:
        """Make an empty pool; `seed` fixes the moments of its reservations."""
        self.queue = FairQueue(settings.max_tracked_tenants)
        self.redeemed: deque[QueuedRequest] = deque()  # with a reservation: next, ahead of the queue
        self.reservations = ReservationSchedule(settings.max_reservations, settings.reservation_horizon, seed)
        self.capacity = CapacityEstimate(now)
        self.max_allowance = float(settings.max_waiting_in_router)
        self.max_admitted_per_turn = settings.max_admitted_per_turn
        self.allowance = self.max_allowance
        self.in_flight = 0
        self.waiting_in_router = 0  # admitted, and not sent yet
        self.turn = 0  # number of the router's next turn
        self.unseen = 0  # of those waiting in the router, admitted since its last turn
        self.under_load = False  # something was queued in this span
        self.service_rate = 0.0  # seconds of endpoints' time that are served a second, as far as known
        self._served_cost = 0.0  # s, in this span
        self._span_started_at = now

    def reload(self, settings: AdmissionSettings) -> None:
        """Take new settings; what is queued keeps its place."""
        self.max_allowance = float(settings.max_waiting_in_router)
        self.max_admitted_per_turn = settings.max_admitted_per_turn
        self.allowance = min(self.allowance, self.max_allowance)
        self.queue.max_tracked_tenants = settings.max_tracked_tenants
        self.reservations.max_reservations = settings.max_reservations
        self.reservations.horizon = settings.reservation_horizon

    # Limits

    def may_admit(self) -> bool:
        """Whether both limits allow one more request.

        Requests that the router has not seen do not count as waiting; where none waits and none was queued
        lately, more of them may be admitted in one turn.
        """
        if self.in_flight >= self.capacity.current_limit:
            return False
        waiting = self.waiting_in_router - self.unseen
        idle = not waiting and not self.under_load and self.allowance >= self.max_allowance
        return self.unseen < (self.max_admitted_per_turn if idle else self.allowance - waiting)

    def count_admitted(self, now: float) -> int:
        """Count a request that is admitted now; returns the turn in which the router will see it."""
        self.unseen += 1
        self.waiting_in_router += 1
        self.in_flight += 1
        self.capacity.record_in_flight(self.in_flight, now)
        return self.turn

    def count_sent(self, turn: int, waited: float) -> None:
        """Count the first attempt of a request that waited so many seconds in the router."""
        self._count_out_of_router(turn)
        if waited < SENT_AT_ONCE_S:
            self.allowance = min(self.max_allowance, self.allowance + ALLOWANCE_INCREASE)

    def count_ended_unsent(self, turn: int, served: bool) -> None:
        """Count a request that ended before an attempt; if rejected, fewer may wait in the router."""
        self._count_out_of_router(turn)
        if not served:
            self.allowance = max(MIN_ALLOWANCE, self.allowance * ALLOWANCE_DECREASE)

    def _count_out_of_router(self, turn: int) -> None:
        self.waiting_in_router -= 1
        if turn == self.turn:
            self.unseen -= 1

    def router_decided(self) -> bool:
        """Begin a new turn of the router; returns whether something is queued that it may have room for."""
        if not self.unseen:
            return False
        self.turn += 1
        self.unseen = 0
        return bool(self.queue.length or self.redeemed)

    # Service rate

    def count_served(self, request: QueuedRequest, cost: float) -> None:
        """Charge a request that ended with its true cost, in seconds of an endpoint's time."""
        self._served_cost += cost
        self.queue.correct(request.tenant, cost - request.cost, request.tenant_weight)

    def update_rates(self, now: float) -> None:
        """Update the limit and the service rate, each once a span.

        A pool under load shows its capacity, another one only that it has at least as much.
        """
        self.capacity.update(now)
        passed = now - self._span_started_at
        if passed < RATE_SPAN_S:
            return
        rate = self._served_cost / passed
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
        """Return in how many seconds what is queued now is served, 0 where the rate is not known."""
        return self.queue.cost / self.service_rate if self.service_rate > 0.0 else 0.0

    # Queue

    def expected_queueing_delay(self, request: QueuedRequest) -> float:
        """Return how many seconds a newcomer would be queued: its tenant's backlog at its tenant's quota."""
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

    def shed_for(self, newcomer: QueuedRequest) -> QueuedRequest | None:
        """Take out a queued request to make room for a newcomer; None where the newcomer has to go.

        It is of the tenant with the most queued by weight, if that has more than the newcomer's tenant would
        have; of the newcomer's own tenant, only a request of lower priority.
        """
        longest = self.queue.longest()
        if longest is None:
            return None
        if longest.name == newcomer.tenant:
            lower = min(longest.levels) < newcomer.priority_weight
            return self.queue.shed_from(longest) if lower else None
        if longest.cost / longest.weight <= self._cost_with(newcomer) / newcomer.tenant_weight:
            return None
        return self.queue.shed_from(longest)

    def _cost_with(self, newcomer: QueuedRequest) -> float:
        own = self.queue.tenants.get(newcomer.tenant)
        return (own.cost if own else 0.0) + newcomer.cost

    def next_queued(self) -> QueuedRequest | None:
        """Take the next request: those with a reservation first, then in fair order."""
        while self.redeemed:
            request = self.redeemed.popleft()
            if not request.removed:
                self.queue.charge(request.tenant, request.cost, request.tenant_weight)
                return request
        return self.queue.pop()

    def remove(self, request: QueuedRequest) -> None:
        """Take a request out of the queue."""
        if request in self.redeemed:
            self.redeemed.remove(request)
            request.removed = True
        else:
            self.queue.remove(request)
