"""Turn client commands into engine requests, and engine responses into replies.

Commands about the connection itself are answered locally and reach no endpoint.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, NamedTuple

import bson

from sedgepitch.core.types import ClientRequest, Response, ResponseStatus
from sedgepitch.net import socket_state
from sedgepitch.protocols.mongodb import bsonwalk, codec, error_replies
from sedgepitch.protocols.mongodb.codec import Message
from sedgepitch.protocols.mongodb.command_table import CommandKind
from sedgepitch.protocols.mongodb.commands import MS_PER_S, Command, CommandError, read
from sedgepitch.protocols.mongodb.hello import BUILD_INFO, hello_reply

if TYPE_CHECKING:
    from sedgepitch.protocols.mongodb.client import ClientConnection
    from sedgepitch.protocols.mongodb.client_context import ClientContext

HELLO_NAMES = ("hello", "isMaster", "ismaster")
BUILD_INFO_NAMES = ("buildInfo", "buildinfo")
APP_NAME_CHARACTERS_MAX = 128
AWAITED_HELLO_MAX_S = 60.0
SESSION_AGE_MIN_S = 1e-6  # 0 would mean that the read has no write to observe


class AdmissionIdentity(NamedTuple):
    """The tenant and client of a request, and the keys that identify retries of the same request."""

    tenant: str = ""
    client: str = ""
    reservation_token: str = ""
    idempotency_key: str = ""  # shared by all retries of one request and unique to it


class CommandHandler:
    """Executes the commands of all connections of one listener."""

    __slots__ = ("_context",)

    def __init__(self, context: ClientContext) -> None:
        """Execute the commands of the connections that share this context."""
        self._context = context

    def execute(self, connection: ClientConnection, message: Message) -> None:
        """Execute one command; raises CommandError with the error to return to the client."""
        command = read(message, connection.app_name, self._context.shard_field)
        if message.legacy and command.name not in HELLO_NAMES:
            raise CommandError(5739101, "UnsupportedOpQueryCommand", "OP_QUERY carries the first hello only")
        if command.kind is CommandKind.LOCAL:
            self._answer_locally(connection, command)
        elif command.kind is CommandKind.GET_MORE:
            self._context.cursor_handler.get_more(connection, command)
        elif command.kind is CommandKind.KILL_CURSORS:
            self._context.cursor_handler.kill_cursors(connection, command)
        else:
            self._submit(connection, command)

    # Requests

    def _submit(self, connection: ClientConnection, command: Command) -> None:
        context = self._context
        now = context.clock.now()
        group = context.group_of(command)
        if group is None:
            raise CommandError(26, "NamespaceNotFound", f"no group holds '{command.namespace}'")
        cls = context.classifier.find(command.facts)
        if cls is None:
            what = "write" if command.facts.writes else "read"
            raise CommandError(13, "Unauthorized", f"no class takes this {what} of '{command.namespace}'")
        time_left = self.time_left(command, cls.deadline)
        session_age = self._session_age(command, group, now)
        classified = context.classifier.choose_variant(cls, command.facts, time_left, session_age)
        identity = self._admission_identity(connection, command)
        connection.tenant = identity.tenant
        connection.has_submitted = True
        request = ClientRequest(
            classified.class_name,
            group,
            time_left,
            command,
            command.session,
            classified.session_age,
            connection.number,
            *identity,
            client_left=partial(socket_state.peer_has_closed, connection.transport),
        )
        respond = self.response_callback(connection, command)
        pending = context.engine.submit(request, respond, connection.frame_since or None)
        if pending.open:
            connection.request = pending

    def time_left(self, command: Command, deadline: float) -> float:
        """Return the seconds until the response must be decided.

        This is the shorter of the client's maxTimeMS and the deadline of the request class, less the answer
        margin.
        """
        stated = deadline if command.time_left is None else min(deadline, command.time_left)
        return stated - self._context.answer_margin

    def _session_age(self, command: Command, group: int, now: float) -> float | None:
        """Return the age in seconds of the commit that a read must observe, None if it requires none."""
        if command.after is None or command.facts.writes:
            return None
        required = self._context.upstream.positions[group].required_position(command.after, now)
        return max(SESSION_AGE_MIN_S, now - required)

    def _admission_identity(self, connection: ClientConnection, command: Command) -> AdmissionIdentity:
        context = self._context
        if not context.tenant_sources:
            return AdmissionIdentity()
        names = {
            "app_name": connection.app_name,
            "address": connection.address,
            "session": command.session,
            "database": command.database,
            "comment": command.facts.comment,
            "connection": str(connection.number),
        }
        tenant = _first_name(names, context.tenant_sources)
        client = _first_name(names, context.client_sources)
        transaction = _transaction_number(command)
        # A standard client library retries in the same session, but possibly on another connection.
        session = command.session or str(connection.number)
        token = f"{tenant}/{session}/{command.name}/{command.namespace}/{transaction}"
        return AdmissionIdentity(tenant, client, token, f"{session}/{transaction}" if transaction else "")

    def response_callback(self, connection: ClientConnection, command: Command) -> Callable[[Response], None]:
        """Return a callback that sends the engine's response to the client."""

        def respond(response: Response) -> None:
            connection.request = None
            if response.status is ResponseStatus.SERVED:
                self._context.cursor_handler.forward(connection, command, response)
                return
            writes = command.facts.writes
            if response.status is ResponseStatus.REJECTED:
                body = error_replies.rejected(response.why, response.retry_after, writes, response.reserved)
            else:
                body = error_replies.failed(response.why, writes)
            connection.reply(command.message, body)

        return respond

    # Commands about the connection

    def _answer_locally(self, connection: ClientConnection, command: Command) -> None:
        if command.name in HELLO_NAMES:
            self._hello(connection, command.message)
        elif command.name in BUILD_INFO_NAMES:
            connection.reply(command.message, bson.encode(BUILD_INFO))
        else:
            connection.reply(command.message, bson.encode({"ok": 1.0}))

    def _hello(self, connection: ClientConnection, message: Message) -> None:
        try:
            document = bson.decode(message.body)
        except bson.errors.BSONError:
            raise CommandError(22, "InvalidBSON", "hello: it does not decode") from None
        _record_client_metadata(connection, document)
        context = self._context
        reply = hello_reply(
            context.process_id, connection.number, context.frame_bytes_max, connection.compressors
        )
        body = bson.encode(reply)
        await_ms = document.get("maxAwaitTimeMS")
        if not document.get("topologyVersion") or not isinstance(await_ms, int | float) or await_ms <= 0:
            connection.reply(message, body)
            return

        # The proxy's topology never changes, so an awaitable hello always waits for the full maxAwaitTimeMS.
        def end_wait() -> None:
            connection.awaited_hello = None
            connection.reply(message, body)

        wait = min(await_ms / MS_PER_S, AWAITED_HELLO_MAX_S)
        connection.awaited_hello = context.clock.call_later(wait, end_wait)


def _record_client_metadata(connection: ClientConnection, document: dict[str, Any]) -> None:
    """Store the application name and the supported compressors of the client."""
    client = document.get("client")
    if isinstance(client, dict) and isinstance(client.get("application"), dict):
        connection.app_name = str(client["application"].get("name", ""))[:APP_NAME_CHARACTERS_MAX]
    offered = document.get("compression")
    if isinstance(offered, list):
        connection.compressors = [c for c in offered if isinstance(c, str) and c in codec.COMPRESSORS]


def _first_name(names: dict[str, str], sources: tuple[str, ...]) -> str:
    """Return the first non-empty name among the sources."""
    return next((names[source] for source in sources if names[source]), "")


def _transaction_number(command: Command) -> str:
    """Return the txnNumber of a retryable write, "" for any other command."""
    if not command.facts.keyed:
        return ""
    body = command.message.body
    number = bsonwalk.find(body, b"txnNumber")
    return "" if number is None else str(bsonwalk.number(body, number))
