"""One watch stream on a socket, from connecting to its end."""

from __future__ import annotations

from typing import Any, Protocol

import h11
from twisted.internet import protocol
from twisted.python.failure import Failure

from sedgepitch.decisions.discovery.list_versions import Address
from sedgepitch.discovery.errors import MalformedListError
from sedgepitch.discovery.watch_exchange import (
    Heartbeat,
    ObjectReceived,
    PartialObject,
    ResponseStarted,
    WatchEnded,
    WatchEvent,
    WatchExchange,
)
from sedgepitch.net.connecting import connect
from sedgepitch.net.twisted_types import Reactor

CONNECT_TIMEOUT_S = 1.0  # the source runs on this machine
MAX_REASON_CHARS = 200


class WatchObserver(Protocol):
    """What a watch connection reports to its owner; nothing more once it has been closed."""

    def response_started(self, watch: WatchConnection) -> None:
        """The source accepted the watch."""

    def object_received(self, watch: WatchConnection, data: bytes) -> None:
        """One complete object arrived. Raises MalformedListError if it is no endpoint list."""

    def heartbeat(self, watch: WatchConnection) -> None:
        """Data arrived, and no object is incomplete."""

    def partial_object(self, watch: WatchConnection, begun: bool) -> None:
        """Part of an object arrived, which began in this data (`begun`) or earlier."""

    def malformed(self) -> None:
        """The source sent what is no endpoint list, so what it meant to say is unknown."""

    def lost(self, watch: WatchConnection, reason: str) -> None:
        """The watch ended, and not by `close`."""


class WatchConnection(protocol.ClientFactory, protocol.Protocol):
    """One connection to discovery; it is its own factory, since a factory here makes one connection."""

    transport: Any
    noisy = False

    def __init__(self, observer: WatchObserver, address: Address, revision: int) -> None:
        self.observer = observer
        self.address = address
        self.revision = revision  # changes after it are requested; 0 requests the complete list
        self.exchange = WatchExchange()
        self.object_began_at = 0.0  # monotonic seconds; kept for the owner
        self.connector: Any = None
        self.closed = False

    def open(self, reactor: Reactor) -> None:
        """Begin to connect; the outcome is reported later, never from within this call."""
        self.connector = connect(reactor, *self.address, self, CONNECT_TIMEOUT_S)

    def buildProtocol(self, _addr: object) -> WatchConnection:
        """Return itself, as Twisted's factories return their protocol."""
        return self

    def clientConnectionFailed(self, _connector: object, reason: Failure) -> None:
        """Report that no connection came about."""
        self._lost(reason.getErrorMessage())

    def connectionMade(self) -> None:
        """Send the request."""
        if self.closed:
            self.transport.abortConnection()
            return
        self.transport.set_no_delay()
        self.transport.write(self.exchange.request(self.address, self.revision))

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of the response and report what they say."""
        if self.closed:
            return
        try:
            for event in self.exchange.receive(data):
                self._report(event)
                if self.closed:
                    return
        except h11.RemoteProtocolError as error:
            self._lost(str(error)[:MAX_REASON_CHARS] or "discovery does not speak HTTP/1.1")
        except MalformedListError as error:
            self.observer.malformed()
            self._lost(str(error)[:MAX_REASON_CHARS])

    def _report(self, event: WatchEvent) -> None:
        match event:
            case ResponseStarted():
                self.observer.response_started(self)
            case ObjectReceived(data):
                self.observer.object_received(self, data)
            case Heartbeat():
                self.observer.heartbeat(self)
            case PartialObject(begun):
                self.observer.partial_object(self, begun)
            case WatchEnded(reason):
                self._lost(reason)

    def close(self) -> None:
        """Close the connection, or stop connecting; nothing is reported from here on."""
        self.closed = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()

    def _lost(self, reason: str) -> None:
        if not self.closed:
            self.close()
            self.observer.lost(self, reason)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Report the end, if the other side caused it."""
        self._lost(reason.getErrorMessage())
