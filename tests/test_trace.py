"""The trace of a running proxy: the attempts of the router match the traffic on its connections."""

from __future__ import annotations

import time

from benchmarks.in_flight_check import compare, read_trace
from tests.support.platform import TIMEOUT_S, Platform, read_statement

REQUESTS = 20


def test_router_and_connections_trace_the_same_attempts(tmp_path):
    platform = Platform(tmp_path)
    platform.environment = {"SEDGEPITCH_TRACE": "1"}
    platform.configure()
    platform.start()
    try:
        platform.wait_for("endpoint_list.updated revision=1")
        client = platform.client()
        for number in range(1, REQUESTS + 1):
            assert client.query(read_statement(number))[0] == "value"
        platform.wait_for("endpoint_states endpoints=s-")
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:  # a hedged request may still be in flight
            endpoints = compare(read_trace(platform.log.read_text().splitlines())).values()
            if all(endpoint.router_count == len(endpoint.busy_connections) == 0 for endpoint in endpoints):
                break
            time.sleep(0.05)
    finally:
        platform.close()
    assert sum(endpoint.attempts for endpoint in endpoints) >= REQUESTS
    assert all(endpoint.router_count == len(endpoint.busy_connections) == 0 for endpoint in endpoints)
