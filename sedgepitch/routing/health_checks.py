"""When an endpoint is asked for its report, which gives its position, role and load."""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.messages import CheckHealth, EndpointState, Freshness
from sedgepitch.routing.records import Endpoint
from sedgepitch.routing.state import RouterState

# Least time between two checks for a position, as a share of the staleness bound.
INTERVAL_SHARE_OF_BOUND = 0.25
INTERVAL_SHARE_OF_LAG = 0.25  # the same for an endpoint that is behind the bound, as a share of its lag
LAG_MAX_S = 5.0  # lag beyond which an endpoint is asked no more rarely


@dataclass(slots=True, eq=False)
class HealthChecks:
    """Asks endpoints for their reports, one check at a time each."""

    state: RouterState
    staleness_bound: float = field(init=False)
    """The tightest staleness bound of any class, in seconds."""

    def __post_init__(self) -> None:
        """Find the tightest bound; where no class has one, the latency objective stands in."""
        classes = self.state.settings.classes
        bounds = [c.max_staleness for c in classes if c.freshness is Freshness.BOUNDED]
        self.staleness_bound = min(bounds, default=self.state.latency_objective)

    def check(self, endpoint: Endpoint) -> None:
        """Check the endpoint, unless the platform has no health checks or one is under way."""
        if not self.state.settings.health_checks or endpoint.health_check_pending:
            return
        if endpoint.state is EndpointState.UP:
            endpoint.health_check_pending = True
            endpoint.health_checked_at = self.state.now
            self.state.actions.append(CheckHealth(endpoint.id))

    def finished(self, endpoint: Endpoint) -> None:
        """The endpoint's check has ended, whatever it found."""
        endpoint.health_check_pending = False

    def position_check_due(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint may be asked for its position; one far behind is asked more rarely."""
        if endpoint.health_check_pending:
            return False
        now = self.state.now
        lag = now - endpoint.position
        interval = INTERVAL_SHARE_OF_BOUND * self.staleness_bound
        if lag > self.staleness_bound:
            interval = max(interval, INTERVAL_SHARE_OF_LAG * min(lag, LAG_MAX_S))
        return now - endpoint.health_checked_at >= interval
