"""Local resource shortages: the errors that indicate one, and the pauses between retries.

A call that fails for lack of a descriptor, a port or memory says nothing about the other side, so it is
retried after a pause. The pauses are short compared with any request deadline.
"""

from __future__ import annotations

import errno

OUT_OF_DESCRIPTORS = frozenset({errno.EMFILE, errno.ENFILE})
LOCAL_SHORTAGE = OUT_OF_DESCRIPTORS | {
    errno.EADDRNOTAVAIL,  # no free local port, or the address is not configured yet
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
        """Return the current pause in seconds, and double the next one."""
        pause_s = self.next_pause_s
        self.next_pause_s = min(PAUSE_MAX_S, 2.0 * pause_s)
        return pause_s

    def reset(self) -> None:
        """Restart with the shortest pause."""
        self.next_pause_s = PAUSE_MIN_S
