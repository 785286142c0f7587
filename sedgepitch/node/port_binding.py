"""Binds the client port, retrying for BIND_TIMEOUT_S if binding fails.

Binding may fail at start for transient reasons: the previous process of this name has not exited yet
(EADDRINUSE), its address is not up (EADDRNOTAVAIL), or descriptors or memory are short. Exiting at the first
failure would turn a transient shortage into a proxy that does not start.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError

from sedgepitch.core.types import Clock
from sedgepitch.net.listener import Listener
from sedgepitch.net.shortage import LOCAL_SHORTAGE

RETRY_INTERVAL_S = 0.1
BIND_TIMEOUT_S = 10.0  # the platform treats a start as failed after 30 s
RETRYABLE = LOCAL_SHORTAGE | {errno.EADDRINUSE, errno.ENETDOWN}


class PortBinding:
    """Binds one port with `open_port`; calls exactly one of `on_bound` and `on_failed`, unless cancelled."""

    def __init__(
        self,
        clock: Clock,
        open_port: Callable[[], Listener],
        on_bound: Callable[[Listener], None],
        on_failed: Callable[[], None],
        log_event: Callable[..., None],
    ) -> None:
        self._clock = clock
        self._open_port = open_port
        self._on_bound = on_bound
        self._on_failed = on_failed
        self._log_event = log_event
        self._give_up_at = clock.now() + BIND_TIMEOUT_S
        self._timer: Any = None

    def attempt(self) -> None:
        """Try to bind the port; schedules the next attempt after a retryable failure."""
        self._timer = None
        try:
            port = self._open_port()
        except (CannotListenError, OSError) as error:
            self._attempt_failed(error)
        else:
            self._on_bound(port)

    def cancel(self) -> None:
        """Cancel further attempts."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _attempt_failed(self, error: CannotListenError | OSError) -> None:
        cause = error.socketError if isinstance(error, CannotListenError) else error
        retryable = getattr(cause, "errno", None) in RETRYABLE
        retry = retryable and self._clock.now() + RETRY_INTERVAL_S < self._give_up_at
        retry_in_s = RETRY_INTERVAL_S if retry else "never"
        self._log_event("listen.failed", reason=str(error), retry_in_s=retry_in_s)
        if retry:
            self._timer = self._clock.call_later(RETRY_INTERVAL_S, self.attempt)
        else:
            self._on_failed()
