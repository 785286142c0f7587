"""A connection storm beside the regular clients: idle, bursting, disconnecting and stalled connections."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from sedgepitch.protocols.postgresql import codec
from sedgepitch.scenarios.soak.clients import statement
from sedgepitch.scenarios.soak.traffic import CLASSES

IDLE_CLIENTS = 300  # more than the file descriptors that the proxy may use
OTHER_CLIENTS = 20  # of each other kind
PIPELINED = 25  # statements that one client sends without waiting for responses
DEADLINE_S = 0.5
CONNECT_SPREAD_S = 0.5  # within which all clients connect
FIRST_ID = 1 << 40  # first request id; the audit ignores these requests


class Crowd:
    """Opens all its connections within CONNECT_SPREAD_S and closes them after its duration."""

    def __init__(self, port: Callable[[], int], rng: random.Random) -> None:
        """Prepare a crowd; `port` returns the proxy's current port."""
        self._port = port
        self._rng = rng
        self._next_id = FIRST_ID

    async def play(self, duration: float) -> None:
        """Run the crowd for `duration` seconds."""
        clients = [self._idle(duration) for _ in range(IDLE_CLIENTS)]
        for behaviour in (self._burst, self._disconnect_at_once, self._send_half_a_statement):
            clients += [behaviour(duration) for _ in range(OTHER_CLIENTS)]
        self._rng.shuffle(clients)
        await asyncio.gather(*clients)

    async def _open(self) -> asyncio.StreamWriter | None:
        await asyncio.sleep(self._rng.uniform(0.0, CONNECT_SPREAD_S))
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self._port())
        except OSError:
            return None
        writer.write(codec.startup("web", "orders"))
        return writer

    def _statement(self) -> bytes:
        self._next_id += 1
        return codec.query(statement(CLASSES[0], f"{self._next_id:x}", DEADLINE_S, ""))

    async def _idle(self, duration: float) -> None:
        await self._finish(await self._open(), duration)

    async def _burst(self, duration: float) -> None:
        writer = await self._open()
        if writer is not None:
            writer.write(b"".join(self._statement() for _ in range(PIPELINED)))
        await self._finish(writer, duration)

    async def _disconnect_at_once(self, duration: float) -> None:  # noqa: ARG002  # same signature as the other kinds
        writer = await self._open()
        if writer is not None:
            writer.write(self._statement())
        await self._finish(writer, 0.0)

    async def _send_half_a_statement(self, duration: float) -> None:
        writer = await self._open()
        if writer is not None:
            text = self._statement()
            writer.write(text[: len(text) // 2])
        await self._finish(writer, duration)

    async def _finish(self, writer: asyncio.StreamWriter | None, duration: float) -> None:
        if writer is None:
            return
        await asyncio.sleep(duration)
        with contextlib.suppress(OSError):
            writer.close()
