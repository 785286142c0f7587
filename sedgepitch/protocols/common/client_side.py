"""Common parts of the client sides: back-pressure from the transport, and numbered connections."""

from __future__ import annotations

from typing import Any, ClassVar, Protocol

from twisted.internet.interfaces import IProtocol, IPushProducer
from twisted.internet.protocol import Factory
from zope.interface import implementer


class WriteBlockable(Protocol):
    """A client connection that stops executing commands while its responses are not read."""

    def on_write_blocked(self) -> None:
        """The transport's send buffer is full."""

    def on_write_drained(self) -> None:
        """The transport has sent all that was buffered."""


@implementer(IPushProducer)
class WritePressure:
    """The producer that a client's transport pauses while the client does not read its responses."""

    __slots__ = ("_connection",)

    def __init__(self, connection: WriteBlockable) -> None:
        """Tell this connection."""
        self._connection = connection

    def pauseProducing(self) -> None:
        """The transport's send buffer is full."""
        self._connection.on_write_blocked()

    def resumeProducing(self) -> None:
        """The transport's send buffer is empty again."""
        self._connection.on_write_drained()

    def stopProducing(self) -> None:
        """The connection ends; `connectionLost` does what is to be done."""


class ConnectionCounter(Protocol):
    """What all connections of one listener share, as far as the factory needs it."""

    accepted: int


class NumberingFactory(Factory):
    """Makes a `connection_type(listener, number)` for each accepted connection, numbered from 1."""

    noisy = False
    connection_type: ClassVar[Any]

    def __init__(self, listener: ConnectionCounter) -> None:
        """Make connections for this listener."""
        self.listener = listener

    def buildProtocol(self, _addr: object) -> IProtocol:
        """Return the protocol object of the next connection."""
        self.listener.accepted += 1
        connection: IProtocol = self.connection_type(self.listener, self.listener.accepted)
        return connection
