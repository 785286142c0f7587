"""Generates seeded records for the audit; some comply with the rules, some violate each of them."""

from __future__ import annotations

import random
from typing import Any

Record = dict[str, Any]

LENGTH_S = 20.0
REQUESTS = 120
PROXIES = ("one", "two")
SERVERS = (1, 2, 3)
CLASS_NAMES = ("write", "keyed", "fresh", "session", "bounded", "any")
VERDICTS = ("served", "served", "served", "refused", "failed", "closed", "unsent")


class RecordSource:
    """Generates the records of one seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.records: list[Record] = []

    def make(self) -> list[Record]:
        """Return all records in order of time."""
        for server in SERVERS:
            self.add("member", 0.0, m=server, cores=2)
        for number in range(REQUESTS):
            self._request(f"r{number}", number)
        for _ in range(8):
            self._fleet_events()
        return sorted(self.records, key=lambda record: record["t"])

    def add(self, kind: str, at: float, **fields: Any) -> None:
        """Add one record."""
        self.records.append({"e": kind, "t": at, **fields})

    def _request(self, rid: str, number: int) -> None:
        draw = self.random.random
        at = draw() * LENGTH_S
        by = at + self.random.choice((0.2, 0.5, 1.0))
        name = self.random.choice(CLASS_NAMES)
        writes = name in ("write", "keyed")
        operation = f"o{number // 2}" if writes else rid
        proxy = self.random.choice(PROXIES)
        need = f"r{self.random.randrange(REQUESTS)}" if draw() < 0.7 else ""
        self.add(
            "ask",
            at,
            rid=rid,
            op=operation,
            d=proxy,
            cls=name,
            w=writes,
            keyed=draw() < 0.7,
            by=by,
            need=need,
        )
        server = self.random.choice(SERVERS)
        for attempt in range(self.random.choice((1, 1, 1, 2, 3))):
            server = self.random.choice(SERVERS)
            group = 0 if draw() < 0.9 else 1
            sent = at + (attempt + draw()) * 0.4
            self.add("recv", sent, m=server, g=group, d=proxy, rid=rid, w=writes, work=draw() * 0.3)
            if draw() < 0.2:
                self.add("away", sent, m=server, rid=rid)
            elif writes and draw() < 0.8:
                self.add("commit", sent + 0.01, m=server, g=group, rid=rid, i=number + 1, key=None)
        for _ in range(self.random.choice((0, 1, 1, 1, 1, 1, 1, 2))):
            verdict = self.random.choice(VERDICTS)
            index = self.random.randrange(REQUESTS + 30)
            answered = at + draw() * (by - at) * self.random.choice((1.0, 1.0, 3.0))
            self.add("got", answered, rid=rid, verdict=verdict, m=server, i=index)
        if draw() < 0.03:
            self.add("left", at + 0.1, rid=rid)

    def _fleet_events(self) -> None:
        draw = self.random.random
        proxy = self.random.choice(PROXIES)
        server = self.random.choice(SERVERS)
        at = draw() * LENGTH_S
        state = self.random.choice(("up", "draining", "gone"))
        self.add("told", at, d=proxy, m=server, state=state)
        self.add("role", at + 0.3, g=0, m=self.random.choice((1, 2, 3, None)), term=1)
        self.add("role_told", at + 0.5, m=server, d=proxy, primary=draw() < 0.5)
        self.add("start", at, m=server, cores=2)
        if draw() < 0.2:
            self.add("fell", at + 1.0, m=server)
        if draw() < 0.2:
            self.add("extra", at)
        if draw() < 0.15:
            self.add("killed", at, d=proxy)
        if draw() < 0.4:
            self.add("frozen", at, d=proxy)
            self.add("woken", at + draw(), d=proxy)
