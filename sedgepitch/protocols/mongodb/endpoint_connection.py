"""One connection to an endpoint: a hello handshake, then one command in flight at a time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from sedgepitch.net import socket_state
from sedgepitch.protocols.common.transports import arrival_time, unsent_bytes
from sedgepitch.protocols.mongodb import codec
from sedgepitch.protocols.mongodb.codec import MalformedMessage, Message
from sedgepitch.protocols.mongodb.framing import FrameReceiver
from sedgepitch.protocols.mongodb.payload import Payload


@dataclass(slots=True, frozen=True)
class ConnectionCallbacks:
    """Callbacks of a connection: either `ready` or `failed` is called once, `lost` once after `ready`."""

    ready: Callable[[EndpointConnection, Message], None]  # with the reply to hello
    failed: Callable[[str], None]
    lost: Callable[[str], None]
    bytes_arrived: Callable[[float], None]  # with the arrival time in monotonic seconds, 0 if unknown


class EndpointConnection(FrameReceiver):
    """One connection to an endpoint: sends `hello`, then carries one command at a time."""

    def __init__(self, hello: Payload, callbacks: ConnectionCallbacks) -> None:
        """Create a connection that starts with this `hello`."""
        super().__init__()
        self.hello = hello
        self.callbacks = callbacks
        self.request_id = 0  # of the command in flight or, if there is none, the last one
        self.ready = False  # the reply to hello has arrived
        self.on_reply: Callable[[Message], None] | None = None
        self.close_reason = ""

    def connectionMade(self) -> None:
        """Send hello first."""
        self.transport.set_no_delay()
        self._write(self.hello)

    # Called by the connection pool

    def start(self, payload: Payload, done: Callable[[Message], None]) -> None:
        """Send one command; `done` is called with its reply."""
        self.on_reply = done
        self._write(payload)

    def close(self) -> None:
        """Close the connection immediately."""
        self.close_reason = self.close_reason or "closed here"
        self.transport.abortConnection()

    def unsent(self) -> int:
        """Return the number of bytes that are not yet written to the socket."""
        return unsent_bytes(self.transport)

    def usable(self) -> bool:
        """Return whether the connection can carry the next command."""
        return socket_state.is_open_and_idle(self.transport)

    def _write(self, payload: Payload) -> None:
        self.request_id = codec.next_request_id(self.request_id)
        self.transport.write(codec.build_raw(payload.sections(), self.request_id, 0))

    # Replies

    def dataReceived(self, data: bytes) -> None:
        """Report the arrival time of the bytes, then process them."""
        self.callbacks.bytes_arrived(arrival_time(self.transport))
        super().dataReceived(data)

    def frame_received(self, frame: bytes) -> None:
        """Process one reply. An unsolicited reply closes the connection: later replies cannot be matched."""
        try:
            message = codec.parse(frame)
        except MalformedMessage as error:
            self._break(f"bad reply: {error}")
            return
        if message.response_to != self.request_id or (self.ready and self.on_reply is None):
            self._break(f"a reply to {message.response_to}, which was not asked")
            return
        if not self.ready:
            self.ready = True
            self.callbacks.ready(self, message)
            return
        on_reply, self.on_reply = self.on_reply, None
        assert on_reply is not None
        message.arrived = arrival_time(self.transport)
        on_reply(message)

    def length_refused(self, length: int) -> None:
        """Close the connection on a frame length out of bounds."""
        self._break(f"a reply of {length} bytes")

    # Closing

    def _break(self, reason: str) -> None:
        self.close_reason = reason
        self.broken = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report that the connection was closed, by either side."""
        self.discard_buffer()
        self.on_reply = None
        text = self.close_reason or reason.getErrorMessage()
        if self.ready:
            self.callbacks.lost(text)
        else:
            self.callbacks.failed(text)
