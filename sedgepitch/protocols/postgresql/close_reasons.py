"""Why a client connection was closed: the reasons, a counter for each, and the report of an unusual close."""

from __future__ import annotations

import errno
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from sedgepitch.net import transport


class CloseReason(Enum):
    """Who closed a client connection, and why."""

    PEER_CLOSED = "peer_closed"  # the client ended its connection in order
    PEER_RESET = "peer_reset"  # the client reset its connection
    CONNECTION_FAILED = "connection_failed"  # a read or the socket reported any other error
    LEFT_UNREAD = "left_unread"  # the client was found disconnected behind bytes that were not read yet
    TERMINATED = "terminated"  # the client sent Terminate or a cancel request
    BAD_MESSAGE = "bad_message"
    EVICTED = "evicted"  # no descriptor was free for a newcomer
    REST_LIMIT = "rest_limit"  # too many idle clients
    TOO_SLOW = "too_slow"  # nothing, or half of a message, for too long
    NOT_TAKEN = "not_taken"  # the client did not read its answer
    FLOODED = "flooded"  # too much came behind an error
    SHUTDOWN = "shutdown"
    FAULT = "fault"  # an exception in this program


# What clients do themselves is counted, never logged one by one.
CLOSED_BY_CLIENT = frozenset({CloseReason.PEER_CLOSED, CloseReason.PEER_RESET, CloseReason.LEFT_UNREAD})
# Routine closes are logged only where a request or unread bytes were left behind.
ROUTINE_REASONS = frozenset({CloseReason.TERMINATED, CloseReason.REST_LIMIT, CloseReason.SHUTDOWN})


@dataclass(frozen=True, slots=True)
class CloseReport:
    """One closed client connection, as it is logged."""

    number: int  # of the connection, counted from the start of the process
    reason: CloseReason
    detail: str  # the error's text, where there was one
    request: str  # id of the request that had no answer yet, or ""
    attempts: int  # of that request
    read_bytes: int  # read from the client and not executed yet
    lasted: float  # s since the connection was accepted


def reason_of_loss(lost: Failure) -> CloseReason:
    """Return why a connection ended that this program did not close by intent."""
    error = lost.value
    if isinstance(error, ConnectionDone):
        return CloseReason.PEER_CLOSED
    if isinstance(error, (transport.ReadFailed, transport.SocketFailed)):
        was_reset = error.errno in (errno.ECONNRESET, errno.EPIPE)
        return CloseReason.PEER_RESET if was_reset else CloseReason.CONNECTION_FAILED
    if isinstance(error, ConnectionLost):  # what Twisted's transport reports for a failed write
        return CloseReason.PEER_RESET
    return CloseReason.FAULT


class CloseLog:
    """Counts closes by reason, and reports those that an operator should see to `report`."""

    def __init__(self, report: Callable[[CloseReport], None] | None = None) -> None:
        """Begin with no closes counted."""
        self.counts: Counter[CloseReason] = Counter()
        self.with_request = 0  # connections that ended while a request on them had no answer
        self.report = report

    def closed(self, report: CloseReport) -> None:
        """Note one closed connection."""
        self.counts[report.reason] += 1
        if report.request:
            self.with_request += 1
        if self.report is not None and self._is_unusual(report):
            self.report(report)

    @staticmethod
    def _is_unusual(report: CloseReport) -> bool:
        if report.reason in CLOSED_BY_CLIENT:
            return False
        return bool(report.request or report.read_bytes) or report.reason not in ROUTINE_REASONS

    def summary(self) -> str:
        """Return the counts as `reason:count`, joined by commas; "none" where there are none."""
        found = [f"{reason.value}:{count}" for reason, count in self.counts.items()]
        return ",".join(sorted(found)) or "none"
