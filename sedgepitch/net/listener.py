"""A listening port that closes nothing which waits in its backlog, whatever `accept` says.

Twisted's `Port` answers EMFILE by accepting and closing everything in the backlog, to tell clients of the
shortage at once. Here a client in the backlog may have sent a request already, which would be lost with its
connection; so connections stay where they are until they can be accepted (`net/accepting.py`).

An accepted connection whose transport cannot be set up for a moment (no memory for a descriptor's flags or
for the poller) is kept and set up a little later.
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

from sedgepitch.net.accepting import DESCRIPTORS_OUT, AcceptFailure, AcceptRetry
from sedgepitch.net.transport import StampedServer

LOOK_AGAIN = 0.05  # s between looks at connections that are not accepted while this process is overloaded
ACCEPTS_PER_TURN = 64  # so that a burst of connections does not keep established ones waiting
SET_UP_TRIES = 50  # for one accepted connection, each after a pause


@dataclass(frozen=True, slots=True)
class AcceptProblem:
    """A failed accept, or an accepted connection that could not be set up, as it is logged."""

    call: str  # "accept" or "set_up"
    error: int  # errno, 0 where the system gave none
    pause: float  # s until the next try, 0 where it is made at once

    @property
    def name(self) -> str:
        """The symbolic name of the error."""
        return errno.errorcode.get(self.error, str(self.error))

    @property
    def text(self) -> str:
        """The system's words for the error."""
        return os.strerror(self.error)


@dataclass(slots=True)
class _Accepted:
    """An accepted connection whose transport could not be set up yet."""

    held: socket.socket
    address: Any
    tries: int = 1


class Listener(tcp.Port):
    """A listening port of stamped connections. `may_accept` is asked before connections are accepted.

    Those that are not accepted wait in the system's backlog: the cheapest place for a process that cannot
    read what it already has.
    """

    transport = StampedServer  # type: ignore[assignment]
    may_accept: Callable[[], bool] | None = None
    on_problem: Callable[[AcceptProblem], None] | None = None
    # Called where descriptors are out, to free one by closing what is idle; told whether that has lasted.
    on_descriptors_out: Callable[[bool], None] | None = None

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.accepts_per_turn = ACCEPTS_PER_TURN
        self.retry = AcceptRetry()
        self._unset: deque[_Accepted] = deque()
        self._pausing = False

    def doRead(self) -> None:
        """Accept what waits, as much as one turn may take, or look again a little later."""
        if self.may_accept is not None and not self.may_accept():
            self._pause(LOOK_AGAIN)
            return
        for _ in range(self.accepts_per_turn):
            if not self._accept_next():
                return

    def accept_all(self) -> bool:
        """Accept whatever waits in the backlog, so that closing the port cuts off nobody who is connected.

        Returns False where a shortage leaves something there: to be called again.
        """
        while self.connected:
            if not self._accept_next():
                break
        return not self._unset and not self._client_waits()

    def _client_waits(self) -> bool:
        """Whether a connection is in the backlog, as the system sees it."""
        if not self.connected:
            return False
        asked = select.poll()
        asked.register(self.fileno(), select.POLLIN)
        try:
            return bool(asked.poll(0))
        except OSError:  # not known now: to be asked again
            return True

    def _accept_next(self) -> bool:
        """Accept one connection; returns whether to go on."""
        try:
            held, address = self.socket.accept()
        except OSError as error:
            return self._accept_failed(error.errno or 0)
        self.retry.succeeded()
        self._set_up(_Accepted(held, address))
        return True

    def _accept_failed(self, error: int) -> bool:
        failure = self.retry.failed(error)
        if failure is AcceptFailure.NOTHING_WAITS:
            return False
        if failure is AcceptFailure.NEXT:
            self._report(AcceptProblem("accept", error, 0.0))
            return True
        if error in DESCRIPTORS_OUT and self.on_descriptors_out is not None:
            self.on_descriptors_out(self.retry.lasting)
        pause = self.retry.next_pause()
        self._report(AcceptProblem("accept", error, pause))
        self._pause(pause)
        return False

    def _set_up(self, accepted: _Accepted) -> None:
        held, address = accepted.held, accepted.address
        factory: Any = self.factory
        protocol: Any = factory.buildProtocol(self._buildAddr(address))
        if protocol is None:
            held.close()
            return
        session = self.sessionno
        self.sessionno = session + 1
        try:
            opened = self.transport(held, protocol, address, self, session, self.reactor)
        except OSError as error:
            self._set_up_failed(accepted, error.errno or 0)
            return
        try:
            protocol.makeConnection(opened)
        except Exception:
            # An exception here must not end the listener, which is what the reactor would do.
            log.err(None, "a new connection's protocol failed")
            opened.abortConnection()

    def _set_up_failed(self, accepted: _Accepted, error: int) -> None:
        if accepted.tries >= SET_UP_TRIES:
            self._report(AcceptProblem("set_up", error, 0.0))
            accepted.held.close()
            return
        accepted.tries += 1
        pause = self.retry.next_pause()
        self._report(AcceptProblem("set_up", error, pause))
        self._unset.append(accepted)
        self.reactor.callLater(pause, self._set_up_again)

    def _set_up_again(self) -> None:
        if self._unset:
            self._set_up(self._unset.popleft())

    def _pause(self, seconds: float) -> None:
        self.stopReading()
        if not self._pausing:
            self._pausing = True
            self.reactor.callLater(seconds, self._resume)

    def _resume(self) -> None:
        self._pausing = False
        if self.connected and not self.disconnecting:
            self.startReading()

    def _report(self, problem: AcceptProblem) -> None:
        if self.on_problem is not None:
            self.on_problem(problem)


def listen(reactor: Any, port: int, factory: Any, interface: str, backlog: int) -> Listener:
    """Open a port, like `reactor.listenTCP`; raises CannotListenError."""
    opened = Listener(port, factory, backlog, interface, reactor)
    opened.startListening()
    return opened


def adopt(reactor: Any, descriptor: int, factory: Any) -> Listener:
    """Take over a listening IPv4 socket, like `reactor.adoptStreamPort`."""
    opened: Listener = Listener._fromListeningDescriptor(reactor, descriptor, socket.AF_INET, factory)
    opened.startListening()
    return opened
