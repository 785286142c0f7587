"""Seeded traffic through both sides of a protocol, on string transports, a fake network and a fake clock.

Clients send regular, pipelined, split and malformed bytes; emulated endpoints answer, fail, send garbage or
close. Everything depends on the seed alone. The digest covers the bytes written to each connection, how the
connection ended and why a client connection was closed, so two versions of the code have the same digest only
if they agree byte by byte.
"""

from __future__ import annotations

import hashlib
import random
import re
from collections.abc import Callable
from typing import Any
from unittest import mock

from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from sedgepitch.core.clock import FakeClock
from sedgepitch.net import connecting
from sedgepitch.net.transport import ReadFailed

START_S = 1000.0
STEPS = 160
TAIL_STEPS = 40  # without new client traffic, until all deadlines have passed
MAX_SPLIT_BYTES = 4096  # longer chunks are not split
RESET = 104  # errno.ECONNRESET on Linux
LOCAL_TIME = re.compile(rb"\x09localTime\x00.{8}", re.DOTALL)  # wall time in a hello answer, not seeded
CLOSES: tuple[Callable[[], Exception], ...] = (ConnectionDone, ConnectionLost, lambda: ReadFailed(RESET))


class Wire(StringTransport):
    """The transport of one connection: a journal of writes and closes, and the bytes not delivered yet."""

    def __init__(self, clock: FakeClock) -> None:
        super().__init__()
        self.clock = clock
        self.journal: list[bytes] = []
        self.inbox: list[bytes] = []
        self.arrived = 0.0
        self.unsent_bytes = 0
        self.left = False  # the peer has closed the connection; net/socket_state.py reads this attribute
        self.closing: Exception | None = None
        self.over = False

    def write(self, data: bytes) -> None:
        super().write(data)
        self.journal.append(b"write " + LOCAL_TIME.sub(b"localTime", data))

    def loseConnection(self) -> None:  # noqa: N802 - name of the transport interface
        self.journal.append(b"lose")
        self.closing = self.closing or ConnectionDone()
        super().loseConnection()

    def abortConnection(self) -> None:
        self.journal.append(b"abort")
        self.closing = self.closing or ConnectionAborted()
        super().abortConnection()

    def loseWriteConnection(self) -> None:
        self.journal.append(b"half close")

    def pauseProducing(self) -> None:
        self.journal.append(b"pause")
        self.producerState = "paused"

    def resumeProducing(self) -> None:
        self.journal.append(b"resume")
        self.producerState = "producing"

    def set_no_delay(self) -> None:
        pass

    def unsent(self) -> int:
        return self.unsent_bytes

    def read_delay(self, moment: float) -> float:
        return moment - self.arrived

    def take_written(self) -> bytes:
        """Return the bytes written since the last call."""
        data = self.value()
        self.clear()
        return data


class FakeConnector:
    """The result of `connect`; whether the connection opens is drawn in a later step."""

    def __init__(self, address: tuple[str, int], factory: Any) -> None:
        self.address, self.factory = address, factory
        self.cancelled = False
        self.wire: Wire | None = None

    def disconnect(self) -> None:
        self.cancelled = True
        if self.wire is not None:
            self.wire.abortConnection()


class ProtocolSimulation:
    """Runs one seed of one protocol. Subclasses provide the stack, the client bytes and the answers."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.seed = seed
        self.task = Clock()
        self.task.advance(START_S)
        self.clock = FakeClock(self.task)
        self.opening: list[FakeConnector] = []
        self.clients: list[tuple[Any, Wire]] = []
        self.upstreams: list[tuple[Any, Wire]] = []
        self.reports: list[str] = []
        self.silent_clients: set[Wire] = set()

    # Provided by each protocol

    def make_client(self) -> Any:
        """Return the protocol object of a new client connection."""
        raise NotImplementedError

    def client_bytes(self) -> bytes:
        """Return the next bytes of a client."""
        raise NotImplementedError

    def flood(self) -> list[bytes]:
        """Return chunks that exceed the amount a client may pipeline."""
        raise NotImplementedError

    def greeting_bytes(self) -> bytes:
        """Return the first bytes of a client."""
        raise NotImplementedError

    def endpoint_bytes(self, wire: Wire, written: bytes) -> list[bytes]:
        """Return an endpoint's answers to the bytes written to it; may close the wire."""
        raise NotImplementedError

    def change(self, step: int) -> None:
        """Change the endpoint list or the state of the proxy."""

    def summary(self) -> str:
        """Return the final counters."""
        return ""

    # The network

    def connect(self, reactor: Any, host: str, port: int, factory: Any, timeout: float) -> FakeConnector:
        """Replace `connecting.connect`."""
        connector = FakeConnector((host, port), factory)
        self.opening.append(connector)
        return connector

    def _end_opening(self, connector: FakeConnector) -> None:
        draw = self.random.random()
        if connector.cancelled:
            return
        if draw < 0.1:
            connector.factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))
            return
        protocol = connector.factory.buildProtocol(None)
        connector.wire = Wire(self.clock)
        self.upstreams.append((protocol, connector.wire))
        protocol.makeConnection(connector.wire)

    def _deliver(self, protocol: Any, wire: Wire) -> None:
        while wire.inbox and not wire.over and wire.closing is None and wire.producerState != "paused":
            wire.arrived = self.random.choice((0.0, self.clock.now(), self.clock.now() - 0.06))
            protocol.dataReceived(wire.inbox.pop(0))
            if self.random.random() < 0.3:
                break

    def _finish(self, protocol: Any, wire: Wire) -> None:
        if wire.closing is not None and not wire.over:
            wire.over = True
            protocol.connectionLost(Failure(wire.closing))

    def _pieces(self, data: bytes) -> list[bytes]:
        """Split the bytes at random positions; mostly leave them whole."""
        if self.random.random() < 0.6 or len(data) > MAX_SPLIT_BYTES:
            return [data]
        out = []
        while data:
            size = self.random.randint(1, max(1, len(data)))
            out.append(data[:size])
            data = data[size:]
        return out

    # The run

    def run(self) -> str:
        """Run the seed and return the digest."""
        with mock.patch.object(connecting, "connect", self.connect):
            self.start()
            for step in range(STEPS):
                self._step(step)
            for _ in range(TAIL_STEPS):
                self.change(STEPS)
                self._advance(0.1)
        return self._digest()

    def start(self) -> None:
        """Create the stack."""

    def _step(self, step: int) -> None:
        draw = self.random.random
        if draw() < 0.12 and len(self.clients) < 24:
            self._new_client()
        for _, wire in self.clients:
            if wire in self.silent_clients:
                continue
            if draw() < 0.25:
                wire.inbox += self._pieces(b"".join(self.client_bytes() for _ in range(self._burst())))
            elif draw() < 0.008:
                wire.inbox += self.flood()
            self._disturb(wire)
        for connector in [c for c in self.opening if draw() < 0.8]:
            self.opening.remove(connector)
            self._end_opening(connector)
        for _, wire in self.upstreams:
            written = wire.take_written()
            if written and wire.closing is None:
                for answer in self.endpoint_bytes(wire, written):
                    wire.inbox += self._pieces(answer)
            wire.unsent_bytes = 10 if draw() < 0.03 else 0
        self.change(step)
        self._advance(self.random.choice((0.0, 0.001, 0.004, 0.02, 0.05)) if draw() < 0.97 else 0.6)

    def _burst(self) -> int:
        draw = self.random.random()
        if draw < 0.7:
            return 1
        return 3 if draw < 0.95 else 40

    def _new_client(self) -> None:
        protocol, wire = self.make_client(), Wire(self.clock)
        self.clients.append((protocol, wire))
        protocol.makeConnection(wire)
        greeting = self.greeting_bytes()
        if self.random.random() < 0.1:  # sends part of a greeting, then nothing
            self.silent_clients.add(wire)
            greeting = greeting[: self.random.randint(0, len(greeting))]
        if greeting:
            wire.inbox += self._pieces(greeting)

    def _disturb(self, wire: Wire) -> None:
        draw = self.random.random()
        producer = wire.producer
        if draw < 0.008 and wire.closing is None:
            wire.closing = self.random.choice(CLOSES)()
        elif draw < 0.012:
            wire.left = True
        elif draw < 0.02 and producer is not None and not wire.over:
            producer.pauseProducing()
        elif draw < 0.06 and producer is not None and not wire.over:
            producer.resumeProducing()

    def _advance(self, seconds: float) -> None:
        for protocol, wire in self.clients + self.upstreams:
            self._deliver(protocol, wire)
        self.task.advance(seconds)
        for _ in range(4):
            self.task.advance(0.0)
        for protocol, wire in self.clients + self.upstreams:
            self._finish(protocol, wire)

    def _digest(self) -> str:
        digest = hashlib.sha256()
        for _, wire in self.clients + self.upstreams:
            digest.update(b"connection\n")
            for entry in wire.journal:
                digest.update(entry + b"\n")
        digest.update("\n".join(self.reports).encode())
        digest.update(self.summary().encode())
        return digest.hexdigest()
