"""The upstream side of the platform's protocol: outcomes by the platform's table, and malformed answers."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.core.connection_pool import PoolLimits
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.protocols.postgresql import codec, statements
from sedgepitch.protocols.postgresql.endpoint_connection import (
    ConnectionCallbacks,
    EndpointConnection,
    HealthCheckQuery,
    SessionNames,
)
from sedgepitch.protocols.postgresql.reply import read_load_report
from sedgepitch.protocols.postgresql.upstream import PostgresUpstream
from sedgepitch.routing.messages import AttemptResult
from tests.support.postgresql_harness import ROW, WALL, PostgresqlProxy, Wire, read
from tests.test_postgresql_codec import NAMED

GREETING = codec.STARTUP_RESPONSE + codec.parameter("server_role", "reader") + codec.READY
NOTES = codec.parameter("server_role", "writer") + codec.parameter("commit_clock", "1001000500")


class Played:
    """One connection to a member, and what came of the exchange on it."""

    def __init__(self, payload=None) -> None:
        proxy = PostgresqlProxy()
        self.clock = proxy.clock
        limits = PoolLimits(discard_timeout=0.0)
        self.endpoints = PostgresUpstream(None, proxy.clock, limits, DescriptorBudget(0), WALL, 0.25)
        self.ready, self.ended, self.replies = [], [], []
        self.wire = Wire()
        callbacks = ConnectionCallbacks(
            self.ready.append, self.ended.append, self.ended.append, lambda arrived: None
        )
        self.connection = EndpointConnection(SessionNames(), proxy.clock.now, callbacks)
        self.connection.makeConnection(self.wire)
        self.connection.dataReceived(GREETING)
        self.wire.clear()
        self.payload = payload or statements.read(read(1)[5:-1], NAMED)
        self.payload_until(0.5)
        self.connection.start(self.payload, self.replies.append)

    def payload_until(self, seconds: float) -> None:
        if not isinstance(self.payload, HealthCheckQuery):
            self.payload.deadline = self.clock.now() + seconds

    def end(self):
        """The outcome, which must be the only one."""
        (reply,) = self.replies
        return self.endpoints.outcome(1, self.payload, reply)


def test_a_statement_is_written_whole_and_its_row_served():
    played = Played()
    assert played.ready and played.wire.value() == read(1, d="500")
    played.connection.dataReceived(
        ROW + NOTES + codec.parameter("usage", "queue=7,x0=1001000.4,x1=1") + codec.READY
    )
    end = played.end()
    assert (end.result, end.reply, end.primary) == (AttemptResult.OK, ROW, True)
    assert end.position == pytest.approx(1000.5)
    assert (end.report.load, end.report.primary) == (7.0, True)
    assert end.report.position == pytest.approx(1000.4)
    assert played.connection.usable()


@pytest.mark.parametrize(
    ("code", "result"),
    [
        ("25006", AttemptResult.NOT_ELIGIBLE),
        ("72000", AttemptResult.NOT_ELIGIBLE),
        ("XX000", AttemptResult.ERROR),
        ("53300", AttemptResult.OVERLOADED),
        ("08P01", AttemptResult.ERROR),
    ],
)
def test_errors_are_the_outcomes_of_the_platforms_table(code, result):
    played = Played()
    played.connection.dataReceived(codec.error(code, "no") + NOTES + codec.READY)
    end = played.end()
    assert end.result is result and end.reply is None and end.primary is True
    assert played.connection.usable()


def test_a_fatal_error_needs_nothing_behind_it():
    played = Played()
    played.connection.dataReceived(codec.error("53300", "no", fatal=True))
    assert played.end().result is AttemptResult.OVERLOADED
    assert not played.connection.usable()


def test_a_connection_that_ends_under_a_statement_tells_no_reply():
    played = Played()
    played.connection.dataReceived(ROW[:-3])
    played.connection.connectionLost()
    assert not played.replies and played.ended


MALFORMED = [
    b"\x00noise\xff" * 20,
    struct.pack("!ci", b"D", 2**31 - 1),
    struct.pack("!ci", b"D", -1_294_967_296),
    codec.data_row(b"value") + codec.READY,
    codec.row_description() + codec.READY,
    codec.READY,
    codec.row_description() + codec.message(b"D", b"\0\1" + struct.pack("!i", 50) + b"short") + codec.READY,
    codec.row_description() + 2 * codec.data_row(b"value") + codec.complete("SELECT 2") + codec.READY,
    codec.message(b"T", b"\0\2" + 2 * codec.row_description()[7:]) + codec.READY,
    codec.row_description() + codec.error("XX000", "no") + codec.data_row(b"v") + codec.READY,
    codec.error("toolong", "no") + codec.READY,
    codec.row_description() + codec.data_row(b"value") + codec.message(b"C", b"no end") + codec.READY,
    50 * codec.parameter("usage", "x=1"),
]


@pytest.mark.parametrize("data", MALFORMED)
def test_a_malformed_answer_is_an_attempt_that_may_have_run_on_a_connection_not_used_again(data):
    played = Played()
    played.connection.dataReceived(data)
    end = played.end()
    assert end.result is AttemptResult.ERROR and end.reply is None and "spoilt" in end.why
    assert played.wire.aborted and not played.connection.usable()


@pytest.mark.parametrize("dirt", [b"noise", ROW + codec.READY, codec.READY, b"\xff"])
def test_a_good_answer_with_dirt_behind_is_served_and_its_connection_not_used_again(dirt):
    for together in (True, False):
        played = Played()
        played.connection.dataReceived(ROW + NOTES + codec.READY + (dirt if together else b""))
        if not together:
            played.connection.dataReceived(dirt)
        assert played.end().reply == ROW
        assert not played.connection.usable()


def test_a_row_that_was_whole_when_the_connection_ended_is_served():
    played = Played()
    played.connection.dataReceived(ROW)
    played.connection.connectionLost()
    assert played.end().reply == ROW


@given(st.binary(max_size=300), st.integers(0, 200))
def test_whatever_comes_is_one_outcome_and_only_a_whole_row_is_served(noise, keep):
    played = Played()
    good = ROW + NOTES + codec.READY
    played.connection.dataReceived(good[:keep] + noise)
    assert len(played.replies) <= 1
    if played.replies and (end := played.end()).reply is not None:
        assert (
            codec.one_value(end.reply[len(codec.row_description()) : -len(codec.complete("SELECT 1"))])
            is not None
        )


def test_a_report_that_does_not_read_costs_the_report_only():
    for usage in ("", "junk", "queue=nan,x0=,=5", "queue=" + "9" * 400, "\xff\xfe"):
        played = Played()
        played.connection.dataReceived(ROW + codec.parameter("usage", usage) + codec.READY)
        end = played.end()
        assert end.result is AttemptResult.OK and (end.report is None or end.report.load is None)
    assert read_load_report(b"inflight=7,util=0.61") == {"inflight": 7.0, "util": 0.61}


def test_a_health_check_reads_the_row_as_a_report():
    played = Played(HealthCheckQuery())
    row = codec.row_description() + codec.data_row(b"queue=3,x0=1001000.25,x1=0") + codec.complete("SHOW")
    played.connection.dataReceived(row + codec.READY)
    end = played.end()
    assert end.result is AttemptResult.OK and end.reply is None
    assert end.report.position == pytest.approx(1000.25) and end.report.primary is False


def test_a_large_row_in_pieces_is_served_whole_and_one_beyond_the_bound_is_malformed():
    row = codec.row_description() + codec.data_row(b"v" * 400_000) + codec.complete("SELECT 1")
    played = Played()
    for at in range(0, len(row), 50_000):
        played.connection.dataReceived(row[at : at + 50_000])
    played.connection.dataReceived(codec.READY)
    assert played.end().reply == row
    played = Played()
    played.connection.dataReceived(
        codec.row_description() + struct.pack("!ci", b"D", codec.ROW_BYTES_MAX + 17)
    )
    assert played.end().result is AttemptResult.ERROR
