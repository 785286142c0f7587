"""Receive timestamps when the wall clock is set forward or back, or slewed; also on a real socket."""

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
        st.tuples(st.just("arrive"), st.just(0.0)),
        st.tuples(st.just("read"), st.integers(0, 3)),
        st.tuples(st.just("wait"), st.floats(0.001, 3.0)),
        st.tuples(st.just("slew"), st.floats(-0.0005, 0.0005)),
    ),
    max_size=40,
)


@given(EVENTS, st.integers(0, 40), st.floats(-3600.0, 3600.0))
def test_no_clock_step_makes_bytes_look_older_than_they_are(events, when, step):
    """One clock step at any place among the reads, and slewing at the system's maximum rate."""
    timestamps, now, offset, unread = ReceiveTimestamps(), 100.0, 1e9, []
    timestamps.arrival_time(now + offset, now + offset, now)
    for number, (event, amount) in enumerate(events):
        if number == when:
            offset += step
        if event == "wait":
            now += amount
            offset += amount * 0.0005
        elif event == "slew":
            offset += amount
        elif event == "arrive":
            unread.append((now, now + offset))
        elif unread:
            arrived_at, stamp = unread.pop(amount % len(unread))
            estimate = timestamps.arrival_time(stamp, now + offset, now)
            assert estimate <= now
            assert estimate >= arrived_at - 0.06  # tolerates slewing and a step below the detection limit
            if number < when:
                assert estimate <= arrived_at + 0.06


def test_a_clock_step_while_bytes_are_unread_is_detected_once():
    timestamps = ReceiveTimestamps()
    assert timestamps.arrival_time(1005.0, 1005.2, 5.2) == pytest.approx(5.0)
    assert timestamps.arrival_time(1005.3, 4605.5, 5.5) == pytest.approx(
        5.3
    )  # the clock was set forward by an hour
    assert timestamps.arrival_time(1005.4, 4605.6, 5.6) == pytest.approx(5.4)  # another connection
    assert timestamps.arrival_time(4606.0, 4606.3, 6.3) == pytest.approx(6.0)
    assert timestamps.arrival_time(4606.2, 4606.2 - 90.0, 6.4) == 6.4  # the clock was set back
    assert timestamps.arrival_time(4517.0, 4517.2, 7.4) == pytest.approx(7.2)


class ReceivingSocket:
    """A loopback connection whose accepting side is read only when the test says so."""

    def __init__(self) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.client = socket.create_connection(self.server.getsockname())
        self.accepted, _ = self.server.accept()
        self.accepted.setblocking(False)
        self.arrivals: list[float] = []
        self.connection = transport.TimestampedConnection(self.accepted, None, SimpleNamespace())
        self.connection.connected = True
        self.connection.protocol = SimpleNamespace(dataReceived=self._received)
        self.connection.startReading = self.connection.stopReading = lambda: None
        self.connection._start_timestamps()

    def _received(self, _data: bytes) -> None:
        self.arrivals.append(self.connection.arrived)

    def read(self, count: int) -> None:
        """Read until data has been received `count` times in all."""
        while len(self.arrivals) < count:
            self.connection.doRead()

    def close(self) -> None:
        for opened in (self.accepted, self.client, self.server):
            opened.close()


@pytest.fixture
def receiving(monkeypatch):
    monkeypatch.setattr(transport, "_timestamps", ReceiveTimestamps())
    opened = ReceivingSocket()
    yield opened
    opened.close()


def test_a_clock_step_adds_nothing_to_the_wait_of_an_unread_request(receiving, monkeypatch):
    connection = receiving.connection
    connection._read_at -= 1000.0  # a long idle connection
    wall, stepped = time.time, [0.0]
    monkeypatch.setattr(transport.time, "time", lambda: wall() + stepped[0])
    for count, step in enumerate((0.0, 500.0), 1):
        sent = time.monotonic()
        receiving.client.sendall(b"request")
        stepped[0] = step
        receiving.read(count)
        assert receiving.arrivals[-1] > sent - 60.0
        connection._read_at -= 1000.0


# Guards against a pause of reading that counts as the process's own delay.
def test_the_time_for_which_reading_was_paused_is_no_read_delay(receiving):
    connection = receiving.connection
    connection.pauseProducing()
    receiving.client.sendall(b"request")
    time.sleep(0.05)
    resumed_at = time.monotonic()
    connection.resumeProducing()
    receiving.read(1)
    moment = time.monotonic()
    assert connection.read_delay(moment) <= moment - resumed_at
    assert receiving.arrivals[0] < resumed_at, "the wait still counts against the request"


# Guards against bytes left behind by small reads that count as the process's own delay (a29244).
def test_the_wait_behind_a_full_read_is_no_read_delay(receiving):
    connection = receiving.connection
    connection.bufferSize = 10
    receiving.client.sendall(bytes(15))
    time.sleep(0.05)
    receiving.read(1)
    assert connection.read_delay(time.monotonic()) > 0.0
    first_read_at = time.monotonic()
    time.sleep(0.05)
    receiving.read(2)
    moment = time.monotonic()
    assert 0.05 <= connection.read_delay(moment) < moment - first_read_at + 0.01
    assert receiving.arrivals[1] < first_read_at, "the wait still counts against the request"


@given(st.lists(st.sampled_from([0.0, 1e-7, 0.004, 0.5]), min_size=15, max_size=15))
def test_a_suspension_at_start_up_never_makes_the_unix_offset_too_small(stops):
    """Pauses before each clock read: the offset is too large by at most the shortest of five samples.

    An offset that is too small would make replication positions look newer than they are.
    """
    now, remaining_stops = [50.0], list(stops)

    def read_clock(offset: float) -> float:
        now[0] += remaining_stops.pop(0)
        return now[0] + offset

    estimate = unix_offset(lambda: read_clock(1e9), lambda: read_clock(0.0))
    spans = [stops[n + 1] + stops[n + 2] for n in range(0, 15, 3)]
    assert -1e-6 <= estimate - 1e9 <= min(spans) + 1e-6
