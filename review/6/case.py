# ruff: noqa: ANN401, C901, PLR0912, PLR0913, PLR0915, PLR2004
"""Members send some spoilt answers that say a large length and never end; the driver's memory is limited."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (
    LENGTH,
    TROUBLE,
    Agent,
    Client,
    Member,
    Proxy,
    Record,
    read,
    row,
    run_case,
    settings,
    write,
)

MEMORY_MB = 80
SOCKETS = 544
RATE = 260.0  # requests a second
LENGTH_S = 40.0
SPOILT_SHARE = 0.02  # of the answers, at every member alike
SAID_BYTES = 1_000_000  # length that a spoilt value says
SENT_BYTES = 990_000  # of it at once; then one byte each 0.1 s
CLASSES = (
    ("map-read", 0.44, 800),
    ("own-read", 0.22, 500),
    ("history-read", 0.22, 600),
    ("upload", 0.12, 2000),
)


def memory_mb(pid: int) -> tuple[float, float]:
    """Return the anonymous and all resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    found = [re.search(rf"{name}:\s+(\d+) kB", status) for name in ("RssAnon", "VmRSS")]
    return tuple(int(f[1]) / 1024.0 if f else 0.0 for f in found)  # type: ignore[return-value]


class SpoilingMember(Member):
    """A member some of whose answers never end."""

    def __init__(self, name: str, role: str, record: Record, rng: random.Random) -> None:
        super().__init__(name, role, record)
        self.rng = rng
        self.spoilt = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; after a spoilt answer it stays open and cannot be used any more."""

        async def spoil(_member: Member, statement: str, fields: dict[str, str]) -> bytes:
            answer = await self.work(statement, fields)
            if not TROUBLE or self.rng.random() >= SPOILT_SHARE:
                return answer
            self.spoilt += 1
            self.record(f"member {self.name} spoils the answer of id={fields['id']}")
            description = row(b"")[: row(b"").index(b"D\0\0\0")]
            writer.write(
                description + b"D" + LENGTH.pack(SAID_BYTES + 10) + b"\0\1" + LENGTH.pack(SAID_BYTES)
            )
            writer.write(bytes(SENT_BYTES))
            while not reader.at_eof() and not writer.is_closing():
                await asyncio.sleep(0.1)
                writer.write(b"\0")
            raise ConnectionResetError

        await self.serve_with(reader, writer, spoil)


async def run(record: Record) -> int:
    """Play the case; return 1 if the driver was killed for memory."""
    rng = random.Random(8)
    members = [SpoilingMember(f"s-{n}", "writer" if n == 1 else "reader", record, rng) for n in range(1, 4)]
    agent = Agent("agent", record, list(members))
    proxy = Proxy(record, settings(), {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
    free: list[Client] = []
    verdicts: dict[str, int] = {}
    tasks: set[asyncio.Task[None]] = set()

    async def one(number: int) -> None:
        cls, _, d = rng.choices(CLASSES, [c[1] for c in CLASSES])[0]
        client = free.pop() if free else await Client(proxy, record, f"c{number}").connect()
        rid = f"r{number:x}"
        statement = write(rid, cls, d, f"k{number:x}") if cls == "upload" else read(rid, cls, d)
        verdict, _ = await client.ask(statement)
        verdicts[verdict] = verdicts.get(verdict, 0) + 1
        if verdict != "closed":
            free.append(client)

    try:
        for part in (*members, agent):
            await part.start()
        proxy.configure(agent, list(members))
        await proxy.start()
        await asyncio.sleep(1.0)
        assert proxy.process is not None
        most = memory_mb(proxy.process.pid)
        record(f"memory at the start: anonymous {most[0]:.1f} MB, resident {most[1]:.1f} MB")
        began = time.monotonic()
        number, killed = 0, False
        while time.monotonic() < began + LENGTH_S and not killed:
            while number < (time.monotonic() - began) * RATE:
                number += 1
                task = asyncio.create_task(one(number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            if proxy.process.poll() is not None:
                record(f"the proxy ended by itself: {proxy.process.poll()}")
                return 1
            most = max(most, memory_mb(proxy.process.pid))
            if most[0] > MEMORY_MB:
                killed = True
                descriptors = len(list(Path(f"/proc/{proxy.process.pid}/fd").iterdir()))
                record(f"killed for memory after {time.monotonic() - began:.2f} s, {descriptors} descriptors")
                proxy.process.kill()
            await asyncio.sleep(0.01)
        if tasks:
            await asyncio.wait(tasks, timeout=3.0)
        record(f"most memory: anonymous {most[0]:.1f} MB, resident {most[1]:.1f} MB, limit {MEMORY_MB} MB")
        record(f"requests {number}, answers {verdicts}, spoilt {sum(m.spoilt for m in members)}")
        if not verdicts.get("served"):
            raise RuntimeError("nothing was served")
        return 1 if killed else 0
    finally:
        for task in tasks:
            task.cancel()
        proxy.stop()
        for part in (*members, agent):
            part.stop()
        with contextlib.suppress(Exception):
            for client in free:
                client.close()


if __name__ == "__main__":
    sys.exit(run_case(__file__, run))
