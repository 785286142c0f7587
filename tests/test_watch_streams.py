"""Watch streams: the active one is never closed early, few are open, a source that is down is retried."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.discovery.watch_streams import (
    BACKOFF_MAX_S,
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    MAX_CANDIDATES,
    WatchStreams,
)
from sedgepitch.discovery import json_stream
from sedgepitch.discovery.errors import MalformedListError
from sedgepitch.discovery.json_stream import JsonObjectSplitter

OBJECTS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.sampled_from(['"', "\\", "{", "}", '\\"']),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


# The stream of objects


@given(
    st.lists(st.dictionaries(st.text(), OBJECTS), max_size=4),
    st.sampled_from([None, 1, 4]),
    st.sampled_from(["", "\n", " \r\n\t"]),
    st.lists(st.integers(1, 9), max_size=30),
)
def test_objects_are_complete_whatever_the_white_space_and_the_pieces(told, indent, between, cuts):
    data = "".join(between + json.dumps(x, indent=indent, ensure_ascii=False) + between for x in told)
    raw, held, found = data.encode("utf-8", "surrogatepass"), JsonObjectSplitter(), []
    for size in [*cuts, len(raw)]:
        piece, raw = raw[:size], raw[size:]
        found += [json.loads(x) for x in held.feed(piece)]
    assert found == told and not held.incomplete


@pytest.mark.parametrize("junk", [b"not json", b"[1]", b'"x"', b"}", b"\0", b'{"a":1},{"a":2}'])
def test_anything_else_is_an_error_and_the_objects_before_it_count(junk):
    held, found = JsonObjectSplitter(), []
    with pytest.raises(MalformedListError):
        for whole in held.feed(b'{"a":1}\n' + junk):
            found.append(whole)
    assert found[0] == b'{"a":1}'


def test_an_object_above_the_size_limit_is_an_error(monkeypatch):
    monkeypatch.setattr(json_stream, "MAX_OBJECT_BYTES", 1000)
    held = JsonObjectSplitter()
    assert list(held.feed(b'{"a":"')) == []
    with pytest.raises(MalformedListError, match="1000"):
        for _ in range(1001):
            list(held.feed(b"x"))


def test_each_byte_is_looked_at_once():
    held, looked = JsonObjectSplitter(), 0

    class Counting:
        def __init__(self, pattern):
            self.pattern = pattern

        def search(self, data, at=0):
            nonlocal looked
            found = self.pattern.search(data, at)
            looked += (found.end() if found else len(data)) - at
            return found

    for name in ("_INSIDE", "_STRING", "_OUTSIDE"):
        setattr(held, name, Counting(getattr(JsonObjectSplitter, name)))
    data = json.dumps({"members": [{"id": "s" * 50, "n": [1, {}]} for _ in range(200)]}, indent=2).encode()
    for byte in data:
        list(held.feed(bytes([byte])))
    assert looked <= 2 * len(data)


# Which streams are held


def test_a_silent_stream_stays_until_another_sent_a_heartbeat():
    held: WatchStreams[str] = WatchStreams()
    held.opened("a", 0.0)
    assert held.heartbeat("a", 0.0) == []
    due = held.next_open_at()
    assert due == HEARTBEAT_TIMEOUT_S and held.should_open(due) and not held.should_open(due - 0.01)
    assert held.opened("b", due) == []
    assert held.holds("a") and held.holds("b")
    assert held.heartbeat("b", due + 0.1) == ["a"] and held.active == "b"


def test_a_silent_stream_that_resumes_closes_nothing():
    held: WatchStreams[str] = WatchStreams()
    held.opened("a", 0.0)
    held.heartbeat("a", 0.0)
    held.opened("b", 3.0)
    assert held.heartbeat("a", 3.1) == []
    assert held.holds("a") and held.holds("b")


def test_an_accepted_stream_has_a_heartbeat_interval_for_its_first_object():
    held: WatchStreams[str] = WatchStreams()
    held.opened("a", 0.0)
    held.response_started("a", 0.1)
    assert held.next_open_at() >= 0.1 + HEARTBEAT_INTERVAL_S


def test_a_partial_object_counts_as_a_heartbeat_for_a_limited_time():
    held: WatchStreams[str] = WatchStreams()
    held.opened("a", 0.0)
    held.heartbeat("a", 0.0)
    held.partial_object("a", 1.0, 2.0)
    assert held.next_open_at() == 2.0 + HEARTBEAT_TIMEOUT_S
    held.partial_object("a", 1.0, 1.0 + HEARTBEAT_TIMEOUT_S)
    assert held.next_open_at() == 2.0 + HEARTBEAT_TIMEOUT_S


def test_a_move_keeps_the_active_stream_and_closes_the_candidates():
    held: WatchStreams[str] = WatchStreams()
    held.opened("a", 0.0)
    held.heartbeat("a", 0.0)
    held.opened("b", 3.0)
    assert held.source_moved() == ["b"] and held.holds("a") and held.should_open(3.0)
    held.opened("c", 3.0)
    held.lost("c", 3.1)  # the new place refuses
    assert held.holds("a") and held.next_open_at() < 3.5


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["response", "heartbeat", "partial", "lost", "moved", "wait", "wait", "wait"]),
        st.integers(0, 3),
        st.floats(0.0, 2.5),
    ),
    max_size=60,
)


@given(STEPS)
def test_in_any_order_of_events_a_stream_is_open_or_about_to_be_opened(steps):
    """With an owner that opens and closes as it should. Checked after each event."""
    held: WatchStreams[int] = WatchStreams()
    now, number, opened_at = 0.0, 0, []
    held.opened(number, now)
    for step, which, seconds in steps:
        keys = held.all()
        key = keys[which % len(keys)] if keys else -1
        before, spoke = set(keys), held.active
        if step == "response":
            held.response_started(key, now)
        elif step == "heartbeat":
            gone = held.heartbeat(key, now)
            assert not gone or held.active == key, "nothing goes but for one that has spoken"
        elif step == "partial":
            held.partial_object(key, now - seconds, now)
        elif step == "lost":
            held.lost(key, now)
        elif step == "moved":
            assert spoke not in held.source_moved()
        else:
            now += seconds
        while held.should_open(now):
            number += 1
            opened_at.append(now)
            gone = held.opened(number, now)
            assert held.active not in gone and not (set(gone) - before)
        assert len(held.all()) <= MAX_CANDIDATES + 1
        assert held.all() or held.next_open_at() <= now + BACKOFF_MAX_S, "one that can hear, or soon another"
        assert held.next_open_at() > now
        assert held.next_open_at() <= now + HEARTBEAT_TIMEOUT_S
    asked = sum(step in ("lost", "moved") for step, _, _ in steps)
    assert len(opened_at) <= asked + now / 0.05 + 2, "asked again by loss or time alone"


@pytest.mark.parametrize("after", [0.0, 0.01, 0.9])
def test_a_source_that_refuses_or_is_silent_is_tried_at_a_steady_rate(after):
    held: WatchStreams[int] = WatchStreams()
    now, opened = 0.0, 0
    while now < 20.0:
        if held.should_open(now):
            opened += 1
            held.opened(opened, now)
            if after < 0.9:
                held.lost(opened, now + after)
        now += 0.01
    assert 20 <= opened <= 70
