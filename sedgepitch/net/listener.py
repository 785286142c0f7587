"""A listening port that never closes connections in its backlog, whatever `accept` reports.

Twisted's `Port` reacts to EMFILE by accepting and closing the whole backlog, so that clients learn of the
shortage at once. Here, a client in the backlog may already have sent a request, which would be lost with its
connection, so connections stay in the backlog until they can be accepted (net/accepting.py).

An accepted connection whose transport cannot be set up for the moment (no memory for a descriptor's flags or
for the poller) is kept and set up after a pause. It is closed after SET_UP_ATTEMPTS failures.
"""

from __future__ import annotations

import errno
import os
import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import tcp
from twisted.python import log

from sedgepitch.net.accepting import AcceptFailure, AcceptRetry
from sedgepitch.net.shortage import OUT_OF_DESCRIPTORS
from sedgepitch.net.transport import TimestampedServer
from sedgepitch.net.twisted_types import ProtocolFactory, Reactor

OVERLOAD_CHECK_S = 0.05  # interval at which an overloaded process checks whether it may accept again
ACCEPTS_PER_TURN = 64  # bounded so that a burst of new connections does not delay established ones
SET_UP_ATTEMPTS = 50  # for one accepted connection, each after a pause


@dataclass(frozen=True, slots=True)
class AcceptProblem:
    """A failed accept, or an accepted connection that could not be set up."""

    call: str  # "accept" or "set_up"
    error: int  # errno, 0 if the system gave none
    retry_in_s: float  # 0: `accept` is called again at once; the connection of a failed set-up was closed

    @property
    def name(self) -> str:
        """The symbolic name of the error."""
        return errno.errorcode.get(self.error, str(self.error))

    def log_fields(self) -> dict[str, object]:
        """Return the fields of the log event `accept.failed`."""
        return {
            "call": self.call,
            "error": self.name,
            "text": os.strerror(self.error),
            "retry_in_s": self.retry_in_s,
        }


@dataclass(slots=True)
class _Accepted:
    """An accepted connection whose transport is not set up yet."""

    connected: socket.socket
    address: Any
    attempts: int = 1


class Listener(tcp.Port):
    """A listening port of timestamped connections.

    `may_accept` is called before connections are accepted. While it returns False, connections wait in the
    backlog, the cheapest place while the process cannot keep up with the connections that it has.
    `on_descriptors_out` is called to free a descriptor by closing an idle connection; its argument is whether
    the shortage has lasted. `on_problem` receives each failed accept or set-up.
    """

    transport = TimestampedServer  # type: ignore[assignment]
    may_accept: Callable[[], bool] | None = None
    on_problem: Callable[[AcceptProblem], None] | None = None
    on_descriptors_out: Callable[[bool], None] | None = None

    def __init__(
        self, port: int, factory: ProtocolFactory, backlog: int, interface: str, reactor: Reactor
    ) -> None:
        super().__init__(port, factory, backlog, interface, reactor)
        self.accepts_per_turn = ACCEPTS_PER_TURN
        self.retry = AcceptRetry()
        self._not_set_up: deque[_Accepted] = deque()
        self._paused = False

    def doRead(self) -> None:
        """Accept up to `accepts_per_turn` connections, or pause while accepting is not permitted."""
        if self.may_accept is not None and not self.may_accept():
            self._pause(OVERLOAD_CHECK_S)
            return
        for _ in range(self.accepts_per_turn):
            if not self._accept_next():
                return

    def accept_all(self) -> bool:
        """Accept the whole backlog, so that closing the port disconnects no client.

        Return False if a shortage leaves connections in the backlog; the caller then has to call again.
        """
        while self.connected:
            if not self._accept_next():
                break
        return not self._not_set_up and not self._has_backlog()

    def _has_backlog(self) -> bool:
        """Return whether the kernel reports a connection in the backlog."""
        if not self.connected:
            return False
        poller = select.poll()
        poller.register(self.fileno(), select.POLLIN)
        try:
            return bool(poller.poll(0))
        except OSError:  # unknown: the caller has to check again
            return True

    def _accept_next(self) -> bool:
        """Accept one connection; return whether to call `accept` again at once."""
        try:
            connected, address = self.socket.accept()
        except OSError as error:
            return self._accept_failed(error.errno or 0)
        self.retry.succeeded()
        self._set_up(_Accepted(connected, address))
        return True

    def _accept_failed(self, error: int) -> bool:
        failure = self.retry.failed(error)
        if failure is AcceptFailure.BACKLOG_EMPTY:
            return False
        if failure is AcceptFailure.NEXT:
            self._report(AcceptProblem("accept", error, 0.0))
            return True
        if error in OUT_OF_DESCRIPTORS and self.on_descriptors_out is not None:
            self.on_descriptors_out(self.retry.lasting)
        pause_s = self.retry.next_pause()
        self._report(AcceptProblem("accept", error, pause_s))
        self._pause(pause_s)
        return False

    def _set_up(self, accepted: _Accepted) -> None:
        factory: Any = self.factory
        protocol: Any = factory.buildProtocol(self._buildAddr(accepted.address))
        if protocol is None:
            accepted.connected.close()
            return
        session = self.sessionno
        self.sessionno = session + 1
        try:
            transport = self.transport(
                accepted.connected, protocol, accepted.address, self, session, self.reactor
            )
        except OSError as error:
            self._set_up_failed(accepted, error.errno or 0)
            return
        try:
            protocol.makeConnection(transport)
        except Exception:
            # The reactor would close the listener on an exception raised here.
            log.err(None, "a new connection's protocol failed")
            transport.abortConnection()

    def _set_up_failed(self, accepted: _Accepted, error: int) -> None:
        if accepted.attempts >= SET_UP_ATTEMPTS:
            self._report(AcceptProblem("set_up", error, 0.0))
            accepted.connected.close()
            return
        accepted.attempts += 1
        pause_s = self.retry.next_pause()
        self._report(AcceptProblem("set_up", error, pause_s))
        self._not_set_up.append(accepted)
        self.reactor.callLater(pause_s, self._set_up_again)

    def _set_up_again(self) -> None:
        if self._not_set_up:
            self._set_up(self._not_set_up.popleft())

    def _pause(self, seconds: float) -> None:
        self.stopReading()
        if not self._paused:
            self._paused = True
            self.reactor.callLater(seconds, self._resume)

    def _resume(self) -> None:
        self._paused = False
        if self.connected and not self.disconnecting:
            self.startReading()

    def _report(self, problem: AcceptProblem) -> None:
        if self.on_problem is not None:
            self.on_problem(problem)


def listen(reactor: Reactor, port: int, factory: ProtocolFactory, interface: str, backlog: int) -> Listener:
    """Open a listening port, like `reactor.listenTCP`; raises CannotListenError."""
    opened = Listener(port, factory, backlog, interface, reactor)
    opened.startListening()
    return opened


def adopt(reactor: Reactor, descriptor: int, factory: ProtocolFactory) -> Listener:
    """Take over a listening IPv4 socket, like `reactor.adoptStreamPort`."""
    opened: Listener = Listener._fromListeningDescriptor(reactor, descriptor, socket.AF_INET, factory)
    opened.startListening()
    return opened
