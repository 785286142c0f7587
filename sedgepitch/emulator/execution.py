"""How an emulated server runs commands: so many cores, a bounded queue, and what overload does while cold."""

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
    """The commands of one server that wait or run. Their time passes as timers."""

    def __init__(self, server: EmulatedServer) -> None:
        """Begin with nothing to run."""
        self._server = server
        self._waiting: deque[ReceivedCommand] = deque()
        self._running = 0
        self._work_while_cold: deque[tuple[float, float]] = deque()  # (when, s of work) that arrived
        self.served = 0

    @property
    def waiting(self) -> int:
        """How many commands wait for a core."""
        return len(self._waiting)

    def cancel_all(self) -> None:
        """Forget all commands, as a crash does; timers of the earlier incarnation do nothing."""
        self._waiting.clear()
        self._running = 0

    def restart(self) -> None:
        """Forget what arrived before a restart."""
        self._work_while_cold.clear()

    # Admission

    def submit(self, request: ReceivedCommand) -> None:
        """Run, queue or reject a command."""
        server = self._server
        if self._is_overloaded_while_cold(request.work):
            server.fall()
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
        """Whether a replica is asked for a read that does not say that it may run there."""
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

    def _is_overloaded_while_cold(self, work: float) -> bool:
        """Whether a server that is warming up has been sent too much work for too long."""
        server = self._server
        if server.warmth() >= 1.0:
            return False
        now = server.now()
        span = server.timing.overload_time
        arrived = self._work_while_cold
        arrived.append((now, work))
        while arrived and arrived[0][0] < now - span:
            arrived.popleft()
        capacity = server.timing.cores * server.warmth() * span
        if now - server.started < span:
            return False
        return sum(work for _, work in arrived) > server.timing.overload_factor * capacity

    # Running

    def _run(self, request: ReceivedCommand) -> None:
        server = self._server
        self._running += 1
        duration = request.work * server.faults.slowdown / server.warmth()
        server.reactor.callLater(duration, self._finish, request, server.incarnation)

    def _finish(self, request: ReceivedCommand, incarnation: int) -> None:
        """The work is done: take effect, answer, run the next."""
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
            # A write is answered when a replica has it, too.
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
