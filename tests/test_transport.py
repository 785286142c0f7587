"""The transports on each reactor: resets behind data, arrival times, immediate writes, back-pressure."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

REACTORS = ("uvloop", "asyncio", "epoll")


def play(reactor: str, case: str) -> dict:
    """Run one case in a process of its own, since a process has one reactor."""
    done = subprocess.run(
        [sys.executable, "-m", "tests.support.transport_case", reactor, case],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stderr
    assert "Traceback" not in done.stderr
    return json.loads(done.stdout)


@pytest.mark.parametrize("reactor", REACTORS)
@pytest.mark.parametrize("case", ["reset_behind_data", "reset", "half_close"])
def test_a_lost_connection_is_reported_once_and_a_later_write_does_nothing(reactor, case):
    seen = play(reactor, case)
    assert seen["lost"] == 1
    assert seen["raised"] == ""
    if case == "half_close":
        assert seen["data"] == len(b"request")


@pytest.mark.parametrize("reactor", REACTORS)
def test_arrival_is_when_the_bytes_arrived_and_not_when_they_were_read(reactor):
    assert play(reactor, "arrival")["waited"] > 0.25


@pytest.mark.parametrize("reactor", REACTORS)
def test_a_write_is_sent_before_the_turn_ends(reactor):
    assert play(reactor, "answer_leaves_at_once")["answered_before_the_turn_ended"]


def test_a_stopped_reader_pauses_its_producer_and_gets_every_byte_later():
    seen = play("uvloop", "stopped_reader")
    assert seen["paused"] and seen["resumed"]
    assert seen["whole"] is True
