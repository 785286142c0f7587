"""What passes between the engine and admission control. Needed also where admission control is off."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class AdmissionRequest:
    """A request that asks to be admitted; times in seconds."""

    id: int
    tenant: str
    client: str
    class_name: str
    priority_weight: float
    time_left: float  # until the deadline that the router is told
    group: int
    primary_only: bool
    reservation_token: str  # who may use a reservation: the same when the client retries
    idempotency_key: str = ""  # shared by the retries of one request alone; empty where not known
    latency_objective: float = 0.0  # what is left of it; 0 where any answer before the deadline will do


@dataclass(slots=True)
class Admit:
    """Pass the request to the router now."""

    id: int


@dataclass(slots=True)
class Reject:
    """Shed the request; `retry_after` seconds from now capacity is reserved for it, 0 where none can be."""

    id: int
    retry_after: float
    why: str


Decision = Admit | Reject
