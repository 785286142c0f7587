"""A connection that ends frees what it had received, at once and without a cycle collection."""

from __future__ import annotations

import json
import re
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from sedgepitch.protocols.mongodb.framing import FrameReceiver
from sedgepitch.protocols.postgresql import codec
from tests.support.platform import SETTINGS, EmulatedEndpoint, Platform, read_statement
from tests.support.postgresql_harness import PostgresqlProxy
from tests.test_postgresql_upstream import Exchange

CASE_TIMEOUT_S = 60.0
MEMORY_MB = 80
DESCRIPTORS = 544
SPOILT_ROW_BYTES = 1_000_000  # announced; all but 10 kB are sent
SPOILT_ANSWERS = 120  # together more than MEMORY_MB
SPOILT_EVERY = 30  # a share that ejects no endpoint
CLIENTS = 8
DEADLINE_S = 0.4
ROW_PART = codec.row_description() + codec.data_row(bytes(SPOILT_ROW_BYTES))[:-10_000]


@pytest.mark.parametrize(
    "kind",
    [
        "postgresql_abandoned",
        "postgresql_reset",
        "postgresql_openings",
        "mongodb_abandoned",
        "mongodb_openings",
        "watches",
        "postgresql_clients",
        "mongodb_clients",
    ],
)
def test_a_connection_that_ended_within_a_message_is_freed_without_cycle_collection(kind):
    # Guards against closed connections that refer to themselves and so keep their bytes (review/6).
    completed = subprocess.run(
        [sys.executable, "-m", "tests.support.closed_connections_case", kind],
        capture_output=True,
        text=True,
        timeout=CASE_TIMEOUT_S,
    )
    assert completed.returncode == 0, completed.stderr
    assert json.loads(completed.stdout) == {"opened": 5, "alive": 0}


def test_an_endpoint_connection_that_ended_has_dropped_its_part_of_a_reply():
    # Guards against bytes kept by a closed connection that something still refers to (review/6).
    exchange = Exchange()
    exchange.connection.dataReceived(ROW_PART)
    assert exchange.connection.reader.buffered_bytes > SPOILT_ROW_BYTES / 2
    exchange.connection.close()
    exchange.connection.connectionLost()
    assert not exchange.connection.reader.buffered_bytes and exchange.connection.reply is None
    assert exchange.lost == ["closed here"]


def test_a_client_connection_that_ended_has_dropped_its_part_of_a_statement():
    # Guards against bytes kept by a closed connection that something still refers to (review/6).
    proxy = PostgresqlProxy()
    connection, _ = proxy.client()
    connection.dataReceived(codec.query(bytes(100_000))[:-1])
    assert connection.reader.buffered_bytes > 100_000
    connection.connectionLost()
    assert not connection.reader.buffered_bytes


def test_a_mongodb_connection_that_ended_has_dropped_its_part_of_a_frame():
    # Guards against bytes kept by a closed connection that something still refers to (review/6).
    receiver = FrameReceiver()
    receiver.transport = None
    receiver.dataReceived(struct.pack("<iiii", 200_000, 1, 0, 2013) + bytes(100_000))
    assert receiver.buffered > 100_000
    receiver.discard_buffer()
    receiver.dataReceived(bytes(100_000))
    assert not receiver.buffered


class SpoilingEndpoint(EmulatedEndpoint):
    """An endpoint some of whose answers announce a long row and never end."""

    def __init__(self, name: str, role: str) -> None:
        super().__init__(name, role)
        self.spoilt = 0
        self.script = self.spoil_some

    def spoil_some(self, _statement: str) -> bytes | None:
        if len(self.statements) % SPOILT_EVERY:
            return None
        self.spoilt += 1
        return ROW_PART


def anonymous_memory_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"RssAnon:\s+(\d+) kB", status)[1]) / 1024


def test_answers_that_never_end_do_not_add_up_in_memory(tmp_path):
    # Guards against a process that is killed for memory by spoilt answers, a few at a time (review/6).
    platform = Platform(tmp_path)
    for endpoint in platform.endpoints:
        endpoint.close()
    platform.endpoints = [SpoilingEndpoint("s-1", "writer"), SpoilingEndpoint("s-2", "reader")]
    platform.agent.first_object = platform.version(1)
    platform.limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    classes = [
        {**each, "objectiveS": DEADLINE_S / 4, "deadlineS": DEADLINE_S} for each in SETTINGS["classes"]
    ]
    platform.configure(settings={**SETTINGS, "classes": classes})
    platform.start()
    most = 0.0
    finished = threading.Event()

    def spoilt() -> int:
        return sum(endpoint.spoilt for endpoint in platform.endpoints)

    def ask(first: int) -> None:
        client = platform.client()
        number = first
        while not finished.is_set():
            number += CLIENTS
            client.query(read_statement(number, d=round(DEADLINE_S * 1000)))
        client.close()

    askers = [threading.Thread(target=ask, args=(n,), daemon=True) for n in range(1, CLIENTS + 1)]
    try:
        for asker in askers:
            asker.start()
        end = time.monotonic() + CASE_TIMEOUT_S
        while spoilt() < SPOILT_ANSWERS and most <= MEMORY_MB and time.monotonic() < end:
            most = max(most, anonymous_memory_mb(platform.process.pid))
            time.sleep(0.01)
        assert spoilt() >= SPOILT_ANSWERS or most > MEMORY_MB, "too few answers were spoilt"
        assert most <= MEMORY_MB, f"{most:.1f} MB after {spoilt()} spoilt answers"
    finally:
        finished.set()
        for asker in askers:
            asker.join(CASE_TIMEOUT_S)
        platform.close()
