"""Clients of a soak that misbehave: each kind is a load that operators saw take a proxy down.

The clients run in a process of their own (`crowd_process.py`), so that they do not delay the regular clients
of the soak. All of them read what they get, unless it is their kind not to.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import struct
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from sedgepitch.protocols.postgresql import codec
from sedgepitch.scenarios.soak.clients import statement
from sedgepitch.scenarios.soak.traffic import CLASSES, TrafficClass

VALUE_DIGITS = 2 * codec.VALUE_BYTES_MAX  # of the largest value that a client may write
DEADLINE_S = 0.5
UPLOAD_S = (0.5, 1.8)  # time that a slow client takes for one upload, below the receive timeout
UPLOAD_PIECES = 20
SENT_SHARE = 0.9  # of an upload whose client stops
CHUNK_BYTES = 64 * 1024  # sent at a time by a flooding client
READ_BYTES = 64 * 1024
CONNECT_SPREAD_S = 0.3
RECONNECT_S = 0.02
FIELDS_BYTES = codec.STARTUP_BYTES_MAX - codec.STARTUP_HEADER_BYTES
COMMENT_FIELDS = 250
UNREAD_READS = 150
UNREAD_UPLOADS = 40
PIPELINED_BEFORE_LEAVING = 400
LEAVE_AFTER_S = (0.0, 0.15)
UNREAD_WRITES, UNREAD_VALUE_BYTES = 500, 1500  # 1.5 MB of statements
LEAVE_UNREAD_AFTER_S = (0.02, 0.4)
RETURN_AFTER_S = (0.0, 0.1)
SSL_REQUEST = struct.pack("!ii", codec.STARTUP_HEADER_BYTES, codec.SSL_REQUEST)
STARTUP = codec.startup("web", "orders")
READ, KEYED_WRITE, UNKEYED_WRITE = CLASSES[0], CLASSES[2], CLASSES[3]
UNKNOWN_CLASS = TrafficClass("no-such-class", 1.0, True, "idempotent", "mutate", "safe", "write", 1.0)

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class CrowdKind(StrEnum):
    """What the clients of a crowd do."""

    MIXED = "mixed"  # idle, bursting, disconnecting and stalled clients (crowd.py)
    SLOW_UPLOADS = "slow_uploads"  # large values in small pieces, finished before the receive timeout
    HALF_UPLOADS = "half_uploads"  # clients that stop within a large value
    SHORT_FIELDS = "short_fields"  # start-up messages and comments of very many short fields
    WHOLE_UPLOADS = "whole_uploads"  # large values at full speed
    UNREAD_RESPONSES = "unread_responses"  # pipelined statements whose responses are not read
    SMALL_MESSAGES = "small_messages"  # one connection: empty queries at full speed
    NEGOTIATION = "negotiation"  # one connection: requests for encryption at full speed
    UNSOUND_STATEMENTS = "unsound_statements"  # one connection: statements that are not served
    LARGE_UNSOUND_STATEMENTS = "large_unsound_statements"  # many: large values of an unknown class
    NEW_NAMES = "new_names"  # one connection: reads whose names are always new
    BAD_CONNECTIONS = "bad_connections"  # a new connection for each malformed message
    DISCONNECTS = "disconnects"  # clients that leave, and come again with the same ids
    UNREAD_DISCONNECTS = "unread_disconnects"  # clients that leave while much of what they sent is unread


MISBEHAVING = tuple(kind for kind in CrowdKind if kind is not CrowdKind.MIXED)
CLIENTS = {
    CrowdKind.SMALL_MESSAGES: 1,
    CrowdKind.NEGOTIATION: 1,
    CrowdKind.UNSOUND_STATEMENTS: 1,
    CrowdKind.NEW_NAMES: 1,
    CrowdKind.BAD_CONNECTIONS: 4,
    CrowdKind.DISCONNECTS: 20,
    CrowdKind.UNREAD_DISCONNECTS: 40,
    CrowdKind.UNREAD_RESPONSES: 60,
    CrowdKind.LARGE_UNSOUND_STATEMENTS: 60,
}
DEFAULT_CLIENTS = 400


@dataclass(slots=True)
class MisbehavingClients:
    """The clients of one crowd. `record` receives an event and its fields."""

    port: Callable[[], int]
    rng: random.Random
    record: Callable[..., None]
    name: str  # begins all request ids
    ends_at: float = 0.0  # monotonic clock
    connections: int = 0
    sent_bytes: int = 0
    numbers: itertools.count[int] = field(default_factory=itertools.count)

    async def play(self, kind: CrowdKind, duration: float) -> None:
        """Run the clients of one kind for `duration` seconds."""
        self.ends_at = time.monotonic() + duration
        behaviours: dict[CrowdKind, Callable[[], Coroutine[Any, Any, None]]] = {
            CrowdKind.SLOW_UPLOADS: self._upload_slowly,
            CrowdKind.HALF_UPLOADS: self._stop_within_an_upload,
            CrowdKind.SHORT_FIELDS: self._send_short_fields,
            CrowdKind.WHOLE_UPLOADS: self._upload,
            CrowdKind.UNREAD_RESPONSES: self._leave_responses_unread,
            CrowdKind.SMALL_MESSAGES: self._flood_with_empty_queries,
            CrowdKind.NEGOTIATION: self._flood_with_negotiation,
            CrowdKind.UNSOUND_STATEMENTS: self._flood_with_unsound_statements,
            CrowdKind.LARGE_UNSOUND_STATEMENTS: self._flood_with_large_statements,
            CrowdKind.NEW_NAMES: self._flood_with_new_names,
            CrowdKind.BAD_CONNECTIONS: self._open_bad_connections,
            CrowdKind.DISCONNECTS: self._leave_and_return,
            CrowdKind.UNREAD_DISCONNECTS: self._leave_much_unread,
        }
        clients = [self._repeat(behaviours[kind]) for _ in range(CLIENTS.get(kind, DEFAULT_CLIENTS))]
        await asyncio.wait([asyncio.create_task(client) for client in clients], timeout=duration)
        self.record(
            "crowd", t=time.monotonic(), kind=kind, connections=self.connections, sent_bytes=self.sent_bytes
        )

    async def _repeat(self, behaviour: Callable[[], Coroutine[Any, Any, None]]) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, CONNECT_SPREAD_S))
        while self._left() > 0.0:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                await asyncio.wait_for(behaviour(), self._left())
            await asyncio.sleep(RECONNECT_S)

    def _left(self) -> float:
        return self.ends_at - time.monotonic()

    # Connections

    async def _open(self, startup: bytes = STARTUP) -> Connection:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port())
        self.connections += 1
        writer.write(startup)
        return reader, writer

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.sent_bytes += len(data)
        writer.write(data)
        await writer.drain()

    async def _read_to_the_end(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while await reader.read(READ_BYTES):
                pass

    async def _flood(self, connection: Connection, chunks: Callable[[], bytes]) -> None:
        """Send at full speed, and read whatever comes, until the other side ends the connection."""
        reader, writer = connection
        reading = asyncio.create_task(self._read_to_the_end(reader))
        try:
            while not reading.done():
                await self._send(writer, chunks())
        finally:
            reading.cancel()
            writer.close()

    # Statements

    def _new_id(self) -> str:
        return f"{self.name}{next(self.numbers):x}"

    def _statement(self, cls: TrafficClass, payload: str = "9f03") -> bytes:
        rid = self._new_id()
        return codec.query(statement(cls, rid, DEADLINE_S, f"5c0f{rid}", payload))

    def _large_upload(self) -> bytes:
        return self._statement(KEYED_WRITE, "ab" * (VALUE_DIGITS // 2))

    # (a) Many clients with large or very many-part messages

    async def _upload_slowly(self) -> None:
        reader, writer = await self._open()
        reading = asyncio.create_task(self._read_to_the_end(reader))
        try:
            while not reading.done():
                upload = self._large_upload()
                size = len(upload) // UPLOAD_PIECES + 1
                pause = self.rng.uniform(*UPLOAD_S) / UPLOAD_PIECES
                for at in range(0, len(upload), size):
                    await self._send(writer, upload[at : at + size])
                    await asyncio.sleep(pause)
        finally:
            reading.cancel()
            writer.close()

    async def _stop_within_an_upload(self) -> None:
        reader, writer = await self._open()
        try:
            upload = self._large_upload()
            await self._send(writer, upload[: int(SENT_SHARE * len(upload))])
            await self._read_to_the_end(reader)
        finally:
            writer.close()

    async def _send_short_fields(self) -> None:
        pairs = (FIELDS_BYTES - 1) // 3
        body = b"a\0\0" * pairs + b"\0"
        startup = struct.pack("!ii", len(body) + codec.STARTUP_HEADER_BYTES, 3 << 16) + body
        stops = self.rng.random() < 1.0 / 2.0
        reader, writer = await self._open(startup[:-1] if stops else startup)
        try:
            comment = ",".join(f"{number:x}=" for number in range(COMMENT_FIELDS))
            text = f"SELECT payload FROM entries WHERE ref = '7f3a' /* {comment} */"
            reading = asyncio.create_task(self._read_to_the_end(reader))
            while not reading.done():
                await asyncio.sleep(RECONNECT_S)
                if not stops:
                    await self._send(writer, codec.query(text.encode()))
            reading.cancel()
        finally:
            writer.close()

    async def _upload(self) -> None:
        reader, writer = await self._open()
        reading = asyncio.create_task(self._read_to_the_end(reader))
        try:
            while not reading.done():
                await self._send(writer, self._large_upload())
        finally:
            reading.cancel()
            writer.close()

    async def _leave_responses_unread(self) -> None:
        _, writer = await self._open()
        try:
            writer.write(b"".join(self._statement(READ) for _ in range(UNREAD_READS)))
            for _ in range(UNREAD_UPLOADS):
                await self._send(writer, self._large_upload())
            await asyncio.sleep(self._left())
        finally:
            writer.transport.abort()

    # (b) One client at full speed

    async def _flood_with_empty_queries(self) -> None:
        chunk = codec.query(b"") * (CHUNK_BYTES // len(codec.query(b"")))
        await self._flood(await self._open(), lambda: chunk)

    async def _flood_with_negotiation(self) -> None:
        chunk = SSL_REQUEST * (CHUNK_BYTES // len(SSL_REQUEST))
        await self._flood(await self._open(b""), lambda: chunk)

    async def _flood_with_unsound_statements(self) -> None:
        def chunk() -> bytes:
            return b"".join(codec.query(f"SELECT {self._new_id()}".encode()) for _ in range(1000))

        await self._flood(await self._open(), chunk)

    async def _flood_with_large_statements(self) -> None:
        statement_of_unknown_class = self._statement(UNKNOWN_CLASS, "ab" * (VALUE_DIGITS // 2))
        await self._flood(await self._open(), lambda: statement_of_unknown_class)

    async def _flood_with_new_names(self) -> None:
        def chunk() -> bytes:
            return b"".join(self._named_read() for _ in range(500))

        await self._flood(await self._open(), chunk)

    def _named_read(self) -> bytes:
        rid = self._new_id()
        comment = f"id={rid},c={READ.name},d=500,cluster={self.rng.randrange(1, 1 << 30)}"
        return codec.query(f"SELECT payload FROM entries WHERE ref = '{rid}' /* {comment} */".encode())

    async def _open_bad_connections(self) -> None:
        reader, writer = await self._open()
        try:
            await self._send(writer, struct.pack("!ci", b"Q", -1))
            await self._read_to_the_end(reader)
        finally:
            writer.close()

    # (c) Clients that leave

    async def _leave_and_return(self) -> None:
        """Pipeline writes, leave them unread, and send the first of them again on a new connection."""
        writes = [self._new_id() for _ in range(PIPELINED_BEFORE_LEAVING)]
        _, writer = await self._open()
        for rid in writes:
            writer.write(codec.query(statement(UNKEYED_WRITE, rid, DEADLINE_S, "")))
        await asyncio.sleep(self.rng.uniform(*LEAVE_AFTER_S))
        left_at = time.monotonic()
        writer.transport.abort() if self.rng.random() < 1.0 / 2.0 else writer.close()
        for rid in writes[1:]:
            self.record("left", rid=rid, t=left_at)
        await asyncio.sleep(self.rng.uniform(*RETURN_AFTER_S))
        reader, writer = await self._open()
        try:
            await self._send(writer, codec.query(statement(UNKEYED_WRITE, writes[0], DEADLINE_S, "")))
            await asyncio.wait_for(self._read_to_the_end(reader), 2.0 * DEADLINE_S)
        finally:
            writer.close()

    async def _leave_much_unread(self) -> None:
        """Pipeline more than the proxy reads ahead, and leave while it is unread."""
        writes = [self._new_id() for _ in range(UNREAD_WRITES)]
        _, writer = await self._open()
        value = "ab" * UNREAD_VALUE_BYTES
        for rid in writes:
            writer.write(codec.query(statement(KEYED_WRITE, rid, DEADLINE_S, f"5c0f{rid}", value)))
        await asyncio.sleep(self.rng.uniform(*LEAVE_UNREAD_AFTER_S))
        writer.transport.abort() if self.rng.random() < 1.0 / 2.0 else _shut_down(writer)
        left_at = time.monotonic()
        for rid in writes:
            self.record("left", rid=rid, t=left_at)


def _shut_down(writer: asyncio.StreamWriter) -> None:
    """Close without a reset: the end of the stream follows what the system has taken."""
    connected = writer.get_extra_info("socket")
    connected.shutdown(socket.SHUT_RDWR)
    writer.transport.abort()
