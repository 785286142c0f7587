"""How much an endpoint may be sent while it warms up, and while its zone is left or recovers."""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.messages import EndpointState, Freshness
from sedgepitch.routing.records import Endpoint, RoutedRequest
from sedgepitch.routing.state import RouterState

# Share of the stated overload multiple that a warming endpoint is sent, of the capacity that it has by now.
OVERLOAD_SHARE = 0.5
GOLDEN_RATIO = 0.618034  # its fractional part; gives one request a draw of its own at each endpoint


@dataclass(slots=True, eq=False)
class SlowStart:
    """The warm-up ramp of endpoints and the recovery ramp of zones."""

    state: RouterState
    zone_weights: dict[str, float] = field(default_factory=dict)
    """By zone: the share of its reads that it may have; zones that are not named have all."""

    def set_zone_weights(self, weights: dict[str, float]) -> set[str]:
        """Take new weights of zones below 1; returns the zones that had no traffic and have some now."""
        held = self.zone_weights
        self.zone_weights = weights
        return {zone for zone, weight in held.items() if weight <= 0.0 < weights.get(zone, 1.0)}

    def started(self, endpoint: Endpoint, at: float) -> None:
        """The endpoint's process started at that time, so it warms up from then on."""
        endpoint.warming_since = at

    def zone_is_left(self, endpoint: Endpoint) -> bool:
        """Return whether no reads go to the endpoint's zone."""
        return self.zone_weights.get(endpoint.zone, 1.0) <= 0.0

    def capacity_share(self, endpoint: Endpoint) -> float:
        """Return the share of its capacity that an endpoint surely has by now, from 0 to 1."""
        rules = self.state.settings.rules
        initial, window = rules.initial_capacity, rules.slow_start_window
        age = self.state.now - endpoint.warming_since
        return 1.0 if age >= window else initial + (1.0 - initial) * max(0.0, age) / window

    def accepts(self, endpoint: Endpoint, request: RoutedRequest) -> bool:
        """Return whether the list, the zone's weight and the warm-up ramp let the endpoint have the request.

        Nothing new goes to a draining endpoint. A warming one gets its share of the requests by chance and
        not by count, so that many proxy instances together send that share too.
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
        """Return whether the zone's weight lets the endpoint have the request.

        Only reads that could go elsewhere are weighed; the primary does what only it can do.
        """
        if request.primary_only:
            return True
        if endpoint is request.group.primary and request.request_class.freshness is Freshness.SESSION:
            return True
        return request.sampling_draw < self.zone_weights.get(endpoint.zone, 1.0)
