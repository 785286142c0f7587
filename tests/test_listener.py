"""A listener whose calls fail: nothing in its backlog is closed or forgotten."""

from __future__ import annotations

import errno
import os
import socket

import pytest
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock

from sedgepitch.net import listener as listening
from sedgepitch.net.listener import SET_UP_ATTEMPTS, Listener
from sedgepitch.net.shortage import PAUSE_MIN_S


class Reactor(Clock):
    """A clock, and the set of readers."""

    def __init__(self) -> None:
        super().__init__()
        self.readers = set()

    def addReader(self, reader) -> None:  # noqa: N802 (the reactor's name)
        self.readers.add(reader)

    def removeReader(self, reader) -> None:  # noqa: N802
        self.readers.discard(reader)

    def removeWriter(self, writer) -> None:  # noqa: N802
        pass


class FailingSocket:
    """A listening socket whose next accepts fail with these errors."""

    def __init__(self, held: socket.socket, errors: list[int]) -> None:
        self.held, self.errors = held, errors

    def accept(self):
        if self.errors:
            error = self.errors.pop(0)
            raise OSError(error, os.strerror(error))
        return self.held.accept()

    def __getattr__(self, name):
        return getattr(self.held, name)


class Stage:
    """A listener on loopback with clients in its backlog."""

    def __init__(self, clients: int, errors: list[int]) -> None:
        self.reactor, self.made, self.problems = Reactor(), [], []
        factory = Factory.forProtocol(Protocol)
        factory.buildProtocol = self.build
        self.port = Listener(0, factory, 50, "127.0.0.1", self.reactor)
        self.port.startListening()
        self.port.on_problem = self.problems.append
        address = self.port.socket.getsockname()
        self.clients = [socket.create_connection(address) for _ in range(clients)]
        self.port.socket = FailingSocket(self.port.socket, errors)

    def build(self, address):
        self.made.append(Protocol())
        return self.made[-1]

    def accepted(self) -> int:
        return sum(protocol.transport is not None for protocol in self.made)

    def close(self) -> None:
        for client in self.clients:
            client.close()
        self.port.socket.held.close()


@pytest.fixture
def stage():
    opened = []

    def build(clients: int, errors: list[int]) -> Stage:
        opened.append(Stage(clients, errors))
        return opened[-1]

    yield build
    for one in opened:
        one.close()


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENOBUFS, errno.EAGAIN], ids=errno.errorcode.get)
def test_accept_all_is_not_done_while_the_backlog_waits(stage, error):
    held = stage(3, [error])
    assert not held.port.accept_all() and held.accepted() == 0
    assert held.port.accept_all() and held.accepted() == 3


def test_accept_all_returns_if_every_call_fails(stage):
    held = stage(1, [errno.ECONNABORTED] * 1000)
    assert not held.port.accept_all() and held.accepted() == 0


def test_a_shortage_pauses_the_listener_for_a_while(stage):
    held = stage(2, [errno.EMFILE])
    freed = []
    held.port.on_descriptors_out = freed.append
    held.port.doRead()
    assert held.port not in held.reactor.readers and freed == [False]
    assert [problem.name for problem in held.problems] == ["EMFILE"]
    held.reactor.advance(PAUSE_MIN_S)
    assert held.port in held.reactor.readers
    held.port.doRead()
    assert held.accepted() == 2


def test_after_one_connections_failure_the_others_are_accepted_in_the_same_turn(stage):
    held = stage(2, [errno.ECONNABORTED, errno.EPROTO])
    held.port.doRead()
    assert held.accepted() == 2 and held.port in held.reactor.readers


def test_an_accepted_connection_that_cannot_be_set_up_is_retried(stage, monkeypatch):
    held = stage(1, [])
    failures = [OSError(errno.ENOMEM, "no memory")] * 2
    whole = held.port.transport

    def transport(*args):
        if failures:
            raise failures.pop()
        return whole(*args)

    monkeypatch.setattr(held.port, "transport", transport)
    held.port.doRead()
    assert held.accepted() == 0 and not held.port.accept_all(), "one accepted connection has no protocol yet"
    held.reactor.pump([1.0] * 4)
    assert held.accepted() == 1 and held.port.accept_all()


def test_an_accepted_connection_that_can_never_be_set_up_is_closed(stage, monkeypatch):
    held = stage(1, [])

    def transport(*args):
        raise OSError(errno.ENOMEM, "no memory")

    monkeypatch.setattr(held.port, "transport", transport)
    held.port.doRead()
    held.reactor.pump([1.0] * (SET_UP_ATTEMPTS + 1))
    assert len(held.problems) == SET_UP_ATTEMPTS and held.clients[0].recv(1) == b""


def test_a_protocol_that_raises_loses_its_connection_and_not_the_listener(stage, monkeypatch):
    held = stage(2, [])
    told = []
    monkeypatch.setattr(listening.log, "err", lambda *args: told.append(args))

    def raise_once(self, transport, calls=[]) -> None:  # noqa: B006 (counts calls)
        calls.append(True)
        if len(calls) == 1:
            raise ValueError("a fault")
        self.transport = transport

    monkeypatch.setattr(Protocol, "makeConnection", raise_once)
    held.port.doRead()
    assert held.accepted() == 1 and len(told) == 1 and held.port in held.reactor.readers
