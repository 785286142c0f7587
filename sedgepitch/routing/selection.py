"""Selects the endpoint for a request: first the side of its replica group, then an endpoint of that side."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

from sedgepitch.routing.concurrency_limit import ConcurrencyLimits
from sedgepitch.routing.eligibility import Eligibility
from sedgepitch.routing.freshness import FreshnessRules
from sedgepitch.routing.health_checks import HealthChecks
from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.messages import Freshness, StaleReadHandling
from sedgepitch.routing.primary_discovery import PrimaryDiscovery
from sedgepitch.routing.records import Endpoint, ReadPreference, ReplicaGroup, RoutedRequest
from sedgepitch.routing.side_comparison import side_for_read
from sedgepitch.routing.slow_start import SlowStart
from sedgepitch.routing.state import RouterState

PRIMARY_LIMIT_SHARE = 0.7  # share of a primary's limit open to reads that prefer it; the rest is for writes
POSITION_CHECKS_MAX = 2  # position checks of replicas that one read may trigger before it is placed
POSITION_CHECK_MARGINS = 2.0  # remaining wait of a read, in answer margins, that such a check requires
LIKELY_REPLICAS = 2  # number of replicas from which such a check chooses
# Reads are spread over the number of endpoints at which each endpoint gets one read per this interval.
ENDPOINT_USE_INTERVAL_S = 0.5
ENDPOINTS_MIN = 2  # lower bound on that number of endpoints
OTHER_ZONE_PENALTY = 0.15  # added to the latency ratio of endpoints in other zones to break ties in load
# Expired positions are checked in advance if each endpoint gets more reads than this per staleness bound.
READS_PER_POSITION_CHECK_MIN = 2.0


@dataclass(slots=True, eq=False)
class Selection:
    """Chooses endpoints; it does not send requests."""

    state: RouterState
    eligibility: Eligibility
    slow_start: SlowStart
    latencies: LatencyEstimates
    freshness: FreshnessRules
    limits: ConcurrencyLimits
    health_checks: HealthChecks
    primary_discovery: PrimaryDiscovery

    def choose(self, request: RoutedRequest) -> Endpoint | None:
        """Return the endpoint for the next attempt, or None if no endpoint can take the request now."""
        if request.primary_only:
            return self._choose_primary(request)
        side = side_for_read(self.state, request)
        primary = self.limits.primary_for_read(request)
        preferred = primary if side is ReadPreference.PRIMARY else None
        if preferred is not None and self.eligibility.may_send(preferred, request, PRIMARY_LIMIT_SHARE):
            return preferred
        replica = self.pick_replica(request)
        if replica is not None:
            return replica
        if self._check_position_first(request):
            return None
        if primary is not None and self.eligibility.may_send(primary, request):
            return primary
        return None

    def _choose_primary(self, request: RoutedRequest) -> Endpoint | None:
        # A write may go to an unconfirmed primary, or search for the primary; a read waits in both cases.
        primary = request.group.primary
        writes = request.request_class.freshness is Freshness.WRITE
        if primary is None:
            return self.primary_discovery.next_candidate(request) if writes else None
        confirmed = writes or not primary.role_unconfirmed
        if confirmed and self.eligibility.may_send(primary, request):
            return primary
        if writes and primary.ejection_reason is not None:
            return self.primary_discovery.next_candidate(request)
        return None

    def pick_replica(self, request: RoutedRequest, limit_share: float = 1.0) -> Endpoint | None:
        """Return a replica that is eligible and fresh enough, by the power of two choices.

        Two replicas are drawn, weighted by size and warm-up, and the less loaded one is returned. If no
        replica is known to be fresh enough and endpoints check freshness themselves, return the eligible
        replica with the most recent position.
        """
        eligible, qualified = self._qualify(request, limit_share)
        if qualified:
            capacity_share = self.slow_start.capacity_share
            weights = [endpoint.size * capacity_share(endpoint) for endpoint in qualified]
            return min(self.state.random.choices(qualified, weights, k=2), key=self.load)
        if self.state.settings.stale_read_handling is StaleReadHandling.SERVE:
            return None
        return max(eligible, key=lambda endpoint: endpoint.position, default=None)

    def _qualify(self, request: RoutedRequest, limit_share: float) -> tuple[list[Endpoint], list[Endpoint]]:
        # Returns the eligible replicas and those of them that are fresh enough, in order of preference. The
        # search stops at the number of endpoints over which the instance spreads its reads.
        group, attempts = request.group, request.attempts
        enough = self._endpoints_to_spread_over(group)
        interval = group.request_interval * len(group.endpoints) * READS_PER_POSITION_CHECK_MIN
        checks_in_advance = interval < self.health_checks.staleness_bound
        may_send, fresh_enough = self.eligibility.may_send, self.freshness.fresh_enough
        eligible, qualified = [], []
        for endpoint in group.endpoints:
            if endpoint is group.primary or endpoint in attempts:
                continue
            if not may_send(endpoint, request, limit_share):
                continue
            eligible.append(endpoint)
            if fresh_enough(endpoint, request):
                qualified.append(endpoint)
                if len(qualified) == enough:
                    break
            elif checks_in_advance and self.health_checks.position_check_due(endpoint):
                self.health_checks.check(endpoint)
        return eligible, qualified

    def _endpoints_to_spread_over(self, group: ReplicaGroup) -> int:
        # With little traffic the first endpoints in the order of preference get all reads, so that their
        # connections stay in use.
        interval = max(group.request_interval, self.state.settings.tick)
        return max(ENDPOINTS_MIN, int(ENDPOINT_USE_INTERVAL_S / interval))

    def load(self, endpoint: Endpoint) -> tuple[float, float]:
        """Return the sort key for load: own requests in flight relative to size and warm-up.

        Ties are broken by the latency ratio, plus a penalty for endpoints in other zones.
        """
        capacity = endpoint.size * self.slow_start.capacity_share(endpoint)
        penalty = OTHER_ZONE_PENALTY * (endpoint.zone != self.state.settings.zone)
        return len(endpoint.in_flight) / capacity, self.latencies.latency_ratio(endpoint) + penalty

    def _check_position_first(self, request: RoutedRequest) -> bool:
        # Starts a position check of a replica that is likely to be fresh enough, before the primary serves
        # the read. Returns whether the read should wait for the result.
        settings, state = self.state.settings, self.state
        if not settings.health_checks or not settings.reports_position:
            return False
        if request.position_checks >= POSITION_CHECKS_MAX or request.request_class.freshness is Freshness.ANY:
            return False
        if state.now + POSITION_CHECK_MARGINS * state.answer_margin >= request.wait_until:
            return False
        max_staleness = self.freshness.max_staleness(request)
        if max_staleness <= 0.0:  # every replica lags behind the present state
            return False
        likely = self._likely_replicas(request, max_staleness)
        if likely:
            request.position_checks += 1
            self.health_checks.check(min(likely, key=self.load))
        return bool(likely)

    def _likely_replicas(self, request: RoutedRequest, max_staleness: float) -> list[Endpoint]:
        excluded = [request.group.primary, *request.attempts]
        may_send, check_due = self.eligibility.may_send, self.health_checks.position_check_due
        others = (e for e in request.group.endpoints if e not in excluded and may_send(e, request))
        likely = (e for e in others if e.replication_lag < max_staleness or check_due(e))
        return list(islice(likely, LIKELY_REPLICAS))
