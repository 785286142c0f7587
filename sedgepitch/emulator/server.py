"""One stand-in member: a port, cores with a waiting room, a place in the log, and what goes wrong with it.

Service times pass as timers, so one process plays a fleet. Faults are fields that the serving path looks at:
a member that stands still answers nothing until then, one that is cut answers some drivers nothing at all.
"""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import bson
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure

from sedgepitch.emulator.document_store import CommandError, Document, Store
from sedgepitch.emulator.recorder import Recorder
from sedgepitch.emulator.replica_group import Group
from sedgepitch.net.listener import listen
from sedgepitch.protocols.mongodb import codec
from sedgepitch.protocols.mongodb.codec import MalformedMessage, Message
from sedgepitch.protocols.mongodb.framing import FrameReceiver

WRITES = ("insert", "update", "delete", "findAndModify", "findandmodify")
READS = ("find", "aggregate", "count", "distinct", "listCollections", "listDatabases")
NEVER = float("inf")


@dataclass
class Trap:
    """A fault that waits for a condition: it springs at the next command that fits."""

    when: str  # "write" or "read": which command springs it
    do: str  # "lose_reply", "cut_reply", "reset", "wrong_reply", "twice"
    then: Callable[[], None] = lambda: None
    count: int = 1


@dataclass
class Job:
    """One command that waits or runs."""

    connection: Served
    message: Message
    command: Document
    name: str
    writes: bool
    work: float
    rid: str


@dataclass
class Trouble:
    """What is wrong with a member at present."""

    still_until: float = 0.0
    slow: float = 1.0
    apply_slow: float = 1.0
    cut: set[str] = field(default_factory=set)  # drivers whose messages are not seen; "*" for all
    claims_primary: bool = False
    refuse_connections: bool = False
    connections: int | None = None


class Served(FrameReceiver):
    """One connection of a driver to a member."""

    def __init__(self, member: Member) -> None:
        super().__init__()
        self.member, self.driver = member, ""

    def connectionMade(self) -> None:
        """Bound the table of connections."""
        trouble = self.member.trouble
        most = self.member.timing.connections if trouble.connections is None else trouble.connections
        if trouble.refuse_connections or len(self.member.connections) >= most:
            self.transport.abortConnection()
            return
        self.transport.set_no_delay()
        self.member.connections.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The driver closed, or we did."""
        self.member.connections.discard(self)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes; how long they waited is this process's own delay."""
        if self.transport.arrived:
            self.member.record.waited(time.monotonic() - self.transport.arrived)
        super().dataReceived(data)

    def frame_received(self, frame: bytes) -> None:
        """One command."""
        try:
            message = codec.parse(frame)
            command: Document = bson.decode(message.body)
            for section in message.sections:
                command[section.name] = bson.decode_all(section.documents)
        except (MalformedMessage, bson.errors.BSONError):
            self.transport.abortConnection()
            return
        self.member.received(self, message, command)

    def reply(self, message: Message, body: Document) -> None:
        """Answer."""
        if self.transport is not None and self in self.member.connections:
            self.transport.write(codec.build(bson.encode(body), 1, message.request_id))


class Member:
    """One member of a group."""

    def __init__(
        self,
        reactor: Any,
        number: int,
        zone: str,
        address: tuple[str, int],
        group: Group[Member],
        timing: Any,
        record: Recorder,
        seed: int,
    ) -> None:
        self.reactor, self.id, self.zone, self.address = reactor, number, zone, address
        self.group, self.timing, self.record = group, timing, record
        self.random = random.Random(f"{seed}/{number}")
        self.skew = self.random.uniform(-0.05, 0.05)  # of its wall clock, s
        self.store = Store()
        self.applied = 0
        self.apply_free = 0.0
        self.connections: set[Served] = set()
        self.port: Any = None
        self.waiting: deque[Job] = deque()
        self.running = 0
        self.life = 0  # jobs of an earlier life are void
        self.started = -NEVER
        self.fallen = self.draining = False
        self.arrived: deque[tuple[float, float]] = deque()  # while cold: when, and how much work
        self.trouble = Trouble()
        self.traps: list[Trap] = []
        self.cursors: dict[int, tuple[str, list[Document]]] = {}
        self.next_cursor = 1000
        self.served = 0
        group.members.append(self)

    # Time and place in the log

    def now(self) -> float:
        """Monotonic seconds."""
        return self.group.now()

    def wall(self) -> float:
        """Its own wall clock."""
        return time.time() + self.skew

    def catch_up(self) -> None:
        """Apply everything at once, as a member does that takes over."""
        for entry in self.group.log[self.applied :]:
            self.store.apply(entry.effects)
        self.applied = len(self.group.log)

    def advance(self) -> None:
        """Apply what a replica has received and had the time for, with one thread."""
        log, now = self.group.log, self.now()
        if self.group.primary is self:
            return
        while self.applied < len(log):
            entry = log[self.applied]
            begin = max(entry.at + self.timing.replication_delay, self.apply_free)
            end = begin + self.timing.apply_work * self.trouble.apply_slow
            if end > now:
                return
            self.apply_free = end
            self.store.apply(entry.effects)
            self.applied += 1

    def hold(self, until: float) -> None:
        """Stand still until then: nothing is read, run, applied or answered."""
        self.advance()
        self.trouble.still_until = max(self.trouble.still_until, until)
        self.apply_free = max(self.apply_free, min(until, self.now() + 3600.0))

    # Life

    def listen(self) -> None:
        """Open its port."""
        factory = Factory.forProtocol(lambda: Served(self))
        factory.noisy = False
        self.port = listen(self.reactor, self.address[1], factory, self.address[0], 512)
        self.address = (self.address[0], self.port.getHost().port)

    def alive(self) -> bool:
        """Whether its process runs."""
        return self.port is not None

    def electable(self) -> bool:
        """Whether it could be primary now."""
        return self.alive() and self.now() >= self.trouble.still_until and not self.fallen

    def crash(self) -> None:
        """Die at once: connections reset, work lost; what it had applied is on its disk."""
        if self.port is None:
            return
        self.advance()
        self.record("crash", m=self.id)
        self.port.stopListening()
        self.port = None
        self.life += 1
        self.waiting.clear()
        self.running = 0
        self.cursors.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self.group.lost_primary(self, self.timing.election_after)

    def restart(self) -> None:
        """Come back: cold, and behind by what it missed."""
        if self.port is not None or self.fallen:
            return
        self.started = self.apply_free = self.now()
        self.trouble = Trouble()
        self.arrived.clear()
        self.record("start", m=self.id, cores=self.timing.cores)
        self.listen()
        self.group.primary_back(self)

    def warmth(self) -> float:
        """The share of its capacity that it has."""
        age = self.now() - self.started
        start = float(self.timing.start_capacity)
        return 1.0 if age >= self.timing.warm_within else start + (1 - start) * age / self.timing.warm_within

    # Serving

    def is_primary(self) -> bool:
        """Whether it may take writes."""
        return self.group.primary is self

    def received(self, connection: Served, message: Message, command: Document, first: bool = True) -> None:
        """Take a command off a connection; a member that stands still reads it later."""
        name = next(iter(command), "")
        if name == "hello":
            client = command.get("client") or {}
            connection.driver = str((client.get("application") or {}).get("name", "")) or connection.driver
        if {"*", connection.driver} & self.trouble.cut:
            if first and (name in WRITES or name in READS):
                self.record(
                    "unseen", m=self.id, d=connection.driver
                )  # lost on its way, so it cannot know more
            return
        if first:
            self._note_arrival(connection, command, name)
        still = self.trouble.still_until - self.now()
        if still > 0:
            life = self.life
            again = (connection, message, command, life)
            self.reactor.callLater(min(still, 3600.0), self._received_late, *again)
            return
        if name == "hello":
            self._hello(connection, message)
        elif name in WRITES or name in READS:
            self._queue(connection, message, command, name)
        elif name == "getMore":
            self._get_more(connection, message, command)
        elif name == "killCursors":
            for number in command.get("cursors") or []:
                self.cursors.pop(int(number), None)
            connection.reply(message, {"ok": 1.0})
        else:
            connection.reply(message, self._error(59, "CommandNotFound", f"no such command: '{name}'"))

    def _received_late(self, connection: Served, message: Message, command: Document, life: int) -> None:
        if life == self.life:
            self.received(connection, message, command, first=False)

    def _note_arrival(self, connection: Served, command: Document, name: str) -> None:
        """Record a command when its bytes arrive, however long it then waits to be read."""
        if name not in WRITES and name not in READS:
            return
        stages = command.get("pipeline") or [] if name == "aggregate" else []
        command["$writes"] = name in WRITES or any("$out" in s or "$merge" in s for s in stages)
        times = self.timing.write_work if command["$writes"] else self.timing.read_work
        command["$work"] = self.random.uniform(times.least, times.most)
        comment = command.get("comment")
        command["$rid"] = str(comment.get("rid", "")) if isinstance(comment, dict) else ""
        self.record(
            "recv",
            m=self.id,
            g=self.group.number,
            t=connection.frame_since
            or time.monotonic(),  # its bytes' arrival, whenever this process came to read
            d=connection.driver,
            rid=command["$rid"],
            w=command["$writes"],
            work=command["$work"],
        )

    def _hello(self, connection: Served, message: Message) -> None:
        self.advance()
        primary = self.is_primary() or self.trouble.claims_primary
        last = self.group.log[self.applied - 1] if self.applied else None
        optime = {"ts": bson.Timestamp(*(last.stamp if last else (0, 0))), "t": last.term if last else -1}
        if self.trouble.claims_primary:
            optime["t"] = self.group.term
        self.record("role_told", m=self.id, d=connection.driver, primary=primary)
        connection.reply(
            message,
            {
                "isWritablePrimary": primary,
                "secondary": not primary,
                "setName": f"group{self.group.number}",
                "lastWrite": {"opTime": optime},
                "maxBsonObjectSize": 16 << 20,
                "maxMessageSizeBytes": codec.MESSAGE_BYTES_MAX,
                "minWireVersion": 0,
                "maxWireVersion": 21,
                "load": len(self.waiting),
                "ok": 1.0,
            },
        )

    def _queue(self, connection: Served, message: Message, command: Document, name: str) -> None:
        writes, work, rid = command["$writes"], command["$work"], command["$rid"]
        if self._falls_over(work):
            return
        if writes and not self.is_primary():
            self.record("role_told", m=self.id, d=connection.driver, primary=False)
            self.record("away", m=self.id, rid=rid)
            connection.reply(message, self._error(10107, "NotWritablePrimary", "not primary"))
            return
        if not writes and not self.is_primary() and "$readPreference" not in command:
            connection.reply(message, self._error(13435, "NotPrimaryNoSecondaryOk", "not primary and no ok"))
            return
        job = Job(connection, message, command, name, writes, work, rid)
        if self.running < self.timing.cores:
            self._run(job)
        elif len(self.waiting) < self.timing.waiting_room:
            self.waiting.append(job)
        else:
            self.record("away", m=self.id, rid=rid)
            error = self._error(462, "IngressRequestRateLimitExceeded", "the waiting room is full")
            labels = ["SystemOverloadedError", "RetryableError", "NoWritesPerformed"]
            connection.reply(message, {**error, "errorLabels": labels})

    def _falls_over(self, work: float) -> bool:
        """A cold member that is sent too much for too long dies and stays down."""
        if self.warmth() >= 1.0:
            return False
        now, span = self.now(), self.timing.overload_time
        self.arrived.append((now, work))
        while self.arrived and self.arrived[0][0] < now - span:
            self.arrived.popleft()
        able = self.timing.cores * self.warmth() * span
        if now - self.started < span or sum(w for _, w in self.arrived) <= self.timing.overload_factor * able:
            return False
        self.record("fell", m=self.id)
        self.fallen = True
        self.crash()
        return True

    def _run(self, job: Job) -> None:
        self.running += 1
        life = self.life
        self.reactor.callLater(job.work * self.trouble.slow / self.warmth(), self._ran, job, life)

    def _ran(self, job: Job, life: int) -> None:
        """The work is done: take effect, answer, take the next."""
        if life != self.life:
            return
        still = self.trouble.still_until - self.now()
        if still > 0:
            self.reactor.callLater(min(still, 3600.0), self._ran, job, life)
            return
        self.running -= 1
        self.served += 1
        if self.waiting:
            self._run(self.waiting.popleft())
        try:
            body = self._write(job) if job.writes else self._read(job)
        except CommandError as error:
            body = self._error(error.code, error.name, error.text)
        except (KeyError, TypeError, AttributeError, IndexError, ValueError) as error:
            body = self._error(9, "FailedToParse", f"{job.name}: {error!r}"[:200])
        kind = "write" if job.writes else "read"
        trap = next((t for t in self.traps if t.when == kind), None)
        if trap is not None:
            trap.count -= 1
            if not trap.count:
                self.traps.remove(trap)
            self.record("trap", m=self.id, rid=job.rid, do=trap.do)
            self._spring(trap, job, body)
            trap.then()
        elif job.writes and body.get("ok") == 1.0:
            # A write is answered when a replica has it, too.
            self.reactor.callLater(self.timing.replication_delay, self._answer_alive, job, body, life)
        else:
            job.connection.reply(job.message, body)

    def _answer_alive(self, job: Job, body: Document, life: int) -> None:
        if life != self.life:
            return
        still = self.trouble.still_until - self.now()
        if still > 0:
            self.reactor.callLater(min(still, 3600.0), self._answer_alive, job, body, life)
        else:
            job.connection.reply(job.message, body)

    def _spring(self, trap: Trap, job: Job, body: Document) -> None:
        connection, message = job.connection, job.message
        if trap.do == "reset":
            connection.transport.abortConnection()
        elif trap.do == "cut_reply":
            frame = codec.build(bson.encode(body), 1, message.request_id)
            connection.transport.write(frame[: len(frame) // 2])
            connection.transport.loseConnection()
        elif trap.do == "wrong_reply":
            connection.transport.write(codec.build(bson.encode(body), 1, message.request_id + 7))
        elif trap.do == "twice":
            connection.reply(message, body)
            connection.reply(message, body)

    def _times(self) -> Document:
        """The optimes that go with an answer."""
        last = self.group.log[self.applied - 1] if self.applied else None
        stamp = bson.Timestamp(*(last.stamp if last else (0, 0)))
        self_told = {"id": self.id, "applied": self.applied}  # for the audit: who answered, and from what
        signature = {"hash": bytes(20), "keyId": bson.Int64(0)}
        return {
            "$member": self_told,
            "operationTime": stamp,
            "$clusterTime": {"clusterTime": stamp, "signature": signature},
        }

    def _error(self, code: int, name: str, text: str) -> Document:
        return {"ok": 0.0, "errmsg": text, "code": code, "codeName": name, **self._times()}

    def _write(self, job: Job) -> Document:
        command = job.command
        if not self.is_primary():
            return self._error(11602, "InterruptedDueToReplStateChange", "lost its role meanwhile")
        key = None
        if "lsid" in command and "txnNumber" in command:
            key = (bytes(command["lsid"]["id"]).hex(), int(command["txnNumber"]))
            known = self.group.repeat(key)
            if known is not None:
                self.record("repeat", m=self.id, rid=job.rid)
                return known
        reply, effects = self.store.write(command)
        entry = self.group.append(self, effects, self.wall())
        self.record("commit", m=self.id, g=self.group.number, rid=job.rid, i=len(self.group.log), key=key)
        body = {**reply, "ok": 1.0, **self._times()}
        body["operationTime"] = bson.Timestamp(*entry.stamp)
        if key is not None:
            self.group.remember(key, body)
        return body

    def _read(self, job: Job) -> Document:
        self.advance()
        command, name = job.command, job.name
        self.record(
            "read", m=self.id, g=self.group.number, d=job.connection.driver, rid=job.rid, i=self.applied
        )
        if name == "count":
            namespace = f"{command['$db']}.{command['count']}"
            return {
                "n": len(self.store.select(namespace, command.get("query") or {})),
                "ok": 1.0,
                **self._times(),
            }
        if name == "distinct":
            namespace = f"{command['$db']}.{command['distinct']}"
            rows = self.store.select(namespace, command.get("query") or {})
            values = {repr(v): v for d in rows if (v := d.get(command["key"])) is not None}
            return {"values": list(values.values()), "ok": 1.0, **self._times()}
        if name == "listDatabases":
            names = sorted({n.split(".", 1)[0] for n in self.store.spaces})
            rows = [{"name": n, "sizeOnDisk": bson.Int64(4096), "empty": False} for n in names]
            return {"databases": rows, "totalSize": bson.Int64(4096 * len(rows)), "ok": 1.0, **self._times()}
        namespace, documents = self.store.read(command)
        cursor = command.get("cursor") or {}
        batch = command.get("batchSize", cursor.get("batchSize", 101))
        batch = 101 if batch is None else int(batch)
        first, rest = documents[:batch], documents[batch:]
        single = bool(command.get("singleBatch"))
        number = self._open(namespace, rest) if rest and not single else 0
        shown = {"id": bson.Int64(number), "ns": namespace, "firstBatch": first}
        return {"cursor": shown, "ok": 1.0, **self._times()}

    def _open(self, namespace: str, rest: list[Document]) -> int:
        self.next_cursor += 1
        self.cursors[self.next_cursor] = (namespace, rest)
        return self.next_cursor

    def _get_more(self, connection: Served, message: Message, command: Document) -> None:
        number = int(command["getMore"])
        if number not in self.cursors:
            connection.reply(message, self._error(43, "CursorNotFound", f"cursor id {number} not found"))
            return
        namespace, rest = self.cursors.pop(number)
        batch = int(command.get("batchSize") or 101)
        more = rest[batch:]
        if more:
            self.cursors[number] = (namespace, more)
        shown = {"id": bson.Int64(number if more else 0), "ns": namespace, "nextBatch": rest[:batch]}
        connection.reply(message, {"cursor": shown, "ok": 1.0, **self._times()})
