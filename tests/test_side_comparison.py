"""Unit tests of the side comparison, as described in the paper."""

from __future__ import annotations

import pytest

from sedgepitch.routing.records import ReadPreference, ReplicaGroup
from sedgepitch.routing.side_comparison import (
    EXPLORATION_FRACTION,
    SAMPLES_MIN,
    compare_sides,
    record_latency,
    side_for_read,
)
from tests.support.router_harness import make_endpoint, make_request, make_state

PRIMARY, SECONDARY = ReadPreference.PRIMARY, ReadPreference.SECONDARY


@pytest.mark.parametrize(
    ("previous", "secondary", "primary", "preferred"),
    [
        (PRIMARY, 0.049, 0.1, SECONDARY),  # below the Decision Threshold of one half
        (PRIMARY, 0.05, 0.1, PRIMARY),
        (SECONDARY, 0.1, 0.05, SECONDARY),
        (SECONDARY, 0.1, 0.049, PRIMARY),
    ],
)
def test_preference_follows_the_ratio_of_medians_and_is_kept_between_the_thresholds(
    previous, secondary, primary, preferred
):
    group = ReplicaGroup(read_preference=previous)
    group.replica_latencies = [secondary] * SAMPLES_MIN
    group.primary_latencies = [primary] * SAMPLES_MIN
    compare_sides(group)
    assert group.read_preference is preferred
    assert group.replica_latencies == group.primary_latencies == []


@pytest.mark.parametrize("side", ["replica_latencies", "primary_latencies"])
def test_sides_are_not_compared_if_one_has_too_few_samples(side):
    group = ReplicaGroup(read_preference=PRIMARY)
    group.replica_latencies = [0.001] * SAMPLES_MIN
    group.primary_latencies = [0.1] * SAMPLES_MIN
    getattr(group, side).pop()
    compare_sides(group)
    assert group.read_preference is PRIMARY


def test_exploration_fraction_of_reads_goes_to_the_opposite_side():
    state = make_state()
    request = make_request(state)
    sides = [side_for_read(state, request) for _ in range(20_000)]
    assert sides.count(PRIMARY) / len(sides) == pytest.approx(EXPLORATION_FRACTION, abs=0.01)


def test_session_reads_prefer_the_secondaries_regardless_of_the_preference():
    state = make_state()
    request = make_request(state, "session")
    request.group.read_preference = PRIMARY
    assert {side_for_read(state, request) for _ in range(100)} == {SECONDARY}


def test_samples_include_only_reads_that_either_side_may_serve():
    state = make_state()
    primary, replica = make_endpoint(state, 1), make_endpoint(state, 2)
    group = state.groups[1]
    group.primary = primary
    for name in ("bounded", "any", "session", "fresh", "write"):
        for endpoint in (primary, replica):
            record_latency(group, endpoint, make_request(state, name), 0.02)
    assert group.primary_latencies == group.replica_latencies == [0.02, 0.02]
