"""Half-open trials: test ejected endpoints whose ejection time is over, so that they can return."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.attempts import Attempts
from sedgepitch.routing.freshness import FreshnessRules
from sedgepitch.routing.health_checks import HealthChecks
from sedgepitch.routing.messages import Idempotency
from sedgepitch.routing.outlier_detection import OutlierDetection
from sedgepitch.routing.records import Endpoint, ReplicaGroup, RoutedRequest
from sedgepitch.routing.retries import Retries
from sedgepitch.routing.slow_start import SlowStart
from sedgepitch.routing.state import RouterState

CHECK_INTERVAL_S = 0.25  # minimum time between two health checks of an ejected endpoint


@dataclass(slots=True, eq=False)
class HalfOpenTrials:
    """Starts trials with copies of idempotent requests that are in flight at another endpoint.

    A failed trial therefore does not affect the request.
    """

    state: RouterState
    outlier_detection: OutlierDetection
    slow_start: SlowStart
    freshness: FreshnessRules
    health_checks: HealthChecks
    retries: Retries
    attempts: Attempts

    def start_due(self, group: ReplicaGroup, request: RoutedRequest) -> None:
        """Test the group's ejected endpoints that are due, by a copy of the request or by a health check.

        Endpoints in a zone without traffic are skipped.
        """
        now = self.state.now
        for endpoint in list(group.ejected.values()):
            if (
                now < endpoint.ejected_until
                or endpoint.trial
                or self.slow_start.zone_has_no_traffic(endpoint)
            ):
                continue
            may_copy = self._may_copy(request, endpoint)
            due = self.outlier_detection.trial_is_due(endpoint)
            if may_copy and due and self.freshness.fresh_enough(endpoint, request):
                self.attempts.send(request, endpoint)
            elif (may_copy or not due) and now - endpoint.health_checked_at >= CHECK_INTERVAL_S:
                self.health_checks.check(endpoint)

    def _may_copy(self, request: RoutedRequest, endpoint: Endpoint) -> bool:
        if not request.in_flight or endpoint in request.attempts:
            return False
        if request.request_class.idempotency is not Idempotency.IDEMPOTENT:
            return False
        return self.retries.may_attempt(request, endpoint)
