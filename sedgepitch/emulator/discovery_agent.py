"""An emulated discovery agent on an asyncio loop: complete endpoint lists, watches, and outages."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from enum import StrEnum
from typing import Any

HEARTBEAT_INTERVAL_S = 2.0
SLOW_BYTE_INTERVAL_S = 0.002
LATE_ANSWER_S = 2.5
NO_CHUNK = b""
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n"
WATCH_HEAD = RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

ListVersion = dict[str, Any]


class AgentMode(StrEnum):
    """How the agent behaves."""

    NORMAL = "normal"
    SILENT = "silent"  # accepts connections and sends nothing
    REFUSED = "refused"  # does not listen
    SLOW = "slow"  # sends one byte every SLOW_BYTE_INTERVAL_S
    LATE = "late"  # begins an answer LATE_ANSWER_S after the call, and serves it as usual from then on


SERVING_MODES = (AgentMode.NORMAL, AgentMode.LATE)  # those in which watches get changes and heartbeats


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class DiscoveryAgent:
    """One agent. `complete_list` returns the current list in the discovery format."""

    def __init__(self, complete_list: Callable[[], ListVersion]) -> None:
        """Create the agent; `start` opens its port."""
        self.port = 0
        self.mode = AgentMode.NORMAL
        self._complete_list = complete_list
        self._server: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()
        self._heartbeats: asyncio.Task[None] | None = None

    @property
    def watch_count(self) -> int:
        """Return how many watches are open."""
        return len(self._watches)

    async def start(self) -> None:
        """Listen; a restarted agent reuses its port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        if self._heartbeats is None:
            self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def set_mode(self, mode: AgentMode) -> None:
        """Change the mode; a return to a serving one sends the complete list to all open watches."""
        previous, self.mode = self.mode, mode
        if mode is AgentMode.REFUSED:
            self.close_port()
        elif previous is AgentMode.REFUSED:
            await self.start()
        if mode in SERVING_MODES and previous not in SERVING_MODES:
            self.send(self._complete_list())

    def close_port(self) -> None:
        """Stop listening and reset the open watches."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._watches):
            writer.transport.abort()

    def stop(self) -> None:
        """Stop the agent permanently."""
        self.close_port()
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    def send(self, version: ListVersion) -> None:
        """Send a list version to all watches."""
        self._send_line(json.dumps(version).encode() + b"\n")

    def _send_line(self, line: bytes) -> None:
        if self.mode not in SERVING_MODES:
            return
        for writer in list(self._watches):
            writer.write(_chunk(line))

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self._send_line(b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            target = (await reader.readline()).decode(errors="replace")
            while (await reader.readline()).strip():
                pass
            if self.mode is AgentMode.LATE:
                await asyncio.sleep(LATE_ANSWER_S)
            body = json.dumps(self._complete_list()).encode() + b"\n"
            if "stream=1" in target:
                await self._watch(reader, writer, body)
            else:
                head = RESPONSE_HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
                await self._write(writer, head + body)
        writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body: bytes) -> None:
        await self._write(writer, WATCH_HEAD + _chunk(body))
        self._watches.add(writer)
        try:
            await reader.read()
        finally:
            self._watches.discard(writer)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if self.mode is AgentMode.SILENT:
            return
        if self.mode is not AgentMode.SLOW:
            writer.write(data)
            return
        for position in range(len(data)):
            writer.write(data[position : position + 1])
            await writer.drain()
            await asyncio.sleep(SLOW_BYTE_INTERVAL_S)
