"""The common budget of client connections: the decision, the parser that drops input, and the connections."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.connections.client_memory import (
    PENDING_SHARE,
    SCALE_MIN,
    SMALL_STATEMENT_BYTES,
    ClientMemoryBudget,
)
from sedgepitch.decisions.connections.process_memory_shares import (
    CLIENT_BYTES_MIN,
    ENDPOINT_BYTES_MIN,
    UNLIMITED_BYTES,
    MemoryShares,
    share_memory,
)
from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.client_buffers import (
    PRESSURE_READ_BYTES,
    READ_BYTES,
    give_back_memory,
    held_bytes,
)
from sedgepitch.protocols.postgresql.codec import Reader
from tests.support.platform import upload_statement
from tests.support.postgresql_harness import PostgresqlProxy, errors, messages, read, write

BUDGET_BYTES = 1_000_000
HIGH_USE_BYTES = 50_000_000
UPLOAD = codec.query(upload_statement(1, codec.VALUE_BYTES_MAX, "write"))
HALF_UPLOAD = UPLOAD[: len(UPLOAD) // 2]


def make_budget() -> ClientMemoryBudget[int]:
    return ClientMemoryBudget(BUDGET_BYTES, HIGH_USE_BYTES)


# The shares and the budget


@pytest.mark.parametrize("limit_bytes", [0, float("inf"), float("nan"), -1])
def test_a_process_without_a_limit_has_no_budget(limit_bytes):
    assert share_memory(limit_bytes, 25e6) == MemoryShares(UNLIMITED_BYTES, UNLIMITED_BYTES, UNLIMITED_BYTES)


@given(st.floats(1, 1e12), st.floats(0, 1e12))
def test_the_shares_fit_into_the_memory_that_is_left_or_are_the_least(limit_bytes, used_bytes):
    shares = share_memory(limit_bytes, used_bytes)
    headroom = max(0.0, limit_bytes - used_bytes)
    assert shares.client_bytes <= max(CLIENT_BYTES_MIN, headroom / 2)
    assert shares.endpoint_bytes <= max(ENDPOINT_BYTES_MIN, headroom / 2)


steps = st.lists(st.tuples(st.integers(0, 9), st.integers(0, BUDGET_BYTES)), max_size=60)


@given(steps)
def test_the_sum_stays_within_the_budget_once_holders_have_given_back(updates):
    budget = make_budget()
    held: dict[int, int] = {}
    for now, (key, size) in enumerate(updates):
        held[key] = size
        budget.update(key, size, float(now))
        if budget.exceeded:
            for holder in budget.holders(float(now)):
                if budget.has_reclaimed:
                    break
                held[holder] = 0
                budget.update(holder, 0, float(now))
        assert budget.total_bytes == sum(held.values()) <= BUDGET_BYTES


def test_a_large_message_that_has_just_come_is_spared_before_a_smaller_one_that_stopped():
    budget = make_budget()
    budget.update(1, 10_000, 0.0)
    budget.update(2, 130_000, 0.99)
    assert budget.holders(1.0) == [1, 2]


def test_large_statements_are_admitted_up_to_their_share_and_small_ones_always():
    budget = make_budget()
    admitted = 0
    while budget.admits(100_000):
        budget.statement_started(100_000)
        admitted += 1
    assert admitted == int(PENDING_SHARE * BUDGET_BYTES / 100_000)
    assert budget.admits(SMALL_STATEMENT_BYTES)
    for _ in range(admitted):
        budget.statement_ended(100_000)
    assert budget.pending_bytes == budget.total_bytes == 0
    assert budget.admits(10 * BUDGET_BYTES), "one statement alone is always admitted"


def test_the_budget_shrinks_while_clients_fill_the_process_and_is_restored():
    budget = make_budget()
    budget.update(1, BUDGET_BYTES, 0.0)
    for _ in range(10):
        budget.observe(HIGH_USE_BYTES + 1)
    assert budget.scale == SCALE_MIN
    budget.forget(1)
    for _ in range(10):
        budget.observe(HIGH_USE_BYTES + 1)  # the allocator has not given back, but has room
    assert budget.scale == 1.0


# The parser


@given(
    sizes=st.lists(st.integers(0, 300), min_size=1, max_size=12),
    cuts=st.lists(st.integers(1, 400), max_size=30),
    skips=st.sets(st.integers(0, 30)),
)
def test_each_statement_is_returned_or_counted_as_skipped_in_order(sizes, cuts, skips):
    texts = [b"%03d" % number + b"x" * size for number, size in enumerate(sizes)]
    stream = b"".join(map(codec.query, texts))
    reader = Reader(codec.FROM_CLIENT)
    seen = 0
    for number, cut in enumerate([*cuts, len(stream)]):
        reader.feed(stream[:cut])
        stream = stream[cut:]
        if number in skips:
            reader.skip_input()
        while True:
            seen, reader.skipped = seen + reader.skipped, 0
            message = reader.next()
            if message is None:
                break
            assert message[1][codec.HEADER_BYTES : -1] == texts[seen]
            seen += 1
    assert seen == len(texts) and not reader.has_input


def test_skipped_input_uses_no_memory():
    reader = Reader(codec.FROM_CLIENT)
    reader.feed(HALF_UPLOAD)
    reader.skip_input()
    assert reader.memory_bytes == 0 and reader.has_input
    assert reader.missing_bytes == len(UPLOAD) - len(HALF_UPLOAD)


def test_a_malformed_message_behind_skipped_ones_is_still_reported():
    reader = Reader(codec.FROM_CLIENT)
    reader.feed(codec.query(b"x") + b"?" + bytes(10))
    reader.skip_input()
    assert reader.skipped == 1
    with pytest.raises(codec.MalformedMessage):
        reader.next()


# Connections


class SmallProxy(PostgresqlProxy):
    """A proxy whose clients have a budget of some large statements."""

    def __init__(self) -> None:
        super().__init__(memory=MemoryShares(5 * len(UPLOAD), UNLIMITED_BYTES, UNLIMITED_BYTES))

    @property
    def held(self) -> int:
        """Return the bytes that all connections hold."""
        return sum(held_bytes(connection) for connection in self.listener.connections)


# Guards against incomplete statements of many clients without a common bound (a29244, picture a).
def test_clients_that_stop_within_a_large_statement_do_not_fill_the_memory():
    proxy = SmallProxy()
    clients = [proxy.client() for _ in range(50)]
    for connection, _ in clients:
        proxy.turn(0.01)
        connection.dataReceived(HALF_UPLOAD)
        assert proxy.held <= proxy.listener.buffers.budget.max_bytes
    assert proxy.listener.buffers.reclaimed


def test_a_dropped_statement_is_rejected_at_its_end_and_the_next_one_is_served():
    proxy = SmallProxy()
    connection, wire = proxy.client()
    connection.dataReceived(HALF_UPLOAD)
    give_back_memory(connection)
    assert not errors(wire) and connection in proxy.listener.activity.receiving
    connection.dataReceived(UPLOAD[len(HALF_UPLOAD) :] + read(2))
    proxy.turn()
    proxy.answer()
    kinds = [kind for kind, _ in messages(wire.value())]
    assert [error["C"] for error in errors(wire)] == ["53300"]
    assert kinds.count(codec.DATA_ROW) == 1 and kinds.count(codec.READY_FOR_QUERY) == 2
    assert kinds.index(codec.ERROR_RESPONSE) < kinds.index(codec.DATA_ROW)


def test_dropped_statements_behind_a_pending_one_are_rejected_after_its_response():
    proxy = SmallProxy()
    connection, wire = proxy.client()
    connection.dataReceived(write(1) + write(2) + read(3) + HALF_UPLOAD)
    proxy.turn()
    give_back_memory(connection)
    proxy.answer()
    proxy.turn(0.0, 10)
    connection.dataReceived(UPLOAD[len(HALF_UPLOAD) :])
    proxy.turn()
    kinds = [kind for kind, _ in messages(wire.value())]
    assert kinds.count(codec.ERROR_RESPONSE) == 3 and kinds.count(codec.READY_FOR_QUERY) == 4
    assert kinds.index(codec.DATA_ROW) < kinds.index(codec.ERROR_RESPONSE)
    assert connection in proxy.listener.activity.idle


def test_an_incomplete_statement_that_was_dropped_still_times_out():
    proxy = SmallProxy()
    connection, wire = proxy.client()
    connection.dataReceived(HALF_UPLOAD)
    give_back_memory(connection)
    proxy.advance_in_steps(2.3)
    assert [error["S"] for error in errors(wire)] == ["FATAL"] and wire.half_closed


# Guards against pending statements of many clients without a common bound (a29244, picture a).
def test_large_statements_beyond_the_budget_are_rejected_and_small_ones_are_served():
    proxy = SmallProxy()
    clients = [proxy.client() for _ in range(20)]
    for connection, _ in clients:
        text = upload_statement(connection.number, codec.VALUE_BYTES_MAX, "write")
        connection.dataReceived(codec.query(text))
        proxy.turn()
    rejected = [wire for _, wire in clients if errors(wire)]
    assert len(rejected) + proxy.engine.request_table.pending == len(clients) and rejected
    assert all(error["C"] == "53300" for wire in rejected for error in errors(wire))
    budget = proxy.listener.buffers.budget
    assert budget.pending_bytes <= budget.max_bytes
    connection, _ = proxy.client()
    connection.dataReceived(read(99))
    assert connection.request is not None
    for connection, _ in clients:
        connection.connectionLost()
    assert budget.pending_bytes < len(read(99)) * 2


def test_a_statement_whose_request_has_ended_gives_its_text_back():
    proxy = SmallProxy()
    connection, _ = proxy.client()
    connection.dataReceived(UPLOAD)
    proxy.turn()
    statement = connection.statement
    proxy.answer()
    assert statement.held_bytes == 0 == proxy.listener.buffers.budget.total_bytes


def test_under_memory_pressure_sockets_are_read_in_small_pieces():
    proxy = SmallProxy()
    early, early_wire = proxy.client()
    assert early_wire.bufferSize == READ_BYTES
    clients = [proxy.client()[0] for _ in range(5)]
    for connection in clients:
        connection.dataReceived(HALF_UPLOAD + bytes(len(UPLOAD) // 4))
    assert proxy.listener.buffers.under_pressure and early_wire.bufferSize == PRESSURE_READ_BYTES
    for connection in clients:
        connection.connectionLost()
    assert not proxy.listener.buffers.under_pressure and early_wire.bufferSize == READ_BYTES
    assert early in proxy.listener.connections
