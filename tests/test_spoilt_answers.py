"""Answers that never end: how much memory a process may need for them."""

from __future__ import annotations

import math
import re
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.connections.process_memory_shares import (
    ENDPOINT_BYTES_MIN,
    ENDPOINT_SHARE,
    RESERVED_BYTES,
    UNLIMITED_BYTES,
    share_memory,
)
from sedgepitch.decisions.connections.receive_budget import ReceiveBudget
from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.endpoint_connection import (
    ConnectionCallbacks,
    EndpointConnection,
    SessionNames,
)
from tests.support.platform import SETTINGS, EmulatedEndpoint, Platform, read_statement
from tests.support.postgresql_harness import ROW, Wire
from tests.test_postgresql_upstream import STARTUP_REPLY, Exchange

DESCRIPTORS = 544
SPOILT_ROW_BYTES = 1_000_000  # announced; all but 10 kB are sent
ROW_PART = codec.row_description() + codec.data_row(bytes(SPOILT_ROW_BYTES))[:-10_000]
DEADLINE_S = 0.4
TIMEOUT_S = 60.0
TRIAL_PAUSE_S = 0.1  # between two requests; shorter than between two trials
RECOVERY_S = 0.3
MEBIBYTE = 1024 * 1024
BUDGET_BYTES = 4 * MEBIBYTE


# The budget


@pytest.mark.parametrize(
    ("limit_bytes", "used_bytes", "max_bytes"),
    [
        (0, 0, UNLIMITED_BYTES),
        (float("inf"), 0, UNLIMITED_BYTES),
        (float("nan"), 0, UNLIMITED_BYTES),
        (1, 0, ENDPOINT_BYTES_MIN),
        (20 * MEBIBYTE, 24 * MEBIBYTE, ENDPOINT_BYTES_MIN),
        (192 * MEBIBYTE, 25 * MEBIBYTE, int((167 * MEBIBYTE - RESERVED_BYTES) * ENDPOINT_SHARE)),
    ],
)
def test_the_budget_is_a_share_of_the_memory_that_is_left(limit_bytes, used_bytes, max_bytes):
    assert share_memory(limit_bytes, used_bytes).endpoint_bytes == max_bytes
    assert max_bytes > codec.ROW_BYTES_MAX, "one reply of the largest size fits"


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, BUDGET_BYTES)), max_size=60))
def test_closing_the_connections_that_the_budget_names_always_keeps_the_sum_within_it(steps):
    budget: ReceiveBudget[int] = ReceiveBudget(BUDGET_BYTES)
    held: dict[int, int] = {}
    for key, held_bytes in steps:
        held[key] = held_bytes
        largest = budget.update(key, held_bytes)
        while largest is not None:
            assert held[largest] == max(held.values())
            held[largest] = 0
            largest = budget.update(largest, 0)
        assert budget.total_bytes == sum(held.values()) <= BUDGET_BYTES


# One connection


def reporting_connection() -> tuple[EndpointConnection, list[int]]:
    """Return a connection after its start-up with a statement in flight, and the sizes that it reports."""
    reported: list[int] = []
    callbacks = ConnectionCallbacks(
        lambda *_: None,
        lambda *_: None,
        lambda *_: None,
        lambda *_: None,
        lambda _connection, held: reported.append(held),
    )
    connection = EndpointConnection(SessionNames(), time.monotonic, callbacks)
    connection.makeConnection(Wire())
    connection.dataReceived(STARTUP_REPLY)
    exchange = Exchange()
    connection.start(exchange.payload, lambda reply: None)
    return connection, reported


def test_a_connection_reports_what_it_holds_of_a_reply_and_when_it_holds_nothing():
    connection, reported = reporting_connection()
    connection.dataReceived(ROW + codec.READY)
    assert reported == [], "complete at once: nothing to report"
    connection.start(Exchange().payload, lambda reply: None)
    connection.dataReceived(ROW[:50])
    connection.dataReceived(ROW[50:])
    assert reported[-1] >= len(ROW), "a row without the messages that end the reply is still held"
    connection.dataReceived(codec.READY)
    assert reported[-1] == 0


@pytest.mark.parametrize("end", ["closed", "lost", "malformed"])
def test_a_connection_that_ends_holds_nothing(end):
    connection, reported = reporting_connection()
    connection.dataReceived(ROW_PART)
    assert reported[-1] > SPOILT_ROW_BYTES / 2
    if end == "closed":
        connection.close()
    if end == "malformed":
        connection.give_up_reply("too much")
    else:
        connection.connectionLost()
    assert reported[-1] == 0


def test_a_reply_that_is_given_up_is_malformed_unless_its_row_is_complete():
    exchange = Exchange()
    exchange.connection.dataReceived(ROW_PART)
    exchange.connection.give_up_reply("too much")
    assert exchange.outcome().why == "spoilt answer: too much" and exchange.transport.aborted
    complete = Exchange()
    complete.connection.dataReceived(ROW)
    complete.connection.give_up_reply("too much")
    assert complete.outcome().reply == ROW and complete.transport.aborted


# A real process


class SpoilingEndpoint(EmulatedEndpoint):
    """An endpoint that announces a long row in one of `every` answers and never ends it.

    The proxy soon sends it single trials only. It answers these, and what follows for RECOVERY_S, so that it
    gets all requests again, and then goes on spoiling.
    """

    def __init__(self, name: str, role: str, every: int) -> None:
        super().__init__(name, role)
        self.every = every
        self.spoilt = 0
        self.called_at = math.inf
        self.recovered_at = -math.inf
        self.script = self.spoil_some

    def spoil_some(self, _statement: str) -> bytes | None:
        now = time.monotonic()
        if now - self.called_at > TRIAL_PAUSE_S:
            self.recovered_at = now
        self.called_at = now
        if now - self.recovered_at < RECOVERY_S or len(self.statements) % self.every:
            return None
        self.spoilt += 1
        return ROW_PART


def anonymous_memory_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"RssAnon:\s+(\d+) kB", status)[1]) / 1024


def most_memory_mb(platform: Platform, limit_mb: float, finished: Callable[[], bool]) -> float:
    """Return the most memory that the process has until it is over the limit or the condition holds."""
    most = 0.0
    end = time.monotonic() + TIMEOUT_S
    while True:
        enough = finished()
        most = max(most, anonymous_memory_mb(platform.process.pid))
        if enough or most > limit_mb:
            return most
        assert time.monotonic() < end, "too few answers were spoilt"
        time.sleep(0.005)


@pytest.mark.parametrize(
    ("every", "clients", "answers", "memory_mb"),
    [
        # Guards against a process that is killed for memory by spoilt answers, a few at a time (review/6).
        pytest.param(30, 8, 120, 80, id="few at a time"),
        # Guards against many spoilt answers at once, each of them within the bound of one reply.
        pytest.param(1, 60, 100, 48, id="all at once"),
        # Guards against a budget for replies that is more than a process of 32 MB has left (a29244).
        pytest.param(1, 60, 100, 32, id="all at once, least memory"),
    ],
)
def test_answers_that_never_end_do_not_fill_the_memory(tmp_path, every, clients, answers, memory_mb):
    platform = Platform(tmp_path)
    for endpoint in platform.endpoints:
        endpoint.close()
    roles = ("writer", "reader", "reader", "reader")
    platform.endpoints = [SpoilingEndpoint(f"s-{n}", role, every) for n, role in enumerate(roles, 1)]
    platform.agent.first_object = platform.version(1)
    platform.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTORS}
    classes = [
        {**each, "objectiveS": DEADLINE_S / 4, "deadlineS": DEADLINE_S} for each in SETTINGS["classes"]
    ]
    platform.configure(settings={**SETTINGS, "classes": classes})
    platform.start()
    connected = threading.Barrier(clients + 1)
    stopped = threading.Event()

    def spoilt() -> int:
        return sum(endpoint.spoilt for endpoint in platform.endpoints)

    def ask(first: int) -> None:
        client = platform.client()
        connected.wait(TIMEOUT_S)
        number = first
        while not stopped.is_set():
            number += clients
            client.query(read_statement(number, d=round(DEADLINE_S * 1000)))
        client.close()

    askers = [threading.Thread(target=ask, args=(n,), daemon=True) for n in range(1, clients + 1)]
    try:
        for asker in askers:
            asker.start()
        connected.wait(TIMEOUT_S)
        most = most_memory_mb(platform, memory_mb, lambda: spoilt() >= answers)
        assert most <= memory_mb, f"{most:.1f} MB after {spoilt()} spoilt answers"
    finally:
        stopped.set()
        for asker in askers:
            asker.join(TIMEOUT_S)
        platform.close()
