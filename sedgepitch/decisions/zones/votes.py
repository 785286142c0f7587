"""How a digest is judged: one vote a zone, by the same function at all instances."""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from functools import lru_cache

from sedgepitch.decisions.zones.digests import PERMILLE, ZoneDigest, ZoneObservation
from sedgepitch.decisions.zones.observations import SLOW_FACTOR, WINDOW_S

OUTAGE_SHARE = 0.7  # of the endpoints tried, that are unreachable when a zone is lost
OUTAGE_ENDPOINTS_MAX = 4  # unreachable endpoints that stand for a zone of any size
UNANSWERED_MIN = 2  # attempts since the last success, for a zone with fewer unreachable ones to be lost
SILENCE_GAPS = 4.0  # mean gaps between answers without one
SILENCE_MIN_MS = 500.0
ATTEMPTS_MIN = 8  # below this a share of failures proves nothing
SLOW_ANSWERS_MIN = 3  # one slow answer is chance; a slow zone gives few, so more would leave it unjudged
FAILURE_SHARE = 0.2  # of attempts, of a zone that fails
HEALTHY_FAILURE_SHARE = 0.05  # of attempts, of a zone that others are compared with
HEALTHY_LATENCY_RATIO = 0.4  # mean latency over the objective, of such a zone
AFFECTED_SHARE = 0.6  # of endpoints, below which failures are single endpoints' own
SLOW_LATENCY_RATIO_MIN = 0.15  # mean latency over the objective, below which slow is good enough
CACHED_DIGESTS = 4096  # a digest is judged again at each step until its instance publishes another


class Vote(IntEnum):
    """What a digest says of a zone; a higher value is worse."""

    NONE = 0  # nothing that could be judged
    HEALTHY = 1
    SLOW = 2
    FAILING = 3
    LOST = 4


def outage_threshold(endpoints_up: int) -> int:
    """Return how many unreachable endpoints stand for a zone of so many: over half of them, four at most."""
    return min(OUTAGE_ENDPOINTS_MAX, endpoints_up // 2 + 1)


@lru_cache(maxsize=CACHED_DIGESTS)
def votes(digest: ZoneDigest) -> dict[str, Vote]:
    """Return a digest's vote on each zone. The result is shared and must not be changed.

    A vote against a zone needs another zone that answers: where all look bad, the cause is the load or the
    instance itself, and leaving would not help.
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
    """Return the zones of which this instance finds all endpoints that it uses unreachable, but uses too few.

    Several such instances may find together that the zone is lost: `evidence.FleetEvidence.jointly_lost`.
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
    """Return the attempts that came to nothing."""
    return row.timeouts + row.errors


def _single_vote(row: ZoneObservation) -> Vote:
    """Judge a zone without the others beside it."""
    if row.endpoints == 0:
        return Vote.NONE
    # An instance that uses few of the zone's endpoints must not take those for the zone.
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
    """Whether the last answer is too long ago to say something of now.

    That is for the pace at which answers came; but windows in which a zone falls silent make that pace look
    slower, so after attempts that timed out, with none answered since, the shortest silence is enough.
    """
    if row.successes == 0:
        return True
    timed_out = row.timeouts >= UNANSWERED_MIN and row.unanswered >= UNANSWERED_MIN
    usual_gaps_ms = 0.0 if timed_out else 1000.0 * SILENCE_GAPS * 1.5 * WINDOW_S / row.successes
    return row.since_success_ms > max(SILENCE_MIN_MS, usual_gaps_ms)


def _is_failing(row: ZoneObservation) -> bool:
    """Whether attempts fail at most endpoints, so that it is not a single endpoint's fault."""
    affected = row.failing + row.unreachable
    widespread = row.endpoints > 1 and affected >= AFFECTED_SHARE * row.endpoints
    return row.attempts >= ATTEMPTS_MIN and widespread and failures(row) >= FAILURE_SHARE * row.attempts


def _answering(digest: ZoneDigest, single: Mapping[str, Vote]) -> set[str]:
    """Return the zones that serve this instance; `single` has the votes without comparison."""
    return {
        row.zone
        for row in digest.observations
        if row.successes > 0
        and single[row.zone] is not Vote.LOST
        and failures(row) < FAILURE_SHARE * max(1, row.attempts)
    }


def _healthy_latencies(digest: ZoneDigest, answering: set[str]) -> dict[str, int]:
    """Return the latencies of zones that do well enough for another one to be called bad beside them.

    Under a load that is too much for all, failures fall where chance has them.
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
    """Return a zone's vote beside the other zones."""
    others = [latency for zone, latency in healthy.items() if zone != row.zone]
    if vote is Vote.LOST and not answering - {row.zone}:
        return Vote.NONE
    if vote in (Vote.SLOW, Vote.FAILING) and not others:
        return Vote.NONE
    if vote is Vote.SLOW and row.latency_permille < SLOW_FACTOR * min(others):
        return Vote.HEALTHY
    return vote
