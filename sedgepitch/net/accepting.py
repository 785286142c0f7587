"""Classification of failed `accept` calls. Performs no I/O.

A client in the backlog is connected and may have sent a request: from its point of view, this process has
accepted it. So no connection in the backlog is closed, whatever `accept` reports. On Linux (accept(2)) there
are two kinds of failure besides an empty backlog:

* One connection failed before it was accepted, or one of its pending network errors is reported. The next
  `accept` returns another connection, so it is called again at once.
* This process or the machine is short of descriptors, buffers or memory. The connections stay in the backlog.
  The listener stays readable meanwhile, so accepting pauses to keep the event loop from spinning.

An undocumented error is treated as a shortage: it costs a pause, never a connection.
"""

from __future__ import annotations

import errno
from enum import Enum

from sedgepitch.net.shortage import ShortageBackoff

LASTING_SHORTAGE_S = 0.5  # sum of consecutive pauses
MAX_CONSECUTIVE_SKIPS = 16  # failed connections per turn; then the rest of the backlog waits for a pause

BACKLOG_EMPTY = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
CONNECTION_FAILED = frozenset(
    {
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPERM,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
    }
)


class AcceptFailure(Enum):
    """How to react to a failed `accept`."""

    BACKLOG_EMPTY = "backlog_empty"
    NEXT = "next"  # call `accept` again at once
    SHORTAGE = "shortage"  # pause; the backlog is left as it is


class AcceptRetry:
    """The retry state of one listener."""

    __slots__ = ("_backoff", "_paused_s", "_skipped", "failures")

    def __init__(self) -> None:
        self.failures = 0  # since the start, not counting empty backlogs
        self._backoff = ShortageBackoff()
        self._paused_s = 0.0  # sum of the consecutive pauses
        self._skipped = 0

    @property
    def lasting(self) -> bool:
        """Whether the pauses sum to LASTING_SHORTAGE_S, so that descriptors have to be freed."""
        return self._paused_s >= LASTING_SHORTAGE_S

    def failed(self, error: int) -> AcceptFailure:
        """Classify a failure by its errno, 0 if the system gave none."""
        if error in BACKLOG_EMPTY:
            self._skipped = 0
            return AcceptFailure.BACKLOG_EMPTY
        self.failures += 1
        if error in CONNECTION_FAILED and self._skipped < MAX_CONSECUTIVE_SKIPS:
            self._skipped += 1
            return AcceptFailure.NEXT
        self._skipped = 0
        return AcceptFailure.SHORTAGE

    def succeeded(self) -> None:
        """Record an accepted connection: the next shortage starts with the shortest pause."""
        self._backoff.reset()
        self._paused_s = 0.0
        self._skipped = 0

    def next_pause(self) -> float:
        """Return how many seconds to pause accepting during a shortage."""
        pause_s = self._backoff.advance()
        self._paused_s += pause_s
        return pause_s
