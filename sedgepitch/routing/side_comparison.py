"""Side comparison: sets a replica group's read preference, like the paper's Read Preference Manager.

Huang, Cahill, Fekete, Röhm, "Deciding When to Trade Data Freshness for Performance in MongoDB-as-a-Service",
section II. The preference applies to reads that either side may serve. Once per period the medians (P50) of
the read latencies on both sides are compared:

    ratio = median(latency on secondaries) / median(latency on the primary)
    ratio < Decision Threshold  ->  Secondary

A share of the reads, the Exploration Fraction, goes to the opposite side, so that both sides have samples.
Unlike in the paper, the preference changes to Primary only if the inverse ratio is below the same threshold;
between the two it stays unchanged. The initial preference is Secondary.
"""

from __future__ import annotations

from statistics import median

from sedgepitch.routing.messages import Freshness
from sedgepitch.routing.records import Endpoint, ReadPreference, ReplicaGroup, RoutedRequest
from sedgepitch.routing.state import RouterState

COMPARISON_PERIOD_S = 5.0  # the paper's period is 60 s
DECISION_THRESHOLD = 0.5  # the paper's Decision Threshold (50 %)
EXPLORATION_FRACTION = 0.04  # the paper's Exploration Fraction is 10 %
SAMPLES_MIN = 5  # samples that each side needs within a period for a comparison

COMPARABLE_READS = (Freshness.BOUNDED, Freshness.ANY)
"""Reads that either side may serve. Other requests go to the primary for reasons other than its latency."""


def compare_sides(group: ReplicaGroup) -> None:
    """End a period: set the group's read preference from the medians, and clear the samples.

    The preference stays unchanged if either side has too few samples.
    """
    secondary_latencies, primary_latencies = group.replica_latencies, group.primary_latencies
    if len(secondary_latencies) >= SAMPLES_MIN and len(primary_latencies) >= SAMPLES_MIN:
        secondary_median = median(secondary_latencies)
        primary_median = median(primary_latencies)
        if secondary_median < DECISION_THRESHOLD * primary_median:
            group.read_preference = ReadPreference.SECONDARY
        elif primary_median < DECISION_THRESHOLD * secondary_median:
            group.read_preference = ReadPreference.PRIMARY
    group.replica_latencies = []
    group.primary_latencies = []


def record_latency(group: ReplicaGroup, endpoint: Endpoint, request: RoutedRequest, elapsed: float) -> None:
    """Add a read's latency in seconds to its side's samples; a time-out counts with the time it waited."""
    if request.request_class.freshness in COMPARABLE_READS:
        side = group.primary_latencies if endpoint is group.primary else group.replica_latencies
        side.append(elapsed)


def side_for_read(state: RouterState, request: RoutedRequest) -> ReadPreference:
    """Return the side for a read: the group's preference, or the opposite for the Exploration Fraction.

    Session reads always prefer the secondaries; the primary serves them if no replica is fresh enough.
    """
    explores = state.random.random() < EXPLORATION_FRACTION
    on_secondaries = (request.group.read_preference is ReadPreference.SECONDARY) != explores
    if on_secondaries or request.request_class.freshness is Freshness.SESSION:
        return ReadPreference.SECONDARY
    return ReadPreference.PRIMARY
