"""Races of signals, endpoint lists and disconnects in one proxy process, with the order of events forced."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from sedgepitch.decisions.connections.client_connections import RECEIVE_TIMEOUT_S
from sedgepitch.protocols.postgresql import codec
from tests.support.platform import (
    ROOT,
    SETTINGS,
    TIMEOUT_S,
    Client,
    DiscoveryAgent,
    Platform,
    read_statement,
    running_platform,
    upload_statement,
    write_statement,
)

EARLIEST_KILL_S = 3.7  # after SIGTERM: the longest deadline, counted as 3 s at most, and 0.7 s


def wait_until(condition, within: float = TIMEOUT_S):
    """Wait until a condition is true; return its value."""
    end = time.monotonic() + within
    while time.monotonic() < end:
        if value := condition():
            return value
        time.sleep(0.02)
    raise AssertionError("the condition did not become true")


class SilentAgent(DiscoveryAgent):
    """A discovery agent that accepts connections and sends nothing, or only `head`."""

    def __init__(self, head: bytes = b"") -> None:
        super().__init__()
        self.head = head
        outer = self

        def serve(handler) -> None:
            outer.targets.append(handler.request.recv(1024).decode(errors="replace").split()[1])
            outer.watches.append(handler.request)
            handler.request.sendall(outer.head)
            while handler.request.recv(1024):
                pass

        self.server.RequestHandlerClass.handle = serve


# Endpoint lists


def test_list_objects_may_be_indented_and_split_anywhere(platform):
    text = json.dumps(json.loads(platform.version(2, complete=False, s_2="draining")), indent=4)
    for at in range(0, len(text), 7):
        platform.agent.send(text[at : at + 7].encode())
    platform.wait_for("endpoint_list.updated revision=2")
    assert "discovery.lost" not in platform.log.read_text()


def test_a_silent_watch_stays_active_until_another_has_sent_data(platform):
    (first,) = platform.agent.watches
    first_object = platform.agent.first_object
    platform.agent.first_object = b""  # new watches get a response head and no data
    wait_until(lambda: len(platform.agent.watches) > 1)
    first.sendall(b"%x\r\n%b\r\n" % (len(data := platform.version(2, complete=False)), data))
    platform.wait_for("endpoint_list.updated revision=2")
    platform.agent.first_object = first_object


def test_a_reload_keeps_the_watch_until_the_new_address_has_sent_data(platform):
    new = SilentAgent()
    platform.configure(new)
    platform.signal(signal.SIGHUP)
    wait_until(lambda: len(new.targets) > 2)  # takes over a second, with only the old watch sending
    platform.agent.send(platform.version(2, complete=False, s_2="draining"))
    platform.wait_for("endpoint_list.updated revision=2")
    assert len(new.watches) - new.targets.count("") <= len(new.targets)
    new.close()


def test_after_two_reloads_the_last_address_is_used_and_its_lower_revision_applies(platform):
    platform.agent.send(platform.version(50, complete=False))
    platform.wait_for("endpoint_list.updated revision=50")
    silent, new = SilentAgent(), DiscoveryAgent()
    new.first_object = platform.version(7)
    platform.configure(silent)
    platform.signal(signal.SIGHUP)
    wait_until(lambda: silent.targets)
    platform.configure(new)
    platform.signal(signal.SIGHUP)
    platform.wait_for("endpoint_list.updated revision=7 complete=True")
    platform.agent.send(platform.version(51, complete=False, s_2="draining"))  # late, from the old address
    new.send(platform.version(8, complete=False, s_2="draining"))
    platform.wait_for("endpoint_list.updated revision=8")
    assert "revision=51" not in platform.log.read_text()
    silent.close()
    new.close()


def test_a_partly_written_file_is_reloaded_without_another_signal(platform):
    new = DiscoveryAgent()
    new.first_object = platform.version(7)
    path = platform.folder / "config.json"
    text = path.read_text()
    path.write_text(text[: len(text) // 2])
    platform.signal(signal.SIGHUP)
    platform.wait_for("config.invalid")
    platform.configure(new)
    platform.wait_for("endpoint_list.updated revision=7")
    assert platform.log.read_text().count("config.invalid") == 1
    new.close()


def test_fields_that_a_reload_ignores_are_logged(platform):
    settings = json.loads(json.dumps(SETTINGS))
    settings["limits"]["connectTimeoutS"] = 1.0
    settings["rules"]["drainGraceS"] = 0.1
    platform.configure(settings=settings, limits={**platform.limits, "sockets": 300})
    platform.signal(signal.SIGHUP)
    ignored = platform.wait_for("reload.ignored fields=(.*) reason")[1]
    assert ignored == "sockets,settings,connect_within"


@pytest.mark.parametrize(
    "head",
    [b"HTTP/1.1 200 OK\r\n\r\nnot a list", b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", b"junk\r\n\r\n"],
)
def test_discovery_that_sends_no_valid_list_is_retried_with_backoff(platform, head):
    bad = SilentAgent(head)
    platform.configure(bad)
    platform.signal(signal.SIGHUP)
    wait_until(lambda: len(bad.targets) > 6)
    platform.agent.send(platform.version(2, complete=False))
    platform.wait_for("endpoint_list.updated revision=2")
    assert platform.client().query(read_statement(1)) == ("value", b"value of 1")
    assert "Traceback" not in platform.log.read_text()
    bad.close()


# Signals during start-up


class BlockedStart:
    """A proxy process that blocks at start-up, reading its configuration from a named pipe."""

    def __init__(self, folder) -> None:
        self.platform = Platform(folder)
        self.platform.configure()
        path = folder / "config.json"
        self.text = path.read_text()
        path.unlink()
        os.mkfifo(path)
        environment = {"PATH": "", "RELAY_CONFIG": str(path), "RELAY_NAME": "n1", "PYTHONPATH": str(ROOT)}
        with self.platform.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "sedgepitch.node"], env=environment, stderr=log, stdout=log, cwd=ROOT
            )
        self.platform.process = self.process
        self.pipe = path.open("w")  # blocks until the process has opened it

    def resume(self) -> None:
        """Write the configuration, so that the process continues."""
        self.pipe.write(self.text)
        self.pipe.close()


def test_sighup_before_the_configuration_was_read_reloads_afterwards(tmp_path):
    start = BlockedStart(tmp_path)
    try:
        start.process.send_signal(signal.SIGHUP)
        start.platform.configure()  # replaces the pipe that the process is reading by a regular file
        start.resume()
        start.platform.wait_for("reloaded discovery=")
        assert start.process.poll() is None
    finally:
        start.platform.close()


@pytest.mark.parametrize("count", [1, 2])
def test_sigterm_before_the_configuration_was_read_exits_with_0(tmp_path, count):
    start = BlockedStart(tmp_path)
    try:
        for _ in range(count):
            start.process.send_signal(signal.SIGTERM)
        start.resume()
        assert start.process.wait(timeout=TIMEOUT_S) == 0
        assert "Traceback" not in start.platform.log.read_text()
    finally:
        start.platform.close()


# Shutdown


def exit_code_at_kill(platform: Platform, terminated_at: float) -> int | None:
    """Kill the process as early as the platform may; return its exit code, 0 if it had exited before."""
    time.sleep(max(0.0, terminated_at + EARLIEST_KILL_S - time.monotonic()))
    platform.end_process()
    return platform.process.returncode


def test_all_pipelined_statements_are_answered_before_the_exit(platform):
    release = threading.Event()
    for endpoint in platform.endpoints:
        endpoint.script = lambda s: release.wait(TIMEOUT_S) and None
    client = platform.client()
    client.socket.sendall(
        codec.query(read_statement(1)) + codec.query(read_statement(2)) + codec.query(read_statement(3))
    )
    wait_until(lambda: any(endpoint.statements for endpoint in platform.endpoints))
    platform.signal(signal.SIGTERM)
    platform.signal(signal.SIGTERM)
    platform.signal(signal.SIGHUP)
    answers = [client.read_until_ready() for _ in range(3)]
    assert all(
        any(kind in (b"E", b"D") for kind, _ in answer) and answer[-1][0] == b"Z" for answer in answers
    )
    assert client.read_until_ready() == [], "closed in order"
    assert platform.process.wait(timeout=TIMEOUT_S) == 0
    release.set()
    assert "Traceback" not in platform.log.read_text()


# Guards against a shutdown schedule that starts when a suspension ends and so exceeds the kill timeout.
def test_a_shutdown_requested_during_a_suspension_counts_from_before_the_suspension(platform):
    release = threading.Event()
    for endpoint in platform.endpoints:
        endpoint.script = lambda s: release.wait(TIMEOUT_S) and None
    client = platform.client()
    client.socket.sendall(codec.query(read_statement(1)))
    wait_until(lambda: any(endpoint.statements for endpoint in platform.endpoints))
    platform.signal(signal.SIGSTOP)
    signalled_at = time.monotonic()
    platform.signal(signal.SIGTERM)
    time.sleep(2.5)  # the process is suspended for that long
    platform.signal(signal.SIGCONT)
    assert client.read_until_ready()[-1][0] == b"Z"
    answered_after = time.monotonic() - signalled_at
    release.set()
    assert platform.process.wait(timeout=TIMEOUT_S) == 0
    assert answered_after < 3.7, "s; the platform may kill the process from then on"
    assert int(platform.wait_for(r"stopping .*requested_ago_ms=(\d+)")[1]) >= 2400


# Guards against a suspension at SIGTERM that is too short to be noticed and delays the exit past the kill.
@pytest.mark.parametrize("suspended_s", [0.02, 0.08, 0.11])
def test_a_short_suspension_at_sigterm_does_not_delay_the_exit_past_the_kill(platform, suspended_s):
    client = platform.client()
    stopped = threading.Event()

    def send_requests() -> None:
        for number in range(1, 1_000_000):
            try:
                if stopped.is_set() or client.query(read_statement(number, d=2000))[0] == "closed":
                    return
            except OSError:
                return

    sender = threading.Thread(target=send_requests, daemon=True)
    sender.start()
    wait_until(lambda: any(endpoint.statements for endpoint in platform.endpoints))
    platform.signal(signal.SIGSTOP)
    wait_until(platform.is_suspended)
    sent_at = time.monotonic()
    platform.signal(signal.SIGTERM)
    time.sleep(suspended_s)
    platform.signal(signal.SIGCONT)
    exit_code = exit_code_at_kill(platform, sent_at)
    stopped.set()
    sender.join(TIMEOUT_S)
    assert int(platform.wait_for(r"stopping .*requested_ago_ms=(\d+)")[1]) >= 1000 * suspended_s
    assert exit_code == 0


# Guards against an exit that closes a crowd's connections one by one, which may outlast the kill.
def test_held_connections_do_not_delay_the_exit_past_the_kill(tmp_path):
    with running_platform(tmp_path, program="tests.support.slow_closes") as platform:
        clients = [platform.client() for _ in range(40)]
        sent_at = time.monotonic()
        platform.signal(signal.SIGTERM)
        assert exit_code_at_kill(platform, sent_at) == 0
        for client in clients:
            client.close()


# Guards the exit that leaves the connections to the system.
def test_a_response_that_its_client_reads_after_the_exit_arrives_whole(platform):
    value = b"x" * 60_000
    for endpoint in platform.endpoints:
        endpoint.script = lambda s, endpoint=endpoint: endpoint.row(value)
    client = platform.client(receive_buffer_bytes=4096)  # most of the response stays in the proxy's socket
    client.socket.sendall(codec.query(read_statement(1)))
    wait_until(lambda: any(endpoint.statements for endpoint in platform.endpoints))
    platform.signal(signal.SIGTERM)
    assert platform.process.wait(timeout=TIMEOUT_S) == 0
    answer = client.read_until_ready()
    assert [codec.one_value(raw) for kind, raw in answer if kind == codec.DATA_ROW] == [value]
    assert answer[-1][0] == codec.READY_FOR_QUERY


def test_clients_that_send_during_a_shutdown_get_an_answer_or_a_close_for_each_request(platform):
    clients = [platform.client() for _ in range(8)]
    unanswered = []

    def send_requests(client: Client, base: int) -> None:
        for number in range(base, base + 100_000):
            try:
                kind, _ = client.query(read_statement(number, d=2000))
            except OSError:
                return  # closed while the request was in transit
            if kind == "closed":
                return
            if kind not in ("value", "error"):
                unanswered.append(number)

    threads = [
        threading.Thread(target=send_requests, args=(c, 1_000_000 * (i + 1)), daemon=True)
        for i, c in enumerate(clients)
    ]
    for thread in threads:
        thread.start()
    platform.signal(signal.SIGTERM)
    assert platform.process.wait(timeout=TIMEOUT_S) == 0
    for thread in threads:
        thread.join(TIMEOUT_S)
    statistics = platform.wait_for(r"stopped (.*)")[1]
    assert not unanswered and "requests_pending=0" in statistics and "callback_errors=0" in statistics


# Clients that disconnect


def test_pipelined_statements_of_a_disconnected_client_are_not_forwarded_later(platform):
    release = threading.Event()
    for endpoint in platform.endpoints:
        endpoint.script = lambda s: release.wait(TIMEOUT_S) and None
    client = platform.client()
    client.socket.sendall(codec.query(read_statement(1)))
    wait_until(lambda: any(endpoint.statements for endpoint in platform.endpoints))
    for number in range(2, 3000):
        client.socket.sendall(codec.query(read_statement(number)))
    client.close()
    wait_until(lambda: re.search(r"runtime_statistics .*client_connections=0 ", platform.log.read_text()))
    release.set()
    other = platform.client()
    for number in range(5000, 5010):
        assert other.query(read_statement(number))[0] == "value"
    forwarded = {re.search(r"id=(\w+)", s)[1] for endpoint in platform.endpoints for s in endpoint.statements}
    assert forwarded - {f"{n:x}" for n in range(5000, 5010)} == {"1"}


def test_a_client_that_disconnected_while_the_process_was_suspended_is_not_served(platform):
    client = platform.client()
    platform.process.send_signal(signal.SIGSTOP)
    client.socket.sendall(codec.query(write_statement(1)))
    client.close()
    time.sleep(0.3)  # the process is suspended for that long
    platform.process.send_signal(signal.SIGCONT)
    assert platform.client().query(read_statement(2)) == ("value", b"value of 2")
    assert not [s for endpoint in platform.endpoints for s in endpoint.statements if "id=1," in s]


def test_closing_the_port_accepts_all_clients_in_the_backlog():
    completed = subprocess.run(
        [sys.executable, "-m", "tests.support.transport_case", "uvloop", "accept_all"],
        capture_output=True,
        text=True,
        timeout=120,
        cwd=ROOT,
        check=True,
    )
    assert json.loads(completed.stdout)["accepted"] == 40


def test_a_slow_or_flooding_client_affects_only_its_own_connection(platform):
    slow = socket.create_connection(("127.0.0.1", platform.port))
    slow.sendall(codec.startup("web", "orders")[:9])
    flood = Client(platform.port)
    try:
        for _ in range(200):
            flood.socket.sendall(b"Q" + b"\x7f\xff\xff\xff" + b"z" * 65536)
    except OSError:
        pass
    assert platform.client().query(read_statement(7)) == ("value", b"value of 7")
    while slow.recv(4096):
        pass
    slow.close()
    assert "Traceback" not in platform.log.read_text()


# Guards against an upload that is closed as too slow although all of it was sent in time (a29244).
def test_an_upload_that_arrives_while_the_process_is_held_up_is_served_after_its_timeout(platform):
    client = platform.client()
    upload = codec.query(upload_statement(1, codec.VALUE_BYTES_MAX))
    first, rest = upload[:1000], upload[1000:]  # the rest takes more than one read
    client.socket.sendall(first)
    time.sleep(RECEIVE_TIMEOUT_S - 0.3)
    platform.signal(signal.SIGSTOP)
    wait_until(platform.is_suspended)
    client.socket.sendall(rest)
    time.sleep(0.6)
    platform.signal(signal.SIGCONT)
    kinds = [kind for kind, _ in client.read_until_ready()]
    assert codec.DATA_ROW in kinds and codec.ERROR_RESPONSE not in kinds
