"""What a router is told when it starts: request classes, the rules' figures and what the platform offers.

All times are durations in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from sedgepitch.errors import ConfigurationError


class InvalidSettingsError(ConfigurationError, ValueError):
    """A router cannot work with its settings; the message names the field."""


class Freshness(Enum):
    """How recent the data behind an answer must be, and so which endpoints may serve the request."""

    WRITE = "write"
    """Not a read: the primary executes it."""
    FRESH = "fresh"
    """The present state: the primary alone has it."""
    SESSION = "session"
    """All that the client's session has written."""
    BOUNDED = "bounded"
    """At most `max_staleness` seconds old."""
    ANY = "any"


PRIMARY_ONLY = (Freshness.WRITE, Freshness.FRESH)
"""What only the primary can serve."""


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    """It carries an idempotency key: endpoints drop repeats within the deduplication window."""
    NONE = "unsafe"


class DeduplicationScope(Enum):
    """Which endpoints drop the repeats of a keyed request."""

    ALL = "all"
    CELL = "cell"
    """Those of the replica group that it was sent to."""


class StaleReadHandling(Enum):
    """What an endpoint does with a read for which it lags too far."""

    SERVE = "none"
    REJECT = "bounce"
    WAIT = "await"


class SessionTracking(Enum):
    """Who knows the age of a session's last write."""

    BY_CLIENT = "carried"
    BY_PROXY = "remembered"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests, as the deployment states it."""

    name: str
    latency_objective: float
    """Time within which an answer earns the full priority weight."""
    deadline: float
    """Time that a client waits at most."""
    priority_weight: float
    late_priority_weight: float
    """What an answer between the objective and the deadline earns."""
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: float
    """Time for which endpoints remember an idempotency key."""
    freshness: Freshness
    max_staleness: float
    """For bounded reads."""


@dataclass(slots=True, frozen=True)
class RuleLimits:
    """The figures of the binding rules.

    The router does not use `answer_slack`, `drain_grace` and `overload_duration`.
    """

    answer_slack: float = 0.0
    """Time after its deadline by which a request must have its final answer."""
    drain_grace: float = 0.0
    """Time for which a draining endpoint may still be sent new requests."""
    overload_factor: float = 1.0
    """Multiple of its capacity that an endpoint may be sent."""
    overload_duration: float = 1.0
    initial_capacity: float = 1.0
    """Share of its capacity that an endpoint has when it starts."""
    slow_start_window: float = 0.0
    """Time after its start at which an endpoint has its whole capacity."""
    max_poll_interval: float = 0.0
    """Longest time between two polls of the endpoint list."""


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything that a router is told when it starts; raises InvalidSettingsError.

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
    """With StaleReadHandling.WAIT: how long an endpoint waits to catch up."""
    subscription_required: bool = False
    """Whether the endpoint list has to be watched; otherwise it is sent unasked."""
    health_checks: bool = False
    load_reports_in_answers: bool = False
    reports_position: bool = False
    list_reports_primary: bool = False
    max_attempts: int = 1
    """Attempts for one request, the first included."""
    hedging: bool = False
    """Whether a request may have more than one attempt in flight."""
    cancel: bool = False
    """Whether attempts can be cancelled."""
    retry_after: bool = False
    """Whether a rejection may advise a Retry-After."""
    max_retry_after: float = 0.0

    def __post_init__(self) -> None:
        """Check the figures that a router divides by or counts with."""
        if not self.classes:
            raise InvalidSettingsError("settings.classes: at least one class is needed")
        for name in ("latency_objective", "deadline"):
            if any(getattr(c, name) <= 0 for c in self.classes):
                raise InvalidSettingsError(f"settings.classes: {name} must be above 0")
        if self.tick < 0:
            raise InvalidSettingsError("settings.tick: must not be negative")
        if self.max_attempts < 1:
            raise InvalidSettingsError("settings.max_attempts: at least one attempt is needed")
