"""The client side of the PostgreSQL protocol: valid requests, malformed input, limits and timeouts."""

from __future__ import annotations

import struct
from dataclasses import replace

import pytest

from sedgepitch.decisions.connections import client_connections
from sedgepitch.protocols.postgresql import codec, read_ahead, statement_handler
from sedgepitch.routing.messages import AttemptResult
from tests.support.postgresql_harness import ROW, WALL, PostgresqlProxy, errors, messages, read, write
from tests.support.router_harness import SETTINGS


def test_start_up_and_an_empty_query_are_answered():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client(greet=False)
    connection.dataReceived(struct.pack("!ii", 8, codec.SSL_REQUEST))
    assert wire.value() == b"N"
    wire.clear()
    connection.dataReceived(codec.startup("web", "orders") + codec.query(b""))
    assert [k for k, _ in messages(wire.value())][-3:] == [b"Z", b"I", b"Z"]


def test_a_read_is_served_with_the_value_as_the_endpoint_sent_it():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(read(1))
    proxy.turn()
    proxy.answer()
    assert wire.value() == ROW + codec.READY
    assert not proxy.listener.open_request_ids


def test_the_time_left_sent_to_an_endpoint_counts_from_the_arrival_of_the_bytes():
    proxy = PostgresqlProxy()
    connection, _ = proxy.client()
    proxy.task.advance(1.0)
    connection.transport.arrived = proxy.clock.now() - 0.1  # the bytes were read 100 ms after their arrival
    connection.dataReceived(read(1, d="500"))
    proxy.turn()
    payload = proxy.endpoints.sent[0].payload
    assert payload.text(proxy.clock.now()) == read(1, d="400")[5:-1]


def test_a_rejection_has_retry_after_only_if_settings_allow_it():
    for settings, has_retry_after in ((SETTINGS, True), (replace(SETTINGS, retry_after=False), False)):
        proxy = PostgresqlProxy(settings)
        connection, wire = proxy.client()
        connection.dataReceived(read(1, d="400"))
        proxy.turn()
        proxy.answer(result=AttemptResult.TIMEOUT)
        while not errors(wire):
            proxy.turn(0.005, 1)
        (error,) = errors(wire)
        assert error["C"] == "53300"
        assert ("D" in error) is has_retry_after


def test_a_write_that_may_have_run_fails():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(write(1))
    proxy.turn()
    proxy.advance_in_steps(0.6)
    (error,) = errors(wire)
    assert error["C"] == statement_handler.SQLSTATE_FAILED


def test_a_response_is_sent_before_the_clients_deadline():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(read(1, d="300"))
    proxy.turn()
    for _ in range(29):
        proxy.turn(0.01, 1)
    proxy.turn(0.009)
    assert len(errors(wire)) == 1


def test_the_age_of_a_sessions_last_commit_is_computed_from_its_position():
    proxy = PostgresqlProxy()
    submitted = []
    proxy.engine.submit = lambda request, respond, arrived: submitted.append(request) or type(
        "A", (), {"open": False}
    )
    connection, _ = proxy.client()
    after = int((proxy.clock.now() + WALL - 2.5) * 1000)
    connection.dataReceived(read(1, "session", after=after))
    assert submitted[0].session_age == pytest.approx(2.5, abs=0.002)


def test_statements_run_one_at_a_time_and_time_out_from_their_own_turn():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(read(1) + read(2) + read(3))
    for count in (1, 2, 3):
        proxy.turn()
        assert len(proxy.endpoints.sent) == count
        proxy.turn(0.1)
        proxy.answer()
    assert wire.value() == 3 * (ROW + codec.READY)


def test_a_request_with_the_id_of_an_open_request_is_rejected_and_the_open_one_served():
    proxy = PostgresqlProxy()
    first, first_wire = proxy.client()
    second, second_wire = proxy.client()
    first.dataReceived(read(1))
    second.dataReceived(read(1))
    proxy.turn()
    assert len(errors(second_wire)) == 1 and len(proxy.endpoints.sent) == 1
    proxy.answer()
    assert first_wire.value() == ROW + codec.READY
    second.dataReceived(read(1))
    proxy.turn()
    assert len(proxy.endpoints.sent) == 2


BAD_BYTES = [
    b"\0\0\0\0garbage",
    b"GET / HTTP/1.1\r\n\r\n",
    struct.pack("!ii", 2**31 - 1, 196608),
    struct.pack("!ii", 8, codec.CANCEL_REQUEST),
    struct.pack("!ii", 12, 196608) + b"user",
    codec.startup("web", "orders") + struct.pack("!ci", b"Q", 60_000_000) + b"x" * 1000,
    codec.startup("web", "orders") + struct.pack("!ci", b"Q", -5),
    codec.startup("web", "orders") + codec.message(b"P", b"\0select 1\0\0\0"),
    codec.startup("web", "orders") + b"\xff" * 64,
    codec.startup("web", "orders") + codec.message(b"Q", b"no end"),
]


@pytest.mark.parametrize("data", BAD_BYTES)
def test_malformed_input_is_answered_with_an_error_or_closed_immediately(data):
    proxy = PostgresqlProxy()
    connection, wire = proxy.client(greet=False)
    connection.dataReceived(data)
    proxy.turn()
    assert wire.half_closed
    connection.dataReceived(b"y" * 100)  # further input is discarded
    proxy.advance_in_steps(1.0)
    assert wire.aborted and not proxy.endpoints.sent


def test_a_connection_that_floods_after_an_error_is_aborted():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(struct.pack("!ci", b"Q", 60_000_000))
    for _ in range(10):
        connection.dataReceived(b"z" * 65536)
    assert wire.aborted


def test_many_unsupported_statements_each_get_an_error_and_delay_no_other_client():
    proxy = PostgresqlProxy()
    bad, bad_wire = proxy.client()
    good, good_wire = proxy.client()
    bad.dataReceived(300 * codec.query(b"DROP TABLE entries"))
    good.dataReceived(read(1))
    assert len(errors(bad_wire)) == 1, "the rest is executed in later turns"
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1
    assert len(errors(bad_wire)) == 300
    proxy.answer()
    assert good_wire.value() == ROW + codec.READY


def test_silent_and_incomplete_connections_time_out_and_idle_ones_stay_open():
    proxy = PostgresqlProxy()
    _, silent = proxy.client(greet=False)
    half, half_wire = proxy.client()
    _, idle = proxy.client()
    half.dataReceived(read(1)[:-5])
    for _ in range(25):  # single bytes do not restart the timeout
        proxy.advance_in_steps(0.1)
        half.dataReceived(b" ")
    assert silent.half_closed and half_wire.half_closed
    assert not idle.half_closed and not idle.aborted
    assert not proxy.endpoints.sent


def test_all_state_of_a_disconnected_client_is_removed():
    proxy = PostgresqlProxy()
    connection, _ = proxy.client()
    connection.dataReceived(read(1))
    proxy.turn()
    connection.connectionLost()
    proxy.answer()
    listener = proxy.listener
    activity = listener.activity
    assert not (
        listener.open_request_ids
        or listener.connections
        or activity.idle
        or activity.receiving
        or activity.awaiting_first_byte
    )
    assert not proxy.engine.request_table.requests and proxy.descriptors.clients == 0


def open_clients(proxy: PostgresqlProxy, busy: int) -> list:
    """Open `busy` clients with a pending request, then two idle ones; return the wires of the idle ones."""
    for number in range(busy):
        proxy.client()[0].dataReceived(read(number + 1))
    proxy.turn()
    return [proxy.client()[1], proxy.client()[1]]


def test_the_longest_idle_client_is_evicted_when_a_descriptor_is_needed():
    proxy = PostgresqlProxy(sockets=40)
    idle = open_clients(proxy, busy=proxy.descriptors.max_clients - 2)
    proxy.client(greet=False)
    assert [wire.aborted for wire in idle] == [True, False]


def test_a_client_that_does_not_read_its_response_is_closed():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    wire.producer.pauseProducing()
    connection.dataReceived(read(1))
    proxy.turn()
    assert not proxy.endpoints.sent
    proxy.advance_in_steps(client_connections.WRITE_TIMEOUT_S + 1.0)
    assert wire.aborted


def test_reading_is_paused_for_a_client_above_the_read_ahead_limit():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(read(1))
    proxy.turn()
    for number in range(2, 20_000):
        if wire.producerState != "producing":
            break
        connection.dataReceived(read(number))
    assert (
        connection.reader.buffered_bytes < read_ahead.EXTENDED_READ_AHEAD_BYTES + read_ahead.READ_AHEAD_BYTES
    )
    assert wire.producerState == "paused"


def test_the_extended_read_ahead_is_limited_to_a_few_clients():
    proxy = PostgresqlProxy()
    clients = [proxy.client() for _ in range(read_ahead.EXTENDED_CLIENTS_MAX + 4)]
    for index, (connection, _) in enumerate(clients):
        connection.dataReceived(read(index + 1))
    proxy.turn()
    for connection, wire in clients:
        while (
            wire.producerState == "producing"
            and connection.reader.buffered_bytes < 2 * read_ahead.READ_AHEAD_BYTES
        ):
            connection.dataReceived(8 * read(99_999))
    assert [wire.producerState for _, wire in clients].count("paused") == 4
    for connection, _ in clients:
        connection.connectionLost()
    assert not proxy.listener.read_ahead.extended and not proxy.listener.read_ahead.paused


def test_a_shutdown_serves_late_requests_only_if_the_response_is_sent_in_time():
    proxy = PostgresqlProxy()
    proxy.listener.answer_by = proxy.clock.now() + 0.3
    proxy.listener.close_idle_from = proxy.clock.now() + 0.25
    (early, early_wire), (late, late_wire), (_, idle) = proxy.client(), proxy.client(), proxy.client()
    early.dataReceived(read(1, d="5000"))
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1
    proxy.advance_in_steps(0.29, step=0.005)
    late.dataReceived(read(2, d="5000"))
    proxy.turn()
    assert errors(late_wire)[0]["C"] == "53300" and len(proxy.endpoints.sent) <= 2
    assert [k for k, _ in messages(early_wire.value())] == [b"E", b"Z"], "answered at the limited deadline"
    proxy.listener.close_idle_connections()
    assert idle.half_closed and not idle.aborted, "closed in order, so that sent data still arrives"


def test_a_new_silent_connection_is_not_evicted_while_others_are_idle():
    proxy = PostgresqlProxy(sockets=40)
    idle = open_clients(proxy, busy=proxy.descriptors.max_clients - 3)
    _, silent = proxy.client(greet=False)
    proxy.client(greet=False)
    assert idle[0].aborted and not silent.aborted
    proxy.advance_in_steps(client_connections.FIRST_BYTE_GRACE_S + 0.1)
    proxy.client(greet=False)
    assert silent.aborted and not idle[1].aborted


def test_the_number_of_idle_connections_is_limited_and_the_longest_idle_is_evicted():
    proxy = PostgresqlProxy(sockets=104)  # allows 40 clients, 13 of them idle
    clients = [proxy.client() for _ in range(13)]
    assert not any(wire.half_closed for _, wire in clients)
    clients[0][0].dataReceived(read(1))
    proxy.turn()
    proxy.answer()  # the most recently active client
    proxy.client()
    assert [wire.half_closed for _, wire in clients[:3]] == [False, True, False]


def test_a_rejection_by_the_proxy_itself_has_retry_after_only_if_settings_allow_it():
    for settings, has_retry_after in ((SETTINGS, True), (replace(SETTINGS, retry_after=False), False)):
        proxy = PostgresqlProxy(settings)
        connection, wire = proxy.client()
        connection.dataReceived(read(1, d="300"))
        proxy.turn()
        # The event loop lag of the proxy grows after it has accepted the request.
        proxy.engine.event_loop_lag.record(0.2, proxy.clock.now())
        proxy.engine.event_loop_lag.record(0.2, proxy.clock.now() + 0.3)
        for _ in range(40):
            proxy.turn(0.005, 1)
        (error,) = errors(wire)
        assert proxy.engine.answered_early == 1 and error["C"] == "53300"
        assert ("D" in error) is has_retry_after


# Guards against thousands of requests for encryption in one read, each answered by a write (a29244).
@pytest.mark.parametrize("kind", [codec.SSL_REQUEST, codec.GSS_REQUEST])
def test_a_client_may_ask_once_for_each_kind_of_encryption(kind):
    request = struct.pack("!ii", codec.STARTUP_HEADER_BYTES, kind)
    proxy = PostgresqlProxy()
    connection, wire = proxy.client(greet=False)
    connection.dataReceived(8000 * request)
    assert wire.value().count(b"N") < 10
    assert errors_behind(wire, b"N") == ["08P01"] and wire.half_closed


def test_a_client_may_ask_for_both_kinds_of_encryption_and_start():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client(greet=False)
    for kind in (codec.GSS_REQUEST, codec.SSL_REQUEST):
        connection.dataReceived(struct.pack("!ii", codec.STARTUP_HEADER_BYTES, kind))
    assert wire.value() == b"NN"
    connection.dataReceived(codec.startup("web", "orders"))
    assert wire.value().endswith(codec.READY) and not wire.half_closed


def errors_behind(wire, answers: bytes) -> list[str]:
    """Return the codes of the errors behind the answers to requests for encryption."""
    error = wire.value()[len(answers) :]
    return [codec.read_error(raw)["C"] for kind, raw in messages(error) if kind == codec.ERROR_RESPONSE]
