"""Clients of a driver: open-loop requests over connections that carry one each, and a record of every answer.

A request is begun when its time has come, whether or not the ones before it have been answered; a connection
that is free carries it, else a new one is opened. Times are those of the machine's monotonic clock.
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
    """One try of one request."""

    rid: str
    op: str  # the operation: the same for all its tries
    driver: str
    class_name: str
    command: dict[str, Any]
    patience: float  # s
    writes: bool
    keyed: bool
    need: str | None = None  # the rid of the session's last write that the read must see
    leave_after: float | None = None  # s after which the client leaves without its answer; 0 for at once
    asked: float = 0.0


@dataclass(slots=True)
class ClientOutcome:
    """How a try ended: served, refused, failed, closed (no connection any more), unsent, or left."""

    ask: ClientAttempt
    verdict: str
    elapsed: float
    reply: dict[str, Any] = field(default_factory=dict)

    @property
    def retry_after(self) -> float:
        """When the driver asks to be asked again, in seconds; 0 for no advice."""
        return float(self.reply.get("retryAfterMS", 0)) / 1000.0


class Connection(FrameReceiver):
    """One client connection."""

    def __init__(self, client: LoadClient) -> None:
        super().__init__()
        self.client = client
        self.number = 0
        self.ask: ClientAttempt | None = None
        self.done: Callable[[ClientOutcome], None] | None = None
        self.timer: Any = None
        self.up = False

    def connectionMade(self) -> None:
        """Begin with what waits."""
        self.transport.set_no_delay()
        if not self.client.app_name:
            self.up = True
            self._write()
            return
        client = {"application": {"name": self.client.app_name}}
        self.transport.write(codec.build(bson.encode({"hello": 1, "client": client, "$db": "admin"}), 0, 0))

    def begin(self, ask: ClientAttempt, done: Callable[[ClientOutcome], None]) -> None:
        """Carry one try."""
        self.ask, self.done = ask, done
        if self.up:
            self._write()

    def _write(self) -> None:
        ask = self.ask
        if ask is None:
            return
        self.number += 1
        command = {**ask.command, "maxTimeMS": max(1, round(ask.patience * 1000.0))}
        message = codec.build(bson.encode(command), self.number, 0)
        ask.asked = now()
        record = {"rid": ask.rid, "op": ask.op, "d": ask.driver, "cls": ask.class_name, "w": ask.writes}
        self.transport.write(message)
        self.client.record(
            "ask", t=ask.asked, by=ask.asked + ask.patience, keyed=ask.keyed, need=ask.need, **record
        )
        if ask.leave_after == 0.0:
            self._leave()
        elif ask.leave_after is not None:
            self.timer = self.client.reactor.callLater(ask.leave_after, self._leave)
        else:
            # A client that is never answered gives up long after its time; the audit has then seen it.
            self.timer = self.client.reactor.callLater(ask.patience + 2.0, self._never)

    def _leave(self) -> None:
        self.timer = None
        if self.ask is not None:
            self.client.record("left", rid=self.ask.rid)
            self._end("left", {})
        self.transport.abortConnection()

    def _never(self) -> None:
        self.timer = None
        self._end("lost", {})
        self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Take bytes; how long they waited is this process's own delay."""
        self.client.record.record_wait(now() - self.transport.arrived)
        super().dataReceived(data)

    def frame_received(self, frame: bytes) -> None:
        """One reply."""
        try:
            message = codec.parse(frame)
            reply = bson.decode(message.body)
        except (MalformedMessage, bson.errors.BSONError):
            self.transport.abortConnection()
            return
        if not self.up:  # hello is answered
            self.up = True
            self._write()
            return
        if self.ask is None or message.response_to != self.number:
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
        ask, done, self.ask, self.done = self.ask, self.done, None, None
        if ask is None or done is None:
            return
        member = reply.get("$member") or {}
        # A reply is dated by the arrival of its bytes; anything else by when this process saw it.
        at = self.transport.arrived if verdict in ("served", "refused", "failed") else now()
        if ask.asked and verdict not in ("left", "lost"):
            self.client.record(
                "got", t=at, rid=ask.rid, verdict=verdict, m=member.get("id"), i=member.get("applied")
            )
        done(ClientOutcome(ask, verdict, at - ask.asked if ask.asked else 0.0, reply))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: ARG002  # Twisted's
        """The driver hung up."""
        self.up = False
        if self in self.client.idle:
            self.client.idle.remove(self)
        self._end("closed", {})


class LoadClient(ClientFactory):
    """All client connections to one driver."""

    noisy = False

    def __init__(
        self, reactor: Any, driver: str, address: tuple[str, int], record: Recorder, app_name: str = ""
    ) -> None:
        self.reactor, self.driver, self.address, self.record = reactor, driver, address, record
        self.app_name = app_name
        self.idle: list[Connection] = []
        self.opened = 0

    def send(self, ask: ClientAttempt, done: Callable[[ClientOutcome], None]) -> None:
        """Make one try; `done` hears how it ended."""
        if self.idle:
            self.idle.pop().begin(ask, done)
            return
        self.opened += 1
        connection = Connection(self)
        connection.begin(ask, done)
        connect(self.reactor, *self.address, _One(connection), 5.0)

    def close(self) -> None:
        """Hang up what is idle."""
        for connection in list(self.idle):
            connection.transport.loseConnection()


class _One(ClientFactory):
    noisy = False

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: ARG002  # Twisted's
        """The one connection."""
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: ARG002  # Twisted's
        """The driver does not listen: the try was never made."""
        self.connection._end("unsent", {})
