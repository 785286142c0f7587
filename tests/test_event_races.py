"""Events that come between a decision and its effect, forced by order; peers on real loopback sockets."""

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
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult
from sedgepitch.routing.router import Router
from tests.support.mongodb_harness import StubEndpoints
from tests.support.postgresql_harness import ROW, PostgresqlProxy, errors, messages, read, write
from tests.support.router_harness import SETTINGS, entry

RESET = struct.pack("ii", 1, 0)


def peer(wire) -> socket.socket:
    """Put a real connection under a played transport; returns the client's end."""
    server = socket.create_server(("127.0.0.1", 0))
    theirs = socket.create_connection(server.getsockname())
    wire.socket, _ = server.accept()
    wire.socket.setblocking(False)
    server.close()
    return theirs


def leave(theirs: socket.socket, how: str) -> None:
    """End the client's side."""
    if how == "reset":
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    theirs.close()


def ahead(proxy: PostgresqlProxy, connection, wire) -> int:
    """Send statements ahead until the socket is left unread; returns how many."""
    for number in itertools.count(100):
        if wire.producerState != "producing":
            return number - 100
        connection.dataReceived(read(number, d="60000"))


# A client that leaves while its socket is left unread (the term of 0.3 s)


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_disconnect_behind_unread_bytes_is_noticed_and_nothing_more_is_sent(how):
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    theirs = peer(wire)
    connection.dataReceived(read(1, d="60000"))
    proxy.turn()
    assert ahead(proxy, connection, wire) > 100
    theirs.sendall(b"bytes that lie unread before the end")
    leave(theirs, how)
    proxy.advance_in_steps(0.25)
    assert wire.aborted and proxy.listener.disconnects_found_unread == 1
    proxy.answer(0)
    proxy.advance_in_steps(1.0)
    assert len(proxy.endpoints.sent) == 1, "what stood behind the first is not sent on"
    connection.connectionLost()
    assert (
        not proxy.engine.request_table.pending
        and not proxy.listener.read_ahead.paused
        and not proxy.listener.open_request_ids
    )


def test_what_is_sent_ahead_is_read_on_as_it_is_served_and_not_only_when_all_is_done(monkeypatch):
    monkeypatch.setattr(read_ahead, "EXTENDED_READ_AHEAD_BYTES", read_ahead.READ_AHEAD_BYTES)
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(read(1, d="60000"))
    proxy.turn()
    count = ahead(proxy, connection, wire)
    for _ in range(count):
        proxy.answer()
        if wire.producerState == "producing":
            break
    assert wire.producerState == "producing" and read_ahead.READ_AHEAD_BYTES / 4 < connection.reader.held


def test_a_request_read_late_whose_client_disconnected_is_not_sent():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    leave(peer(wire), "close")
    wire.arrived = proxy.clock.now() - 0.4  # this driver stood still meanwhile
    connection.dataReceived(read(1, d="5000"))
    proxy.advance_in_steps(1.0)
    assert not proxy.endpoints.sent and proxy.listener.disconnects_found_late == 1


def test_one_whose_client_is_still_there_is_sent_however_late_it_was_read():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    theirs = peer(wire)
    wire.arrived = proxy.clock.now() - 0.4
    connection.dataReceived(read(1, d="5000"))
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1
    theirs.close()


def test_a_request_whose_client_disconnects_while_it_waits_in_the_router_is_not_sent():
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


def test_a_repeated_id_replaces_an_unsent_one_whose_client_disconnected():
    proxy = PostgresqlProxy()
    proxy.engine.list_changed(
        api.EndpointListUpdate((entry(1, state=api.EndpointState.DRAINING),), complete=True)
    )
    (old, old_wire), (new, new_wire) = proxy.client(), proxy.client()
    theirs = peer(old_wire)
    old.dataReceived(write(1, d="5000"))
    proxy.turn()
    new.dataReceived(write(1, d="5000"))
    assert len(errors(new_wire)) == 1, "the old one is still there"
    leave(theirs, "close")  # its end lies unread
    new.dataReceived(write(1, d="5000"))
    proxy.turn()
    assert len(errors(new_wire)) == 1 and old_wire.aborted and not errors(old_wire)
    old.connectionLost()
    assert proxy.listener.open_request_ids == {b"1": new} and proxy.engine.request_table.pending == 1


# Room for newcomers, and the end of a driver


def test_no_idle_client_whose_request_lies_unread_is_evicted_for_a_newcomer():
    proxy = PostgresqlProxy(sockets=40)
    for number in range(proxy.descriptors.max_clients - 2):
        proxy.client()[0].dataReceived(read(number + 1))
    proxy.turn()
    (_, first), (_, second) = proxy.client(), proxy.client()
    theirs = peer(first)
    theirs.sendall(read(77))
    proxy.client(greet=False)
    assert [first.aborted, second.aborted] == [False, True]
    theirs.close()


def test_a_shutdown_closes_no_client_whose_request_lies_unread():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    _, idle = proxy.client()
    theirs, others = peer(wire), peer(idle)
    proxy.listener.begin_shutdown(ShutdownSchedule(proxy.clock.now() - 10.0, 1.0))
    theirs.sendall(read(1))
    proxy.listener.close_idle_connections()
    assert idle.half_closed and not wire.half_closed and not wire.aborted
    wire.socket.recv(4096)
    connection.dataReceived(read(1))
    proxy.turn()
    assert [e["C"] for e in errors(wire)] == ["53300"], "too late to be served, but answered"
    proxy.listener.close_idle_connections()
    assert wire.half_closed
    for held in (theirs, others):
        held.close()


def test_a_shutdown_answers_each_statement_sent_ahead():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(read(1, d="9000") + read(2, d="9000") + read(3, d="9000"))
    proxy.turn()
    ending = ShutdownSchedule(proxy.clock.now(), 0.5)
    proxy.listener.begin_shutdown(ending)
    proxy.engine.answer_all_by(ending.drain_deadline)
    while proxy.clock.now() < ending.exit_deadline:
        proxy.listener.close_idle_connections()
        proxy.turn(0.02)
    assert len(errors(wire)) == 3 and wire.half_closed and not proxy.engine.request_table.pending
    assert not proxy.engine.answered_by_last_guard


def test_a_request_taken_long_before_the_signal_is_answered_before_the_end():
    for make, code in ((read, "53300"), (write, statement_handler.SQLSTATE_FAILED)):
        proxy = PostgresqlProxy()
        connection, wire = proxy.client()
        connection.dataReceived(make(1, d="60000"))
        proxy.turn()
        proxy.engine.answer_all_by(proxy.clock.now() + 1.0)
        proxy.advance_in_steps(1.05)
        assert [e["C"] for e in errors(wire)] == [code]


@pytest.mark.parametrize("longest", [0.05, 0.3, 1.0, 3.0, 60.0])
def test_the_times_of_a_shutdown_are_in_order_for_every_deadline(longest):
    ending = ShutdownSchedule(100.0, longest)
    times = [100.0, ending.accept_until, ending.close_idle_from, ending.drain_deadline, ending.exit_deadline]
    assert times == sorted(times) and times[-1] < 100.0 + min(3.0, longest) + 0.7
    assert not ending.may_exit(ending.exit_deadline + 9.0, listening=False, connections=0, pending=1)
    assert ending.may_exit(101.0, listening=False, connections=0, pending=0)
    assert not ending.may_exit(100.1, listening=True, connections=0, pending=0)


# Waiting for a connection to a member


class Opened:
    """A connection as the pool sees it."""

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


class Doorway:
    """What opens connections, played by the test."""

    def __init__(self) -> None:
        self.asked = []
        self.given_up = 0

    def __call__(self, ready, failed, lost):
        self.asked.append((ready, failed, lost))

        def give_up() -> None:
            self.given_up += 1

        return give_up


class PooledMembers:
    """Members behind real pools whose connections come when the test says so."""

    def __init__(self, clock, limits: PoolLimits) -> None:
        self.doorways: dict[int, Doorway] = {}
        self.pools: dict[int, ConnectionPool] = {}
        self.room = DescriptorBudget(256)
        self.clock, self.limits = clock, limits

    def pool(self, endpoint: int) -> ConnectionPool:
        if endpoint not in self.pools:
            self.doorways[endpoint] = Doorway()
            self.pools[endpoint] = ConnectionPool(
                self.clock, self.doorways[endpoint], lambda e, r: r, self.limits, self.room
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


def pooled(settings: api.Settings = SETTINGS) -> tuple[PostgresqlProxy, PooledMembers]:
    """A proxy whose members stand behind pools."""
    proxy = PostgresqlProxy(settings)
    endpoints = PooledMembers(proxy.clock, PoolLimits(connect_timeout=5.0, discard_timeout=0.0))
    proxy.engine.upstream = endpoints
    return proxy, endpoints


@pytest.mark.parametrize("told", ["draining", "gone", "missing", "restarted"])
def test_what_waits_for_a_connection_is_taken_back_when_the_list_says_so(told):
    proxy, endpoints = pooled()
    connection, wire = proxy.client()
    connection.dataReceived(write(1, d="5000"))
    proxy.turn()
    (opening,) = endpoints.doorways[1].asked
    state = {"draining": api.EndpointState.DRAINING, "gone": api.EndpointState.GONE}.get(
        told, api.EndpointState.UP
    )
    if told == "missing":
        proxy.engine.list_changed(api.EndpointListUpdate((entry(2), entry(3)), complete=True))
    else:
        started = proxy.clock.now() if told == "restarted" else 0.0
        changed = replace(entry(1, primary=True), state=state, started=started)
        proxy.engine.list_changed(api.EndpointListUpdate((changed,), complete=False))
    proxy.turn()
    opened = Opened()
    opening[0](opened)
    proxy.turn()
    sent_again = told == "restarted" and bool(opened.started)  # decided anew, for the new process
    assert not opened.started or sent_again
    connection.connectionLost()
    proxy.turn()
    assert proxy.engine.request_table.pending == 0


def test_an_endpoint_that_moved_gets_nothing_at_its_old_address():
    task = Clock()
    room, ends, doorway = DescriptorBudget(256), [], Doorway()
    pool = ConnectionPool(FakeClock(task), doorway, lambda e, r: r, PoolLimits(), room)
    pool.send("request", ends.append)
    pool.retire()
    assert [e.result for e in ends] == [AttemptResult.NOT_SENT] and doorway.given_up == 1
    opened = Opened()
    doorway.asked[0][0](opened)
    assert opened.closed and not opened.started and room.endpoints == 0


def test_a_connection_given_up_and_greeted_all_the_same_is_closed_and_owned_by_nobody():
    task = Clock()
    room, ends, doorway = DescriptorBudget(256), [], Doorway()
    pool = ConnectionPool(FakeClock(task), doorway, lambda e, r: r, PoolLimits(connect_timeout=0.25), room)
    pool.send("request", ends.append)
    task.advance(0.3)
    assert [e.result for e in ends] == [AttemptResult.CONNECT_FAILED] and room.endpoints == 0
    opened = Opened()
    ready, failed, lost = doorway.asked[0]
    ready(opened)
    assert opened.closed and not opened.started and not pool.idle
    lost("closed here")
    failed("late")
    assert room.endpoints == 0 and not pool.connections and len(ends) == 1


# A timer that is due while bytes lie unread


def test_a_connection_whose_greeting_lies_unread_is_not_given_up():
    task = Clock()
    room, ends, doorway, opened = DescriptorBudget(256), [], Doorway(), Opened()
    pool = ConnectionPool(FakeClock(task), doorway, lambda e, r: r, PoolLimits(connect_timeout=0.25), room)
    pool.send("request", ends.append)
    task.callLater(0.25, lambda: doorway.asked[0][0](opened))  # read behind the timer, in the same turn
    task.advance(0.25)
    assert not ends and not doorway.given_up and opened.started[0][0] == "request"
    task.advance(1.0)
    assert not ends and room.endpoints == 1


def test_a_health_check_whose_answer_lies_unread_has_not_timed_out():
    task = Clock()
    ends, doorway, opened = [], Doorway(), Opened()
    pool = ConnectionPool(FakeClock(task), doorway, lambda e, r: r, PoolLimits(connect_timeout=5.0), None)
    pool.send_with_timeout("probe", ends.append, 0.25)
    doorway.asked[0][0](opened)
    task.callLater(0.25, lambda: opened.started[0][1](AttemptOutcome(AttemptResult.OK)))
    task.advance(0.25)
    task.advance(1.0)
    assert [end.result for end in ends] == [AttemptResult.OK]


@pytest.mark.parametrize("begun", [0, 5])
def test_a_client_whose_bytes_lie_unread_is_not_too_slow(begun):
    """They are read behind the timer, in the turn in which its time is up."""
    proxy = PostgresqlProxy()
    connection, wire = proxy.client(greet=False)
    whole = codec.startup("web", "orders") + read(1, d="60000")
    connection.dataReceived(whole[:begun])
    up = proxy.clock.now() + RECEIVE_TIMEOUT_S
    while proxy.clock.now() + client_listener.CHECK_INTERVAL_S < up - 1e-6:
        proxy.turn(client_listener.CHECK_INTERVAL_S)
    proxy.task.callLater(client_listener.CHECK_INTERVAL_S, connection.dataReceived, whole[begun:])
    for _ in range(3):
        proxy.turn(client_listener.CHECK_INTERVAL_S)
    assert not errors(wire) and len(proxy.endpoints.sent) == 1


def loops() -> list:
    """The loops that the program may run on."""
    made = [asyncio.SelectorEventLoop()]
    try:
        import uvloop
    except ImportError:
        return made
    return [*made, uvloop.new_event_loop()]


@pytest.mark.parametrize("which", range(len(loops())))
def test_an_answer_that_came_in_a_long_turn_is_read_before_its_time_is_judged(which):
    """A turn lasts past the client's time, and the answer comes while it does."""
    loop = loops()[which]
    clock = ReactorClock(SimpleNamespace(_asyncioEventloop=loop))
    endpoints, got = StubEndpoints(), []
    engine = Engine(Router(SETTINGS, 1), endpoints, clock)
    engine.list_changed(api.EndpointListUpdate((entry(1, primary=True), entry(2), entry(3)), complete=True))
    pairs = [socket.socketpair() for _ in range(2)]
    account = engine.submit(ClientRequest("write", 1, 0.15, "payload"), got.append)

    def long_turn() -> None:
        pairs[0][0].recv(9)
        pairs[1][1].send(b"answer")
        while clock.now() < account.deadline + 0.03:
            pass

    def answered() -> None:
        pairs[1][0].recv(9)
        endpoints.sent[0].on_end(AttemptOutcome(AttemptResult.OK, ROW))
        loop.call_later(0.05, loop.stop)

    for (ours, _), call in zip(pairs, (long_turn, answered), strict=True):
        ours.setblocking(False)
        loop.add_reader(ours.fileno(), call)
    loop.call_later(0.02, pairs[0][1].send, b"begin")
    loop.run_forever()
    loop.close()
    for pair in pairs:
        for end in pair:
            end.close()
    assert [answer.status for answer in got] == [ResponseStatus.SERVED]


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
def test_every_order_of_a_connections_events_tells_one_end_and_leaves_no_descriptor(steps, discard_timeout):
    task = Clock()
    room, doorway = DescriptorBudget(64), Doorway()
    limits = PoolLimits(
        max_connections=4, connect_timeout=0.25, max_idle_time=2.0, discard_timeout=discard_timeout
    )
    pool = ConnectionPool(
        FakeClock(task), doorway, lambda e, r: AttemptOutcome(AttemptResult.OK), limits, room
    )
    exchanges, ends, opened, over = [], [], {}, set()

    def alive(which):
        held = [n for n in opened if n not in over]
        return held[which % len(held)] if held else None

    for step, which in steps:
        if step == "send":
            number = len(exchanges)
            ends.append([])
            exchanges.append(pool.send(number, ends[number].append))
        elif step in ("ready", "failed"):
            waiting = [n for n in range(len(doorway.asked)) if n not in opened and n not in over]
            if waiting:
                number = waiting[which % len(waiting)]
                if step == "ready":
                    opened[number] = Opened()
                    doorway.asked[number][0](opened[number])
                else:
                    over.add(number)
                    doorway.asked[number][1]("refused")
        elif step == "answer":
            number = alive(which)
            if number is not None and opened[number].started and not opened[number].closed:
                opened[number].started.pop()[1]("reply")
        elif step == "lost":
            number = alive(which)
            if number is not None:
                over.add(number)
                doorway.asked[number][2]("ended")
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
        assert all(len(x) <= 1 for x in ends)
        assert 0 <= room.endpoints <= limits.max_connections
        assert all(len(x.started) <= 1 for x in opened.values())
    pool.close()
    task.advance(5.0)
    for number, held in opened.items():
        if number not in over:
            assert held.closed
            doorway.asked[number][2]("closed here")
    assert room.endpoints == 0 and not pool.connections and not pool.idle


# All in one turn


def happens(proxy: PostgresqlProxy, connection, what: str) -> None:
    """One of the events that may meet in a turn."""
    if what == "answer":
        for sent in proxy.endpoints.sent[:1]:
            if not sent.abandoned:
                sent.on_end(AttemptOutcome(AttemptResult.OK, ROW))
    elif what == "reset":
        for sent in proxy.endpoints.sent[:1]:
            if not sent.abandoned:
                sent.on_end(AttemptOutcome(AttemptResult.RESET))
    elif what == "time":
        proxy.task.advance(0.5)
    elif what == "leaves":
        connection.connectionLost()
    elif what == "drained":
        drained = (
            entry(1, state=api.EndpointState.DRAINING),
            entry(2, state=api.EndpointState.DRAINING),
            entry(3),
        )
        proxy.engine.list_changed(api.EndpointListUpdate(drained, complete=True))


@pytest.mark.parametrize("make", [read, write])
@pytest.mark.parametrize("turns", [False, True])
def test_answer_reset_time_leaving_and_list_in_every_order_owe_one_answer_and_send_nothing_after(make, turns):
    for order in itertools.permutations(["answer", "reset", "time", "leaves", "drained"]):
        proxy = PostgresqlProxy()
        connection, wire = proxy.client()
        connection.dataReceived(make(1, d="450"))
        proxy.turn()
        left = False
        for what in order:
            happens(proxy, connection, what)
            if what == "leaves":
                left, written, sent = True, wire.value(), len(proxy.endpoints.sent)
            if turns:
                proxy.turn()
        proxy.advance_in_steps(1.0)
        assert left and wire.value() == written, order
        assert len(proxy.endpoints.sent) == sent, order
        answers = [k for k, _ in messages(wire.value()) if k == b"Z"]
        assert len(answers) <= 1, order
        held = proxy.engine.request_table
        assert (
            held.pending == 0 and held.duplicate_responses == 0 and not proxy.engine.answered_by_last_guard
        ), order
        assert not proxy.engine.router.requests, order


def test_the_same_without_a_leaving_gives_exactly_one_answer():
    for make in (read, write):
        for order in itertools.permutations(["answer", "reset", "time", "drained"]):
            proxy = PostgresqlProxy()
            connection, wire = proxy.client()
            connection.dataReceived(make(1, d="450"))
            proxy.turn()
            for what in order:
                happens(proxy, connection, what)
            proxy.advance_in_steps(1.5)
            assert [k for k, _ in messages(wire.value())].count(b"Z") == 1, order
            assert (
                proxy.engine.request_table.pending == 0
                and proxy.engine.request_table.duplicate_responses == 0
            ), order


def test_bytes_of_a_peer_that_breaks_off_at_any_byte_cost_its_own_connection_only():
    whole = codec.startup("web", "orders") + read(1) + read(2)
    for cut in range(len(whole)):
        proxy = PostgresqlProxy()
        bad, _ = proxy.client(greet=False)
        bad.dataReceived(whole[:cut])
        proxy.turn()
        bad.connectionLost()
        good, wire = proxy.client()
        good.dataReceived(read(9))
        proxy.turn()
        proxy.answer()
        assert wire.value() == ROW + codec.READY
        assert proxy.descriptors.clients == 1 and proxy.engine.request_table.pending == 0


# The end of a driver


class Door:
    """The driver's port, played: who waits to be accepted comes in when it is closed in order."""

    def __init__(self, accept) -> None:
        self.accept, self.queue, self.closed = accept, 0, False

    def accept_all(self) -> bool:
        while self.queue:
            self.queue -= 1
            self.accept()
        return True

    def stopListening(self) -> None:  # noqa: N802 (the port's name)
        self.closed = True


class Caller:
    """A client that follows the protocol: one statement, or several ahead; what it may expect is counted."""

    def __init__(self, proxy: PostgresqlProxy) -> None:
        self.connection, self.wire = proxy.client()
        self.rest, self.whole, self.left = b"", 0, False

    def open(self) -> bool:
        """Whether what it sends now arrives."""
        return not (self.left or self.wire.half_closed or self.wire.aborted)

    def say(self) -> None:
        """Send the rest of what was begun."""
        data, self.rest = self.rest, b""
        if data and self.open():
            self.whole += 1
            self.connection.dataReceived(data)

    def ask(self, statement: bytes, begin: int = 0) -> None:
        """One more statement, its beginning or all of it; what is half sent goes before."""
        self.say()
        self.rest = statement[begin:]
        if begin and self.open():
            self.connection.dataReceived(statement[:begin])
        elif not begin:
            self.say()

    def leave(self) -> None:
        if not self.left:
            self.left = True
            self.connection.connectionLost()

    def answers(self) -> int:
        return [kind for kind, _ in messages(self.wire.value())].count(b"Z")


STOP_EVENTS = "comes waits read write part rest leaves answer reset list pass stop".split()
STOP_STEPS = st.lists(st.tuples(st.sampled_from(STOP_EVENTS), st.integers(0, 5)), max_size=40)


@given(STOP_STEPS)
def test_in_every_order_a_shutdown_answers_all_that_was_read_and_then_ends(steps):
    proxy, callers, done = PostgresqlProxy(), [], []
    admission = Door(lambda: callers.append(Caller(proxy)))
    numbers, told, stopped = itertools.count(1), [], []
    for what, which in [*steps, ("stop", 0)]:
        caller = callers[which % len(callers)] if callers else None
        live = [s for s in proxy.endpoints.sent if not s.abandoned and s not in told]
        if what in ("comes", "waits"):
            if not admission.closed and what == "comes":
                admission.accept()
            elif not admission.closed:
                admission.queue += 1
        elif what == "pass":
            proxy.advance_in_steps(0.3 * which)
        elif what == "stop":
            if not stopped:
                stopped.append(True)
                longest = max(c.deadline for c in SETTINGS.classes)
                schedule = ShutdownSchedule(proxy.clock.now(), longest)
                GracefulShutdown(
                    proxy.clock,
                    schedule,
                    proxy.listener,
                    proxy.engine,
                    admission,
                    lambda: done.append(proxy.clock.now()),
                ).begin()
        elif what == "list":
            drains = (entry(1 + which % 3, state=api.EndpointState.DRAINING),)
            proxy.engine.list_changed(api.EndpointListUpdate(drains, complete=False))
        elif what in ("answer", "reset") and live:
            told.append(live[which % len(live)])
            ok = what == "answer"
            told[-1].on_end(
                AttemptOutcome(AttemptResult.OK, ROW) if ok else AttemptOutcome(AttemptResult.RESET)
            )
        elif caller is None or done:
            continue
        elif what in ("read", "write"):
            caller.ask((read if what == "read" else write)(next(numbers), d="9000" if which < 4 else "900"))
        elif what == "part":
            caller.ask(read(next(numbers), d="9000"), begin=20)
        elif what == "rest":
            caller.say()
        elif what == "leaves":
            caller.leave()
        if which % 2:
            proxy.turn()
    went = [caller.left for caller in callers]
    for _ in range(200):  # clients that are closed go, as they do
        proxy.turn(0.02)
        for caller in callers:
            if caller.wire.half_closed or caller.wire.aborted:
                caller.leave()
    sent = [s.payload.id for s in proxy.endpoints.sent]
    assert len(done) == 1 and admission.closed and not admission.queue
    request_table = proxy.engine.request_table
    assert (
        request_table.pending == 0
        and request_table.duplicate_responses == 0
        and not proxy.engine.answered_by_last_guard
    )
    for caller, early in zip(callers, went + [False] * len(callers), strict=False):
        assert caller.answers() <= caller.whole if early else caller.answers() == caller.whole
    proxy.advance_in_steps(2.0)
    assert [s.payload.id for s in proxy.endpoints.sent] == sent, "sent after the end"
    assert proxy.descriptors.clients == sum(not c.left for c in callers)
