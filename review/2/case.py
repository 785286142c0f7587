"""Case 2: many commands at once on one connection, with values that the protocol page allows."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import SETTINGS, Agent, Client, Driver, Member, Record, play

VALUE_BYTES = (60_000, 50_000, 40_000)  # of one client's uploads; the page allows 65,536
COMMANDS = 14  # of one client
TIME_LEFT_S = 0.8  # 40 % of the class's give-up time, the least that the site's clients wait
LATE_S = 0.5  # an answer up to half a second after its time only earns nothing
SLACK_S = 0.05  # every time limit is longer by 50 ms
WORK_S = 0.024  # of an upload at its member
END_AFTER_S = 12.0


@dataclass
class Upload:
    """One request of a client; times are seconds since the start of the case."""

    id: str
    written: float = 0.0  # when its last byte was written to the connection
    ahead: float = 0.0  # when the answer before it on the connection was whole
    answered: float = 0.0
    answer: str = ""

    def broken(self) -> str:
        """Return how the rule was broken, "" if it was kept.

        The time counts from the last byte, and the wait for the answers ahead does not count.
        """
        limit = max(self.written, self.ahead) + TIME_LEFT_S + LATE_S + SLACK_S
        if self.answer == "closed":
            return f"{self.id}: its connection was ended without an answer"
        if self.answered > limit:
            late = self.answered - limit + LATE_S + SLACK_S
            return f"{self.id}: its answer ({self.answer}) came {late:.3f} s after its time was up"
        return ""


class PipeliningClient:
    """A client that writes all its uploads at once, or each after the answer to the one before."""

    def __init__(self, number: int, port: int, record: Record) -> None:
        self.client = Client(port)
        self.record = record
        self.payload = "ab" * VALUE_BYTES[number]
        self.uploads = [Upload(f"{number:02x}{n:014x}") for n in range(COMMANDS)]

    def _statement(self, upload: Upload) -> str:
        comment = f"id={upload.id},c=upload,d={TIME_LEFT_S * 1000:.0f},k=5c{upload.id},cluster=1"
        return (
            f"INSERT INTO entries (ref, payload) VALUES ('7f3a9c21e0b4d655', '\\x{self.payload}')"
            f" RETURNING payload /* {comment} */"
        )

    async def _write(self, upload: Upload) -> None:
        await self.client.write(self._statement(upload))
        upload.written = self.record.now()
        self.record.write("client.sent", id=upload.id)

    async def _write_all(self) -> None:
        for upload in self.uploads:
            await self._write(upload)

    async def _read(self, upload: Upload, ahead: float) -> None:
        upload.ahead = ahead
        upload.answer = await self.client.answer()
        upload.answered = self.record.now()
        self.record.write("client.answered", id=upload.id, answer=upload.answer.replace(" ", ":"))

    async def run(self, at_once: bool) -> None:
        """Send all uploads and read their answers, until the connection ends."""
        await self.client.open()
        writing = asyncio.create_task(self._write_all()) if at_once else None
        ahead = 0.0
        for upload in self.uploads:
            if writing is None:
                await self._write(upload)
            await self._read(upload, ahead)
            ahead = upload.answered
            if not upload.answer.startswith("served"):
                break  # judged here alone: what lies behind it on an ended connection may be sent again
        if writing is not None:
            writing.cancel()
        self.client.close()


async def scenario(record: Record, trouble: bool, folder: Path) -> list[str]:
    """Play the case; return the broken rules."""
    members = [Member("s-1", "writer", record, WORK_S), Member("s-2", "reader", record, WORK_S)]
    for member in members:
        await member.start()
    agent = Agent(members, record)
    await agent.start()
    driver = Driver(folder, agent, SETTINGS)
    try:
        await driver.start()
        clients = [PipeliningClient(number, driver.port, record) for number in range(len(VALUE_BYTES))]
        await asyncio.wait_for(asyncio.gather(*(client.run(trouble) for client in clients)), END_AFTER_S)
    finally:
        driver.end()
    answered = [upload for client in clients for upload in client.uploads if upload.answer]
    return [problem for upload in answered if (problem := upload.broken())]


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, scenario)
