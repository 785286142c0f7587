"""One client connection of the MongoDB protocol: framing, flow control and replies.

A connection executes one command at a time and replies in order. Pipelined commands are buffered up to a
limit, after which the socket is no longer read; no command is executed while the client does not read its
replies. Both limits bound memory, and a disconnect is still detected while a request is pending.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from sedgepitch.core.reasons import OUT_OF_MEMORY
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.net import socket_state
from sedgepitch.protocols.common.client_side import NumberingFactory, WritePressure
from sedgepitch.protocols.common.transports import arrival_time
from sedgepitch.protocols.mongodb import codec, error_replies
from sedgepitch.protocols.mongodb.client_context import ClientContext
from sedgepitch.protocols.mongodb.codec import MalformedMessage, Message
from sedgepitch.protocols.mongodb.commands import CommandError
from sedgepitch.protocols.mongodb.framing import FrameReceiver

MEMORY_RETRY_AFTER_S = 0.2
READ_AHEAD_BYTES = 256 * 1024  # pipelined bytes per client before its socket is no longer read


class ClientConnection(FrameReceiver):
    """One client connection. `number` counts the listener's connections since process start.

    Frames are `paused` while a command is executing or is scheduled for a later event loop iteration.
    """

    def __init__(self, context: ClientContext, number: int) -> None:
        """Create the connection in its state before the first byte."""
        super().__init__()
        self.context = context
        self.number = number
        self.frame_bytes_max = context.frame_bytes_max
        self.request: PendingRequest | None = None
        self.executing = False  # a command has no reply yet
        self.write_blocked = False  # the client does not read its replies, so the write buffer is full
        self.reads_paused = False  # the socket is not read
        self.last_reply_id = 0
        self.awaited_hello: Any = None  # the timer of an awaitable hello whose reply is pending
        self.address = ""
        self.app_name = ""
        self.compressors: list[str] = []
        self.has_submitted = False  # at least one command was submitted to the engine
        self.tenant = ""  # of the last request
        self.pending_bytes = 0  # of the command that is executing

    # Reading

    def connectionMade(self) -> None:
        """Register the connection, and close it if there are more than `connections_max`."""
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
        """Buffer bytes, and execute complete commands unless one is executing."""
        if not self.reads_paused:
            self._report_read_delay()
        super().dataReceived(data)
        if self.paused and self.buffered > READ_AHEAD_BYTES and not self.reads_paused:
            self.reads_paused = True
            self.transport.pauseProducing()
        self.context.memory_changed(self)

    def _report_read_delay(self) -> None:
        """Report to the engine how long the received bytes waited in the socket, if that is known."""
        if arrival_time(self.transport):
            now = self.context.clock.now()
            self.context.engine.record_wait(self.transport.read_delay(now), now)

    def advance(self) -> None:
        """Execute the next buffered command, unless one is executing or the write buffer is full."""
        if self.executing or self.write_blocked or not self.paused:
            return
        self.resume_frames()
        if not self.paused:
            self._resume_reading()

    def _resume_reading(self) -> None:
        """Read the socket again: only input can bring progress now."""
        if self.reads_paused:
            self.reads_paused = False
            self.transport.resumeProducing()

    def on_write_blocked(self) -> None:
        """Stop executing commands: the client does not read its replies."""
        self.write_blocked = True

    def on_write_drained(self) -> None:
        """Continue with buffered commands: all replies have been sent."""
        self.write_blocked = False
        self.advance()

    # Commands

    def frame_received(self, frame: bytes) -> None:
        """Execute one command. A malformed message closes this connection only."""
        self.executing = True
        self.paused = True
        context = self.context
        if self.reads_paused and socket_state.peer_has_closed(self.transport):
            self.broken = True
            self.transport.abortConnection()
            return
        context.engine.before_reading()
        if self._shed_unread(frame) or self._reject_for_memory(frame):
            return
        self.pending_bytes = len(frame)
        context.memory.statement_started(self.pending_bytes)
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
        """Reject a command without parsing it if it waited too long (see `Engine.reject_unread`).

        Its kind is unknown, so the reply has the labels for a write. Retry-After is the time that it waited.
        """
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

    def _reject_for_memory(self, frame: bytes) -> bool:
        """Reject a large command if those that are pending use up their share of the memory."""
        if self.context.memory.admits(len(frame)):
            return False
        message = codec.head(frame)
        if message is None:
            return False
        self.reply(message, error_replies.rejected(OUT_OF_MEMORY, MEMORY_RETRY_AFTER_S, writes=True))
        return True

    def _end_command(self) -> None:
        pending_bytes, self.pending_bytes = self.pending_bytes, 0
        self.context.memory.statement_ended(pending_bytes)

    def reply(self, message: Message, body: bytes) -> None:
        """Send the reply, unless the client wants none, and continue with pipelined commands."""
        self._end_command()
        if self.transport is not None and not message.more_to_come:
            self.transport.write(self._reply_frame(message, body))
        self.executing = False
        if self.buffered or self.write_blocked:
            # Each pipelined command is executed in a later event loop iteration, so a client that sends
            # thousands does not delay other clients, and the calls do not nest.
            self.context.clock.soon(self.advance)
        else:
            self.paused = False
            self._resume_reading()

    def _reply_frame(self, message: Message, body: bytes) -> bytes:
        self.last_reply_id = codec.next_request_id(self.last_reply_id)
        if message.legacy:
            frame = codec.build_reply(body, self.last_reply_id, message.request_id)
        else:
            flags = message.flags & codec.CHECKSUM
            frame = codec.build(body, self.last_reply_id, message.request_id, flags)
        return codec.compress(frame, message.compressor) if message.compressor else frame

    # Closing

    def has_waiting_command(self) -> bool:
        """Return whether a command was read, also one that is still buffered, and has no reply yet.

        An awaitable hello does not count, nor do commands of a client that does not read its replies.
        """
        return self.paused and not self.write_blocked and self.awaited_hello is None

    def length_refused(self, length: int) -> None:
        """Close the connection on a frame length out of bounds: the start of the next frame is unknown."""
        self.context.log_event("client.bad_frame", connection=self.number, reason=f"length {length}")
        self.context.count_input_error("bad_frame")
        self.transport.loseConnection()

    def close_for_memory(self) -> None:
        """Close the connection, which holds an incomplete command: all connections hold too much memory."""
        self.context.log_event("client.rejected", connection=self.number, reason=OUT_OF_MEMORY)
        self.context.count_input_error("out_of_memory")
        self.discard_buffer()
        self.transport.abortConnection()

    def _end_malformed(self, error: MalformedMessage) -> None:
        self.context.log_event("client.bad_message", connection=self.number, reason=str(error))
        self.context.count_input_error("bad_message")
        self.broken = True
        self.transport.loseConnection()

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Cancel the request of the client, which has disconnected."""
        self.discard_buffer()
        self.context.memory.forget(self)
        self._end_command()
        self.context.connections.discard(self)
        if self.awaited_hello is not None:
            self.awaited_hello.cancel()
            self.awaited_hello = None
        request, self.request = self.request, None
        if request is not None:
            self.context.engine.client_disconnected(request)


class ClientFactory(NumberingFactory):
    """Create the connection objects of a `ClientContext`."""

    connection_type = ClientConnection
