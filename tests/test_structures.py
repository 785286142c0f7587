"""The wheel and the sketch, compared with simple reference implementations."""

from __future__ import annotations

import heapq

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sedgepitch.structures.sketch import DecayingSketch
from sedgepitch.structures.wheel import LEVELS, SLOTS, TimingWheel

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.floats(0.0, 3000.0)),
        st.tuples(st.just("cancel"), st.integers(0, 200)),
        st.tuples(st.just("advance"), st.floats(0.0, 500.0)),
    ),
    max_size=80,
)


@settings(max_examples=400, deadline=None)
@given(STEPS)
def test_wheel_yields_the_same_items_as_a_heap_within_a_tick(steps):
    now, tick, number = 0.0, 0.5, 0
    wheel: TimingWheel[int] = TimingWheel(tick, now)
    entries, heap, due = {}, [], {}
    for step, amount in steps:
        if step == "put":
            number += 1
            due[number] = now + amount
            entries[number] = wheel.put(due[number], number)
            heapq.heappush(heap, (due[number], number))
        elif step == "cancel" and entries:
            chosen = sorted(entries)[int(amount) % len(entries)]
            assert wheel.cancel(entries.pop(chosen))
            heap = [e for e in heap if e[1] != chosen]
        else:
            now += amount
            for item in wheel.advance(now):
                assert due[item] <= now + 1e-6, "item yielded early"
                entries.pop(item)
                heap = [e for e in heap if e[1] != item]
            assert all(at > now - tick - 1e-6 for at, _ in heap), "item yielded late"
        assert len(wheel) == len(entries)
        following = wheel.next_due()
        assert (following is None) == (not entries)
    for _ in wheel.advance(now + tick * SLOTS**LEVELS):
        pass
    assert len(wheel) == 0


def test_an_entry_can_be_cancelled_only_once():
    wheel: TimingWheel[str] = TimingWheel(0.01, 0.0)
    entry = wheel.put(1.0, "x")
    assert wheel.cancel(entry)
    assert not wheel.cancel(entry)
    assert list(wheel.advance(2.0)) == []


@settings(max_examples=150, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 60), st.floats(0.01, 5.0), st.floats(0.0, 3.0)), min_size=1, max_size=120
    ),
    st.integers(0, 1000),
)
def test_sketch_estimates_are_never_too_small_and_rarely_far_too_large(events, seed):
    sketch, now = DecayingSketch(256, 4, 5.0, seed, 0.0), 0.0
    plain: dict[str, float] = {}
    for number, amount, passed in events:
        now += passed
        plain = {k: v * 0.5 ** (passed / 5.0) for k, v in plain.items()}
        plain[str(number)] = plain.get(str(number), 0.0) + amount
        sketch.add_batched(str(number), amount, now)
    total = sum(plain.values())
    over = 0
    for key, true in plain.items():
        estimate = sketch.estimate(key, now)
        assert estimate >= true * (1 - 1e-9)
        over += estimate > true * 2.0 ** (0.25 / 5.0) + 2.72 / 256 * total + 1e-9
    assert over <= max(1, len(plain) // 10)


def test_sketch_keeps_the_largest_keys_by_name_and_stays_accurate_over_time():
    sketch = DecayingSketch(1024, 3, 1.0, 1, 0.0)
    for second in range(300):
        sketch.add("noisy", 5.0, float(second))
        sketch.add(f"once {second}", 1.0, float(second))
    names = [name for name, _ in sketch.largest(299.0)]
    assert names[0] == "noisy"
    assert len(names) == 3
    assert sketch.estimate("noisy", 299.0) == pytest.approx(10.0, rel=0.01)
    assert sketch.estimate("noisy", 400.0) < 1e-20
