"""The whole PostgreSQL stack under seeded traffic: client side, engine, router and upstream side."""

from __future__ import annotations

import struct
from dataclasses import astuple, replace
from typing import Any

from sedgepitch.core.connection_pool import PoolLimits
from sedgepitch.core.engine import Engine
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.decisions.connections.shutdown_schedule import ShutdownSchedule
from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.client import ClientConnection
from sedgepitch.protocols.postgresql.client_listener import ClientListener
from sedgepitch.protocols.postgresql.close_reasons import CloseReport
from sedgepitch.protocols.postgresql.upstream import PostgresUpstream
from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router
from tests.support.golden_protocols import STEPS, ProtocolSimulation, Wire
from tests.support.postgresql_harness import ROW, WALL, read, write
from tests.support.router_harness import SETTINGS, entry

SOCKETS = 40
REPORT_FIELDS = 7  # of a close report, those that the digests cover; tests/test_close_reasons.py has the rest
FLOOD_STATEMENTS = 900  # about 80 KB
CLASSES = ("bounded", "any", "session", "fresh")
ERROR_CODES = ("25006", "72000", "53300", "XX000", "08P01", "40001", "toolong")
SHUTDOWN_STEP = STEPS - 20
MALFORMED = (
    b"\x00noise\xff" * 20,
    struct.pack("!ci", b"D", 2**31 - 1),
    struct.pack("!ci", b"D", -1_294_967_296),
    codec.data_row(b"value") + codec.READY,
    codec.row_description() + codec.READY,
    codec.row_description() + codec.message(b"D", b"\0\1" + struct.pack("!i", 50) + b"short") + codec.READY,
    codec.row_description() + 2 * codec.data_row(b"value") + codec.complete("SELECT 2") + codec.READY,
    codec.message(b"T", b"\0\2" + 2 * codec.row_description()[7:]) + codec.READY,
    codec.row_description() + codec.error("XX000", "no") + codec.data_row(b"v") + codec.READY,
    codec.row_description() + codec.data_row(b"value") + codec.message(b"C", b"no end") + codec.READY,
    50 * codec.parameter("usage", "x=1"),
    codec.message(b"N", b"\0") * 12,
)
BAD_GREETINGS = (
    codec.message(b"R", b"\0\0\0\x05salt"),
    codec.error("28000", "no", fatal=True),
    codec.row_description(),
    codec.parameter("x", "y") * 70,
    b"\xff" * 16,
)
BAD_CLIENT_BYTES = (
    b"\x00" * 30,
    struct.pack("!ci", b"Q", 2**30),
    codec.message(b"P", b"\0parse\0"),
    codec.message(b"Q", b"SELECT 1"),
    codec.message(b"X", b""),
)
BAD_STATEMENTS = (
    codec.query(b"SELECT 1"),
    codec.query(b""),
    codec.query(b" ;\n"),
    codec.query(b"SELECT payload FROM entries WHERE ref = 'a' /* c=any,d=5 */"),
    codec.query(b"SELECT payload FROM entries WHERE ref = 'a' /* id=1,c=none,d=5 */"),
    codec.query(b"SELECT payload FROM entries WHERE ref = 'a' /* id=1,c=write,k=1,d=5 */"),
    codec.query(b"SELECT payload FROM entries WHERE ref = 'a' /* id=1,c=any,d=0 */"),
    codec.query(b"SELECT payload FROM entries WHERE ref = 'a' /* id=1,c=any,d=5,k=1 */"),
    codec.query(b"SELECT payload FROM entries WHERE ref = 'a' /* id=1,c=any,d=5,r=7 */"),
    codec.query(b"SELECT payload FROM entries WHERE ref = 'a' /* id=1,c=any,d=5,cluster=x */"),
    codec.query(b"SELECT payload FROM entries WHERE ref = 'a' /* id=1,c=any,d=5,after=x */"),
    codec.query(b"SELECT payload FROM entries WHERE ref = 'a' /* id=1,c=any,d=5,id=1 */"),
    codec.query(b"SELECT payload FROM entries WHERE ref = 'a' /* id=1,c=write,d=5,k=(1 */"),
)


class PostgresqlSimulation(ProtocolSimulation):
    """Three endpoints, one of them the primary, and clients of the PostgreSQL subset."""

    def start(self) -> None:
        budget = DescriptorBudget(SOCKETS)
        limits = PoolLimits(6, 0.25, 1.0, 0.0)
        self.endpoints = PostgresUpstream(None, self.clock, limits, budget, WALL, 0.25)
        self.endpoints.addresses = {n: ("127.0.0.1", 5000 + n) for n in (1, 2, 3)}
        self.endpoints.log_event = lambda event, **fields: self.reports.append(str([*fields.values()]))
        self.engine = Engine(Router(SETTINGS, self.seed), self.endpoints, self.clock)
        self.listener = ClientListener(self.engine, self.clock, self.engine.classes, WALL, budget)
        self.listener.closes.report = self._closed
        self.entries = [entry(1, primary=True), entry(2), entry(3)]
        self.engine.list_changed(api.EndpointListUpdate(tuple(self.entries), complete=True))
        self.number = 0
        self.startups: set[Wire] = set()
        self.writer = 1

    def _closed(self, report: CloseReport) -> None:
        _, reason, *rest = astuple(report)[:REPORT_FIELDS]
        self.reports.append(f"{report.number} {reason.value} {rest}")

    def make_client(self) -> Any:
        return ClientConnection(self.listener, len(self.clients) + 1)

    def greeting_bytes(self) -> bytes:
        draw = self.random.random()
        if draw < 0.9:
            ssl = struct.pack("!ii", 8, codec.SSL_REQUEST) if self.random.random() < 0.1 else b""
            return ssl + codec.startup("web", "orders")
        return self.random.choice(
            (
                struct.pack("!ii", 16, codec.CANCEL_REQUEST) + bytes(8),
                struct.pack("!ii", 9, 2 << 16),
                b"\0" * 9,
                b"",
            )
        )

    def client_bytes(self) -> bytes:
        draw = self.random.random()
        if draw < 0.02:
            return self.random.choice(BAD_CLIENT_BYTES)
        if draw < 0.07:
            return self.random.choice(BAD_STATEMENTS)
        if self.random.random() < 0.95:
            self.number += 1
        time_left = str(self.random.choice((1, 40, 200, 500.5)))
        if draw < 0.3:
            return write(self.number, time_left)
        fields = {}
        if self.random.random() < 0.3:
            fields["after"] = round((self.clock.now() + WALL - self.random.random()) * 1000.0)
        return read(self.number, self.random.choice(CLASSES), time_left, **fields)

    def flood(self) -> list[bytes]:
        statements = b"".join(self.client_bytes() for _ in range(FLOOD_STATEMENTS))
        return [statements] * self.random.choice((1, 8))

    def endpoint_bytes(self, wire: Wire, written: bytes) -> list[bytes]:
        out = []
        if wire not in self.startups:
            self.startups.add(wire)
            written = written[int.from_bytes(written[:4], "big") :]
            out.append(self._greeting())
        while written:
            length = 1 + int.from_bytes(written[1:5], "big")
            out.append(self._answer(wire, written[5:length]))
            written = written[length:]
        return out

    def _greeting(self) -> bytes:
        if self.random.random() < 0.04:
            return self.random.choice(BAD_GREETINGS)
        return codec.STARTUP_RESPONSE + codec.parameter("server_role", "reader") + codec.READY

    def _parameters(self) -> bytes:
        position = round((self.clock.now() + WALL - self.random.random() * 0.2) * 1000.0)
        usage = f"queue={self.random.randint(0, 30)},x0={position / 1000.0},x1={self.random.randint(0, 1)}"
        out = b""
        if self.random.random() < 0.8:
            out += codec.parameter("server_role", self.random.choice(("writer", "reader", "reader", "odd")))
        if self.random.random() < 0.8:
            out += codec.parameter("commit_clock", self.random.choice((str(position), str(position), "x")))
        if self.random.random() < 0.6:
            out += codec.parameter("usage", self.random.choice((usage, usage, "junk", "queue=nan,x=")))
        return out

    def _answer(self, wire: Wire, statement: bytes) -> bytes:
        draw = self.random.random()
        if statement.startswith(b"SHOW"):
            usage = f"queue=3,x0={self.clock.now() + WALL},x1=0".encode()
            row = codec.row_description() + codec.data_row(usage) + codec.complete("SHOW")
        else:
            row = ROW
        if draw < 0.62:
            return row + self._parameters() + codec.READY
        if draw < 0.8:
            return codec.error(self.random.choice(ERROR_CODES), "no") + self._parameters() + codec.READY
        if draw < 0.83:
            return codec.error("53300", "no", fatal=True)
        if draw < 0.88:
            return self.random.choice(MALFORMED)
        if draw < 0.91:
            return row + self._parameters() + codec.READY + self.random.choice((b"noise", codec.READY, row))
        if draw < 0.95:
            wire.closing = self.random.choice((ConnectionResetError(), OSError("gone")))
            return row[: self.random.randint(0, len(row))]
        return b""

    def change(self, step: int) -> None:
        draw = self.random.random()
        if draw < 0.03:
            index = self.random.randrange(3)
            state = self.random.choice(list(api.EndpointState))
            self.entries[index] = replace(self.entries[index], state=state)
        elif draw < 0.04:
            address = ("127.0.0.1", self.random.randint(6000, 6999))
            self.endpoints.addresses = {**self.endpoints.addresses, self.random.randint(1, 3): address}
        if draw < 0.04:
            self.engine.list_changed(api.EndpointListUpdate(tuple(self.entries), complete=True))
        if draw > 0.97:
            self.listener.free_descriptor()
        if step == SHUTDOWN_STEP and self.seed % 2:
            schedule = ShutdownSchedule(self.clock.now(), 1.0)
            self.listener.begin_shutdown(schedule)
        self.listener.close_idle_connections()

    def summary(self) -> str:
        listener = self.listener
        endpoints = self.endpoints
        counts = (
            listener.bad_messages,
            listener.bad_statements,
            listener.disconnects_found_unread,
            listener.disconnects_found_late,
            listener.accepted,
            endpoints.malformed_responses,
            endpoints.unreadable_load_reports,
            listener.closes.with_request,
        )
        return f"{counts} {listener.closes.summary()}"
