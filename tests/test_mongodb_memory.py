"""What MongoDB clients can make the daemon hold: input, pending commands and names (incident a29244)."""

from __future__ import annotations

import struct
import tracemalloc

import bson
import pytest

from sedgepitch.decisions.connections.client_memory import ClientMemoryBudget
from sedgepitch.decisions.connections.process_memory_shares import UNLIMITED_BYTES
from sedgepitch.protocols.mongodb.framing import ARRIVALS_MAX
from tests.support.mongodb_harness import MongodbProxy, command, replies

BUDGET_BYTES = 1_000_000
LARGE_BYTES = 200_000
HALF_FRAME = struct.pack("<iiii", 2 * LARGE_BYTES, 1, 0, 2013) + bytes(LARGE_BYTES)
ONE_BYTE_READS = 50_000


def small_proxy() -> MongodbProxy:
    """Return a proxy whose clients may hold BUDGET_BYTES together."""
    proxy = MongodbProxy()
    proxy.context.memory = ClientMemoryBudget(BUDGET_BYTES, UNLIMITED_BYTES)
    return proxy


# Guards against a record for each read of an incomplete message, which takes a hundred times its bytes.
def test_single_bytes_of_an_incomplete_message_take_little_more_memory_than_bytes():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    connection.dataReceived(HALF_FRAME[:16])
    tracemalloc.start()
    try:
        for number in range(ONE_BYTE_READS):
            transport.arrived = 1.0 + number
            connection.dataReceived(b"x")
        kept_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert connection.buffered == 16 + ONE_BYTE_READS
    assert kept_bytes < 2 * ONE_BYTE_READS + 200 * ARRIVALS_MAX


# Guards against incomplete messages of many clients without a common bound.
def test_incomplete_messages_of_many_clients_stay_within_the_budget():
    proxy = small_proxy()
    clients = [proxy.client() for _ in range(30)]
    for connection, _ in clients:
        proxy.turn(0.01)
        connection.dataReceived(HALF_FRAME)
        held = sum(each.buffered for each, _ in clients)
        assert held == proxy.context.memory.total_bytes <= BUDGET_BYTES
    assert any(transport.disconnecting for _, transport in clients)
    assert not clients[-1][1].disconnecting, "the one that has just come is spared"


# Guards against pending commands of many clients without a common bound.
def test_large_commands_beyond_the_budget_are_rejected_and_small_ones_are_served():
    proxy = small_proxy()
    clients = [proxy.client() for _ in range(10)]
    documents = [{"_id": "x" * LARGE_BYTES}]
    for connection, _ in clients:
        connection.dataReceived(command(1, insert="log", documents=documents))
        proxy.turn()
    rejected = [transport for _, transport in clients if replies(transport)]
    assert rejected and len(rejected) + proxy.engine.request_table.pending == len(clients)
    assert all(reply["ok"] == 0 and "retryAfterMS" in reply for t in rejected for _, reply in replies(t))
    connection, transport = proxy.client()
    connection.dataReceived(command(2, ping=1))
    assert [reply["ok"] for _, reply in replies(transport)] == [1.0]
    for connection, _ in clients:
        connection.connectionLost()
    assert proxy.context.memory.total_bytes == 0


# Guards against names of any length, which caches and admission control keep.
@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"find": "x" * 300}, 73),
        ({"find": "log", "$db": "x" * 300}, 73),
        ({"find": "log", "lsid": {"id": bson.Binary(bytes(1000), 4)}}, 207),
    ],
)
def test_a_name_that_is_too_long_is_refused(fields, code):
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    connection.dataReceived(command(1, **fields))
    proxy.turn()
    assert [reply["code"] for _, reply in replies(transport)] == [code]


def test_a_long_class_in_a_comment_is_cut():
    proxy = MongodbProxy()
    connection, _ = proxy.client()
    connection.dataReceived(command(1, find="log", comment={"class": "x" * 10_000}))
    proxy.turn()
    assert max(len(facts.comment) for facts in proxy.context.classifier._cache) == 200
