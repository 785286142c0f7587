"""The upstream side of the PostgreSQL protocol: outcomes of replies and malformed replies."""

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

STARTUP_REPLY = codec.STARTUP_RESPONSE + codec.parameter("server_role", "reader") + codec.READY
POSITION_REPORT = codec.parameter("server_role", "writer") + codec.parameter("commit_clock", "1001000500")


class Exchange:
    """One endpoint connection with a statement in flight, and the recorded callbacks."""

    def __init__(self, payload=None) -> None:
        proxy = PostgresqlProxy()
        self.clock = proxy.clock
        limits = PoolLimits(discard_timeout=0.0)
        self.upstream = PostgresUpstream(None, proxy.clock, limits, DescriptorBudget(0), WALL, 0.25)
        self.ready, self.lost, self.replies = [], [], []
        self.transport = Wire()
        callbacks = ConnectionCallbacks(
            self.ready.append, self.lost.append, self.lost.append, lambda arrived: None
        )
        self.connection = EndpointConnection(SessionNames(), proxy.clock.now, callbacks)
        self.connection.makeConnection(self.transport)
        self.connection.dataReceived(STARTUP_REPLY)
        self.transport.clear()
        self.payload = payload or statements.read(read(1)[5:-1], NAMED)
        self.set_deadline(0.5)
        self.connection.start(self.payload, self.replies.append)

    def set_deadline(self, seconds: float) -> None:
        if not isinstance(self.payload, HealthCheckQuery):
            self.payload.deadline = self.clock.now() + seconds

    def outcome(self):
        """Return the outcome of the only reply."""
        (reply,) = self.replies
        return self.upstream.outcome(1, self.payload, reply)


def test_a_statement_is_sent_completely_and_its_row_is_the_reply():
    exchange = Exchange()
    assert exchange.ready and exchange.transport.value() == read(1, d="500")
    exchange.connection.dataReceived(
        ROW + POSITION_REPORT + codec.parameter("usage", "queue=7,x0=1001000.4,x1=1") + codec.READY
    )
    outcome = exchange.outcome()
    assert (outcome.result, outcome.reply, outcome.primary) == (AttemptResult.OK, ROW, True)
    assert outcome.position == pytest.approx(1000.5)
    assert (outcome.report.load, outcome.report.primary) == (7.0, True)
    assert outcome.report.position == pytest.approx(1000.4)
    assert exchange.connection.usable()


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
def test_each_sqlstate_maps_to_its_outcome(code, result):
    exchange = Exchange()
    exchange.connection.dataReceived(codec.error(code, "no") + POSITION_REPORT + codec.READY)
    outcome = exchange.outcome()
    assert outcome.result is result and outcome.reply is None and outcome.primary is True
    assert exchange.connection.usable()


def test_a_fatal_error_is_complete_without_ready_for_query():
    exchange = Exchange()
    exchange.connection.dataReceived(codec.error("53300", "no", fatal=True))
    assert exchange.outcome().result is AttemptResult.OVERLOADED
    assert not exchange.connection.usable()


def test_a_connection_lost_before_a_complete_reply_delivers_none():
    exchange = Exchange()
    exchange.connection.dataReceived(ROW[:-3])
    exchange.connection.connectionLost()
    assert not exchange.replies and exchange.lost


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
def test_a_malformed_reply_is_an_error_and_its_connection_is_closed(data):
    exchange = Exchange()
    exchange.connection.dataReceived(data)
    outcome = exchange.outcome()
    assert outcome.result is AttemptResult.ERROR and outcome.reply is None and "spoilt" in outcome.why
    assert exchange.transport.aborted and not exchange.connection.usable()


@pytest.mark.parametrize("extra", [b"noise", ROW + codec.READY, codec.READY, b"\xff"])
def test_a_valid_reply_followed_by_extra_bytes_is_used_and_its_connection_is_closed(extra):
    for together in (True, False):
        exchange = Exchange()
        exchange.connection.dataReceived(ROW + POSITION_REPORT + codec.READY + (extra if together else b""))
        if not together:
            exchange.connection.dataReceived(extra)
        assert exchange.outcome().reply == ROW
        assert not exchange.connection.usable()


def test_a_row_that_is_complete_when_the_connection_is_lost_is_used():
    exchange = Exchange()
    exchange.connection.dataReceived(ROW)
    exchange.connection.connectionLost()
    assert exchange.outcome().reply == ROW


@given(st.binary(max_size=300), st.integers(0, 200))
def test_arbitrary_input_gives_at_most_one_outcome_and_only_complete_rows(random_bytes, kept_bytes):
    exchange = Exchange()
    valid = ROW + POSITION_REPORT + codec.READY
    exchange.connection.dataReceived(valid[:kept_bytes] + random_bytes)
    assert len(exchange.replies) <= 1
    if exchange.replies and (outcome := exchange.outcome()).reply is not None:
        assert (
            codec.one_value(outcome.reply[len(codec.row_description()) : -len(codec.complete("SELECT 1"))])
            is not None
        )


def test_an_unreadable_load_report_does_not_affect_the_reply():
    for usage in ("", "junk", "queue=nan,x0=,=5", "queue=" + "9" * 400, "\xff\xfe"):
        exchange = Exchange()
        exchange.connection.dataReceived(ROW + codec.parameter("usage", usage) + codec.READY)
        outcome = exchange.outcome()
        assert outcome.result is AttemptResult.OK and (outcome.report is None or outcome.report.load is None)
    assert read_load_report(b"inflight=7,util=0.61") == {"inflight": 7.0, "util": 0.61}


def test_a_health_check_parses_the_row_as_a_load_report():
    exchange = Exchange(HealthCheckQuery())
    row = codec.row_description() + codec.data_row(b"queue=3,x0=1001000.25,x1=0") + codec.complete("SHOW")
    exchange.connection.dataReceived(row + codec.READY)
    outcome = exchange.outcome()
    assert outcome.result is AttemptResult.OK and outcome.reply is None
    assert outcome.report.position == pytest.approx(1000.25) and outcome.report.primary is False


def test_a_large_row_in_pieces_is_reassembled_and_one_above_the_limit_is_malformed():
    row = codec.row_description() + codec.data_row(b"v" * 400_000) + codec.complete("SELECT 1")
    exchange = Exchange()
    for at in range(0, len(row), 50_000):
        exchange.connection.dataReceived(row[at : at + 50_000])
    exchange.connection.dataReceived(codec.READY)
    assert exchange.outcome().reply == row
    exchange = Exchange()
    exchange.connection.dataReceived(
        codec.row_description() + struct.pack("!ci", b"D", codec.ROW_BYTES_MAX + 17)
    )
    assert exchange.outcome().result is AttemptResult.ERROR
