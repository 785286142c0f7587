"""The queue of a pool: weighted fair between tenants; within a tenant by priority, then fair between clients.

Start-time fair queueing (Goyal, Vin and Cheng, 1996), applied at both levels. A tenant's request gets the
start tag max(virtual time, the tenant's last finish tag). The request with the smallest start tag goes first,
and that tag becomes the new virtual time. The finish tag is the start tag plus cost / weight; it is corrected
when the true cost is known. A tenant whose finish tag is not ahead of virtual time is treated like a new
tenant, so only tags ahead of it are kept. Memory is bounded by the queued requests and by
`max_tracked_tenants` idle tenants that are ahead of their share; beyond that, the smallest leads are dropped.

While two tenants both have requests queued, their costs by weight differ by at most one request each, plus
the requests admitted with a wrong estimate (the theorem of the paper, with corrections delayed until the
answer).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

MAX_STALE_ENTRIES = 64  # entries a heap or table may hold beyond twice the live ones before it is cleaned up


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that may be queued; `cost` is in seconds of endpoint time."""

    id: int
    tenant: str
    client: str
    priority_weight: float
    cost: float
    tenant_weight: float
    removed: bool = False
    start_tag: float = 0.0


@dataclass(slots=True, eq=False)
class _PriorityLevel:
    """The queued requests of one tenant and one priority weight, fair between clients by cost."""

    virtual_time: float = 0.0
    finish_tags: dict[str, float] = field(default_factory=dict)  # by client
    queues: dict[str, deque[QueuedRequest]] = field(default_factory=dict)  # by client
    heap: list[tuple[float, int, str]] = field(default_factory=list)  # (start tag, request id, client)

    def push(self, request: QueuedRequest) -> None:
        queue = self.queues.get(request.client)
        if queue is None:
            queue = self.queues[request.client] = deque()
            start_tag = max(self.virtual_time, self.finish_tags.get(request.client, 0.0))
            heappush(self.heap, (start_tag, request.id, request.client))
        queue.append(request)

    def pop(self) -> QueuedRequest | None:
        while self.heap:
            start_tag, _, client = heappop(self.heap)
            queue = self.queues[client]
            while queue and queue[0].removed:
                queue.popleft()
            if not queue:
                del self.queues[client]
                self.finish_tags.pop(client, None)
                continue
            request = queue.popleft()
            self.virtual_time = max(self.virtual_time, start_tag)
            self.finish_tags[client] = start_tag + request.cost
            if queue:
                heappush(self.heap, (self.finish_tags[client], queue[0].id, client))
            else:
                del self.queues[client]
                self._forget_finish_tags()
            return request
        return None

    def _forget_finish_tags(self) -> None:
        """Drop the tags that are not ahead of virtual time, once there are many."""
        if len(self.finish_tags) > 2 * len(self.queues) + MAX_STALE_ENTRIES:
            self.finish_tags = {
                client: tag
                for client, tag in self.finish_tags.items()
                if tag > self.virtual_time or client in self.queues
            }


@dataclass(slots=True, eq=False)
class TenantQueue:
    """The queued requests of one tenant, by priority weight."""

    name: str
    weight: float
    finish_tag: float
    levels: dict[float, _PriorityLevel] = field(default_factory=dict)
    length: int = 0
    cost: float = 0.0  # s, of all queued requests
    in_heap: bool = False
    correction: float = 0.0  # to the finish tag, for requests that cost more or less than estimated

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request of the highest priority, None if nothing is queued."""
        for priority_weight in sorted(self.levels, reverse=True):
            request = self.levels[priority_weight].pop()
            if request is not None:
                return request
            del self.levels[priority_weight]
        return None

    def backlog_before(self, request: QueuedRequest) -> float:
        """Return the cost that is served before a new request.

        This is the cost of its client's requests of no lower priority, but at least an even part per priority
        level of the tenant's queued cost.
        """
        backlog = sum(
            queued.cost
            for priority_weight, level in self.levels.items()
            if priority_weight >= request.priority_weight
            for queued in level.queues.get(request.client, ())
            if not queued.removed
        )
        return max(backlog, self.cost * min(1.0, 1.0 / max(1, len(self.levels))))


class FairQueue:
    """The queued requests of one pool. `push` and `pop` are logarithmic in the queued tenants."""

    def __init__(self, max_tracked_tenants: int) -> None:
        """Create an empty queue that remembers at most `max_tracked_tenants` idle tenants."""
        self.max_tracked_tenants = max_tracked_tenants
        self.virtual_time = 0.0
        self.tenants: dict[str, TenantQueue] = {}  # with queued requests
        self.finish_tags: dict[str, float] = {}  # of tenants with nothing queued; all ahead of virtual time
        self.length = 0
        self.cost = 0.0  # s, of all queued requests
        self._heap: list[tuple[float, int, str]] = []  # (start tag, sequence number, tenant)
        self._sequence = 0

    def push(self, request: QueuedRequest) -> None:
        """Queue a request."""
        tenant = self.tenants.get(request.tenant)
        if tenant is None:
            finish_tag = max(self.virtual_time, self.finish_tags.pop(request.tenant, 0.0))
            tenant = TenantQueue(request.tenant, request.tenant_weight, finish_tag)
            self.tenants[request.tenant] = tenant
        tenant.weight = request.tenant_weight
        level = tenant.levels.get(request.priority_weight)
        if level is None:
            level = tenant.levels[request.priority_weight] = _PriorityLevel()
        level.push(request)
        tenant.length += 1
        tenant.cost += request.cost
        self.length += 1
        self.cost += request.cost
        self._push_tenant(tenant)

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request, None if nothing is queued."""
        while self._heap:
            start_tag, _, name = heappop(self._heap)
            tenant = self.tenants.get(name)
            if tenant is None or not tenant.in_heap:
                continue
            tenant.in_heap = False
            request = tenant.pop()
            if request is None:
                self._close(tenant)
                continue
            self.virtual_time = max(self.virtual_time, start_tag)
            request.start_tag = start_tag
            tenant.finish_tag = start_tag + request.cost / tenant.weight + tenant.correction
            tenant.correction = 0.0
            self._subtract(tenant, request)
            if tenant.length:
                self._push_tenant(tenant)
            else:
                self._close(tenant)
            return request
        return None

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request; its queue entry is skipped later."""
        if request.removed:
            return
        request.removed = True
        tenant = self.tenants.get(request.tenant)
        if tenant is not None:
            self._subtract(tenant, request)
            if not tenant.length:
                self._close(tenant)

    def charge(self, tenant: str, cost: float, weight: float) -> None:
        """Charge a tenant for a request that was admitted without being queued."""
        start_tag = max(self.virtual_time, self.finish_tags.get(tenant, 0.0))
        self.virtual_time = max(self.virtual_time, start_tag)
        self._keep_finish_tag(tenant, start_tag + cost / weight)

    def correct(self, tenant: str, difference: float, weight: float) -> None:
        """Charge a tenant for true minus estimated cost, in s; takes effect with its next request."""
        queued = self.tenants.get(tenant)
        if queued is not None:
            queued.correction += difference / weight
        else:
            finish_tag = max(self.virtual_time, self.finish_tags.get(tenant, 0.0))
            self._keep_finish_tag(tenant, finish_tag + difference / weight)

    def lead(self, tenant: str) -> float:
        """Return how far a tenant is ahead of its share, in seconds of cost by weight."""
        queued = self.tenants.get(tenant)
        finish_tag = queued.finish_tag if queued else self.finish_tags.get(tenant, 0.0)
        return max(0.0, finish_tag - self.virtual_time)

    def longest(self) -> TenantQueue | None:
        """Return the tenant with the highest queued cost by weight, from which load is shed."""
        return max(self.tenants.values(), key=lambda tenant: tenant.cost / tenant.weight, default=None)

    def shed_from(self, tenant: TenantQueue) -> QueuedRequest | None:
        """Remove and return a tenant's newest request of lowest priority, of its client with most queued."""
        for priority_weight in sorted(tenant.levels):
            queues = tenant.levels[priority_weight].queues
            for client in sorted(queues, key=lambda client: -len(queues[client])):
                for request in reversed(queues[client]):
                    if not request.removed:
                        self.remove(request)
                        return request
        return None

    def _push_tenant(self, tenant: TenantQueue) -> None:
        """Insert a tenant with the start tag of its next request.

        After a correction the tag may be behind virtual time, so the tenant regains what it was overcharged.
        """
        if not tenant.in_heap:
            self._sequence += 1
            tenant.in_heap = True
            heappush(self._heap, (tenant.finish_tag, self._sequence, tenant.name))

    def _subtract(self, tenant: TenantQueue, request: QueuedRequest) -> None:
        tenant.length -= 1
        tenant.cost = max(0.0, tenant.cost - request.cost)
        self.length -= 1
        self.cost = max(0.0, self.cost - request.cost)

    def _close(self, tenant: TenantQueue) -> None:
        """Forget a tenant with nothing queued, except for a finish tag ahead of virtual time."""
        self.tenants.pop(tenant.name, None)
        self._keep_finish_tag(tenant.name, tenant.finish_tag + tenant.correction)
        if len(self._heap) > 2 * len(self.tenants) + MAX_STALE_ENTRIES:
            self._heap = [
                entry for entry in self._heap if entry[2] in self.tenants and self.tenants[entry[2]].in_heap
            ]
            heapify(self._heap)

    def _keep_finish_tag(self, tenant: str, finish_tag: float) -> None:
        """Keep a finish tag that is ahead of virtual time; beyond the bound keep the largest half."""
        if finish_tag <= self.virtual_time:
            self.finish_tags.pop(tenant, None)
            return
        self.finish_tags[tenant] = finish_tag
        if len(self.finish_tags) <= self.max_tracked_tenants:
            return
        self.finish_tags = {name: tag for name, tag in self.finish_tags.items() if tag > self.virtual_time}
        if len(self.finish_tags) > self.max_tracked_tenants:
            by_tag = sorted(self.finish_tags.items(), key=lambda item: -item[1])
            self.finish_tags = dict(by_tag[: self.max_tracked_tenants // 2])
