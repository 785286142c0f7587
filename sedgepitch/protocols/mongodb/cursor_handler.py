"""Cursors: replies that open one, getMore, killCursors, and closing unused cursors on endpoints.

Clients receive cursor ids that the proxy assigns; they are replaced with the endpoint's id when forwarding.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

import bson

from sedgepitch.core.types import ClientRequest, Response, ResponseStatus
from sedgepitch.decisions.cursors import Cursor, may_continue
from sedgepitch.protocols.common.callbacks import ignore
from sedgepitch.protocols.mongodb import bsonwalk, error_replies
from sedgepitch.protocols.mongodb.commands import Command
from sedgepitch.protocols.mongodb.payload import RawSections
from sedgepitch.protocols.mongodb.reply import EndpointReply

if TYPE_CHECKING:
    from sedgepitch.protocols.mongodb.client import ClientConnection
    from sedgepitch.protocols.mongodb.client_context import ClientContext

CLOSE_TIMEOUT_S = 1.0  # for an endpoint's reply to killCursors


class CursorHandler:
    """The cursors of all connections of one listener."""

    __slots__ = ("_context",)

    def __init__(self, context: ClientContext) -> None:
        """Handle the cursors of the connections that share this context."""
        self._context = context

    def forward(self, connection: ClientConnection, command: Command, response: Response) -> None:
        """Forward an endpoint's reply; the id of a new cursor is replaced with one of the proxy."""
        reply: EndpointReply = response.reply
        body = reply.body
        if reply.cursor is not None and response.endpoint is not None:
            id_field = bsonwalk.find(body, b"id", reply.cursor.start)
            endpoint_cursor_id = int(bsonwalk.number(body, id_field) or 0)
            if id_field is not None and id_field.kind == bsonwalk.INT64 and endpoint_cursor_id:
                if connection.transport is None or connection.transport.disconnecting:
                    return
                namespace = bsonwalk.text(body, bsonwalk.find(body, b"ns", reply.cursor.start))
                cursor = self._open(response.endpoint, endpoint_cursor_id, namespace or command.namespace)
                body = bsonwalk.replace_int64(body, id_field, cursor.id)
        connection.reply(command.message, body)

    def _open(self, endpoint: int, endpoint_cursor_id: int, namespace: str) -> Cursor:
        context = self._context
        cursor, evicted = context.cursors.open(endpoint, endpoint_cursor_id, namespace, context.clock.now())
        self.close_on_endpoints(evicted)
        return cursor

    def get_more(self, connection: ClientConnection, command: Command) -> None:
        """Request the next batch of a cursor from its endpoint."""
        context = self._context
        now = context.clock.now()
        cursor_id = command.cursor_ids[0]
        cursor = context.cursors.use(cursor_id, command.namespace, now)
        if cursor is None:
            connection.reply(command.message, error_replies.cursor_not_found(cursor_id))
            return
        if not self._may_continue(cursor, now):
            context.cursors.close(cursor_id)
            connection.reply(command.message, error_replies.cursor_not_found(cursor_id))
            return
        time_left = context.command_handler.time_left(command, context.classifier.deadline_max)
        group = context.upstream.pools[cursor.endpoint].group
        payload = RawSections(command.next_batch(cursor.endpoint_cursor_id))
        request = ClientRequest("", group, time_left, payload, command.session, connection=connection.number)

        def respond(response: Response) -> None:
            connection.request = None
            self._forward_batch(connection, command, cursor_id, response)

        arrived = connection.frame_since or None
        pending = context.engine.submit_sticky(cursor.endpoint, request, respond, arrived)
        if pending.open:
            connection.request = pending

    def _forward_batch(
        self, connection: ClientConnection, command: Command, cursor_id: int, response: Response
    ) -> None:
        cursors = self._context.cursors
        if response.status is not ResponseStatus.SERVED:
            # It is unknown whether the endpoint advanced the cursor, so the cursor cannot be continued.
            cursors.close(cursor_id)
            connection.reply(command.message, error_replies.cursor_not_found(cursor_id))
            return
        reply: EndpointReply = response.reply
        body = reply.body
        id_field = None if reply.cursor is None else bsonwalk.find(body, b"id", reply.cursor.start)
        if id_field is not None and id_field.kind == bsonwalk.INT64:
            if bsonwalk.number(body, id_field):
                body = bsonwalk.replace_int64(body, id_field, cursor_id)
            else:
                cursors.close(cursor_id)
        connection.reply(command.message, body)

    def kill_cursors(self, connection: ClientConnection, command: Command) -> None:
        """Close the cursors that a client names in killCursors."""
        killed: list[bson.Int64] = []
        unknown: list[bson.Int64] = []
        for cursor_id in command.cursor_ids:
            cursor = self._context.cursors.close(cursor_id)
            if cursor is None:
                unknown.append(bson.Int64(cursor_id))
            else:
                killed.append(bson.Int64(cursor_id))
                self.close_on_endpoints([cursor])
        body = {
            "cursorsKilled": killed,
            "cursorsNotFound": unknown,
            "cursorsAlive": [],
            "cursorsUnknown": [],
            "ok": 1.0,
        }
        connection.reply(command.message, bson.encode(body))

    def close_on_endpoints(self, cursors: Iterable[Cursor]) -> None:
        """Send killCursors for unused cursors, unless the endpoint drains for too long (`may_continue`)."""
        context = self._context
        now = context.clock.now()
        for cursor in cursors:
            pools = context.upstream.pools.get(cursor.endpoint)
            if pools is None or not self._may_continue(cursor, now):
                continue
            database, _, collection = cursor.namespace.partition(".")
            cursor_ids = [bson.Int64(cursor.endpoint_cursor_id)]
            command = {"killCursors": collection, "cursors": cursor_ids, "$db": database}
            attempt = pools.pool.send(RawSections(b"\0" + bson.encode(command)), ignore)
            context.clock.call_later(CLOSE_TIMEOUT_S, attempt.abandon)

    def _may_continue(self, cursor: Cursor, now: float) -> bool:
        draining_since = self._context.engine.draining_since.get(cursor.endpoint)
        return may_continue(draining_since, self._context.drain_grace, now)
