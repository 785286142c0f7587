"""The messages between the engine and admission control. Used also when admission control is off."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class AdmissionRequest:
    """A request to be admitted; times in seconds."""

    id: int
    tenant: str
    client: str
    class_name: str
    priority_weight: float
    time_left: float  # until the deadline passed to the router
    group: int
    primary_only: bool
    reservation_token: str  # identifies the holder of a reservation; the same when the client retries
    idempotency_key: str = ""  # shared only by the retries of one request; empty if unknown
    latency_objective: float = 0.0  # time left of it; 0 if any answer before the deadline is in time


@dataclass(slots=True)
class Admit:
    """Pass the request to the router now."""

    id: int


@dataclass(slots=True)
class Reject:
    """Reject the request; capacity is reserved `retry_after` seconds from now, none if that is 0."""

    id: int
    retry_after: float
    why: str


Decision = Admit | Reject
