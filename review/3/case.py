"""Case 3: planned restarts, one after another, of a driver that is held up for 0.08 s at the signal."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import SETTINGS, Agent, Client, Driver, Member, Record, play

HOLD_S = 0.08  # the pages name holds of up to 0.15 s
LONGEST_DEADLINE_S = 2.0  # of the settings' classes
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # after SIGTERM, no sooner
COUNTED_AFTER_S = 0.7  # a request that arrives later than this after SIGTERM counts
RESTARTS = 20  # at most; the case ends at the first that breaks the rule
CLIENTS = 30
WORK_S = 0.04  # of a read at its member, which keeps the load at some 700 requests a second
TIME_LEFT_MS = 600
LOAD_S = (0.5, 0.6)  # of load before SIGTERM; its end is drawn, as the platform's signal comes at any time
CLOSE_SEEN_WITHIN_S = 0.1


@dataclass
class Open:
    """One request without an answer; times are seconds since the start of the case."""

    id: str
    written: float  # when its last byte was written to the connection
    ended: float = 0.0  # when the connection ended in place of an answer, 0 if it has not


@dataclass
class Clients:
    """The clients of one driver: each sends its next request as soon as it has the answer to the last."""

    restart: int
    port: int
    record: Record
    open: dict[int, Open] = field(default_factory=dict)  # by client

    async def run(self, number: int) -> None:
        """Send one request after the other until the connection ends; no other connection is opened."""
        client = Client(self.port)
        await client.open()
        for count in itertools.count():
            request = f"{self.restart:02x}{number:02x}{count:012x}"
            comment = f"id={request},c=history-read,d={TIME_LEFT_MS},cluster=1"
            try:
                await client.write(f"SELECT payload FROM entries WHERE ref = '7f3a9c21' /* {comment} */")
            except OSError:
                return
            self.open[number] = Open(request, self.record.now())
            answer = await client.answer()
            self.record.write("client.answered", id=request, answer=answer.replace(" ", ":"))
            if answer == "closed":
                self.open[number].ended = self.record.now()
                return
            del self.open[number]

    def found_by_kill(self, counted_from: float, killed_at: float) -> list[str]:
        """Return the requests that were written before the kill, and that it left without an answer."""
        return [
            request.id
            for request in self.open.values()
            if counted_from < request.written < killed_at <= request.ended
        ]


async def restart(number: int, record: Record, agent: Agent, folder: Path, hold_s: float) -> list[str]:
    """Start a driver, put load on it, and end it as a planned restart does; return the lost requests."""
    driver = Driver(folder, agent, SETTINGS)
    tasks: list[asyncio.Task[None]] = []
    try:
        await driver.start()
        clients = Clients(number, driver.port, record)
        tasks += [asyncio.create_task(clients.run(n)) for n in range(CLIENTS)]
        await asyncio.sleep(random.uniform(*LOAD_S))
        if hold_s:
            driver.signal(signal.SIGSTOP)
        told_at = record.now()
        driver.signal(signal.SIGTERM)
        record.write("platform.sigterm", restart=number, hold_s=hold_s)
        if hold_s:
            await asyncio.sleep(hold_s)
            driver.signal(signal.SIGCONT)
        await asyncio.sleep(told_at + KILL_AFTER_S - record.now())
        code = driver.exit_code()
        killed_at = record.now()
        driver.signal(signal.SIGKILL)
        record.write("platform.sigkill", after_s=round(killed_at - told_at, 4), exit_code=code)
        await asyncio.sleep(CLOSE_SEEN_WITHIN_S)
        lost = [] if code is not None else clients.found_by_kill(told_at + COUNTED_AFTER_S, killed_at)
        for request in lost:
            record.write("request.lost", id=request)
        return lost
    finally:
        for task in tasks:
            task.cancel()
        driver.end()


async def scenario(record: Record, trouble: bool, folder: Path) -> list[str]:
    """Play the case; return the broken rules."""
    members = [Member(f"s-{n}", "reader" if n > 1 else "writer", record, WORK_S) for n in (1, 2, 3)]
    for member in members:
        await member.start()
    agent = Agent(members, record)
    await agent.start()
    for number in range(RESTARTS):
        lost = await restart(number, record, agent, folder, HOLD_S if trouble else 0.0)
        if lost:
            what = f"{len(lost)} requests were found unanswered by SIGKILL, the first {lost[0]}"
            return [f"restart {number}: {what}"]
    return []


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, scenario)
