"""The settings of admission control."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """The values that an operator may set; times in seconds."""

    tenant_weights: dict[str, float] = field(default_factory=dict)
    default_weight: float = 1.0  # of a tenant not in `tenant_weights`
    max_queued: int = 2000  # requests in all queues together
    max_waiting_in_router: int = 8  # admitted requests per pool that may wait for an endpoint
    max_admitted_per_turn: int = 32  # of the router, per pool, while no request waits in the router
    max_queueing_share: float = 0.4  # of a request's time left; longest queueing time
    max_tracked_tenants: int = 4096  # idle tenants ahead of their share that are remembered
    max_reservations: int = 10_000  # per pool; also the most remembered keys of rejected requests
    reservation_horizon: float = 5.0  # how far ahead capacity is reserved
    retry_budget_share: float = 0.2  # retries without a reservation over a tenant's first attempts
