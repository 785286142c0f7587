# ruff: noqa: ANN401, C901, PLR0912, PLR0913, PLR0915, PLR2004
"""Members hang through a planned restart while clients send many commands at once."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (
    TROUBLE,
    Agent,
    Client,
    Member,
    Proxy,
    Record,
    query,
    run_case,
    settings,
    write,
)

CLIENTS = 16
AT_ONCE = 6  # commands that a client sends at once
ROUNDS = 9  # times that it does, from SIGTERM on
ROUND_S = 0.25
COMMANDS = AT_ONCE * ROUNDS
VALUE_BYTES = 4_000  # of each upload
LONGEST_DEADLINE_S = 2.0
KILL_S = LONGEST_DEADLINE_S + 0.7  # the earliest SIGKILL after SIGTERM
AFTER_TERM_S = 0.75  # a command counts if it was sent this long after SIGTERM, and
BEFORE_END_S = 0.25  # this long before the connection ended, so that nothing crosses


async def run(record: Record) -> int:
    """Play the case; return 1 if a command was lost."""
    members = [
        Member("s-1", "writer", record),
        Member("s-2", "reader", record),
        Member("s-3", "reader", record),
    ]
    agent = Agent("agent", record, members)
    proxy = Proxy(record, settings())
    try:
        for part in (*members, agent):
            await part.start()
        proxy.configure(agent, members)
        await proxy.start()
        await asyncio.sleep(1.0)
        clients = [await Client(proxy, record, f"c{n}").connect() for n in range(CLIENTS)]
        warm = await clients[0].ask(write("warm", "upload", 2000, "k-warm"))
        if warm[0] != "served":
            raise RuntimeError(f"the first request was not served: {warm}")
        sent: list[list[float]] = [[] for _ in clients]
        answered = [0] * CLIENTS
        ended = [float("inf")] * CLIENTS

        async def collect(n: int) -> None:
            while answered[n] < COMMANDS:
                verdict, value = await clients[n].answer()
                if verdict == "closed":
                    ended[n] = time.monotonic()
                    record(f"client c{n}: its connection ended after {answered[n]} answers")
                    return
                record(f"client c{n} got id={n:x}-{answered[n]:x} {verdict} {value}")
                answered[n] += 1

        async def send(n: int) -> None:
            for _ in range(ROUNDS):
                if ended[n] < float("inf"):
                    return
                first = len(sent[n])
                ids = [f"{n:x}-{i:x}" for i in range(first, first + AT_ONCE)]
                await clients[n].send(
                    b"".join(query(write(i, "upload", 2000, f"k-{i}", VALUE_BYTES)) for i in ids)
                )
                sent[n] += [time.monotonic()] * AT_ONCE
                record(f"client c{n} sends {AT_ONCE} commands at once: id={ids[0]} to {ids[-1]}")
                await asyncio.sleep(ROUND_S)

        if TROUBLE:
            for member in members:
                member.hung.clear()
            record("all members hang")
        proxy.signal(signal.SIGTERM)
        terminated = time.monotonic()
        tasks = [asyncio.create_task(job(n)) for n in range(CLIENTS) for job in (send, collect)]
        assert proxy.process is not None
        while time.monotonic() < terminated + KILL_S and proxy.process.poll() is None:
            await asyncio.sleep(0.005)
        code = proxy.process.poll()
        record(f"{time.monotonic() - terminated:.3f} s after SIGTERM the proxy has exit code {code}")
        if code is None:
            proxy.signal(signal.SIGKILL)
        await asyncio.wait(tasks, timeout=5.0)
        lost = 0
        for n in range(CLIENTS):
            for i, at in enumerate(sent[n]):
                if i >= answered[n] and terminated + AFTER_TERM_S < at < ended[n] - BEFORE_END_S:
                    lost += 1
                    record(f"lost: id={n:x}-{i:x}, sent {ended[n] - at:.3f} s before its connection ended")
        record(f"sent {sum(map(len, sent))}, answered {sum(answered)}, lost {lost}")
        return 1 if lost else 0
    finally:
        proxy.stop()
        for part in (*members, agent):
            part.stop()


if __name__ == "__main__":
    sys.exit(run_case(__file__, run))
