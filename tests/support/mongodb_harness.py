"""A MongoDB proxy without sockets: client connections on string transports, endpoints stubbed by the test."""

from __future__ import annotations

from dataclasses import dataclass, field
from importlib.resources import files
from typing import Any

import bson
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from sedgepitch.cli.group_lookup import group_finder
from sedgepitch.config.load import parse
from sedgepitch.core.clock import FakeClock
from sedgepitch.core.engine import Engine
from sedgepitch.core.types import AttemptOutcome
from sedgepitch.decisions.cursors import CursorTable
from sedgepitch.decisions.positions import GroupPositions
from sedgepitch.protocols.mongodb import bsonwalk, codec
from sedgepitch.protocols.mongodb.client import ClientConnection
from sedgepitch.protocols.mongodb.client_context import ClientContext
from sedgepitch.protocols.mongodb.reply import EndpointReply
from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router

EXAMPLE = files("sedgepitch.config").joinpath("example.yaml").read_text()


@dataclass
class SentAttempt:
    """One attempt sent to a stubbed endpoint."""

    endpoint: int
    payload: Any
    on_end: Any
    abandoned: bool = False

    def abandon(self) -> None:
        self.abandoned = True

    def started(self) -> bool:
        return True

    def withdraw(self) -> bool:
        return False

    def answer(self, reply: dict | None = None, **fields) -> None:
        """Complete the attempt with a reply of the endpoint."""
        body = bson.encode({"ok": 1.0, **(reply or {})})
        reply = EndpointReply(body, bsonwalk.find(body, b"cursor"))
        self.on_end(AttemptOutcome(fields.pop("result", api.AttemptResult.OK), reply, **fields))


@dataclass
class StubEndpoints:
    """A stub of the upstream side; the test completes the attempts that it records."""

    sent: list[SentAttempt] = field(default_factory=list)
    pools: dict[int, Any] = field(default_factory=dict)
    positions: dict[int, GroupPositions] = field(default_factory=lambda: {0: GroupPositions()})

    def send(self, endpoint, payload, on_end, by):
        self.sent.append(SentAttempt(endpoint, payload, on_end))
        return self.sent[-1]

    def check_health(self, endpoint, on_end):
        on_end(AttemptOutcome(api.AttemptResult.OK, report=api.LoadReport(0.0, False)))

    def close_idle(self, endpoint):
        pass

    def update_endpoints(self, entries, complete):
        pass


class MongodbProxy:
    """One engine with three endpoints (endpoint 1 is the primary) and any number of clients."""

    def __init__(self, seed: int = 1) -> None:
        self.task = Clock()
        self.task.advance(1000.0)
        self.clock = FakeClock(self.task)
        self.endpoints = StubEndpoints()
        settings = parse(EXAMPLE, "example")
        router = Router(settings.module_settings(), seed)
        self.engine = Engine(router, self.endpoints, self.clock)
        entries = tuple(api.EndpointEntry(n, 0, api.EndpointState.UP, "north", n == 1) for n in (1, 2, 3))
        self.engine.list_changed(api.EndpointListUpdate(entries, complete=True))
        self.context = ClientContext(
            engine=self.engine,
            upstream=self.endpoints,
            clock=self.clock,
            classifier=settings.classifier(),
            cursors=CursorTable(100, 60.0, seed),
            group_of=group_finder(settings),
            answer_margin=0.01,
            drain_grace=0.5,
        )

    def client(self) -> tuple[ClientConnection, StringTransport]:
        """Return a new client connection and its transport."""
        connection = ClientConnection(self.context, 1)
        transport = StringTransport()
        transport.set_no_delay = lambda: None
        transport.read_delay = lambda moment: moment - transport.arrived
        transport.abortConnection = transport.loseConnection
        connection.makeConnection(transport)
        return connection, transport

    def turn(self, seconds: float = 0.0, times: int = 4) -> None:
        """Advance the clock by `seconds`, then run `times` reactor turns."""
        self.task.advance(seconds)
        for _ in range(times):
            self.task.advance(0.0)


def command(number: int, flags: int = 0, **fields) -> bytes:
    """Return a framed command."""
    fields.setdefault("$db", "sky")
    return codec.build(bson.encode(fields), number, 0, flags)


def replies(transport: StringTransport) -> list[tuple[int, dict]]:
    """Return the replies sent to the client, each as (response_to, document)."""
    return split_replies(transport.value())


def split_replies(data: bytes) -> list[tuple[int, dict]]:
    """Return the replies in a byte stream, each as (response_to, document)."""
    out = []
    while data:
        length = int.from_bytes(data[:4], "little")
        message = codec.parse(data[:length])
        out.append((message.response_to, bson.decode(message.body)))
        data = data[length:]
    return out
