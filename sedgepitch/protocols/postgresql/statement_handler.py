"""Translates statements of clients into engine requests, and engine responses into messages.

The deadline of a request counts from the arrival of its bytes and is limited by the shutdown schedule.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from sedgepitch.core import reasons
from sedgepitch.core.types import ClientRequest, Response, ResponseStatus
from sedgepitch.net import socket_state
from sedgepitch.protocols.postgresql import codec, statements
from sedgepitch.protocols.postgresql.statements import Statement, StatementError
from sedgepitch.routing.messages import Freshness

if TYPE_CHECKING:
    from sedgepitch.protocols.postgresql.client import ClientConnection
    from sedgepitch.protocols.postgresql.client_listener import ClientListener

ANSWER_MARGIN_S = 0.015  # from the engine's deadline to the client's; longer than a timer tick
DISCONNECT_CHECK_AFTER_S = 0.05  # a statement read later than this is checked for a disconnect
REQUIRED_AGE_MIN_S = 1e-6  # least age sent for a session's last write: 0 would mean that there was none
MEMORY_RETRY_AFTER_S = 0.2  # pending statements and slow clients need about that long to give memory back
EMPTY_STATEMENT_CHARS = b" \t\r\n;"
SQLSTATE_REJECTED = "53300"  # too_many_connections: nothing ran, the client may retry
SQLSTATE_FAILED = "58000"  # system_error: the statement may have run
SQLSTATE_DUPLICATE_ID = "42710"  # duplicate_object
SHUTDOWN_REJECTION = codec.error(SQLSTATE_REJECTED, reasons.STOPPING) + codec.READY
SESSION_FRESHNESS = (Freshness.WRITE, Freshness.SESSION)  # classes whose requests name their session


class StatementHandler:
    """Executes the statements of the connections of one listener."""

    __slots__ = ("_listener",)

    def __init__(self, listener: ClientListener) -> None:
        """Bind the handler to its listener."""
        self._listener = listener

    def execute(self, connection: ClientConnection, text: bytes) -> None:
        """Execute one statement; an unsupported one gets an error response and reaches no endpoint."""
        if not text or not text.strip(EMPTY_STATEMENT_CHARS):
            connection.transport.write(codec.EMPTY)
            connection.finish_statement()
            return
        listener = self._listener
        listener.engine.before_reading()
        try:
            statement = statements.read(text, listener.classes)
            self._check_id(statement.id)
        except StatementError as error:
            listener.bad_statements += 1
            connection.transport.write(codec.error(error.code, str(error)) + codec.READY)
            connection.finish_statement()
            return
        self._submit(connection, statement)

    def rejection(self, text: bytes) -> bytes:
        """Return the response to a statement that is not executed, because the process exits soon."""
        if not text.strip(EMPTY_STATEMENT_CHARS):
            return codec.EMPTY
        self._listener.rejected_for_shutdown += 1
        return SHUTDOWN_REJECTION

    def memory_rejection(self) -> bytes:
        """Return the response to a statement that there is no memory for."""
        retry_after_ms = round(min(MEMORY_RETRY_AFTER_S, self._listener.retry_after_max) * codec.MS_PER_S)
        detail = str(retry_after_ms) if retry_after_ms else ""
        return codec.error(SQLSTATE_REJECTED, reasons.OUT_OF_MEMORY, detail) + codec.READY

    def _check_id(self, request_id: bytes) -> None:
        """Raise StatementError if a request of this id is open, or has run and may have taken effect.

        An open request without any attempt whose client has disconnected is abandoned, which frees its id.
        """
        listener = self._listener
        if listener.recent_request_ids.contains(request_id, listener.clock.now()):
            raise StatementError("id: a request of this id has run", SQLSTATE_DUPLICATE_ID)
        owner = listener.open_request_ids.get(request_id)
        if owner is None:
            return
        may_run = owner.request is None or owner.request.attempt_count
        if may_run or not socket_state.peer_has_closed(owner.transport):
            raise StatementError("id: a request of this id is open", SQLSTATE_DUPLICATE_ID)
        owner.abandon()

    def _submit(self, connection: ClientConnection, statement: Statement) -> None:
        listener = self._listener
        now = listener.clock.now()
        arrived = min(now, connection.message_started_at) if connection.message_started_at else now
        if self._has_disconnected(connection, now - arrived):
            listener.disconnects_found_late += 1
            connection.abandon()
            return
        if not listener.buffers.admit(statement):
            connection.transport.write(self.memory_rejection())
            connection.finish_statement()
            return
        request = self._client_request(connection, statement, now, arrived)
        connection.begin_request(statement)
        listener.open_request_ids[statement.id] = connection

        def respond(response: Response) -> None:
            pending, connection.request = connection.request, None
            listener.request_ended(statement, pending)
            listener.answers.answered(response)
            connection.send_response(self._response_message(response))

        pending = listener.engine.submit(request, respond, arrived)
        if pending.open:
            connection.request = pending

    @staticmethod
    def _has_disconnected(connection: ClientConnection, waited: float) -> bool:
        """Return whether the client of a late statement has disconnected; the check costs a system call."""
        if waited <= DISCONNECT_CHECK_AFTER_S and not connection.reads_paused:
            return False
        return socket_state.peer_has_closed(connection.transport)

    def _client_request(
        self, connection: ClientConnection, statement: Statement, now: float, arrived: float
    ) -> ClientRequest:
        """Return the engine request for a statement and set the statement's deadline."""
        listener = self._listener
        freshness = statement.cls.freshness
        time_left = min(statement.time_left, listener.answer_by - arrived)
        statement.deadline = arrived + time_left
        session_age = 0.0
        if statement.after and freshness is Freshness.SESSION:
            last_write = statement.after / codec.MS_PER_S
            session_age = max(REQUIRED_AGE_MIN_S, now + listener.unix_offset - last_write)
        return ClientRequest(
            statement.cls.name,
            statement.group,
            time_left - ANSWER_MARGIN_S,
            statement,
            statement.session if freshness in SESSION_FRESHNESS else "",
            session_age,
            connection.number,
            client_left=partial(socket_state.peer_has_closed, connection.transport),
        )

    def _response_message(self, response: Response) -> bytes:
        if response.status is ResponseStatus.SERVED:
            return bytes(response.reply + codec.READY)
        if response.status is ResponseStatus.REJECTED:
            retry_after = min(response.retry_after, self._listener.retry_after_max)
            retry_after_ms = str(max(1, round(retry_after * codec.MS_PER_S))) if retry_after > 0 else ""
            return codec.error(SQLSTATE_REJECTED, response.why or "refused", retry_after_ms) + codec.READY
        return codec.error(SQLSTATE_FAILED, response.why or "failed") + codec.READY
