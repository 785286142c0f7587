"""One watch stream over a TCP connection, from connecting to its end."""

from __future__ import annotations

from typing import Any, Protocol

import h11
from twisted.internet import protocol
from twisted.python.failure import Failure

from sedgepitch.decisions.discovery.list_versions import Address
from sedgepitch.discovery.errors import MalformedListError, MissedChangesError
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

CONNECT_TIMEOUT_S = 30.0  # others are opened beside one that comes up late; see `watch_streams`
MAX_REASON_CHARS = 200


class WatchObserver(Protocol):
    """Receives the reports of a watch connection, until the connection is closed."""

    def bytes_received(self, watch: WatchConnection) -> None:
        """Handle the arrival of bytes, before what they contain is reported."""

    def response_started(self, watch: WatchConnection) -> None:
        """Handle the acceptance of the watch by discovery."""

    def object_received(self, watch: WatchConnection, data: bytes) -> None:
        """Handle a complete object.

        Raises MalformedListError if it is not a version of the endpoint list that can follow the ones before,
        MissedChangesError if it cannot be applied to the list held.
        """

    def heartbeat(self, watch: WatchConnection) -> None:
        """Handle received data that leaves no object incomplete."""

    def partial_object(self, watch: WatchConnection, begun: bool) -> None:
        """Handle part of an object that began in this data (`begun`) or earlier."""

    def malformed(self) -> None:
        """Handle data that is not a version of the endpoint list that can follow the ones before."""

    def lost(self, watch: WatchConnection, reason: str) -> None:
        """Handle the end of the watch, unless `close` caused it."""


class WatchConnection(protocol.ClientFactory, protocol.Protocol):
    """One connection to discovery; also its own factory, as each factory here builds a single connection."""

    transport: Any
    noisy = False

    def __init__(self, observer: WatchObserver, address: Address, revision: int) -> None:
        self.observer = observer
        self.address = address
        self.revision = revision  # the next changes are those after it; 0 requests the complete list
        self.exchange = WatchExchange()
        self.object_began_at = 0.0  # monotonic seconds; set and read by the observer
        self.connector: Any = None
        self.closed = False

    def open(self, reactor: Reactor) -> None:
        """Start to connect; the outcome is always reported after this call has returned."""
        self.connector = connect(reactor, *self.address, self, CONNECT_TIMEOUT_S)

    def buildProtocol(self, _addr: object) -> WatchConnection:
        """Return itself: the connection is its own factory."""
        return self

    def clientConnectionFailed(self, _connector: object, reason: Failure) -> None:
        """Report that the connection could not be established."""
        self.connector = None
        self._lost(reason.getErrorMessage())

    def connectionMade(self) -> None:
        """Send the request."""
        if self.closed:
            self.transport.abortConnection()
            return
        self.transport.set_no_delay()
        self.transport.write(self.exchange.request(self.address, self.revision))

    def dataReceived(self, data: bytes) -> None:
        """Parse bytes of the response and report the resulting events."""
        if self.closed:
            return
        self.observer.bytes_received(self)
        try:
            for event in self.exchange.receive(data):
                self._report(event)
                if self.closed:
                    return
        except h11.RemoteProtocolError as error:
            self._lost(str(error)[:MAX_REASON_CHARS] or "discovery does not speak HTTP/1.1")
        except MissedChangesError as error:
            self._lost(str(error))
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
        """Close the connection or stop connecting; nothing is reported afterwards."""
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
        """Report the loss, unless `close` caused it, and drop the connector, whose factory this is."""
        self.connector = None
        self._lost(reason.getErrorMessage())
