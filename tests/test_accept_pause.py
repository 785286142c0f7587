"""An overloaded proxy pauses accepting connections for a bounded time."""

from __future__ import annotations

from itertools import pairwise

from sedgepitch.cli.accept_pause import PAUSE_MAX_S, AcceptPause


def test_nothing_is_paused_without_overload():
    pause = AcceptPause()
    assert all(pause.may_accept(False, now / 100.0) for now in range(100))


# Guards against clients waiting in the backlog beyond their deadline for as long as the overload lasts.
def test_overload_pauses_accepting_and_never_for_longer_than_the_bound():
    pause = AcceptPause()
    moments = [n * 0.05 for n in range(200)]  # the listener's check interval
    accepted = [now for now in moments if pause.may_accept(True, now)]
    assert not pause.may_accept(True, moments[-1] + 0.01)
    assert accepted[0] >= PAUSE_MAX_S
    gaps = [later - earlier for earlier, later in pairwise(accepted)]
    assert max(gaps) <= PAUSE_MAX_S + 0.05 + 1e-9 and min(gaps) >= PAUSE_MAX_S - 1e-9


def test_the_end_of_overload_ends_the_pause():
    pause = AcceptPause()
    assert not pause.may_accept(True, 0.0)
    assert pause.may_accept(False, 0.01)
    assert not pause.may_accept(True, 0.3), "a new overload begins a new pause"
