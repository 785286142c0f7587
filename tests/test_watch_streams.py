"""The JSON object splitter of watch streams, and the decisions on when streams are opened and closed."""

from __future__ import annotations

import json
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.discovery.watch_streams import (
    BACKOFF_MAX_S,
    CANDIDATE_LIFETIME_MIN_S,
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_TIMEOUT_S,
    MAX_CANDIDATES,
    RETRY_INTERVAL_MAX_S,
    RETRY_INTERVAL_MIN_S,
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


# Splitting a byte stream into objects


@given(
    st.lists(st.dictionaries(st.text(), OBJECTS), max_size=4),
    st.sampled_from([None, 1, 4]),
    st.sampled_from(["", "\n", " \r\n\t"]),
    st.lists(st.integers(1, 9), max_size=30),
)
def test_objects_are_split_correctly_for_any_white_space_and_chunks(objects, indent, between, cuts):
    data = "".join(between + json.dumps(x, indent=indent, ensure_ascii=False) + between for x in objects)
    raw, splitter, found = data.encode("utf-8", "surrogatepass"), JsonObjectSplitter(), []
    for size in [*cuts, len(raw)]:
        chunk, raw = raw[:size], raw[size:]
        found += [json.loads(x) for x in splitter.feed(chunk)]
    assert found == objects and not splitter.incomplete


@pytest.mark.parametrize("junk", [b"not json", b"[1]", b'"x"', b"}", b"\0", b'{"a":1},{"a":2}'])
def test_malformed_data_raises_an_error_after_the_objects_before_it(junk):
    splitter, found = JsonObjectSplitter(), []
    with pytest.raises(MalformedListError):
        for complete in splitter.feed(b'{"a":1}\n' + junk):
            found.append(complete)
    assert found[0] == b'{"a":1}'


def test_an_object_above_the_size_limit_raises_an_error(monkeypatch):
    monkeypatch.setattr(json_stream, "MAX_OBJECT_BYTES", 1000)
    splitter = JsonObjectSplitter()
    assert list(splitter.feed(b'{"a":"')) == []
    with pytest.raises(MalformedListError, match="1000"):
        for _ in range(1001):
            list(splitter.feed(b"x"))


def test_scanning_is_linear_in_the_number_of_bytes():
    splitter, scanned = JsonObjectSplitter(), 0

    class CountingPattern:
        def __init__(self, pattern):
            self.pattern = pattern

        def search(self, data, at=0):
            nonlocal scanned
            found = self.pattern.search(data, at)
            scanned += (found.end() if found else len(data)) - at
            return found

    for name in ("_INSIDE", "_STRING", "_OUTSIDE"):
        setattr(splitter, name, CountingPattern(getattr(JsonObjectSplitter, name)))
    data = json.dumps({"members": [{"id": "s" * 50, "n": [1, {}]} for _ in range(200)]}, indent=2).encode()
    for byte in data:
        list(splitter.feed(bytes([byte])))
    assert scanned <= 2 * len(data)


# Opening and closing streams


def test_a_silent_active_stream_is_closed_only_after_a_candidates_heartbeat():
    streams: WatchStreams[str] = WatchStreams()
    streams.opened("a", 0.0)
    assert streams.heartbeat("a", 0.0) == []
    due = streams.next_open_at()
    assert due == HEARTBEAT_TIMEOUT_S and streams.should_open(due) and not streams.should_open(due - 0.01)
    assert streams.opened("b", due) == []
    assert streams.in_use("a") and streams.in_use("b")
    assert streams.heartbeat("b", due + 0.1) == ["a"] and streams.active == "b"


def test_a_silent_stream_that_resumes_closes_nothing():
    streams: WatchStreams[str] = WatchStreams()
    streams.opened("a", 0.0)
    streams.heartbeat("a", 0.0)
    streams.opened("b", 3.0)
    assert streams.heartbeat("a", 3.1) == []
    assert streams.in_use("a") and streams.in_use("b")


def test_an_accepted_stream_has_a_heartbeat_interval_for_its_first_object():
    streams: WatchStreams[str] = WatchStreams()
    streams.opened("a", 0.0)
    streams.response_started("a", 0.1)
    assert streams.next_open_at() >= 0.1 + HEARTBEAT_INTERVAL_S


def test_a_partial_object_counts_as_a_heartbeat_for_a_limited_time():
    streams: WatchStreams[str] = WatchStreams()
    streams.opened("a", 0.0)
    streams.heartbeat("a", 0.0)
    streams.partial_object("a", 1.0, 2.0)
    assert streams.next_open_at() == 2.0 + HEARTBEAT_TIMEOUT_S
    streams.partial_object("a", 1.0, 1.0 + HEARTBEAT_TIMEOUT_S)
    assert streams.next_open_at() == 2.0 + HEARTBEAT_TIMEOUT_S


def test_a_move_keeps_all_streams_until_one_at_the_new_address_is_heard():
    streams: WatchStreams[str] = WatchStreams("old")
    streams.opened("a", 0.0)
    streams.heartbeat("a", 0.0)
    streams.opened("b", 3.0)
    streams.source_moved("new")
    assert streams.in_use("a") and streams.in_use("b") and streams.should_open(3.0)
    streams.opened("c", 3.0)
    streams.lost("c", 3.1)  # the new address refuses connections
    assert streams.in_use("a") and streams.in_use("b") and streams.next_open_at() < 3.5
    streams.opened("d", 3.2)
    assert set(streams.heartbeat("d", 3.3)) == {"a", "b"} and streams.all() == ["d"]


def test_a_stream_at_a_former_address_does_not_replace_one_at_the_present_address():
    streams: WatchStreams[str] = WatchStreams("first")
    streams.opened("a", 0.0)
    streams.heartbeat("a", 0.0)
    streams.source_moved("second")
    streams.opened("b", 1.0)
    streams.source_moved("first")
    assert streams.should_open(1.1) and streams.opened("c", 1.1) == []
    assert streams.heartbeat("b", 1.2) == ["b"] and streams.active == "a"
    assert streams.heartbeat("c", 1.3) == ["a"]


def test_a_move_back_waits_for_the_candidate_that_is_out_there_already():
    streams: WatchStreams[str] = WatchStreams("first")
    streams.opened("a", 0.0)
    streams.source_moved("second")
    streams.opened("b", 0.2)
    streams.source_moved("first")
    assert not streams.should_open(0.4) and streams.should_open(RETRY_INTERVAL_MIN_S)
    assert streams.heartbeat("b", 0.5) == [] and streams.active == "b" and streams.in_use("a")
    assert streams.heartbeat("a", 0.6) == ["b"]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["response", "bytes", "heartbeat", "partial", "lost", "moved", "wait", "wait", "wait"]
        ),
        st.integers(0, 3),
        st.floats(0.0, 2.5),
    ),
    max_size=60,
)


@given(STEPS)
def test_after_any_events_a_stream_is_open_or_about_to_be_opened(steps):
    """The test acts as an owner that opens and closes streams as required, and checks after each event."""
    streams: WatchStreams[int] = WatchStreams()
    now, number, opened_at = 0.0, 0, []
    streams.opened(number, now)
    for step, which, seconds in steps:
        keys = streams.all()
        key = keys[which % len(keys)] if keys else -1
        before, active = set(keys), streams.active
        if step == "response":
            streams.response_started(key, now)
        elif step == "bytes":
            streams.bytes_received(key, now)
        elif step == "heartbeat":
            closed = streams.heartbeat(key, now)
            at_former_address = closed == [key] and streams.active == active is not None
            assert not closed or streams.active == key or at_former_address, "closed only for an active one"
        elif step == "partial":
            streams.partial_object(key, now - seconds, now)
        elif step == "lost":
            streams.lost(key, now)
        elif step == "moved":
            streams.source_moved(which)
            assert set(streams.all()) == before
        else:
            now += seconds
        while streams.should_open(now):
            number += 1
            opened_at.append(now)
            closed = streams.opened(number, now)
            assert streams.active not in closed and not (set(closed) - before)
        assert len(streams.all()) <= MAX_CANDIDATES + 1
        assert streams.all() or streams.next_open_at() <= now + BACKOFF_MAX_S, "a stream is open or due soon"
        assert streams.next_open_at() > now
        assert streams.next_open_at() <= now + HEARTBEAT_TIMEOUT_S
    triggers = sum(step in ("lost", "moved") for step, _, _ in steps)
    assert len(opened_at) <= triggers + now / 0.05 + 2, "only losses, moves and time open streams"


@pytest.mark.parametrize("lost_after", [0.0, 0.01])
def test_a_source_that_refuses_is_tried_at_a_steady_rate(lost_after):
    streams: WatchStreams[int] = WatchStreams()
    now, opened = 0.0, 0
    while now < 20.0:
        if streams.should_open(now):
            opened += 1
            streams.opened(opened, now)
            streams.lost(opened, now + lost_after)
        now += 0.01
    assert 20 <= opened <= 70


def test_a_silent_source_is_tried_at_a_steady_rate_and_each_try_is_kept():
    streams: WatchStreams[int] = WatchStreams()
    now, opened_at = 0.0, []
    while now < 20.0:
        if streams.should_open(now):
            for closed in streams.opened(len(opened_at), now):
                assert now - opened_at[closed] >= CANDIDATE_LIFETIME_MIN_S - 0.01
            opened_at.append(now)
        now += 0.01
    assert 20.0 / RETRY_INTERVAL_MAX_S <= len(opened_at) <= 3 + 20.0 / RETRY_INTERVAL_MAX_S
    assert max(after - before for before, after in pairwise(opened_at)) <= RETRY_INTERVAL_MAX_S + 0.02
