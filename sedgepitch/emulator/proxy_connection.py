"""One connection from a proxy to an emulated server."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import bson
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from sedgepitch.emulator.query_language import Document
from sedgepitch.protocols.mongodb import codec
from sedgepitch.protocols.mongodb.codec import MalformedMessage, Message
from sedgepitch.protocols.mongodb.framing import FrameReceiver

if TYPE_CHECKING:
    from sedgepitch.emulator.server import EmulatedServer


class ProxyConnection(FrameReceiver):
    """One connection from a proxy; its hello carries the name of the proxy."""

    def __init__(self, server: EmulatedServer) -> None:
        """Accept a connection to this server."""
        super().__init__()
        self.server = server
        self.proxy = ""

    def connectionMade(self) -> None:
        """Refuse the connection if a fault or the connection limit requires it."""
        server = self.server
        faults = server.faults
        limit = server.timing.connections if faults.connections_max is None else faults.connections_max
        if faults.refuses_connections or len(server.connections) >= limit:
            self.transport.abortConnection()
            return
        self.transport.set_no_delay()
        server.connections.add(self)

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Remove the connection, whichever side closed it."""
        self.server.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Receive bytes; record how long they waited to be read, a delay that the emulator itself causes."""
        if self.transport.arrived:
            self.server.record.record_wait(time.monotonic() - self.transport.arrived)
        super().dataReceived(data)

    def frame_received(self, frame: bytes) -> None:
        """Receive one command; a malformed one aborts the connection."""
        try:
            message = codec.parse(frame)
            command: Document = bson.decode(message.body)
            for section in message.sections:
                command[section.name] = bson.decode_all(section.documents)
        except (MalformedMessage, bson.errors.BSONError):
            self.transport.abortConnection()
            return
        self.server.receive(self, message, command)

    def note_hello(self, command: Document) -> None:
        """Store the proxy name from a hello."""
        client = command.get("client") or {}
        name = str((client.get("application") or {}).get("name", ""))
        self.proxy = name or self.proxy

    def reply(self, message: Message, body: Document) -> None:
        """Send a reply, if the connection is still open."""
        if self.transport is not None and self in self.server.connections:
            self.transport.write(codec.build(bson.encode(body), 1, message.request_id))
