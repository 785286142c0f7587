"""Connections of one kind that end within a message, in a process without cycle collection.

`python -m tests.support.closed_connections_case KIND` prints as JSON how many connections the kind's protocol
object served, and how many of these objects are still alive after all of them were closed.
"""

from __future__ import annotations

import gc
import json
import socket
import socketserver
import struct
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from sedgepitch.cli.reactors import install
from sedgepitch.protocols.common.callbacks import ignore
from sedgepitch.protocols.mongodb import codec as mongodb_codec
from sedgepitch.protocols.postgresql import codec

CONNECTIONS = 5
PART_BYTES = 100_000  # of the message that never ends
CONNECT_TIMEOUT_S = 0.3
CASE_TIMEOUT_S = 20.0  # reached only if a case fails
CHECK_INTERVAL_S = 0.02
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with time-out 0: close() sends a reset
ROW_PART = codec.row_description() + codec.data_row(bytes(10 * PART_BYTES))[: PART_BYTES + codec.HEADER_BYTES]
WATCH_PART = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % (10 * PART_BYTES)
    + b'{"members": ["'
    + b"x" * PART_BYTES
)
FRAME_PART = struct.pack("<iiii", 10 * PART_BYTES, 1, 0, 2013) + bytes(PART_BYTES)


@dataclass
class Observed:
    """What a case prints."""

    opened: int = 0  # protocol objects seen alive with part of a message
    alive: int = 0  # at the end


class PartialServer:
    """A server that sends `greeting` at once and `part` after the next bytes, then is silent or resets."""

    def __init__(self, greeting: bytes, part: bytes, resets: bool) -> None:
        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                connection: socket.socket = self.request
                connection.recv(4096)
                if greeting:
                    connection.sendall(greeting)
                    connection.recv(4096)
                connection.sendall(part)
                if resets:
                    time.sleep(CONNECT_TIMEOUT_S / 2)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    connection.close()
                    return
                while connection.recv(4096):
                    pass

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True

            def handle_error(self, _request: Any, _address: Any) -> None:
                """Ignore errors: the tested side aborts connections."""

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address: tuple[str, int] = self.server.server_address[:2]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


class Case:
    """Opens connections, waits until each has received its part of a message, and lets them end."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.observed = Observed()
        self.tracked: type = object  # the type of the protocol objects
        self.end_connections: Callable[[], None] = lambda: None

    def run(self) -> Observed:
        """Run until no protocol object is left, or until the time is up."""
        gc.collect()
        gc.disable()
        self.reactor.callLater(CHECK_INTERVAL_S, self._check, time.monotonic() + CASE_TIMEOUT_S)
        self.reactor.run()
        return self.observed

    def _check(self, until: float) -> None:
        alive = sum(type(each) is self.tracked for each in gc.get_objects())
        if alive > self.observed.opened:
            self.observed.opened = alive
        elif self.observed.opened == CONNECTIONS:
            self.end_connections()
        self.observed.alive = alive
        ended = self.observed.opened == CONNECTIONS and not alive
        if ended or time.monotonic() > until:
            self.reactor.stop()
            return
        self.reactor.callLater(CHECK_INTERVAL_S, self._check, until)


def postgresql_attempts(case: Case, resets: bool) -> None:
    """Attempts whose rows never end; they are abandoned, or their connections are reset."""
    from sedgepitch.core.clock import ReactorClock
    from sedgepitch.core.connection_pool import PoolLimits
    from sedgepitch.core.types import NEVER
    from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
    from sedgepitch.protocols.postgresql.endpoint_connection import EndpointConnection, HealthCheckQuery
    from sedgepitch.protocols.postgresql.upstream import PostgresUpstream
    from tests.support.router_harness import entry

    server = PartialServer(codec.STARTUP_RESPONSE + codec.READY, ROW_PART, resets)
    limits = PoolLimits(discard_timeout=0.0)
    clock = ReactorClock(case.reactor)
    upstream = PostgresUpstream(case.reactor, clock, limits, DescriptorBudget(0), 0.0, 1.0)
    upstream.addresses = {1: server.address}
    upstream.update_endpoints((entry(1),), complete=True)
    attempts = [upstream.send(1, HealthCheckQuery(), ignore, NEVER) for _ in range(CONNECTIONS)]
    case.tracked = EndpointConnection
    if not resets:
        _abandon_once_received(case, upstream, attempts, lambda connection: connection.reader.buffered_bytes)


def mongodb_attempts(case: Case) -> None:
    """Attempts whose reply never ends; they are abandoned."""
    import bson

    from sedgepitch.core.clock import ReactorClock
    from sedgepitch.core.connection_pool import PoolLimits
    from sedgepitch.core.types import NEVER
    from sedgepitch.protocols.mongodb.endpoint_connection import EndpointConnection
    from sedgepitch.protocols.mongodb.upstream import MongoUpstream
    from tests.support.router_harness import entry

    hello_reply = mongodb_codec.build(bson.encode({"ok": 1, "isWritablePrimary": True}), 1, 1)
    server = PartialServer(hello_reply, FRAME_PART, resets=False)
    limits = PoolLimits(discard_timeout=0.0)
    clock = ReactorClock(case.reactor)
    upstream = MongoUpstream(case.reactor, clock, {1: server.address}, "test", limits, 1.0, 1.0)
    upstream.update_endpoints((entry(1),), complete=True)
    attempts = [upstream.send(1, upstream.hello, ignore, NEVER) for _ in range(CONNECTIONS)]
    case.tracked = EndpointConnection
    _abandon_once_received(case, upstream, attempts, lambda connection: connection.buffered)


def _abandon_once_received(
    case: Case, upstream: Any, attempts: list[Any], buffered_bytes: Callable[[Any], int]
) -> None:
    """Abandon the attempts once every connection has received its part of a reply."""

    def end() -> None:
        connections = [pooled.connection for pooled in upstream.pools[1].pool.connections]
        if all(each is not None and buffered_bytes(each) >= PART_BYTES for each in connections):
            for attempt in attempts:
                attempt.abandon()

    case.end_connections = end


def postgresql_openings(case: Case) -> None:
    """Connections whose start-up never ends; they are cancelled."""
    from sedgepitch.protocols.postgresql.endpoint_connection import (
        ConnectionCallbacks,
        EndpointConnection,
        SessionNames,
    )

    def make() -> EndpointConnection:
        callbacks = ConnectionCallbacks(ignore, ignore, ignore, ignore)
        return EndpointConnection(SessionNames(), time.monotonic, callbacks)

    case.tracked = EndpointConnection
    _openings(case, make, codec.message(codec.ERROR_RESPONSE, bytes(9_000))[:-1_000])


def mongodb_openings(case: Case) -> None:
    """Connections whose hello is never answered in full; they are cancelled."""
    from sedgepitch.protocols.mongodb.endpoint_connection import ConnectionCallbacks, EndpointConnection
    from sedgepitch.protocols.mongodb.hello import hello_command

    def make() -> EndpointConnection:
        callbacks = ConnectionCallbacks(ignore, ignore, ignore, ignore)
        return EndpointConnection(hello_command("test"), callbacks)

    case.tracked = EndpointConnection
    _openings(case, make, FRAME_PART)


def _openings(case: Case, make: Callable[[], Any], part: bytes) -> None:
    from sedgepitch.net.connecting import OutgoingConnection

    server = PartialServer(b"", part, resets=False)
    openings = [OutgoingConnection(make, ignore, CONNECT_TIMEOUT_S) for _ in range(CONNECTIONS)]
    for opening in openings:
        opening.open(case.reactor, server.address, CONNECT_TIMEOUT_S)

    def end() -> None:
        while openings:
            openings.pop().cancel()

    case.reactor.callLater(2 * CONNECT_TIMEOUT_S, end)


def watches(case: Case) -> None:
    """Watches of discovery whose object never ends; they are closed."""
    from sedgepitch.discovery.watch_connection import WatchConnection

    received: set[int] = set()  # ids of the watches that have received part of an object

    class Observer:
        def bytes_received(self, watch: object) -> None: ...

        def response_started(self, watch: object) -> None: ...
        def object_received(self, watch: object, data: bytes) -> None: ...
        def heartbeat(self, watch: object) -> None: ...
        def partial_object(self, watch: object, begun: bool) -> None:
            received.add(id(watch))

        def malformed(self) -> None: ...
        def lost(self, watch: object, reason: str) -> None: ...

    server = PartialServer(b"", WATCH_PART, resets=False)
    opened = [WatchConnection(Observer(), server.address, 0) for _ in range(CONNECTIONS)]
    for watch in opened:
        watch.open(case.reactor)
    case.tracked = WatchConnection

    def end() -> None:
        while len(received) == CONNECTIONS and opened:
            opened.pop().close()

    case.end_connections = end


def postgresql_clients(case: Case) -> None:
    """Clients that leave in the middle of a statement."""
    from sedgepitch.protocols.postgresql.client import ClientConnection, ClientFactory
    from tests.support.postgresql_harness import PostgresqlProxy

    statement = codec.query(bytes(PART_BYTES))[:-1_000]
    _clients(case, ClientFactory(PostgresqlProxy().listener), codec.startup("web", "orders") + statement)
    case.tracked = ClientConnection


def mongodb_clients(case: Case) -> None:
    """Clients that leave in the middle of a message."""
    from sedgepitch.protocols.mongodb.client import ClientConnection, ClientFactory
    from tests.support.mongodb_harness import MongodbProxy

    _clients(case, ClientFactory(MongodbProxy().context), FRAME_PART)
    case.tracked = ClientConnection


def _clients(case: Case, factory: Any, part: bytes) -> None:
    from sedgepitch.net.listener import listen

    port = listen(case.reactor, 0, factory, "127.0.0.1", CONNECTIONS)
    sockets = [
        socket.create_connection(("127.0.0.1", port.getHost().port), timeout=CASE_TIMEOUT_S)
        for _ in range(CONNECTIONS)
    ]

    def send_and_leave() -> None:
        for client in sockets:
            client.sendall(part)
        time.sleep(2 * CONNECT_TIMEOUT_S)
        for client in sockets:
            client.close()

    threading.Thread(target=send_and_leave, daemon=True).start()


KINDS: dict[str, Callable[[Case], None]] = {
    "postgresql_abandoned": lambda case: postgresql_attempts(case, resets=False),
    "postgresql_reset": lambda case: postgresql_attempts(case, resets=True),
    "postgresql_openings": postgresql_openings,
    "mongodb_abandoned": mongodb_attempts,
    "mongodb_openings": mongodb_openings,
    "watches": watches,
    "postgresql_clients": postgresql_clients,
    "mongodb_clients": mongodb_clients,
}


if __name__ == "__main__":
    running = Case(install("uvloop"))
    KINDS[sys.argv[1]](running)
    print(json.dumps(asdict(running.run())))
