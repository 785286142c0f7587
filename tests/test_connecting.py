"""A local shortage delays an outgoing connection and is not reported as a failure of the other side."""

from __future__ import annotations

import errno
import os

import pytest
from twisted.internet.error import ConnectBindError, ConnectionRefusedError, getConnectError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from sedgepitch.net.connecting import OutgoingConnection
from sedgepitch.net.shortage import LOCAL_SHORTAGE, PAUSE_MIN_S


class Connector:
    """Counts calls of `connect`."""

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
def test_a_local_shortage_is_retried_after_a_pause_until_the_time_limit(error, call):
    failed = []
    outgoing, connector = OutgoingConnection(lambda: None, failed.append, retry_within_s=0.1), Connector()
    outgoing.clientConnectionFailed(connector, failure(error, call))
    connector.reactor.advance(PAUSE_MIN_S / 2)
    assert connector.connects == 0 and not failed
    connector.reactor.advance(PAUSE_MIN_S)
    assert connector.connects == 1
    for _ in range(100):
        outgoing.clientConnectionFailed(connector, failure(error, call))
        if failed:
            break
        connector.reactor.advance(1.0)
    assert len(failed) == 1 and 2 < connector.connects < 100


def test_a_failure_of_the_other_side_is_reported_at_once():
    failed = []
    outgoing, connector = OutgoingConnection(lambda: None, failed.append, retry_within_s=10.0), Connector()
    outgoing.clientConnectionFailed(connector, Failure(ConnectionRefusedError(errno.ECONNREFUSED)))
    connector.reactor.advance(20.0)
    assert len(failed) == 1 and connector.connects == 0


def test_a_connection_cancelled_during_a_pause_is_not_opened():
    failed = []
    outgoing, connector = OutgoingConnection(lambda: None, failed.append, retry_within_s=10.0), Connector()
    outgoing.connector = connector
    outgoing.clientConnectionFailed(connector, failure(errno.EMFILE, "socket"))
    outgoing.cancel()
    connector.reactor.advance(20.0)
    assert not failed and connector.connects == 0
