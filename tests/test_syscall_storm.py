"""Random system call failures under load, with fixed seeds: each request that was sent gets one answer.

The faults are transient. Those on client connections leave the connection open; those on connections to
endpoints may also end it. No assertion depends on how long a step takes.
"""

from __future__ import annotations

import errno
import random
import re
import signal
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from sedgepitch.protocols.postgresql import codec
from tests.support.platform import TIMEOUT_S, Client, Platform, read_statement, write_statement
from tests.support.syscall_faults import Call, Kind, Rule, SystemCallFaults

CLIENTS, REQUESTS = 6, 40
NEW_CONNECTION_SHARE = 0.4  # of requests are sent on a connection of their own
TRANSIENT = [errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, errno.ETIMEDOUT, errno.EHOSTUNREACH]
ACCEPT_ERRORS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EINTR]
CONNECT_ERRORS = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EAGAIN]
ENDING_ERRORS = [errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EPIPE]


def random_rule(rng: random.Random) -> Rule:
    """Return a random fault that must not leave a request unanswered."""
    call, kind, errors = rng.choice(
        [
            (Call.ACCEPT, Kind.LISTENER, ACCEPT_ERRORS),
            (Call.ACCEPT, Kind.LISTENER, ACCEPT_ERRORS),
            (Call.READ, Kind.ACCEPTED, [*TRANSIENT, 0]),
            (Call.WRITE, Kind.ACCEPTED, [*TRANSIENT, 0]),
            (Call.READ, Kind.OPENED, [*TRANSIENT, *ENDING_ERRORS, 0]),
            (Call.WRITE, Kind.OPENED, [*TRANSIENT, *ENDING_ERRORS, 0]),
            (Call.SOCKET, Kind.ANY, [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]),
            (Call.CONNECT, Kind.OPENED, CONNECT_ERRORS),
            (Call.SETSOCKOPT, Kind.ANY, TRANSIENT),
            (Call.GETSOCKOPT, Kind.ACCEPTED, TRANSIENT),
            (Call.IOCTL, Kind.ACCEPTED, [errno.ENOMEM]),
            (Call.EPOLL_CTL, Kind.ACCEPTED, [errno.ENOMEM, errno.ENOSPC]),
            (Call.SHUTDOWN, Kind.ANY, [errno.ENOTCONN]),
            (Call.POLL, Kind.ANY, [errno.ENOMEM]),
        ]
    )
    error = rng.choice(errors)
    return Rule(call, kind, error, 0 if error else rng.randint(1, 16), rng.randint(0, 4), rng.randint(1, 5))


@dataclass
class SequentialClient:
    """A client that sends requests one after another, on a kept or a new connection, and records results."""

    platform: Platform
    number: int
    rng: random.Random
    arm: Callable[[Rule], object]
    answers: list[str] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)
    resent: int = 0  # requests sent again because the kept connection was closed as they were sent
    kept: Client | None = None

    def run(self) -> None:
        """Send all requests."""
        for index in range(REQUESTS):
            self.arm(random_rule(self.rng))
            self.query(self.number * 1000 + index + 1)
        if self.kept is not None:
            self.kept.close()

    def query(self, number: int) -> None:
        """Send one request and record whether it was answered."""
        statement = write_statement(number) if self.rng.random() < 0.3 else read_statement(number)
        kinds: list[bytes] = []
        if self.kept is not None and self.rng.random() >= NEW_CONNECTION_SHARE:
            kinds = self.query_on_kept_connection(statement)
        if not kinds:
            kinds = self.query_on_new_connection(statement)
        if kinds[-1:] == [b"Z"] and (b"D" in kinds) != (b"E" in kinds):
            self.answers.append("value" if b"D" in kinds else "error")
        else:
            self.unanswered.append(f"{number:x}: {kinds}")

    def query_on_kept_connection(self, statement: bytes) -> list[bytes]:
        """Return the answer's message types; empty if the connection closed between requests (allowed)."""
        kinds: list[bytes] = []
        try:
            self.kept.socket.sendall(codec.query(statement))
            kinds = [kind for kind, _ in self.kept.read_until_ready()]
        except (BrokenPipeError, ConnectionResetError):
            pass
        if not kinds:
            self.resent += 1
            self.kept.close()
            self.kept = None
        return kinds

    def query_on_new_connection(self, statement: bytes) -> list[bytes]:
        """Return the answer's message types; a new connection must not be closed without an answer."""
        client = Client(self.platform.port, startup=False)
        client.socket.sendall(codec.startup("web", "orders") + codec.query(statement))
        ready = bool(client.read_until_ready())
        kinds = [kind for kind, _ in client.read_until_ready()] if ready else []
        if self.kept is None:
            self.kept = client
        else:
            client.close()
        return kinds


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_each_request_gets_one_answer_while_system_calls_fail(tmp_path, seed):
    faults = SystemCallFaults(tmp_path)
    lock = threading.Lock()

    def arm(rule: Rule) -> None:
        with lock:
            faults.arm(rule)

    platform = Platform(tmp_path)
    platform.environment = faults.environment
    platform.configure()
    platform.start()
    try:
        platform.wait_for("endpoint_list.updated revision=1 complete=True cached=False")
        generators = [random.Random(seed * 100 + number) for number in range(CLIENTS)]
        clients = [SequentialClient(platform, number, generators[number], arm) for number in range(CLIENTS)]
        threads = [threading.Thread(target=client.run, daemon=True) for client in clients]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert [client.unanswered for client in clients] == [[]] * CLIENTS
        assert sum(len(client.answers) for client in clients) == CLIENTS * REQUESTS
        assert faults.total_hits() > 20
        assert platform.process.poll() is None
        platform.signal(signal.SIGTERM)
        assert platform.process.wait(timeout=TIMEOUT_S) == 0
        closes = re.findall(r"client_closes .*reasons=(\S+)", platform.log.read_text())[-1]
        evicted = re.search(r"evicted:(\d+)", closes)
        assert sum(client.resent for client in clients) <= (int(evicted[1]) if evicted else 0), closes
        log = platform.log.read_text()
        assert "Traceback" not in log and "twisted.failure" not in log and "engine.fault" not in log
    finally:
        platform.close()
