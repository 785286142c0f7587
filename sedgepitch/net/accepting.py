"""What a failed `accept` means for the connections that wait in the backlog. Pure.

A client in the backlog is connected, and may have sent its first request: for the client this process has
taken it. So whatever `accept` says, nothing that waits there is closed. Linux (accept(2)) has two kinds of
failure beside "nothing waits":

* One connection failed before it was accepted, or a pending network error of it is passed on: the next
  `accept` meets another one, so it is called again at once.
* This process or the machine is short of something (descriptors, buffers, memory). The connections stay in
  the backlog. The listener stays readable meanwhile, so accepting pauses, or the loop would spin; the pause
  doubles while the shortage lasts.

An error that is not documented is treated as a shortage: it costs a pause, never a connection.
"""

from __future__ import annotations

import errno
from enum import Enum

FIRST_PAUSE = 0.005  # s; short beside any client's deadline
LONGEST_PAUSE = 0.1  # s
LASTING = 0.5  # s of pauses in a row after which a shortage is no matter of a moment
# Failures in a row within one turn after which the rest waits for a pause as well.
MOST_SKIPPED = 16

NOTHING_WAITS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
ONE_CONNECTION = frozenset(
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
DESCRIPTORS_OUT = frozenset({errno.EMFILE, errno.ENFILE})


class AcceptFailure(Enum):
    """What a failed `accept` calls for."""

    NOTHING_WAITS = "nothing_waits"
    NEXT = "next"  # call it again at once
    SHORTAGE = "shortage"  # pause; what waits stays where it is


class AcceptRetry:
    """The pauses of one listener; all times in seconds."""

    __slots__ = ("_pause", "_paused", "_skipped", "failures")

    def __init__(self) -> None:
        self.failures = 0  # since the start, but for "nothing waits"
        self._pause = 0.0
        self._paused = 0.0  # sum of the pauses in a row
        self._skipped = 0

    @property
    def lasting(self) -> bool:
        """Whether a shortage has gone on for so long that room has to be made for those who wait."""
        return self._paused >= LASTING

    def failed(self, error: int) -> AcceptFailure:
        """Judge a failure by its errno."""
        if error in NOTHING_WAITS:
            self._skipped = 0
            return AcceptFailure.NOTHING_WAITS
        self.failures += 1
        if error in ONE_CONNECTION and self._skipped < MOST_SKIPPED:
            self._skipped += 1
            return AcceptFailure.NEXT
        self._skipped = 0
        return AcceptFailure.SHORTAGE

    def succeeded(self) -> None:
        """A connection was accepted: a later shortage begins with the first pause."""
        self._pause = self._paused = 0.0
        self._skipped = 0

    def next_pause(self) -> float:
        """Return for how long to leave the listener alone after a shortage."""
        self._pause = min(LONGEST_PAUSE, self._pause * 2.0 or FIRST_PAUSE)
        self._paused += self._pause
        return self._pause
