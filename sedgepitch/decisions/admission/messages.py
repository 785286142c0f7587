"""What passes between the engine and the door; a driver without a door needs no more of it than this."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class AdmissionRequest:
    """A request before the door.

    `mark` tells who may come on a promise; `key` is the same for each try of one request and no other, empty
    where the protocol does not show that.
    """

    id: int
    tenant: str
    client: str
    class_name: str
    priority_weight: float
    time_left: float
    group: int
    primary_only: bool
    mark: str
    key: str = ""
    latency_objective: float = (
        0.0  # s in which an answer is worth its while; 0 where any answer within its time is
    )


@dataclass(slots=True)
class Admit:
    """Let it in now."""

    id: int


@dataclass(slots=True)
class Reject:
    """Refuse it; come back after that many seconds, 0 where nothing can be promised."""

    id: int
    retry_after: float
    why: str


Decision = Admit | Reject
