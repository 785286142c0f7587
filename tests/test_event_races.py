"""Races: events that arrive between a decision and its effect. The order of events is forced, not timed.

Tests in which a peer closes its connection use real loopback sockets.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from dataclasses import replace
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from sedgepitch.core.clock import FakeClock, ReactorClock
from sedgepitch.core.connection_pool import ConnectionPool, PoolLimits
from sedgepitch.core.engine import Engine
from sedgepitch.core.types import AttemptOutcome, ClientRequest, ResponseStatus
from sedgepitch.decisions.connections.client_connections import RECEIVE_TIMEOUT_S
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.decisions.connections.shutdown_schedule import ShutdownSchedule
from sedgepitch.node.graceful_shutdown import GracefulShutdown
from sedgepitch.protocols.postgresql import client_listener, codec, read_ahead, statement_handler
from sedgepitch.protocols.postgresql.close_reasons import CloseReason
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult
from sedgepitch.routing.router import Router
from tests.support.mongodb_harness import StubEndpoints
from tests.support.postgresql_harness import ROW, PostgresqlProxy, errors, messages, read, write
from tests.support.router_harness import SETTINGS, entry

LINGER_ZERO = struct.pack("ii", 1, 0)  # closing a socket with this option sends a TCP reset


def connect_socket(wire) -> socket.socket:
    """Give the fake transport a real socket and return the client's end of that connection."""
    server = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(server.getsockname())
    wire.socket, _ = server.accept()
    wire.socket.setblocking(False)
    server.close()
    return client


def disconnect(client: socket.socket, how: str) -> None:
    """Close the client's socket; with `how` "reset", send a TCP reset instead of a FIN."""
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    client.close()


def pipeline_until_paused(proxy: PostgresqlProxy, connection, wire) -> int:
    """Pipeline statements until the proxy stops reading the socket; return how many were sent."""
    for number in itertools.count(100):
        if wire.producerState != "producing":
            return number - 100
        connection.dataReceived(read(number, d="60000"))


# Clients that disconnect while their socket is not read; the disconnect is detected within 0.3 s


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_disconnect_behind_unread_bytes_is_detected_and_no_further_statement_is_forwarded(how):
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    client = connect_socket(wire)
    connection.dataReceived(read(1, d="60000"))
    proxy.turn()
    assert pipeline_until_paused(proxy, connection, wire) > 100
    client.sendall(b"bytes that lie unread before the end")
    disconnect(client, how)
    proxy.advance_in_steps(0.25)
    assert wire.aborted and proxy.listener.disconnects_found_unread == 1
    proxy.answer(0)
    proxy.advance_in_steps(1.0)
    assert len(proxy.endpoints.sent) == 1, "pipelined statements behind the first are not forwarded"
    connection.connectionLost()
    assert (
        not proxy.engine.request_table.pending
        and not proxy.listener.read_ahead.paused
        and not proxy.listener.open_request_ids
    )


def test_reading_resumes_while_pipelined_statements_are_still_buffered(monkeypatch):
    monkeypatch.setattr(read_ahead, "EXTENDED_READ_AHEAD_BYTES", read_ahead.READ_AHEAD_BYTES)
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(read(1, d="60000"))
    proxy.turn()
    count = pipeline_until_paused(proxy, connection, wire)
    for _ in range(count):
        proxy.answer()
        if wire.producerState == "producing":
            break
    assert (
        wire.producerState == "producing"
        and read_ahead.READ_AHEAD_BYTES / 4 < connection.reader.buffered_bytes
    )


def test_a_request_read_late_is_not_forwarded_if_its_client_has_disconnected():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    disconnect(connect_socket(wire), "close")
    wire.arrived = proxy.clock.now() - 0.4  # the proxy process was suspended for 0.4 s
    connection.dataReceived(read(1, d="5000"))
    proxy.advance_in_steps(1.0)
    assert not proxy.endpoints.sent and proxy.listener.disconnects_found_late == 1


def test_a_request_read_late_is_forwarded_if_its_client_is_still_connected():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    client = connect_socket(wire)
    wire.arrived = proxy.clock.now() - 0.4
    connection.dataReceived(read(1, d="5000"))
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1
    client.close()


def test_a_request_whose_client_disconnects_while_it_is_queued_is_not_forwarded():
    proxy = PostgresqlProxy()
    proxy.engine.list_changed(
        api.EndpointListUpdate((entry(1, state=api.EndpointState.DRAINING),), complete=True)
    )
    connection, _ = proxy.client()
    connection.dataReceived(write(1, d="5000"))
    proxy.turn()
    assert not proxy.endpoints.sent
    connection.connectionLost()
    proxy.engine.list_changed(api.EndpointListUpdate((entry(1, primary=True),), complete=True))
    proxy.advance_in_steps(1.0)
    assert not proxy.endpoints.sent and not proxy.engine.router.requests


def test_a_repeated_request_id_replaces_an_unsent_request_whose_client_disconnected():
    proxy = PostgresqlProxy()
    proxy.engine.list_changed(
        api.EndpointListUpdate((entry(1, state=api.EndpointState.DRAINING),), complete=True)
    )
    (old, old_wire), (new, new_wire) = proxy.client(), proxy.client()
    client = connect_socket(old_wire)
    old.dataReceived(write(1, d="5000"))
    proxy.turn()
    new.dataReceived(write(1, d="5000"))
    assert len(errors(new_wire)) == 1, "rejected as a duplicate while the first client is connected"
    disconnect(client, "close")  # the proxy has not read the FIN yet
    new.dataReceived(write(1, d="5000"))
    proxy.turn()
    assert len(errors(new_wire)) == 1 and old_wire.aborted and not errors(old_wire)
    old.connectionLost()
    assert proxy.listener.open_request_ids == {b"1": new} and proxy.engine.request_table.pending == 1


# Eviction for new connections, and graceful shutdown


def test_eviction_for_a_new_connection_spares_a_client_with_an_unread_request():
    proxy = PostgresqlProxy(sockets=40)
    for number in range(proxy.descriptors.max_clients - 2):
        proxy.client()[0].dataReceived(read(number + 1))
    proxy.turn()
    (_, with_unread_request), (_, idle) = proxy.client(), proxy.client()
    client = connect_socket(with_unread_request)
    client.sendall(read(77))
    proxy.client(greet=False)
    assert [with_unread_request.aborted, idle.aborted] == [False, True]
    client.close()


def test_a_shutdown_does_not_close_a_client_with_an_unread_request():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    _, idle = proxy.client()
    client, idle_client = connect_socket(wire), connect_socket(idle)
    proxy.listener.begin_shutdown(ShutdownSchedule(proxy.clock.now() - 10.0, 1.0))
    client.sendall(read(1))
    proxy.listener.close_idle_connections()
    assert idle.half_closed and not wire.half_closed and not wire.aborted
    wire.socket.recv(4096)
    connection.dataReceived(read(1))
    proxy.turn()
    assert [e["C"] for e in errors(wire)] == ["53300"], "answered with a rejection: too late to be served"
    proxy.listener.close_idle_connections()
    assert wire.half_closed
    for end in (client, idle_client):
        end.close()


def test_a_shutdown_answers_each_pipelined_statement():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(read(1, d="9000") + read(2, d="9000") + read(3, d="9000"))
    proxy.turn()
    schedule = ShutdownSchedule(proxy.clock.now(), 0.5)
    proxy.listener.begin_shutdown(schedule)
    proxy.engine.answer_all_by(schedule.drain_deadline)
    while proxy.clock.now() < schedule.exit_deadline:
        proxy.listener.close_idle_connections()
        proxy.turn(0.02)
    assert len(errors(wire)) == 3 and wire.half_closed and not proxy.engine.request_table.pending
    assert not proxy.engine.answered_by_last_guard


# Guards against clients that are never found idle by the periodic check, and keep the process until its exit.
def test_late_in_a_shutdown_a_connection_is_closed_with_its_response():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(read(1, d="9000"))
    proxy.turn()
    proxy.listener.close_idle_from = proxy.clock.now()
    proxy.endpoints.sent[0].on_end(AttemptOutcome(AttemptResult.OK, ROW))
    assert wire.value() == ROW + codec.READY
    assert wire.half_closed, "closed in the same step, before the client can send again"


@pytest.mark.parametrize("unread", ["in the socket", "in the buffer", "half a statement"])
def test_late_in_a_shutdown_a_connection_with_further_input_is_served_before_it_is_closed(unread):
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    client = connect_socket(wire)
    connection.dataReceived(read(1, d="9000"))
    proxy.turn()
    proxy.listener.close_idle_from = proxy.clock.now()
    following = read(2, d="9000")
    buffered = {"in the socket": 0, "in the buffer": len(following), "half a statement": 40}[unread]
    if buffered:
        connection.dataReceived(following[:buffered])
    client.sendall(following[buffered:])
    proxy.answer(0)
    assert not wire.half_closed
    if rest := following[buffered:]:
        connection.dataReceived(wire.socket.recv(len(rest)))
    proxy.turn()
    proxy.answer(1)
    assert wire.half_closed and [kind for kind, _ in messages(wire.value())].count(b"Z") == 2
    client.close()


def test_a_long_pending_request_is_answered_by_the_drain_deadline():
    for make, sqlstate in ((read, "53300"), (write, statement_handler.SQLSTATE_FAILED)):
        proxy = PostgresqlProxy()
        connection, wire = proxy.client()
        connection.dataReceived(make(1, d="60000"))
        proxy.turn()
        proxy.engine.answer_all_by(proxy.clock.now() + 1.0)
        proxy.advance_in_steps(1.05)
        assert [e["C"] for e in errors(wire)] == [sqlstate]


@pytest.mark.parametrize("longest_deadline", [0.05, 0.3, 1.0, 3.0, 60.0])
def test_the_times_of_a_shutdown_schedule_are_in_order_for_every_longest_deadline(longest_deadline):
    schedule = ShutdownSchedule(100.0, longest_deadline)
    times = [
        100.0,
        schedule.accept_until,
        schedule.close_idle_from,
        schedule.drain_deadline,
        schedule.exit_deadline,
    ]
    assert times == sorted(times) and times[-1] < 100.0 + min(3.0, longest_deadline) + 0.7
    assert not schedule.may_exit(schedule.exit_deadline + 9.0, listening=False, connections=0, pending=1)
    assert schedule.may_exit(101.0, listening=False, connections=0, pending=0)
    assert not schedule.may_exit(100.1, listening=True, connections=0, pending=0)


@pytest.mark.parametrize("noticed_after", [0.0, 0.1, 0.4, 2.5, 9.0])
def test_a_shutdown_noticed_late_accepts_connections_for_as_long_but_ends_no_later(noticed_after):
    """New connections may arrive for 0.4 s after the request, which is between the two times."""
    prompt = ShutdownSchedule(100.0, 3.0)
    late = ShutdownSchedule(100.0, 3.0, noticed_at=100.0 + noticed_after)
    assert late.accept_until >= min(100.0 + noticed_after + 0.4, late.close_idle_from)
    assert late.accept_until <= late.close_idle_from
    assert (late.close_idle_from, late.drain_deadline, late.exit_deadline) == (
        prompt.close_idle_from,
        prompt.drain_deadline,
        prompt.exit_deadline,
    )


# Requests that wait for a pooled connection to an endpoint


class FakeConnection:
    """A pooled connection that records the exchanges started on it."""

    def __init__(self) -> None:
        self.started, self.closed = [], False

    def start(self, payload, done) -> None:
        self.started.append((payload, done))

    def close(self) -> None:
        self.closed = True

    def unsent(self) -> int:
        return 0

    def usable(self) -> bool:
        return not self.closed


class FakeConnector:
    """A connector that records its calls; the test invokes the callbacks."""

    def __init__(self) -> None:
        self.calls = []  # (ready, failed, lost) callbacks of each call
        self.cancelled = 0

    def __call__(self, ready, failed, lost):
        self.calls.append((ready, failed, lost))

        def cancel() -> None:
            self.cancelled += 1

        return cancel


class PooledEndpoints:
    """Endpoints behind real connection pools; the test decides when their connections open."""

    def __init__(self, clock, limits: PoolLimits) -> None:
        self.connectors: dict[int, FakeConnector] = {}
        self.pools: dict[int, ConnectionPool] = {}
        self.budget = DescriptorBudget(256)
        self.clock, self.limits = clock, limits

    def pool(self, endpoint: int) -> ConnectionPool:
        if endpoint not in self.pools:
            self.connectors[endpoint] = FakeConnector()
            self.pools[endpoint] = ConnectionPool(
                self.clock, self.connectors[endpoint], lambda e, r: r, self.limits, self.budget
            )
        return self.pools[endpoint]

    def send(self, endpoint, payload, on_end, by):
        return self.pool(endpoint).send(payload, on_end, by)

    def check_health(self, endpoint, on_end):
        on_end(AttemptOutcome(AttemptResult.OK, report=api.LoadReport(0.0, False)))

    def close_idle(self, endpoint):
        self.pool(endpoint).close_idle()

    def update_endpoints(self, entries, complete):
        pass


def pooled(settings: api.Settings = SETTINGS) -> tuple[PostgresqlProxy, PooledEndpoints]:
    """Return a proxy whose endpoints are behind connection pools."""
    proxy = PostgresqlProxy(settings)
    endpoints = PooledEndpoints(proxy.clock, PoolLimits(connect_timeout=5.0, discard_timeout=0.0))
    proxy.engine.upstream = endpoints
    return proxy, endpoints


@pytest.mark.parametrize("change", ["draining", "gone", "missing", "restarted"])
def test_a_request_waiting_for_a_connection_is_withdrawn_when_the_endpoint_list_changes(change):
    proxy, endpoints = pooled()
    connection, wire = proxy.client()
    connection.dataReceived(write(1, d="5000"))
    proxy.turn()
    (connector_call,) = endpoints.connectors[1].calls
    state = {"draining": api.EndpointState.DRAINING, "gone": api.EndpointState.GONE}.get(
        change, api.EndpointState.UP
    )
    if change == "missing":
        proxy.engine.list_changed(api.EndpointListUpdate((entry(2), entry(3)), complete=True))
    else:
        started = proxy.clock.now() if change == "restarted" else 0.0
        updated = replace(entry(1, primary=True), state=state, started=started)
        proxy.engine.list_changed(api.EndpointListUpdate((updated,), complete=False))
    proxy.turn()
    opened = FakeConnection()
    connector_call[0](opened)
    proxy.turn()
    resent = change == "restarted" and bool(opened.started)  # routed again, to the restarted process
    assert not opened.started or resent
    connection.connectionLost()
    proxy.turn()
    assert proxy.engine.request_table.pending == 0


def test_retiring_a_pool_sends_nothing_to_the_old_address():
    """The pool of an endpoint whose address changed is retired."""
    task = Clock()
    budget, outcomes, connector = DescriptorBudget(256), [], FakeConnector()
    pool = ConnectionPool(FakeClock(task), connector, lambda e, r: r, PoolLimits(), budget)
    pool.send("request", outcomes.append)
    pool.retire()
    assert [e.result for e in outcomes] == [AttemptResult.NOT_SENT] and connector.cancelled == 1
    opened = FakeConnection()
    connector.calls[0][0](opened)
    assert opened.closed and not opened.started and budget.endpoints == 0


def test_a_connection_that_becomes_ready_after_its_timeout_is_closed_and_not_counted():
    task = Clock()
    budget, outcomes, connector = DescriptorBudget(256), [], FakeConnector()
    pool = ConnectionPool(
        FakeClock(task), connector, lambda e, r: r, PoolLimits(connect_timeout=0.25), budget
    )
    pool.send("request", outcomes.append)
    task.advance(0.3)
    assert [e.result for e in outcomes] == [AttemptResult.CONNECT_FAILED] and budget.endpoints == 0
    opened = FakeConnection()
    ready, failed, lost = connector.calls[0]
    ready(opened)
    assert opened.closed and not opened.started and not pool.idle
    lost("closed here")
    failed("late")
    assert budget.endpoints == 0 and not pool.connections and len(outcomes) == 1


# Timers that expire while bytes are unread: the bytes are read before the timeout is decided


def test_a_connection_whose_handshake_is_unread_does_not_time_out():
    task = Clock()
    budget, outcomes, connector, opened = DescriptorBudget(256), [], FakeConnector(), FakeConnection()
    pool = ConnectionPool(
        FakeClock(task), connector, lambda e, r: r, PoolLimits(connect_timeout=0.25), budget
    )
    pool.send("request", outcomes.append)
    # The handshake is read after the timer expired, in the same turn.
    task.callLater(0.25, lambda: connector.calls[0][0](opened))
    task.advance(0.25)
    assert not outcomes and not connector.cancelled and opened.started[0][0] == "request"
    task.advance(1.0)
    assert not outcomes and budget.endpoints == 1


def test_a_health_check_whose_response_is_unread_does_not_time_out():
    task = Clock()
    outcomes, connector, opened = [], FakeConnector(), FakeConnection()
    pool = ConnectionPool(FakeClock(task), connector, lambda e, r: r, PoolLimits(connect_timeout=5.0), None)
    pool.send_with_timeout("probe", outcomes.append, 0.25)
    connector.calls[0][0](opened)
    task.callLater(0.25, lambda: opened.started[0][1](AttemptOutcome(AttemptResult.OK)))
    task.advance(0.25)
    task.advance(1.0)
    assert [outcome.result for outcome in outcomes] == [AttemptResult.OK]


@pytest.mark.parametrize("received", [0, 5])
def test_a_client_whose_bytes_are_unread_does_not_exceed_the_receive_timeout(received):
    """The bytes are read after the timer, in the turn in which the timeout expires."""
    proxy = PostgresqlProxy()
    connection, wire = proxy.client(greet=False)
    stream = codec.startup("web", "orders") + read(1, d="60000")
    connection.dataReceived(stream[:received])
    expires_at = proxy.clock.now() + RECEIVE_TIMEOUT_S
    while proxy.clock.now() + client_listener.CHECK_INTERVAL_S < expires_at - 1e-6:
        proxy.turn(client_listener.CHECK_INTERVAL_S)
    proxy.task.callLater(client_listener.CHECK_INTERVAL_S, connection.dataReceived, stream[received:])
    for _ in range(3):
        proxy.turn(client_listener.CHECK_INTERVAL_S)
    assert not errors(wire) and len(proxy.endpoints.sent) == 1


def event_loops() -> list:
    """Return a new event loop of each kind that the program may run on: asyncio, and uvloop if installed."""
    loops = [asyncio.SelectorEventLoop()]
    try:
        import uvloop
    except ImportError:
        return loops
    return [*loops, uvloop.new_event_loop()]


@pytest.mark.parametrize("which", range(len(event_loops())))
def test_a_response_received_during_a_long_turn_is_read_before_the_deadline_is_checked(which):
    """One turn of the event loop lasts beyond the client's deadline, and the response arrives during it."""
    loop = event_loops()[which]
    clock = ReactorClock(SimpleNamespace(_asyncioEventloop=loop))
    endpoints, answers = StubEndpoints(), []
    engine = Engine(Router(SETTINGS, 1), endpoints, clock)
    engine.list_changed(api.EndpointListUpdate((entry(1, primary=True), entry(2), entry(3)), complete=True))
    pairs = [socket.socketpair() for _ in range(2)]
    pending = engine.submit(ClientRequest("write", 1, 0.15, "payload"), answers.append)

    def long_turn() -> None:
        pairs[0][0].recv(9)
        pairs[1][1].send(b"answer")
        while clock.now() < pending.deadline + 0.03:
            pass

    def receive_answer() -> None:
        pairs[1][0].recv(9)
        endpoints.sent[0].on_end(AttemptOutcome(AttemptResult.OK, ROW))
        loop.call_later(0.05, loop.stop)

    for (proxy_end, _), callback in zip(pairs, (long_turn, receive_answer), strict=True):
        proxy_end.setblocking(False)
        loop.add_reader(proxy_end.fileno(), callback)
    loop.call_later(0.02, pairs[0][1].send, b"begin")
    loop.run_forever()
    loop.close()
    for pair in pairs:
        for end in pair:
            end.close()
    assert [answer.status for answer in answers] == [ResponseStatus.SERVED]


CONNECTION_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["send", "ready", "failed", "answer", "lost", "abandon", "withdraw", "wait", "retire", "idle"]
        ),
        st.integers(0, 7),
    ),
    max_size=60,
)


@given(CONNECTION_STEPS, st.sampled_from([0.0, 1.0]))
def test_every_order_of_connection_events_ends_an_exchange_once_and_leaks_no_descriptor(
    steps, discard_timeout
):
    task = Clock()
    budget, connector = DescriptorBudget(64), FakeConnector()
    limits = PoolLimits(
        max_connections=4, connect_timeout=0.25, max_idle_time=2.0, discard_timeout=discard_timeout
    )
    pool = ConnectionPool(
        FakeClock(task), connector, lambda e, r: AttemptOutcome(AttemptResult.OK), limits, budget
    )
    exchanges, outcomes, opened, ended = [], [], {}, set()

    def pick_open(which):
        live = [n for n in opened if n not in ended]
        return live[which % len(live)] if live else None

    for step, which in steps:
        if step == "send":
            number = len(exchanges)
            outcomes.append([])
            exchanges.append(pool.send(number, outcomes[number].append))
        elif step in ("ready", "failed"):
            waiting = [n for n in range(len(connector.calls)) if n not in opened and n not in ended]
            if waiting:
                number = waiting[which % len(waiting)]
                if step == "ready":
                    opened[number] = FakeConnection()
                    connector.calls[number][0](opened[number])
                else:
                    ended.add(number)
                    connector.calls[number][1]("refused")
        elif step == "answer":
            number = pick_open(which)
            if number is not None and opened[number].started and not opened[number].closed:
                opened[number].started.pop()[1]("reply")
        elif step == "lost":
            number = pick_open(which)
            if number is not None:
                ended.add(number)
                connector.calls[number][2]("ended")
        elif step == "abandon" and exchanges:
            exchanges[which % len(exchanges)].abandon()
        elif step == "withdraw" and exchanges:
            exchanges[which % len(exchanges)].withdraw()
        elif step == "retire" and which == 0:
            pool.retire()
        elif step == "idle":
            pool.close_idle()
        else:
            task.advance(0.1 * which)
        assert all(len(x) <= 1 for x in outcomes)
        assert 0 <= budget.endpoints <= limits.max_connections
        assert all(len(x.started) <= 1 for x in opened.values())
    pool.close()
    task.advance(5.0)
    for number, connection in opened.items():
        if number not in ended:
            assert connection.closed
            connector.calls[number][2]("closed here")
    assert budget.endpoints == 0 and not pool.connections and not pool.idle


# Several events in one turn of the event loop


def apply_event(proxy: PostgresqlProxy, connection, event: str) -> None:
    """Apply one of the events that may coincide in a turn."""
    if event == "answer":
        for sent in proxy.endpoints.sent[:1]:
            if not sent.abandoned:
                sent.on_end(AttemptOutcome(AttemptResult.OK, ROW))
    elif event == "reset":
        for sent in proxy.endpoints.sent[:1]:
            if not sent.abandoned:
                sent.on_end(AttemptOutcome(AttemptResult.RESET))
    elif event == "time":
        proxy.task.advance(0.5)
    elif event == "disconnect":
        connection.connectionLost()
    elif event == "drained":
        drained = (
            entry(1, state=api.EndpointState.DRAINING),
            entry(2, state=api.EndpointState.DRAINING),
            entry(3),
        )
        proxy.engine.list_changed(api.EndpointListUpdate(drained, complete=True))


@pytest.mark.parametrize("make", [read, write])
@pytest.mark.parametrize("turns", [False, True])
def test_every_order_of_events_gives_at_most_one_answer_and_nothing_after_the_disconnect(make, turns):
    for order in itertools.permutations(["answer", "reset", "time", "disconnect", "drained"]):
        proxy = PostgresqlProxy()
        connection, wire = proxy.client()
        connection.dataReceived(make(1, d="450"))
        proxy.turn()
        disconnected = False
        for event in order:
            apply_event(proxy, connection, event)
            if event == "disconnect":
                disconnected, written, sent = True, wire.value(), len(proxy.endpoints.sent)
            if turns:
                proxy.turn()
        proxy.advance_in_steps(1.0)
        assert disconnected and wire.value() == written, order
        assert len(proxy.endpoints.sent) == sent, order
        answers = [k for k, _ in messages(wire.value()) if k == b"Z"]
        assert len(answers) <= 1, order
        table = proxy.engine.request_table
        assert (
            table.pending == 0 and table.duplicate_responses == 0 and not proxy.engine.answered_by_last_guard
        ), order
        assert not proxy.engine.router.requests, order


def test_every_order_of_events_without_a_disconnect_gives_exactly_one_answer():
    for make in (read, write):
        for order in itertools.permutations(["answer", "reset", "time", "drained"]):
            proxy = PostgresqlProxy()
            connection, wire = proxy.client()
            connection.dataReceived(make(1, d="450"))
            proxy.turn()
            for event in order:
                apply_event(proxy, connection, event)
            proxy.advance_in_steps(1.5)
            assert [k for k, _ in messages(wire.value())].count(b"Z") == 1, order
            assert (
                proxy.engine.request_table.pending == 0
                and proxy.engine.request_table.duplicate_responses == 0
            ), order


def test_a_client_stream_cut_at_any_byte_affects_only_its_own_connection():
    stream = codec.startup("web", "orders") + read(1) + read(2)
    for cut in range(len(stream)):
        proxy = PostgresqlProxy()
        bad, _ = proxy.client(greet=False)
        bad.dataReceived(stream[:cut])
        proxy.turn()
        bad.connectionLost()
        good, wire = proxy.client()
        good.dataReceived(read(9))
        proxy.turn()
        proxy.answer()
        assert wire.value() == ROW + codec.READY
        assert proxy.descriptors.clients == 1 and proxy.engine.request_table.pending == 0


# Graceful shutdown


class FakePort:
    """The proxy's listening port; connections in its backlog are accepted by `accept_all`."""

    def __init__(self, accept) -> None:
        self.accept, self.backlog, self.closed = accept, 0, False

    def accept_all(self) -> bool:
        while self.backlog:
            self.backlog -= 1
            self.accept()
        return True

    def stopListening(self) -> None:  # noqa: N802 (Twisted's name)
        self.closed = True


class ScriptedClient:
    """A client that sends whole, partial or pipelined statements and counts those it sent whole."""

    def __init__(self, proxy: PostgresqlProxy) -> None:
        self.connection, self.wire = proxy.client()
        self.unsent, self.sent, self.disconnected = b"", 0, False

    def open(self) -> bool:
        """Return whether the proxy still receives what the client sends."""
        return not (self.disconnected or self.wire.half_closed or self.wire.aborted)

    def send_rest(self) -> None:
        """Send the unsent rest of a partial statement."""
        data, self.unsent = self.unsent, b""
        if data and self.open():
            self.sent += 1
            self.connection.dataReceived(data)

    def send(self, statement: bytes, begin: int = 0) -> None:
        """Send the first `begin` bytes of a statement, or all of it if 0; complete a partial one first."""
        self.send_rest()
        self.unsent = statement[begin:]
        if begin and self.open():
            self.connection.dataReceived(statement[:begin])
        elif not begin:
            self.send_rest()

    def disconnect(self) -> None:
        if not self.disconnected:
            self.disconnected = True
            self.connection.connectionLost()

    def answers(self) -> int:
        return [kind for kind, _ in messages(self.wire.value())].count(b"Z")


STOP_EVENTS = "accept backlog read write part rest disconnect answer reset list wait stop".split()
STOP_STEPS = st.lists(st.tuples(st.sampled_from(STOP_EVENTS), st.integers(0, 5)), max_size=40)


@given(STOP_STEPS)
def test_a_shutdown_answers_all_requests_read_and_then_ends_in_every_order_of_events(steps):
    proxy, clients, finished = PostgresqlProxy(), [], []
    port = FakePort(lambda: clients.append(ScriptedClient(proxy)))
    numbers, finished_attempts, stopped = itertools.count(1), [], []
    for event, which in [*steps, ("stop", 0)]:
        client = clients[which % len(clients)] if clients else None
        live = [s for s in proxy.endpoints.sent if not s.abandoned and s not in finished_attempts]
        if event in ("accept", "backlog"):
            if not port.closed and event == "accept":
                port.accept()
            elif not port.closed:
                port.backlog += 1
        elif event == "wait":
            proxy.advance_in_steps(0.3 * which)
        elif event == "stop":
            if not stopped:
                stopped.append(True)
                longest_deadline = max(c.deadline for c in SETTINGS.classes)
                schedule = ShutdownSchedule(proxy.clock.now(), longest_deadline)
                GracefulShutdown(
                    proxy.clock,
                    schedule,
                    proxy.listener,
                    proxy.engine,
                    port,
                    lambda: finished.append(proxy.clock.now()),
                ).begin()
        elif event == "list":
            drained = (entry(1 + which % 3, state=api.EndpointState.DRAINING),)
            proxy.engine.list_changed(api.EndpointListUpdate(drained, complete=False))
        elif event in ("answer", "reset") and live:
            finished_attempts.append(live[which % len(live)])
            ok = event == "answer"
            finished_attempts[-1].on_end(
                AttemptOutcome(AttemptResult.OK, ROW) if ok else AttemptOutcome(AttemptResult.RESET)
            )
        elif client is None or finished:
            continue
        elif event in ("read", "write"):
            client.send((read if event == "read" else write)(next(numbers), d="9000" if which < 4 else "900"))
        elif event == "part":
            client.send(read(next(numbers), d="9000"), begin=20)
        elif event == "rest":
            client.send_rest()
        elif event == "disconnect":
            client.disconnect()
        if which % 2:
            proxy.turn()
    disconnected_early = [client.disconnected for client in clients]
    for _ in range(200):  # clients disconnect once the proxy has closed their connection
        proxy.turn(0.02)
        for client in clients:
            if client.wire.half_closed or client.wire.aborted:
                client.disconnect()
    sent = [s.payload.id for s in proxy.endpoints.sent]
    assert len(finished) == 1 and port.closed and not port.backlog
    request_table = proxy.engine.request_table
    assert (
        request_table.pending == 0
        and request_table.duplicate_responses == 0
        and not proxy.engine.answered_by_last_guard
    )
    for client, early in zip(clients, disconnected_early + [False] * len(clients), strict=False):
        assert client.answers() <= client.sent if early else client.answers() == client.sent
    proxy.advance_in_steps(2.0)
    assert [s.payload.id for s in proxy.endpoints.sent] == sent, "sent after the shutdown ended"
    assert proxy.descriptors.clients == sum(not c.disconnected for c in clients)


# Guards against attempts for a client that left while its input was unread (a29244, picture c).
def test_no_further_attempt_is_made_for_a_client_whose_end_is_still_unread():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(read(1))
    proxy.turn()
    sent = len(proxy.endpoints.sent)
    proxy.turn(0.03)
    wire.left = True  # its socket holds more than the proxy reads ahead, so the end is not seen
    proxy.answer(result=AttemptResult.CONNECT_FAILED)
    proxy.turn()
    assert len(proxy.endpoints.sent) == sent == 1
    assert not proxy.engine.request_table.pending


# Guards against a request that crosses the close of an idle connection, is read and never answered (a29244).
@pytest.mark.parametrize("reason", [CloseReason.IDLE_LIMIT, CloseReason.EVICTED, CloseReason.SHUTDOWN])
def test_a_request_that_crosses_the_close_of_an_idle_connection_is_left_unread(reason):
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.end(reason)
    assert wire.half_closed and wire.producerState == "paused"
    proxy.turn(0.1)
    assert not wire.aborted and not wire.disconnecting
    wire.left = True  # the client has seen the close
    proxy.turn(0.05)
    assert wire.disconnecting and not proxy.listener.read_ahead.paused


def test_input_behind_an_error_is_still_discarded():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(b"?" * 20)
    assert wire.half_closed and wire.producerState == "producing"


def test_a_client_that_stays_after_the_close_of_its_idle_connection_is_aborted():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.end(CloseReason.IDLE_LIMIT)
    proxy.advance_in_steps(0.6)
    assert wire.aborted
