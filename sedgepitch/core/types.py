"""Protocol-independent types exchanged between a protocol, the engine and the upstream side.

All durations are in seconds, and all points in time are seconds on the engine's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from sedgepitch.routing.messages import AttemptResult, EndpointEntry, LoadReport

NEVER = float("inf")
"""A time that is never reached."""


class ResponseStatus(Enum):
    """How a request was answered."""

    SERVED = "served"
    REJECTED = "refused"  # nothing ran: a retry is harmless
    FAILED = "failed"  # the request may have run


@dataclass(slots=True, eq=False)  # one per request; creating a frozen instance costs twice as much
class ClientRequest:
    """A client's request as the engine sees it; only the protocol that made it reads `payload`."""

    class_name: str
    group: int
    time_left: float  # from the arrival of its bytes until its deadline
    payload: Any
    session: str = ""
    session_age: float = 0.0  # since the session's last write, 0 if there is none
    connection: int = 0  # number of the client connection, for the log
    tenant: str = ""  # this and the fields below are for admission control
    client: str = ""
    reservation_token: str = ""  # the same in each retry of the client; identifies the reservation's holder
    idempotency_key: str = ""  # the same in each retry of one request only; empty if the protocol has none
    client_left: Callable[[], bool] | None = None  # asks the system whether the client has closed its side


@dataclass(slots=True, eq=False)  # one per attempt; creating a frozen instance costs twice as much
class AttemptOutcome:
    """How one attempt at an endpoint ended; `why` is a short reason for the operator."""

    result: AttemptResult
    reply: Any = None  # its type belongs to the protocol
    primary: bool | None = None
    position: float | None = None
    report: LoadReport | None = None
    why: str = ""
    received_at: float = 0.0  # when the reply's bytes arrived, 0 if unknown


@dataclass(slots=True, eq=False)  # one per request; creating a frozen instance costs twice as much
class Response:
    """The final answer of a request."""

    status: ResponseStatus
    reply: Any = None
    endpoint: int | None = None
    retry_after: float = 0.0  # 0 if unknown
    why: str = ""
    reserved: bool = False  # capacity is reserved at `retry_after`; otherwise that is only a hint


ResponseCallback = Callable[[Response], None]
AttemptCallback = Callable[[AttemptOutcome], None]


class AttemptHandle(Protocol):
    """The upstream side's handle of an attempt that has not ended."""

    def abandon(self) -> None:
        """Stop waiting for the attempt's end: its callback is not called any more."""

    def started(self) -> bool:
        """Return whether any of its bytes may have been sent."""

    def withdraw(self) -> bool:
        """Withdraw the attempt; return whether nothing was sent, in which case its callback is not called."""


class Upstream(Protocol):
    """The side of a protocol that communicates with the endpoints."""

    def send(self, endpoint: int, payload: object, on_end: AttemptCallback, send_by: float) -> AttemptHandle:
        """Send a payload to an endpoint; `on_end` is called once, never before this returns.

        An attempt that cannot be sent by the time `send_by` ends with `AttemptResult.NOT_SENT`.
        """

    def check_health(self, endpoint: int, on_end: AttemptCallback) -> None:
        """Request an endpoint's load report; `on_end` is called once, within a bounded time."""

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint."""

    def update_endpoints(self, entries: tuple[EndpointEntry, ...], complete: bool) -> None:
        """Apply the endpoint list; called before the router receives it."""


class AttemptObserver(Protocol):
    """Observes the requests and attempts of one engine without influencing them."""

    def request_received(self) -> None:
        """Record that a request has been passed to the router."""

    def attempt_sent(self, endpoint: int) -> None:
        """Record that an attempt was sent."""

    def attempt_ended(self, endpoint: int, result: AttemptResult, latency_ratio: float) -> None:
        """Record that an attempt ended; `latency_ratio` is its latency over its class's latency objective."""


class TimerHandle(Protocol):
    """A scheduled timer."""

    def cancel(self) -> object:
        """Cancel the timer; does nothing if it has expired."""


class Clock(Protocol):
    """A monotonic clock and its timers; tests pass a fake one."""

    def now(self) -> float:
        """Return the current time in seconds; it never goes back."""

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> TimerHandle:
        """Call after `delay` seconds."""

    def soon(self, call: Callable[..., object], *args: object) -> None:
        """Call once everything readable in this event loop turn has been read."""

    def after_reading(self, call: Callable[..., object], *args: object) -> None:
        """From a timer: call once all data that is unread now has been read.

        Some event loop turns may pass until then. A caller that compares times must use the time of the
        timer, up to which all data has been read.
        """
