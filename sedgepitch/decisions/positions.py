"""Replication positions: up to which time an endpoint is known to have all commits, on the proxy's clock.

Endpoints report optimes: how far they are in the replication log, in units of their own clocks. The router
needs positions: a time t of the proxy's clock such that the endpoint has everything that was committed until
t. An *observation* of the primary connects the two: if a request sent at t returned from the primary with
optime P, everything committed until t is in the log at or before P, whatever any wall clock shows. So an
endpoint that has applied P has everything up to t. This has three consequences:

* An idle primary needs no writes: each request to it is a new observation of the same P, and a replica that
  has P is fresh as of that request.
* Skew between the endpoints' clocks does not matter: only the proxy's requests are timed, by one clock.
* An observation stays valid in the log it was made of. That log ends for the proxy when a newer term is seen:
  the observations of the old term are dropped, and an endpoint counts again once its own optime carries the
  new term, which it can only have from the new log. So a rolled back branch never proves anything.

Optimes are compared as (seconds, increment) within the newest term. An optime that is far ahead of the log's
own pace is ignored. If two endpoints claim to be primary of one term, the term is contested: no role is
reported and no hello counts as an observation until a write settles it, since an endpoint that accepts a
write is the primary and one that rejects it is not.

All times are seconds of the proxy's clock. Sources: MongoDB's replication documents (optimes, terms,
elections).
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from typing import NamedTuple

OpTime = tuple[int, int]  # seconds and increment: a point in the log of one term

OBSERVATIONS_MAX = 1024  # beyond it, every second one of the older half is dropped; positions only get older
OPTIME_LEAP_MAX_S = 60.0  # lead of an optime over the newest observation plus the time since then
POSITION_UNKNOWN = 0.0  # of an endpoint whose answers prove no position
NO_TERM = -1
NEVER = float("-inf")


@dataclass(slots=True, frozen=True)
class EndpointEvidence:
    """What one answer proves: a position on the proxy's clock, and the role if it is certain."""

    position: float | None
    primary: bool | None


UNPROVEN = EndpointEvidence(None, None)


class Observation(NamedTuple):
    """The time at which a request was sent to the primary, and the optime that it returned."""

    at: float
    optime: OpTime


class PrimaryObservations:
    """The observations of one log, in the order of both time and optime, without redundant ones.

    An observation is redundant if a later request found an optime that is not greater.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.optimes: list[OpTime] = []
        self.first_sent: list[float] = []  # when the earliest request that found this optime was sent
        self.last_sent: list[float] = []  # the same for the latest request

    def add(self, at: float, optime: OpTime) -> None:
        """Add an observation; answers may arrive in any order."""
        at_or_after = bisect_left(self.last_sent, at)
        if at_or_after < len(self.last_sent) and self.optimes[at_or_after] <= optime:
            if self.optimes[at_or_after] == optime:
                self.first_sent[at_or_after] = min(self.first_sent[at_or_after], at)
            return
        low = bisect_left(self.optimes, optime)
        first = at
        if low < len(self.optimes) and self.optimes[low] == optime:
            first = min(at, self.first_sent[low])
        high = bisect_right(self.last_sent, at)
        if low < high:
            del self.optimes[low:high], self.first_sent[low:high], self.last_sent[low:high]
        self.optimes.insert(low, optime)
        self.first_sent.insert(low, first)
        self.last_sent.insert(low, at)
        if len(self.optimes) > OBSERVATIONS_MAX:
            self._thin_out()

    def _thin_out(self) -> None:
        half = len(self.optimes) // 2
        del self.optimes[0:half:2], self.first_sent[0:half:2], self.last_sent[0:half:2]

    def position_of(self, optime: OpTime) -> float | None:
        """Return the time up to which an endpoint that has applied this optime has everything."""
        index = bisect_right(self.optimes, optime)
        return self.last_sent[index - 1] if index else None

    def required_position(self, optime: OpTime) -> float | None:
        """Return the least position that proves this optime applied, None if none is known yet."""
        index = bisect_left(self.optimes, optime)
        return self.first_sent[index] if index < len(self.optimes) else None

    def newest(self) -> Observation | None:
        """Return the latest observation, or None."""
        return Observation(self.last_sent[-1], self.optimes[-1]) if self.optimes else None


@dataclass(slots=True)
class EndpointLog:
    """What one endpoint has reported about its log and its role."""

    term: int = NO_TERM  # of its newest log entry
    optime: OpTime | None = None
    claimed_term: int = NO_TERM  # in which it last claimed to be primary
    claimed_since: float = 0.0  # when the request for its first claim in that term was sent
    last_hello_sent: float = NEVER  # when the newest hello that it answered was sent


@dataclass(slots=True)
class GroupPositions:
    """What is known about the log of one replica group, and each endpoint's position in it."""

    term: int = NO_TERM  # the newest that any endpoint's log or claim has shown
    primary: int | None = None  # of that term
    contested: bool = False
    observations: PrimaryObservations = field(default_factory=PrimaryObservations)
    endpoints: dict[int, EndpointLog] = field(default_factory=dict)

    # Answers of endpoints

    def observe_hello(
        self, endpoint: int, sent: float, primary: bool, term: int, optime: OpTime | None
    ) -> EndpointEvidence:
        """Process an endpoint's report of its role, term and last optime, requested at `sent`."""
        log = self._log_of(endpoint)
        if sent < log.last_hello_sent:  # a delayed older answer; its log may have been rolled back since
            return UNPROVEN
        log.last_hello_sent = sent
        if term > self.term:
            self._begin_term(term)
        log.term = term
        log.optime = optime
        if not primary:
            self._withdraw_claim(endpoint, log)
            return EndpointEvidence(self._position_of(log), False)
        if term < self.term:  # a former primary that has not seen its successor yet
            return EndpointEvidence(POSITION_UNKNOWN, False)
        if log.claimed_term != term:
            log.claimed_term = term
            log.claimed_since = sent
        if not self._accept_claim(endpoint):
            return EndpointEvidence(self._position_of(log), None)
        if optime is not None:
            self.observations.add(sent, optime)
        return EndpointEvidence(sent, True)

    def observe_write(self, endpoint: int, sent: float, optime: OpTime | None) -> EndpointEvidence:
        """Process a successful write: its endpoint is the primary, and its optime is an observation."""
        log = self._log_of(endpoint)
        if log.claimed_term != self.term:
            # A delayed answer from an earlier term, or a new primary whose hello has not arrived yet.
            return EndpointEvidence(None, None if log.claimed_term >= 0 else True)
        if sent < log.claimed_since:  # it may have accepted the write as the primary of an earlier term
            return UNPROVEN
        if self.contested:
            self._settle_claims(log)
        self.primary = endpoint
        if optime is not None and self._is_plausible(optime, sent):
            self.observations.add(sent, optime)
        return EndpointEvidence(sent, True)

    def observe_read(self, endpoint: int, sent: float, optime: OpTime | None) -> EndpointEvidence:
        """Process the optime in a read's answer. It proves no role: a former primary also answers reads."""
        log = self._log_of(endpoint)
        if optime and log.optime and optime > log.optime and sent >= log.last_hello_sent:
            log.optime = optime
        if endpoint == self.primary:
            return UNPROVEN
        return EndpointEvidence(self._position_of(log), None)

    def observe_write_rejected(self, endpoint: int) -> None:
        """Record that an endpoint rejected a write: it is not the primary of any term so far."""
        self._withdraw_claim(endpoint, self._log_of(endpoint))
        claimants = sum(log.claimed_term == self.term for log in self.endpoints.values())
        self.contested = self.contested and claimants > 1

    def forget(self, endpoint: int) -> None:
        """Drop an endpoint that was removed from the list."""
        self.endpoints.pop(endpoint, None)
        if self.primary == endpoint:
            self.primary = None

    # Queries of the proxy

    def position(self, endpoint: int) -> float | None:
        """Return the position that the endpoint's last optime proves now, None without an optime."""
        log = self.endpoints.get(endpoint)
        return None if log is None or log.optime is None else self._position_of(log)

    def required_position(self, session_optime: OpTime, now: float) -> float:
        """Return the position that a replica needs for a read after the session's last commit.

        This is `now` if no observation includes the commit yet.
        """
        required = self.observations.required_position(session_optime)
        return now if required is None else min(required, now)

    def needs_observation(self, now: float, age_max: float) -> bool:
        """Return whether no observation is recent enough to prove a staleness of at most `age_max` s."""
        newest = self.observations.newest()
        return newest is None or now - newest.at > age_max

    # Terms and claims

    def _log_of(self, endpoint: int) -> EndpointLog:
        return self.endpoints.setdefault(endpoint, EndpointLog())

    def _begin_term(self, term: int) -> None:
        self.term = term
        self.primary = None
        self.contested = False
        self.observations = PrimaryObservations()

    def _accept_claim(self, endpoint: int) -> bool:
        """Return whether an endpoint that claims the current term is its primary; two claims contest it."""
        if self.primary is None and not self.contested:
            self.primary = endpoint
        if self.primary == endpoint:
            return True
        if self.primary is not None and self._log_of(self.primary).claimed_term == self.term:
            self.contested = True
            self.primary = None
            self.observations = PrimaryObservations()
        return False

    def _withdraw_claim(self, endpoint: int, log: EndpointLog) -> None:
        log.claimed_term = NO_TERM
        if self.primary == endpoint:
            self.primary = None

    def _settle_claims(self, winner: EndpointLog) -> None:
        """Drop the other claims of the contested term, since a write has proved the primary."""
        self.contested = False
        for log in self.endpoints.values():
            if log is not winner and log.claimed_term == self.term:
                log.claimed_term = NO_TERM

    def _is_plausible(self, optime: OpTime, at: float) -> bool:
        newest = self.observations.newest()
        if newest is None:
            return True
        elapsed = max(0.0, at - newest.at)
        return optime[0] <= newest.optime[0] + elapsed + OPTIME_LEAP_MAX_S

    def _position_of(self, log: EndpointLog) -> float:
        newest = self.observations.newest()
        if log.optime is None or log.term != self.term or newest is None:
            return POSITION_UNKNOWN
        if log.optime[0] > newest.optime[0] + OPTIME_LEAP_MAX_S:
            # A faulty report; or a valid one, if the primary was not observed for a minute: the next
            # observation corrects that.
            return POSITION_UNKNOWN
        position = self.observations.position_of(log.optime)
        return POSITION_UNKNOWN if position is None else position
