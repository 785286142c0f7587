"""The actions that a router answers with; they are carried out in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request to an endpoint. A time-out of 0, the only one used, ends with the client's time."""

    request: int
    endpoint: int
    timeout: float = 0.0


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected; a retry by the client is harmless."""

    request: int
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    request: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for one attempt. No part of the router asks for it so far."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Ask an endpoint for its report."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint; the next attempt opens a new one."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class WatchEndpointList:
    """Ask for changes of the endpoint list."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerExpired event after that many seconds."""

    after: float
    nonce: int


@dataclass(slots=True, frozen=True)
class LogMessage:
    """A line for the operators' log. No part of the router writes one so far."""

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
