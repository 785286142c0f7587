"""Shared code for client connections: back-pressure from the transport and connection numbering."""

from __future__ import annotations

from typing import Any, ClassVar, Protocol

from twisted.internet.interfaces import IProtocol, IPushProducer
from twisted.internet.protocol import Factory
from zope.interface import implementer


class WriteBlockable(Protocol):
    """A client connection that stops executing commands while the client does not read responses."""

    def on_write_blocked(self) -> None:
        """Handle a full send buffer of the transport."""

    def on_write_drained(self) -> None:
        """Handle an empty send buffer of the transport."""


@implementer(IPushProducer)
class WritePressure:
    """Push producer that forwards back-pressure of the transport to its client connection."""

    __slots__ = ("_connection",)

    def __init__(self, connection: WriteBlockable) -> None:
        """Forward to this connection."""
        self._connection = connection

    def pauseProducing(self) -> None:
        """Forward that the send buffer is full."""
        self._connection.on_write_blocked()

    def resumeProducing(self) -> None:
        """Forward that the send buffer is empty again."""
        self._connection.on_write_drained()

    def stopProducing(self) -> None:
        """Do nothing: `connectionLost` cleans up."""


class ConnectionCounter(Protocol):
    """The state of a listener that the factory needs."""

    accepted: int


class NumberingFactory(Factory):
    """Builds a `connection_type(listener, number)` for each accepted connection, numbered from 1."""

    noisy = False
    connection_type: ClassVar[Any]

    def __init__(self, listener: ConnectionCounter) -> None:
        """Build connections for this listener."""
        self.listener = listener

    def buildProtocol(self, _addr: object) -> IProtocol:
        """Return the protocol object of a new connection."""
        self.listener.accepted += 1
        connection: IProtocol = self.connection_type(self.listener, self.listener.accepted)
        return connection
