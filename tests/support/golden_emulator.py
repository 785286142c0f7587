"""Emulated servers under seeded commands and faults, without sockets, on a fake clock.

The digest covers all bytes that the servers and the control socket write, and the record for the audit.
"""

from __future__ import annotations

import hashlib
import json
import random
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

import bson
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from sedgepitch.core.clock import FakeClock
from sedgepitch.emulator import fleet as fleet_module
from sedgepitch.emulator import server as server_module
from sedgepitch.emulator.fleet import EmulatedFleet
from sedgepitch.protocols.mongodb import codec
from tests.support.golden_protocols import Wire

START_S = 1000.0
UNIX_S = 1_700_000_000.0  # Unix time at the clock's zero
STEPS = 250
OVERLOAD_FACTORS = (2.5, 0.2)  # with 0.2, servers that are warming up crash from overload
FAULTS = ("hang", "slow", "lag", "crash", "drain", "promote", "cut", "claim", "refuse", "table", "nosuch")
REPLY_FAULTS = ("lose_reply", "cut_reply", "reset", "wrong_reply", "twice")
TIMING = {
    "control": ("127.0.0.1", 27200),
    "cores": 2,
    "waiting_room": 3,
    "connections": 6,
    "read_work": SimpleNamespace(least=0.002, most=0.02),
    "write_work": SimpleNamespace(least=0.004, most=0.03),
    "replication_delay": 0.006,
    "apply_work": 0.0005,
    "election_after": 0.2,
    "election_takes": 0.1,
    "handover": 0.05,
    "list_delay": 0.05,
    "key_window": 0.4,
    "start_capacity": 0.2,
    "warm_within": 1.0,
    "overload_time": 0.2,
}


class FakePort:
    """A listening port without a socket; holds the factory of its connections."""

    def __init__(self, port: int, factory: Any) -> None:
        self.port, self.factory, self.host = port or 27201, factory, "127.0.0.1"

    def getHost(self) -> FakePort:  # noqa: N802 - name required by Twisted
        return self

    def stopListening(self) -> None:  # noqa: N802 - name required by Twisted
        pass


class EmulatorSimulation:
    """Runs one seed."""

    def __init__(self, seed: int, record: Path) -> None:
        self.random, self.seed, self.record = random.Random(seed), seed, record
        self.task = Clock()
        self.task.advance(START_S)
        self.clock = FakeClock(self.task)
        self.connections: list[tuple[Any, Wire, bool]] = []
        self.number = 0
        self.errors: list[str] = []

    def run(self) -> str:
        """Run the seed and return the digest."""
        with (
            mock.patch.object(server_module, "listen", self._listen),
            mock.patch.object(fleet_module, "listen", self._listen),
            mock.patch("time.monotonic", self.task.seconds),
            mock.patch("time.time", lambda: UNIX_S + self.task.seconds()),
        ):
            self._start()
            for _ in range(STEPS):
                self._step()
            for _ in range(40):
                self._advance(0.05)
            self.fleet.close()
        return self._digest()

    def _listen(self, reactor: Any, port: int, factory: Any, host: str, backlog: int) -> FakePort:
        return FakePort(port, factory)

    def _start(self) -> None:
        factor = OVERLOAD_FACTORS[self.seed % len(OVERLOAD_FACTORS)]
        timing = SimpleNamespace(seed=self.seed, record=str(self.record), overload_factor=factor, **TIMING)
        specs = [
            SimpleNamespace(
                id=n, group=int(n > 3), zone="north", primary=n in (1, 4), address=("127.0.0.1", 27200 + n)
            )
            for n in (1, 2, 3, 4, 5)
        ]
        self.fleet = EmulatedFleet(self.task, self.task.seconds, timing, specs)
        self.fleet.start()
        self._connect(self.fleet.port, is_control=True)
        self._deliver(0, b'{"op": "watch", "driver": "one"}\n')

    def _servers(self) -> list[Any]:
        return list(self.fleet.servers.values())

    def _connect(self, port: FakePort, is_control: bool = False) -> None:
        protocol, wire = port.factory.buildProtocol(None), Wire(self.clock)
        self.connections.append((protocol, wire, is_control))
        protocol.makeConnection(wire)

    def _deliver(self, index: int, data: bytes) -> None:
        protocol, wire, _ = self.connections[index]
        if wire.closing is None:
            wire.arrived = self.clock.now()
            protocol.dataReceived(data)

    def _step(self) -> None:
        draw = self.random.random
        if draw() < 0.15:
            server = self.random.choice(self._servers())
            if server.port is not None:
                self._connect(server.port)
                self._deliver(len(self.connections) - 1, self._frame(self._hello()))
        for index, (_, _, is_control) in enumerate(self.connections):
            if not is_control and draw() < 0.2:
                self._deliver(index, self._frame(self._command()))
        if draw() < 0.01 and len(self.connections) > 1:
            self._deliver(self.random.randrange(1, len(self.connections)), b"\x10\0\0\0" + bytes(12))
        if draw() < 0.12:
            self._deliver(0, json.dumps(self._fault()).encode() + b"\n")
        if draw() < 0.02:
            self._deliver(0, self.random.choice((b'{"op": "status"}\n', b"junk\n", b'{"op": "no"}\n')))
        self._advance(self.random.choice((0.0, 0.002, 0.01, 0.03)))

    def _advance(self, seconds: float) -> None:
        self.task.advance(seconds)
        for protocol, wire, _ in self.connections:
            if wire.closing is not None and not wire.over:
                wire.over = True
                protocol.connectionLost(Failure(ConnectionDone()))

    def _frame(self, command: dict[str, Any]) -> bytes:
        self.number += 1
        return codec.build(bson.encode(command), self.number, 0)

    def _hello(self) -> dict[str, Any]:
        name = self.random.choice(("one", "two"))
        return {"hello": 1, "client": {"application": {"name": name}}, "$db": "admin"}

    def _fault(self) -> dict[str, Any]:
        fault: dict[str, Any] = {"op": "fault", "group": self.random.choice((0, 0, 1))}
        fault["member"] = self.random.choice(("primary", "replica", 1, 2, 3, 9))
        fault["for"] = self.random.choice((0.05, 0.2, 0.4))
        if self.random.random() < 0.5:
            fault["do"] = self.random.choice(FAULTS)
            fault["driver"] = self.random.choice(("*", "one"))
            return fault
        fault["do"] = self.random.choice(REPLY_FAULTS)
        fault["when"] = self.random.choice(("write", "read"))
        fault["count"] = self.random.choice((1, 2))
        if self.random.random() < 0.3:
            fault["then"] = {"do": "crash", "for": 0.2}
        return fault

    def _command(self) -> dict[str, Any]:
        rid = {"comment": {"rid": f"r{self.number}", "class": "x"}, "$db": "sky"}
        preference = {"$readPreference": {"mode": "nearest"}} if self.random.random() < 0.7 else {}
        cursor = bson.Int64(self.random.randint(1001, 1012))
        choice = self.random.randrange(14)
        if choice < 4:
            return {**self._write(), **rid}
        if choice < 6:
            return {"find": "x", "filter": {"v": {"$gte": 1}}, "batchSize": 2, **preference, **rid}
        commands: tuple[dict[str, Any], ...] = (
            {"find": "x", "sort": {"v": -1}, "limit": 3, "projection": {"v": 1}, "singleBatch": True},
            {"count": "x", "query": {}},
            {"distinct": "x", "key": "v"},
            {"listDatabases": 1},
            {"listCollections": 1},
            {"aggregate": "x", "pipeline": [{"$match": {}}, {"$sort": {"v": 1}}], "cursor": {"batchSize": 3}},
            {"aggregate": "x", "pipeline": [{"$nosuch": 1}], "cursor": {}},
            {"aggregate": "x", "pipeline": [{"$group": {"_id": "$v", "n": {"$sum": 1}}}], "cursor": {}},
            {"aggregate": "x", "cursor": {}},
            {"find": "x", "filter": {"$or": [{"v": 1}, {"v": {"$exists": False}}]}, "skip": 1},
        )
        others: tuple[dict[str, Any], ...] = (
            {"getMore": cursor, "collection": "x", "batchSize": 2},
            {"killCursors": "x", "cursors": [cursor]},
            {"nosuch": 1},
            {"find": "x", "filter": {"$bad": 1}},
            self._hello(),
        )
        if choice < 11:
            return {**self.random.choice(commands), **preference, **rid}
        return {**self.random.choice(others), **rid}

    def _write(self) -> dict[str, Any]:
        number = self.random.randint(1, 30)
        keyed: dict[str, Any] = {}
        if self.random.random() < 0.6:
            session = bson.Binary(bytes(16), 4)
            keyed = {"lsid": {"id": session}, "txnNumber": bson.Int64(self.number // 3)}
        writes: tuple[dict[str, Any], ...] = (
            {"insert": "x", "documents": [{"_id": number, "v": number % 7}]},
            {"update": "x", "updates": [{"q": {"_id": number}, "u": {"$inc": {"v": 1}}, "upsert": True}]},
            {"delete": "x", "deletes": [{"q": {"v": number % 7}, "limit": 1}]},
            {"findAndModify": "x", "query": {"_id": number}, "update": {"$set": {"w": 1}}, "new": True},
            {"aggregate": "x", "pipeline": [{"$match": {}}, {"$out": "y"}], "cursor": {}},
        )
        return {**self.random.choice(writes), **keyed}

    def _digest(self) -> str:
        digest = hashlib.sha256()
        for _, wire, _ in self.connections:
            digest.update(b"connection\n")
            for entry in wire.journal:
                digest.update(entry + b"\n")
        digest.update(self.record.read_bytes())
        return digest.hexdigest()
