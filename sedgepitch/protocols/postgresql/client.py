"""The clients' side of the platform's protocol: one connection each, one statement at a time on it.

What a client sends ahead waits unread, up to a bound. Who says nothing, or half of something, is closed by
the time since it came or since that half began. What cannot be read ends its connection with an error, what
reads but is not served gets an error; neither touches another client, and nothing of it goes to a member.
"""

from __future__ import annotations

import errno
from collections.abc import Mapping
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from sedgepitch.core.engine import Engine
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.core.types import ClientRequest, Clock, Response, ResponseStatus
from sedgepitch.decisions.connections.client_connections import ClientConnections
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.decisions.connections.shutdown_schedule import ShutdownSchedule
from sedgepitch.net import socket_state, transport
from sedgepitch.protocols.postgresql import codec, statements
from sedgepitch.protocols.postgresql.close_reasons import CloseLog, CloseReason, CloseReport
from sedgepitch.protocols.postgresql.codec import BadMessage, Reader
from sedgepitch.protocols.postgresql.statements import BadStatement, Statement
from sedgepitch.routing.messages import Freshness, RequestClass

ANSWER_MARGIN = 0.015  # s before the client's time is up at which its answer is decided; more than a tick
READ_AHEAD = 64 * 1024  # bytes that any client may send ahead before its socket is left unread
# A client's end stands behind all that it sent, and does not even arrive here while the system's buffers are
# full of it. So a few may be read further, to see whether they are still there.
FAR_AHEAD, FAR_CLIENTS = 512 * 1024, 16  # bytes; how many clients at once
LOOK_EVERY = 0.1  # s between looks at who is too slow, and who has left unread
LEFT_AFTER = 0.05  # s after which it is asked whether the client of what is now read is still there
DRAIN = 256 * 1024  # bytes read and dropped behind an error, so that the error arrives
DRAIN_WITHIN = 0.5  # s for that
REFUSED, FAILED, BROKEN, ENDING = "53300", "58000", "08P01", "57P03"


class Front:
    """What all connections of one listener share."""

    def __init__(
        self,
        engine: Engine,
        clock: Clock,
        classes: Mapping[str, RequestClass],
        wall: float,
        descriptors: DescriptorBudget,
    ) -> None:
        self.engine, self.clock, self.classes, self.wall = engine, clock, classes, wall
        self.descriptors = descriptors
        settings = engine.router.settings
        self.most_come_back = (
            settings.max_retry_after if settings.retry_after else 0.0
        )  # s; 0 where none is told
        self.open_ids: dict[bytes, ClientConnection] = {}
        self.connections: set[ClientConnection] = set()
        self.visitors: ClientConnections[ClientConnection] = ClientConnections(descriptors.max_clients)
        self.accepted = self.bad_messages = self.bad_statements = 0
        self.far: set[ClientConnection] = set()  # that are read beyond READ_AHEAD
        self.unread: set[ClientConnection] = set()  # whose sockets are left unread for what they sent ahead
        self.closes = CloseLog()
        self.left_unread = self.left_waiting = 0  # clients found gone behind bytes that were not read yet
        self.closing_from = float("inf")  # from then on connections without a request are closed
        self.answered_by = float("inf")  # by then this driver ends, and whatever it took is answered
        clock.call_later(LOOK_EVERY, self._due)

    def _due(self) -> None:
        self.clock.after_reading(self._look, self.clock.now())

    def _look(self, at: float) -> None:
        for connection in self.visitors.remove_timed_out(at):
            connection.too_slow()
        for connection in list(self.unread):
            if socket_state.peer_has_closed(connection.transport):
                self.left_unread += 1
                connection.leave()
        self.clock.call_later(LOOK_EVERY, self._due)

    def ends(self, ending: ShutdownSchedule) -> None:
        """This driver ends: from now on times are cut to that."""
        self.closing_from, self.answered_by = ending.close_idle_from, ending.drain_deadline

    def room_from(self, newcomer: ClientConnection, now: float) -> ClientConnection:
        """Who goes for a newcomer: never one whose request lies unread, which would be lost with it."""
        while (goes := self.visitors.evict(now)) is not None:
            if socket_state.is_quiet(goes.transport):
                return goes
        return newcomer

    def free_descriptor(self) -> None:
        """Close the client that can best be spared; none that is busy or whose request lies unread."""
        while (goes := self.visitors.evict(self.clock.now())) is not None:
            if socket_state.is_quiet(goes.transport):
                goes.end(CloseReason.EVICTED)  # in order: its next request may be on its way
                return

    def close_free(self) -> None:
        """Where it is time, close whoever has nothing under way."""
        now = self.clock.now()
        if now >= self.closing_from:
            for connection in list(self.connections):
                connection.close_free(now >= self.answered_by)


@implementer(IPushProducer)
class _Outlet:
    """Told by the transport when the client does not take its answers, and when it does again."""

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection

    def pauseProducing(self) -> None:
        """Too much is unsent."""
        connection = self.connection
        connection.clogged = True
        connection.front.visitors.write_paused(connection, connection.front.clock.now())

    def resumeProducing(self) -> None:
        """All of it has gone."""
        connection = self.connection
        connection.clogged = False
        connection.front.visitors.write_resumed(connection)
        connection.advance()

    def stopProducing(self) -> None:
        """The connection ends."""


class ClientConnection(Protocol):
    """One client."""

    transport: Any

    def __init__(self, front: Front, number: int) -> None:
        self.front, self.number = front, number
        self.reader = Reader(codec.FROM_CLIENT)
        self.account: PendingRequest | None = None
        self.greeted = self.busy = self.clogged = self.stopped = False
        self.ending = False  # an error has been said; what still comes is dropped
        self.dropped = 0
        self.since = 0.0  # when the first byte of what is unread came
        self.accepted_at = front.clock.now()
        self.close_reason: CloseReason | None = None  # the first that this side had

    # Flow

    def connectionMade(self) -> None:
        """Count it, and make room where there is none."""
        front = self.front
        front.connections.add(self)
        now = front.clock.now()
        if not front.descriptors.client_accepted():
            goes = front.room_from(self, now)
            goes.abort(CloseReason.EVICTED)
            if goes is self:
                return
        self.transport.set_no_delay()
        self.transport.registerProducer(_Outlet(self), True)
        front.visitors.accepted(self, now)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes; while a statement is under way they only gather."""
        front = self.front
        if self.ending:
            self.dropped += len(data)
            if self.dropped > DRAIN:
                self.abort(CloseReason.FLOODED)
            return
        arrived = getattr(self.transport, "arrived", 0.0)
        if arrived and not self.stopped:
            now = front.clock.now()
            front.engine.record_wait(self.transport.read_delay(now), now)
        if not self.reader.held:
            self.since = arrived or front.clock.now()
            front.visitors.bytes_received(self)
        self.reader.feed(data)
        self.advance()
        if self.busy and self.reader.held > READ_AHEAD and not self.stopped:
            if self.reader.held <= FAR_AHEAD and (self in front.far or len(front.far) < FAR_CLIENTS):
                front.far.add(self)
                return
            self.stopped = True
            front.unread.add(self)
            self.transport.pauseProducing()

    def advance(self) -> None:
        """Go on with what is here, one statement a turn: who sends hundreds keeps nobody waiting."""
        front = self.front
        if self.busy or self.clogged or self.ending:
            return
        try:
            if not self.greeted:
                self._greet()
            if self.greeted and not self.busy and (found := self.reader.next()) is not None:
                self._message(found[0], found[1])
        except BadMessage as error:
            front.bad_messages += 1
            self.end(CloseReason.BAD_MESSAGE, codec.error(BROKEN, str(error), fatal=True))
            return
        if self.reader.held <= READ_AHEAD // 2:
            front.far.discard(self)
            if self.stopped and not self.ending:
                self._read_on()
        if self.busy or self.ending:
            return
        if not self.greeted or self.reader.held:
            front.visitors.message_incomplete(self, front.clock.now())
        elif (goes := front.visitors.became_idle(self, front.clock.now())) is not None:
            if socket_state.is_quiet(goes.transport):
                goes.end(CloseReason.REST_LIMIT)

    def _greet(self) -> None:
        while (found := self.reader.startup()) is not None:
            code, body = found
            if code == codec.CANCEL:
                self.end(CloseReason.TERMINATED)
                return
            if code in (codec.SSL, codec.GSS):
                self.transport.write(b"N")
                continue
            codec.startup_parameters(body)
            self.greeted = True
            self.transport.write(codec.WELCOME + codec.key_data(self.number) + codec.READY)
            return

    def too_slow(self) -> None:
        """Half of something, or nothing, for too long; or an answer that is not taken."""
        if self.clogged or self.ending:
            self.abort(CloseReason.NOT_TAKEN)
        else:
            last = codec.error(BROKEN, "nothing whole came in time", fatal=True)
            self.end(CloseReason.TOO_SLOW, last)

    def abort(self, reason: CloseReason) -> None:
        """Close at once, with a reset."""
        self._closes(reason)
        self.transport.abortConnection()

    def _closes(self, reason: CloseReason) -> None:
        if self.close_reason is None:
            self.close_reason = reason

    def end(self, reason: CloseReason, last: bytes = b"") -> None:
        """Say the last thing, read on a little so that it arrives, and close."""
        front = self.front
        self._closes(reason)
        self.ending = True
        front.visitors.closed(self)
        if last:
            self.transport.write(last)
        self.reader = Reader({})
        if hasattr(self.transport, "loseWriteConnection"):
            self.transport.loseWriteConnection()
        if self.stopped:
            self._read_on()
        front.clock.call_later(DRAIN_WITHIN, self._close)

    def _read_on(self) -> None:
        self.stopped = False
        self.front.unread.discard(self)
        self.transport.resumeProducing()

    def leave(self) -> None:
        """The client has left, though its end has not been read: nothing is owed or sent from here on."""
        self._forget_request()
        self.ending = True
        self.reader = Reader({})
        self.abort(CloseReason.LEFT_UNREAD)

    def close_free(self, last: bool) -> None:
        """This driver ends: close, unless something is under way here or lies unread.

        `last`: also where half of something has come, which nobody will wait for.
        """
        if self.busy or self.ending or not socket_state.is_quiet(self.transport):
            return
        if not self.reader.held:
            self.end(CloseReason.SHUTDOWN)
        elif last:
            self.end(CloseReason.SHUTDOWN, codec.error(ENDING, "this driver ends", fatal=True))

    def _close(self) -> None:
        if self in self.front.connections:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The connection has ended, by either side."""
        front = self.front
        front.closes.closed(self._close_report(reason))
        front.connections.discard(self)
        front.visitors.closed(self)
        front.unread.discard(self)
        front.far.discard(self)
        front.descriptors.client_closed()
        self._forget_request()

    def _close_report(self, lost: Failure) -> CloseReport:
        account = self.account
        return CloseReport(
            number=self.number,
            reason=self.close_reason or _reason_of(lost),
            detail=lost.getErrorMessage(),
            request=account.request.payload.id.decode("ascii", "replace") if account is not None else "",
            attempts=account.attempt_count if account is not None else 0,
            read_bytes=self.reader.held,
            lasted=self.front.clock.now() - self.accepted_at,
        )

    def _forget_request(self) -> None:
        if self.account is not None:
            account, self.account = self.account, None
            self.front.open_ids.pop(account.request.payload.id, None)
            self.front.engine.client_disconnected(account)

    # Statements

    def _message(self, kind: bytes, raw: bytes) -> None:
        if kind == b"X":
            self.end(CloseReason.TERMINATED)
            return
        if raw[-1]:
            raise BadMessage("a statement without its end")
        text = raw[5:-1]
        if not text or not text.strip(b" \t\r\n;"):
            self.transport.write(codec.EMPTY)
            self._next()
            return
        front = self.front
        front.engine.before_reading()
        try:
            statement = statements.read(text, front.classes)
            if not self._id_free(statement.id):
                raise BadStatement("id: a request of this id is open", "42710")
        except BadStatement as error:
            front.bad_statements += 1
            self.transport.write(codec.error(error.code, str(error)) + codec.READY)
            self._next()
            return
        self._submit(statement)

    def _id_free(self, request: bytes) -> bool:
        """Whether no request of this id is open; that of a client who left before any attempt is not."""
        owner = self.front.open_ids.get(request)
        if owner is None:
            return True
        if (
            owner.account is None
            or owner.account.attempt_count
            or not socket_state.peer_has_closed(owner.transport)
        ):
            return False
        owner.leave()
        return True

    def _next(self) -> None:
        """Answered: what was sent ahead is taken by a later turn."""
        self.busy = False
        if self.reader.held:
            self.busy = True
            self.front.clock.soon(self._go_on)

    def _go_on(self) -> None:
        self.busy = False
        self.since = self.front.clock.now()  # the time waiting for those ahead does not count
        if self in self.front.connections:
            self.advance()

    def _submit(self, statement: Statement) -> None:
        front, now = self.front, self.front.clock.now()
        arrived = min(now, self.since) if self.since else now
        # Guards against work for a client who left while its bytes lay unread, by this driver's own delay or
        # behind what it sent ahead. May hurt: one more system call for what was read late.
        if (now - arrived > LEFT_AFTER or self.stopped) and socket_state.peer_has_closed(self.transport):
            front.left_waiting += 1
            self.leave()
            return
        time_left = min(statement.time_left, front.answered_by - arrived)
        statement.until = arrived + time_left
        age = 0.0
        if statement.after and statement.cls.freshness is Freshness.SESSION:
            age = max(1e-6, now + front.wall - statement.after / 1000.0)
        session = statement.session if statement.cls.freshness in (Freshness.WRITE, Freshness.SESSION) else ""
        command = ClientRequest(
            statement.cls.name,
            statement.group,
            time_left - ANSWER_MARGIN,
            statement,
            session,
            age,
            self.number,
        )
        self.busy = True
        front.visitors.request_started(self)
        front.open_ids[statement.id] = self

        def answered(answer: Response) -> None:
            self.account = None
            front.open_ids.pop(statement.id, None)
            self._answer(answer)

        account = front.engine.submit(command, answered, arrived)
        if account.open:
            self.account = account

    def _answer(self, answer: Response) -> None:
        front = self.front
        if answer.status is ResponseStatus.SERVED:
            out = answer.reply + codec.READY
        elif answer.status is ResponseStatus.REJECTED:
            retry_after = min(answer.retry_after, front.most_come_back)
            pause = str(max(1, round(retry_after * 1000.0))) if retry_after > 0 else ""
            out = codec.error(REFUSED, answer.why or "refused", pause) + codec.READY
        else:
            out = codec.error(FAILED, answer.why or "failed") + codec.READY
        self.transport.write(out)
        self._next()
        if not self.busy:
            front.clock.soon(self._rest)

    def _rest(self) -> None:
        if self in self.front.connections:
            self.advance()


def _reason_of(lost: Failure) -> CloseReason:
    """Return why a connection ended that this program did not close by intent."""
    problem = lost.value
    if isinstance(problem, ConnectionDone):
        return CloseReason.PEER_CLOSED
    if isinstance(problem, (transport.ReadFailed, transport.SocketFailed)):
        reset = problem.errno in (errno.ECONNRESET, errno.EPIPE)
        return CloseReason.PEER_RESET if reset else CloseReason.CONNECTION_FAILED
    if isinstance(problem, ConnectionLost):  # the transport's own word for a write that failed
        return CloseReason.PEER_RESET
    return CloseReason.FAULT


class ClientFactory(Factory):
    """Makes a protocol for each client of a listener."""

    noisy = False

    def __init__(self, front: Front) -> None:
        self.front = front

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Build one."""
        self.front.accepted += 1
        return ClientConnection(self.front, self.front.accepted)
