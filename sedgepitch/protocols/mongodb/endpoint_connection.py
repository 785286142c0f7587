"""One connection to an endpoint: hello, then one command at a time and its reply."""

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
    """Whom a connection tells: `ready` or `failed` once, and `lost` once after `ready`."""

    ready: Callable[[EndpointConnection, Message], None]  # with the answer to hello
    failed: Callable[[str], None]
    lost: Callable[[str], None]
    bytes_arrived: Callable[[float], None]  # gets the time of arrival in monotonic s, 0 where unknown


class EndpointConnection(FrameReceiver):
    """One connection to an endpoint: says `hello`, then carries one command at a time."""

    def __init__(self, hello: Payload, callbacks: ConnectionCallbacks) -> None:
        """Prepare a connection that opens with this `hello`."""
        super().__init__()
        self.hello = hello
        self.callbacks = callbacks
        self.request_id = 0  # of the command in flight, or the last one
        self.ready = False  # hello has been answered
        self.on_reply: Callable[[Message], None] | None = None
        self.close_reason = ""

    def connectionMade(self) -> None:
        """Say hello first."""
        self.transport.set_no_delay()
        self._write(self.hello)

    # What the connection pool asks

    def start(self, payload: Payload, done: Callable[[Message], None]) -> None:
        """Send one command; `done` gets its reply."""
        self.on_reply = done
        self._write(payload)

    def close(self) -> None:
        """End the connection at once."""
        self.close_reason = self.close_reason or "closed here"
        self.transport.abortConnection()

    def unsent(self) -> int:
        """Return how many bytes wait for the socket to take them."""
        return unsent_bytes(self.transport)

    def usable(self) -> bool:
        """Whether it may carry the next command."""
        return socket_state.is_open_and_idle(self.transport)

    def _write(self, payload: Payload) -> None:
        self.request_id = codec.next_request_id(self.request_id)
        self.transport.write(codec.build_raw(payload.sections(), self.request_id, 0))

    # Replies

    def dataReceived(self, data: bytes) -> None:
        """Take bytes, and report when they arrived."""
        self.callbacks.bytes_arrived(arrival_time(self.transport))
        super().dataReceived(data)

    def frame_received(self, frame: bytes) -> None:
        """Take one reply. One that was not asked for ends the connection: nothing after it can be trusted."""
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
        """End the connection on a frame length out of bounds."""
        self._break(f"a reply of {length} bytes")

    # Closing

    def _break(self, why: str) -> None:
        self.close_reason = why
        self.broken = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The connection has ended, by either side."""
        why = self.close_reason or reason.getErrorMessage()
        if self.ready:
            self.callbacks.lost(why)
        else:
            self.callbacks.failed(why)
