"""One connection to an endpoint: start-up, then one statement at a time with its reply.

If unexpected bytes follow a complete reply, the reply is still used, but the connection is closed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from sedgepitch.net import socket_state
from sedgepitch.protocols.common.callbacks import ignore
from sedgepitch.protocols.common.transports import arrival_time, unsent_bytes
from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.codec import MalformedMessage, Reader
from sedgepitch.protocols.postgresql.reply import Reply

STARTUP_MESSAGES_MAX = 64
UNSOLICITED_KINDS = (codec.PARAMETER_STATUS, codec.NOTICE)  # allowed between statements
STARTUP_KINDS = (
    codec.AUTHENTICATION,
    codec.PARAMETER_STATUS,
    codec.BACKEND_KEY_DATA,
    codec.NOTICE,
    codec.READY_FOR_QUERY,
)


@dataclass(slots=True, frozen=True)
class SessionNames:
    """User and database sent at start-up, and the values that the endpoint reports as its role."""

    user: str = "web"
    database: str = "orders"
    primary: bytes = b"writer"
    replica: bytes = b"reader"


class Payload(Protocol):
    """A statement to send to an endpoint."""

    def text(self, now: float) -> bytes:
        """Return the text to send at `now`, in seconds of the clock."""


class HealthCheckQuery:
    """A payload that requests the load report of an endpoint."""

    __slots__ = ()

    def text(self, now: float) -> bytes:  # noqa: ARG002  # required by Payload
        """Return the text of the statement."""
        return b"SHOW usage"


@dataclass(slots=True, frozen=True)
class ConnectionCallbacks:
    """Callbacks of a connection: `ready` or `failed` is called once, and `lost` once after `ready`."""

    ready: Callable[[EndpointConnection], None]
    failed: Callable[[str], None]
    lost: Callable[[str], None]
    bytes_arrived: Callable[[float], None]  # receives the arrival time in monotonic s, 0 if unknown
    held_bytes_changed: Callable[[EndpointConnection, int], None] = ignore  # with the bytes held now


class EndpointConnection(TwistedProtocol):
    """One connection to an endpoint. `now` returns the time of the clock in seconds."""

    transport: Any

    def __init__(self, names: SessionNames, now: Callable[[], float], callbacks: ConnectionCallbacks) -> None:
        """Prepare the connection; start-up begins in `connectionMade`."""
        self.names = names
        self.now = now
        self.callbacks = callbacks
        self.reader = Reader(codec.FROM_ENDPOINT)
        self.startup_complete = False
        self.broken = False  # closing; further input is ignored
        self.on_reply: Callable[[Reply], None] | None = None
        self.reply: Reply | None = None
        self.startup_messages = 0
        self.held_bytes = 0  # of an incomplete reply, as last reported
        self.close_reason = ""
        self.uses = 0
        self.trace: Callable[..., None] | None = None

    def connectionMade(self) -> None:
        """Send the startup message."""
        self.transport.set_no_delay()
        if self.trace is not None:
            self.trace("connected")
        self.transport.write(codec.startup(self.names.user, self.names.database))

    # Interface for the connection pool

    def start(self, payload: Payload, done: Callable[[Reply], None]) -> None:
        """Send a statement; `done` is called with its reply."""
        self.on_reply = done
        self.reply = Reply()
        self.uses += 1
        self.transport.write(codec.query(payload.text(self.now())))
        if self.trace is not None:
            self.trace("written", payload=payload, uses=self.uses, unsent=self.unsent())

    def close(self) -> None:
        """Abort the connection; this is also how an attempt is cancelled."""
        self.close_reason = self.close_reason or "closed here"
        self.broken = True
        self.transport.abortConnection()

    def unsent(self) -> int:
        """Return the number of written bytes that the socket has not accepted yet."""
        return unsent_bytes(self.transport)

    def usable(self) -> bool:
        """Return whether the connection can carry another statement."""
        return (
            not self.broken
            and not self.reader.buffered_bytes
            and socket_state.is_open_and_idle(self.transport)
        )

    # Messages

    def dataReceived(self, data: bytes) -> None:
        """Process the complete messages in the input."""
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
        self._report_held_bytes()

    def _report_held_bytes(self) -> None:
        """Report how many bytes of an incomplete reply are held, if that has changed."""
        held_bytes = 0
        if not self.broken:
            held_bytes = self.reader.buffered_bytes + (self.reply.held_bytes if self.reply else 0)
        if held_bytes != self.held_bytes:
            self.held_bytes = held_bytes
            self.callbacks.held_bytes_changed(self, held_bytes)

    def _read_message(self, kind: bytes, raw: bytes, arrived: float) -> None:
        if not self.startup_complete:
            self._read_startup(kind, raw)
            return
        reply = self.reply
        if reply is None:
            if kind not in UNSOLICITED_KINDS:
                self._abort(f"a message {kind!r} that nobody asked for")
            return
        if kind == codec.PARAMETER_STATUS:
            reply.add_parameter(raw)
        elif kind == codec.READY_FOR_QUERY:
            self._read_ready(reply, raw, arrived)
        elif kind == codec.ERROR_RESPONSE:
            if reply.add_error(raw):
                self._finish(reply, arrived)
                self._abort("closed by the member with an error")
        elif kind == codec.NOTICE:
            reply.count_notice("notices")
        else:
            reply.add_row_message(kind, raw)

    def _read_startup(self, kind: bytes, raw: bytes) -> None:
        self.startup_messages += 1
        if kind == codec.AUTHENTICATION and raw[codec.HEADER_BYTES :] != codec.AUTHENTICATION_OK:
            self._abort("a member that wants a password")
        elif kind == codec.ERROR_RESPONSE:
            self._abort("turned away: " + codec.read_error(raw).get("C", "?"))
        elif kind not in STARTUP_KINDS or self.startup_messages > STARTUP_MESSAGES_MAX:
            self._abort(f"a greeting with {kind!r}")
        elif kind == codec.READY_FOR_QUERY:
            self.startup_complete = True
            self.callbacks.ready(self)

    def _read_ready(self, reply: Reply, raw: bytes, arrived: float) -> None:
        if raw[codec.HEADER_BYTES :] != codec.NO_TRANSACTION or not reply.is_final:
            raise MalformedMessage("ready before its answer")
        if self.reader.buffered_bytes:  # unexpected bytes: the reply is used, the connection closed
            self.broken = True
        self._finish(reply, arrived)
        if self.broken:
            self._abort("bytes behind an answer")

    def _finish(self, reply: Reply, arrived: float) -> None:
        """Deliver the reply. Callers set `broken` first on a connection that must not be reused."""
        reply.finish(arrived)
        self.reply = None
        on_reply, self.on_reply = self.on_reply, None
        if self.trace is not None:
            self.trace("answered")
        if on_reply is not None:
            on_reply(reply)

    def _malformed(self, why: str, arrived: float) -> None:
        """Close the connection after malformed input; a reply whose row is complete is still delivered."""
        self.broken = True
        reply = self.reply
        if reply is not None:
            if not reply.has_row:
                reply.malformed = why
            self._finish(reply, arrived)
        self._abort(why)

    # Closing

    def give_up_reply(self, why: str) -> None:
        """Close the connection because of what has arrived; a reply whose row is complete is delivered."""
        self._malformed(why, arrival_time(self.transport))
        self._report_held_bytes()

    def _abort(self, why: str) -> None:
        self.close_reason = self.close_reason or why
        self.broken = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the loss, after delivering a reply that already holds an error or a complete row."""
        self.broken = True
        self.reader.discard()
        self._report_held_bytes()
        why = self.close_reason or reason.getErrorMessage()
        if self.trace is not None:
            self.trace("ended", why=why, uses=self.uses, busy=self.reply is not None)
        if not self.startup_complete:
            self.callbacks.failed(why)
            return
        reply, self.reply = self.reply, None
        if reply is not None and reply.is_final:
            self._finish(reply, arrival_time(self.transport))
        self.on_reply = None
        self.callbacks.lost(why)
