"""How many own requests an endpoint may have in flight, and which reads a primary takes.

The limit of an endpoint falls by a factor with an answer that shows overload and grows with one in time. It
is always counted but felt only where answers come late. A limit below one is a share of the time, given out
by each request's draw: many proxy instances with little traffic together keep to it too.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.messages import AttemptResult, EndpointState, RequestClass
from sedgepitch.routing.records import Endpoint, RoutedRequest
from sedgepitch.routing.state import RouterState

LIMIT_MIN = 0.1  # requests in flight, or a share of the time
INITIAL_LIMIT = 48.0  # requests in flight at an endpoint, of all proxy instances together
INITIAL_PRIMARY_READS = 24.0  # the same for reads at a primary that another endpoint could serve
PRIMARY_READ_SHARE_MIN = 0.1
DECREASE_FACTOR = 0.75
INCREASE_FACTOR = 0.025
INCREASE_MIN = 0.04  # a limit below one recovers within few answers
LATE_RATIO = 0.8  # latency over the objective above which an answer shows that the endpoint is too busy
LOADED_RATIO = 0.3  # mean latency ratio up to which a late answer is put down to a heavy request
HEADROOM_RATIO = 0.5  # mean latency ratio from which on limits ease off and a primary takes no open reads
LOWEST_PRIORITY_SHARE = 0.7  # share of a limit that the class of the lowest priority per work may fill
CONNECT_FAILURE_MEMORY = 0.9  # weight of each failure to connect after one more answer
CONNECT_FAILURES_TOLERATED = 1.2  # decayed failures above which an endpoint holds all connections it accepts


@dataclass(slots=True, eq=False)
class ConcurrencyLimits:
    """Adapts and applies the limits of all endpoints."""

    state: RouterState
    latencies: LatencyEstimates
    initial_limit: float = field(init=False)
    initial_primary_read_share: float = field(init=False)

    def __post_init__(self) -> None:
        """Share out the initial figures among the proxy instances.

        Each instance may have one request of any class at an endpoint: below that the limit would be a share
        of the time, and a large idle deployment would reject requests.
        """
        instances = max(1, self.state.settings.proxy_instances)
        self.initial_limit = max(1.0 / LOWEST_PRIORITY_SHARE, INITIAL_LIMIT / instances)
        share = max(PRIMARY_READ_SHARE_MIN, INITIAL_PRIMARY_READS / instances)
        self.initial_primary_read_share = min(1.0, share)

    def limit_share(self, request_class: RequestClass) -> float:
        """Return the share of a limit that the class may fill, by its priority weight per second of work."""
        service_time = self.latencies.service_time
        classes = self.state.settings.classes
        best = max(c.priority_weight / service_time[c.name] for c in classes)
        own = (1.0 - LOWEST_PRIORITY_SHARE) * request_class.priority_weight / service_time[request_class.name]
        return LOWEST_PRIORITY_SHARE + own / best

    def has_headroom(self, endpoint: Endpoint, request: RoutedRequest, share: float) -> bool:
        """Return whether the endpoint may have one more request within that share of its limit.

        A zone that answers late eases off the limits of endpoints that gave no answer of late. What only the
        primary serves counts its own kind there: reads that may go elsewhere take no room from it.
        """
        now = self.state.now
        zone_ratio = 0.0
        if now - endpoint.last_answer_at > self.state.latency_objective:
            zone_ratio = self.latencies.zone_ratio.get(endpoint.zone, 0.0)
        ease = max(LIMIT_MIN, min(1.0, (1.0 - zone_ratio) / (1.0 - HEADROOM_RATIO)))
        allowed = endpoint.concurrency_limit * request.limit_share * share * ease
        in_flight = len(endpoint.in_flight)
        if request.primary_only:
            in_flight = sum(other.request.primary_only for other in endpoint.in_flight.values())
            # The draw is fixed: without the share of the time a request would wait until its deadline.
            unused_for = now - endpoint.last_sent_at
            if not in_flight and allowed < 1.0 and unused_for * allowed > self.latencies.typical:
                return True
        return in_flight + request.sampling_draw < allowed

    def primary_for_read(self, request: RoutedRequest) -> Endpoint | None:
        """Return the primary where it has headroom for a read that another endpoint may serve too.

        Its share of such reads is given out by the request's draw, and only while another endpoint is up.
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
        """Adapt the limit to one attempt that took `elapsed` seconds.

        `mean_ratio` is the endpoint's latency ratio before it. At most one decrease is made within a service
        time of the class, as the attempts in flight meanwhile tell of the same moment.
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
        """Count a failure to connect to a process that runs: its table of connections may be full."""
        endpoint.recent_connect_failures += 1.0
        if endpoint.recent_connect_failures > CONNECT_FAILURES_TOLERATED:
            endpoint.concurrency_limit = max(LIMIT_MIN, len(endpoint.in_flight) * DECREASE_FACTOR)

    def answered(self, endpoint: Endpoint) -> None:
        """An answer was served: earlier failures to connect count less."""
        endpoint.recent_connect_failures *= CONNECT_FAILURE_MEMORY
