"""Limits on client connections: each rule by itself, and invariants for any order of events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.connections.client_connections import (
    FIRST_BYTE_GRACE_S,
    MAX_IDLE_SHARE,
    RECEIVE_TIMEOUT_S,
    WRITE_TIMEOUT_S,
    ClientConnections,
)


def test_timeouts_count_from_the_start_of_the_state():
    table: ClientConnections[str] = ClientConnections(10)
    table.accepted("silent", 0.0)
    table.accepted("slow", 0.5)
    for step in range(1, 20):
        table.bytes_received("slow")
        table.message_incomplete("slow", 0.1 * step)
    assert table.remove_timed_out(RECEIVE_TIMEOUT_S - 0.01) == []
    assert table.remove_timed_out(RECEIVE_TIMEOUT_S) == ["silent"]
    assert table.remove_timed_out(RECEIVE_TIMEOUT_S + 0.5) == ["slow"]
    table.write_paused("not reading", 1.0)
    table.write_paused("not reading", 5.0)
    assert table.remove_timed_out(1.0 + WRITE_TIMEOUT_S) == ["not reading"]
    assert table.timed_out == 3 and table.remove_timed_out(1e9) == []


def test_the_idle_limit_closes_the_longest_idle_connection_and_a_request_restarts_idle_time():
    table: ClientConnections[int] = ClientConnections(12)
    assert [table.became_idle(n, float(n)) for n in range(3)] == [None, None, None]
    table.request_started(0)
    assert table.became_idle(0, 3.0) is None
    assert table.became_idle(9, 4.0) == 1


def test_eviction_order_is_overdue_first_byte_then_idle_then_awaiting_first_byte():
    table: ClientConnections[str] = ClientConnections(12)
    table.accepted("old", 0.0)
    table.accepted("new", 5.0)
    table.became_idle("idle", 1.0)
    table.accepted("processing", 1.0)
    table.bytes_received("processing")
    table.request_started("processing")
    assert table.evict(5.0) == "old"
    assert table.evict(5.0 + FIRST_BYTE_GRACE_S / 2) == "idle"
    assert table.evict(5.0 + FIRST_BYTE_GRACE_S / 2) == "new"
    assert table.evict(99.0) is None


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "accepted",
                "bytes_received",
                "message_incomplete",
                "request_started",
                "became_idle",
                "write_paused",
                "write_resumed",
                "closed",
                "evict",
            ]
        ),
        st.integers(0, 5),
    ),
    max_size=60,
)


@given(EVENTS)
def test_after_any_events_a_connection_is_not_both_receiving_and_idle_and_a_closed_one_is_in_no_table(events):
    table: ClientConnections[int] = ClientConnections(9)
    for now, (event, key) in enumerate(events):
        if event in ("bytes_received", "request_started", "write_resumed", "closed"):
            getattr(table, event)(key)
        elif event == "evict":
            table.evict(float(now))
        else:
            table.closed(key) if event == "accepted" else None  # a key is accepted once per connection
            getattr(table, event)(key, float(now))
        tables = [set(table.receiving), set(table.idle)]
        assert not tables[0] & tables[1]
        assert len(table.idle) <= MAX_IDLE_SHARE * table.max_connections
        if event == "closed":
            assert not any(
                key in t
                for t in (table.awaiting_first_byte, table.receiving, table.write_blocked, table.idle)
            )
