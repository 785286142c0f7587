"""Reasons for closing client connections, with a counter for each and a report of unusual closes."""

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
    """Why a client connection was closed; the values are written to the log."""

    PEER_CLOSED = "peer_closed"  # orderly close by the client
    PEER_RESET = "peer_reset"  # connection reset by the client
    CONNECTION_FAILED = "connection_failed"  # any other error of a read or of the socket
    DISCONNECTED_UNREAD = "left_unread"  # the client disconnected while its input was still unread
    TERMINATED = "terminated"  # the client sent Terminate or a cancel request
    BAD_MESSAGE = "bad_message"
    EVICTED = "evicted"  # closed to free a descriptor for a new connection
    IDLE_LIMIT = "rest_limit"  # too many idle clients
    INPUT_TIMEOUT = "too_slow"  # sent nothing, or an incomplete message, until the timeout
    RESPONSE_NOT_READ = "not_taken"  # the client did not read its response until the timeout
    FLOODED = "flooded"  # sent too much input after an error
    OUT_OF_MEMORY = "out_of_memory"  # incomplete start-up message, while clients hold too much memory
    SHUTDOWN = "shutdown"
    INTERNAL_ERROR = "fault"  # an exception in the proxy


# Closes caused by the client: counted, but not logged individually.
CLOSED_BY_CLIENT = frozenset(
    {CloseReason.PEER_CLOSED, CloseReason.PEER_RESET, CloseReason.DISCONNECTED_UNREAD}
)
# Routine closes: logged only if a request or unexecuted bytes were left.
ROUTINE_REASONS = frozenset({CloseReason.TERMINATED, CloseReason.IDLE_LIMIT, CloseReason.SHUTDOWN})
# Closes of idle connections by the proxy.
CLOSES_BETWEEN_REQUESTS = frozenset({CloseReason.EVICTED, CloseReason.IDLE_LIMIT, CloseReason.SHUTDOWN})


@dataclass(frozen=True, slots=True)
class CloseDecision:
    """Why the proxy closes a connection, and what the connection had received then."""

    reason: CloseReason
    state: str = ""
    missing_bytes: int = 0  # of an incomplete message, as its header announces
    socket_bytes: int = 0  # in the socket, not read


@dataclass(frozen=True, slots=True)
class CloseReport:
    """One closed client connection, as logged."""

    number: int  # sequence number of the connection since the process started
    reason: CloseReason
    detail: str  # text of the error, if any
    request: str  # id of the request that was still pending, or ""
    attempts: int  # attempts of that request
    unexecuted_bytes: int  # read from the client and not executed yet
    duration: float  # s since the connection was accepted
    state: str = ""  # of the connection when the proxy decided to close it
    missing_bytes: int = 0  # of an incomplete message, as its header announces
    socket_bytes: int = 0  # in the socket, not read, when the proxy decided to close it


def reason_of_loss(failure: Failure) -> CloseReason:
    """Return the reason for the loss of a connection that the proxy did not close itself."""
    error = failure.value
    if isinstance(error, ConnectionDone):
        return CloseReason.PEER_CLOSED
    if isinstance(error, (transport.ReadFailed, transport.SocketFailed)):
        was_reset = error.errno in (errno.ECONNRESET, errno.EPIPE)
        return CloseReason.PEER_RESET if was_reset else CloseReason.CONNECTION_FAILED
    if isinstance(error, ConnectionLost):  # reported by Twisted's transport for a failed write
        return CloseReason.PEER_RESET
    return CloseReason.INTERNAL_ERROR


class CloseLog:
    """Counts closes by reason and passes unusual ones to `report`."""

    def __init__(self, report: Callable[[CloseReport], None] | None = None) -> None:
        """Start with all counts at zero."""
        self.counts: Counter[CloseReason] = Counter()
        self.with_request = 0  # connections closed while their request was pending
        self.report = report

    def closed(self, report: CloseReport) -> None:
        """Count a closed connection and report it if it is unusual."""
        self.counts[report.reason] += 1
        if report.request:
            self.with_request += 1
        if self.report is not None and self._is_unusual(report):
            self.report(report)

    @staticmethod
    def _is_unusual(report: CloseReport) -> bool:
        if report.reason in CLOSED_BY_CLIENT:
            return False
        if report.request or report.unexecuted_bytes or report.socket_bytes:
            return True
        return report.reason not in ROUTINE_REASONS

    def summary(self) -> str:
        """Return the counts as `reason:count`, joined by commas; "none" if there are none."""
        counts = [f"{reason.value}:{count}" for reason, count in self.counts.items()]
        return ",".join(sorted(counts)) or "none"
