"""Eligibility: whether a request may be sent to an endpoint now.

Considers the endpoint list, slow start and zone weights, ejection, the queueing delay and headroom.
"""

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
    """Combines the checks that can rule out an endpoint for a request."""

    state: RouterState
    slow_start: SlowStart
    outlier_detection: OutlierDetection
    latencies: LatencyEstimates
    limits: ConcurrencyLimits

    def may_send(self, endpoint: Endpoint, request: RoutedRequest, limit_share: float = 1.0) -> bool:
        """Return whether the endpoint can take the request within that share of its concurrency limit."""
        if not self.slow_start.accepts(endpoint, request):
            return False
        if endpoint.ejection_reason is not None:
            return self._may_start_trial(endpoint, request)
        if self.state.now + self.latencies.queueing_delay(endpoint) > request.useful_until:
            return False
        return self.limits.has_headroom(endpoint, request, limit_share)

    def _may_start_trial(self, endpoint: Endpoint, request: RoutedRequest) -> bool:
        # Trials normally use copies of requests that other endpoints serve. The request itself becomes the
        # trial only if it must not be copied, or if no healthy endpoint takes it.
        may_be_copied = (
            request.request_class.idempotency is Idempotency.IDEMPOTENT and self.state.settings.hedging
        )
        if may_be_copied and not request.needs_trial:
            return False
        return self.outlier_detection.trial_is_due(endpoint)
