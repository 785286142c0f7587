"""The transports on each reactor: resets after data, arrival times, immediate writes, back-pressure."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

REACTORS = ("uvloop", "asyncio", "epoll")


def run_case(reactor: str, case: str) -> dict:
    """Run one case in a subprocess, since a process can have only one reactor."""
    completed = subprocess.run(
        [sys.executable, "-m", "tests.support.transport_case", reactor, case],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert completed.returncode == 0, completed.stderr
    assert "Traceback" not in completed.stderr
    return json.loads(completed.stdout)


@pytest.mark.parametrize("reactor", REACTORS)
@pytest.mark.parametrize("case", ["reset_behind_data", "reset", "half_close"])
def test_a_lost_connection_is_reported_once_and_a_later_write_does_nothing(reactor, case):
    outcome = run_case(reactor, case)
    assert outcome["lost"] == 1
    assert outcome["raised"] == ""
    if case == "half_close":
        assert outcome["bytes_received"] == len(b"request")


@pytest.mark.parametrize("reactor", REACTORS)
def test_arrival_time_is_when_the_bytes_arrived_and_not_when_they_were_read(reactor):
    assert run_case(reactor, "arrival")["read_delay_s"] > 0.25


@pytest.mark.parametrize("reactor", REACTORS)
def test_a_write_is_sent_before_the_turn_ends(reactor):
    assert run_case(reactor, "immediate_write")["answered_before_the_turn_ended"]


def test_a_stopped_reader_pauses_its_producer_and_gets_every_byte_later():
    outcome = run_case("uvloop", "stopped_reader")
    assert outcome["paused"] and outcome["resumed"]
    assert outcome["all_received"] is True
