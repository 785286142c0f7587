"""A crowd of clients beside the soak's own: idle ones, bursts, and clients that leave or stop half-way."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from sedgepitch.protocols.postgresql import codec
from sedgepitch.scenarios.soak.clients import statement
from sedgepitch.scenarios.soak.traffic import CLASSES

IDLE_CLIENTS = 300  # more than the descriptors that the proxy may hold
OTHER_CLIENTS = 20  # of each kind
PIPELINED = 25  # statements that one client sends at once
DEADLINE_S = 0.5
FIRST_ID = 1 << 40  # ids of a crowd's requests, which the audit does not know


class Crowd:
    """Opens its connections at once and closes them after its duration."""

    def __init__(self, port: Callable[[], int], rng: random.Random) -> None:
        """Prepare a crowd; `port` gives where the proxy listens now."""
        self._port = port
        self._rng = rng
        self._next_id = FIRST_ID

    async def play(self, duration: float) -> None:
        """Play the crowd for so many seconds."""
        clients = [self._idle(duration) for _ in range(IDLE_CLIENTS)]
        for behave in (self._burst, self._leave_at_once, self._stop_half_way):
            clients += [behave(duration) for _ in range(OTHER_CLIENTS)]
        self._rng.shuffle(clients)
        await asyncio.gather(*clients)

    async def _open(self) -> asyncio.StreamWriter | None:
        await asyncio.sleep(self._rng.uniform(0.0, 0.5))
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

    async def _leave_at_once(self, duration: float) -> None:  # noqa: ARG002  # as the other kinds
        writer = await self._open()
        if writer is not None:
            writer.write(self._statement())
        await self._finish(writer, 0.0)

    async def _stop_half_way(self, duration: float) -> None:
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
