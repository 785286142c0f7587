"""A PostgreSQL proxy without sockets: string transports, a fake clock, endpoints stubbed by the test."""

from __future__ import annotations

from typing import Any

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from sedgepitch.core.clock import FakeClock
from sedgepitch.core.engine import Engine
from sedgepitch.core.types import AttemptOutcome
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.decisions.connections.process_memory_shares import MemoryShares
from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.client import ClientConnection
from sedgepitch.protocols.postgresql.client_listener import UNLIMITED_MEMORY, ClientListener
from sedgepitch.protocols.postgresql.codec import Reader
from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router
from tests.support.mongodb_harness import StubEndpoints
from tests.support.router_harness import SETTINGS, entry

WALL = 1_000_000.0  # offset of Unix time from the test clock, s


class Wire(StringTransport):
    """A transport that records how it is closed."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = self.half_closed = False
        self.arrived = 0.0
        self.paused_reads = 0

    def read_delay(self, moment: float) -> float:
        return moment - self.arrived

    def set_no_delay(self) -> None:
        pass

    def abortConnection(self) -> None:
        self.aborted = True

    def loseWriteConnection(self) -> None:
        self.half_closed = True

    def unsent(self) -> int:
        return 0


def messages(data: bytes, bounds: Any = None) -> list[tuple[bytes, bytes]]:
    """Split the bytes on a wire into messages."""
    reader, found = Reader(bounds or codec.FROM_ENDPOINT), []
    reader.feed(data)
    while (one := reader.next()) is not None:
        found.append(one)
    return found


def errors(wire: StringTransport) -> list[dict[str, str]]:
    """Return the errors sent to a client."""
    return [codec.read_error(raw) for kind, raw in messages(wire.value()) if kind == b"E"]


def read(number: int, name: str = "any", d: str = "500", **fields: Any) -> bytes:
    """Return a client's read as a message; `d` is its deadline in ms."""
    extra = "".join(f",{k}={v}" for k, v in fields.items())
    comment = f"id={number:x},c={name},d={d},cluster=1{extra}"
    return codec.query(f"SELECT payload FROM entries WHERE ref = '7f3a' /* {comment} */".encode())


def write(number: int, d: str = "500") -> bytes:
    """Return a client's write as a message; `d` is its deadline in ms."""
    return codec.query(
        b"INSERT INTO entries (ref, payload) VALUES ('7f3a', '\\x9f03') RETURNING payload "
        b"/* id=%x,c=write,d=%b,k=5c0f,cluster=1 */" % (number, d.encode())
    )


ROW = codec.row_description() + codec.data_row(b"value") + codec.complete("SELECT 1")


class PostgresqlProxy:
    """One engine with three stubbed endpoints (endpoint 1 is the primary)."""

    def __init__(
        self, settings: api.Settings = SETTINGS, sockets: int = 0, memory: MemoryShares = UNLIMITED_MEMORY
    ) -> None:
        self.task = Clock()
        self.task.advance(1000.0)
        self.clock = FakeClock(self.task)
        self.endpoints = StubEndpoints()
        self.engine = Engine(Router(settings, 1), self.endpoints, self.clock)
        entries = (entry(1, primary=True), entry(2), entry(3))
        self.engine.list_changed(api.EndpointListUpdate(entries, complete=True))
        self.descriptors = DescriptorBudget(sockets)
        self.listener = ClientListener(
            self.engine, self.clock, self.engine.classes, WALL, self.descriptors, memory
        )
        self.clients = 0

    def client(self, greet: bool = True) -> tuple[ClientConnection, Wire]:
        """Return a new client connection and its wire; with `greet`, after its startup message."""
        self.clients += 1
        connection, wire = ClientConnection(self.listener, self.clients), Wire()
        connection.makeConnection(wire)
        if greet:
            connection.dataReceived(codec.startup("web", "orders"))
            wire.clear()
        return connection, wire

    def turn(self, seconds: float = 0.0, times: int = 4) -> None:
        """Advance the clock by `seconds`, then run `times` reactor turns."""
        self.task.advance(seconds)
        for _ in range(times):
            self.task.advance(0.0)

    def advance_in_steps(self, seconds: float, step: float = 0.05) -> None:
        """Advance the clock by `seconds` in steps of `step` seconds."""
        for _ in range(round(seconds / step)):
            self.turn(step, 1)

    def answer(self, index: int = -1, **fields: Any) -> None:
        """Complete an attempt with a reply of its endpoint."""
        result = fields.pop("result", api.AttemptResult.OK)
        reply = ROW if result is api.AttemptResult.OK else None
        self.endpoints.sent[index].on_end(AttemptOutcome(result, reply, **fields))
        self.turn()
