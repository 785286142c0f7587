"""The types that pass between a protocol, the engine and the upstream side; none of them knows a protocol.

All times are seconds, and all moments are seconds on the engine's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from sedgepitch.routing.messages import AttemptResult, EndpointEntry, LoadReport

NEVER = float("inf")
"""A time of the clock that does not come."""


class ResponseStatus(Enum):
    """How a request was answered."""

    SERVED = "served"
    REJECTED = "refused"  # nothing ran: retrying is harmless
    FAILED = "failed"  # it may have run


@dataclass(slots=True, eq=False)  # made for each request: frozen ones cost twice as much
class ClientRequest:
    """A client's request as the engine sees it; only the protocol that made it reads `payload`."""

    class_name: str
    group: int
    time_left: float  # until its deadline, counted from the arrival of its bytes
    payload: Any
    session: str = ""
    session_age: float = 0.0  # since the session's last write, 0 where it has none
    connection: int = 0  # number of the client connection, for the log
    tenant: str = ""  # this and the rest are for admission
    client: str = ""
    reservation_token: str = ""  # stays the same when the client retries: who may use a reservation
    idempotency_key: str = ""  # shared by the retries of one request alone; empty where the protocol has none


@dataclass(slots=True, eq=False)  # made for each request: frozen ones cost twice as much
class AttemptOutcome:
    """How one attempt at an endpoint ended; `why` is a few words for the operator."""

    result: AttemptResult
    reply: Any = None  # of the protocol's own type
    primary: bool | None = None
    position: float | None = None
    report: LoadReport | None = None
    why: str = ""
    received_at: float = 0.0  # when the reply's bytes arrived, 0 where that is not known


@dataclass(slots=True, eq=False)  # made for each request: frozen ones cost twice as much
class Response:
    """The one final answer of a request."""

    status: ResponseStatus
    reply: Any = None
    endpoint: int | None = None
    retry_after: float = 0.0  # 0 where nothing is known
    why: str = ""
    reserved: bool = False  # capacity is reserved at `retry_after`; else that is a hint


ResponseCallback = Callable[[Response], None]
AttemptCallback = Callable[[AttemptOutcome], None]


class AttemptHandle(Protocol):
    """What the upstream side gives for an attempt that it was handed and that has not ended."""

    def abandon(self) -> None:
        """Stop waiting for its end: its callback is not called any more."""

    def started(self) -> bool:
        """Whether any of its bytes may have left."""

    def withdraw(self) -> bool:
        """Take it back; returns whether nothing had left, and then its callback is not called any more."""


class Upstream(Protocol):
    """The side of a protocol that speaks with the endpoints."""

    def send(self, endpoint: int, payload: object, on_end: AttemptCallback, send_by: float) -> AttemptHandle:
        """Send a payload to an endpoint; `on_end` is called once, never before this returns.

        What cannot leave by the moment `send_by` ends with `AttemptResult.NOT_SENT`.
        """

    def check_health(self, endpoint: int, on_end: AttemptCallback) -> None:
        """Ask an endpoint for its load report; `on_end` is called once, within a bounded time."""

    def close_idle(self, endpoint: int) -> None:
        """Close the connections to an endpoint that are not in use."""

    def update_endpoints(self, entries: tuple[EndpointEntry, ...], complete: bool) -> None:
        """Take the endpoint list, before the router does."""


class AttemptObserver(Protocol):
    """Observes the requests and attempts of one engine, and decides nothing about them."""

    def request_received(self) -> None:
        """One request has been handed to the router."""

    def attempt_sent(self, endpoint: int) -> None:
        """One attempt was sent."""

    def attempt_ended(self, endpoint: int, result: AttemptResult, latency_ratio: float) -> None:
        """One attempt ended; `latency_ratio` is its latency over its class's latency objective."""


class TimerHandle(Protocol):
    """A timer that was asked for."""

    def cancel(self) -> object:
        """Cancel it; does nothing where it is past."""


class Clock(Protocol):
    """One monotonic clock and its timers; tests pass a fake one."""

    def now(self) -> float:
        """Return the present moment in seconds, never going back."""

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> TimerHandle:
        """Call after `delay` seconds."""

    def soon(self, call: Callable[..., object], *args: object) -> None:
        """Call once all that is readable in this turn of the event loop has been read."""

    def after_reading(self, call: Callable[..., object], *args: object) -> None:
        """From a timer: call once all that lies unread now has been read.

        Turns may pass until then: who compares moments takes the moment of the timer, for which that holds.
        """
