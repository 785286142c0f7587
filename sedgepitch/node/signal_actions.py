"""Actions of the program on signals: reload the configuration or shut down."""

from __future__ import annotations

import signal
from collections.abc import Callable

from sedgepitch.net.twisted_types import Reactor
from sedgepitch.node.config import NodeConfig, NodeConfigError
from sedgepitch.node.proxy import Proxy

RELOAD_RETRY_S = 0.1  # an invalid file may still be being written
MAX_RELOAD_ATTEMPTS = 20


class SignalActions:
    """Handles signals in the reactor thread.

    `read_config` raises NodeConfigError; `on_stopped` is called at the end of a graceful shutdown.
    """

    def __init__(
        self,
        reactor: Reactor,
        proxy: Proxy,
        read_config: Callable[[], NodeConfig],
        log_event: Callable[..., None],
        on_stopped: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._proxy = proxy
        self._read_config = read_config
        self._log_event = log_event
        self._on_stopped = on_stopped
        self._stopping = False
        self._reload_number = 0

    def receive(self, number: int) -> None:
        """Queue a signal for the reactor thread; called by the signal handler itself.

        The handler runs before anything else does after a suspension, so the last activity of the event loop
        is still that from before it.
        """
        sent_after = self._proxy.clients.loop_activity.last_ran_at
        self._reactor.callFromThread(self.handle, number, sent_after)

    def handle(self, number: int, sent_after: float) -> None:
        """Reload on SIGHUP; shut down on any other signal, ignoring repeated ones.

        `sent_after` is the earliest time at which the signal can have been sent.
        """
        if number == signal.SIGHUP:
            self._reload_number += 1
            self._reload(self._reload_number, attempt=1)
        elif not self._stopping:
            self._stopping = True
            self._proxy.stop(self._on_stopped, sent_after)

    def _reload(self, reload_number: int, attempt: int) -> None:
        """Reload the configuration file, retrying after RELOAD_RETRY_S while it is invalid."""
        if reload_number != self._reload_number:
            return  # superseded by a later SIGHUP
        try:
            self._proxy.reload(self._read_config())
        except NodeConfigError as error:
            if attempt == 1:
                self._log_event("config.invalid", reason=str(error), active="previous")
            if attempt < MAX_RELOAD_ATTEMPTS:
                self._reactor.callLater(RELOAD_RETRY_S, self._reload, reload_number, attempt + 1)
