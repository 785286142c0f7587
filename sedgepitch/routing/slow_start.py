"""Slow start: limits the requests to an endpoint while it warms up or its zone has a reduced weight."""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.messages import EndpointState, Freshness
from sedgepitch.routing.records import Endpoint, RoutedRequest
from sedgepitch.routing.state import RouterState

# Load of a warming endpoint relative to its present capacity, as a share of the configured overload factor.
OVERLOAD_SHARE = 0.5
GOLDEN_RATIO = 0.618034  # its fractional part; derives a separate draw per endpoint from a request's draw


@dataclass(slots=True, eq=False)
class SlowStart:
    """Applies the warm-up ramp of endpoints and the weights of zones."""

    state: RouterState
    zone_weights: dict[str, float] = field(default_factory=dict)
    """For each zone, the share of its usual reads that it may serve; 1 for a zone that is not listed."""

    def set_zone_weights(self, weights: dict[str, float]) -> set[str]:
        """Replace the zone weights, without those of 1; return the zones whose weight has risen from 0."""
        previous = self.zone_weights
        self.zone_weights = weights
        return {zone for zone, weight in previous.items() if weight <= 0.0 < weights.get(zone, 1.0)}

    def started(self, endpoint: Endpoint, at: float) -> None:
        """Start the warm-up of an endpoint whose process started at that time."""
        endpoint.warming_since = at

    def zone_has_no_traffic(self, endpoint: Endpoint) -> bool:
        """Return whether the weight of the endpoint's zone is 0."""
        return self.zone_weights.get(endpoint.zone, 1.0) <= 0.0

    def capacity_share(self, endpoint: Endpoint) -> float:
        """Return the share of its capacity, from 0 to 1, that an endpoint has at least by now."""
        rules = self.state.settings.rules
        initial, window = rules.initial_capacity, rules.slow_start_window
        age = self.state.now - endpoint.warming_since
        return 1.0 if age >= window else initial + (1.0 - initial) * max(0.0, age) / window

    def accepts(self, endpoint: Endpoint, request: RoutedRequest) -> bool:
        """Return whether the endpoint's listed state, zone weight and warm-up allow it to get the request.

        A draining endpoint gets no new requests. For a warming endpoint, the request's sampling draw decides
        rather than a count, so that many proxy instances in total send it no more than its share.
        """
        state = self.state
        if endpoint.state is not EndpointState.UP or not self.zone_accepts(endpoint, request):
            return False
        rules = state.settings.rules
        if endpoint.warming_since + rules.slow_start_window <= state.now:
            return True
        share = OVERLOAD_SHARE * rules.overload_factor * self.capacity_share(endpoint)
        if not request.primary_only:
            share /= sum(other.state is EndpointState.UP for other in request.group.endpoints)
        return (request.sampling_draw + endpoint.id * GOLDEN_RATIO) % 1.0 < share

    def zone_accepts(self, endpoint: Endpoint, request: RoutedRequest) -> bool:
        """Return whether the weight of the endpoint's zone allows it to get the request.

        The weight does not apply to requests that only the primary can serve, or to session reads at the
        primary.
        """
        if request.primary_only:
            return True
        if endpoint is request.group.primary and request.request_class.freshness is Freshness.SESSION:
            return True
        return request.sampling_draw < self.zone_weights.get(endpoint.zone, 1.0)
