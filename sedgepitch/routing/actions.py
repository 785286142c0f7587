"""The actions that a router returns; the caller carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request to an endpoint.

    A time-out of 0 means that the attempt ends at the client's deadline. The router uses no other value.
    """

    request: int
    endpoint: int
    timeout: float = 0.0


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: rejected. The client can retry without side effects."""

    request: int
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed. The request may or may not have been executed."""

    request: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for one attempt. The router does not emit this action yet."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Request a load report from an endpoint."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint; the next attempt opens a new one."""

    endpoint: int


@dataclass(slots=True, frozen=True)
class WatchEndpointList:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Schedule a TimerExpired event in `after` seconds."""

    after: float
    nonce: int


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a line to the operators' log. The router does not emit this action yet."""

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
