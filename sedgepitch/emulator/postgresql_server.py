"""Emulated PostgreSQL servers of one replica group on an asyncio loop, with faults and a record."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from sedgepitch.protocols.postgresql import codec

GROUP = 1
PROXY = "n1"  # name of the only proxy in records
WORK_MEAN_S = 0.006
REPLICA_LAG_S = 0.15
READ_ONLY, SHUTTING_DOWN = "25006", "53300"
HEALTH_CHECK_STATEMENTS = ("SELECT 1", "SHOW usage")
_FIELD = re.compile(r"(\w+)=([^, ]*)")

Record = Callable[..., None]


@dataclass(slots=True)
class Commit:
    """One committed write."""

    index: int
    at: float  # monotonic s


@dataclass(slots=True)
class ReplicatedLog:
    """The committed writes of the group, in order and by idempotency key."""

    commits: list[Commit] = field(default_factory=list)
    by_key: dict[str, Commit] = field(default_factory=dict)

    def append(self, key: str) -> tuple[Commit, bool]:
        """Commit a write, unless its key is a repetition; return the commit, and whether it is new."""
        if key and key in self.by_key:
            return self.by_key[key], False
        commit = Commit(len(self.commits) + 1, time.monotonic())
        self.commits.append(commit)
        if key:
            self.by_key[key] = commit
        return commit, True

    def index_at(self, moment: float) -> int:
        """Return the index of the last commit up to a moment, 0 if there is none."""
        for commit in reversed(self.commits):
            if commit.at <= moment:
                return commit.index
        return 0


def statement_fields(statement: str) -> dict[str, str]:
    """Return the name=value fields in the comment of a statement."""
    return dict(_FIELD.findall(statement.rpartition("/*")[2]))


class PostgresServer:
    """One server. `record` is called with the kind and fields of each event."""

    def __init__(self, number: int, log: ReplicatedLog, record: Record, rng: random.Random) -> None:
        """Create the server; `start` opens its port. Server 1 is the initial primary."""
        self.number = number
        self.is_primary = number == 1
        self.draining = False
        self.port = 0
        self.started_at_ms = 0
        self.served: set[str] = set()  # ids of the requests that arrived here
        self._log = log
        self._record = record
        self._rng = rng
        self._hangs_until = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def name(self) -> str:
        """Return the id in endpoint lists."""
        return f"s-{self.number}"

    # Life cycle and faults

    async def start(self) -> None:
        """Listen; a restarted server reuses its port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_connections(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    async def restart(self) -> None:
        """Listen again after a crash."""
        if self._server is None:
            self.started_at_ms = round(time.time() * codec.MS_PER_S)
            await self.start()

    def hang(self, duration: float) -> None:
        """Answer nothing for `duration` seconds."""
        self._hangs_until = time.monotonic() + duration

    # Connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            length = struct.unpack("!i", await reader.readexactly(codec.LENGTH_BYTES))[0]
            await reader.readexactly(length - codec.LENGTH_BYTES)
            writer.write(codec.STARTUP_RESPONSE + codec.parameter("server_role", self._role()) + codec.READY)
            while await self._serve_one(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one message; return whether the connection stays open."""
        kind, length = struct.unpack("!ci", await reader.readexactly(codec.HEADER_BYTES))
        body = await reader.readexactly(length - codec.LENGTH_BYTES)
        if kind != codec.QUERY:
            return False
        statement = body.rstrip(b"\0").decode()
        if statement in HEALTH_CHECK_STATEMENTS:
            await self._wait_while_hanging()
            writer.write(self._row(self._usage().encode()))
            return True
        writer.write(await self._execute(statement_fields(statement), statement.startswith("INSERT")))
        return True

    async def _execute(self, fields: dict[str, str], writes: bool) -> bytes:
        """Execute one request and return the reply's bytes."""
        rid = fields.get("id", "")
        self.served.add(rid)
        self._record("recv", rid=rid, m=self.number, g=GROUP, d=PROXY, w=writes)
        if self.draining or (writes and not self.is_primary):
            self._record("away", rid=rid, m=self.number)
            code = SHUTTING_DOWN if self.draining else READ_ONLY
            return codec.error(code, "not here") + codec.READY
        await self._wait_while_hanging()
        await asyncio.sleep(self._rng.expovariate(1.0 / WORK_MEAN_S))
        if writes and not self.is_primary:  # demoted meanwhile: rejected without effect
            self._record("away", rid=rid, m=self.number)
            return codec.error(READ_ONLY, "not here") + codec.READY
        index = self._write(rid, fields.get("k", "")) if writes else self._read_index()
        return self._row(f"{self.number}.{index}.{rid}".encode())

    def _write(self, rid: str, key: str) -> int:
        commit, is_new = self._log.append(key)
        if is_new:
            self._record("commit", rid=rid, g=GROUP, i=commit.index, m=self.number)
        return commit.index

    async def _wait_while_hanging(self) -> None:
        while (left := self._hangs_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    # Replies

    def _role(self) -> str:
        return "writer" if self.is_primary else "reader"

    def _lag(self) -> float:
        return 0.0 if self.is_primary else REPLICA_LAG_S

    def _read_index(self) -> int:
        return self._log.index_at(time.monotonic() - self._lag())

    def _usage(self) -> str:
        return f"x0={time.time() - self._lag():.3f},x1={int(self.is_primary)},queue=0"

    def _row(self, value: bytes) -> bytes:
        status = codec.parameter("server_role", self._role()) + codec.parameter("usage", self._usage())
        return (
            codec.row_description()
            + codec.data_row(value)
            + codec.complete("SELECT 1")
            + status
            + codec.READY
        )
