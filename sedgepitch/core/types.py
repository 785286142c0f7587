"""What passes between a front, the engine and the members' side; none of it knows a protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from sedgepitch.routing.messages import AttemptResult, EndpointEntry, LoadReport


class ResponseStatus(Enum):
    """The final answers."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, eq=False)  # made for each request: frozen ones cost twice as much
class ClientRequest:
    """A client's request as the engine sees it; `payload` is the front's own, for members."""

    class_name: str
    group: int
    time_left: float
    payload: Any
    session: str = ""
    session_age: float = 0.0
    connection: int = 0  # the client connection it came on, for the log
    tenant: str = ""  # for the door, as are the next two
    client: str = ""
    mark: str = ""
    key: str = ""  # the same for each try of one request and no other, where the protocol shows it


@dataclass(slots=True, eq=False)  # made for each request: frozen ones cost twice as much
class AttemptOutcome:
    """How one attempt at a member ended; `reply` is the front's own, `why` a few words for the operator."""

    result: AttemptResult
    reply: Any = None
    primary: bool | None = None
    position: float | None = None
    report: LoadReport | None = None
    why: str = ""
    arrived: float = 0.0  # when the answer's bytes came, 0 where that is not known


@dataclass(slots=True, eq=False)  # made for each request: frozen ones cost twice as much
class Response:
    """The one final answer of a request."""

    verdict: ResponseStatus
    reply: Any = None
    endpoint: int | None = None
    retry_after: float = 0.0
    why: str = ""
    promised: bool = False  # come_back is a reservation, not a hint


ResponseCallback = Callable[[Response], None]
AttemptCallback = Callable[[AttemptOutcome], None]


class InFlightAttempt(Protocol):
    """One attempt under way."""

    def abandon(self) -> None:
        """Stop waiting; `on_end` is not called any more."""

    def begun(self) -> bool:
        """Whether any of it may have left."""

    def withdraw(self) -> bool:
        """Take it back; returns whether nothing had left, and then `on_end` is not called any more."""


class Upstream(Protocol):
    """The members' side of a front: what the engine needs of it."""

    def send(self, endpoint: int, payload: Any, on_end: AttemptCallback, by: float) -> InFlightAttempt:
        """Send the payload to a member; on_end is called once, never before this returns.

        What cannot leave before `by`, a time of the clock, ends as not sent.
        """

    def probe(self, endpoint: int, on_end: AttemptCallback) -> None:
        """Ask a member for its report; on_end is called once, within a bounded time."""

    def close_idle(self, endpoint: int) -> None:
        """Close the connections to a member that are not in use."""

    def listed(self, entries: tuple[EndpointEntry, ...], complete: bool) -> None:
        """Take the member list, before the module does."""


class AttemptObserver(Protocol):
    """Who looks on at a driver's own requests and attempts; it decides nothing about them."""

    def arrived(self) -> None:
        """One request came in."""

    def sent(self, endpoint: int) -> None:
        """One attempt was sent."""

    def ended(self, endpoint: int, result: AttemptResult, share_of_aim: float) -> None:
        """It ended, after so much of its class's aim."""


class Clock(Protocol):
    """One monotonic clock and its timers; tests pass a fake one."""

    def now(self) -> float:
        """Seconds, never going back."""

    def call_later(self, delay: float, call: Callable[..., object], *args: object) -> Any:
        """Call after that many seconds; what is returned can be cancelled."""

    def soon(self, call: Callable[..., object], *args: object) -> None:
        """Call once all that is readable in this turn has been read."""

    def after_reading(self, call: Callable[..., object], *args: object) -> None:
        """From a timer: call once all that lies unread now has been read, whatever order the loop keeps.

        Turns may pass until then: who judges times takes the moment of the timer, for which that holds.
        """
