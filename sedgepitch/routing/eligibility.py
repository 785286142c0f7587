"""Whether an endpoint may be sent a request now, by list, ramps, ejection, queueing delay and headroom."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.concurrency_limit import ConcurrencyLimits
from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.messages import Idempotency
from sedgepitch.routing.outlier_detection import OutlierDetection
from sedgepitch.routing.records import Endpoint, RoutedRequest
from sedgepitch.routing.slow_start import SlowStart
from sedgepitch.routing.state import RouterState


@dataclass(slots=True, eq=False)
class Eligibility:
    """Asks each part that may keep an endpoint from a request."""

    state: RouterState
    slow_start: SlowStart
    outlier_detection: OutlierDetection
    latencies: LatencyEstimates
    limits: ConcurrencyLimits

    def may_send(self, endpoint: Endpoint, request: RoutedRequest, limit_share: float = 1.0) -> bool:
        """Return whether the request may go to the endpoint within that share of its concurrency limit."""
        if not self.slow_start.accepts(endpoint, request):
            return False
        if endpoint.ejection_reason is not None:
            return self._may_try(endpoint, request)
        if self.state.now + self.latencies.queueing_delay(endpoint) > request.useful_until:
            return False
        return self.limits.has_headroom(endpoint, request, limit_share)

    def _may_try(self, endpoint: Endpoint, request: RoutedRequest) -> bool:
        # A trial is a copy of what others serve, unless that cannot be or no healthy endpoint takes it.
        may_be_copied = (
            request.request_class.idempotency is Idempotency.IDEMPOTENT and self.state.settings.hedging
        )
        if may_be_copied and not request.needs_trial:
            return False
        return self.outlier_detection.trial_is_due(endpoint)
