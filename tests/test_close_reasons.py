"""Close reasons of client connections: all are counted, unusual ones are reported."""

from __future__ import annotations

import errno

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from sedgepitch.net.transport import ReadFailed, SocketFailed
from sedgepitch.protocols.postgresql.close_reasons import CloseLog, CloseReason, CloseReport
from sedgepitch.routing.messages import AttemptResult
from tests.support.postgresql_harness import PostgresqlProxy, read


def report(reason: CloseReason, request: str = "", unexecuted_bytes: int = 0) -> CloseReport:
    return CloseReport(1, reason, "", request, 0, unexecuted_bytes, 1.0)


@pytest.mark.parametrize(
    ("closed", "reported"),
    [
        (report(CloseReason.PEER_CLOSED, request="1"), False),
        (report(CloseReason.PEER_RESET, request="1"), False),
        (report(CloseReason.SHUTDOWN), False),
        (report(CloseReason.SHUTDOWN, request="1"), True),
        (report(CloseReason.IDLE_LIMIT, unexecuted_bytes=3), True),
        (report(CloseReason.EVICTED), True),
        (report(CloseReason.CONNECTION_FAILED), True),
        (report(CloseReason.INTERNAL_ERROR), True),
    ],
)
def test_only_unusual_closes_are_reported_and_all_are_counted(closed, reported):
    reports = []
    log = CloseLog(reports.append)
    log.closed(closed)
    assert reports == ([closed] if reported else [])
    assert log.counts == {closed.reason: 1} and log.with_request == bool(closed.request)
    assert log.summary() == f"{closed.reason.value}:1"


@pytest.mark.parametrize(
    ("error", "reason"),
    [
        (ConnectionDone(), CloseReason.PEER_CLOSED),
        (ConnectionLost(), CloseReason.PEER_RESET),
        (ReadFailed(errno.ECONNRESET), CloseReason.PEER_RESET),
        (ReadFailed(errno.ENOMEM), CloseReason.CONNECTION_FAILED),
        (SocketFailed(errno.ETIMEDOUT), CloseReason.CONNECTION_FAILED),
        (ValueError("a fault"), CloseReason.INTERNAL_ERROR),
    ],
)
def test_a_lost_connection_is_counted_by_cause_and_reported_with_its_request(error, reason):
    proxy = PostgresqlProxy()
    reports = []
    proxy.listener.closes.report = reports.append
    connection, _ = proxy.client()
    connection.dataReceived(read(1, d="60000"))
    proxy.turn()
    connection.connectionLost(Failure(error))
    assert proxy.listener.closes.counts == {reason: 1} and proxy.listener.closes.with_request == 1
    for entry in reports:
        assert entry.request and entry.attempts == 1 and str(error) in entry.detail


def test_a_close_reports_the_state_and_the_missing_bytes_of_an_incomplete_message():
    # Guards against a close that does not tell whether the request had been read (incident a29244).
    proxy = PostgresqlProxy()
    reports = []
    proxy.listener.closes.report = reports.append
    connection, _ = proxy.client()
    connection.dataReceived(read(1)[:-3])
    proxy.turn(0.1)  # the client has stopped
    connection.time_out()
    connection.connectionLost(Failure(ConnectionDone()))
    (closed,) = reports
    assert (closed.reason, closed.state, closed.missing_bytes) == (CloseReason.INPUT_TIMEOUT, "ready", 3)
    assert closed.socket_bytes == 0


def test_answers_other_than_served_are_counted_by_reason_without_numbers():
    proxy = PostgresqlProxy()
    for number in (1, 2):
        connection, _ = proxy.client()
        connection.dataReceived(read(number))
        proxy.turn()
        proxy.answer(result=AttemptResult.ERROR)
        proxy.turn(1.0)
    counts = proxy.listener.answers.counts
    assert sum(counts.values()) == 2 and not any(character.isdigit() for key in counts for character in key)
    assert proxy.listener.answers.summary() != "none"
