"""Soak clients: each sends one request after another on a connection that it keeps open."""

from __future__ import annotations

import asyncio
import contextlib
import random
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sedgepitch.emulator.postgresql_server import PROXY
from sedgepitch.protocols.postgresql import codec
from sedgepitch.scenarios.soak.traffic import CLASSES, TrafficClass

THINK_MEAN_S = 0.06
RECONNECT_PAUSE_S = 0.02
GIVE_UP_AFTER_S = 2.0  # past the deadline, after which a request counts as lost
LEAVE_SHARE = 0.03  # share of requests whose client closes the connection before the response
LEAVE_AFTER_S = 0.03  # longest wait before that close
KEEP_REQUESTS = (5, 400)  # range of requests on one connection before the client opens another
REJECTED_CODES = ("53300", "57P03")  # SQLSTATEs of a rejection: nothing ran

Record = Callable[..., None]


class ConnectionEndedError(Exception):
    """The proxy closed the connection before a complete response."""


@dataclass(slots=True)
class Reply:
    """One response."""

    verdict: str  # served, refused or failed
    value: bytes = b""
    at: float = 0.0  # monotonic clock


@dataclass(slots=True)
class Crossing:
    """A request whose connection the proxy closed before a response."""

    rid: str
    ask: dict[str, Any]
    closed_at: float


@dataclass(slots=True)
class SharedState:
    """State that all clients of a run share."""

    rng: random.Random
    record: Record
    longest_deadline: float
    port: Callable[[], int]
    crossings: list[Crossing] = field(default_factory=list)  # on a reused connection; sent once more
    closed_on_first: list[Crossing] = field(default_factory=list)  # on the first request of a connection
    wrong_values: list[str] = field(default_factory=list)
    next_id: int = 1
    stopping: bool = False

    def new_id(self) -> str:
        """Return a new, unique request id."""
        self.next_id += 1
        return f"{self.next_id:x}"


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Read up to ReadyForQuery; raise ConnectionEndedError if the connection ends before that."""
    reply = Reply("failed")
    try:
        while True:
            head = await reader.readexactly(codec.HEADER_BYTES)
            kind, length = struct.unpack("!ci", head)
            raw = head + await reader.readexactly(length - codec.LENGTH_BYTES)
            if kind == codec.DATA_ROW:
                reply = Reply("served", codec.one_value(raw) or b"")
            elif kind == codec.ERROR_RESPONSE:
                rejected = codec.read_error(raw).get("C") in REJECTED_CODES
                reply = Reply("refused" if rejected else "failed")
            elif kind == codec.READY_FOR_QUERY:
                reply.at = time.monotonic()
                return reply
    except (asyncio.IncompleteReadError, OSError):
        raise ConnectionEndedError from None


def statement(cls: TrafficClass, rid: str, deadline: float, key: str, payload: str = "9f03") -> bytes:
    """Return the SQL statement of a request; `payload` is the value of a write in hexadecimal digits."""
    comment = f"id={rid},c={cls.name},d={round(deadline * codec.MS_PER_S)}"
    if cls.effect == "deduplicated":
        comment += f",k={key}"
    if cls.writes:
        text = f"INSERT INTO entries (ref, payload) VALUES ('7f3a', '\\x{payload}') RETURNING payload"
    else:
        text = "SELECT payload FROM entries WHERE ref = '7f3a'"
    return f"{text} /* {comment},cluster=1 */".encode()


class SoakClient:
    """One client, which sends requests until the load ends."""

    def __init__(self, shared: SharedState) -> None:
        """Create a client without a connection."""
        self._shared = shared
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._answered = 0  # requests answered on this connection
        self._keep = 0  # requests after which the connection is replaced

    async def run(self) -> None:
        """Send one request after another until the load ends."""
        shared = self._shared
        weights = [cls.weight for cls in CLASSES]
        while not shared.stopping:
            await asyncio.sleep(shared.rng.expovariate(1.0 / THINK_MEAN_S))
            cls = shared.rng.choices(CLASSES, weights)[0]
            if not await self._connect():
                continue
            await self._request(cls, shared.new_id(), may_repeat=True)
            if self._answered >= self._keep:
                self._close()
        self._close()

    async def _connect(self) -> bool:
        """Connect unless connected; return whether there is a connection."""
        if self._writer is not None and self._reader is not None and not self._reader.at_eof():
            return True
        self._close()
        try:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._shared.port())
        except OSError:
            await asyncio.sleep(RECONNECT_PAUSE_S)
            return False
        self._writer.write(codec.startup("web", "orders"))
        self._answered = 0
        self._keep = self._shared.rng.randint(*KEEP_REQUESTS)
        try:
            await asyncio.wait_for(self._read(), self._shared.longest_deadline + GIVE_UP_AFTER_S)
        except (ConnectionEndedError, TimeoutError):  # no request has been sent yet
            self._close()
            return False
        return True

    async def _read(self) -> Reply:
        assert self._reader is not None
        return await read_reply(self._reader)

    async def _request(self, cls: TrafficClass, operation: str, may_repeat: bool) -> None:
        shared = self._shared
        rid = operation if may_repeat else shared.new_id()
        deadline = cls.deadline_share * shared.longest_deadline
        assert self._writer is not None
        self._writer.write(codec.query(statement(cls, rid, deadline, f"5c0f{operation}")))
        sent_at = time.monotonic()
        ask = {
            "t": sent_at,
            "by": sent_at + deadline,
            "keyed": cls.effect == "deduplicated",
            "need": None,
            "rid": rid,
            "op": operation,
            "d": PROXY,
            "cls": cls.name,
            "w": cls.writes,
        }
        if shared.rng.random() < LEAVE_SHARE:
            await self._leave(ask)
            return
        try:
            reply = await asyncio.wait_for(self._read(), deadline + GIVE_UP_AFTER_S)
        except TimeoutError:
            shared.record("ask", **ask)
            self._close()
        except ConnectionEndedError:
            await self._on_connection_ended(cls, ask, may_repeat)
        else:
            shared.record("ask", **ask)
            self._answered += 1
            self._record_reply(rid, reply)

    async def _leave(self, ask: dict[str, Any]) -> None:
        """Close the connection without waiting for the response."""
        await asyncio.sleep(self._shared.rng.uniform(0.0, LEAVE_AFTER_S))
        self._shared.record("ask", **ask)
        self._shared.record("left", rid=ask["rid"])
        self._close()

    async def _on_connection_ended(self, cls: TrafficClass, ask: dict[str, Any], may_repeat: bool) -> None:
        """Handle a close before the response; if the connection was reused, send the request once more."""
        shared = self._shared
        reused = self._answered > 0
        self._close()
        crossing = Crossing(ask["rid"], ask, time.monotonic())
        if not reused:
            shared.closed_on_first.append(crossing)
            return
        if not may_repeat:
            shared.record("ask", **ask)
            return
        shared.crossings.append(crossing)
        give_up = time.monotonic() + shared.longest_deadline
        while time.monotonic() < give_up:
            if await self._connect():
                await self._request(cls, ask["op"], may_repeat=False)
                return

    def _record_reply(self, rid: str, reply: Reply) -> None:
        server, index = None, None
        if reply.verdict == "served":
            parts = reply.value.decode(errors="replace").split(".")
            if parts[-1:] != [rid]:
                self._shared.wrong_values.append(f"{rid}: served with {reply.value!r}")
            else:
                server, index = int(parts[0]), int(parts[1])
        self._shared.record("got", t=reply.at, rid=rid, verdict=reply.verdict, m=server, i=index)

    def _close(self) -> None:
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.close()
        self._reader = self._writer = None
