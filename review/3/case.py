"""Case 3: members begin to drain while discovery takes 2.5 s to answer each new request."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import SETTINGS, Agent, Client, Driver, Member, Record, play

SLOW_ANSWER_S = 2.5  # of discovery, to each new request
TOLD_AFTER_S = 6.0  # told at the latest this long after discovery had a change and could be reached
GRACE_S = 0.5  # drainGraceS of the settings
SLACK_S = 0.05  # every time limit is longer by 50 ms
DRAIN_AT_S = 4.0
END_AT_S = 20.0
CLIENTS = 4
PAUSE_S = 0.02
WORK_S = 0.02
TIME_LEFT_MS = 600


async def read_on(number: int, port: int, record: Record) -> None:
    """Send reads that any member may answer, one after the other."""
    client = Client(port)
    await client.open()
    for count in itertools.count():
        request = f"{number:02x}{count:014x}"
        comment = f"id={request},c=history-read,d={TIME_LEFT_MS},cluster=1"
        record.write("client.sent", id=request)
        answer = await client.ask(f"SELECT payload FROM entries WHERE ref = '7f3a9c21' /* {comment} */")
        record.write("client.answered", id=request, answer=answer.replace(" ", ":"))
        await asyncio.sleep(PAUSE_S)


async def scenario(record: Record, trouble: bool, folder: Path) -> list[str]:
    """Play the case; return the broken rules."""
    members = [Member("s-1", "writer", record, WORK_S)]
    members += [Member(f"s-{number}", "reader", record, WORK_S) for number in (2, 3, 4)]
    for member in members:
        await member.start()
    agent = Agent(members, record)
    agent.answer_after_s = SLOW_ANSWER_S if trouble else 0.0
    await agent.start()
    driver = Driver(folder, agent, SETTINGS)
    draining = members[1:3]
    clients: list[asyncio.Task[None]] = []
    try:
        await driver.start()
        clients += [asyncio.create_task(read_on(n, driver.port, record)) for n in range(CLIENTS)]
        await asyncio.sleep(DRAIN_AT_S - record.now())
        for member in draining:
            agent.publish(member, "draining")
        drained_at = record.now()
        await asyncio.sleep(END_AT_S - record.now())
    finally:
        for client in clients:
            client.cancel()
        driver.end()
    limit = drained_at + TOLD_AFTER_S + GRACE_S + SLACK_S
    broken = []
    for member in draining:
        late = [at for at, _ in member.arrivals if at > limit]
        if late:
            what = f"{member.name} drains since {drained_at:.2f} s; {len(late)} requests after {limit:.2f} s"
            broken.append(f"{what}, the last at {late[-1]:.2f} s")
    return broken


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, scenario)
