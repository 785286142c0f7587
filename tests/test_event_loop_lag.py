"""The deadline margin that follows from the event loop's lag."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from sedgepitch.decisions.event_loop_lag import MIN_LAG_S, MIN_RETRY_AFTER, SPAN_S, WINDOW_SPANS, EventLoopLag

WINDOW = SPAN_S * WINDOW_SPANS


def test_one_pause_is_half_a_forecast_and_the_second_counts_in_full_at_once():
    event_loop_lag = EventLoopLag()
    event_loop_lag.record(0.3, 10.0)
    assert event_loop_lag.deadline_margin(10.0) == 0.15
    event_loop_lag.record(0.2, 10.0 + SPAN_S)
    assert event_loop_lag.deadline_margin(10.0 + SPAN_S) == 0.2
    assert event_loop_lag.longest == 0.3


def test_many_waits_of_one_pause_are_one_pause():
    event_loop_lag = EventLoopLag()
    for n in range(200):  # all that waited while the process stood still is read in the next turn
        event_loop_lag.record(0.3 - n * 0.001, 10.0 + n * 1e-5)
    assert event_loop_lag.deadline_margin(10.01) == 0.15


def test_the_margin_is_forgotten_after_the_window_and_says_so_before():
    event_loop_lag = EventLoopLag()
    event_loop_lag.record(0.3, 10.0)
    event_loop_lag.record(0.3, 11.0)
    clears = event_loop_lag.seconds_until_margin_below(0.1, 11.0)
    assert event_loop_lag.deadline_margin(11.0 + clears - 0.01) >= 0.1
    assert event_loop_lag.deadline_margin(11.0 + clears + 0.01) < 0.1
    assert event_loop_lag.seconds_until_margin_below(0.1, 30.0) == MIN_RETRY_AFTER


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 2), st.floats(0, 1)), max_size=60), st.floats(0, 3))
def test_the_margin_is_the_second_longest_of_the_spans_or_half_of_the_longest(waits, later):
    event_loop_lag, now, model = EventLoopLag(), 100.0, {}
    for gap, wait in waits:
        now += gap
        event_loop_lag.record(wait, now)
        if wait > MIN_LAG_S:
            model[int(now / SPAN_S)] = max(model.get(int(now / SPAN_S), 0.0), wait)
    now += later
    kept = sorted(v for k, v in model.items() if k > int(now / SPAN_S) - WINDOW_SPANS)
    longest = kept[-1] if kept else 0.0
    assert event_loop_lag.deadline_margin(now) == max(kept[-2] if len(kept) > 1 else 0.0, 0.5 * longest)
    below = 0.05
    assert (
        event_loop_lag.deadline_margin(now + event_loop_lag.seconds_until_margin_below(below, now) + 1e-6)
        < below
    )
