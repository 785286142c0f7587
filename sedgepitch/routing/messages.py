"""The types that pass between a driver and the policy: settings, events and actions.

All times are seconds on the driver's clock. A position is a time on that clock up to which a member
has applied every commit. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Freshness(Enum):
    """How recent the data behind an answer must be."""

    WRITE = "write"
    FRESH = "fresh"
    SESSION = "session"
    BOUNDED = "bounded"
    ANY = "any"


class Idempotency(Enum):
    """Whether a request may be repeated."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NONE = "unsafe"


class DeduplicationScope(Enum):
    """Which members drop the repeats of a keyed request."""

    ALL = "all"
    CELL = "cell"


class EndpointState(Enum):
    """What the member list says of a member."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class AttemptResult(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    NOT_ELIGIBLE = "miss"


NEVER_RAN = (
    AttemptResult.OVERLOADED,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.NOT_SENT,
    AttemptResult.NOT_ELIGIBLE,
)
"""Results which prove that the attempt had no effect."""


class StaleReadHandling(Enum):
    """What a member does with a read for which it lags too far."""

    SERVE = "none"
    REJECT = "bounce"
    WAIT = "await"


class SessionTracking(Enum):
    """Where the age of a session's last write is known from."""

    BY_CLIENT = "carried"
    BY_PROXY = "remembered"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests, as the deployment states it."""

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float
    late_priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: float
    freshness: Freshness
    max_staleness: float


@dataclass(slots=True, frozen=True)
class RuleLimits:
    """The figures of the binding rules."""

    answer_slack: float = 0.0
    drain_grace: float = 0.0
    overload_factor: float = 1.0
    overload_duration: float = 1.0
    initial_capacity: float = 1.0
    slow_start_window: float = 0.0
    max_poll_interval: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything a router is told when it starts."""

    classes: tuple[RequestClass, ...]
    zone: str = ""
    tick: float = 0.001
    proxy_instances: int = 1
    rules: RuleLimits = field(default_factory=RuleLimits)
    stale_read_handling: StaleReadHandling = StaleReadHandling.SERVE
    session_tracking: SessionTracking = SessionTracking.BY_CLIENT
    stale_read_wait: float = 0.0
    subscription_required: bool = False
    health_checks: bool = False
    load_reports_in_answers: bool = False
    reports_position: bool = False
    list_reports_primary: bool = False
    max_attempts: int = 1
    hedging: bool = False
    cancel: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0

    def __post_init__(self) -> None:
        """Say plainly which setting cannot be used."""
        if not self.classes:
            raise ValueError("settings.classes: at least one class is needed")
        for name in ("latency_objective", "deadline"):
            if any(getattr(c, name) <= 0 for c in self.classes):
                raise ValueError(f"settings.classes: {name} must be above 0")
        if self.tick < 0:
            raise ValueError("settings.tick: must not be negative")
        if self.max_attempts < 1:
            raise ValueError("settings.max_attempts: at least one attempt is needed")


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One member as the list shows it."""

    endpoint: int
    group: int
    state: EndpointState
    zone: str = ""
    primary: bool = False
    size: float = 1.0
    started: float = 0.0


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What a member says of itself; as old as the report."""

    position: float | None = None
    primary: bool | None = None
    load: float | None = None  # requests that it holds, or that wait there


# Events


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The member list, whole or only its changes. A remembered list may be out of date."""

    entries: tuple[EndpointEntry, ...]
    complete: bool
    remembered: bool = False


@dataclass(slots=True, frozen=True)
class EndpointListFailed:
    """A subscription or a fetch failed; the old list still applies."""


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request; one final answer is owed from here on."""

    request: int
    class_name: str
    group: int
    time_left: float
    session: str = ""
    session_age: float = 0.0


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """How one attempt ended; final when the request needs no answer any more."""

    request: int
    attempt: int
    endpoint: int
    result: AttemptResult
    elapsed: float
    final: bool
    primary: bool | None = None
    position: float | None = None
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class HealthCheckFinished:
    """What a probe found."""

    endpoint: int
    result: AttemptResult
    elapsed: float
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ZoneWeights:
    """The share of the reads that could go to each zone which may; zones that are not named have all."""

    shares: tuple[tuple[str, float], ...]


@dataclass(slots=True, frozen=True)
class TimerExpired:
    """A timer the router asked for has come due."""

    nonce: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has left; nothing is owed."""

    request: int


Event = (
    EndpointListUpdate
    | EndpointListFailed
    | RequestReceived
    | AttemptFinished
    | HealthCheckFinished
    | ZoneWeights
    | TimerExpired
    | ClientDisconnected
)

# Actions


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request to a member. A time-out of 0 lasts until the client gives up."""

    request: int
    endpoint: int
    timeout: float = 0.0


@dataclass(slots=True, frozen=True)
class Reject:
    """Final: turned away untouched; trying again is harmless."""

    request: int
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final: failed, with no promise about its effect."""

    request: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Ask a member for its report."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the connections to a member that are not in use; the next send opens a new one."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class WatchEndpointList:
    """Ask for changes of the member list."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a Timer event."""

    after: float
    nonce: int


@dataclass(slots=True, frozen=True)
class LogMessage:
    """A line for the operator."""

    text: str


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | CheckHealth
    | CloseIdleConnections
    | WatchEndpointList
    | SetTimer
    | LogMessage
)
