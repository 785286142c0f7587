"""The estimate of when the event loop stalled."""

from __future__ import annotations

from sedgepitch.decisions.connections.loop_stall import LoopStall


def stall(*checks: float) -> LoopStall:
    """Return a LoopStall with an interval of 0.1 s from 10.0 s on, after checks at these times."""
    result = LoopStall(0.1, 10.0)
    for at in checks:
        result.checked(at)
    return result


def test_without_a_late_check_there_is_no_stall():
    assert stall(10.1, 10.2, 10.3).running_since(10.35) == 10.35
    assert stall(10.105, 10.215).running_since(10.32) == 10.32


def test_an_overdue_check_indicates_a_stall_since_the_last_check():
    assert stall(10.1).running_since(10.6) == 10.1


def test_a_late_check_just_before_does_not_hide_the_stall():
    assert stall(10.1, 10.6).running_since(10.6) == 10.1
    assert stall(10.1, 10.6).running_since(10.61) == 10.1
    assert stall(10.1, 10.6).running_since(10.65) == 10.65


def test_a_stall_before_the_first_check_counts_from_creation():
    assert stall().running_since(10.5) == 10.0
