"""Shortages of this process or machine: which errors mean one, and the pauses while one lasts.

A call that fails for want of a descriptor, a port or memory says nothing of the other side, so it is retried
after a pause. The pauses are short beside any request deadline.
"""

from __future__ import annotations

import errno

OUT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})
LOCAL_SHORTAGE = OUT_OF_DESCRIPTORS | {
    errno.EADDRNOTAVAIL,  # no free local port, or the address is not up yet
    errno.EAGAIN,
    errno.EINTR,
    errno.ENOBUFS,
    errno.ENOMEM,
}
PAUSE_MIN_S = 0.005
PAUSE_MAX_S = 0.1


class ShortageBackoff:
    """Pauses that double from PAUSE_MIN_S to PAUSE_MAX_S."""

    __slots__ = ("next_pause_s",)

    def __init__(self) -> None:
        self.next_pause_s = PAUSE_MIN_S

    def advance(self) -> float:
        """Return the pause to make now, in seconds; the next one is longer."""
        pause_s = self.next_pause_s
        self.next_pause_s = min(PAUSE_MAX_S, 2.0 * pause_s)
        return pause_s

    def reset(self) -> None:
        """Start over with the shortest pause."""
        self.next_pause_s = PAUSE_MIN_S
