"""Opens connections, and keeps local resource shortages from counting as failures of the endpoint.

`socket` and `connect` may fail for lack of a descriptor, a local port or memory. If that were reported as a
failed connection, it would count against each endpoint tried. So the call is retried after a pause.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet import tcp
from twisted.internet.base import DelayedCall
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from sedgepitch.net.shortage import LOCAL_SHORTAGE, ShortageBackoff
from sedgepitch.net.transport import TimestampedClient
from sedgepitch.net.twisted_types import Reactor


class OutgoingConnection(ClientFactory):
    """Opens one connection.

    `make_protocol` returns its protocol. `on_failed` is called with the reason if the connection could not be
    opened. `retry_within_s` bounds the sum of the pauses during a shortage.
    """

    noisy = False

    def __init__(
        self,
        make_protocol: Callable[[], Protocol],
        on_failed: Callable[[str], None],
        retry_within_s: float,
    ) -> None:
        self.make_protocol = make_protocol
        self.on_failed = on_failed
        self.retry_within_s = retry_within_s
        self.connector: tcp.Connector | None = None
        self._paused_s = 0.0
        self._backoff = ShortageBackoff()
        self._retry: DelayedCall | None = None

    def open(self, reactor: Reactor, address: tuple[str, int], timeout_s: float) -> None:
        """Start to connect; `timeout_s` bounds one call of `connect`."""
        self.connector = connect(reactor, *address, self, timeout_s)

    def cancel(self) -> None:
        """Stop connecting; an open connection is closed."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self.connector is not None:
            self.connector.disconnect()

    def buildProtocol(self, _addr: object) -> Protocol:
        """Return the protocol of the connection."""
        return self.make_protocol()

    def clientConnectionFailed(self, connector: tcp.Connector, reason: Failure) -> None:
        """Retry after a pause if the failure was a local shortage and time is left, else report it."""
        local = getattr(reason.value, "osError", None) in LOCAL_SHORTAGE
        if not local or self._paused_s + self._backoff.next_pause_s > self.retry_within_s:
            self.connector = None
            self.on_failed(reason.getErrorMessage())
            return
        pause_s = self._backoff.advance()
        self._paused_s += pause_s
        self._retry = connector.reactor.callLater(pause_s, self._connect_again, connector)

    def clientConnectionLost(self, _connector: tcp.Connector, _reason: Failure) -> None:
        """Drop the connector, which refers to this factory: a closed connection is then freed at once."""
        self.connector = None

    def _connect_again(self, connector: tcp.Connector) -> None:
        self._retry = None
        connector.connect()


class _Connector(tcp.Connector):
    def _makeTransport(self) -> TimestampedClient:
        return TimestampedClient(self.host, self.port, self.bindAddress, self, self.reactor)


def connect(
    reactor: Reactor, host: str, port: int, factory: ClientFactory, timeout_s: float
) -> tcp.Connector:
    """Open a connection, like `reactor.connectTCP`; return the connector."""
    connector = _Connector(host, port, factory, timeout_s, None, reactor)
    connector.connect()
    return connector
