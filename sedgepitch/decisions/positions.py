"""Replication positions: up to which moment an endpoint surely has every commit, by the proxy's own clock.

Endpoints report optimes: how far they are in the replication log, in units of their own clocks. The router
wants positions: a time t of the proxy's clock so that the endpoint has all that was committed until t. What
connects the two is an *observation* of the primary: when a question sent at t came back from the primary with
the optime P, all that was committed until t stands in the log at or before P, whatever any wall clock says.
So an endpoint that has applied P has everything up to t. Three things follow:

* An idle primary needs no writes: each question to it is a new observation of the same P, and a replica that
  has P is fresh as of that question.
* Skew between endpoints' clocks plays no part: only the proxy's questions are timed, by one clock.
* An observation stays true for ever in the log it was made of. That log ends for us when a newer term is
  seen: the observations of the old one are dropped, and an endpoint counts again once its own optime carries
  the new term, which it can only have from the new log. A rolled back branch therefore never proves anything.

Optimes are compared as (seconds, increment) within the newest term. One that is far ahead of the log's own
pace is not believed. Two endpoints that claim one term as primary make the term contested: no role is
reported and no hello is an observation until a write settles it, since an endpoint that takes a write is the
primary and one that rejects it is not.

All times are seconds of the proxy's clock. Sources: MongoDB's replication documents (optimes, terms,
elections).
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from typing import NamedTuple

OpTime = tuple[int, int]  # seconds and increment: a point in the log of one term

OBSERVATIONS_MAX = 1024  # beyond it every second one of the older half goes; fewer are only more cautious
OPTIME_LEAP_MAX_S = 60.0  # that a log may be ahead of the newest observation and of the time since then
POSITION_UNKNOWN = 0.0  # the position of an endpoint that answered and proved nothing
NO_TERM = -1
NEVER_ASKED = float("-inf")


@dataclass(slots=True, frozen=True)
class EndpointEvidence:
    """What one answer proves: a position on the proxy's clock, and a role where that is certain."""

    position: float | None
    primary: bool | None


UNPROVEN = EndpointEvidence(None, None)


class Observation(NamedTuple):
    """The primary was asked at a time and reported an optime."""

    at: float
    optime: OpTime


class PrimaryObservations:
    """The observations of one log: later times with later optimes, none made useless by another.

    An observation is useless where a later question found an optime that is not greater.
    """

    def __init__(self) -> None:
        """Begin without observations."""
        self.optimes: list[OpTime] = []
        self.first_asked: list[float] = []  # the earliest question that found this optime
        self.last_asked: list[float] = []  # the latest

    def add(self, at: float, optime: OpTime) -> None:
        """Add an observation; answers may come in any order."""
        at_or_after = bisect_left(self.last_asked, at)
        if at_or_after < len(self.last_asked) and self.optimes[at_or_after] <= optime:
            if self.optimes[at_or_after] == optime:
                self.first_asked[at_or_after] = min(self.first_asked[at_or_after], at)
            return
        low = bisect_left(self.optimes, optime)
        first = at
        if low < len(self.optimes) and self.optimes[low] == optime:
            first = min(at, self.first_asked[low])
        high = bisect_right(self.last_asked, at)
        if low < high:
            del self.optimes[low:high], self.first_asked[low:high], self.last_asked[low:high]
        self.optimes.insert(low, optime)
        self.first_asked.insert(low, first)
        self.last_asked.insert(low, at)
        if len(self.optimes) > OBSERVATIONS_MAX:
            self._thin_out()

    def _thin_out(self) -> None:
        half = len(self.optimes) // 2
        del self.optimes[0:half:2], self.first_asked[0:half:2], self.last_asked[0:half:2]

    def position_of(self, optime: OpTime) -> float | None:
        """Return the time up to which an endpoint that has applied this optime has everything."""
        index = bisect_right(self.optimes, optime)
        return self.last_asked[index - 1] if index else None

    def required_position(self, optime: OpTime) -> float | None:
        """Return the least position that proves this optime applied, None where none is known yet."""
        index = bisect_left(self.optimes, optime)
        return self.first_asked[index] if index < len(self.optimes) else None

    def newest(self) -> Observation | None:
        """Return the latest observation, or None."""
        return Observation(self.last_asked[-1], self.optimes[-1]) if self.optimes else None


@dataclass(slots=True)
class EndpointLog:
    """What one endpoint has reported of its log and its role."""

    term: int = NO_TERM  # of its own newest log entry
    optime: OpTime | None = None
    claimed_term: int = NO_TERM  # in which it last called itself primary
    claimed_since: float = 0.0  # when it was asked and first said so in that term
    last_hello_sent: float = NEVER_ASKED  # when the newest question that it answered by hello was sent


@dataclass(slots=True)
class GroupPositions:
    """What is known of the log of one replica group, and of each endpoint's place in it."""

    term: int = NO_TERM  # the newest that any endpoint's log or claim has shown
    primary: int | None = None  # of that term
    contested: bool = False
    observations: PrimaryObservations = field(default_factory=PrimaryObservations)
    endpoints: dict[int, EndpointLog] = field(default_factory=dict)

    # What endpoints answer

    def observe_hello(
        self, endpoint: int, sent: float, primary: bool, term: int, optime: OpTime | None
    ) -> EndpointEvidence:
        """Take an endpoint's own report of role, term and last optime; `sent` is when it was asked."""
        log = self._log_of(endpoint)
        if sent < log.last_hello_sent:  # an older answer that comes late may tell of a log rolled back since
            return UNPROVEN
        log.last_hello_sent = sent
        if term > self.term:
            self._begin_term(term)
        log.term = term
        log.optime = optime
        if not primary:
            self._withdraw_claim(endpoint, log)
            return EndpointEvidence(self._position_of(log), False)
        if term < self.term:  # a primary of the past, that does not know of its successor
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
        """Take a write's success: its endpoint is the primary, and its optime is an observation."""
        log = self._log_of(endpoint)
        if log.claimed_term != self.term:
            # An old answer, of a term that is over; or it has just taken over, and its hello will say so.
            return EndpointEvidence(None, None if log.claimed_term >= 0 else True)
        if sent < log.claimed_since:  # it may have been primary of an earlier term, too
            return UNPROVEN
        if self.contested:
            self._settle_claims(log)
        self.primary = endpoint
        if optime is not None and self._is_plausible(optime, sent):
            self.observations.add(sent, optime)
        return EndpointEvidence(sent, True)

    def observe_read(self, endpoint: int, sent: float, optime: OpTime | None) -> EndpointEvidence:
        """Take the optime in a read's answer. It proves no role: a former primary answers reads, too."""
        log = self._log_of(endpoint)
        if optime and log.optime and optime > log.optime and sent >= log.last_hello_sent:
            log.optime = optime
        if endpoint == self.primary:
            return UNPROVEN
        return EndpointEvidence(self._position_of(log), None)

    def observe_write_rejected(self, endpoint: int) -> None:
        """Note that an endpoint rejected a write: it is not the primary of any term up to now."""
        self._withdraw_claim(endpoint, self._log_of(endpoint))
        claimants = sum(log.claimed_term == self.term for log in self.endpoints.values())
        self.contested = self.contested and claimants > 1

    def forget(self, endpoint: int) -> None:
        """Drop an endpoint that has left the list."""
        self.endpoints.pop(endpoint, None)
        if self.primary == endpoint:
            self.primary = None

    # What the proxy asks

    def position(self, endpoint: int) -> float | None:
        """Return what the endpoint's last optime proves by now, None where nothing is known of it."""
        log = self.endpoints.get(endpoint)
        return None if log is None or log.optime is None else self._position_of(log)

    def required_position(self, session_optime: OpTime, now: float) -> float:
        """Return the position that a replica needs for a read after the session's last commit.

        That is now where no observation shows the commit yet.
        """
        required = self.observations.required_position(session_optime)
        return now if required is None else min(required, now)

    def needs_observation(self, now: float, age_max: float) -> bool:
        """Whether the newest observation is too old to prove anyone fresh within that age, in seconds."""
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
        """Whether an endpoint that claims the present term is its primary; two claims contest it."""
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
        """A write proves who holds the contested term: the other claims were false."""
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
            # A broken report. It may also be a true one, where the proxy has not asked the primary for a
            # minute; the next observation mends that.
            return POSITION_UNKNOWN
        position = self.observations.position_of(log.optime)
        return POSITION_UNKNOWN if position is None else position
