"""The clients' side of the MongoDB front: one protocol a connection, one command at a time on each.

A connection answers in order. What a client sends ahead stays in its buffer, up to a bound, after which the
socket is not read; a client that does not read its answers is not asked for more. Both keep memory bounded
and a client that leaves is still noticed at once while its request is under way.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

import bson
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from sedgepitch.core.engine import Engine
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.core.types import ClientRequest, Clock, Response, ResponseStatus
from sedgepitch.decisions.cursors import Cursor, CursorTable, may_go_on
from sedgepitch.decisions.request_classes import Classifier
from sedgepitch.protocols.mongodb import bsonwalk, codec, errors
from sedgepitch.protocols.mongodb.codec import Message, WireError
from sedgepitch.protocols.mongodb.commands import BadCommand, Kind, Request, read
from sedgepitch.protocols.mongodb.framing import FrameReceiver
from sedgepitch.protocols.mongodb.upstream import MemberReply, MongoUpstream, Plain

READ_AHEAD = 256 * 1024  # bytes that a client may send ahead before its socket is left unread
WIRE_VERSIONS = (0, 21)
MOST_DOCUMENT = 16 * 1024 * 1024


@dataclass
class Context:
    """What all connections of one listener share. `group_of` gives a request's group, None for no such."""

    engine: Engine
    endpoints: MongoUpstream
    clock: Clock
    classifier: Classifier
    cursors: CursorTable
    group_of: Callable[[Request], int | None]
    answer_margin: float  # s before the client's time is up at which the answer leaves
    drain_grace: float
    shard_field: tuple[bytes, ...] = ()
    most_frame: int = codec.MOST_BYTES
    tenant_of: tuple[str, ...] = ()  # sources of a tenant's name, the first that tells one counts
    client_of: tuple[str, ...] = ()
    process_id: bson.ObjectId = field(default_factory=bson.ObjectId)
    connections: set[ClientConnection] = field(default_factory=set)
    accepted: int = 0
    most_connections: int = 20_000
    log: Callable[..., None] = lambda *a, **k: None
    counted: Callable[[str], None] = lambda name: None

    def read(self, transport: Any) -> None:
        """Note how long the bytes had waited that are now read, where that is known."""
        if getattr(transport, "arrived", 0.0):
            now = self.clock.now()
            self.engine.record_wait(transport.read_delay(now), now)


def hello_reply(context: Context, number: int, compressors: list[str]) -> dict[str, Any]:
    """Return what a mongos says of itself."""
    return {
        "isWritablePrimary": True,
        "ismaster": True,
        "helloOk": True,
        "msg": "isdbgrid",
        "topologyVersion": {"processId": context.process_id, "counter": bson.Int64(0)},
        "maxBsonObjectSize": MOST_DOCUMENT,
        "maxMessageSizeBytes": context.most_frame,
        "maxWriteBatchSize": 100_000,
        "localTime": datetime.now(UTC),
        "logicalSessionTimeoutMinutes": 30,
        "connectionId": number,
        "minWireVersion": WIRE_VERSIONS[0],
        "maxWireVersion": WIRE_VERSIONS[1],
        "readOnly": False,
        "compression": compressors,
        "ok": 1.0,
    }


BUILD_INFO = {
    "version": "7.0.0",
    "gitVersion": "sedgepitch",
    "versionArray": [7, 0, 0, 0],
    "maxBsonObjectSize": MOST_DOCUMENT,
    "modules": ["sedgepitch"],
    "ok": 1.0,
}


@implementer(IPushProducer)
class _Outlet:
    """Told by the transport when the client does not take its answers, and when it does again."""

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection

    def pauseProducing(self) -> None:
        """Too much is unsent."""
        self.connection.clogged = True

    def resumeProducing(self) -> None:
        """All of it has gone."""
        self.connection.clogged = False
        self.connection.advance()

    def stopProducing(self) -> None:
        """The connection ends."""


class ClientConnection(FrameReceiver):
    """One client."""

    def __init__(self, context: Context, number: int) -> None:
        super().__init__()
        self.context, self.number = context, number
        self.most_bytes = context.most_frame
        self.account: PendingRequest | None = None
        self.replies = 0
        self.waiting: Any = None  # the timer of an awaited hello
        self.busy = self.clogged = self.reading_stopped = False
        self.app_name = self.address = ""
        self.tenant = ""  # of its last request
        self.greeted = False  # something else than a hello has been read
        self.compressors: list[str] = []

    # Flow

    def connectionMade(self) -> None:
        """Count it, and bound how many there are."""
        context = self.context
        context.connections.add(self)
        if len(context.connections) > context.most_connections:
            context.log("client.turned_away", connection=self.number, why="too many connections")
            self.transport.abortConnection()
            return
        self.address = str(getattr(self.transport.getPeer(), "host", ""))
        self.transport.set_no_delay()
        self.transport.registerProducer(_Outlet(self), True)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes; while a command is under way they only gather."""
        if not self.reading_stopped:
            self.context.read(self.transport)
        super().dataReceived(data)
        if self.paused and self._held > READ_AHEAD and not self.reading_stopped:
            self.reading_stopped = True
            self.transport.pauseProducing()

    def advance(self) -> None:
        """Go on with the next command, if nothing holds it back."""
        if self.busy or self.clogged or not self.paused:
            return
        self.paused = False
        if self._held:
            self._want = 4
            super().dataReceived(b"")
        if not self.paused and self.reading_stopped:
            self.reading_stopped = False
            self.transport.resumeProducing()

    def length_refused(self, length: int) -> None:
        """Not a frame of this protocol: there is no telling where the next one would begin."""
        self.context.log("client.bad_frame", connection=self.number, why=f"length {length}")
        self.context.counted("bad_frame")
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The client has left."""
        self.context.connections.discard(self)
        if self.waiting is not None:
            self.waiting.cancel()
            self.waiting = None
        if self.account is not None:
            account, self.account = self.account, None
            self.context.engine.client_disconnected(account)

    # Commands

    def frame_received(self, frame: bytes) -> None:
        """One message: parse, then serve; what is broken ends this connection and no other."""
        self.busy = self.paused = True
        engine = self.context.engine
        engine.before_reading()
        if self.since and self.greeted:
            waited = self.context.clock.now() - self.since
            if engine.reject_unread(waited, self.tenant) and (message := codec.head(frame)) is not None:
                body = errors.refused("this driver has more than it can read", waited, True, False)
                self._reply(message, body)
                return
        try:
            message = codec.parse(frame)
        except WireError as error:
            self.context.log("client.bad_message", connection=self.number, why=str(error))
            self.context.counted("bad_message")
            self.broken = True
            self.transport.loseConnection()
            return
        try:
            self._serve(message)
        except BadCommand as error:
            self.context.counted("bad_command")
            self._reply(message, errors.error(error.code, error.name, error.text))

    def _serve(self, message: Message) -> None:
        request = read(message, self.app_name, self.context.shard_field)
        if message.legacy and request.name not in ("hello", "isMaster", "ismaster"):
            raise BadCommand(5739101, "UnsupportedOpQueryCommand", "OP_QUERY carries the first hello only")
        if request.kind is Kind.LOCAL:
            self._serve_here(request)
        elif request.kind is Kind.GET_MORE:
            self._get_more(request)
        elif request.kind is Kind.KILL_CURSORS:
            self._kill_cursors(request)
        else:
            self._submit(request)

    def _submit(self, request: Request) -> None:
        context, now = self.context, self.context.clock.now()
        group = context.group_of(request)
        if group is None:
            raise BadCommand(26, "NamespaceNotFound", f"no group holds '{request.namespace}'")
        cls = context.classifier.find(request.facts)
        if cls is None:
            what = "write" if request.facts.writes else "read"
            raise BadCommand(13, "Unauthorized", f"no class takes this {what} of '{request.namespace}'")
        time_left = self._time_left(request, cls.deadline)
        age = None
        if request.after is not None and not request.facts.writes:
            age = max(1e-6, now - context.endpoints.positions[group].session_need(request.after, now))
        placement = context.classifier.place(cls, request.facts, time_left, age)
        who = self._who(request)
        self.tenant, self.greeted = who[0], True
        command = ClientRequest(
            placement.class_name,
            group,
            time_left,
            request,
            request.session,
            placement.session_age,
            self.number,
            *who,
        )
        self._await(request, context.engine.submit(command, self._answered(request), self.since or None))

    def _who(self, request: Request) -> tuple[str, str, str, str]:
        """Tenant, client, a mark for promises, and the key that only tries of one request share."""
        context = self.context
        if not context.tenant_of:
            return "", "", "", ""
        told = {
            "app_name": self.app_name,
            "address": self.address,
            "session": request.session,
            "database": request.database,
            "comment": request.facts.comment,
            "connection": str(self.number),
        }
        tenant = next((told[source] for source in context.tenant_of if told[source]), "")
        client = next((told[source] for source in context.client_of if told[source]), "")
        number = bsonwalk.find(request.message.body, b"txnNumber") if request.facts.keyed else None
        key = "" if number is None else str(bsonwalk.number(request.message.body, number))
        # A stock client tries again in the same session, on whatever connection.
        who = request.session or str(self.number)
        mark = f"{tenant}/{who}/{request.name}/{request.namespace}/{key}"
        return tenant, client, mark, f"{who}/{key}" if key else ""

    def _await(self, request: Request, account: PendingRequest) -> None:
        if account.open:
            self.account = account

    def _time_left(self, request: Request, deadline: float) -> float:
        stated = deadline if request.time_left is None else min(deadline, request.time_left)
        return stated - self.context.answer_margin

    def _answered(self, request: Request) -> Callable[[Response], None]:
        def answered(answer: Response) -> None:
            self.account = None
            if answer.status is ResponseStatus.SERVED:
                self._pass_on(request, answer)
                return
            writes = request.facts.writes
            if answer.status is ResponseStatus.REJECTED:
                body = errors.refused(answer.why, answer.retry_after, writes, answer.reserved)
            else:
                body = errors.failed(answer.why, writes)
            self._reply(request.message, body)

        return answered

    def _pass_on(self, request: Request, answer: Response) -> None:
        """Send a member's reply on; a cursor that it opens gets an id of ours."""
        reply: MemberReply = answer.reply
        cursor = reply.cursor
        if cursor is None or answer.endpoint is None:
            self._reply(request.message, reply.body)
            return
        identity = bsonwalk.find(reply.body, b"id", cursor.start)
        member_id = int(bsonwalk.number(reply.body, identity) or 0)
        body = reply.body
        if identity is not None and identity.kind == bsonwalk.INT64 and member_id:
            if self.transport is None or self.transport.disconnecting:
                return
            namespace = bsonwalk.text(body, bsonwalk.find(body, b"ns", cursor.start)) or request.namespace
            opened, ended = self.context.cursors.opened(
                answer.endpoint, member_id, namespace, self.context.clock.now()
            )
            self._close_at_members(ended)
            body = bsonwalk.replace_int64(body, identity, opened.id)
        self._reply(request.message, body)

    # Cursors

    def _get_more(self, request: Request) -> None:
        context, now, number = self.context, self.context.clock.now(), request.cursor_ids[0]
        cursor = context.cursors.use(number, request.namespace, now)
        if cursor is None:
            self._reply(request.message, errors.cursor_not_found(number))
            return
        if not may_go_on(context.engine.draining_since.get(cursor.endpoint), context.drain_grace, now):
            context.cursors.close(number)
            self._reply(request.message, errors.cursor_not_found(number))
            return
        time_left = self._time_left(request, context.classifier.most_deadline)
        group = context.endpoints.links[cursor.endpoint].group
        payload = Plain(request.next_batch(cursor.member_id))
        command = ClientRequest("", group, time_left, payload, request.session, connection=self.number)

        def answered(answer: Response) -> None:
            self.account = None
            if answer.status is not ResponseStatus.SERVED:
                context.cursors.close(
                    number
                )  # whether the batch was taken is not known: there is no going on
                self._reply(request.message, errors.cursor_not_found(number))
                return
            body = answer.reply.body
            found = answer.reply.cursor
            identity = None if found is None else bsonwalk.find(body, b"id", found.start)
            if identity is not None and identity.kind == bsonwalk.INT64:
                if bsonwalk.number(body, identity):
                    body = bsonwalk.replace_int64(body, identity, number)
                else:
                    context.cursors.close(number)
            self._reply(request.message, body)

        arrived = self.since or None
        self._await(request, context.engine.submit_sticky(cursor.endpoint, command, answered, arrived))

    def _kill_cursors(self, request: Request) -> None:
        killed: list[int] = []
        unknown: list[int] = []
        for number in request.cursor_ids:
            cursor = self.context.cursors.close(number)
            (killed if cursor else unknown).append(bson.Int64(number))
            if cursor is not None:
                self._close_at_members([cursor])
        none: list[int] = []
        body = {
            "cursorsKilled": killed,
            "cursorsNotFound": unknown,
            "cursorsAlive": none,
            "cursorsUnknown": none,
            "ok": 1.0,
        }
        self._reply(request.message, bson.encode(body))

    def _close_at_members(self, ended: list[Cursor]) -> None:
        close_at_members(self.context, ended)

    # What is answered here

    def _serve_here(self, request: Request) -> None:
        message, name = request.message, request.name
        if name in ("hello", "isMaster", "ismaster"):
            self._hello(request)
        elif name in ("buildInfo", "buildinfo"):
            self._reply(message, bson.encode(BUILD_INFO))
        else:
            self._reply(message, bson.encode({"ok": 1.0}))

    def _hello(self, request: Request) -> None:
        message = request.message
        try:
            document = bson.decode(message.body)
        except bson.errors.BSONError:
            raise BadCommand(22, "InvalidBSON", "hello: it does not decode") from None
        client = document.get("client")
        if isinstance(client, dict) and isinstance(client.get("application"), dict):
            self.app_name = str(client["application"].get("name", ""))[:128]
        offered = document.get("compression")
        if isinstance(offered, list):
            self.compressors = [c for c in offered if isinstance(c, str) and c in codec.COMPRESSORS]
        body = bson.encode(hello_reply(self.context, self.number, self.compressors))
        wait = document.get("maxAwaitTimeMS")
        if document.get("topologyVersion") and isinstance(wait, (int, float)) and wait > 0:
            # A proxy's own description never changes, so an awaited hello waits its whole time.

            def over() -> None:
                self.waiting = None
                self._reply(message, body)

            self.waiting = self.context.clock.call_later(min(wait / 1000.0, 60.0), over)
        else:
            self._reply(message, body)

    def _reply(self, message: Message, body: bytes) -> None:
        """Send the reply, unless none is wanted, and go on."""
        if self.transport is not None and not message.more_to_come:
            self.replies = self.replies % 0x7FFFFFFF + 1
            number = self.replies
            if message.legacy:
                frame = codec.build_reply(body, number, message.request_id)
            else:
                frame = codec.build(body, number, message.request_id, message.flags & codec.CHECKSUM)
            if message.compressor:
                frame = codec.compress(frame, message.compressor)
            self.transport.write(frame)
        self.busy = False
        if self._held or self.clogged:
            # What was sent ahead is taken by a later turn, one command each: a client that sends thousands
            # must not keep the others waiting, nor nest.
            self.context.clock.soon(self.advance)
        else:
            self.paused = False


def close_at_members(context: Context, ended: list[Cursor]) -> None:
    """Tell members that cursors are not needed any more, where they are still to be had."""
    now = context.clock.now()
    for cursor in ended:
        link = context.endpoints.links.get(cursor.endpoint)
        drained = context.engine.draining_since.get(cursor.endpoint)
        if link is None or not may_go_on(drained, context.drain_grace, now):
            continue
        database, _, collection = cursor.namespace.partition(".")
        command = {"killCursors": collection, "cursors": [bson.Int64(cursor.member_id)], "$db": database}
        exchange = link.pool.send(Plain(b"\0" + bson.encode(command)), lambda end: None)
        context.clock.call_later(1.0, exchange.abandon)


class ClientFactory(Factory):
    """Makes a protocol for each client of a listener."""

    noisy = False

    def __init__(self, context: Context) -> None:
        self.context = context

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Build one."""
        self.context.accepted += 1
        return ClientConnection(self.context, self.context.accepted)
