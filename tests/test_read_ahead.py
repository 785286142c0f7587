"""Limits on pipelined input of a PostgreSQL client: all is executed, and little of it is buffered."""

from __future__ import annotations

import threading
from unittest.mock import patch

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from sedgepitch.protocols.postgresql import codec, read_ahead
from tests.support.platform import upload_statement
from tests.support.postgresql_harness import PostgresqlProxy, messages

SOCKET_READ_BYTES = 64 * 1024  # the most that one read of a socket returns
COMMANDS = 14
LIMITS = (read_ahead.READ_AHEAD_BYTES, read_ahead.EXTENDED_READ_AHEAD_BYTES)

value_sizes = st.lists(st.integers(1, codec.VALUE_BYTES_MAX), min_size=1, max_size=12)
read_sizes = st.sampled_from((1024, 16 * 1024, SOCKET_READ_BYTES))


def uploads(sizes: list[int]) -> list[bytes]:
    """Return uploads with values of these sizes, as messages."""
    return [codec.query(upload_statement(number, size, "write")) for number, size in enumerate(sizes)]


class PipeliningClient:
    """A client that has written all of its input; the proxy reads it only while reading is not paused."""

    def __init__(self, sizes: list[int], read_bytes: int) -> None:
        self.proxy = PostgresqlProxy()
        self.connection, self.wire = self.proxy.client()
        self.unread = b"".join(uploads(sizes))
        self.read_bytes = read_bytes
        self.answered = 0
        self.buffered_max = 0

    def read(self) -> bool:
        """Have the proxy read once; return whether it did."""
        if self.wire.producerState != "producing" or not self.unread:
            return False
        data, self.unread = self.unread[: self.read_bytes], self.unread[self.read_bytes :]
        self.connection.dataReceived(data)
        self.proxy.turn()
        self.buffered_max = max(self.buffered_max, self.connection.reader.buffered_bytes)
        return True

    def answer(self) -> bool:
        """Complete the pending request; return whether there was one."""
        if len(self.proxy.endpoints.sent) == self.answered:
            return False
        self.proxy.answer(self.answered)
        self.answered += 1
        return True


# Guards against a pause of reading that the rest of an incomplete statement can never end.
@given(sizes=value_sizes, read_bytes=read_sizes, limit=st.sampled_from(LIMITS), order=st.randoms())
@example(sizes=COMMANDS * [60_000], read_bytes=SOCKET_READ_BYTES, limit=LIMITS[0], order=None)
@example(sizes=COMMANDS * [40_000], read_bytes=SOCKET_READ_BYTES, limit=LIMITS[1], order=None)
def test_every_pipelined_upload_is_executed_and_the_buffered_input_is_bounded(
    sizes, read_bytes, limit, order
):
    with patch.object(read_ahead, "EXTENDED_READ_AHEAD_BYTES", limit):
        client = PipeliningClient(sizes, read_bytes)
        steps = [client.read, client.answer]
        while client.answered < len(sizes):
            if order is not None:
                order.shuffle(steps)
            assert any(step() for step in steps), "reading is paused, and no request is pending"
    kinds = [kind for kind, _ in messages(client.wire.value())]
    assert kinds.count(codec.DATA_ROW) == kinds.count(codec.READY_FOR_QUERY) == len(sizes)
    assert client.buffered_max <= max(limit, *map(len, uploads(sizes))) + read_bytes
    assert not client.proxy.listener.read_ahead.paused and not client.proxy.listener.read_ahead.extended


# Guards against pipelined uploads that are left unread until their client has waited for 2 s.
@pytest.mark.parametrize("value_bytes", [40_000, 60_000, codec.VALUE_BYTES_MAX])
def test_pipelined_uploads_are_all_served_by_a_real_process(platform, value_bytes):
    client = platform.client()
    statements = [upload_statement(number, value_bytes) for number in range(COMMANDS)]
    data = b"".join(map(codec.query, statements))
    threading.Thread(target=client.socket.sendall, args=(data,), daemon=True).start()
    for _ in statements:
        kinds = [kind for kind, _ in client.read_until_ready()]
        assert codec.DATA_ROW in kinds and codec.ERROR_RESPONSE not in kinds


# Guards against input of clients that do not read their responses, which grew without bound (review/1).
@pytest.mark.parametrize("state", ["ready", "executing"])
def test_input_of_a_client_that_does_not_read_its_responses_is_bounded(state):
    client = PipeliningClient(COMMANDS * [60_000], SOCKET_READ_BYTES)
    if state == "executing":
        assert client.read() and client.read()
    client.connection.on_write_blocked()
    while client.read():
        pass
    largest_message = max(map(len, uploads([60_000])))
    assert client.buffered_max <= max(*LIMITS, largest_message) + SOCKET_READ_BYTES
    client.connection.on_write_drained()
    client.proxy.turn()
    while client.answered < COMMANDS:
        assert client.answer() or client.read(), "reading is paused, and no request is pending"
