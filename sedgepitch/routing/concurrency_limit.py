"""Concurrency limits: how many of this instance's requests an endpoint may have in flight.

Also decides which optional reads the primary serves. A response that indicates overload multiplies the
endpoint's limit by a factor below one, a response in time increases it if at least half of it is in use. The
limit is checked before every attempt except half-open trials, but it matters mainly when responses are late,
because otherwise it grows with the traffic. A limit below one is the fraction of time in which one request
may be in flight. It is applied through each request's sampling draw, so that many proxy instances with little
traffic respect it in total.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.messages import AttemptResult, EndpointState, RequestClass
from sedgepitch.routing.records import Endpoint, RoutedRequest
from sedgepitch.routing.state import RouterState

LIMIT_MIN = 0.1  # requests in flight; below one, a fraction of time
INITIAL_LIMIT = 48.0  # requests in flight at an endpoint, all proxy instances together
INITIAL_PRIMARY_READS = 24.0  # likewise for reads at a primary that another endpoint could serve
PRIMARY_READ_SHARE_MIN = 0.1
DECREASE_FACTOR = 0.75
INCREASE_FACTOR = 0.025
INCREASE_MIN = 0.04  # lets a limit below one recover within a few responses
LATE_RATIO = 0.8  # latency over the objective above which a response indicates an overloaded endpoint
LOADED_RATIO = 0.3  # mean latency ratio up to which a late response is attributed to an expensive request
HEADROOM_RATIO = 0.5  # mean latency ratio above which limits shrink and a primary takes no optional reads
LOWEST_PRIORITY_SHARE = 0.7  # share of a limit open to the class with the lowest priority per unit of work
CONNECT_FAILURE_MEMORY = 0.9  # decay of the count of connect failures with each served attempt
CONNECT_FAILURES_TOLERATED = 1.2  # decayed count above which the endpoint's connection table counts as full


@dataclass(slots=True, eq=False)
class ConcurrencyLimits:
    """Adapts and applies the limits of all endpoints."""

    state: RouterState
    latencies: LatencyEstimates
    initial_limit: float = field(init=False)
    initial_primary_read_share: float = field(init=False)

    def __post_init__(self) -> None:
        """Divide the initial limits among the proxy instances.

        Each instance may have at least one request of any class in flight at an endpoint. With a smaller
        limit, which is a fraction of time, a large idle deployment would reject requests.
        """
        instances = max(1, self.state.settings.proxy_instances)
        self.initial_limit = max(1.0 / LOWEST_PRIORITY_SHARE, INITIAL_LIMIT / instances)
        share = max(PRIMARY_READ_SHARE_MIN, INITIAL_PRIMARY_READS / instances)
        self.initial_primary_read_share = min(1.0, share)

    def limit_share(self, request_class: RequestClass) -> float:
        """Return the share of a limit open to the class, by priority weight per second of service time."""
        service_time = self.latencies.service_time
        classes = self.state.settings.classes
        highest = max(c.priority_weight / service_time[c.name] for c in classes)
        own = (1.0 - LOWEST_PRIORITY_SHARE) * request_class.priority_weight / service_time[request_class.name]
        return LOWEST_PRIORITY_SHARE + own / highest

    def has_headroom(self, endpoint: Endpoint, request: RoutedRequest, share: float) -> bool:
        """Return whether one more request fits within the given share of the endpoint's limit.

        If the endpoint has not responded recently and its zone responds late, the limit is reduced. For
        requests that only the primary can serve, only requests of that kind count as in flight, so that reads
        which other endpoints could serve take no capacity from them.
        """
        now = self.state.now
        zone_ratio = 0.0
        if now - endpoint.last_answer_at > self.state.latency_objective:
            zone_ratio = self.latencies.zone_ratio.get(endpoint.zone, 0.0)
        zone_factor = max(LIMIT_MIN, min(1.0, (1.0 - zone_ratio) / (1.0 - HEADROOM_RATIO)))
        allowed = endpoint.concurrency_limit * request.limit_share * share * zone_factor
        in_flight = len(endpoint.in_flight)
        if request.primary_only:
            in_flight = sum(other.request.primary_only for other in endpoint.in_flight.values())
            # The draw is fixed for a request, so with a limit below one it alone could keep the request
            # waiting until its deadline. Admit it once the endpoint has been unused for long enough.
            unused_for = now - endpoint.last_sent_at
            if not in_flight and allowed < 1.0 and unused_for * allowed > self.latencies.typical:
                return True
        return in_flight + request.sampling_draw < allowed

    def primary_for_read(self, request: RoutedRequest) -> Endpoint | None:
        """Return the primary if it has headroom for a read that another endpoint could serve as well.

        The request's sampling draw limits the primary to its share of such reads, as long as another endpoint
        of the group is up.
        """
        primary = request.group.primary
        if primary is None or primary in request.attempts or primary.role_unconfirmed:
            return None
        loaded = self.latencies.latency_ratio(primary) > HEADROOM_RATIO
        if primary.concurrency_limit < 1.0 or loaded:
            return None
        if request.sampling_draw > primary.primary_read_share:
            endpoints = request.group.endpoints
            if any(other is not primary and other.state is EndpointState.UP for other in endpoints):
                return None
        return primary

    def observe(
        self,
        endpoint: Endpoint,
        request_class: RequestClass,
        result: AttemptResult,
        elapsed: float,
        mean_ratio: float,
    ) -> None:
        """Adapt the limit to the result of one attempt that took `elapsed` seconds.

        `mean_ratio` is the endpoint's mean latency ratio before this attempt. The limit decreases at most
        once per service time of the class, because the attempts in flight at that time reflect the same
        overload.
        """
        overloaded = result is AttemptResult.OVERLOADED
        late = result is not AttemptResult.OK or elapsed > LATE_RATIO * request_class.latency_objective
        if not late:
            self._increase(endpoint)
            return
        since_decrease = self.state.now - endpoint.limit_reduced_at
        recently = since_decrease <= self.latencies.service_time[request_class.name]
        if (mean_ratio > LOADED_RATIO or overloaded) and not recently:
            self._decrease(endpoint)

    def _decrease(self, endpoint: Endpoint) -> None:
        in_use = min(endpoint.concurrency_limit, len(endpoint.in_flight) + 1.0)
        endpoint.concurrency_limit = max(LIMIT_MIN, in_use * DECREASE_FACTOR)
        endpoint.limit_reduced_at = self.state.now
        if self.initial_primary_read_share < 1.0:
            share = endpoint.primary_read_share * DECREASE_FACTOR
            endpoint.primary_read_share = max(PRIMARY_READ_SHARE_MIN, share)

    def _increase(self, endpoint: Endpoint) -> None:
        if len(endpoint.in_flight) + 1 > endpoint.concurrency_limit / 2:
            endpoint.concurrency_limit += max(INCREASE_MIN, INCREASE_FACTOR * endpoint.concurrency_limit)
            endpoint.primary_read_share = min(1.0, endpoint.primary_read_share + INCREASE_MIN)

    def connect_failed(self, endpoint: Endpoint) -> None:
        """Count a failed connect to a running process; after repeated failures, lower the limit.

        The connection table of the process may be full.
        """
        endpoint.recent_connect_failures += 1.0
        if endpoint.recent_connect_failures > CONNECT_FAILURES_TOLERATED:
            endpoint.concurrency_limit = max(LIMIT_MIN, len(endpoint.in_flight) * DECREASE_FACTOR)

    def answered(self, endpoint: Endpoint) -> None:
        """Decay the count of connect failures after a served attempt."""
        endpoint.recent_connect_failures *= CONNECT_FAILURE_MEMORY
