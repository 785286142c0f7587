"""Stand-ins of the cases: members, a discovery agent, clients, and one driver started by the deploy file.

They follow the platform's protocol page and use the standard library alone. All times in records are seconds
since the start of the case, by the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
READY_WITHIN_S = 30.0  # the platform's limit for a start
HEADER_BYTES = 5  # of a message: type and length
HEARTBEAT_S = 2.0  # an empty line on a watch while nothing changes
KEPT, BROKEN, COULD_NOT_RUN = 0, 1, 2
# What ends a connection of a stand-in: the other side, or the end of the case.
CONNECTION_ENDED = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
FIELD = re.compile(r"(\w+)=([^, ]*)")

# The settings of a small deployment: those of the page on the simulator's wire, without a slow start.
SETTINGS = {
    "az": "edinburgh",
    "classes": [
        {"name": "map-read", "deadlineS": 0.8, "objectiveS": 0.2, "effect": "idempotent", "importance": 3.0},
        {"name": "own-read", "deadlineS": 0.5, "objectiveS": 0.2, "effect": "idempotent", "importance": 3.0},
        {"name": "history-read", "deadlineS": 0.6, "objectiveS": 0.2, "effect": "idempotent"},
        {"name": "current-read", "deadlineS": 0.5, "objectiveS": 0.2, "effect": "idempotent"},
        {
            "name": "upload",
            "deadlineS": 2.0,
            "objectiveS": 0.2,
            "effect": "deduplicated",
            "keyScope": "cell",
            "windowS": 1.2,
            "importance": 6.0,
            "lateWorth": 0.3,
        },
    ],
    "groupSize": 3,
    "limits": {
        "cancel": True,
        "connectTimeoutS": 0.25,
        "idleCloseS": 15.0,
        "maxRetryAfterS": 2.0,
        "mostTries": 10,
        "probes": True,
        "retryAfter": True,
        "secondCopies": True,
    },
    "registryMode": "automatic",
    "rules": {
        "answerSlackS": 0.008,
        "askWithinS": 10.0,
        "drainGraceS": 0.5,
        "fallS": 1.0,
        "overloadFactor": 2.5,
        "startCapacity": 0.16,
        "warmWithinS": 13.0,
    },
    "specifics": {
        "behind": "silent",
        "freshness": ["lag_bound", "causal", "eventual", "strong", "mutate"],
        "maxAgeS": [0.5, 0.0, 0.0, 0.0, 0.0],
        "roleInList": "trailing",
        "sessionMarks": "brought",
    },
    "stats": {"how": "piggyback", "fields": ["x0", "x1", "queue", "util"]},
    "tickS": 0.002,
    "zones": ["edinburgh", "glasgow"],
}


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        path = folder / "record.txt"
        path.unlink(missing_ok=True)
        self._file = path.open("a", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.4f} {event} {values}\n")

    def flush(self) -> None:
        """Write out what is buffered; not done for each line, since that would slow the clients."""
        self._file.flush()


# Messages of PostgreSQL's protocol, version 3


def message(kind: bytes, body: bytes) -> bytes:
    """Return one message."""
    return kind + struct.pack("!i", len(body) + 4) + body


def parameter(name: str, value: str) -> bytes:
    """Return a ParameterStatus."""
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def error(code: str, text: str) -> bytes:
    """Return an ErrorResponse."""
    fields = "".join(f"{letter}{value}\0" for letter, value in (("S", "ERROR"), ("C", code), ("M", text)))
    return message(b"E", fields.encode() + b"\0")


def row(value: bytes, tag: str) -> bytes:
    """Return the three messages of one row with one binary column."""
    column = b"payload\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1)
    return (
        message(b"T", b"\0\1" + column)
        + message(b"D", b"\0\1" + struct.pack("!i", len(value)) + value)
        + message(b"C", tag.encode() + b"\0")
    )


READY = message(b"Z", b"I")
STARTUP_BODY = struct.pack("!i", 3 << 16) + b"user\0web\0database\0orders\0\0"
STARTUP = struct.pack("!i", len(STARTUP_BODY) + 4) + STARTUP_BODY
GREETING = message(b"R", struct.pack("!i", 0)) + parameter("server_version", "16.0") + READY


def query(statement: str) -> bytes:
    """Return a simple Query."""
    return message(b"Q", statement.encode() + b"\0")


def statement_fields(statement: str) -> dict[str, str]:
    """Return the names and values of a statement's comment."""
    return dict(FIELD.findall(statement.rpartition("/*")[2]))


def value_of(request: str, cell: int) -> bytes:
    """Return the value that every member of a group gives for a request."""
    return f"value-of-{request}-in-{cell}".encode()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read one message; return its type and body."""
    head = await reader.readexactly(HEADER_BYTES)
    return head[:1], await reader.readexactly(struct.unpack("!i", head[1:])[0] - 4)


class Member:
    """A sound member: runs each statement for `work_s` and answers it with the value made for its id.

    It holds the data of its group alone; `cell` is the group's number.
    """

    def __init__(self, name: str, role: str, record: Record, work_s: float, cell: int = 1) -> None:
        self.name, self.role, self.record, self.work_s, self.cell = name, role, record, work_s, cell
        self.phase = "up"
        self.up_since_ms = 0
        self.padding = b""  # behind each value, to make it longer
        self.port = 0
        self.arrivals: list[tuple[float, str]] = []  # time of the last byte, id; probes are left out
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
        """Return this member as discovery lists it."""
        return {
            "id": self.name,
            "host_port": f"{LOOPBACK}:{self.port}",
            "locality": "edinburgh",
            "flavor": "std-8",
            "cell": self.cell,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
            "access": self.role,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*CONNECTION_ENDED):
            length = struct.unpack("!i", await reader.readexactly(4))[0]
            await reader.readexactly(length - 4)
            writer.write(GREETING)
            while True:
                kind, body = await read_message(reader)
                if kind != b"Q":
                    break
                writer.write(await self._answer(body[:-1].decode()))
        writer.close()

    async def _answer(self, statement: str) -> bytes:
        if statement == "SHOW usage":
            return row(self._usage().encode(), "SHOW") + self._status()
        request = statement_fields(statement).get("id", "?")
        self.arrivals.append((self.record.now(), request))
        self.record.write("member.received", member=self.name, cell=self.cell, phase=self.phase, id=request)
        writes = statement.startswith("INSERT")
        if writes and self.role != "writer":
            return error("25006", "not the primary") + self._status()
        await asyncio.sleep(self.work_s)
        self.record.write("member.ran", member=self.name, id=request)
        value = value_of(request, self.cell) + self.padding
        return row(value, "INSERT 0 1" if writes else "SELECT 1") + self._status()

    def _usage(self) -> str:
        return f"x0={time.time():.3f},x1={int(self.role == 'writer')},queue=0,util=0.10"

    def _status(self) -> bytes:
        clock = parameter("commit_clock", str(int(time.time() * 1000)))
        return parameter("server_role", self.role) + clock + parameter("usage", self._usage()) + READY


class Agent:
    """The discovery agent of one driver. It answers a new request `answer_after_s` seconds after it came.

    An open watch gets each change at once, and an empty line each two seconds.
    """

    def __init__(self, members: list[Member], record: Record) -> None:
        self.members, self.record = members, record
        self.answer_after_s = 0.0
        self.revision = 1
        self.port = 0
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._heartbeats = asyncio.create_task(self._beat())

    def whole_list(self) -> dict[str, object]:
        """Return the complete list."""
        members = [member.entry() for member in self.members if member.phase != "removed"]
        return {"revision": self.revision, "complete": True, "members": members}

    def publish(self, member: Member, phase: str) -> None:
        """Give a member another phase, and send the change on all open watches."""
        member.phase = phase
        self.revision += 1
        change = {"revision": self.revision, "complete": False, "members": [member.entry()]}
        self.record.write("agent.has", member=member.name, phase=phase, revision=self.revision)
        self._send(json.dumps(change).encode() + b"\n")

    def _send(self, line: bytes) -> None:
        for writer in self._watches:
            if not writer.is_closing():
                writer.write(_chunk(line))

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._send(b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*CONNECTION_ENDED):
            target = (await reader.readline()).decode().split()[1]
            while (await reader.readline()).strip():
                pass
            self.record.write("agent.asked", target=target)
            await asyncio.sleep(self.answer_after_s)
            body = json.dumps(self.whole_list()).encode() + b"\n"
            if "stream=1" in target:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + _chunk(body))
                self.record.write("agent.answered", target=target, revision=self.revision)
                self._watches.add(writer)
                try:
                    await reader.read()  # until the driver closes
                finally:
                    self._watches.discard(writer)
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        writer.close()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Driver:
    """One driver, started by the command `run` of the deploy file as a process of its own."""

    def __init__(self, folder: Path, agent: Agent, settings: dict[str, object]) -> None:
        self.folder, self.agent, self.settings = folder, agent, settings
        self.port = _free_port()
        self._process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Write the configuration, start the process, and wait until it answers an empty query."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        config = self.folder / "config.json"
        names = {"name": "n1", "listen": f"{LOOPBACK}:{self.port}"}
        names["discovery"] = f"{LOOPBACK}:{self.agent.port}"
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        known = self.agent.whole_list()
        whole = {**names, "seed": "8c1f30d27a5be964", "limits": limits, "known": known}
        config.write_text(json.dumps({**whole, "settings": self.settings}), encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), "TMPDIR": str(self.folder)}
        environment |= {f"RELAY_{name.upper()}": value for name, value in names.items()}
        with (self.folder / "driver.log").open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**environment, "RELAY_CONFIG": str(config)},
                stdout=log,
                stderr=log,
            )
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        give_up_at = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < give_up_at:
            if self.exit_code() is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = Client(self.port)
                await client.open()
                try:
                    if await client.ask("") == "empty":
                        return
                finally:
                    client.close()
            await asyncio.sleep(0.05)
        raise RuntimeError("the driver did not become ready")

    @property
    def process_id(self) -> int:
        """Return the id of the process, which `run` starts by `exec`."""
        assert self._process is not None
        return self._process.pid

    def exit_code(self) -> int | None:
        """Return the exit code of the process, None while it runs."""
        return None if self._process is None else self._process.poll()

    def signal(self, number: int) -> None:
        """Send the process a signal, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


class Client:
    """One client connection. Statements may be written ahead of the answers to earlier ones."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._received = b""

    async def open(self) -> None:
        """Connect, and read the greeting."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (LOOPBACK, self._port))
        await loop.sock_sendall(self._socket, STARTUP)
        await self.answer()

    async def write(self, statement: str) -> None:
        """Return once the last byte of the statement is written to the connection."""
        await self.write_raw(query(statement))

    async def write_raw(self, data: bytes) -> None:
        """Return once the bytes are written to the connection."""
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def answer(self) -> str:
        """Return the next answer: "served VALUE", "error CODE", "empty", "" or, at the end, "closed"."""
        found = ""
        while True:
            while len(self._received) < HEADER_BYTES or len(self._received) < 1 + self._length():
                if not await self._receive():
                    return found if found.startswith("error") else "closed"
            kind, end = self._received[:1], 1 + self._length()
            body, self._received = self._received[HEADER_BYTES:end], self._received[end:]
            if kind == b"Z":
                return found
            if kind == b"I":
                found = "empty"
            elif kind == b"D":
                found = f"served {body[6:].decode(errors='replace')}"
            elif kind == b"E":
                code = next(part[1:] for part in body.split(b"\0") if part[:1] == b"C")
                found = f"error {code.decode()}"

    def _length(self) -> int:
        return int(struct.unpack("!i", self._received[1:HEADER_BYTES])[0])

    async def _receive(self) -> bool:
        try:
            data = await asyncio.get_running_loop().sock_recv(self._socket, 65536)
        except OSError:
            return False
        self._received += data
        return bool(data)

    async def ask(self, statement: str) -> str:
        """Write one statement and return its answer."""
        try:
            await self.write(statement)
        except OSError:
            return "closed"
        return await self.answer()

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


Scenario = Callable[[Record, bool, Path], Awaitable[list[str]]]


def play(case: Path, scenario: Scenario) -> None:
    """Play a scenario and end this process: 1 if it returns broken rules, 0 if none, 2 if it could not run.

    The second argument of the scenario tells whether to play the disruption, which the first argument of the
    program leaves out where it is 0 (`run.sh` passes TROUBLE); the third is a temporary folder.
    """
    record = Record(case)
    trouble = sys.argv[1:2] != ["0"]
    record.write("case.started", trouble=int(trouble))
    with tempfile.TemporaryDirectory() as folder:
        try:
            broken = asyncio.run(scenario(record, trouble, Path(folder)))
        except Exception as problem:
            record.write("case.could_not_run", problem=repr(problem))
            print(f"could not run: {problem!r}")
            sys.exit(COULD_NOT_RUN)
        finally:
            record.flush()
            _keep_log(case, Path(folder))
    for line in broken:
        record.write("rule.broken", what=line)
        print(f"broken: {line}")
    record.write("case.ended", broken=len(broken))
    record.flush()
    print(f"{len(broken)} broken, trouble={int(trouble)}")
    sys.exit(BROKEN if broken else KEPT)


def _keep_log(case: Path, folder: Path) -> None:
    """Append the driver's log to the record."""
    with contextlib.suppress(OSError):
        text = (folder / "driver.log").read_text(encoding="utf-8", errors="replace")
        with (case / "record.txt").open("a", encoding="utf-8") as file:
            file.write("".join(f"          driver | {line}\n" for line in text.splitlines()))
