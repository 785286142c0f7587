"""The events that a router is fed with, and the types that they carry.

All times are seconds on the proxy's clock, all durations seconds. A position is a time on that clock up to
which an endpoint has applied every commit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """What the endpoint list says of an endpoint."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class AttemptResult(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    """The endpoint answered with an error."""
    OVERLOADED = "full"
    """The endpoint rejected it unseen."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    """The connection broke while the attempt was in flight."""
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    NOT_ELIGIBLE = "miss"
    """A write at an endpoint that is no primary, or a read that it lags too far for."""


NEVER_RAN = (
    AttemptResult.OVERLOADED,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.NOT_SENT,
    AttemptResult.NOT_ELIGIBLE,
)
"""Results which prove that the attempt had no effect."""


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One endpoint as the list states it."""

    endpoint: int
    group: int
    state: EndpointState
    zone: str = ""
    primary: bool = False
    size: float = 1.0
    """Its capacity in relation to other endpoints."""
    started: float = 0.0
    """When its process started; 0 stands for long ago."""


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What an endpoint says of itself; as old as its position."""

    position: float | None = None
    primary: bool | None = None
    load: float | None = None
    """Requests in flight or queued there."""


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The endpoint list: complete, or its changes only. A remembered list may be out of date."""

    entries: tuple[EndpointEntry, ...]
    complete: bool
    remembered: bool = False


@dataclass(slots=True, frozen=True)
class EndpointListFailed:
    """A watch or a poll failed; the old list still applies."""


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client's request; one final answer is owed from here on."""

    request: int
    class_name: str
    group: int
    time_left: float
    """Seconds until the client gives up."""
    session: str = ""
    session_age: float = 0.0
    """Seconds since the session's last commit, where the client brings it; 0 where there is none."""


@dataclass(slots=True, frozen=True)
class AttemptFinished:
    """How one attempt ended."""

    request: int
    attempt: int
    endpoint: int
    result: AttemptResult
    elapsed: float
    """Seconds since it was sent."""
    final: bool
    """Whether the request needs no answer any more."""
    primary: bool | None = None
    """The role that the endpoint answered in."""
    position: float | None = None
    """The endpoint's position, or a write's commit time."""
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class HealthCheckFinished:
    """What a health check found."""

    endpoint: int
    result: AttemptResult
    elapsed: float
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ZoneWeights:
    """By zone: the share of its reads that it may have; zones that are not named have all."""

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
