"""The events that a router consumes, and the types that they carry.

All times are seconds on the proxy's clock, all durations are in seconds. A position is the time on that clock
up to which an endpoint has applied every commit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """State of an endpoint according to the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class AttemptResult(Enum):
    """Outcome of an attempt or a health check."""

    OK = "ok"
    ERROR = "error"
    """The endpoint returned an error."""
    OVERLOADED = "full"
    """The endpoint rejected the request without executing it."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    """The connection broke while the attempt was in flight."""
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    NOT_ELIGIBLE = "miss"
    """A write sent to an endpoint that is not the primary, or a read that its replication lag rules out."""


NEVER_RAN = (
    AttemptResult.OVERLOADED,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.NOT_SENT,
    AttemptResult.NOT_ELIGIBLE,
)
"""Results which prove that the attempt had no effect."""


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One entry of the endpoint list."""

    endpoint: int
    group: int
    state: EndpointState
    zone: str = ""
    primary: bool = False
    size: float = 1.0
    """Capacity relative to other endpoints."""
    started: float = 0.0
    """Start time of its process; 0 means long ago."""


@dataclass(slots=True, frozen=True)
class LoadReport:
    """State that an endpoint reports about itself, as of its position."""

    position: float | None = None
    primary: bool | None = None
    load: float | None = None
    """Requests in flight or queued at the endpoint."""


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The complete endpoint list or only its changes. A remembered list may be out of date."""

    entries: tuple[EndpointEntry, ...]
    complete: bool
    remembered: bool = False


@dataclass(slots=True, frozen=True)
class EndpointListFailed:
    """A watch or a poll failed; the previous list remains in effect."""


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request, for which the router must produce exactly one final answer."""

    request: int
    class_name: str
    group: int
    time_left: float
    """Seconds until the client's deadline."""
    session: str = ""
    session_age: float = 0.0
    """Seconds since the session's last commit if the client sends this age; 0 if there is none."""


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """The result of one attempt."""

    request: int
    attempt: int
    endpoint: int
    result: AttemptResult
    elapsed: float
    """Seconds since the attempt was sent."""
    final: bool
    """Whether the request is complete and needs no answer from the router."""
    primary: bool | None = None
    """Whether the endpoint was the primary when it responded."""
    position: float | None = None
    """The endpoint's position; for a write, its commit time."""
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class HealthCheckFinished:
    """The result of one health check."""

    endpoint: int
    result: AttemptResult
    elapsed: float
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ZoneWeights:
    """For each zone, the share of its usual reads that it may serve; 1 for a zone that is not listed."""

    shares: tuple[tuple[str, float], ...]


@dataclass(slots=True, frozen=True)
class TimerExpired:
    """A timer that the router set has expired."""

    nonce: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected; no final answer is needed."""

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
