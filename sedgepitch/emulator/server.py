"""One emulated server: its port, its position in the log of its group, and its life cycle.

Service times are emulated by timers, so one process can emulate a fleet. Faults are fields that the serving
path checks: a paused server answers nothing until the pause ends, and a server that is cut off loses the
messages of some proxies.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import bson
from twisted.internet.protocol import Factory

from sedgepitch.emulator.document_store import Store
from sedgepitch.emulator.execution import Execution
from sedgepitch.emulator.faults import ActiveFaults, ReplyFault
from sedgepitch.emulator.proxy_connection import ProxyConnection
from sedgepitch.emulator.queries import Queries
from sedgepitch.emulator.query_language import Document
from sedgepitch.emulator.recorder import Recorder
from sedgepitch.emulator.replica_group import EmulatedGroup
from sedgepitch.emulator.requests import CommandKind, ReceivedCommand
from sedgepitch.net.listener import listen
from sedgepitch.net.twisted_types import Reactor
from sedgepitch.protocols.mongodb import codec
from sedgepitch.protocols.mongodb.codec import Message

NEVER = float("inf")
CLOCK_SKEW_MAX_S = 0.05
TIMER_MAX_S = 3600.0  # longer pauses are re-checked after this time
BACKLOG = 512
DOCUMENT_BYTES_MAX = 16 << 20
WIRE_VERSION_MAX = 21


class EmulatedServer:
    """One server of a group. `timing` is the `standins` section of the settings; times are in seconds."""

    def __init__(
        self,
        reactor: Reactor,
        number: int,
        zone: str,
        address: tuple[str, int],
        group: EmulatedGroup[EmulatedServer],
        timing: Any,
        record: Recorder,
        seed: int,
    ) -> None:
        """Create a server and add it to the group; `listen` opens its port."""
        self.reactor = reactor
        self.id = number
        self.zone = zone
        self.address = address
        self.group = group
        self.timing = timing
        self.record = record
        self.random = random.Random(f"{seed}/{number}")
        self.clock_skew = self.random.uniform(-CLOCK_SKEW_MAX_S, CLOCK_SKEW_MAX_S)
        self.store = Store()
        self.applied = 0  # number of log entries applied
        self.apply_free_at = 0.0  # time at which the thread that applies the log is free
        self.connections: set[ProxyConnection] = set()
        self.port: Any = None
        self.incarnation = 0  # timers of an earlier one have no effect
        self.started = -NEVER
        self.permanently_down = False  # crashed by overload, never restarted
        self.draining = False
        self.faults = ActiveFaults()
        self.reply_faults: list[ReplyFault] = []
        self.queries = Queries(self)
        self.execution = Execution(self)
        group.servers.append(self)

    # Time and log position

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.group.now()

    def wall(self) -> float:
        """Return Unix time in seconds by the server's own clock."""
        return time.time() + self.clock_skew

    def last_stamp(self) -> tuple[int, int]:
        """Return the stamp of the last applied entry."""
        return self.group.log[self.applied - 1].stamp if self.applied else (0, 0)

    def catch_up(self) -> None:
        """Apply the whole log at once, as a server does before it becomes primary."""
        for entry in self.group.log[self.applied :]:
            self.store.apply(entry.effects)
        self.applied = len(self.group.log)

    def advance(self) -> None:
        """Apply the log entries that a replica has received and had time to apply with one thread."""
        log = self.group.log
        now = self.now()
        if self.is_primary():
            return
        while self.applied < len(log):
            entry = log[self.applied]
            begin = max(entry.at + self.timing.replication_delay, self.apply_free_at)
            end = begin + self.timing.apply_work * self.faults.apply_slowdown
            if end > now:
                return
            self.apply_free_at = end
            self.store.apply(entry.effects)
            self.applied += 1

    # Life cycle

    def listen(self) -> None:
        """Open the port."""
        factory = Factory.forProtocol(lambda: ProxyConnection(self))
        factory.noisy = False
        self.port = listen(self.reactor, self.address[1], factory, self.address[0], BACKLOG)
        self.address = (self.address[0], self.port.getHost().port)

    def alive(self) -> bool:
        """Return whether the server is running."""
        return self.port is not None

    def is_primary(self) -> bool:
        """Return whether the server is the primary of its group."""
        return self.group.primary is self

    def electable(self) -> bool:
        """Return whether the server could become primary now."""
        return self.alive() and self.now() >= self.faults.paused_until and not self.permanently_down

    def capacity_share(self) -> float:
        """Return the available share of the capacity, which is reduced while warming up after a start."""
        age = self.now() - self.started
        if age >= self.timing.warm_within:
            return 1.0
        start = float(self.timing.start_capacity)
        return start + (1 - start) * age / self.timing.warm_within

    def crash(self) -> None:
        """Crash: connections are reset and commands are lost; the applied log entries persist."""
        if self.port is None:
            return
        self.advance()
        self.record("crash", m=self.id)
        self.port.stopListening()
        self.port = None
        self.incarnation += 1
        self.execution.cancel_all()
        self.queries.cursors.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()
        self.group.primary_unreachable(self, self.timing.election_after)

    def crash_permanently(self) -> None:
        """Crash from overload while warming up, never to restart."""
        self.record("fell", m=self.id)
        self.permanently_down = True
        self.crash()

    def restart(self) -> None:
        """Restart with reduced capacity, lagging by the entries committed meanwhile."""
        if self.port is not None or self.permanently_down:
            return
        self.started = self.now()
        self.apply_free_at = self.started
        self.faults = ActiveFaults()
        self.execution.restart()
        self.record("start", m=self.id, cores=self.timing.cores)
        self.listen()
        self.group.primary_reachable(self)

    # Faults

    def pause(self, until: float) -> None:
        """Pause until a time: nothing is read, run, applied or answered."""
        self.advance()
        self.faults.paused_until = max(self.faults.paused_until, until)
        self.apply_free_at = max(self.apply_free_at, min(until, self.now() + TIMER_MAX_S))

    def defer_while_paused(self, call: Callable[..., object], *arguments: object) -> bool:
        """Schedule a call for the end of the current pause; return False if there is none."""
        pause = self.faults.paused_until - self.now()
        if pause <= 0:
            return False
        self.reactor.callLater(min(pause, TIMER_MAX_S), call, *arguments)
        return True

    def apply_reply_fault(self, request: ReceivedCommand, body: Document) -> bool:
        """Reply with the first fault for this kind of command; return False if there is none."""
        fault = next((fault for fault in self.reply_faults if fault.when == request.kind.value), None)
        if fault is None:
            return False
        fault.count -= 1
        if not fault.count:
            self.reply_faults.remove(fault)
        self.record("trap", m=self.id, rid=request.request_id, do=fault.kind.value)
        fault.apply(request, body)
        fault.then()
        return True

    # Commands

    def receive(self, connection: ProxyConnection, message: Message, command: Document) -> None:
        """Receive a command from a connection; a paused server executes it later."""
        request = ReceivedCommand(connection, message, command, next(iter(command), ""))
        if self._is_received(request):
            self._note_arrival(request)
            self._execute_unless_paused(request)
        elif request.accesses_data:
            # Lost in transit: the server cannot know the content, so only the loss is recorded.
            self.record("unseen", m=self.id, d=connection.proxy)

    def _is_received(self, request: ReceivedCommand) -> bool:
        """Return whether a command reaches the server; a hello sets the proxy name before the check."""
        if request.name == "hello":
            request.connection.note_hello(request.command)
        return not self.faults.cuts_off(request.connection.proxy)

    def _execute_unless_paused(self, request: ReceivedCommand) -> None:
        if not self.defer_while_paused(self._execute_late, request, self.incarnation):
            self._execute(request)

    def _execute_late(self, request: ReceivedCommand, incarnation: int) -> None:
        if incarnation == self.incarnation and self._is_received(request):
            self._execute_unless_paused(request)

    def _note_arrival(self, request: ReceivedCommand) -> None:
        """Record a command with its arrival time, however long it waits to be executed."""
        if not request.accesses_data:
            return
        writes = request.writes()
        request.kind = CommandKind.WRITE if writes else CommandKind.READ
        times = self.timing.write_work if writes else self.timing.read_work
        request.work = self.random.uniform(times.least, times.most)
        comment = request.command.get("comment")
        request.request_id = str(comment.get("rid", "")) if isinstance(comment, dict) else ""
        self.record(
            "recv",
            m=self.id,
            g=self.group.number,
            t=request.connection.frame_since or time.monotonic(),  # arrival of its bytes
            d=request.connection.proxy,
            rid=request.request_id,
            w=writes,
            work=request.work,
        )

    def _execute(self, request: ReceivedCommand) -> None:
        if request.name == "hello":
            body = self._hello(request.connection)
        elif request.accesses_data:
            self.execution.submit(request)
            return
        elif request.name == "getMore":
            body = self.queries.get_more(request.command)
        elif request.name == "killCursors":
            body = self.queries.kill_cursors(request.command)
        else:
            body = self.queries.error(59, "CommandNotFound", f"no such command: '{request.name}'")
        request.connection.reply(request.message, body)

    def _hello(self, connection: ProxyConnection) -> Document:
        self.advance()
        claims = self.faults.claims_primary
        primary = self.is_primary() or claims
        term = self.group.log[self.applied - 1].term if self.applied else -1
        optime = {"ts": bson.Timestamp(*self.last_stamp()), "t": self.group.term if claims else term}
        self.record("role_told", m=self.id, d=connection.proxy, primary=primary)
        return {
            "isWritablePrimary": primary,
            "secondary": not primary,
            "setName": f"group{self.group.number}",
            "lastWrite": {"opTime": optime},
            "maxBsonObjectSize": DOCUMENT_BYTES_MAX,
            "maxMessageSizeBytes": codec.MESSAGE_BYTES_MAX,
            "minWireVersion": 0,
            "maxWireVersion": WIRE_VERSION_MAX,
            "load": self.execution.waiting,
            "ok": 1.0,
        }
