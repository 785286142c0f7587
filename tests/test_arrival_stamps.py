"""Receive timestamps under a wall clock that is set ahead or back, or slewed; and on a real socket."""

from __future__ import annotations

import socket
import time
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.core.clock import unix_offset
from sedgepitch.net import transport
from sedgepitch.net.receive_timestamps import ReceiveTimestamps

EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("come"), st.just(0.0)),
        st.tuples(st.just("read"), st.integers(0, 3)),
        st.tuples(st.just("pass"), st.floats(0.001, 3.0)),
        st.tuples(st.just("slew"), st.floats(-0.0005, 0.0005)),
    ),
    max_size=40,
)


@given(EVENTS, st.integers(0, 40), st.floats(-3600.0, 3600.0))
def test_no_clock_step_makes_bytes_look_older_than_they_are(events, when, step):
    """One step anywhere among reads; slewing as fast as the system does it."""
    timestamps, now, ahead, lying = ReceiveTimestamps(), 100.0, 1e9, []
    timestamps.arrival_time(now + ahead, now + ahead, now)
    for number, (what, amount) in enumerate(events):
        if number == when:
            ahead += step
        if what == "pass":
            now += amount
            ahead += amount * 0.0005
        elif what == "slew":
            ahead += amount
        elif what == "come":
            lying.append((now, now + ahead))
        elif lying:
            came, stamp = lying.pop(amount % len(lying))
            told = timestamps.arrival_time(stamp, now + ahead, now)
            assert told <= now
            assert told >= came - 0.06  # what is slewed meanwhile, and a step too small to be known for one
            if number < when:
                assert told <= came + 0.06


def test_a_clock_step_while_bytes_lie_unread_is_detected_once():
    timestamps = ReceiveTimestamps()
    assert timestamps.arrival_time(1005.0, 1005.2, 5.2) == pytest.approx(5.0)
    assert timestamps.arrival_time(1005.3, 4605.5, 5.5) == pytest.approx(5.3)  # an hour ahead meanwhile
    assert timestamps.arrival_time(1005.4, 4605.6, 5.6) == pytest.approx(5.4)  # of another connection
    assert timestamps.arrival_time(4606.0, 4606.3, 6.3) == pytest.approx(6.0)
    assert timestamps.arrival_time(4606.2, 4606.2 - 90.0, 6.4) == 6.4  # back
    assert timestamps.arrival_time(4517.0, 4517.2, 7.4) == pytest.approx(7.2)


def test_a_clock_step_adds_nothing_to_the_wait_of_an_unread_request(monkeypatch):
    monkeypatch.setattr(transport, "_timestamps", ReceiveTimestamps())
    server = socket.create_server(("127.0.0.1", 0))
    theirs = socket.create_connection(server.getsockname())
    ours, _ = server.accept()
    ours.setblocking(False)
    got: list[float] = []
    read = transport.TimestampedConnection(ours, None)
    read.connected = True
    read.protocol = SimpleNamespace(dataReceived=lambda data: got.append(read.arrived))
    read._start_timestamps()
    read._read_at -= 1000.0  # it has been idle for long
    wall, stepped = time.time, [0.0]
    monkeypatch.setattr(transport.time, "time", lambda: wall() + stepped[0])
    for count, step in enumerate((0.0, 500.0), 1):
        sent = time.monotonic()
        theirs.sendall(b"request")
        stepped[0] = step
        while len(got) < count:
            read.doRead()
        assert got[-1] > sent - 60.0
        read._read_at -= 1000.0
    for held in (ours, theirs, server):
        held.close()


@given(st.lists(st.sampled_from([0.0, 1e-7, 0.004, 0.5]), min_size=15, max_size=15))
def test_a_process_suspended_at_its_start_takes_no_position_for_newer_than_it_is(stops):
    """Stops before each look at a clock; by the shortest of five looks at most too old, never too new."""
    now, left = [50.0], list(stops)

    def look(ahead: float) -> float:
        now[0] += left.pop(0)
        return now[0] + ahead

    told = unix_offset(lambda: look(1e9), lambda: look(0.0))
    spans = [stops[n + 1] + stops[n + 2] for n in range(0, 15, 3)]
    assert -1e-6 <= told - 1e9 <= min(spans) + 1e-6
