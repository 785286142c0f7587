"""One test case of the transports, in a process of its own, since a process has only one reactor.

`python -m tests.support.transport_case REACTOR CASE` prints the observations as JSON.
"""

from __future__ import annotations

import json
import socket
import struct
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from sedgepitch.cli.reactors import install

TIMEOUT_S = 20.0  # reached only if a case fails
POLL_INTERVAL_S = 0.02
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with time-out 0: close() sends a reset
PATTERN = bytes(range(256))
PATTERN_REPEATS = 1 << 15  # 8 MiB, more than the socket buffers hold
BACKLOG = 50
WAITING_CLIENTS = 40


@dataclass
class Observed:
    """Observations on the server side."""

    lost: int = 0
    bytes_received: int = 0
    paused: int = 0
    resumed: int = 0
    raised: str = ""  # exception of a write after the loss
    read_delay_s: float = 0.0  # between arrival and read of the last data
    answered_before_the_turn_ended: bool = False
    accepted: int = 0
    all_received: bool | None = None  # whether the client of stopped_reader received every byte


class TransportCase:
    """A listener, one client connection, and one method per case."""

    def __init__(self, reactor: Any, name: str) -> None:
        from twisted.internet.protocol import Factory

        from sedgepitch.net.listener import listen

        self.reactor = reactor
        self.name = name
        self.observed = Observed()
        self.connections: list[Any] = []
        self.answered = threading.Event()
        self.writing_paused = threading.Event()
        self.port = listen(reactor, 0, Factory.forProtocol(_server_protocol(self)), "127.0.0.1", BACKLOG)
        self.address = ("127.0.0.1", self.port.getHost().port)
        self.client = socket.create_connection(self.address, timeout=TIMEOUT_S)

    def run(self) -> Observed:
        """Run the case to its end and return the observations."""
        self.when(lambda: self.connections, getattr(self, self.name))
        self.reactor.callLater(TIMEOUT_S * 2, self.reactor.stop)
        self.reactor.run()
        return self.observed

    def when(
        self, condition: Callable[[], object], then: Callable[[], object], left_s: float = TIMEOUT_S
    ) -> None:
        """Call `then` once the condition holds or the time is over."""
        if condition() or left_s <= 0:
            then()
        else:
            self.reactor.callLater(POLL_INTERVAL_S, self.when, condition, then, left_s - POLL_INTERVAL_S)

    def finish(self) -> None:
        """Stop the reactor after 0.1 s."""
        self.reactor.callLater(0.1, self.reactor.stop)

    # Server side

    def received(self, connection: Any, data: bytes) -> None:
        """Record received data, and answer if the case requires it."""
        self.observed.bytes_received += len(data)
        self.observed.read_delay_s = time.monotonic() - connection.transport.arrived
        if self.name == "immediate_write":
            connection.transport.write(b"answer")
            self.observed.answered_before_the_turn_ended = self.answered.wait(TIMEOUT_S)
        elif self.name == "stopped_reader":
            connection.transport.write(PATTERN * PATTERN_REPEATS)

    # The cases

    def reset(self) -> None:
        """The client resets its connection within this reactor turn."""
        self.client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.client.close()
        self.when(lambda: self.observed.lost, self.write_after_loss)

    def reset_behind_data(self) -> None:
        """The client sends a request and then resets: both have arrived when the server reads."""
        self.client.sendall(b"request")
        self.reset()

    def write_after_loss(self) -> None:
        """Write to the lost connection."""
        try:
            self.connections[0].transport.write(b"more")
        except Exception as error:
            self.observed.raised = repr(error)
        self.finish()

    def half_close(self) -> None:
        """The client sends a request and shuts down its sending side."""
        self.client.sendall(b"request")
        self.client.shutdown(socket.SHUT_WR)
        self.when(lambda: self.observed.lost, self.finish)

    def arrival(self) -> None:
        """The process is blocked for 0.3 s after the bytes have arrived."""
        self.client.sendall(b"request")
        time.sleep(0.3)
        self.when(lambda: self.observed.bytes_received, self.finish)

    def immediate_write(self) -> None:
        """The client waits for the answer in a thread; the server blocks its turn until the client has it."""

        def ask() -> None:
            self.client.sendall(b"request")
            if self.client.recv(6) == b"answer":
                self.answered.set()

        threading.Thread(target=ask, daemon=True).start()
        self.when(lambda: self.observed.bytes_received, self.finish)

    def accept_all(self) -> None:
        """Clients connect, and the port accepts all of them and closes, within this reactor turn."""
        before = len(self.connections)
        waiting = [socket.create_connection(self.address) for _ in range(WAITING_CLIENTS)]
        self.port.accepts_per_turn = 16
        assert self.port.accept_all()
        self.port.stopListening()
        self.observed.accepted = len(self.connections) - before
        for client in waiting:
            client.close()
        self.finish()

    def stopped_reader(self) -> None:
        """The client starts to read only after the socket of the server is full."""

        def read() -> None:
            self.client.sendall(b"request")
            self.writing_paused.wait(TIMEOUT_S)
            received = bytearray()
            while len(received) < len(PATTERN) * PATTERN_REPEATS:
                received += self.client.recv(1 << 20)
            self.observed.all_received = bytes(received) == PATTERN * PATTERN_REPEATS

        threading.Thread(target=read, daemon=True).start()
        self.when(lambda: self.observed.all_received is not None and self.observed.resumed, self.finish)


def _server_protocol(case: TransportCase) -> type:
    from twisted.internet.protocol import Protocol

    class ServerProtocol(Protocol):
        transport: Any

        def connectionMade(self) -> None:
            case.connections.append(self)
            self.transport.registerProducer(self, True)

        def dataReceived(self, data: bytes) -> None:
            case.received(self, data)

        def pauseProducing(self) -> None:
            case.observed.paused += 1
            case.writing_paused.set()

        def resumeProducing(self) -> None:
            case.observed.resumed += 1

        def stopProducing(self) -> None:
            pass

        def connectionLost(self, _reason: object) -> None:
            case.observed.lost += 1

    return ServerProtocol


if __name__ == "__main__":
    print(json.dumps(asdict(TransportCase(install(sys.argv[1]), sys.argv[2]).run())))
