"""From a client's statement to a request of the engine, and from the engine's response to messages.

The time left of a request runs from the arrival of its bytes, and ends no later than a shutdown allows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.core.types import ClientRequest, Response, ResponseStatus
from sedgepitch.net import socket_state
from sedgepitch.protocols.postgresql import codec, statements
from sedgepitch.protocols.postgresql.statements import Statement, StatementError
from sedgepitch.routing.messages import Freshness

if TYPE_CHECKING:
    from sedgepitch.protocols.postgresql.client import ClientConnection
    from sedgepitch.protocols.postgresql.client_listener import ClientListener

ANSWER_MARGIN_S = 0.015  # before the client's time is up its response is decided; more than a tick
DISCONNECT_CHECK_AFTER_S = 0.05  # of waiting unread, after which a client is checked for a disconnect
REQUIRED_AGE_MIN_S = 1e-6  # of a session's last write; 0 would mean that there was none
BLANK = b" \t\r\n;"
SQLSTATE_REJECTED = "53300"  # too_many_connections: nothing ran, the client may retry
SQLSTATE_FAILED = "58000"  # system_error: the statement may have run
SQLSTATE_DUPLICATE_ID = "42710"  # duplicate_object
SESSION_FRESHNESS = (Freshness.WRITE, Freshness.SESSION)  # whose requests name their session


class StatementHandler:
    """Executes the statements of all connections of one listener."""

    __slots__ = ("_listener",)

    def __init__(self, listener: ClientListener) -> None:
        """Execute the statements of this listener's connections."""
        self._listener = listener

    def execute(self, connection: ClientConnection, text: bytes) -> None:
        """Execute one statement; what is not served is answered with an error and reaches no endpoint."""
        if not text or not text.strip(BLANK):
            connection.transport.write(codec.EMPTY)
            connection.finish_statement()
            return
        listener = self._listener
        listener.engine.before_reading()
        try:
            statement = statements.read(text, listener.classes)
            if not self._is_id_free(statement.id):
                raise StatementError("id: a request of this id is open", SQLSTATE_DUPLICATE_ID)
        except StatementError as error:
            listener.bad_statements += 1
            connection.transport.write(codec.error(error.code, str(error)) + codec.READY)
            connection.finish_statement()
            return
        self._submit(connection, statement)

    def _is_id_free(self, request_id: bytes) -> bool:
        """Whether no request of this id is open; that of a client gone before any attempt is given up."""
        owner = self._listener.open_request_ids.get(request_id)
        if owner is None:
            return True
        if (
            owner.request is None
            or owner.request.attempt_count
            or not socket_state.peer_has_closed(owner.transport)
        ):
            return False
        owner.abandon()
        return True

    def _submit(self, connection: ClientConnection, statement: Statement) -> None:
        listener = self._listener
        now = listener.clock.now()
        arrived = min(now, connection.message_since) if connection.message_since else now
        if self._has_left(connection, now - arrived):
            listener.disconnects_found_late += 1
            connection.abandon()
            return
        request = self._client_request(connection, statement, now, arrived)
        connection.begin_request()
        listener.open_request_ids[statement.id] = connection

        def respond(response: Response) -> None:
            connection.request = None
            listener.open_request_ids.pop(statement.id, None)
            connection.send_response(self._response_message(response))

        pending = listener.engine.submit(request, respond, arrived)
        if pending.open:
            connection.request = pending

    @staticmethod
    def _has_left(connection: ClientConnection, waited: float) -> bool:
        """Whether the client of a statement read late has left; asking costs a system call."""
        if waited <= DISCONNECT_CHECK_AFTER_S and not connection.reads_paused:
            return False
        return socket_state.peer_has_closed(connection.transport)

    def _client_request(
        self, connection: ClientConnection, statement: Statement, now: float, arrived: float
    ) -> ClientRequest:
        """Return the engine's request; sets the statement's deadline."""
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
        )

    def _response_message(self, response: Response) -> bytes:
        if response.status is ResponseStatus.SERVED:
            return bytes(response.reply + codec.READY)
        if response.status is ResponseStatus.REJECTED:
            retry_after = min(response.retry_after, self._listener.retry_after_max)
            retry_after_ms = str(max(1, round(retry_after * codec.MS_PER_S))) if retry_after > 0 else ""
            return codec.error(SQLSTATE_REJECTED, response.why or "refused", retry_after_ms) + codec.READY
        return codec.error(SQLSTATE_FAILED, response.why or "failed") + codec.READY
