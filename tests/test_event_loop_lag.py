"""The deadline margin that follows from the event loop lag."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sedgepitch.decisions.event_loop_lag import MIN_LAG_S, MIN_RETRY_AFTER, SPAN_S, WINDOW_SPANS, EventLoopLag

WINDOW = SPAN_S * WINDOW_SPANS


def test_a_single_pause_counts_half_and_a_second_one_in_full():
    lag = EventLoopLag()
    lag.record(0.3, 10.0)
    assert lag.deadline_margin(10.0) == 0.15
    lag.record(0.2, 10.0 + SPAN_S)
    assert lag.deadline_margin(10.0 + SPAN_S) == 0.2
    assert lag.longest == 0.3


def test_overlapping_waits_of_one_pause_count_once():
    lag = EventLoopLag()
    for n in range(200):  # after a stall, all waiting input is read in one iteration
        lag.record(0.3 - n * 0.001, 10.0 + n * 1e-5)
    assert lag.deadline_margin(10.01) == 0.15


def test_the_margin_expires_with_the_window_and_the_time_until_then_is_predicted():
    lag = EventLoopLag()
    lag.record(0.3, 10.0)
    lag.record(0.3, 11.0)
    clears_in = lag.seconds_until_margin_below(0.1, 11.0)
    assert lag.deadline_margin(11.0 + clears_in - 0.01) >= 0.1
    assert lag.deadline_margin(11.0 + clears_in + 0.01) < 0.1
    assert lag.seconds_until_margin_below(0.1, 30.0) == MIN_RETRY_AFTER


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 2), st.floats(0, 1)), max_size=60), st.floats(0, 3))
def test_the_margin_is_the_second_longest_lag_or_half_of_the_longest(waits, later):
    lag, now, model = EventLoopLag(), 100.0, {}
    for gap, wait in waits:
        now += gap
        lag.record(wait, now)
        if wait > MIN_LAG_S:
            model[int(now / SPAN_S)] = max(model.get(int(now / SPAN_S), 0.0), wait)
    now += later
    kept = sorted(v for k, v in model.items() if k > int(now / SPAN_S) - WINDOW_SPANS)
    longest = kept[-1] if kept else 0.0
    assert lag.deadline_margin(now) == max(kept[-2] if len(kept) > 1 else 0.0, 0.5 * longest)
    threshold = 0.05
    assert lag.deadline_margin(now + lag.seconds_until_margin_below(threshold, now) + 1e-6) < threshold
