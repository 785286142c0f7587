"""One PostgreSQL client connection: reading, start-up, flow control and closing.

Statements of a connection are executed one at a time. Pipelined input is buffered up to a limit, beyond which
the socket is no longer read. A client that sends nothing, or an incomplete message, is closed after a timeout
that counts from the accept or from the first byte of that message. Malformed messages close the connection
with an error; unsupported statements get an error response. Neither affects other clients or reaches an
endpoint.
"""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from sedgepitch.core.request_table import PendingRequest
from sedgepitch.net import socket_state
from sedgepitch.protocols.common.client_side import NumberingFactory, WritePressure
from sedgepitch.protocols.common.transports import arrival_time
from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.client_listener import ClientListener
from sedgepitch.protocols.postgresql.client_state import BUSY_STATES, READING_STATES, ClientState
from sedgepitch.protocols.postgresql.close_reasons import (
    CLOSES_BETWEEN_REQUESTS,
    CloseDecision,
    CloseReason,
    CloseReport,
    reason_of_loss,
)
from sedgepitch.protocols.postgresql.codec import MalformedMessage, Reader
from sedgepitch.protocols.postgresql.startup import start_up
from sedgepitch.protocols.postgresql.statements import Statement

DRAIN_BYTES_MAX = 256 * 1024  # read and discarded after an error, so that the error arrives
DRAIN_TIME_MAX_S = 0.5
STILL_SENDING_S = 0.05  # since the last read of a client that is still sending its message
RECEIVE_GRACE_S = 0.5  # for the rest of a message at its timeout: it may have been sent, and be read late
REJECTIONS_PER_TURN = 256  # of one connection, late in a shutdown
SQLSTATE_PROTOCOL_VIOLATION = "08P01"
SQLSTATE_CANNOT_CONNECT_NOW = "57P03"


class ClientConnection(Protocol):
    """One client connection; `number` is its sequence number on the listener since the process started."""

    transport: Any

    def __init__(self, listener: ClientListener, number: int) -> None:
        """Start in the STARTUP state, waiting for the startup message."""
        self.listener = listener
        self.number = number
        self.state = ClientState.STARTUP
        self.reader = Reader(codec.FROM_CLIENT)
        self.refused_encryption: list[int] = []  # kinds that the client has asked for
        self.request: PendingRequest | None = None
        self.statement: Statement | None = None  # of the pending request
        self.write_blocked = False
        self.reads_paused = False
        self.aborted = False
        self.discarded_bytes = 0  # received in state CLOSING
        self.message_started_at = 0.0  # arrival time of the first buffered byte
        self.read_at = 0.0  # time of the last read
        self.grace_ends_at = 0.0  # of an incomplete message that has timed out, 0 if it has not
        self.accepted_at = listener.clock.now()
        self.close_decision: CloseDecision | None = None  # the first one of the proxy

    # Reading

    def connectionMade(self) -> None:
        """Register the connection; if no descriptor is left for it, evict one."""
        listener = self.listener
        listener.connections.add(self)
        now = listener.clock.now()
        if not listener.descriptors.client_accepted():
            evicted = listener.evict_for(self, now)
            evicted.abort(CloseReason.EVICTED)
            if evicted is self:
                return
        self.transport.set_no_delay()
        self.transport.registerProducer(WritePressure(self), True)
        listener.buffers.opened(self)
        listener.activity.accepted(self, now)

    def dataReceived(self, data: bytes) -> None:
        """Buffer the bytes and execute complete statements unless one is in flight."""
        listener = self.listener
        if self.state is ClientState.CLOSING:
            self._discard_input(data)
            return
        now = listener.clock.now()
        listener.loop_activity.ran(now)
        self.read_at = now
        arrived = arrival_time(self.transport)
        if arrived and not self.reads_paused:
            listener.engine.record_wait(self.transport.read_delay(now), now)
        if not self.reader.has_input:
            self.message_started_at = arrived or now
            self.grace_ends_at = 0.0
            listener.activity.bytes_received(self)
        self.reader.feed(data)
        self.advance()
        if (self.write_blocked or self.state in BUSY_STATES) and not self.reads_paused:
            listener.read_ahead.limit(self)
        listener.buffers.changed(self)

    def _discard_input(self, data: bytes) -> None:
        self.discarded_bytes += len(data)
        if self.discarded_bytes > DRAIN_BYTES_MAX:
            self.abort(CloseReason.FLOODED)

    # Messages

    def advance(self) -> None:
        """Execute one buffered message per event loop turn, so that pipelining delays no other client.

        Late in a shutdown, reject the buffered statements instead.
        """
        if self.write_blocked or self.state not in READING_STATES:
            return
        try:
            self._next_message()
        except MalformedMessage as error:
            self.listener.bad_messages += 1
            message = codec.error(SQLSTATE_PROTOCOL_VIOLATION, str(error), fatal=True)
            self.end(CloseReason.BAD_MESSAGE, message)
            return
        self.listener.read_ahead.resume_if_possible(self)
        self._note_activity()

    def _next_message(self) -> None:
        if self.state is ClientState.STARTUP:
            start_up(self)
        if self.state is not ClientState.READY:
            return
        if self.reader.skipped:
            self._reject_skipped()
            return
        if self.listener.rejects_statements():
            self._reject_statements()
            return
        message = self.reader.next()
        if message is None:
            return
        text = codec.statement_text(*message)
        if text is None:
            self.end(CloseReason.TERMINATED)
            return
        self.listener.statements.execute(self, text)

    def _reject_statements(self) -> None:
        """Reject the buffered statements, up to REJECTIONS_PER_TURN: the process exits soon.

        Executing them one per event loop turn, only to reject each, would take longer than is left.
        """
        responses: list[bytes] = []
        terminated = False
        try:
            while len(responses) < REJECTIONS_PER_TURN and (message := self.reader.next()) is not None:
                text = codec.statement_text(*message)
                if text is None:
                    terminated = True
                    break
                responses.append(self.listener.statements.rejection(text))
        finally:  # the next message may be malformed
            if responses:
                self.transport.write(b"".join(responses))
        if terminated:
            self.end(CloseReason.TERMINATED)
        elif responses:
            self.finish_statement()

    def _reject_skipped(self) -> None:
        """Reject the statements that were dropped for lack of memory, up to REJECTIONS_PER_TURN."""
        count = min(self.reader.skipped, REJECTIONS_PER_TURN)
        self.reader.skipped -= count
        self.listener.buffers.rejected += count
        self.transport.write(count * self.listener.statements.memory_rejection())
        self.finish_statement()

    def _note_activity(self) -> None:
        """Record whether this client is idle or has sent an incomplete message.

        If there are too many idle clients, one of them is closed.
        """
        if self.state not in READING_STATES:
            return
        listener = self.listener
        now = listener.clock.now()
        if self.state is ClientState.STARTUP or self.reader.has_input:
            listener.activity.message_incomplete(self, now)
            return
        evicted = listener.activity.became_idle(self, now)
        if evicted is not None and socket_state.is_open_and_idle(evicted.transport):
            evicted.end(CloseReason.IDLE_LIMIT)

    # Statements

    def begin_request(self, statement: Statement) -> None:
        """Enter EXECUTING: the statement has become a pending request."""
        self.state = ClientState.EXECUTING
        self.statement = statement
        self.listener.activity.request_started(self)

    def send_response(self, message: bytes) -> None:
        """Send the response of the pending request."""
        self.statement = None
        self.transport.write(message)
        self.finish_statement()
        self.listener.buffers.changed(self)
        if self.state is ClientState.READY:
            self.advance_soon()

    def finish_statement(self) -> None:
        """Leave EXECUTING after a response; pipelined statements are executed in a later event loop turn.

        Late in a shutdown the connection is closed at once: a client may send its next request as soon as it
        has the response, and would never be found idle by a periodic check.
        """
        if self.reader.has_input:
            self.state = ClientState.YIELDING
            self.listener.activity.request_started(self)  # neither idle nor slow while it waits its turn
            self.listener.clock.soon(self._end_yield)
            return
        self.state = ClientState.READY
        if self.listener.closes_idle_connections():
            self.close_if_idle(last=False)

    def _end_yield(self) -> None:
        if self.state is not ClientState.YIELDING:
            return
        self.state = ClientState.READY
        self.message_started_at = self.listener.clock.now()  # the wait for earlier statements is not counted
        self._advance_if_open()

    def advance_soon(self) -> None:
        """Execute the next buffered message in a later event loop turn."""
        self.listener.clock.soon(self._advance_if_open)

    def _advance_if_open(self) -> None:
        if self in self.listener.connections:
            self.advance()

    # Back-pressure

    def on_write_blocked(self) -> None:
        """Stop executing statements: the client does not read its responses."""
        self.write_blocked = True
        self.listener.activity.write_paused(self, self.listener.clock.now())

    def on_write_drained(self) -> None:
        """Resume execution: all buffered responses have been sent."""
        self.write_blocked = False
        self.listener.activity.write_resumed(self)
        self.listener.buffers.changed(self)
        self.advance()

    # Closing

    def time_out(self) -> None:
        """Close a client that timed out: idle at start-up, incomplete message, or responses not read."""
        if self.write_blocked or self.state is ClientState.CLOSING:
            self.abort(CloseReason.RESPONSE_NOT_READ)
        elif self.reader.has_input and self._is_still_sending(now := self.listener.clock.now()):
            self.listener.activity.postpone_timeout(self, now)
        else:
            message = codec.error(SQLSTATE_PROTOCOL_VIOLATION, "nothing whole came in time", fatal=True)
            self.end(CloseReason.INPUT_TIMEOUT, message)

    def _is_still_sending(self, now: float) -> bool:
        """Return whether the client sends the rest of its message, for which it has RECEIVE_GRACE_S more."""
        if not self.grace_ends_at:
            self.grace_ends_at = now + RECEIVE_GRACE_S
        sends = now - self.read_at < STILL_SENDING_S or socket_state.unread_bytes(self.transport) > 0
        return sends and now < self.grace_ends_at

    def close_if_idle(self, last: bool) -> None:
        """Close for a shutdown unless a statement has no answer yet or the socket has unread bytes.

        With `last`, also close if an incomplete message is buffered, as its rest will not be awaited.
        """
        if self.state is ClientState.CLOSING or self._has_unanswered_statement():
            return
        if not socket_state.is_open_and_idle(self.transport):
            return
        if not self.reader.has_input:
            self.end(CloseReason.SHUTDOWN)
        elif last:
            message = codec.error(SQLSTATE_CANNOT_CONNECT_NOW, "this driver ends", fatal=True)
            self.end(CloseReason.SHUTDOWN, message)

    def _has_unanswered_statement(self) -> bool:
        """Return whether a statement was read, also one that is still buffered, and has no answer yet."""
        if self.state in BUSY_STATES:
            return True
        return self.state is ClientState.READY and bool(
            self.reader.skipped or self.reader.has_complete_message
        )

    def has_waiting_statement(self) -> bool:
        """Return whether the client, if it reads its responses, has sent a statement without an answer."""
        if self.state is ClientState.CLOSING or self.write_blocked:
            return False
        return self._has_unanswered_statement() or not socket_state.is_open_and_idle(self.transport)

    def end(self, reason: CloseReason, last_message: bytes = b"") -> None:
        """Send the last message, and close once the client has, or after DRAIN_TIME_MAX_S.

        Meanwhile input is discarded, so that the message arrives. Without a message, input is left unread: a
        request that crosses the close has not been taken, and its client sends it again elsewhere.
        """
        listener = self.listener
        self._note_close_reason(reason)
        self.state = ClientState.CLOSING
        listener.activity.closed(self)
        if last_message:
            self.transport.write(last_message)
        self.reader = Reader({})
        if hasattr(self.transport, "loseWriteConnection"):
            self.transport.loseWriteConnection()
        if not last_message and reason in CLOSES_BETWEEN_REQUESTS:
            listener.read_ahead.pause(self)
        elif self.reads_paused:
            listener.read_ahead.resume(self)
        listener.clock.call_later(DRAIN_TIME_MAX_S, self._abort_if_open)

    def abandon(self) -> None:
        """Cancel the request of a client that disconnected before all of its input was read, and abort."""
        if self.state is ClientState.CLOSING:
            self.listener.read_ahead.forget(self)
            self.transport.loseConnection()
            return
        self._cancel_request()
        self.listener.read_ahead.forget(self)
        self.state = ClientState.CLOSING
        self.reader = Reader({})
        self.abort(CloseReason.DISCONNECTED_UNREAD)

    def abort(self, reason: CloseReason) -> None:
        """Close at once, with a reset."""
        self._note_close_reason(reason)
        self.aborted = True
        self.listener.buffers.closed(self)
        self.transport.abortConnection()

    def _abort_if_open(self) -> None:
        if self in self.listener.connections:
            self.aborted = True
            self.transport.abortConnection()

    def _note_close_reason(self, reason: CloseReason) -> None:
        if self.close_decision is None:
            unread_bytes = socket_state.unread_bytes(self.transport)
            self.close_decision = CloseDecision(
                reason, self.state.value, self.reader.missing_bytes, unread_bytes
            )

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Count and report the close, release the connection's resources and cancel its request."""
        listener = self.listener
        listener.closes.closed(self._close_report(reason))
        self.reader.discard()
        listener.connections.discard(self)
        listener.activity.closed(self)
        listener.read_ahead.forget(self)
        listener.buffers.closed(self)
        listener.descriptors.client_closed()
        self._cancel_request()

    def _close_report(self, failure: Failure) -> CloseReport:
        request = self.request
        decision = self.close_decision or CloseDecision(reason_of_loss(failure))
        return CloseReport(
            number=self.number,
            reason=decision.reason,
            detail=failure.getErrorMessage(),
            request=request.request.payload.id.decode("ascii", "replace") if request is not None else "",
            attempts=request.attempt_count if request is not None else 0,
            unexecuted_bytes=self.reader.buffered_bytes,
            duration=self.listener.clock.now() - self.accepted_at,
            state=decision.state,
            missing_bytes=decision.missing_bytes,
            socket_bytes=decision.socket_bytes,
        )

    def _cancel_request(self) -> None:
        request, self.request = self.request, None
        statement, self.statement = self.statement, None
        if request is not None and statement is not None:
            self.listener.engine.client_disconnected(request)
            self.listener.request_ended(statement, request)


class ClientFactory(NumberingFactory):
    """Builds the `ClientConnection` objects of a `ClientListener`."""

    connection_type = ClientConnection
