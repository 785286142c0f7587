"""A shutdown answers every statement that has been read, also those that wait behind a pending one."""

from __future__ import annotations

import signal
import threading
import time

import bson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.connections.shutdown_schedule import ShutdownSchedule
from sedgepitch.node.graceful_shutdown import GracefulShutdown
from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.client import REJECTIONS_PER_TURN
from sedgepitch.protocols.postgresql.codec import MalformedMessage, Reader
from tests.support.mongodb_harness import MongodbProxy, command, replies, split_replies
from tests.support.platform import SETTINGS, TIMEOUT_S, Client, Platform, upload_statement
from tests.support.postgresql_harness import PostgresqlProxy, errors, messages, read
from tests.support.router_harness import SETTINGS as ROUTER_SETTINGS
from tests.test_event_races import connect_socket
from tests.test_sockets import connect, insert

LONGEST_DEADLINE_S = max(c.deadline for c in ROUTER_SETTINGS.classes)
KILL_AFTER_DEADLINE_S = 0.7
BACKLOG = 300
TERMINATE = codec.message(codec.TERMINATE, b"")
MALFORMED = codec.message(codec.DATA_ROW, b"")


class Shutdown:
    """A graceful shutdown on a fake clock; `finished` has the time at which the process exits."""

    def __init__(self, proxy: PostgresqlProxy) -> None:
        self.proxy = proxy
        self.finished: list[float] = []
        self.requested_at = proxy.clock.now()
        self.schedule = ShutdownSchedule(self.requested_at, LONGEST_DEADLINE_S)
        GracefulShutdown(
            proxy.clock,
            self.schedule,
            proxy.listener,
            proxy.engine,
            None,
            lambda: self.finished.append(proxy.clock.now()),
        ).begin()

    @property
    def kill_at(self) -> float:
        return self.requested_at + min(3.0, LONGEST_DEADLINE_S) + KILL_AFTER_DEADLINE_S

    def run(self, until: float | None = None) -> None:
        """Run one event loop turn each 5 ms until the process exits."""
        while not self.finished and self.proxy.clock.now() < (until or self.kill_at + 1.0):
            self.proxy.turn(0.005, 1)


def ready_count(wire) -> int:
    return [kind for kind, _ in messages(wire.value())].count(codec.READY_FOR_QUERY)


def backlog(count: int = BACKLOG) -> bytes:
    """Return reads that a client sends at once."""
    return b"".join(read(number, d="9000") for number in range(1, count + 1))


def test_statements_behind_a_hung_one_are_all_rejected_before_the_exit():
    # Guards against an exit, or a kill, while statements wait that were read long before (review/7).
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(backlog())
    proxy.turn()
    shutdown = Shutdown(proxy)
    shutdown.run()
    assert ready_count(wire) == len(errors(wire)) == BACKLOG and wire.half_closed
    assert shutdown.finished and shutdown.finished[0] < shutdown.kill_at
    assert proxy.listener.rejected_for_shutdown > BACKLOG / 2
    assert {e["C"] for e in errors(wire)} == {"53300"}, "nothing ran, so the client may retry"


@pytest.mark.parametrize("at", ["before the drain deadline", "after the drain deadline"])
@pytest.mark.parametrize("connections", [1, 20])
def test_statements_that_arrive_late_are_answered_whenever_they_are_read(at, connections):
    # Guards against answers that depend on how much waits when the drain deadline passes (review/7).
    proxy = PostgresqlProxy()
    clients = [proxy.client() for _ in range(connections)]
    if at == "before the drain deadline":
        for number, (connection, _) in enumerate(clients, 1):
            connection.dataReceived(read(number * 1_000_000, d="9000"))
    proxy.turn()
    shutdown = Shutdown(proxy)
    offset = -0.01 if at == "before the drain deadline" else 0.01
    shutdown.run(shutdown.schedule.close_idle_from - 0.01)
    if at == "after the drain deadline":
        proxy.listener.close_idle_connections = lambda: None  # as if each had unread bytes until now
        proxy.turn(shutdown.schedule.drain_deadline - proxy.clock.now() + offset, 1)
    else:
        shutdown.run(shutdown.schedule.drain_deadline + offset)
    for number, (connection, _) in enumerate(clients, 1):
        connection.dataReceived(b"".join(read(number * 1_000_000 + n, d="9000") for n in range(1, 41)))
    shutdown.run()
    expected = 41 if at == "before the drain deadline" else 40
    assert [ready_count(wire) for _, wire in clients] == [expected] * connections
    assert shutdown.finished[0] < shutdown.kill_at and all(wire.half_closed for _, wire in clients)


@pytest.mark.parametrize(
    "last", ["terminate", "malformed", "half a statement", "empty queries", "not served"]
)
def test_whatever_follows_a_backlog_every_statement_before_it_gets_its_answer(last):
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    ending = {
        "terminate": TERMINATE,
        "malformed": MALFORMED,
        "half a statement": read(9_999)[:40],
        "empty queries": codec.query(b"") * 5,
        "not served": codec.query(b"DROP TABLE entries"),
    }[last]
    connection.dataReceived(backlog() + ending)
    proxy.turn()
    shutdown = Shutdown(proxy)
    shutdown.run()
    answers = {"empty queries": BACKLOG + 5, "not served": BACKLOG + 1}.get(last, BACKLOG)
    codes = [e["C"] for e in errors(wire)]
    assert ready_count(wire) == answers and codes.count("53300") + (last == "empty queries") * 5 == answers
    fatal = {"malformed": ["08P01"], "half a statement": ["57P03"]}.get(last, [])
    assert [code for code in codes if code != "53300"] == fatal
    assert shutdown.finished[0] < shutdown.kill_at and wire.half_closed


def test_a_client_that_does_not_read_its_responses_does_not_hold_the_exit():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    connection.dataReceived(backlog())
    proxy.turn()
    connection.on_write_blocked()
    shutdown = Shutdown(proxy)
    shutdown.run()
    assert shutdown.finished[0] == pytest.approx(shutdown.schedule.exit_deadline, abs=0.006)
    assert (
        ready_count(wire) <= 1 and not wire.half_closed
    ), "nothing that it has sent is dropped before the exit"


def test_the_process_exits_at_the_exit_deadline_itself_and_not_at_a_later_check():
    # Guards against an exit that is late by a check interval, close to the kill.
    proxy = PostgresqlProxy()
    proxy.client()[0].on_write_blocked()
    proxy.listener.close_idle_connections = lambda: None
    proxy.turn(0.0037)
    shutdown = Shutdown(proxy)
    while not shutdown.finished and proxy.clock.now() < shutdown.kill_at:
        proxy.turn(0.001, 1)
    assert shutdown.finished[0] == pytest.approx(shutdown.schedule.exit_deadline, abs=0.0015)


def test_a_client_that_never_stops_sending_holds_the_exit_until_the_last_moment_only():
    proxy = PostgresqlProxy()
    connection, _ = proxy.client()
    shutdown = Shutdown(proxy)
    number = 0
    while not shutdown.finished and proxy.clock.now() < shutdown.kill_at + 1.0:
        for _ in range(2 * REJECTIONS_PER_TURN):
            number += 1
            connection.dataReceived(codec.query(b"SELECT 1 /* %d */" % number))
        proxy.turn(0.005, 1)
    assert shutdown.schedule.exit_deadline <= shutdown.finished[0] < shutdown.kill_at


def test_an_unread_statement_holds_the_exit_until_it_is_answered():
    proxy = PostgresqlProxy()
    connection, wire = proxy.client()
    client = connect_socket(wire)
    connection.dataReceived(read(1, d="9000"))
    proxy.turn()
    shutdown = Shutdown(proxy)
    shutdown.run(shutdown.schedule.drain_deadline - 0.01)
    client.sendall(read(2, d="9000"))
    shutdown.run(shutdown.schedule.exit_deadline + 0.01)
    assert not shutdown.finished
    connection.dataReceived(wire.socket.recv(4096))
    shutdown.run()
    assert ready_count(wire) == 2 and shutdown.finished[0] < shutdown.kill_at
    client.close()


def test_waiting_statements_hold_the_exit_from_the_exit_deadline_until_the_last_exit():
    schedule = ShutdownSchedule(100.0, 3.0)
    state = {"listening": False, "connections": 1, "pending": 0}
    assert schedule.exit_deadline < schedule.last_exit < 103.7
    assert schedule.may_exit(schedule.exit_deadline, **state, waiting=False)
    assert not schedule.may_exit(schedule.exit_deadline, **state, waiting=True)
    assert schedule.may_exit(schedule.last_exit, **state, waiting=True)
    assert not schedule.may_exit(schedule.last_exit, listening=False, connections=1, pending=1, waiting=False)


@given(
    st.lists(
        st.sampled_from([read(1), codec.query(b""), TERMINATE, MALFORMED, b"Q\0\0\0\1", b"Q\x7f\0\0\0"]),
        max_size=4,
    ),
    st.data(),
)
def test_a_complete_message_is_reported_exactly_when_the_next_call_returns_or_rejects_one(parts, data):
    stream = b"".join(parts)
    reader = Reader(codec.FROM_CLIENT)
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        reader.feed(stream[:size])
        stream = stream[size:]
        for _ in range(2):
            reported = reader.has_complete_message
            try:
                assert (reader.next() is not None) == reported
            except MalformedMessage:
                return


@pytest.mark.parametrize("ahead", [b"", b"DROP TABLE entries"], ids=["empty query", "unsupported statement"])
@pytest.mark.parametrize("closed_by", ["eviction", "shortage", "timeout"])
def test_a_statement_that_waits_its_turn_behind_one_answered_at_once_is_not_closed_unanswered(
    ahead, closed_by
):
    # Guards against a connection that counts as idle, or as slow, while a statement waits in its buffer.
    proxy = PostgresqlProxy(sockets=40)
    connection, wire = proxy.client()
    connection.dataReceived(codec.query(b""))
    proxy.turn()
    connection.dataReceived(codec.query(ahead) + read(1))  # the read's turn is the next one
    later = proxy.clock.now() + 10.0
    if closed_by == "eviction":
        newcomer, _ = proxy.client(greet=False)
        assert proxy.listener.evict_for(newcomer, proxy.clock.now()) is newcomer
    elif closed_by == "shortage":
        proxy.listener.free_descriptor()
    else:
        assert connection not in proxy.listener.activity.remove_timed_out(later)
    assert not wire.half_closed and not wire.aborted
    proxy.turn()
    proxy.answer(0)
    assert [kind for kind, _ in messages(wire.value())].count(codec.DATA_ROW) == 1


class Uploader:
    """A client that sends several uploads at once, again and again, and counts its responses."""

    def __init__(self, client: Client, number: int, value_bytes: int) -> None:
        self.client = client
        self.value_bytes = value_bytes
        self.first_id = number * 10_000
        self.sent = 0
        self.answered = 0
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def send(self, count: int) -> None:
        first = self.first_id + self.sent
        statements = (upload_statement(first + n, self.value_bytes) for n in range(count))
        self.client.socket.sendall(b"".join(codec.query(text) for text in statements))
        self.sent += count

    def _read(self) -> None:
        try:
            while (answer := self.client.read_until_ready()) and answer[-1][0] == codec.READY_FOR_QUERY:
                self.answered += 1
        except OSError:
            return


@pytest.mark.parametrize(
    ("clients", "at_once", "rounds", "value_bytes"),
    [
        # Guards against a process that exits with hundreds of statements read and not answered (review/7).
        pytest.param(16, 6, 9, 4_000, id="buffered"),
        # Guards against an exit while statements lie unread behind those that a client may send ahead.
        pytest.param(4, 25, 1, 30_000, id="unread in the socket"),
    ],
)
def test_uploads_behind_hung_ones_are_answered_before_the_process_exits(
    tmp_path, clients, at_once, rounds, value_bytes
):
    deadline_s = 1.0
    platform = Platform(tmp_path)
    classes = [{**each, "objectiveS": 0.1, "deadlineS": deadline_s} for each in SETTINGS["classes"]]
    platform.configure(settings={**SETTINGS, "classes": classes})
    platform.start()
    release = threading.Event()
    try:
        platform.wait_for("endpoint_list.updated revision=1 complete=True cached=False")
        uploaders = [Uploader(platform.client(), n, value_bytes) for n in range(1, clients + 1)]
        for endpoint in platform.endpoints:
            endpoint.script = lambda statement: release.wait(TIMEOUT_S) and None
        terminated_at = time.monotonic()
        platform.signal(signal.SIGTERM)
        for turn in range(rounds):
            time.sleep(max(0.0, terminated_at + 0.15 * turn - time.monotonic()))
            for uploader in uploaders:
                uploader.send(at_once)
        time.sleep(max(0.0, terminated_at + deadline_s + KILL_AFTER_DEADLINE_S - time.monotonic()))
        exit_code = platform.process.poll()
        for uploader in uploaders:
            uploader.reader.join(TIMEOUT_S)
        answered = [uploader.answered for uploader in uploaders]
        assert answered == [uploader.sent for uploader in uploaders] == [at_once * rounds] * clients
        assert exit_code == 0, "it has to exit before the platform may kill it"
    finally:
        release.set()
        platform.close()


# The MongoDB daemon


def test_a_stopping_daemon_replies_to_every_command_that_it_has_read(rough):
    # Guards against connections that are closed while commands wait in them behind a pending one.
    rough.driver("one")
    commands = 400
    with connect(rough) as connection:
        assert insert(connection, "first")["ok"] == 1
        rough.fault("slow", factor=1000)  # the first write takes half a second or more
        connection.sendall(
            b"".join(
                command(n, insert="log", documents=[{"_id": n}], comment={"rid": f"r{n}"}, maxTimeMS=2000)
                for n in range(1, commands + 1)
            )
        )
        time.sleep(0.3)  # the daemon reads all of them
        rough.drivers["one"].process.terminate()
        received = b"".join(iter(lambda: connection.recv(65536), b""))
    assert [number for number, _ in split_replies(received)] == list(range(1, commands + 1))
    assert rough.drivers["one"].process.wait(timeout=TIMEOUT_S) == 0


def test_a_mongodb_command_waits_until_its_reply_unless_its_client_does_not_read():
    proxy = MongodbProxy()
    connection, transport = proxy.client()
    assert not proxy.context.has_waiting_commands()
    connection.dataReceived(b"".join(command(n, find="log", filter={}) for n in (1, 2)))
    assert proxy.context.has_waiting_commands()
    connection.on_write_blocked()
    assert not proxy.context.has_waiting_commands(), "its replies could not be delivered"
    connection.on_write_drained()
    for _ in range(2):
        proxy.turn(0.01)
        assert proxy.context.has_waiting_commands()
        proxy.endpoints.sent.pop().answer({"cursor": {"id": 0, "ns": "sky.log", "firstBatch": []}})
        proxy.turn()
    assert len(replies(transport)) == 2 and not proxy.context.has_waiting_commands()


def test_an_awaitable_hello_does_not_hold_a_stop():
    proxy = MongodbProxy()
    connection, _ = proxy.client()
    topology = {"processId": proxy.context.process_id, "counter": bson.Int64(0)}
    connection.dataReceived(command(1, hello=1, topologyVersion=topology, maxAwaitTimeMS=10_000))
    assert connection.awaited_hello is not None and not proxy.context.has_waiting_commands()
