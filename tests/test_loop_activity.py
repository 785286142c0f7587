"""The earliest time at which a signal can have been sent, for any activity and any suspension."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.connections.loop_activity import LoopActivity

CHECK_INTERVAL_S = 0.1


def earliest_sending(activity: list[float], handled_at: float) -> float:
    """Return the bound for a signal handled at this time; the loop was created at 10.0 s."""
    loop = LoopActivity(10.0)
    for at in activity:
        if at <= handled_at:
            loop.ran(at)
    return loop.last_ran_at


def test_the_bound_is_the_last_activity_before_the_handler():
    assert earliest_sending([10.1, 10.2, 10.3], 10.35) == 10.3
    assert earliest_sending([10.1, 10.2, 10.21], 10.6) == 10.21


def test_before_the_first_activity_the_bound_is_the_creation():
    assert earliest_sending([], 10.5) == 10.0


# Guards against suspensions that are too short to be seen: the kill came while requests were still accepted.
@given(
    gaps=st.lists(st.floats(0.0, CHECK_INTERVAL_S), min_size=1, max_size=30),
    suspended_for=st.floats(0.0, 5.0),
    sent_share=st.floats(0.0, 1.0),
    which=st.integers(0, 29),
)
def test_the_bound_is_never_later_than_the_sending(gaps, suspended_for, sent_share, which):
    activity = [10.0]
    for gap in gaps:
        activity.append(activity[-1] + gap)
    ran_at = activity[which % len(activity)]
    suspended_at = ran_at + CHECK_INTERVAL_S * sent_share  # before the next check
    sent_at = suspended_at + suspended_for * sent_share
    handled_at = suspended_at + suspended_for
    bound = earliest_sending([at for at in activity if at <= ran_at], handled_at)
    assert bound <= sent_at <= handled_at
    assert bound >= suspended_at - CHECK_INTERVAL_S, "an idle loop is known to have run at its last check"
