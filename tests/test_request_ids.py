"""Ids of requests that come again: on another connection, and after their client has left."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.connections.recent_request_ids import IDS_MAX, RETENTION_S, RecentRequestIds
from tests.support.postgresql_harness import PostgresqlProxy, errors, read, write


@given(st.lists(st.tuples(st.integers(0, 50), st.floats(0, 20)), max_size=80))
def test_an_id_is_remembered_for_its_time(steps):
    ids = RecentRequestIds()
    added: dict[bytes, float] = {}
    now = 0.0
    for number, gap in steps:
        now += gap
        request_id = b"%d" % number
        assert ids.contains(request_id, now) == (now - added.get(request_id, -1e9) <= RETENTION_S)
        ids.add(request_id, now)
        added[request_id] = now


def test_always_new_ids_do_not_fill_the_memory():
    ids = RecentRequestIds()
    for number in range(2 * IDS_MAX):
        ids.add(b"%d" % number, 0.0)
    assert len(ids) == IDS_MAX and ids.contains(b"%d" % (2 * IDS_MAX - 1), 0.0)


# Guards against a write that takes effect twice, as its id was free once its client had left (a29244).
@pytest.mark.parametrize("ended_by", ["disconnect", "reset", "answer"])
def test_a_write_whose_id_comes_again_is_not_executed_again(ended_by):
    proxy = PostgresqlProxy()
    connection, _ = proxy.client()
    connection.dataReceived(write(1))
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1
    if ended_by == "answer":
        proxy.answer()
    elif ended_by == "disconnect":
        connection.connectionLost()
    else:
        connection.abandon()
    again, wire = proxy.client()
    again.dataReceived(write(1))
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1
    assert [error["C"] for error in errors(wire)] == ["42710"]
    again.dataReceived(write(2))
    proxy.turn()
    assert len(proxy.endpoints.sent) == 2


def test_a_read_or_an_unsent_write_whose_id_comes_again_is_executed():
    proxy = PostgresqlProxy()
    connection, _ = proxy.client()
    connection.dataReceived(read(1))
    proxy.turn()
    connection.connectionLost()
    connection, _ = proxy.client()
    connection.dataReceived(write(2))
    connection.connectionLost()  # before the router has decided
    proxy.turn()
    sent = len(proxy.endpoints.sent)
    again, wire = proxy.client()
    again.dataReceived(read(1) + write(2))
    proxy.turn()
    proxy.answer()
    assert len(proxy.endpoints.sent) == sent + 2 and not errors(wire)
