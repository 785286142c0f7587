"""A small platform on loopback for the tests: scripted members, a discovery agent, and one driver process."""

from __future__ import annotations

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
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sedgepitch.protocols.postgresql import codec

ROOT = Path(__file__).parent.parent.parent
WITHIN = 30.0  # s; generous, nothing waits for it unless something is broken
SETUP = {
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
        """Peers that vanish are what the tests do."""


class EmulatedEndpoint:
    """A member that writes what its script says for each statement, and keeps what it was sent."""

    def __init__(self, name: str, role: str) -> None:
        self.name, self.role = name, role
        self.statements: list[str] = []
        self.script: Callable[[str], bytes | None] = lambda statement: None  # None: the usual answer
        self.closed_early = 0
        outer = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                outer.serve(self.request)

        self.server = _Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def row(self, value: bytes) -> bytes:
        """A whole good answer."""
        return codec.row_description() + codec.data_row(value) + codec.complete("SELECT 1") + self.end()

    def end(self) -> bytes:
        """What stands behind every answer."""
        usage = f"x0={time.time():.3f},x1={int(self.role == 'writer')},queue=0"
        return codec.parameter("server_role", self.role) + codec.parameter("usage", usage) + codec.READY

    def serve(self, held: socket.socket) -> None:
        """One connection."""
        stream = held.makefile("rb")
        length = struct.unpack("!i", stream.read(4))[0]
        stream.read(length - 4)
        held.sendall(codec.WELCOME + codec.parameter("server_role", self.role) + codec.READY)
        while head := stream.read(5):
            length = struct.unpack("!i", head[1:])[0]
            statement = stream.read(length - 4)[:-1].decode()
            if statement == "SHOW usage":
                held.sendall(
                    self.row(f"x0={time.time():.3f},x1={int(self.role == 'writer')},queue=0".encode())
                )
                continue
            self.statements.append(statement)
            told = self.script(statement)
            held.sendall(self.row(value_of(statement)) if told is None else told)
            if told is not None and told.endswith(b"HANG UP"):
                held.close()
                return

    def close(self) -> None:
        """End it."""
        self.server.shutdown()
        self.server.server_close()


def value_of(statement: str) -> bytes:
    """The value that belongs to a statement."""
    return b"value of " + re.search(r"id=([^,]*)", statement)[1].encode()


class Agent:
    """The discovery agent: a watch that says what the test says."""

    def __init__(self) -> None:
        self.first: bytes = b""
        self.asked: list[str] = []
        self.watches: list[socket.socket] = []
        outer = self

        class Handler(socketserver.BaseRequestHandler):
            def handle(self) -> None:
                stream = self.request.makefile("rb")
                outer.asked.append(stream.readline().decode().split()[1])
                while stream.readline().strip():
                    pass
                self.request.sendall(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(outer.first)
                )
                outer.watches.append(self.request)
                while self.request.recv(1024):
                    pass

        self.server = _Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def say(self, data: bytes) -> None:
        """Write to all watches."""
        for watch in list(self.watches):
            try:
                watch.sendall(chunk(data))
            except OSError:
                self.watches.remove(watch)

    def close(self) -> None:
        """End it."""
        self.server.shutdown()
        self.server.server_close()


def chunk(data: bytes) -> bytes:
    """One chunk of HTTP/1.1."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


class Platform:
    """Two members, an agent and a driver."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.endpoints = [EmulatedEndpoint("s-1", "writer"), EmulatedEndpoint("s-2", "reader")]
        self.agent = Agent()
        self.agent.first = self.version(1)
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 256}
        self.process: subprocess.Popen[bytes] | None = None
        self.program = "sedgepitch.node"
        self.environment: dict[str, str] = {}  # added to the driver's
        self.log = folder / "driver.txt"

    def entries(self, complete: bool = True, **changes: str) -> list[dict[str, Any]]:
        """The members as discovery lists them; `changes` are phases by name with _ for -."""
        return [
            {
                "id": m.name,
                "host_port": f"127.0.0.1:{m.port}",
                "locality": "a",
                "cell": 1,
                "phase": changes.get(m.name.replace("-", "_"), "up"),
                "size": 1.0,
                "up_since_ms": 0,
                "access": m.role,
            }
            for m in self.endpoints
        ]

    def version(self, revision: int, complete: bool = True, **changes: str) -> bytes:
        """One line of discovery's."""
        told = {"revision": revision, "complete": complete, "members": self.entries(**changes)}
        return json.dumps(told).encode() + b"\n"

    def configure(self, agent: Agent | None = None, **changes: Any) -> None:
        """Write the configuration file."""
        told = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{(agent or self.agent).port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": {"revision": 0, "complete": True, "members": self.entries()},
            "settings": SETUP,
            **changes,
        }
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(told))
        path.with_suffix(".new").replace(path)

    def start(self) -> None:
        """Start the driver and wait until it listens."""
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
        self.port = int(self.wait_for(r"listening address=127\.0\.0\.1:(\d+)")[1])

    def wait_for(self, pattern: str) -> re.Match[str]:
        """Wait until the driver has said so."""
        end = time.monotonic() + WITHIN
        while time.monotonic() < end:
            if found := re.search(pattern, self.log.read_text()):
                return found
            if self.process is not None and self.process.poll() is not None:
                break
            time.sleep(0.02)
        raise AssertionError(f"never said {pattern!r}: {self.log.read_text()}")

    def client(self) -> Client:
        """A client past its startup."""
        return Client(self.port)

    def signal(self, number: int) -> None:
        """Send the driver a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def close(self) -> None:
        """End all of it."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        for part in (*self.endpoints, self.agent):
            part.close()


class Client:
    """A blocking client."""

    def __init__(self, port: int, greet: bool = True) -> None:
        self.held = socket.create_connection(("127.0.0.1", port), timeout=WITHIN)
        self.stream = self.held.makefile("rb")
        if greet:
            self.held.sendall(codec.startup("web", "orders"))
            self.until_ready()

    def until_ready(self) -> list[tuple[bytes, bytes]]:
        """All messages up to the next that says ready, or to the end."""
        found = []
        while head := self.stream.read(5):
            body = self.stream.read(struct.unpack("!i", head[1:])[0] - 4)
            found.append((head[:1], head + body))
            if head[:1] == b"Z":
                break
        return found

    def ask(self, statement: bytes) -> tuple[str, Any]:
        """One statement: ('value', bytes) or ('error', fields)."""
        self.held.sendall(codec.query(statement))
        for kind, raw in self.until_ready():
            if kind == b"D":
                return "value", codec.one_value(raw)
            if kind == b"E":
                return "error", codec.read_error(raw)
        return "closed", None

    def close(self) -> None:
        """End it."""
        self.stream.close()
        self.held.close()


def look(number: int, d: int = 15000) -> bytes:
    """A read."""
    return (
        f"SELECT payload FROM entries WHERE ref = '7f3a' /* id={number:x},c=look,d={d},cluster=1 */".encode()
    )


def change(number: int, d: int = 15000) -> bytes:
    """A write."""
    return (
        "INSERT INTO entries (ref, payload) VALUES ('7f3a', '\\x9f03') RETURNING payload "
        f"/* id={number:x},c=change,d={d},k=5c0f{number:x},cluster=1 */"
    ).encode()
