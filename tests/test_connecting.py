"""A connection that this process's own shortage holds up is opened a little later, and blamed on nobody."""

from __future__ import annotations

import errno
import os

import pytest
from twisted.internet.error import ConnectBindError, ConnectionRefusedError, getConnectError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from sedgepitch.net.connecting import FIRST_PAUSE, LOCAL_SHORTAGE, Opening


class Connector:
    """Counts how often it is asked to connect."""

    def __init__(self) -> None:
        self.reactor = Clock()
        self.connects = 0

    def connect(self) -> None:
        self.connects += 1

    def disconnect(self) -> None:
        pass


def failure(error: int, call: str) -> Failure:
    if call == "socket":
        return Failure(ConnectBindError(error, os.strerror(error)))
    return Failure(getConnectError((error, os.strerror(error))))


@pytest.mark.parametrize("call", ["socket", "connect"])
@pytest.mark.parametrize("error", sorted(LOCAL_SHORTAGE), ids=errno.errorcode.get)
def test_a_shortage_is_tried_again_after_a_pause_and_fails_once_its_time_is_over(error, call):
    failed = []
    opening, connector = Opening(lambda: None, failed.append, within=0.1), Connector()
    opening.clientConnectionFailed(connector, failure(error, call))
    connector.reactor.advance(FIRST_PAUSE / 2)
    assert connector.connects == 0 and not failed
    connector.reactor.advance(FIRST_PAUSE)
    assert connector.connects == 1
    for _ in range(100):
        opening.clientConnectionFailed(connector, failure(error, call))
        if failed:
            break
        connector.reactor.advance(1.0)
    assert len(failed) == 1 and 2 < connector.connects < 100


def test_what_the_other_side_says_fails_at_once():
    failed = []
    opening, connector = Opening(lambda: None, failed.append, within=10.0), Connector()
    opening.clientConnectionFailed(connector, Failure(ConnectionRefusedError(errno.ECONNREFUSED)))
    connector.reactor.advance(20.0)
    assert len(failed) == 1 and connector.connects == 0


def test_given_up_while_it_pauses_it_does_not_connect():
    failed = []
    opening, connector = Opening(lambda: None, failed.append, within=10.0), Connector()
    opening.connector = connector
    opening.clientConnectionFailed(connector, failure(errno.EMFILE, "socket"))
    opening.give_up()
    connector.reactor.advance(20.0)
    assert not failed and connector.connects == 0
