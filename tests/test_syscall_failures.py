"""Transient failures of system calls in one proxy process leave no accepted request unanswered.

The order of events is forced, not timed: the process is suspended while clients connect and send, a rule is
armed, and the process resumes. The rule's hit count shows that the fault affected the intended call.
"""

from __future__ import annotations

import errno
import os
import re
import resource
import signal
import socket
import time

import pytest

from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.statement_handler import DISCONNECT_CHECK_AFTER_S
from tests.support.platform import TIMEOUT_S, Client, Platform, read_statement, running_platform
from tests.support.syscall_faults import UNBOUNDED, Call, Kind, Rule, SystemCallFaults, name_of

CLIENTS = 5


@pytest.fixture
def faults(tmp_path):
    return SystemCallFaults(tmp_path)


@pytest.fixture
def faulty(tmp_path, faults):
    """Yield an emulated platform with one running proxy process whose system calls can be made to fail."""
    with running_platform(tmp_path, faults.environment) as platform:
        yield platform


@pytest.fixture
def unstarted(tmp_path, faults):
    """Yield the same platform before its proxy process is started."""
    platform = Platform(tmp_path)
    platform.environment = faults.environment
    platform.configure()
    yield platform
    platform.close()


def suspend(platform: Platform) -> None:
    """Send SIGSTOP to the process and wait until it is stopped."""
    platform.signal(signal.SIGSTOP)
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        with open(f"/proc/{platform.process.pid}/stat") as stat:
            if stat.read().rpartition(")")[2].split()[0] == "T":
                return
        time.sleep(0.01)
    raise AssertionError("the process did not stop")


def resume(platform: Platform) -> None:
    platform.signal(signal.SIGCONT)


def waiting_client(platform: Platform, number: int) -> Client:
    """Return a client that has sent its startup message and first request from the accept backlog."""
    client = Client(platform.port, startup=False)
    client.socket.sendall(codec.startup("web", "orders") + codec.query(read_statement(number)))
    return client


def answer_of(client: Client) -> tuple[str, object]:
    """Return the answer to the request of a `waiting_client`, or ("closed", ...) if the connection closed."""
    try:
        client.read_until_ready()
        for kind, raw in client.read_until_ready():
            if kind == b"D":
                return "value", codec.one_value(raw)
            if kind == b"E":
                return "error", codec.read_error(raw)
    except OSError as error:
        return "closed", errno.errorcode.get(error.errno or 0)
    return "closed", None


def parameter_id(part) -> str | None:
    """Return a readable id for a parameter of the tests below."""
    if isinstance(part, Call):
        return part.name.lower()
    return errno.errorcode.get(part) if part >= errno.EINTR else None


def value(number: int) -> tuple[str, bytes]:
    return "value", f"value of {number:x}".encode()


@pytest.mark.parametrize(
    "error",
    [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EPROTO],
    ids=name_of,
)
def test_requests_in_the_backlog_are_answered_although_accept_fails_once(faulty, faults, error):
    suspend(faulty)
    clients = [waiting_client(faulty, number) for number in range(1, CLIENTS + 1)]
    rule = faults.arm(Rule(Call.ACCEPT, Kind.LISTENER, error))
    resume(faulty)
    answers = [answer_of(client) for client in clients]
    assert faults.hits(rule) == 1
    assert answers == [value(number) for number in range(1, CLIENTS + 1)]
    assert faulty.process.poll() is None


@pytest.mark.parametrize("idle_clients", [0, 12])
def test_clients_are_answered_although_no_descriptor_is_left(faulty, idle_clients):
    first = faulty.client()
    assert first.query(read_statement(1)) == value(1)  # leaves an idle pooled connection to an endpoint
    idle = [faulty.client() for _ in range(idle_clients)]
    for number, client in enumerate(idle, 10):
        assert client.query(read_statement(number)) == value(number)
    pid = faulty.process.pid
    highest = max(int(name) for name in os.listdir(f"/proc/{pid}/fd"))
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (highest + 1, highest + 1))
    newcomers = [waiting_client(faulty, number) for number in range(40, 46)]
    answers = [answer_of(client) for client in newcomers]
    # How many connections fit depends on the system; none may be closed without an answer.
    assert "closed" not in [kind for kind, _ in answers]
    assert faulty.process.poll() is None


# The time that a request waits in the backlog counts towards its deadline


def test_a_request_whose_deadline_passed_in_the_backlog_is_answered_and_not_forwarded(faulty):
    suspend(faulty)
    client = Client(faulty.port, startup=False)
    client.socket.sendall(codec.startup("web", "orders") + codec.query(read_statement(1, d=1000)))
    time.sleep(1.2)  # longer than the deadline; a longer sleep does no harm
    resume(faulty)
    assert answer_of(client)[0] == "error"
    assert not [text for endpoint in faulty.endpoints for text in endpoint.statements]


def test_the_wait_in_the_backlog_is_taken_from_the_forwarded_deadline(faulty):
    suspend(faulty)
    client = Client(faulty.port, startup=False)
    client.socket.sendall(codec.startup("web", "orders") + codec.query(read_statement(1, d=15000)))
    time.sleep(1.0)  # a longer sleep does no harm: it leaves a shorter deadline
    resume(faulty)
    assert answer_of(client) == value(1)
    (statement,) = [text for endpoint in faulty.endpoints for text in endpoint.statements]
    assert int(re.search(r",d=(\d+)", statement)[1]) <= 14_000 + 150


# A transient error of one call must not be taken for the end of a connection either

TRANSIENT = [
    errno.EINTR,
    errno.EAGAIN,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
]


@pytest.mark.parametrize("error", TRANSIENT, ids=name_of)
def test_a_transient_read_error_on_a_client_connection_loses_no_request(faulty, faults, error):
    client = faulty.client()
    rule = faults.arm(Rule(Call.READ, Kind.ACCEPTED, error, times=3))
    assert client.query(read_statement(1)) == value(1)
    assert faults.hits(rule) == 3


@pytest.mark.parametrize("error", TRANSIENT, ids=name_of)
def test_a_transient_write_error_on_a_client_connection_loses_no_answer(faulty, faults, error):
    client = faulty.client()
    rule = faults.arm(Rule(Call.WRITE, Kind.ACCEPTED, error, times=3))
    assert client.query(read_statement(1)) == value(1)
    assert faults.hits(rule) == 3


@pytest.mark.parametrize("call", [Call.READ, Call.WRITE], ids=lambda call: call.name.lower())
@pytest.mark.parametrize("kind", [Kind.ACCEPTED, Kind.OPENED], ids=lambda kind: kind.name.lower())
def test_partial_reads_and_writes_of_one_byte_change_no_answer(faulty, faults, call, kind):
    rule = faults.arm(Rule(call, kind, byte_limit=1, times=UNBOUNDED))
    client = faulty.client()
    for number in range(1, 4):
        assert client.query(read_statement(number)) == value(number)
    assert faults.hits(rule) > 10


@pytest.mark.parametrize(
    ("call", "error", "spare"),
    [
        (Call.SETSOCKOPT, errno.ENOMEM, 0),  # the option that enables receive timestamps
        (Call.SETSOCKOPT, errno.ENOBUFS, 1),  # TCP_NODELAY
        (Call.GETSOCKOPT, errno.ENOBUFS, 0),  # SO_ERROR after a read
        (Call.IOCTL, errno.ENOMEM, 0),
        (Call.EPOLL_CTL, errno.ENOMEM, 0),
        (Call.EPOLL_CTL, errno.ENOSPC, 0),
    ],
)
def test_requests_are_answered_although_a_call_on_a_new_connection_fails_once(
    faulty, faults, call, error, spare
):
    suspend(faulty)
    clients = [waiting_client(faulty, number) for number in range(1, CLIENTS + 1)]
    rule = faults.arm(Rule(call, Kind.ACCEPTED, error, spare=spare))
    resume(faulty)
    answers = [answer_of(client) for client in clients]
    assert faults.hits(rule) == 1
    assert answers == [value(number) for number in range(1, CLIENTS + 1)]


@pytest.mark.parametrize("error", [errno.ENOMEM], ids=name_of)
def test_a_request_read_late_is_answered_although_polling_its_client_fails(faulty, faults, error):
    client = faulty.client()
    suspend(faulty)
    client.socket.sendall(codec.query(read_statement(1)))
    time.sleep(2 * DISCONNECT_CHECK_AFTER_S)  # a request read this late has its client polled
    rule = faults.arm(Rule(Call.POLL, error=error))
    resume(faulty)
    messages = client.read_until_ready()
    assert faults.hits(rule) == 1
    assert [codec.one_value(raw) for kind, raw in messages if kind == b"D"] == [value(1)[1]]


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EAGAIN], ids=name_of)
def test_the_backlog_is_answered_although_accept_fails_during_a_shutdown(faulty, faults, error):
    suspend(faulty)
    clients = [waiting_client(faulty, number) for number in range(1, CLIENTS + 1)]
    rule = faults.arm(Rule(Call.ACCEPT, Kind.LISTENER, error, times=3))
    faulty.signal(signal.SIGTERM)
    resume(faulty)
    answers = [answer_of(client) for client in clients]
    assert faults.hits(rule) == 3
    assert answers == [value(number) for number in range(1, CLIENTS + 1)]


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE], ids=name_of)
def test_a_shutdown_ends_although_accept_keeps_failing(faulty, faults, error):
    connected = faulty.client()
    faults.arm(Rule(Call.ACCEPT, Kind.LISTENER, error, times=UNBOUNDED))
    waiting = Client(faulty.port, startup=False)
    faulty.signal(signal.SIGTERM)
    faulty.wait_for("stopping")
    assert connected.query(read_statement(1)) == value(1)
    connected.close()
    assert faulty.process.wait(timeout=TIMEOUT_S) == 0
    waiting.close()


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (Call.SOCKET, errno.EMFILE),
        (Call.SOCKET, errno.ENFILE),
        (Call.SOCKET, errno.ENOBUFS),
        (Call.CONNECT, errno.EAGAIN),
        (Call.CONNECT, errno.EADDRNOTAVAIL),
        (Call.CONNECT, errno.ENETUNREACH),
        (Call.CONNECT, errno.EINTR),
    ],
    ids=parameter_id,
)
def test_a_request_is_answered_although_opening_a_connection_to_an_endpoint_fails_once(
    faulty, faults, call, error
):
    rule = faults.arm(Rule(call, error=error))
    client = faulty.client()
    assert client.query(read_statement(1)) == value(1)
    assert faults.hits(rule) <= 1


# Start-up


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (Call.BIND, errno.EADDRINUSE),
        (Call.BIND, errno.EADDRNOTAVAIL),
        (Call.BIND, errno.ENOMEM),
        (Call.LISTEN, errno.EADDRINUSE),
        (Call.SOCKET, errno.EMFILE),
        (Call.SOCKET, errno.ENFILE),
        (Call.SOCKET, errno.ENOBUFS),
        (Call.SOCKET, errno.ENOMEM),
    ],
    ids=parameter_id,
)
def test_a_process_starts_and_serves_although_its_sockets_fail_to_open_at_first(
    unstarted, faults, call, error
):
    rule = faults.arm(Rule(call, error=error, times=3))
    unstarted.start()
    assert faults.hits(rule) == 3
    assert unstarted.client().query(read_statement(1)) == value(1)


def test_an_address_that_stays_in_use_is_logged_and_the_process_exits_with_1(unstarted):
    other_listener = socket.create_server(("127.0.0.1", 0))
    unstarted.configure(listen=f"127.0.0.1:{other_listener.getsockname()[1]}")
    with pytest.raises(AssertionError, match=r"listen.failed"):
        unstarted.start()
    assert unstarted.process.wait(timeout=TIMEOUT_S) == 1
    assert "Traceback" not in unstarted.log.read_text()
    other_listener.close()


def test_a_connection_whose_reads_keep_failing_is_closed_and_the_error_logged(faulty, faults):
    client = faulty.client()
    rule = faults.arm(Rule(Call.READ, Kind.ACCEPTED, errno.ETIMEDOUT, times=UNBOUNDED))
    assert client.query(read_statement(1)) == ("closed", None)
    faults.disarm(rule)
    line = faulty.wait_for(r"client\.closed .*reason=connection_failed.*")[0]
    assert "Connection timed out" in line
    assert faulty.client().query(read_statement(2)) == value(2)
