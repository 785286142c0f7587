"""One connection to an endpoint: start-up, then one statement at a time and its reply.

Bytes behind a good reply do not spoil the reply, but the connection is not used again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from sedgepitch.net import socket_state
from sedgepitch.protocols.common.transports import arrival_time, unsent_bytes
from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.codec import MalformedMessage, Reader
from sedgepitch.protocols.postgresql.reply import Reply

STARTUP_MESSAGES_MAX = 64
UNSOLICITED_KINDS = (codec.PARAMETER_STATUS, codec.NOTICE)  # may come between statements
STARTUP_KINDS = (
    codec.AUTHENTICATION,
    codec.PARAMETER_STATUS,
    codec.BACKEND_KEY_DATA,
    codec.NOTICE,
    codec.READY_FOR_QUERY,
)


@dataclass(slots=True, frozen=True)
class SessionNames:
    """The names given at start-up, and the endpoint's names for the two roles."""

    user: str = "web"
    database: str = "orders"
    primary: bytes = b"writer"
    replica: bytes = b"reader"


class Payload(Protocol):
    """What an endpoint is asked."""

    def text(self, now: float) -> bytes:
        """Return the statement as sent at `now`, in seconds of the clock."""


class HealthCheckQuery:
    """A payload that asks for an endpoint's load report."""

    __slots__ = ()

    def text(self, now: float) -> bytes:  # noqa: ARG002  # of Payload
        """Return the statement."""
        return b"SHOW usage"


@dataclass(slots=True, frozen=True)
class ConnectionCallbacks:
    """Whom a connection tells: `ready` or `failed` once, and `lost` once after `ready`."""

    ready: Callable[[EndpointConnection], None]
    failed: Callable[[str], None]
    lost: Callable[[str], None]
    bytes_arrived: Callable[[float], None]  # gets the time of arrival in monotonic s, 0 where unknown


class EndpointConnection(TwistedProtocol):
    """One connection to an endpoint, one statement at a time. `now` gives the clock's time in seconds."""

    transport: Any

    def __init__(self, names: SessionNames, now: Callable[[], float], callbacks: ConnectionCallbacks) -> None:
        """Prepare a connection; the transport starts it up."""
        self.names = names
        self.now = now
        self.callbacks = callbacks
        self.reader = Reader(codec.FROM_ENDPOINT)
        self.started = False  # the start-up is complete
        self.broken = False  # nothing that still comes is read
        self.on_reply: Callable[[Reply], None] | None = None
        self.reply: Reply | None = None
        self.startup_messages = 0
        self.close_reason = ""
        self.uses = 0
        self.trace: Callable[..., None] | None = None

    def connectionMade(self) -> None:
        """Send the startup message."""
        self.transport.set_no_delay()
        if self.trace is not None:
            self.trace("connected")
        self.transport.write(codec.startup(self.names.user, self.names.database))

    # What the connection pool asks

    def start(self, payload: Payload, done: Callable[[Reply], None]) -> None:
        """Send one statement; `done` gets its reply."""
        self.on_reply = done
        self.reply = Reply()
        self.uses += 1
        self.transport.write(codec.query(payload.text(self.now())))
        if self.trace is not None:
            self.trace("written", payload=payload, uses=self.uses, unsent=self.unsent())

    def close(self) -> None:
        """End the connection at once, which is also how an attempt is cancelled."""
        self.close_reason = self.close_reason or "closed here"
        self.broken = True
        self.transport.abortConnection()

    def unsent(self) -> int:
        """Return how many bytes wait for the socket to take them."""
        return unsent_bytes(self.transport)

    def usable(self) -> bool:
        """Whether it may carry the next statement."""
        return not self.broken and not self.reader.buffered_bytes and socket_state.is_quiet(self.transport)

    # Messages

    def dataReceived(self, data: bytes) -> None:
        """Read what is complete."""
        if self.broken:
            return
        arrived = arrival_time(self.transport)
        self.callbacks.bytes_arrived(arrived)
        self.reader.feed(data)
        try:
            while not self.broken and (message := self.reader.next()) is not None:
                self._read_message(message[0], message[1], arrived)
        except MalformedMessage as error:
            self._malformed(str(error), arrived)

    def _read_message(self, kind: bytes, raw: bytes, arrived: float) -> None:
        if not self.started:
            self._read_startup(kind, raw)
            return
        reply = self.reply
        if reply is None:
            if kind not in UNSOLICITED_KINDS:
                self._break(f"a message {kind!r} that nobody asked for")
            return
        if kind == codec.PARAMETER_STATUS:
            reply.add_parameter(raw)
        elif kind == codec.READY_FOR_QUERY:
            self._read_ready(reply, raw, arrived)
        elif kind == codec.ERROR_RESPONSE:
            if reply.add_error(raw):
                self._finish(reply, arrived)
                self._break("closed by the member with an error")
        elif kind == codec.NOTICE:
            reply.count_notice("notices")
        else:
            reply.add_row_message(kind, raw)

    def _read_startup(self, kind: bytes, raw: bytes) -> None:
        self.startup_messages += 1
        if kind == codec.AUTHENTICATION and raw[codec.HEADER_BYTES :] != codec.AUTHENTICATION_OK:
            self._break("a member that wants a password")
        elif kind == codec.ERROR_RESPONSE:
            self._break("turned away: " + codec.read_error(raw).get("C", "?"))
        elif kind not in STARTUP_KINDS or self.startup_messages > STARTUP_MESSAGES_MAX:
            self._break(f"a greeting with {kind!r}")
        elif kind == codec.READY_FOR_QUERY:
            self.started = True
            self.callbacks.ready(self)

    def _read_ready(self, reply: Reply, raw: bytes, arrived: float) -> None:
        if raw[codec.HEADER_BYTES :] != codec.NO_TRANSACTION or not reply.is_final:
            raise MalformedMessage("ready before its answer")
        if self.reader.buffered_bytes:  # bytes behind the reply: the reply stands, the connection goes
            self.broken = True
        self._finish(reply, arrived)
        if self.broken:
            self._break("bytes behind an answer")

    def _finish(self, reply: Reply, arrived: float) -> None:
        """Hand the reply over. A connection that goes is marked broken first, so it is not used again."""
        reply.finish(arrived)
        self.reply = None
        on_reply, self.on_reply = self.on_reply, None
        if self.trace is not None:
            self.trace("answered")
        if on_reply is not None:
            on_reply(reply)

    def _malformed(self, why: str, arrived: float) -> None:
        """End the connection on bytes that cannot be read; a reply whose row is complete still counts."""
        self.broken = True
        reply = self.reply
        if reply is not None:
            if not reply.has_row:
                reply.malformed = why
            self._finish(reply, arrived)
        self._break(why)

    # Closing

    def _break(self, why: str) -> None:
        self.close_reason = self.close_reason or why
        self.broken = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The connection has ended; an error or a row that was complete still counts."""
        why = self.close_reason or reason.getErrorMessage()
        if self.trace is not None:
            self.trace("ended", why=why, uses=self.uses, busy=self.reply is not None)
        if not self.started:
            self.callbacks.failed(why)
            return
        reply = self.reply
        if reply is not None and reply.is_final:
            self.broken = True
            self._finish(reply, arrival_time(self.transport))
        self.callbacks.lost(why)
