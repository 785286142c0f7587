"""Opening the port for clients, again and again for a while where the system refuses it for a moment.

A port may be refused at a start for reasons that pass: the previous process of this name is not gone yet
(EADDRINUSE), its address is not up (EADDRNOTAVAIL), descriptors or memory are short. Ending at the first
refusal would make a passing shortage a process that did not start.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError

from sedgepitch.core.types import Clock
from sedgepitch.net.listener import Listener

RETRY_EVERY = 0.1  # s between tries
OPEN_WITHIN = 10.0  # s; the platform counts a start as failed after 30 s
PASSING = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENETDOWN,
    }
)


class PortOpening:
    """Tries to open one port; exactly one of `opened` and `gave_up` is called, unless it is cancelled."""

    def __init__(
        self,
        clock: Clock,
        open_port: Callable[[], Listener],
        opened: Callable[[Listener], None],
        gave_up: Callable[[], None],
        say: Callable[..., None],
    ) -> None:
        self._clock, self._open_port = clock, open_port
        self._opened, self._gave_up, self._say = opened, gave_up, say
        self._until = clock.now() + OPEN_WITHIN
        self._timer: Any = None

    def start(self) -> None:
        """Make the first try."""
        self._timer = None
        try:
            port = self._open_port()
        except (CannotListenError, OSError) as problem:
            self._failed(problem)
        else:
            self._opened(port)

    def cancel(self) -> None:
        """Stop trying."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _failed(self, problem: CannotListenError | OSError) -> None:
        cause = problem.socketError if isinstance(problem, CannotListenError) else problem
        passing = getattr(cause, "errno", None) in PASSING
        again = passing and self._clock.now() + RETRY_EVERY < self._until
        self._say("listen.failed", why=str(problem), again_in_s=RETRY_EVERY if again else "never")
        if again:
            self._timer = self._clock.call_later(RETRY_EVERY, self.start)
        else:
            self._gave_up()
