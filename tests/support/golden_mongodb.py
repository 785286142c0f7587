"""The whole MongoDB stack under seeded traffic: client side, engine, router and upstream side."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import bson
from twisted.internet.error import ConnectionLost

from sedgepitch.cli.group_lookup import group_finder
from sedgepitch.config.load import parse
from sedgepitch.core.connection_pool import PoolLimits
from sedgepitch.core.engine import Engine
from sedgepitch.decisions.cursors import CursorTable
from sedgepitch.protocols.mongodb import codec
from sedgepitch.protocols.mongodb.client import ClientConnection
from sedgepitch.protocols.mongodb.client_context import ClientContext
from sedgepitch.protocols.mongodb.upstream import MongoUpstream
from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router
from tests.support.golden_protocols import ProtocolSimulation, Wire
from tests.support.mongodb_harness import EXAMPLE

ERROR_CODES = (10107, 10058, 13435, 13436, 189, 11602, 6, 7, 89, 91, 262, 9001, 11600, 133, 462, 11000, 43, 0)
MAX_CLIENTS = 6
BAD_FRAMES = (
    codec.HEADER.pack(-1, 1, 0, codec.OP_MSG),
    codec.HEADER.pack(60_000_000, 1, 0, codec.OP_MSG),
    codec.HEADER.pack(20, 1, 0, 99) + b"\0\0\0\0",
    codec.HEADER.pack(30, 1, 0, codec.OP_COMPRESSED) + bytes(14),
    codec.build_raw(b"\7" + bson.encode({"ping": 1}), 5, 0),
    codec.build(bson.encode({"ping": 1, "$db": "x"}), 6, 0, codec.CHECKSUM)[:-1] + b"\0",
)
BAD_COMMANDS = (
    {"nosuch": 1},
    {"mapReduce": "x"},
    {"find": 1},
    {"find": "x", "startTransaction": True},
    {"getMore": 5, "collection": "x"},
    {"getMore": bson.Int64(5), "collection": "x"},
    {"killCursors": "x", "cursors": 1},
    {"killCursors": "x", "cursors": [bson.Int64(9)]},
    {"killCursors": "x", "cursors": [9]},
    {"aggregate": "x", "pipeline": 7},
    {"find": "readings", "comment": {"class": "own-read"}, "filter": {"_id": bson.Regex("a", "i")}},
    {},
)
LOCAL_COMMANDS = ({"ping": 1}, {"buildInfo": 1}, {"endSessions": []}, {"hello": 1}, {"isMaster": 1})


class MongodbSimulation(ProtocolSimulation):
    """Three endpoints, one of them the primary, and clients of the MongoDB subset."""

    def start(self) -> None:
        settings = parse(EXAMPLE, "example")
        limits = PoolLimits(4, 0.3, 1.0, 0.5)
        addresses = {n: ("127.0.0.1", 5000 + n) for n in (1, 2, 3)}
        self.endpoints = MongoUpstream(None, self.clock, addresses, "proxy", limits, 0.25, 0.1)
        self.engine = Engine(Router(settings.module_settings(), self.seed), self.endpoints, self.clock)
        self.context = ClientContext(
            engine=self.engine,
            upstream=self.endpoints,
            clock=self.clock,
            classifier=settings.classifier(),
            cursors=CursorTable(4, 2.0, self.seed),
            group_of=group_finder(settings),
            answer_margin=0.01,
            drain_grace=0.5,
            tenant_sources=("app_name", "address") if self.seed % 2 else (),
            client_sources=("session", "connection") if self.seed % 2 else (),
            process_id=bson.ObjectId("0123456789abcdef01234567"),
            connections_max=MAX_CLIENTS,
            log_event=lambda event, **fields: self.reports.append(str([*fields.values()])),
            count_input_error=self.reports.append,
        )
        self.primary, self.term, self.optime = 1, 1, 100
        self.entries = [
            api.EndpointEntry(n, 0, api.EndpointState.UP, "north", n == 1) for n in (1, 2, 3)
        ]  # fmt: skip
        self.engine.list_changed(api.EndpointListUpdate(tuple(self.entries), complete=True))
        self.number = 0

    def make_client(self) -> Any:
        return ClientConnection(self.context, len(self.clients) + 1)

    def greeting_bytes(self) -> bytes:
        hello = {
            "hello": 1,
            "client": {"application": {"name": f"app{self.random.randint(1, 3)}"}},
            "compression": ["zlib", "snappy", 5, "odd"],
            "$db": "admin",
        }
        if self.random.random() < 0.2:
            hello.update(topologyVersion={"counter": 1}, maxAwaitTimeMS=self.random.choice((20, 900)))
        if self.random.random() < 0.2:
            body = bson.encode(hello)
            query = bytes(4) + b"admin.$cmd\0" + bytes(8) + body
            return codec.HEADER.pack(16 + len(query), 1, 0, codec.OP_QUERY) + query
        return self._framed(hello)

    def _framed(self, fields: dict[str, Any], flags: int = 0) -> bytes:
        self.number += 1
        return codec.build(bson.encode(fields), self.number, 0, flags)

    def client_bytes(self) -> bytes:
        draw = self.random.random()
        if draw < 0.01:
            return self.random.choice(BAD_FRAMES)
        if draw < 0.06:
            return self._framed({**self.random.choice(BAD_COMMANDS), "$db": "sky"})
        if draw < 0.12:
            return self._framed({**self.random.choice(LOCAL_COMMANDS), "$db": "admin"})
        if draw < 0.2:
            return self._cursor_command()
        flags = self.random.choice((0, 0, 0, codec.CHECKSUM, codec.MORE_TO_COME))
        frame = self._framed(self._write() if draw < 0.45 else self._read(), flags)
        if self.random.random() < 0.2:
            frame = codec.compress(frame, self.random.choice((1, 2, 3)))
        return frame

    def flood(self) -> list[bytes]:
        padded = self._framed({"ping": 1, "pad": "x" * 150_000, "$db": "sky"})
        return [self.client_bytes(), padded, padded, padded]

    def _cursor_command(self) -> bytes:
        open_ids = list(self.context.cursors.cursors)
        cursor = bson.Int64(self.random.choice(open_ids)) if open_ids else bson.Int64(1)
        if self.random.random() < 0.7:
            return self._framed({"getMore": cursor, "collection": "readings", "$db": "sky"})
        return self._framed({"killCursors": "readings", "cursors": [cursor, bson.Int64(3)], "$db": "sky"})

    def _write(self) -> dict[str, Any]:
        command: dict[str, Any] = {"insert": "readings", "documents": [{"v": self.number}]}
        if self.random.random() < 0.7:
            session = bson.Binary(bytes([self.random.randint(1, 4)]) * 16, 4)
            command.update(lsid={"id": session}, txnNumber=bson.Int64(self.number))
        return {**command, **self._extras()}

    def _read(self) -> dict[str, Any]:
        command: dict[str, Any] = {"find": "readings", "filter": {}}
        if self.random.random() < 0.2:
            stage = self.random.choice(({"$match": {}}, {"$out": "other"}, 5))
            command = {"aggregate": "readings", "pipeline": [stage], "cursor": {}}
        if self.random.random() < 0.2:
            command["$readPreference"] = {"mode": "nearest", "maxStalenessSeconds": 90}
        if self.random.random() < 0.2:
            command["readConcern"] = {"afterClusterTime": bson.Timestamp(self.optime, 1)}
        return {**command, **self._extras()}

    def _extras(self) -> dict[str, Any]:
        extras: dict[str, Any] = {"$db": "sky"}
        comment = self.random.choice(("", "", "note", "own-read", "current-read", "history-read"))
        if comment:
            extras["comment"] = comment
        if self.random.random() < 0.5:
            extras["maxTimeMS"] = self.random.choice((5, 60, 300))
        return extras

    def endpoint_bytes(self, wire: Wire, written: bytes) -> list[bytes]:
        out = []
        while written:
            length = int.from_bytes(written[:4], "little")
            message = codec.parse(written[:length])
            out.append(self._answer(wire, message.request_id, bson.decode(message.body)))
            written = written[length:]
        return out

    def _optime(self) -> bson.Timestamp:
        self.optime += self.random.choice((0, 0, 1))
        return bson.Timestamp(self.optime - self.random.choice((0, 0, 1)), 1)

    def _hello(self) -> dict[str, Any]:
        primary = self.random.random() < 0.4
        if self.random.random() < 0.05:
            self.term += 1
        term = self.term - (self.random.random() < 0.1)
        answer: dict[str, Any] = {"isWritablePrimary": primary, "ok": 1.0}
        if self.random.random() < 0.9:
            answer["lastWrite"] = {"opTime": {"ts": self._optime(), "t": term}}
        if self.random.random() < 0.9:
            answer["load"] = self.random.randint(0, 9)
        return answer

    def _good(self, command: dict[str, Any]) -> dict[str, Any]:
        if "hello" in command:
            return self._hello()
        body: dict[str, Any] = {"ok": 1.0, "operationTime": self._optime()}
        name = next(iter(command))
        if name in ("find", "aggregate", "getMore"):
            batch = "nextBatch" if name == "getMore" else "firstBatch"
            cursor = bson.Int64(self.random.choice((0, 77)))
            body["cursor"] = {batch: [{"v": 1}], "id": cursor, "ns": "sky.readings"}
        else:
            body["n"] = 1
        return body

    def _error(self) -> dict[str, Any]:
        error: dict[str, Any] = {"ok": 0.0, "errmsg": "no", "code": self.random.choice(ERROR_CODES)}
        if self.random.random() < 0.1:
            error["errorLabels"] = ["NoWritesPerformed"]
        return error

    def _answer(self, wire: Wire, request_id: int, command: dict[str, Any]) -> bytes:
        draw = self.random.random()
        body = bson.encode(self._error() if 0.7 < draw < 0.85 else self._good(command))
        frame = codec.build(body, 1, request_id)
        if draw < 0.85:
            return frame
        if draw < 0.87:
            return codec.build(body, 1, request_id + 7)
        if draw < 0.89:
            return frame + frame
        if draw < 0.91:
            return self.random.choice(BAD_FRAMES)
        if draw < 0.92:
            return codec.build_raw(b"\0" + body[:4] + b"\x99" + body[5:], 1, request_id)
        if draw < 0.95:
            wire.closing = ConnectionLost()
            return frame[: self.random.randint(0, len(frame))]
        return b""

    def change(self, step: int) -> None:
        draw = self.random.random()
        if draw < 0.02:
            index = self.random.randrange(3)
            state = self.random.choice(list(api.EndpointState))
            self.entries[index] = replace(self.entries[index], state=state)
        elif draw < 0.03:
            self.endpoints.addresses[self.random.randint(1, 3)] = (
                "127.0.0.1",
                self.random.randint(6000, 6999),
            )
        if draw < 0.03:
            self.engine.list_changed(api.EndpointListUpdate(tuple(self.entries), complete=True))
        self.context.cursors.expire(self.clock.now())

    def summary(self) -> str:
        return f"{len(self.context.cursors.cursors)} {len(self.context.connections)}"
