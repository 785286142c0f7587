"""A connection that ends frees what it had received, at once and without a cycle collection."""

from __future__ import annotations

import json
import struct
import subprocess
import sys

import pytest

from sedgepitch.protocols.postgresql import codec
from tests.support.mongodb_harness import MongodbProxy
from tests.support.postgresql_harness import PostgresqlProxy
from tests.test_postgresql_upstream import Exchange

CASE_TIMEOUT_S = 60.0
SPOILT_ROW_BYTES = 1_000_000  # announced; all but 10 kB are sent
ROW_PART = codec.row_description() + codec.data_row(bytes(SPOILT_ROW_BYTES))[:-10_000]


@pytest.mark.parametrize(
    "kind",
    [
        "postgresql_abandoned",
        "postgresql_reset",
        "postgresql_openings",
        "mongodb_abandoned",
        "mongodb_openings",
        "watches",
        "postgresql_clients",
        "mongodb_clients",
    ],
)
def test_a_connection_that_ended_within_a_message_is_freed_without_cycle_collection(kind):
    # Guards against closed connections that refer to themselves and so keep their bytes (review/6).
    completed = subprocess.run(
        [sys.executable, "-m", "tests.support.closed_connections_case", kind],
        capture_output=True,
        text=True,
        timeout=CASE_TIMEOUT_S,
    )
    assert completed.returncode == 0, completed.stderr
    assert json.loads(completed.stdout) == {"opened": 5, "alive": 0}


def test_an_endpoint_connection_that_ended_has_dropped_its_part_of_a_reply():
    # Guards against bytes kept by a closed connection that something still refers to (review/6).
    exchange = Exchange()
    exchange.connection.dataReceived(ROW_PART)
    assert exchange.connection.reader.buffered_bytes > SPOILT_ROW_BYTES / 2
    exchange.connection.close()
    exchange.connection.connectionLost()
    assert not exchange.connection.reader.buffered_bytes and exchange.connection.reply is None
    assert exchange.lost == ["closed here"]


def test_a_client_connection_that_ended_has_dropped_its_part_of_a_statement():
    # Guards against bytes kept by a closed connection that something still refers to (review/6).
    proxy = PostgresqlProxy()
    connection, _ = proxy.client()
    connection.dataReceived(codec.query(bytes(100_000))[:-1])
    assert connection.reader.buffered_bytes > 100_000
    connection.connectionLost()
    assert not connection.reader.buffered_bytes


def test_a_mongodb_connection_that_ended_has_dropped_its_part_of_a_frame():
    # Guards against bytes kept by a closed connection that something still refers to (review/6).
    proxy = MongodbProxy()
    connection, _ = proxy.client()
    connection.dataReceived(struct.pack("<iiii", 200_000, 1, 0, 2013) + bytes(100_000))
    assert connection.buffered > 100_000
    connection.connectionLost()
    connection.dataReceived(bytes(100_000))
    assert not connection.buffered
