"""Many failing system calls at random, seeded, under load: each request that was sent gets one answer.

The faults are those that pass: on the clients' side only such as leave a connection whole, on the servers'
side also such as end it. Nothing is judged by how long a step took.
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
FRESH_CONNECTION = 0.4  # share of requests that come on a connection of their own
PASSING = [errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM, errno.ETIMEDOUT, errno.EHOSTUNREACH]
ACCEPTING = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EINTR]
CONNECTING = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EAGAIN]
ENDING = [errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EPIPE]


def random_rule(dice: random.Random) -> Rule:
    """One fault that must cost no request its answer."""
    call, kind, errors = dice.choice(
        [
            (Call.ACCEPT, Kind.LISTENER, ACCEPTING),
            (Call.ACCEPT, Kind.LISTENER, ACCEPTING),
            (Call.READ, Kind.ACCEPTED, [*PASSING, 0]),
            (Call.WRITE, Kind.ACCEPTED, [*PASSING, 0]),
            (Call.READ, Kind.OPENED, [*PASSING, *ENDING, 0]),
            (Call.WRITE, Kind.OPENED, [*PASSING, *ENDING, 0]),
            (Call.SOCKET, Kind.ANY, [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]),
            (Call.CONNECT, Kind.OPENED, CONNECTING),
            (Call.SETSOCKOPT, Kind.ANY, PASSING),
            (Call.GETSOCKOPT, Kind.ACCEPTED, PASSING),
            (Call.IOCTL, Kind.ACCEPTED, [errno.ENOMEM]),
            (Call.EPOLL_CTL, Kind.ACCEPTED, [errno.ENOMEM, errno.ENOSPC]),
            (Call.SHUTDOWN, Kind.ANY, [errno.ENOTCONN]),
            (Call.POLL, Kind.ANY, [errno.ENOMEM]),
        ]
    )
    error = dice.choice(errors)
    return Rule(
        call, kind, error, 0 if error else dice.randint(1, 16), dice.randint(0, 4), dice.randint(1, 5)
    )


@dataclass
class Caller:
    """One client that asks in turn, on kept and on new connections; what it met is kept."""

    platform: Platform
    number: int
    dice: random.Random
    arm: Callable[[Rule], object]
    answers: list[str] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)
    crossed: int = 0  # requests that met the close of a kept connection, and were sent once more
    kept: Client | None = None

    def run(self) -> None:
        """Ask all."""
        for index in range(REQUESTS):
            self.arm(random_rule(self.dice))
            self.query(self.number * 1000 + index + 1)
        if self.kept is not None:
            self.kept.close()

    def query(self, number: int) -> None:
        """Ask once."""
        statement = write_statement(number) if self.dice.random() < 0.3 else read_statement(number)
        kinds: list[bytes] = []
        if self.kept is not None and self.dice.random() >= FRESH_CONNECTION:
            kinds = self.ask_kept(statement)
        if not kinds:
            kinds = self.ask_fresh(statement)
        if kinds[-1:] == [b"Z"] and (b"D" in kinds) != (b"E" in kinds):
            self.answers.append("value" if b"D" in kinds else "error")
        else:
            self.unanswered.append(f"{number:x}: {kinds}")

    def ask_kept(self, statement: bytes) -> list[bytes]:
        """Ask on the kept connection; empty where it was closed between requests, as the protocol allows."""
        kinds: list[bytes] = []
        try:
            self.kept.socket.sendall(codec.query(statement))
            kinds = [kind for kind, _ in self.kept.read_until_ready()]
        except (BrokenPipeError, ConnectionResetError):
            pass
        if not kinds:
            self.crossed += 1
            self.kept.close()
            self.kept = None
        return kinds

    def ask_fresh(self, statement: bytes) -> list[bytes]:
        """Ask on a new connection, which has to answer."""
        client = Client(self.platform.port, startup=False)
        client.socket.sendall(codec.startup("web", "orders") + codec.query(statement))
        greeted = bool(client.read_until_ready())
        kinds = [kind for kind, _ in client.read_until_ready()] if greeted else []
        if self.kept is None:
            self.kept = client
        else:
            client.close()
        return kinds


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_request_has_one_answer_while_system_calls_fail(tmp_path, seed):
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
        dice = [random.Random(seed * 100 + number) for number in range(CLIENTS)]
        callers = [Caller(platform, number, dice[number], arm) for number in range(CLIENTS)]
        threads = [threading.Thread(target=caller.run, daemon=True) for caller in callers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert [caller.unanswered for caller in callers] == [[]] * CLIENTS
        assert sum(len(caller.answers) for caller in callers) == CLIENTS * REQUESTS
        assert faults.total_hits() > 20
        assert platform.process.poll() is None
        platform.signal(signal.SIGTERM)
        assert platform.process.wait(timeout=TIMEOUT_S) == 0
        closes = re.findall(r"client_closes .*reasons=(\S+)", platform.log.read_text())[-1]
        evicted = re.search(r"evicted:(\d+)", closes)
        assert sum(caller.crossed for caller in callers) <= (int(evicted[1]) if evicted else 0), closes
        log = platform.log.read_text()
        assert "Traceback" not in log and "twisted.failure" not in log and "engine.fault" not in log
    finally:
        platform.close()
