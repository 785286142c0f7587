"""The router's records of endpoints, replica groups and pending requests.

All times are seconds on the proxy's clock, all durations are in seconds. Each field is changed only by the
module that the comment above it names; all other modules only read it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from sedgepitch.routing.messages import EndpointState, RequestClass

NEVER = float("inf")  # a time that is never reached; -NEVER is the time of an event that has not happened
POSITION_ROUNDING_S = 0.001  # positions and commit times are reported in whole ms, rounded either way

AttemptKey = tuple[int, int]
"""Identifies an attempt: the request's number and the attempt's number within the request."""


class EjectionReason(Enum):
    """Why an endpoint is ejected."""

    UNREACHABLE = "unreachable"
    """Connections to it fail."""
    SILENT = "silent"
    """Attempts get no response; also the reason of an unreachable endpoint once a health check succeeds."""
    FAILING = "failing"
    """Too many of its responses are errors."""


class ReadPreference(Enum):
    """The preferred side of a replica group for reads that either side may serve."""

    PRIMARY = "primary"
    SECONDARY = "secondary"


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt that has not ended."""

    sent_at: float
    request: RoutedRequest
    overtaken_from: int
    """Value of `Endpoint.answers` from which on later requests have overtaken this attempt."""


@dataclass(slots=True, eq=False)
class Endpoint:
    """State of one endpoint, from this proxy instance's own traffic, load reports and the endpoint list."""

    id: int
    group_id: int
    zone: str

    # endpoint_list
    size: float
    state: EndpointState
    started: float
    preference_weight: float
    """Random weight that sets the endpoint's place in this instance's order of preference, highest first."""
    periods_gone: int = 0

    # concurrency_limit
    concurrency_limit: float = 1.0
    """Maximum of this instance's requests in flight at the endpoint; below one, a fraction of time."""
    limit_reduced_at: float = -NEVER
    primary_read_share: float = 1.0
    """While it is the primary: its share of those reads that another endpoint could serve as well."""
    recent_connect_failures: float = 0.0

    # primary_discovery
    listed_as_primary: bool = False
    role_unconfirmed: bool = False
    """Whether it became the primary by the list alone, although it has reported a role before."""
    role_known_at: float = -NEVER

    # load_reports
    position: float = -NEVER
    """Time up to which it has applied every commit."""
    replication_lag: float = NEVER
    reported_load: float = 0.0
    load_reported_at: float = -NEVER

    # attempts
    in_flight: dict[AttemptKey, InFlightAttempt] = field(default_factory=dict)
    last_sent_at: float = -NEVER
    idle_before_send: float = 0.0
    """Time for which its connections had been unused before the last send."""
    overtaken: set[AttemptKey] = field(default_factory=set)
    """Attempts in flight that count as lost, because later ones were answered first."""

    # attempt_results
    last_answer_at: float = -NEVER
    answers: int = 0
    """Number of attempts that it has served."""

    # latency_estimates
    latency_ratio: float = 0.0
    """Mean latency over the latency objective."""

    # silence_detection
    silence_reset_at: float = -NEVER
    """Time of its last silence that did not lead to an ejection; earlier silence is not counted again."""

    # outlier_detection
    ejection_reason: EjectionReason | None = None
    ejection_time: float = 0.0
    ejected_until: float = 0.0
    error_rate: float = 0.0
    """Moving average of the share of responses that were errors attributed to the endpoint."""
    connection_failures: int = 0
    """Number of consecutive connection failures, without a response between them."""
    trial: AttemptKey | None = None
    """The attempt in flight that is the half-open trial of this ejected endpoint."""
    consecutive_successes: int = 0
    failed_health_check: bool = False
    """Whether a health check has failed since the ejection, so that its process was not running."""

    # slow_start
    warming_since: float = -NEVER

    # health_checks
    health_check_pending: bool = False
    health_checked_at: float = -NEVER


@dataclass(slots=True, eq=False)
class ReplicaGroup:
    """A set of endpoints that replicate the same data."""

    # endpoint_list
    endpoints: list[Endpoint] = field(default_factory=list)
    """Sorted by this instance's order of preference."""

    # outlier_detection
    ejected: dict[int, Endpoint] = field(default_factory=dict)

    # primary_discovery
    primary: Endpoint | None = None
    discovering_request: int | None = None
    """Id of the write that searches for the primary."""
    last_candidate: int = -1
    """Id of the endpoint that was tried last in search of the primary."""
    attempts_resume_at: float = -NEVER
    role_checks_resume_at: float = -NEVER

    # side_comparison
    read_preference: ReadPreference = ReadPreference.SECONDARY
    replica_latencies: list[float] = field(default_factory=list)
    primary_latencies: list[float] = field(default_factory=list)

    # wait_queue
    waiting: list[RoutedRequest] = field(default_factory=list)

    # request_intake
    request_interval: float = 1.0
    """Mean time between this instance's requests for the group."""
    last_request_at: float = -NEVER
    last_request: RoutedRequest | None = None

    # freshness
    session_commits: dict[str, float] = field(default_factory=dict)
    """Time of the last commit of each session that this instance has observed."""
    session_writes: dict[str, int] = field(default_factory=dict)
    """Number of write attempts in flight for each session."""
    dropped_sessions_position: float = -NEVER
    """Upper bound on the commit times of sessions that are no longer tracked."""


@dataclass(slots=True, eq=False)
class RoutedRequest:
    """A request and the attempts made for it."""

    # request_intake
    id: int
    request_class: RequestClass
    group: ReplicaGroup
    session: str
    deadline: float
    useful_until: float
    """Time after which an answer earns no priority weight."""
    wait_until: float
    """Time until which the request may wait for an endpoint with headroom."""
    primary_only: bool
    sampling_draw: float
    """Random number in [0, 1) used for all shares, so that shares add up across proxy instances."""
    limit_share: float = 1.0
    """Share of an endpoint's concurrency limit that is open to its class."""

    # freshness
    required_position: float = -NEVER

    # attempts
    attempts: list[Endpoint] = field(default_factory=list)
    in_flight: dict[int, float] = field(default_factory=dict)
    """Send time of each attempt in flight, by attempt number."""

    # attempt_results
    may_have_run: list[tuple[Endpoint, float]] = field(default_factory=list)
    """Endpoint and send time of each ended attempt that may have been executed."""
    served: bool = False

    # outlier_detection
    errors: list[Endpoint] = field(default_factory=list)
    """Endpoints that returned an error which is not yet attributed to them."""

    # retries
    overload_rejections: int = 0
    retry_at: float = 0.0
    done: bool = False

    # wait_queue
    needs_trial: bool = False
    """No healthy endpoint takes the request, so it may be sent to an ejected endpoint as its trial."""

    # selection
    position_checks: int = 0

    # hedging
    hedged: bool = False
