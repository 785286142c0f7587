"""What the router knows of endpoints, replica groups and the requests that await an answer.

All times are seconds on the proxy's clock, all durations seconds. Each field is changed by the one module
that the comment above it names; every other module only reads it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from sedgepitch.routing.messages import EndpointState, RequestClass

NEVER = float("inf")  # a time that does not come; with a minus, one that has never been
POSITION_ROUNDING_S = 0.001  # positions and commits are stated in whole milliseconds, rounded either way

AttemptKey = tuple[int, int]
"""One attempt: the request's number and the attempt's number within the request."""


class EjectionReason(Enum):
    """Why an endpoint is kept from traffic."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    FAILING = "failing"


class ReadPreference(Enum):
    """The side of a replica group that serves the reads which either side may serve."""

    PRIMARY = "primary"
    SECONDARY = "secondary"


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt that has not ended yet."""

    sent_at: float
    request: RoutedRequest
    overtaken_from: int
    """Once the endpoint has given this many answers, later requests have overtaken this one."""


@dataclass(slots=True, eq=False)
class Endpoint:
    """What this proxy instance knows of one endpoint, from its own traffic, reports and the list."""

    id: int
    group_id: int
    zone: str

    # endpoint_list
    size: float
    state: EndpointState
    started: float
    preference_weight: float
    """A draw that fixes its place in this instance's own order of preference: the highest comes first."""
    periods_gone: int = 0

    # concurrency_limit
    concurrency_limit: float = 1.0
    """Own requests that may be in flight here; below one it is a share of the time."""
    limit_reduced_at: float = -NEVER
    primary_read_share: float = 1.0
    """As a primary: the share of the reads that another endpoint could serve too."""
    recent_connect_failures: float = 0.0

    # primary_discovery
    listed_as_primary: bool = False
    role_unconfirmed: bool = False
    """The list names it primary, against the last that it said itself."""
    role_known_at: float = -NEVER

    # load_reports
    position: float = -NEVER
    """The time up to which it has applied every commit."""
    replication_lag: float = NEVER
    reported_load: float = 0.0
    load_reported_at: float = -NEVER

    # attempts
    in_flight: dict[AttemptKey, InFlightAttempt] = field(default_factory=dict)
    last_sent_at: float = -NEVER
    idle_before_send: float = 0.0
    """How long its connections had been unused before the last send."""
    overtaken: set[AttemptKey] = field(default_factory=set)
    """Of the attempts in flight, those whose answer is taken for lost on its way."""

    # attempt_results
    last_answer_at: float = -NEVER
    answers: int = 0
    """Attempts that it has served."""

    # latency_estimates
    latency_ratio: float = 0.0
    """Mean latency over the latency objective."""

    # silence_detection
    silence_excused_at: float = -NEVER

    # outlier_detection
    ejection_reason: EjectionReason | None = None
    ejection_time: float = 0.0
    ejected_until: float = 0.0
    error_rate: float = 0.0
    """Moving share of answers that were errors of the endpoint's own."""
    connection_failures: int = 0
    """Connections in a row that broke, with no answer between."""
    trial: AttemptKey | None = None
    """The attempt that tries an ejected endpoint (half-open)."""
    consecutive_successes: int = 0
    failed_health_check: bool = False
    """A health check has failed since it was ejected, so its process did not run."""

    # slow_start
    warming_since: float = -NEVER

    # health_checks
    health_check_pending: bool = False
    health_checked_at: float = -NEVER


@dataclass(slots=True, eq=False)
class ReplicaGroup:
    """The endpoints that hold the same data."""

    # endpoint_list
    endpoints: list[Endpoint] = field(default_factory=list)
    """In this instance's own order of preference."""

    # outlier_detection
    ejected: dict[int, Endpoint] = field(default_factory=dict)

    # primary_discovery
    primary: Endpoint | None = None
    discovering_request: int | None = None
    """The write that looks for the primary."""
    last_candidate: int = -1
    """The endpoint that the last such write tried."""
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
    """The last commit of each session, as far as it was seen here."""
    session_writes: dict[str, int] = field(default_factory=dict)
    """Write attempts in flight of each session."""
    forgotten_sessions_position: float = -NEVER
    """What a session that is not remembered any more may have committed up to."""


@dataclass(slots=True, eq=False)
class RoutedRequest:
    """One request that is owed an answer, and the attempts made for it."""

    # request_intake
    id: int
    request_class: RequestClass
    group: ReplicaGroup
    session: str
    deadline: float
    useful_until: float
    """After this time an answer earns nothing."""
    wait_until: float
    """Until then the request may wait for an endpoint with headroom."""
    primary_only: bool
    sampling_draw: float
    """One draw in [0, 1) for all that is decided by chance, so that shares add up over proxy instances."""
    limit_share: float = 1.0
    """The share of an endpoint's concurrency limit that its class may fill."""

    # freshness
    required_position: float = -NEVER

    # attempts
    attempts: list[Endpoint] = field(default_factory=list)
    in_flight: dict[int, float] = field(default_factory=dict)
    """When each attempt that has not ended was sent."""

    # attempt_results
    may_have_run: list[tuple[Endpoint, float]] = field(default_factory=list)
    """Attempts that ended without proof that they never ran, and when they were sent."""
    served: bool = False

    # outlier_detection
    errors: list[Endpoint] = field(default_factory=list)
    """Endpoints that answered with an error which is not yet attributed to them."""

    # retries
    overload_rejections: int = 0
    retry_at: float = 0.0
    done: bool = False

    # wait_queue
    needs_trial: bool = False
    """No healthy endpoint takes it, so an ejected one may be tried with the request itself."""

    # selection
    position_checks: int = 0

    # hedging
    hedged: bool = False
