"""Health checks: each requests a load report from an endpoint, with its position, role and load."""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.messages import CheckHealth, EndpointState, Freshness
from sedgepitch.routing.records import Endpoint
from sedgepitch.routing.state import RouterState

# Minimum time between two position checks of an endpoint, as a share of the staleness bound.
INTERVAL_SHARE_OF_BOUND = 0.25
INTERVAL_SHARE_OF_LAG = 0.25  # likewise for an endpoint that lags beyond the bound, as a share of its lag
LAG_MAX_S = 5.0  # lag above which the interval does not grow further


@dataclass(slots=True, eq=False)
class HealthChecks:
    """Starts health checks, at most one at a time for each endpoint."""

    state: RouterState
    staleness_bound: float = field(init=False)
    """The tightest staleness bound of any class, in seconds."""

    def __post_init__(self) -> None:
        """Find the tightest staleness bound; fall back to the latency objective if no class has one."""
        classes = self.state.settings.classes
        bounds = [c.max_staleness for c in classes if c.freshness is Freshness.BOUNDED]
        self.staleness_bound = min(bounds, default=self.state.latency_objective)

    def check(self, endpoint: Endpoint) -> None:
        """Start a health check, unless the platform has none, one is pending, or the endpoint is not up."""
        if not self.state.settings.health_checks or endpoint.health_check_pending:
            return
        if endpoint.state is EndpointState.UP:
            endpoint.health_check_pending = True
            endpoint.health_checked_at = self.state.now
            self.state.actions.append(CheckHealth(endpoint.id))

    def finished(self, endpoint: Endpoint) -> None:
        """Mark the endpoint's health check as finished, whatever its result."""
        endpoint.health_check_pending = False

    def position_check_due(self, endpoint: Endpoint) -> bool:
        """Return whether a position check of the endpoint is due; these are rarer if it lags far behind."""
        if endpoint.health_check_pending:
            return False
        now = self.state.now
        lag = now - endpoint.position
        interval = INTERVAL_SHARE_OF_BOUND * self.staleness_bound
        if lag > self.staleness_bound:
            interval = max(interval, INTERVAL_SHARE_OF_LAG * min(lag, LAG_MAX_S))
        return now - endpoint.health_checked_at >= interval
