"""Who is next: weighted fair shares between tenants, worth first within one, then fair between its clients.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) twice over. A tenant's request gets the start tag
max(virtual time, the tenant's last finish tag); the smallest goes first, and its start tag is the new
virtual time. The finish tag is cost / weight later and is corrected when the true cost is known. A tenant
whose finish tag is not ahead of virtual time is as one never seen, so only those ahead are remembered: the
memory is bounded by what waits, and by `most_debts` tenants whose last requests went ahead of their share.
When that bound is passed, the smallest debt is forgiven.

Over any time in which two tenants both wait, their costs by weight differ by at most one request each and
what of theirs was inside at wrong estimates (the theorem of the paper, with corrections delayed until the
answer).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush


@dataclass(slots=True, eq=False)
class Held:
    """One request that waits. `cost` is in seconds of a member's time."""

    id: int
    tenant: str
    client: str
    priority_weight: float
    cost: float
    weight: float
    gone: bool = False
    start: float = 0.0


@dataclass(slots=True, eq=False)
class _Clients:
    """The waiting requests of one worth of one tenant: fair between clients by cost."""

    time: float = 0.0
    finish: dict[str, float] = field(default_factory=dict)
    queues: dict[str, deque[Held]] = field(default_factory=dict)
    heads: list[tuple[float, int, str]] = field(default_factory=list)

    def push(self, held: Held) -> None:
        queue = self.queues.get(held.client)
        if queue is None:
            queue = self.queues[held.client] = deque()
            start = max(self.time, self.finish.get(held.client, 0.0))
            heappush(self.heads, (start, held.id, held.client))
        queue.append(held)

    def pop(self) -> Held | None:
        while self.heads:
            start, _, client = heappop(self.heads)
            queue = self.queues[client]
            while queue and queue[0].gone:
                queue.popleft()
            if not queue:
                del self.queues[client]
                self.finish.pop(client, None)
                continue
            held = queue.popleft()
            self.time = max(self.time, start)
            self.finish[client] = start + held.cost
            if queue:
                heappush(self.heads, (self.finish[client], queue[0].id, client))
            else:
                del self.queues[client]
                if len(self.finish) > 2 * len(self.queues) + 64:
                    self.finish = {c: f for c, f in self.finish.items() if f > self.time or c in self.queues}
            return held
        return None


@dataclass(slots=True, eq=False)
class _Tenant:
    """The waiting requests of one tenant, by worth."""

    name: str
    weight: float
    finish: float
    levels: dict[float, _Clients] = field(default_factory=dict)
    waiting: int = 0
    cost: float = 0.0  # of all that waits
    in_heap: bool = False
    correction: float = 0.0  # to the finish tag, for what lately turned out to cost more or less

    def pop(self) -> Held | None:
        for priority_weight in sorted(self.levels, reverse=True):
            held = self.levels[priority_weight].pop()
            if held is not None:
                return held
            del self.levels[priority_weight]
        return None


class FairQueue:
    """All that waits for one room. Costs logarithmic time in the tenants that wait."""

    def __init__(self, most_debts: int) -> None:
        self.most_debts = most_debts
        self.time = 0.0
        self.tenants: dict[str, _Tenant] = {}  # those with something waiting
        self.debts: dict[
            str, float
        ] = {}  # finish tags ahead of virtual time, of tenants with nothing waiting
        self.heap: list[tuple[float, int, str]] = []
        self.waiting = 0
        self.cost = 0.0
        self.order = 0

    def push(self, held: Held) -> None:
        """Let a request wait."""
        tenant = self.tenants.get(held.tenant)
        if tenant is None:
            finish = max(self.time, self.debts.pop(held.tenant, 0.0))
            tenant = self.tenants[held.tenant] = _Tenant(held.tenant, held.weight, finish)
        tenant.weight = held.weight
        level = tenant.levels.get(held.priority_weight)
        if level is None:
            level = tenant.levels[held.priority_weight] = _Clients()
        level.push(held)
        tenant.waiting += 1
        tenant.cost += held.cost
        self.waiting += 1
        self.cost += held.cost
        self._arm(tenant)

    def pop(self) -> Held | None:
        """Take the next request, None where nothing waits."""
        while self.heap:
            start, _, name = heappop(self.heap)
            tenant = self.tenants.get(name)
            if tenant is None or not tenant.in_heap:
                continue
            tenant.in_heap = False
            held = tenant.pop()
            if held is None:
                self._close(tenant)
                continue
            self.time = max(self.time, start)
            held.start = start
            tenant.finish = start + held.cost / tenant.weight + tenant.correction
            tenant.correction = 0.0
            self._left(tenant, held)
            if tenant.waiting:
                self._arm(tenant)
            else:
                self._close(tenant)
            return held
        return None

    def drop(self, held: Held) -> None:
        """Take out a request that waits no more; its place is skipped when it comes."""
        if held.gone:
            return
        held.gone = True
        tenant = self.tenants.get(held.tenant)
        if tenant is not None:
            self._left(tenant, held)
            if not tenant.waiting:
                self._close(tenant)

    def served_at_once(self, tenant: str, cost: float, weight: float) -> None:
        """Charge a request that did not wait."""
        start = max(self.time, self.debts.get(tenant, 0.0))
        self.time = max(self.time, start)
        self._owe(tenant, start + cost / weight)

    def correct(self, tenant: str, difference: float, weight: float) -> None:
        """Charge a tenant for the difference between what was estimated and what it cost, in seconds."""
        known = self.tenants.get(tenant)
        if known is not None:
            known.correction += difference / weight  # counts from its next request on
        else:
            self._owe(tenant, max(self.time, self.debts.get(tenant, 0.0)) + difference / weight)

    def debt(self, tenant: str) -> float:
        """How far a tenant is ahead of its share, in seconds by weight."""
        known = self.tenants.get(tenant)
        return max(0.0, (known.finish if known else self.debts.get(tenant, 0.0)) - self.time)

    def largest(self) -> _Tenant | None:
        """The tenant with the most cost by weight waiting: the one to shed from when room runs out."""
        return max(self.tenants.values(), key=lambda t: t.cost / t.weight, default=None)

    def shed_from(self, tenant: _Tenant) -> Held | None:
        """Take out the tenant's least worthy request, the newest of its client with the most waiting."""
        for priority_weight in sorted(tenant.levels):
            level = tenant.levels[priority_weight]
            for client in sorted(level.queues, key=lambda c: -len(level.queues[c])):
                for held in reversed(level.queues[client]):
                    if not held.gone:
                        self.drop(held)
                        return held
        return None

    def _arm(self, tenant: _Tenant) -> None:
        if not tenant.in_heap:
            self.order += 1
            tenant.in_heap = True
            # Corrected to before virtual time, one that still waits catches up on what it was overcharged.
            heappush(self.heap, (tenant.finish, self.order, tenant.name))

    def _left(self, tenant: _Tenant, held: Held) -> None:
        tenant.waiting -= 1
        tenant.cost = max(0.0, tenant.cost - held.cost)
        self.waiting -= 1
        self.cost = max(0.0, self.cost - held.cost)

    def _close(self, tenant: _Tenant) -> None:
        self.tenants.pop(tenant.name, None)
        self._owe(tenant.name, tenant.finish + tenant.correction)
        if len(self.heap) > 2 * len(self.tenants) + 64:
            self.heap = [e for e in self.heap if e[2] in self.tenants and self.tenants[e[2]].in_heap]
            heapify(self.heap)

    def _owe(self, tenant: str, finish: float) -> None:
        if finish <= self.time:
            self.debts.pop(tenant, None)
            return
        self.debts[tenant] = finish
        if len(self.debts) > self.most_debts:
            self.debts = {t: f for t, f in self.debts.items() if f > self.time}
            if len(self.debts) > self.most_debts:
                keep = sorted(self.debts.items(), key=lambda kv: -kv[1])[: self.most_debts // 2]
                self.debts = dict(keep)
