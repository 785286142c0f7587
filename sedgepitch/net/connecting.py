"""Opening connections, where this process's own shortage is not taken for the other side's failure.

`socket` and `connect` may fail for want of a descriptor, a local port or memory. That says nothing of the
server, and reported as a failed connection it would count against each server that was tried. So the opening
is tried again after a short pause, for as long as its owner gives it.
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

from twisted.internet import tcp
from twisted.internet.protocol import ClientFactory

from sedgepitch.net.transport import StampedClient

LOCAL_SHORTAGE = frozenset(
    {
        errno.EADDRNOTAVAIL,  # no free local port
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
FIRST_PAUSE = 0.005  # s
LONGEST_PAUSE = 0.1  # s


class Opening(ClientFactory):
    """Opens one connection: `make` gives its protocol, `failed` hears why none came about.

    `within` bounds the tries of an opening that this process's own shortage holds up, in seconds.
    """

    noisy = False

    def __init__(self, make: Callable[[], Any], failed: Callable[[str], None], within: float) -> None:
        self.make, self.failed, self.within = make, failed, within
        self.connector: tcp.Connector | None = None
        self._waited = 0.0
        self._pause = FIRST_PAUSE
        self._retry: Any = None

    def buildProtocol(self, addr: Any) -> Any:
        """Build it."""
        return self.make()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """No connection: try again where that was this process's own shortage, and time is left."""
        local = getattr(reason.value, "osError", None) in LOCAL_SHORTAGE
        if not local or self._waited + self._pause > self.within:
            self.failed(reason.getErrorMessage())
            return
        self._waited += self._pause
        self._retry = connector.reactor.callLater(self._pause, self._connect_again, connector)
        self._pause = min(LONGEST_PAUSE, 2.0 * self._pause)

    def _connect_again(self, connector: Any) -> None:
        self._retry = None
        connector.connect()

    def open(self, reactor: Any, address: tuple[str, int], timeout: float) -> None:
        """Begin; `timeout` bounds one try, in seconds."""
        self.connector = connect(reactor, *address, self, timeout)

    def give_up(self) -> None:
        """Stop opening; an open connection is closed."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self.connector is not None:
            self.connector.disconnect()


class _Connector(tcp.Connector):
    def _makeTransport(self) -> StampedClient:
        return StampedClient(self.host, self.port, self.bindAddress, self, self.reactor)


def connect(reactor: Any, host: str, port: int, factory: Any, timeout: float) -> tcp.Connector:
    """Open a connection, like `reactor.connectTCP`; returns the connector."""
    connector = _Connector(host, port, factory, timeout, None, reactor)
    connector.connect()
    return connector
