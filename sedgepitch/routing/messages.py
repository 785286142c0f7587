"""The types that pass between a driver and the policy: settings, events and actions.

All times are seconds on the driver's clock. A position is a time on that clock up to which a member
has applied every commit. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Freshness(Enum):
    """How recent the data behind an answer must be."""

    WRITE = "write"
    FRESH = "fresh"
    SESSION = "session"
    BOUNDED = "bounded"
    ANY = "any"


class Effect(Enum):
    """Whether a request may be repeated."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which members drop the repeats of a keyed request."""

    ALL = "all"
    CELL = "cell"


class State(Enum):
    """What the member list says of a member."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    MISS = "miss"


class Checks(Enum):
    """What a member does with a read for which it lags too far."""

    NONE = "none"
    BOUNCE = "bounce"
    AWAIT = "await"


class Marks(Enum):
    """Where the age of a session's last write is known from."""

    CARRIED = "carried"
    REMEMBERED = "remembered"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests, as the deployment states it."""

    name: str
    aim: float
    deadline: float
    worth: float
    late_worth: float
    effect: Effect
    scope: Scope
    window: float
    freshness: Freshness
    max_age: float


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures of the binding rules."""

    answer_slack: float = 0.0
    drain_grace: float = 0.0
    overload_factor: float = 1.0
    overload_time: float = 1.0
    start_capacity: float = 1.0
    warm_within: float = 0.0
    ask_within: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything a router is told when it starts."""

    classes: tuple[RequestClass, ...]
    zone: str = ""
    tick: float = 0.001
    drivers: int = 1
    rules: Rules = field(default_factory=Rules)
    checks: Checks = Checks.NONE
    marks: Marks = Marks.CARRIED
    patience: float = 0.0
    subscribe: bool = False
    probes: bool = False
    reports_in_answers: bool = False
    reports_position: bool = False
    list_names_primary: bool = False
    most_attempts: int = 1
    second_copies: bool = False
    cancel: bool = False
    come_back: bool = False
    max_come_back: float = 0.0

    def __post_init__(self) -> None:
        """Say plainly which setting cannot be used."""
        if not self.classes:
            raise ValueError("settings.classes: at least one class is needed")
        for name in ("aim", "deadline"):
            if any(getattr(c, name) <= 0 for c in self.classes):
                raise ValueError(f"settings.classes: {name} must be above 0")
        if self.tick < 0:
            raise ValueError("settings.tick: must not be negative")
        if self.most_attempts < 1:
            raise ValueError("settings.most_attempts: at least one attempt is needed")


@dataclass(slots=True, frozen=True)
class Listing:
    """One member as the list shows it."""

    member: int
    group: int
    state: State
    zone: str = ""
    primary: bool = False
    size: float = 1.0
    started: float = 0.0


@dataclass(slots=True, frozen=True)
class Report:
    """What a member says of itself; as old as the report."""

    position: float | None = None
    primary: bool | None = None
    load: float | None = None  # requests that it holds, or that wait there


# Events


@dataclass(slots=True, frozen=True)
class Members:
    """The member list, whole or only its changes. A remembered list may be out of date."""

    listings: tuple[Listing, ...]
    complete: bool
    remembered: bool = False


@dataclass(slots=True, frozen=True)
class ListFailed:
    """A subscription or a fetch failed; the old list still applies."""


@dataclass(slots=True, frozen=True)
class Arrived:
    """A client's request; one final answer is owed from here on."""

    request: int
    class_name: str
    group: int
    time_left: float
    session: str = ""
    session_age: float = 0.0


@dataclass(slots=True, frozen=True)
class Finished:
    """How one attempt ended; final when the request needs no answer any more."""

    request: int
    attempt: int
    member: int
    result: Result
    elapsed: float
    final: bool
    primary: bool | None = None
    position: float | None = None
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class Probed:
    """What a probe found."""

    member: int
    result: Result
    elapsed: float
    report: Report | None = None


@dataclass(slots=True, frozen=True)
class ZoneShares:
    """The share of the reads that could go to each zone which may; zones that are not named have all."""

    shares: tuple[tuple[str, float], ...]


@dataclass(slots=True, frozen=True)
class Timer:
    """A timer the router asked for has come due."""

    nonce: int


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client has left; nothing is owed."""

    request: int


Event = Members | ListFailed | Arrived | Finished | Probed | ZoneShares | Timer | ClientGone

# Actions


@dataclass(slots=True, frozen=True)
class Send:
    """Send the request to a member. A time-out of 0 lasts until the client gives up."""

    request: int
    member: int
    timeout: float = 0.0


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final: turned away untouched; trying again is harmless."""

    request: int
    come_back: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final: failed, with no promise about its effect."""

    request: int


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a member for its report."""

    member: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the connections to a member that are not in use; the next send opens a new one."""

    member: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for changes of the member list."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a Timer event."""

    after: float
    nonce: int


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operator."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | CloseIdle | Subscribe | SetTimer | Log
