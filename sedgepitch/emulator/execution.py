"""Command execution of an emulated server: cores, a bounded queue, and overload while warming up."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from sedgepitch.emulator.query_language import Document
from sedgepitch.emulator.requests import CommandKind, ReceivedCommand

if TYPE_CHECKING:
    from sedgepitch.emulator.server import EmulatedServer

OVERLOADED_LABELS = ["SystemOverloadedError", "RetryableError", "NoWritesPerformed"]
READ_PREFERENCE = "$readPreference"


class Execution:
    """The queued and running commands of one server. Service times are emulated by timers."""

    def __init__(self, server: EmulatedServer) -> None:
        """Start without commands."""
        self._server = server
        self._waiting: deque[ReceivedCommand] = deque()
        self._running = 0
        self._warm_up_arrivals: deque[tuple[float, float]] = deque()  # (arrival time, s of work)
        self.served = 0

    @property
    def waiting(self) -> int:
        """Return the number of commands that wait for a core."""
        return len(self._waiting)

    def cancel_all(self) -> None:
        """Drop all commands after a crash; timers of the earlier incarnation have no effect."""
        self._waiting.clear()
        self._running = 0

    def restart(self) -> None:
        """Drop the arrivals recorded before a restart."""
        self._warm_up_arrivals.clear()

    # Admission

    def submit(self, request: ReceivedCommand) -> None:
        """Run, queue or reject a command."""
        server = self._server
        if self._is_overloaded_while_warming_up(request.work):
            server.crash_permanently()
            return
        if request.kind is CommandKind.WRITE and not server.is_primary():
            server.record("role_told", m=server.id, d=request.connection.proxy, primary=False)
            server.record("away", m=server.id, rid=request.request_id)
            self._reply_error(request, 10107, "NotWritablePrimary", "not primary")
        elif self._lacks_read_preference(request):
            self._reply_error(request, 13435, "NotPrimaryNoSecondaryOk", "not primary and no ok")
        elif self._running < server.timing.cores:
            self._run(request)
        elif len(self._waiting) < server.timing.waiting_room:
            self._waiting.append(request)
        else:
            self._reject(request)

    def _lacks_read_preference(self, request: ReceivedCommand) -> bool:
        """Return whether this is a read at a replica without a $readPreference."""
        if request.kind is CommandKind.WRITE or self._server.is_primary():
            return False
        return READ_PREFERENCE not in request.command

    def _reject(self, request: ReceivedCommand) -> None:
        server = self._server
        server.record("away", m=server.id, rid=request.request_id)
        error = server.queries.error(462, "IngressRequestRateLimitExceeded", "the waiting room is full")
        request.connection.reply(request.message, {**error, "errorLabels": OVERLOADED_LABELS})

    def _reply_error(self, request: ReceivedCommand, code: int, name: str, text: str) -> None:
        request.connection.reply(request.message, self._server.queries.error(code, name, text))

    def _is_overloaded_while_warming_up(self, work: float) -> bool:
        """Return whether the server is warming up and got too much work within `overload_time`."""
        server = self._server
        if server.capacity_share() >= 1.0:
            return False
        now = server.now()
        span = server.timing.overload_time
        arrived = self._warm_up_arrivals
        arrived.append((now, work))
        while arrived and arrived[0][0] < now - span:
            arrived.popleft()
        capacity = server.timing.cores * server.capacity_share() * span
        if now - server.started < span:
            return False
        return sum(work for _, work in arrived) > server.timing.overload_factor * capacity

    # Running

    def _run(self, request: ReceivedCommand) -> None:
        server = self._server
        self._running += 1
        duration = request.work * server.faults.slowdown / server.capacity_share()
        server.reactor.callLater(duration, self._finish, request, server.incarnation)

    def _finish(self, request: ReceivedCommand, incarnation: int) -> None:
        """Complete a command: start the next one, apply this one and reply."""
        server = self._server
        if incarnation != server.incarnation:
            return
        if server.defer_while_paused(self._finish, request, incarnation):
            return
        self._running -= 1
        self.served += 1
        if self._waiting:
            self._run(self._waiting.popleft())
        body = server.queries.run(request)
        if server.apply_reply_fault(request, body):
            return
        if request.kind is CommandKind.WRITE and body.get("ok") == 1.0:
            # A write is acknowledged once a replica has received it, too.
            delay = server.timing.replication_delay
            server.reactor.callLater(delay, self._reply_if_alive, request, body, incarnation)
        else:
            request.connection.reply(request.message, body)

    def _reply_if_alive(self, request: ReceivedCommand, body: Document, incarnation: int) -> None:
        server = self._server
        if incarnation != server.incarnation:
            return
        if not server.defer_while_paused(self._reply_if_alive, request, body, incarnation):
            request.connection.reply(request.message, body)
