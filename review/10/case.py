# ruff: noqa: ANN401, C901, PLR0912, PLR0913, PLR0915, PLR2004
"""A new configuration moves discovery, which is slow just then; a member drains."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import TROUBLE, Agent, Client, Member, Proxy, Record, read, run_case, settings

SLOW_S = 2.5  # from a call at the new address to the beginning of its answer
OLD_CLOSES_S = 1.5  # the old address closes its watches this long after SIGHUP
TOLD_AFTER_S = 6.0  # at the latest, whatever happens to the calls; 4 s after SIGHUP by the page of days
GRACE_S = 0.5 + 0.05
HELD_UP_S = 0.15  # a driver may be held up for so long; counted in its favour
WATCHED_S = 10.0  # after that


async def run(record: Record) -> int:
    """Play the case; return 1 if the draining member got requests after the grace."""
    members = [
        Member("s-1", "writer", record),
        Member("s-2", "reader", record),
        Member("s-3", "reader", record),
    ]
    old, new = Agent("old", record, members), Agent("new", record, members)
    proxy = Proxy(record, settings())
    served = 0
    stop = asyncio.Event()

    async def load(n: int) -> None:
        nonlocal served
        client = await Client(proxy, record, f"c{n}").connect()
        for i in range(100_000):
            if stop.is_set():
                break
            served += (await client.ask(read(f"{n:x}-{i:x}", "history-read", 600)))[0] == "served"
            await asyncio.sleep(0.05)
        client.close()

    tasks: list[asyncio.Task[None]] = []
    try:
        for part in (*members, old, new):
            await part.start()
        new.delay_s = SLOW_S if TROUBLE else 0.0
        proxy.configure(old, members)
        await proxy.start()
        await asyncio.sleep(1.0)
        tasks = [asyncio.create_task(load(n)) for n in range(4)]
        await asyncio.sleep(3.0)
        proxy.configure(new, members)
        proxy.signal(signal.SIGHUP)
        assert old.server is not None
        old.server.close()
        await asyncio.sleep(0.5)
        draining = members[2]
        draining.phase = "draining"
        new.change(draining)
        began = time.monotonic()
        record("s-3 drains: the new address has revision 2")
        new.revision = 2
        await asyncio.sleep(OLD_CLOSES_S - 0.5)
        old.reset()
        bound = began + TOLD_AFTER_S + GRACE_S + HELD_UP_S
        await asyncio.sleep(bound - time.monotonic() + WATCHED_S)
        late = [rid for at, rid in draining.received if at > bound]
        later = any(at > began + 0.1 for member in members[:2] for at, _ in member.received)
        record(f"served {served}, calls at the new address {new.asked}")
        record(f"requests to s-3 later than {TOLD_AFTER_S} s plus the grace after it drained: {len(late)}")
        if not served or not later:
            raise RuntimeError("nothing was served")
        return 1 if late else 0
    finally:
        stop.set()
        if tasks:
            with contextlib.suppress(Exception):
                await asyncio.wait(tasks, timeout=3.0)
        proxy.stop()
        for part in (*members, old, new):
            part.stop()


if __name__ == "__main__":
    sys.exit(run_case(__file__, run))
