"""A listener whose system calls fail neither closes nor loses a connection in its backlog."""

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
    """A fake clock with the set of readers."""

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
    """A listening socket whose next `accept` calls fail with the given errors."""

    def __init__(self, wrapped: socket.socket, errors: list[int]) -> None:
        self.wrapped, self.errors = wrapped, errors

    def accept(self):
        if self.errors:
            error = self.errors.pop(0)
            raise OSError(error, os.strerror(error))
        return self.wrapped.accept()

    def __getattr__(self, name):
        return getattr(self.wrapped, name)


class ListenerFixture:
    """A listener on loopback with clients in its backlog."""

    def __init__(self, clients: int, errors: list[int]) -> None:
        self.reactor, self.protocols, self.problems = Reactor(), [], []
        factory = Factory.forProtocol(Protocol)
        factory.buildProtocol = self.build
        self.port = Listener(0, factory, 50, "127.0.0.1", self.reactor)
        self.port.startListening()
        self.port.on_problem = self.problems.append
        address = self.port.socket.getsockname()
        self.clients = [socket.create_connection(address) for _ in range(clients)]
        self.port.socket = FailingSocket(self.port.socket, errors)

    def build(self, address):
        self.protocols.append(Protocol())
        return self.protocols[-1]

    def accepted(self) -> int:
        return sum(protocol.transport is not None for protocol in self.protocols)

    def close(self) -> None:
        for client in self.clients:
            client.close()
        self.port.socket.wrapped.close()


@pytest.fixture
def make_listener():
    opened = []

    def build(clients: int, errors: list[int]) -> ListenerFixture:
        opened.append(ListenerFixture(clients, errors))
        return opened[-1]

    yield build
    for listener in opened:
        listener.close()


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENOBUFS, errno.EAGAIN], ids=errno.errorcode.get)
def test_accept_all_returns_false_while_the_backlog_is_not_empty(make_listener, error):
    fixture = make_listener(3, [error])
    assert not fixture.port.accept_all() and fixture.accepted() == 0
    assert fixture.port.accept_all() and fixture.accepted() == 3


def test_accept_all_returns_if_every_call_fails(make_listener):
    fixture = make_listener(1, [errno.ECONNABORTED] * 1000)
    assert not fixture.port.accept_all() and fixture.accepted() == 0


def test_a_shortage_pauses_the_listener(make_listener):
    fixture = make_listener(2, [errno.EMFILE])
    freed = []
    fixture.port.on_descriptors_out = freed.append
    fixture.port.doRead()
    assert fixture.port not in fixture.reactor.readers and freed == [False]
    assert [problem.name for problem in fixture.problems] == ["EMFILE"]
    fixture.reactor.advance(PAUSE_MIN_S)
    assert fixture.port in fixture.reactor.readers
    fixture.port.doRead()
    assert fixture.accepted() == 2


def test_after_a_failed_connection_the_others_are_accepted_in_the_same_turn(make_listener):
    fixture = make_listener(2, [errno.ECONNABORTED, errno.EPROTO])
    fixture.port.doRead()
    assert fixture.accepted() == 2 and fixture.port in fixture.reactor.readers


def test_an_accepted_connection_that_cannot_be_set_up_is_retried(make_listener, monkeypatch):
    fixture = make_listener(1, [])
    failures = [OSError(errno.ENOMEM, "no memory")] * 2
    original = fixture.port.transport

    def transport(*args):
        if failures:
            raise failures.pop()
        return original(*args)

    monkeypatch.setattr(fixture.port, "transport", transport)
    fixture.port.doRead()
    assert (
        fixture.accepted() == 0 and not fixture.port.accept_all()
    ), "one accepted connection is not set up yet"
    fixture.reactor.pump([1.0] * 4)
    assert fixture.accepted() == 1 and fixture.port.accept_all()


def test_an_accepted_connection_that_can_never_be_set_up_is_closed(make_listener, monkeypatch):
    fixture = make_listener(1, [])

    def transport(*args):
        raise OSError(errno.ENOMEM, "no memory")

    monkeypatch.setattr(fixture.port, "transport", transport)
    fixture.port.doRead()
    fixture.reactor.pump([1.0] * (SET_UP_ATTEMPTS + 1))
    assert len(fixture.problems) == SET_UP_ATTEMPTS and fixture.clients[0].recv(1) == b""


def test_a_protocol_that_raises_loses_its_connection_and_not_the_listener(make_listener, monkeypatch):
    fixture = make_listener(2, [])
    logged = []
    monkeypatch.setattr(listening.log, "err", lambda *args: logged.append(args))

    def raise_once(self, transport, calls=[]) -> None:  # noqa: B006 (counts calls)
        calls.append(True)
        if len(calls) == 1:
            raise ValueError("injected fault")
        self.transport = transport

    monkeypatch.setattr(Protocol, "makeConnection", raise_once)
    fixture.port.doRead()
    assert fixture.accepted() == 1 and len(logged) == 1 and fixture.port in fixture.reactor.readers
