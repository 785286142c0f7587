"""Settings of a router: request classes, limits set by the rules, and features of the platform.

All times are durations in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from sedgepitch.errors import ConfigurationError


class InvalidSettingsError(ConfigurationError, ValueError):
    """The settings of a router are invalid; the message names the field."""


class Freshness(Enum):
    """How recent the data for a request must be, which determines the endpoints that may serve it."""

    WRITE = "write"
    """A write, which only the primary can execute."""
    FRESH = "fresh"
    """A read of the present state, which only the primary has."""
    SESSION = "session"
    """A read that must include all writes of the client's session."""
    BOUNDED = "bounded"
    """A read of data that is at most `max_staleness` seconds old."""
    ANY = "any"


PRIMARY_ONLY = (Freshness.WRITE, Freshness.FRESH)
"""Freshness of requests that only the primary can serve."""


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    """The request has an idempotency key: endpoints drop repeats within the deduplication window."""
    NONE = "unsafe"


class DeduplicationScope(Enum):
    """Which endpoints drop repeats of a request with an idempotency key."""

    ALL = "all"
    CELL = "cell"
    """Only the endpoints of the replica group to which it was sent."""


class StaleReadHandling(Enum):
    """How an endpoint handles a read that its replication lag rules out."""

    SERVE = "none"
    REJECT = "bounce"
    WAIT = "await"


class SessionTracking(Enum):
    """Whether the client or the proxy tracks the age of a session's last write."""

    BY_CLIENT = "carried"
    BY_PROXY = "remembered"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests, as configured for the deployment."""

    name: str
    latency_objective: float
    """Time within which an answer earns the full priority weight."""
    deadline: float
    """Maximum time that a client waits."""
    priority_weight: float
    late_priority_weight: float
    """Priority weight of an answer between the latency objective and the deadline."""
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: float
    """Time for which endpoints keep an idempotency key."""
    freshness: Freshness
    max_staleness: float
    """Staleness bound of bounded reads."""


@dataclass(slots=True, frozen=True)
class RuleLimits:
    """Limits set by the rules that the router must follow.

    The router does not use `answer_slack`, `drain_grace` and `overload_duration`.
    """

    answer_slack: float = 0.0
    """Time after its deadline within which a request must get its final answer."""
    drain_grace: float = 0.0
    """Time for which a draining endpoint may still be sent new requests."""
    overload_factor: float = 1.0
    """Maximum load that may be sent to an endpoint, as a multiple of its capacity."""
    overload_duration: float = 1.0
    initial_capacity: float = 1.0
    """Share of its capacity that an endpoint has at its start."""
    slow_start_window: float = 0.0
    """Time after its start until an endpoint has its full capacity."""
    max_poll_interval: float = 0.0
    """Maximum time between two polls of the endpoint list."""


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of a router; raises InvalidSettingsError if they are invalid.

    The router does not use `stale_read_wait`, `load_reports_in_answers`, `list_reports_primary` and `cancel`.
    """

    classes: tuple[RequestClass, ...]
    zone: str = ""
    """The zone of this proxy instance."""
    tick: float = 0.001
    """Resolution of the clock and of timers."""
    proxy_instances: int = 1
    rules: RuleLimits = field(default_factory=RuleLimits)
    stale_read_handling: StaleReadHandling = StaleReadHandling.SERVE
    session_tracking: SessionTracking = SessionTracking.BY_CLIENT
    stale_read_wait: float = 0.0
    """With StaleReadHandling.WAIT: time for which an endpoint waits to catch up."""
    subscription_required: bool = False
    """Whether the router must watch the endpoint list; otherwise it arrives without a subscription."""
    health_checks: bool = False
    load_reports_in_answers: bool = False
    reports_position: bool = False
    list_reports_primary: bool = False
    max_attempts: int = 1
    """Maximum number of attempts for a request, including the first."""
    hedging: bool = False
    """Whether a request may have more than one attempt in flight."""
    cancel: bool = False
    """Whether attempts in flight can be cancelled."""
    retry_after: bool = False
    """Whether a rejection may include a Retry-After time."""
    max_retry_after: float = 0.0

    def __post_init__(self) -> None:
        """Validate the numbers that the router divides by or uses as limits."""
        if not self.classes:
            raise InvalidSettingsError("settings.classes: at least one class is needed")
        for name in ("latency_objective", "deadline"):
            if any(getattr(c, name) <= 0 for c in self.classes):
                raise InvalidSettingsError(f"settings.classes: {name} must be above 0")
        if self.tick < 0:
            raise InvalidSettingsError("settings.tick: must not be negative")
        if self.max_attempts < 1:
            raise InvalidSettingsError("settings.max_attempts: at least one attempt is needed")
