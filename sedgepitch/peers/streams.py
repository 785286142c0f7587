"""Streams between peers: one exchange of cluster states, or a ping, over a TCP connection.

Each side returns the other's nonce, which proves that neither side of a stream is a replay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory, ServerFactory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.peers import wire
from sedgepitch.peers.counters import PeerCounter
from sedgepitch.peers.wire import (
    Envelope,
    InvalidMessageError,
    MessageTooLargeError,
    StreamHello,
    StreamHelloReply,
    StreamState,
)

if TYPE_CHECKING:
    from sedgepitch.peers.service import PeerService

STREAM_TIMEOUT_S = 2.0  # for a complete exchange
NONCE_BYTES = 16
MAX_NONCE_BYTES = 64
LENGTH_PREFIX_BYTES = 4


class Stream(Int32StringReceiver):
    """One side of an exchange.

    `accepted` is true on the side that accepted the connection. `ping_target` is the member that this side
    opened the stream to ping; empty if states are exchanged.
    """

    MAX_LENGTH = wire.MAX_FRAME_BYTES
    transport: Any

    def __init__(self, service: PeerService, accepted: bool, ping_target: str = "") -> None:
        """Create one side of an exchange, with a new nonce."""
        self.accepted = accepted
        self.ping_target = ping_target
        self._service = service
        self._nonce = service.rng.randbytes(NONCE_BYTES)
        self._peer_nonce = b""
        self._timeout: Any = None
        self._finished = False

    def connectionMade(self) -> None:
        """Start the exchange: the side that connected sends the first frame."""
        self._service.streams.add(self)
        self._timeout = self._service.clock.call_later(STREAM_TIMEOUT_S, self.abort)
        if not self.accepted:
            self._send(StreamHello(self._nonce), self.ping_target)

    def abort(self) -> None:
        """Close the connection immediately."""
        self._finished = True
        if self.transport is not None:
            self.transport.abortConnection()

    def stringReceived(self, string: bytes) -> None:
        """Handle one frame."""
        service = self._service
        if self._finished or service.stopped:
            return
        if service.was_suspended():
            self.abort()
            return
        try:
            envelope = wire.decode(service.authenticator, string, wire.MAX_FRAME_BYTES)
            self._handle(envelope)
        except InvalidMessageError as error:
            self._reject(str(error))

    def lengthLimitExceeded(self, length: int) -> None:
        """Reject a frame that is too long."""
        self._reject(f"a frame of {length} bytes")

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Remove the stream and cancel its timeout."""
        self._finished = True
        self._service.streams.discard(self)
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None

    def _handle(self, envelope: Envelope) -> None:
        """Process the next frame of the exchange; raises InvalidMessageError if it is out of order."""
        node = self._service.node
        body, sender = envelope.body, envelope.sender
        if node is None or envelope.to not in (node.name, "") or sender == node.name:
            raise InvalidMessageError(f"a frame from '{sender}' to '{envelope.to}'")
        if self.accepted and isinstance(body, StreamHello):
            self._peer_nonce = body.nonce[:MAX_NONCE_BYTES]
            self._send(StreamHelloReply(self._peer_nonce, self._nonce), sender)
        elif isinstance(body, StreamHelloReply) and self._expects(body):
            self._peer_nonce = body.nonce[:MAX_NONCE_BYTES]
            state = None if self.ping_target else node.state(self._service.clock.now())
            self._send(StreamState(self._peer_nonce, state), sender)
        elif isinstance(body, StreamState) and body.echo == self._nonce:
            self._finish(node, envelope, body)
        else:
            raise InvalidMessageError(f"a frame out of turn from '{sender}'")

    def _expects(self, reply: StreamHelloReply) -> bool:
        return not self.accepted and not self._peer_nonce and reply.echo == self._nonce

    def _finish(self, node: GossipNode, envelope: Envelope, body: StreamState) -> None:
        """Report the other side's state; on the accepting side, reply with its own; then close."""
        self._service.stream_completed(self, envelope, body.state)
        if self.accepted:
            state = node.state(self._service.clock.now()) if body.state is not None else None
            self._send(StreamState(self._peer_nonce, state), envelope.sender)
        self._finished = True
        if self.transport is not None:
            self.transport.loseConnection()

    def _send(self, body: wire.Body, to: str) -> None:
        service = self._service
        try:
            data = wire.encode(service.authenticator, service.envelope(to, body), wire.MAX_FRAME_BYTES)
        except MessageTooLargeError as error:
            self._reject(str(error))
            return
        service.stream_bytes += len(data) + LENGTH_PREFIX_BYTES
        self.sendString(data)  # type: ignore[no-untyped-call]  # of Twisted

    def _reject(self, reason: str) -> None:
        source: IAddress = self.transport.getPeer()
        address = (source.host, source.port) if isinstance(source, IPv4Address) else ("?", 0)
        self._service.input_errors.invalid_frame(reason, address)
        self.abort()


class AcceptedStreams(ServerFactory):
    """Create the streams that other peers open to this peer, up to a limit."""

    noisy = False

    def __init__(self, service: PeerService) -> None:
        """Create streams for this service."""
        self._service = service

    def buildProtocol(self, _addr: IAddress | None) -> Stream | None:
        """Return a stream, or None to refuse the connection."""
        if not self._service.may_accept_stream():
            self._service.counters[PeerCounter.STREAMS_REFUSED] += 1
            return None
        return Stream(self._service, accepted=True)


class OpenedStream(ClientFactory):
    """Create a stream that this peer opens to another peer."""

    noisy = False

    def __init__(self, service: PeerService, ping_target: str) -> None:
        """Create the stream for this service."""
        self._service = service
        self._ping_target = ping_target

    def buildProtocol(self, _addr: IAddress | None) -> Stream:
        """Return the stream."""
        return Stream(self._service, accepted=False, ping_target=self._ping_target)
