"""A small platform on loopback: scripted endpoints, a discovery agent, and one proxy process."""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from sedgepitch.protocols.postgresql import codec

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_S = 30.0  # long: only reached if something is broken
SETTINGS = {
    "az": "a",
    "classes": [
        {"name": "look", "objectiveS": 5.0, "deadlineS": 20.0, "effect": "idempotent", "importance": 3.0},
        {
            "name": "change",
            "objectiveS": 5.0,
            "deadlineS": 20.0,
            "effect": "deduplicated",
            "keyScope": "cell",
            "windowS": 10.0,
            "lateWorth": 0.3,
        },
    ],
    "specifics": {
        "freshness": ["eventual", "mutate"],
        "maxAgeS": [0, 0],
        "sessionMarks": "brought",
        "roleInList": "trailing",
    },
    "limits": {
        "mostTries": 6,
        "probes": True,
        "secondCopies": True,
        "cancel": True,
        "retryAfter": True,
        "maxRetryAfterS": 2.0,
        "connectTimeoutS": 5.0,
        "idleCloseS": 60.0,
    },
    "stats": {"how": "piggyback", "fields": ["x0", "x1", "queue"]},
    "registryMode": "automatic",
    "rules": {"drainGraceS": 0.5, "startCapacity": 0.5, "warmWithinS": 0.0},
}


class _Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors: tests close connections on purpose."""


class EmulatedEndpoint:
    """An endpoint that answers statements by a script, and records them."""

    def __init__(self, name: str, role: str) -> None:
        self.name, self.role = name, role
        self.statements: list[str] = []
        self.script: Callable[[str], bytes | None] = lambda statement: None  # None: the default response
        self.closed_early = 0
        outer = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                outer.serve(self.request)

        self.server = _Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def row(self, value: bytes) -> bytes:
        """Return a complete response of one row."""
        return codec.row_description() + codec.data_row(value) + codec.complete("SELECT 1") + self.end()

    def end(self) -> bytes:
        """Return the messages that end every response."""
        usage = f"x0={time.time():.3f},x1={int(self.role == 'writer')},queue=0"
        return codec.parameter("server_role", self.role) + codec.parameter("usage", usage) + codec.READY

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection."""
        stream = connection.makefile("rb")
        length = struct.unpack("!i", stream.read(4))[0]
        stream.read(length - 4)
        connection.sendall(codec.STARTUP_RESPONSE + codec.parameter("server_role", self.role) + codec.READY)
        while head := stream.read(5):
            length = struct.unpack("!i", head[1:])[0]
            statement = stream.read(length - 4)[:-1].decode()
            if statement == "SHOW usage":
                connection.sendall(
                    self.row(f"x0={time.time():.3f},x1={int(self.role == 'writer')},queue=0".encode())
                )
                continue
            self.statements.append(statement)
            response = self.script(statement)
            connection.sendall(self.row(value_of(statement)) if response is None else response)
            if response is not None and response.endswith(b"HANG UP"):
                connection.close()
                return

    def close(self) -> None:
        """Close the server."""
        self.server.shutdown()
        self.server.server_close()


def value_of(statement: str) -> bytes:
    """Return the value with which an endpoint answers a statement by default."""
    return b"value of " + re.search(r"id=([^,]*)", statement)[1].encode()


class DiscoveryAgent:
    """A discovery agent: its watches send `first_object`, then what the test passes to `send`."""

    def __init__(self) -> None:
        self.first_object: bytes = b""
        self.targets: list[str] = []
        self.watches: list[socket.socket] = []
        self.delay_s = 0.0  # from a call to the beginning of its answer
        outer = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                stream = self.request.makefile("rb")
                outer.targets.append(stream.readline().decode().split()[1])
                while stream.readline().strip():
                    pass
                time.sleep(outer.delay_s)
                self.request.sendall(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(outer.first_object)
                )
                outer.watches.append(self.request)
                while self.request.recv(1024):
                    pass

        self.server = _Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def send(self, data: bytes) -> None:
        """Send data to all watches."""
        for watch in list(self.watches):
            try:
                watch.sendall(chunk(data))
            except OSError:
                self.watches.remove(watch)

    def close(self) -> None:
        """Close the server."""
        self.server.shutdown()
        self.server.server_close()


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of an HTTP/1.1 chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


class Platform:
    """Two endpoints, a discovery agent and a proxy process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.endpoints = [EmulatedEndpoint("s-1", "writer"), EmulatedEndpoint("s-2", "reader")]
        self.agent = DiscoveryAgent()
        self.agent.first_object = self.version(1)
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
        self.process: subprocess.Popen[bytes] | None = None
        self.program = "sedgepitch.node"
        self.environment: dict[str, str] = {}  # added to the process's environment
        self.log = folder / "driver.txt"

    def entries(self, **changes: str) -> list[dict[str, Any]]:
        """Return the endpoint entries of discovery; `changes` sets phases by name, with _ for -."""
        return [
            {
                "id": endpoint.name,
                "host_port": f"127.0.0.1:{endpoint.port}",
                "locality": "a",
                "cell": 1,
                "phase": changes.get(endpoint.name.replace("-", "_"), "up"),
                "size": 1.0,
                "up_since_ms": 0,
                "access": endpoint.role,
            }
            for endpoint in self.endpoints
        ]

    def version(self, revision: int, complete: bool = True, **changes: str) -> bytes:
        """Return one list version as discovery sends it."""
        update = {"revision": revision, "complete": complete, "members": self.entries(**changes)}
        return json.dumps(update).encode() + b"\n"

    def configure(self, agent: DiscoveryAgent | None = None, **changes: Any) -> None:
        """Write the configuration file."""
        configuration = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{(agent or self.agent).port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": {"revision": 0, "complete": True, "members": self.entries()},
            "settings": SETTINGS,
            **changes,
        }
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(configuration))
        path.with_suffix(".new").replace(path)

    def start(self) -> None:
        """Start the process and wait until it listens."""
        environment = {
            "PATH": os.environ["PATH"],
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "RELAY_NAME": "n1",
            "PYTHONPATH": str(ROOT),
            **self.environment,
        }
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", self.program], env=environment, stderr=log, stdout=log, cwd=ROOT
            )
        try:
            self.port = int(self.wait_for(r"listening address=127\.0\.0\.1:(\d+)")[1])
        except AssertionError:  # callers cannot close a platform whose start failed
            self.end_process()
            raise

    def wait_for(self, pattern: str) -> re.Match[str]:
        """Wait until a line of the log matches."""
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            if found := re.search(pattern, self.log.read_text()):
                return found
            if self.process is not None and self.process.poll() is not None:
                break
            time.sleep(0.02)
        raise AssertionError(f"never logged {pattern!r}: {self.log.read_text()}")

    def client(self, receive_buffer_bytes: int = 0) -> Client:
        """Return a client that has completed the startup."""
        return Client(self.port, receive_buffer_bytes=receive_buffer_bytes)

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def is_suspended(self) -> bool:
        """Return whether the process is stopped by a signal."""
        assert self.process is not None
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        return stat.rpartition(")")[2].split()[0] == "T"

    def end_process(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def close(self) -> None:
        """Kill the process and close everything."""
        self.end_process()
        for part in (*self.endpoints, self.agent):
            part.close()


@contextlib.contextmanager
def running_platform(
    folder: Path, environment: dict[str, str] | None = None, program: str = "sedgepitch.node"
) -> Iterator[Platform]:
    """Start a platform, wait until its proxy has received the endpoint list, and close it at the end."""
    running = Platform(folder)
    running.program = program
    running.environment = environment or {}
    try:
        running.configure()
        running.start()
        running.wait_for("endpoint_list.updated revision=1 complete=True cached=False")
        yield running
    finally:
        running.close()


class Client:
    """A blocking PostgreSQL client."""

    def __init__(self, port: int, startup: bool = True, receive_buffer_bytes: int = 0) -> None:
        self.socket = socket.socket()
        self.socket.settimeout(TIMEOUT_S)
        if receive_buffer_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.socket.connect(("127.0.0.1", port))
        self.stream = self.socket.makefile("rb")
        if startup:
            self.socket.sendall(codec.startup("web", "orders"))
            self.read_until_ready()

    def read_until_ready(self) -> list[tuple[bytes, bytes]]:
        """Return the messages up to the next ReadyForQuery, or to the end."""
        found = []
        while head := self.stream.read(5):
            body = self.stream.read(struct.unpack("!i", head[1:])[0] - 4)
            found.append((head[:1], head + body))
            if head[:1] == b"Z":
                break
        return found

    def query(self, statement: bytes) -> tuple[str, Any]:
        """Send one statement; return ("value", bytes), ("error", fields) or ("closed", None)."""
        self.socket.sendall(codec.query(statement))
        for kind, raw in self.read_until_ready():
            if kind == b"D":
                return "value", codec.one_value(raw)
            if kind == b"E":
                return "error", codec.read_error(raw)
        return "closed", None

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()
        self.socket.close()


def read_statement(number: int, d: int = 15000) -> bytes:
    """Return a read statement."""
    return (
        f"SELECT payload FROM entries WHERE ref = '7f3a' /* id={number:x},c=look,d={d},cluster=1 */".encode()
    )


def write_statement(number: int, d: int = 15000) -> bytes:
    """Return a write statement."""
    return (
        "INSERT INTO entries (ref, payload) VALUES ('7f3a', '\\x9f03') RETURNING payload "
        f"/* id={number:x},c=change,d={d},k=5c0f{number:x},cluster=1 */"
    ).encode()


def upload_statement(number: int, value_bytes: int, class_name: str = "change") -> bytes:
    """Return a write statement with a value of this length."""
    return (
        f"INSERT INTO entries (ref, payload) VALUES ('7f3a', '\\x{'ab' * value_bytes}') RETURNING payload "
        f"/* id={number:x},c={class_name},d=15000,k=5c0f{number:x},cluster=1 */"
    ).encode()
