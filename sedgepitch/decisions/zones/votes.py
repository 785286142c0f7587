"""Evaluates a digest into one vote per zone, with the same function at all instances."""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from functools import lru_cache

from sedgepitch.decisions.zones.digests import PERMILLE, ZoneDigest, ZoneObservation
from sedgepitch.decisions.zones.observations import SLOW_FACTOR, WINDOW_S

OUTAGE_SHARE = 0.7  # fraction of the tried endpoints that are unreachable in a lost zone
OUTAGE_ENDPOINTS_MAX = 4  # unreachable endpoints that suffice for an outage of a zone of any size
UNANSWERED_MIN = 2  # attempts since the last success, for LOST below OUTAGE_SHARE of unreachable endpoints
SILENCE_GAPS = 4.0  # a zone is silent after this many times the mean gap between its successes
SILENCE_MIN_MS = 500.0  # shortest time without a success that counts as silence
ATTEMPTS_MIN = 8  # with fewer, a failure ratio is not significant
SLOW_ANSWERS_MIN = 3  # one may be chance; a slow zone gives few, so a higher limit would leave it unjudged
FAILURE_SHARE = 0.2  # fraction of failed attempts from which a zone is failing
HEALTHY_FAILURE_SHARE = 0.05  # fraction of failed attempts below which a zone serves as a reference
HEALTHY_LATENCY_RATIO = 0.4  # mean latency / objective below which a zone serves as a reference
AFFECTED_SHARE = 0.6  # fraction of endpoints with faults; below it they are faults of single endpoints
SLOW_LATENCY_RATIO_MIN = 0.15  # mean latency / objective below which a zone is never considered slow
CACHED_DIGESTS = 4096  # each step evaluates the same digest again until its instance publishes a new one


class Vote(IntEnum):
    """The vote of a digest on a zone; a higher value is worse."""

    NONE = 0  # abstention: not enough information
    HEALTHY = 1
    SLOW = 2
    FAILING = 3
    LOST = 4


def outage_threshold(endpoints_up: int) -> int:
    """Return the unreachable endpoints that make an outage: over half of the zone, but at most four."""
    return min(OUTAGE_ENDPOINTS_MAX, endpoints_up // 2 + 1)


@lru_cache(maxsize=CACHED_DIGESTS)
def votes(digest: ZoneDigest) -> dict[str, Vote]:
    """Return a digest's vote on each zone. The result is cached and must not be modified.

    A vote against a zone needs another zone that answers: if all zones look bad, the cause is the load or the
    instance itself, and leaving a zone would not help.
    """
    if not digest.may_judge:
        return {}
    single = {row.zone: _single_vote(row) for row in digest.observations}
    answering = _answering(digest, single)
    healthy = _healthy_latencies(digest, answering)
    return {
        row.zone: _compared_vote(row, single[row.zone], answering, healthy) for row in digest.observations
    }


@lru_cache(maxsize=CACHED_DIGESTS)
def partial_outages(digest: ZoneDigest) -> frozenset[str]:
    """Return the zones whose tried endpoints this instance finds unreachable, but too few for a LOST vote.

    Several such instances can jointly find the zone lost, see `evidence.FleetEvidence.jointly_lost`.
    """
    if not digest.may_judge:
        return frozenset()
    single = {row.zone: _single_vote(row) for row in digest.observations}
    answering = _answering(digest, single)
    return frozenset(
        row.zone
        for row in digest.observations
        if row.unreachable_bits
        and row.unreachable >= OUTAGE_SHARE * row.endpoints
        and single[row.zone] is not Vote.LOST
        and answering - {row.zone}
    )


def failures(row: ZoneObservation) -> int:
    """Return the number of attempts that timed out or failed."""
    return row.timeouts + row.errors


def _single_vote(row: ZoneObservation) -> Vote:
    """Return the vote on a zone without comparison to other zones."""
    if row.endpoints == 0:
        return Vote.NONE
    # An instance that uses few of the zone's endpoints must not generalize from them to the zone.
    enough_unreachable = row.unreachable >= outage_threshold(row.endpoints_up)
    if enough_unreachable and row.unreachable >= OUTAGE_SHARE * row.endpoints:
        return Vote.LOST
    without_answers = _unanswered_for_long(row)
    if without_answers and enough_unreachable and row.unanswered >= UNANSWERED_MIN:
        return Vote.LOST
    if _is_failing(row):
        return Vote.FAILING
    if row.latency_permille >= PERMILLE * SLOW_LATENCY_RATIO_MIN and row.slow >= OUTAGE_SHARE * row.endpoints:
        return Vote.SLOW if row.successes >= SLOW_ANSWERS_MIN else Vote.NONE
    many_failures = failures(row) >= FAILURE_SHARE * row.attempts
    return Vote.NONE if without_answers or many_failures else Vote.HEALTHY


def _unanswered_for_long(row: ZoneObservation) -> bool:
    """Return whether the last success is too old to be evidence of the current state.

    The limit depends on the mean gap between successes. Windows in which a zone falls silent make this gap
    look longer, so after timeouts with no success since, the minimum silence is enough.
    """
    if row.successes == 0:
        return True
    timed_out = row.timeouts >= UNANSWERED_MIN and row.unanswered >= UNANSWERED_MIN
    usual_gaps_ms = 0.0 if timed_out else 1000.0 * SILENCE_GAPS * 1.5 * WINDOW_S / row.successes
    return row.since_success_ms > max(SILENCE_MIN_MS, usual_gaps_ms)


def _is_failing(row: ZoneObservation) -> bool:
    """Return whether attempts fail at most of the endpoints, which rules out a single faulty endpoint."""
    affected = row.failing + row.unreachable
    widespread = row.endpoints > 1 and affected >= AFFECTED_SHARE * row.endpoints
    return row.attempts >= ATTEMPTS_MIN and widespread and failures(row) >= FAILURE_SHARE * row.attempts


def _answering(digest: ZoneDigest, single: Mapping[str, Vote]) -> set[str]:
    """Return the zones that serve this instance; `single` has the uncompared votes."""
    return {
        row.zone
        for row in digest.observations
        if row.successes > 0
        and single[row.zone] is not Vote.LOST
        and failures(row) < FAILURE_SHARE * max(1, row.attempts)
    }


def _healthy_latencies(digest: ZoneDigest, answering: set[str]) -> dict[str, int]:
    """Return the latencies of zones that are healthy enough to serve as a reference for the others.

    Under overload of all zones, failures are distributed at random, and no zone is a reference.
    """
    return {
        row.zone: row.latency_permille
        for row in digest.observations
        if row.zone in answering
        and row.attempts >= ATTEMPTS_MIN
        and failures(row) < HEALTHY_FAILURE_SHARE * row.attempts
        and row.latency_permille < PERMILLE * HEALTHY_LATENCY_RATIO
    }


def _compared_vote(row: ZoneObservation, vote: Vote, answering: set[str], healthy: Mapping[str, int]) -> Vote:
    """Return the vote on a zone after comparison with the other zones."""
    others = [latency for zone, latency in healthy.items() if zone != row.zone]
    if vote is Vote.LOST and not answering - {row.zone}:
        return Vote.NONE
    if vote in (Vote.SLOW, Vote.FAILING) and not others:
        return Vote.NONE
    if vote is Vote.SLOW and row.latency_permille < SLOW_FACTOR * min(others):
        return Vote.HEALTHY
    return vote
