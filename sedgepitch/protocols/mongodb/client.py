"""One client connection of the MongoDB protocol: framing, flow control and replies.

A connection executes one command at a time and answers in order. What a client sends ahead is buffered, up to
a bound, after which its socket is not read; a client that does not read its replies is not served further.
Both keep memory bounded, and a client that disconnects is still noticed while its request is pending.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from sedgepitch.core.request_table import PendingRequest
from sedgepitch.protocols.common.client_side import NumberingFactory, WritePressure
from sedgepitch.protocols.common.transports import arrival_time
from sedgepitch.protocols.mongodb import codec, error_replies
from sedgepitch.protocols.mongodb.client_context import ClientContext
from sedgepitch.protocols.mongodb.codec import MalformedMessage, Message
from sedgepitch.protocols.mongodb.commands import CommandError
from sedgepitch.protocols.mongodb.framing import FrameReceiver

READ_AHEAD_BYTES = 256 * 1024  # that a client may send ahead before its socket is left unread


class ClientConnection(FrameReceiver):
    """One client. `number` counts the listener's connections from the start of the process.

    While a command is executing, or yields to other clients, frames are `paused`.
    """

    def __init__(self, context: ClientContext, number: int) -> None:
        """Begin before the first byte."""
        super().__init__()
        self.context = context
        self.number = number
        self.frame_bytes_max = context.frame_bytes_max
        self.request: PendingRequest | None = None
        self.executing = False  # a command has not been answered yet
        self.write_blocked = False  # the client does not read its replies
        self.reads_paused = False  # the socket is left unread
        self.last_reply_id = 0
        self.awaited_hello: Any = None  # the timer of a hello that is held back
        self.address = ""
        self.app_name = ""
        self.compressors: list[str] = []
        self.has_submitted = False  # a command has gone to the engine
        self.tenant = ""  # of its last request

    # Reading

    def connectionMade(self) -> None:
        """Count the connection, and reject one above the bound."""
        context = self.context
        context.connections.add(self)
        if len(context.connections) > context.connections_max:
            context.log_event("client.rejected", connection=self.number, reason="too many connections")
            self.transport.abortConnection()
            return
        self.address = str(getattr(self.transport.getPeer(), "host", ""))
        self.transport.set_no_delay()
        self.transport.registerProducer(WritePressure(self), True)

    def dataReceived(self, data: bytes) -> None:
        """Buffer bytes, and execute what is complete unless a command is executing."""
        if not self.reads_paused:
            self._report_read_delay()
        super().dataReceived(data)
        if self.paused and self.buffered > READ_AHEAD_BYTES and not self.reads_paused:
            self.reads_paused = True
            self.transport.pauseProducing()

    def _report_read_delay(self) -> None:
        """Tell the engine how long the bytes had waited that are now read, where that is known."""
        if arrival_time(self.transport):
            now = self.context.clock.now()
            self.context.engine.record_wait(self.transport.read_delay(now), now)

    def advance(self) -> None:
        """Execute the next buffered command, if nothing holds it back."""
        if self.executing or self.write_blocked or not self.paused:
            return
        self.resume_frames()
        if not self.paused and self.reads_paused:
            self.reads_paused = False
            self.transport.resumeProducing()

    def on_write_blocked(self) -> None:
        """The client does not read its replies."""
        self.write_blocked = True

    def on_write_drained(self) -> None:
        """The client has been sent all replies."""
        self.write_blocked = False
        self.advance()

    # Commands

    def frame_received(self, frame: bytes) -> None:
        """Execute one command. Bytes that are no message end this connection and no other."""
        self.executing = True
        self.paused = True
        context = self.context
        context.engine.before_reading()
        if self._shed_unread(frame):
            return
        try:
            message = codec.parse(frame)
        except MalformedMessage as error:
            self._end_malformed(error)
            return
        try:
            context.command_handler.execute(self, message)
        except CommandError as error:
            context.count_input_error("bad_command")
            self.reply(message, error_replies.error(error.code, error.name, error.text))

    def _shed_unread(self, frame: bytes) -> bool:
        """Reject a command without reading it, where the proxy reads too late for the tenant's share."""
        if not self.frame_since or not self.has_submitted:
            return False
        waited = self.context.clock.now() - self.frame_since
        if not self.context.engine.reject_unread(waited, self.tenant):
            return False
        message = codec.head(frame)
        if message is None:
            return False
        why = "this driver has more than it can read"
        self.reply(message, error_replies.rejected(why, waited, writes=True))
        return True

    def reply(self, message: Message, body: bytes) -> None:
        """Send the reply, unless none is wanted, and go on with what was sent ahead."""
        if self.transport is not None and not message.more_to_come:
            self.transport.write(self._reply_frame(message, body))
        self.executing = False
        if self.buffered or self.write_blocked:
            # What was sent ahead is executed in a later turn, one command each: a client that sends
            # thousands delays no other, and the calls do not nest.
            self.context.clock.soon(self.advance)
        else:
            self.paused = False

    def _reply_frame(self, message: Message, body: bytes) -> bytes:
        self.last_reply_id = codec.next_request_id(self.last_reply_id)
        if message.legacy:
            frame = codec.build_reply(body, self.last_reply_id, message.request_id)
        else:
            flags = message.flags & codec.CHECKSUM
            frame = codec.build(body, self.last_reply_id, message.request_id, flags)
        return codec.compress(frame, message.compressor) if message.compressor else frame

    # Closing

    def length_refused(self, length: int) -> None:
        """End the connection on a frame length out of bounds; where the next frame begins cannot be told."""
        self.context.log_event("client.bad_frame", connection=self.number, reason=f"length {length}")
        self.context.count_input_error("bad_frame")
        self.transport.loseConnection()

    def _end_malformed(self, error: MalformedMessage) -> None:
        self.context.log_event("client.bad_message", connection=self.number, reason=str(error))
        self.context.count_input_error("bad_message")
        self.broken = True
        self.transport.loseConnection()

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """The client has disconnected: cancel its request."""
        self.context.connections.discard(self)
        if self.awaited_hello is not None:
            self.awaited_hello.cancel()
            self.awaited_hello = None
        request, self.request = self.request, None
        if request is not None:
            self.context.engine.client_disconnected(request)


class ClientFactory(NumberingFactory):
    """Makes the connection objects of a `ClientContext`."""

    connection_type = ClientConnection
