"""Since when the event loop may have stood still."""

from __future__ import annotations

from sedgepitch.decisions.connections.loop_stall import LoopStall


def stall(*checks: float) -> LoopStall:
    """Return one whose check is due each 0.1 s from 10.0 s on, after these checks."""
    made = LoopStall(0.1, 10.0)
    for at in checks:
        made.checked(at)
    return made


def test_a_loop_that_runs_on_time_runs_now():
    assert stall(10.1, 10.2, 10.3).running_since(10.35) == 10.35
    assert stall(10.105, 10.215).running_since(10.32) == 10.32


def test_a_check_that_is_overdue_shows_a_stall_since_the_last_one():
    assert stall(10.1).running_since(10.6) == 10.1


def test_a_late_check_in_the_same_turn_does_not_hide_the_stall():
    assert stall(10.1, 10.6).running_since(10.6) == 10.1
    assert stall(10.1, 10.6).running_since(10.61) == 10.1
    assert stall(10.1, 10.6).running_since(10.65) == 10.65


def test_a_stall_before_the_first_check_counts_from_the_start():
    assert stall().running_since(10.5) == 10.0
