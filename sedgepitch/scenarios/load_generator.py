"""An open-loop load generator: one request at a time per connection, and a record of every response.

A request is sent at its planned time, whether or not earlier ones have been answered. It uses an idle
connection, or opens a new one if there is none. Times are those of the monotonic clock.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import bson
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from sedgepitch.emulator.recorder import Recorder
from sedgepitch.net.connecting import connect
from sedgepitch.protocols.mongodb import codec
from sedgepitch.protocols.mongodb.codec import MalformedMessage
from sedgepitch.protocols.mongodb.framing import FrameReceiver

now = time.monotonic


@dataclass(slots=True)
class ClientAttempt:
    """One attempt of one request."""

    rid: str
    op: str  # id of the operation, the same for all attempts
    driver: str
    class_name: str
    command: dict[str, Any]
    timeout_s: float  # sent as maxTimeMS
    writes: bool
    keyed: bool
    need: str | None = None  # rid of the session's last write, which the read must see
    leave_after: float | None = None  # s until the client disconnects without a response; 0 for at once
    sent_at: float = 0.0


@dataclass(slots=True)
class ClientOutcome:
    """How an attempt ended.

    The verdict is served, refused, failed, closed (the proxy closed the connection), unsent (not connected),
    left (the client disconnected) or lost (no response).
    """

    attempt: ClientAttempt
    verdict: str
    elapsed: float
    reply: dict[str, Any] = field(default_factory=dict)

    @property
    def retry_after(self) -> float:
        """Return the retry-after of the response in seconds; 0 if it has none."""
        return float(self.reply.get("retryAfterMS", 0)) / 1000.0


class Connection(FrameReceiver):
    """One client connection."""

    def __init__(self, client: LoadClient) -> None:
        super().__init__()
        self.client = client
        self.number = 0
        self.attempt: ClientAttempt | None = None
        self.done: Callable[[ClientOutcome], None] | None = None
        self.timer: Any = None
        self.up = False

    def connectionMade(self) -> None:
        """Send hello if there is an application name, else the pending attempt."""
        self.transport.set_no_delay()
        if not self.client.app_name:
            self.up = True
            self._write()
            return
        client = {"application": {"name": self.client.app_name}}
        self.transport.write(codec.build(bson.encode({"hello": 1, "client": client, "$db": "admin"}), 0, 0))

    def begin(self, attempt: ClientAttempt, done: Callable[[ClientOutcome], None]) -> None:
        """Send one attempt, as soon as the connection is established."""
        self.attempt, self.done = attempt, done
        if self.up:
            self._write()

    def _write(self) -> None:
        attempt = self.attempt
        if attempt is None:
            return
        self.number += 1
        command = {**attempt.command, "maxTimeMS": max(1, round(attempt.timeout_s * 1000.0))}
        message = codec.build(bson.encode(command), self.number, 0)
        attempt.sent_at = now()
        record = {
            "rid": attempt.rid,
            "op": attempt.op,
            "d": attempt.driver,
            "cls": attempt.class_name,
            "w": attempt.writes,
        }
        self.transport.write(message)
        self.client.record(
            "ask",
            t=attempt.sent_at,
            by=attempt.sent_at + attempt.timeout_s,
            keyed=attempt.keyed,
            need=attempt.need,
            **record,
        )
        if attempt.leave_after == 0.0:
            self._leave()
        elif attempt.leave_after is not None:
            self.timer = self.client.reactor.callLater(attempt.leave_after, self._leave)
        else:
            # Give up 2 s after the deadline; the audit then reports the request as unanswered.
            self.timer = self.client.reactor.callLater(attempt.timeout_s + 2.0, self._give_up)

    def _leave(self) -> None:
        self.timer = None
        if self.attempt is not None:
            self.client.record("left", rid=self.attempt.rid)
            self._end("left", {})
        self.transport.abortConnection()

    def _give_up(self) -> None:
        self.timer = None
        self._end("lost", {})
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse bytes, and record how long they waited in this process."""
        self.client.record.record_wait(now() - self.transport.arrived)
        super().dataReceived(data)

    def frame_received(self, frame: bytes) -> None:
        """Handle one reply."""
        try:
            message = codec.parse(frame)
            reply = bson.decode(message.body)
        except (MalformedMessage, bson.errors.BSONError):
            self.transport.abortConnection()
            return
        if not self.up:  # the reply to hello
            self.up = True
            self._write()
            return
        if self.attempt is None or message.response_to != self.number:
            self.client.record("extra", d=self.client.driver)
            return
        labels = reply.get("errorLabels") or []
        served = reply.get("ok") == 1
        verdict = "served" if served else "refused" if "NoWritesPerformed" in labels else "failed"
        self._end(verdict, reply)
        if self.up:
            self.client.idle.append(self)

    def _end(self, verdict: str, reply: dict[str, Any]) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        attempt, done, self.attempt, self.done = self.attempt, self.done, None, None
        if attempt is None or done is None:
            return
        member = reply.get("$member") or {}
        # The time of a reply is the arrival of its bytes; of any other end, the time at which it was noticed.
        at = self.transport.arrived if verdict in ("served", "refused", "failed") else now()
        if attempt.sent_at and verdict not in ("left", "lost"):
            self.client.record(
                "got", t=at, rid=attempt.rid, verdict=verdict, m=member.get("id"), i=member.get("applied")
            )
        done(ClientOutcome(attempt, verdict, at - attempt.sent_at if attempt.sent_at else 0.0, reply))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted's signature
        """End the attempt in flight: the proxy closed the connection."""
        self.up = False
        if self in self.client.idle:
            self.client.idle.remove(self)
        self._end("closed", {})


class LoadClient(ClientFactory):
    """All client connections to one proxy."""

    noisy = False

    def __init__(
        self, reactor: Any, driver: str, address: tuple[str, int], record: Recorder, app_name: str = ""
    ) -> None:
        self.reactor, self.driver, self.address, self.record = reactor, driver, address, record
        self.app_name = app_name
        self.idle: list[Connection] = []
        self.opened = 0

    def send(self, attempt: ClientAttempt, done: Callable[[ClientOutcome], None]) -> None:
        """Make one attempt; `done` is called with its outcome."""
        if self.idle:
            self.idle.pop().begin(attempt, done)
            return
        self.opened += 1
        connection = Connection(self)
        connection.begin(attempt, done)
        connect(self.reactor, *self.address, _SingleConnectionFactory(connection), 5.0)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.transport.loseConnection()


class _SingleConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: ARG002  # Twisted's signature
        """Return the connection."""
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ARG002  # Twisted's signature
        """Report the attempt as unsent: the proxy does not listen."""
        self.connection._end("unsent", {})
