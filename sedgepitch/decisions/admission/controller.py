"""Admission control: decides whether a request is admitted now, queued, or rejected with a Retry-After.

It runs before the router, so that a tenant that sends too many requests does not starve the others and the
router's own waiting list stays short. Requests wait in fair order (`fair_queue`), in one pool for each
replica group and one for its primary alone (`pool`, which also limits the requests in flight). A further
limit over all pools protects this process itself (`process_concurrency_limit`). The lowest limit applies.

A request is queued for no more than a share of its remaining time, and no longer than its latency objective
allows. If it cannot be admitted by then it is rejected at once, since a late answer is of no use. The
Retry-After of a rejection is backed by reserved capacity (`reservations`). Retries without a reservation are
bounded (`retry_budget`). Memory does not grow with the number of tenants or clients.
"""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.decisions.admission.class_latency import ClassLatency
from sedgepitch.decisions.admission.fair_queue import QueuedRequest
from sedgepitch.decisions.admission.messages import AdmissionRequest, Admit, Decision, Reject
from sedgepitch.decisions.admission.pool import AdmissionPool
from sedgepitch.decisions.admission.retry_budget import RetryBudget
from sedgepitch.decisions.admission.settings import AdmissionSettings
from sedgepitch.structures.sketch import DecayingSketch
from sedgepitch.structures.wheel import TimingWheel, WheelEntry

QUEUE_TIMER_TICK_S = 0.005  # resolution of the queueing timeout
MAX_TIME_IN_FLIGHT_RATIO = 2.0  # longest time in flight to expect, over the mean of the class
MIN_QUEUEING_SHARE = 0.1  # of its latency objective; any request may be queued that long
USAGE_SKETCH_WIDTH = 4096  # cells per row
USAGE_TOP_TENANTS = 16  # tenants tracked by name
USAGE_HALF_LIFE_S = 30.0
POOL_SEED_STEP = 7  # difference between the seeds of two pools; any value works
NO_LIMIT = float("inf")

TOO_MANY_RETRIES = "too many retries"
QUEUEING_TOO_LONG = "its turn would come too late"
QUEUE_FULL = "no room to wait"
SHED_FOR_ANOTHER = "made room for others"
QUEUEING_TIMED_OUT = "held for as long as it may be"


@dataclass(slots=True, eq=False)
class _TrackedRequest:
    """One request from its arrival to its end; times are None until the step has happened."""

    arrival: AdmissionRequest
    queued: QueuedRequest
    pool: AdmissionPool
    timer: WheelEntry[int] | None = None  # while queued
    turn: int = -1  # the pool's router turn in which it was admitted
    admitted_at: float | None = None
    sent_at: float | None = None


class AdmissionController:
    """All pools of one proxy. Pure: the same settings, seed and calls give the same decisions.

    Every `now` is a time in seconds of the caller's monotonic clock.
    """

    def __init__(self, settings: AdmissionSettings, seed: int, now: float) -> None:
        """Start with no pools; `seed` fixes the times of reservations and the hashes of sketches."""
        self.settings = settings
        self.pools: dict[tuple[int, bool], AdmissionPool] = {}  # by (group, primary only)
        self.requests: dict[int, _TrackedRequest] = {}
        self.queued = 0  # in all pools
        self.in_flight = 0  # in all pools
        self.most_active_tenant = ""  # as of the last tick
        self.process_limit = NO_LIMIT  # requests in flight in the whole process; set by the engine
        self._seed = seed
        self._queue_timers: TimingWheel[int] = TimingWheel(QUEUE_TIMER_TICK_S, now)
        self._latency = ClassLatency()
        self._usage = DecayingSketch(USAGE_SKETCH_WIDTH, USAGE_TOP_TENANTS, USAGE_HALF_LIFE_S, seed, now)
        self._retry_budget = RetryBudget(
            settings.retry_budget_share, settings.max_reservations, seed + 1, now
        )

    # Events

    def arrive(self, arrival: AdmissionRequest, now: float) -> list[Decision]:
        """Decide on a new request; it is queued if no returned decision names it."""
        pool = self._pool(arrival, now)
        pool.update_rates(now)
        request = self._track(arrival, pool)
        queued = request.queued
        max_delay = self._max_queueing_delay(arrival)
        until = now + max_delay
        redeemed = pool.reservations.redeem(arrival.reservation_token, now)
        if not self._within_retry_budget(arrival, redeemed, now):
            return [self._reject(request, now, TOO_MANY_RETRIES)]
        first_in_line = (redeemed and not pool.redeemed) or not pool.queue.length
        if self._process_may_admit(pool) and pool.may_admit() and first_in_line:
            pool.queue.charge(arrival.tenant, queued.cost, queued.tenant_weight)
            return [self._admit(request, now)]
        if redeemed:
            pool.redeemed.append(queued)
            self._start_queueing(request, until)
            return []
        if pool.expected_queueing_delay(queued) > until - now:
            return [self._reject(request, now, QUEUEING_TOO_LONG)]
        decisions: list[Decision] = []
        if self.queued >= self.settings.max_queued:
            shed = pool.shed_for(queued)
            if shed is None:
                return [self._reject(request, now, QUEUE_FULL)]
            decisions.append(self._reject(self.requests[shed.id], now, SHED_FOR_ANOTHER))
        pool.queue.push(queued)
        pool.under_load = True
        self._start_queueing(request, until)
        return decisions

    def sent(self, number: int, now: float) -> list[Decision]:
        """Record that the router sent the first attempt of a request; decide on queued requests."""
        request = self.requests.get(number)
        if request is None or request.sent_at is not None or request.admitted_at is None:
            return []
        request.sent_at = now
        request.pool.count_sent(request.turn, now - request.admitted_at)
        return self._admit_queued(request.pool, now)

    def ended(self, number: int, now: float, served: bool, received_at: float = 0.0) -> list[Decision]:
        """Record that a request got its final answer or its client disconnected; decide on queued requests.

        `served` is false for a rejection or a failure; the engine passes true for a disconnected client.
        `received_at` is when the answer's bytes arrived, 0 if unknown: the time since then is this process's
        own delay and not part of the endpoint's latency.
        """
        request = self.requests.pop(number, None)
        if request is None:
            return []
        pool = request.pool
        if request.admitted_at is None:
            if request.timer is not None:
                self._stop_queueing(request)
                pool.remove(request.queued)
            return []
        pool.in_flight -= 1
        self.in_flight -= 1
        if request.sent_at is None:
            pool.count_ended_unsent(request.turn, served)
        else:
            cost = max(0.0, (received_at or now) - request.sent_at)
            self._record_cost(request, cost, request.sent_at, now - request.admitted_at, served, now)
        if not served:
            self._retry_budget.remember_rejected(request.arrival.idempotency_key)
        pool.update_rates(now)
        return self._admit_queued(pool, now)

    def reserve(self, number: int, now: float) -> float:
        """Reserve capacity for a request that the router rejects; return the Retry-After in s, 0 for none."""
        request = self.requests.get(number)
        return 0.0 if request is None else self._reserve(request, 0.0, now)

    def router_decided(self, now: float) -> list[Decision]:
        """Record that the router has decided on all admitted requests; those it did not send wait there."""
        decisions: list[Decision] = []
        for pool in self.pools.values():
            if pool.router_decided():
                decisions += self._admit_queued(pool, now)
        return decisions

    def tick(self, now: float) -> list[Decision]:
        """Reject the requests whose queueing time is over."""
        decisions: list[Decision] = []
        self.most_active_tenant = self._retry_budget.most_active_tenant(now)
        for number in self._queue_timers.advance(now):
            request = self.requests[number]
            request.timer = None
            self.queued -= 1
            request.pool.remove(request.queued)
            decisions.append(self._reject(request, now, QUEUEING_TIMED_OUT))
        return decisions

    def reload(self, settings: AdmissionSettings) -> None:
        """Apply new settings; queued requests keep their place, new weights apply to later requests."""
        self.settings = settings
        self._retry_budget.share = settings.retry_budget_share
        self._retry_budget.max_keys = settings.max_reservations
        for pool in self.pools.values():
            pool.reload(settings)

    def state(self, now: float) -> dict[str, object]:
        """Return the JSON values that `sedgepitch admission` shows."""
        pools = [
            {
                "group": group,
                "primary_only": primary_only,
                "inside": pool.in_flight,
                "waiting_inside": pool.waiting_in_router,
                "allowance": round(pool.allowance, 2),
                "limit": round(pool.capacity.current_limit, 1),
                "held": pool.queue.length,
                "tenants_held": len(pool.queue.tenants),
                "served_per_s": round(pool.service_rate, 4),
                "promises": len(pool.reservations.reservations),
                "promises_ended": pool.reservations.revoked,
            }
            for (group, primary_only), pool in sorted(self.pools.items())
        ]
        largest = [{"tenant": name, "used_s": round(used, 3)} for name, used in self._usage.largest(now)]
        return {"held": self.queued, "rooms": pools, "largest_tenants": largest}

    # Rules

    def _max_queueing_delay(self, arrival: AdmissionRequest) -> float:
        """Return how many seconds a request may be queued so that its answer comes in time.

        This is a share of its time left. With a latency objective it is at most the objective less the
        longest time in flight to expect of its class.
        """
        max_delay = arrival.time_left * self.settings.max_queueing_share
        if arrival.latency_objective > 0.0:
            in_flight = MAX_TIME_IN_FLIGHT_RATIO * self._latency.since_admission(arrival.class_name)
            min_delay = MIN_QUEUEING_SHARE * arrival.latency_objective
            max_delay = min(max_delay, max(arrival.latency_objective - in_flight, min_delay))
        return max_delay

    def _within_retry_budget(self, arrival: AdmissionRequest, redeemed: bool, now: float) -> bool:
        """Return whether this is a first attempt, or a retry with a reservation or within the budget."""
        if not self._retry_budget.is_retry(arrival.idempotency_key):
            self._retry_budget.count_first_attempt(arrival.tenant, now)
            return True
        return redeemed or self._retry_budget.count_retry(arrival.tenant, now)

    def _process_may_admit(self, pool: AdmissionPool) -> bool:
        """Return whether the process limit allows one more; each pool is guaranteed an even part of it."""
        if self.in_flight < self.process_limit:
            return True
        return pool.in_flight < self.process_limit / len(self.pools)

    def _quota(self, request: _TrackedRequest) -> float:
        """Return a tenant's share by weight, among the tenants with requests queued or capacity reserved."""
        pool, queued = request.pool, request.queued
        others = set(pool.queue.tenants) | set(pool.reservations.tenant_counts)
        others.discard(queued.tenant)
        total = queued.tenant_weight + sum(self._tenant_weight(tenant) for tenant in others)
        return queued.tenant_weight / total

    def _tenant_weight(self, tenant: str) -> float:
        return self.settings.tenant_weights.get(tenant, self.settings.default_weight)

    def _reserve(self, request: _TrackedRequest, after: float, now: float) -> float:
        """Reserve capacity at least `after` seconds from now; return the Retry-After in s, 0 for none."""
        queued = request.queued
        retry_after = request.pool.reservations.reserve(
            request.arrival.reservation_token, queued.tenant, queued.cost, self._quota(request), after, now
        )
        return retry_after or 0.0

    # State changes

    def _pool(self, arrival: AdmissionRequest, now: float) -> AdmissionPool:
        key = (arrival.group, arrival.primary_only)
        pool = self.pools.get(key)
        if pool is None:
            seed = self._seed + POOL_SEED_STEP * len(self.pools)
            pool = self.pools[key] = AdmissionPool(self.settings, seed, now)
        return pool

    def _track(self, arrival: AdmissionRequest, pool: AdmissionPool) -> _TrackedRequest:
        queued = QueuedRequest(
            arrival.id,
            arrival.tenant,
            arrival.client,
            arrival.priority_weight,
            self._latency.at_endpoint(arrival.class_name),
            self._tenant_weight(arrival.tenant),
        )
        request = self.requests[arrival.id] = _TrackedRequest(arrival, queued, pool)
        return request

    def _start_queueing(self, request: _TrackedRequest, until: float) -> None:
        self.queued += 1
        request.timer = self._queue_timers.put(until, request.arrival.id)

    def _stop_queueing(self, request: _TrackedRequest) -> None:
        if request.timer is not None:
            self._queue_timers.cancel(request.timer)
            request.timer = None
            self.queued -= 1

    def _admit(self, request: _TrackedRequest, now: float) -> Admit:
        request.admitted_at = now
        request.turn = request.pool.count_admitted(now)
        self.in_flight += 1
        return Admit(request.arrival.id)

    def _admit_queued(self, pool: AdmissionPool, now: float) -> list[Decision]:
        """Admit queued requests while the limits allow it."""
        decisions: list[Decision] = []
        while self._process_may_admit(pool) and pool.may_admit():
            queued = pool.next_queued()
            if queued is None:
                break
            request = self.requests[queued.id]
            self._stop_queueing(request)
            decisions.append(self._admit(request, now))
        return decisions

    def _reject(self, request: _TrackedRequest, now: float, why: str) -> Reject:
        """Reject a request, with a Retry-After if capacity can be reserved after the queue has drained."""
        self._stop_queueing(request)
        self.requests.pop(request.arrival.id, None)
        self._retry_budget.remember_rejected(request.arrival.idempotency_key)
        retry_after = self._reserve(request, request.pool.drain_time(), now)
        return Reject(request.arrival.id, retry_after, why)

    def _record_cost(
        self,
        request: _TrackedRequest,
        cost: float,
        sent_at: float,
        since_admission: float,
        served: bool,
        now: float,
    ) -> None:
        """Record a request's cost in seconds of endpoint time and, if it was served, its latency."""
        arrival, pool = request.arrival, request.pool
        pool.count_served(request.queued, cost)
        self._usage.add_batched(arrival.tenant, cost, now)
        if served:
            pool.capacity.record_latency(arrival.class_name, arrival.latency_objective, cost, sent_at)
            self._latency.record(arrival.class_name, cost, since_admission)
