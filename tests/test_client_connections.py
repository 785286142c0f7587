"""Which client connections are kept: the rules alone, and any order of events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.connections.client_connections import (
    RESTING,
    SPARED,
    TAKE_WITHIN,
    TALK_WITHIN,
    ClientConnections,
)


def test_time_to_speak_counts_from_the_start_whatever_trickles_in():
    held: ClientConnections[str] = ClientConnections(10)
    held.came("silent", 0.0)
    held.came("slow", 0.5)
    for step in range(1, 20):
        held.spoke("slow")
        held.unfinished("slow", 0.1 * step)
    assert held.too_slow(TALK_WITHIN - 0.01) == []
    assert held.too_slow(TALK_WITHIN) == ["silent"]
    assert held.too_slow(TALK_WITHIN + 0.5) == ["slow"]
    held.stuck("greedy", 1.0)
    held.stuck("greedy", 5.0)
    assert held.too_slow(1.0 + TAKE_WITHIN) == ["greedy"]
    assert held.overdue == 3 and held.too_slow(1e9) == []


def test_the_one_resting_longest_goes_where_too_many_rest_and_one_that_asks_again_is_young():
    held: ClientConnections[int] = ClientConnections(12)
    assert [held.rests(n, float(n)) for n in range(3)] == [None, None, None]
    held.busy(0)
    assert held.rests(0, 3.0) is None
    assert held.rests(9, 4.0) == 1


def test_room_comes_from_the_long_silent_then_the_resting_then_any_silent_and_never_the_busy():
    held: ClientConnections[str] = ClientConnections(12)
    held.came("old", 0.0)
    held.came("new", 5.0)
    held.rests("idle", 1.0)
    held.came("asking", 1.0)
    held.spoke("asking")
    held.busy("asking")
    assert held.make_room(5.0) == "old"
    assert held.make_room(5.0 + SPARED / 2) == "idle"
    assert held.make_room(5.0 + SPARED / 2) == "new"
    assert held.make_room(99.0) is None


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["came", "spoke", "unfinished", "busy", "rests", "stuck", "unstuck", "left", "room"]),
        st.integers(0, 5),
    ),
    max_size=60,
)


@given(EVENTS)
def test_in_any_order_a_connection_stands_in_one_place_and_what_left_in_none(events):
    held: ClientConnections[int] = ClientConnections(9)
    for now, (what, key) in enumerate(events):
        if what in ("spoke", "busy", "unstuck", "left"):
            getattr(held, what)(key)
        elif what == "room":
            held.make_room(float(now))
        else:
            held.left(key) if what == "came" else None  # a connection is accepted once
            getattr(held, what)(key, float(now))
        tables = [set(held.talking), set(held.resting)]
        assert not tables[0] & tables[1]
        assert len(held.resting) <= RESTING * held.most
        if what == "left":
            assert not any(key in t for t in (held.silent, held.talking, held.clogged, held.resting))
