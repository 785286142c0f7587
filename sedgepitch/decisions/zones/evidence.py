"""Aggregates the digests of all instances into a verdict on each zone, as seen from one instance.

Quorums. The *zone peers*, the instances in this instance's own zone, decide by more than two thirds of their
weight: only they can see that a zone is unreachable from here while instances inside it or elsewhere still
use it. All instances outside a zone decide together by more than half of their weight, unless the zone peers
see the zone healthy.

Vote weights. A vote weighs the instance's request rate, clamped to between 1/sqrt(2) and sqrt(2) times the
median, so no vote weighs more than twice another. If L of n voting instances are Byzantine, their share of
the weight is at most 2L / (n + L), which reaches one half at L = n / 3. With fewer, they can neither make the
fleet leave a healthy zone nor prevent it from leaving a lost one. Among k zone peers, with their two-thirds
quorum, Byzantine instances can force a healthy zone to be left if L > k / 2 (and L >= 3 if k >= 3), and
can block leaving a lost one from L = k / 5 on; then the fleet's one-half quorum decides.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import reduce
from math import ceil, sqrt
from operator import or_

from sedgepitch.decisions.zones.digests import PERMILLE, ZoneDigest, ZoneObservation, ZoneStatus
from sedgepitch.decisions.zones.observations import WINDOW_S
from sedgepitch.decisions.zones.operator_commands import ZoneCommand
from sedgepitch.decisions.zones.states import ZoneState
from sedgepitch.decisions.zones.votes import (
    FAILURE_SHARE,
    OUTAGE_SHARE,
    Vote,
    failures,
    outage_threshold,
    partial_outages,
    votes,
)

DIGEST_MAX_AGE_S = 10.0  # older digests are ignored
PEER_QUORUM = 2 / 3  # fraction of the zone peers' weight
FLEET_QUORUM = 1 / 2  # fraction of the weight of all voters
COUNT_MIN = 3  # instances that must agree at least, or all of them if there are fewer
LEFT_PEERS_MIN = 2  # zone peers that must have left a zone before another follows; one is no quorum
COUNTED_TIME_S = 1.5 * WINDOW_S  # mean time covered by an observation's counts (one to two windows)


@dataclass(slots=True, frozen=True)
class ReceivedDigest:
    """Another instance's digest, and its age in seconds."""

    age: float
    digest: ZoneDigest


@dataclass(slots=True, frozen=True)
class ZoneView:
    """The input of one evaluation step at an instance."""

    now: float
    own: ZoneDigest
    received: Mapping[str, ReceivedDigest]  # of other live instances
    sizes: Mapping[str, float]  # total endpoint capacity by zone
    leave_commands: Mapping[str, ZoneCommand] = field(default_factory=dict)
    after_pause: bool = False  # the process was suspended: skip evaluation in this step
    alive: int = 0  # live instances including this one, whether or not their digests were received


@dataclass(slots=True, frozen=True)
class VoteCount:
    """The number of matching votes, and their share of the weight of all votes cast."""

    count: int
    weight_share: float


@dataclass(slots=True, frozen=True)
class PeerUse:
    """The other zone peers' use of a zone: whether a quorum has left it, and their weighted median share."""

    quorum_left: bool
    median_share: float


def vote_weights(request_rates: Mapping[str, float]) -> dict[str, float]:
    """Return the weight of each instance's vote: its request rate, within a factor sqrt(2) of the median."""
    rates = sorted(rate for rate in request_rates.values() if rate > 0)
    median = rates[len(rates) // 2] if rates else 1.0
    lowest, highest = median / sqrt(2.0), median * sqrt(2.0)
    return {name: min(highest, max(lowest, rate)) for name, rate in request_rates.items()}


class FleetEvidence:
    """The current digests, with their votes and weights."""

    def __init__(self, name: str, view: ZoneView) -> None:
        """Evaluate the digests of a view from the perspective of the instance `name`."""
        self.name = name
        self.view = view
        self.zone = view.own.zone
        self.digests = {
            other: received.digest
            for other, received in view.received.items()
            if received.age <= DIGEST_MAX_AGE_S and other != name
        }
        self.digests[name] = view.own
        self.weights = vote_weights(
            {instance: digest.request_rate for instance, digest in self.digests.items()}
        )
        self.partial_outages = {
            instance: partial_outages(digest) for instance, digest in self.digests.items()
        }
        self.votes = {instance: self._votes_of(instance) for instance in self.digests}
        self.all_instances = sorted(self.digests)
        self.zone_peers = sorted(
            instance for instance, digest in self.digests.items() if digest.zone == self.zone
        )

    def _votes_of(self, name: str) -> dict[str, Vote]:
        """Return an instance's votes; a HEALTHY one on a zone with a partial outage counts as NONE."""
        partial = self.partial_outages[name]
        return {
            zone: Vote.NONE if vote is Vote.HEALTHY and zone in partial else vote
            for zone, vote in votes(self.digests[name]).items()
        }

    # Verdicts

    def enough_received(self) -> bool:
        """Return whether digests of two thirds of the live instances arrived.

        With fewer, a small number of instances would form a quorum.
        """
        return len(self.digests) * 3 >= self.view.alive * 2

    def verdict(self, zone: str) -> Vote:
        """Return the worst vote on a zone that has a quorum; HEALTHY if no quorum is against it."""
        outside = self._outside(zone)
        healthy = self.count_votes(self.zone_peers, zone, Vote.HEALTHY, Vote.HEALTHY).weight_share
        for level in (Vote.LOST, Vote.FAILING, Vote.SLOW):
            against = self.count_votes(self.zone_peers, zone, level)
            if self._peers_agree(zone, level, against):
                return level
            # Instances inside a partitioned zone still see it healthy. An instance inside a zone therefore
            # follows the fleet only if none of its zone peers sees the zone healthy and at least one votes
            # against it.
            inside_disagrees = self.zone == zone and (healthy > 0.0 or against.count == 0)
            if healthy >= FLEET_QUORUM or inside_disagrees:
                continue
            # Instances inside a zone are the first to see it lost, but the last to see it cut off: ask both.
            if self._fleet_agrees(outside, zone, level) or self._fleet_agrees(
                self.all_instances, zone, level
            ):
                return level
        return Vote.HEALTHY

    def weight_against(self, zone: str) -> float:
        """Return the fraction of weight against a zone, the larger of the zone peers' and all outsiders'."""
        peers = self.count_votes(self.zone_peers, zone, Vote.SLOW).weight_share
        return max(peers, self.count_votes(self._outside(zone), zone, Vote.SLOW).weight_share)

    def count_votes(
        self, voters: Iterable[str], zone: str, at_least: Vote, at_most: Vote = Vote.LOST
    ) -> VoteCount:
        """Count the votes between `at_least` and `at_most`; NONE is an abstention."""
        count = 0
        weight = 0.0
        total = 0.0
        for name in voters:
            vote = self.votes[name].get(zone, Vote.NONE)
            if vote is Vote.NONE:
                continue
            total += self.weights[name]
            if at_least <= vote <= at_most:
                count += 1
                weight += self.weights[name]
        return VoteCount(count, weight / total if total else 0.0)

    def jointly_lost(self, voters: list[str], zone: str) -> bool:
        """Return whether voters that each use too few of a zone's endpoints jointly find it lost.

        Requires that more than two thirds of the weight of the non-abstaining voters find all endpoints that
        they use there unreachable, and that the union of these endpoints reaches the outage threshold. The
        quorum is two thirds, not half, since a reported endpoint cannot be verified.
        """
        against = [
            instance
            for instance in voters
            if zone in self.partial_outages[instance] or self.votes[instance].get(zone) is Vote.LOST
        ]
        if len(against) < max(min(COUNT_MIN, len(voters)), ceil(len(voters) / 3)):
            return False
        non_abstaining = [
            instance
            for instance in voters
            if instance in against or self.votes[instance].get(zone, Vote.NONE)
        ]
        total = sum(self.weights[instance] for instance in non_abstaining)
        if sum(self.weights[instance] for instance in against) <= total * 2 / 3:
            return False
        rows = [row for instance in against if (row := self.digests[instance].observation(zone)) is not None]
        endpoints_up = sorted(row.endpoints_up for row in rows)[len(rows) // 2]
        reported_endpoints = reduce(or_, (row.unreachable_bits for row in rows), 0).bit_count()
        return reported_endpoints >= outage_threshold(endpoints_up)

    def _peers_agree(self, zone: str, level: Vote, against: VoteCount) -> bool:
        peers = self.zone_peers
        count_min = max(min(COUNT_MIN, len(peers)), ceil(len(peers) / 2))
        if against.weight_share > PEER_QUORUM and against.count >= count_min:
            return True
        return level is Vote.LOST and self.jointly_lost(peers, zone)

    def _fleet_agrees(self, voters: list[str], zone: str, level: Vote) -> bool:
        against = self.count_votes(voters, zone, level)
        count_min = max(min(COUNT_MIN, len(voters)), ceil(len(voters) / 3))
        if against.weight_share > FLEET_QUORUM and against.count >= count_min:
            return True
        return level is Vote.LOST and self.jointly_lost(voters, zone)

    def _outside(self, zone: str) -> list[str]:
        return [instance for instance, digest in self.digests.items() if digest.zone != zone]

    # State of the zone peers

    def served(self, zone: str) -> list[str]:
        """Return the zone peers served by a zone: successes, few failures, few unreachable endpoints."""
        return [name for name in self.zone_peers if self._is_served(name, zone)]

    def _is_served(self, name: str, zone: str) -> bool:
        digest = self.digests[name]
        row = digest.observation(zone)
        if row is None or not digest.may_judge or row.successes == 0:
            return False
        few_failures = failures(row) < FAILURE_SHARE * row.attempts
        return few_failures and row.unreachable <= (1.0 - OUTAGE_SHARE) * row.endpoints

    def returned(self, zone: str) -> list[str]:
        """Return the other zone peers that are returning to a zone, or use it fully and see it healthy."""
        return [
            name
            for name in self.zone_peers
            for status in self.digests[name].statuses
            if name != self.name and status.zone == zone and self._has_returned(name, status)
        ]

    def _has_returned(self, name: str, status: ZoneStatus) -> bool:
        if status.state == ZoneState.RETURNING:
            return True
        in_use = status.state in (ZoneState.NORMAL, ZoneState.SUSPECTED)
        return in_use and self.votes[name].get(status.zone) is Vote.HEALTHY

    def peer_statuses(self, zone: str) -> list[tuple[float, ZoneStatus]]:
        """Return the other zone peers' statuses of a zone, each with the peer's weight."""
        return [
            (self.weights[name], status)
            for name in self.zone_peers
            if name != self.name
            for status in self.digests[name].statuses
            if status.zone == zone
        ]

    def peer_use(self, zone: str) -> PeerUse:
        """Return the other zone peers' use of a zone; peers without a status for it count as full use."""
        statuses = sorted(self.peer_statuses(zone), key=lambda weighted: weighted[1].share_permille)
        total = self.other_peers_weight()
        left = [w for w, status in statuses if status.state in (ZoneState.LEFT, ZoneState.RETURNING)]
        quorum_left = len(left) >= LEFT_PEERS_MIN and sum(left) > total * 2 / 3
        cumulative_weight = 0.0
        for weight, status in statuses:
            cumulative_weight += weight
            if cumulative_weight >= total / 2:
                return PeerUse(quorum_left, status.share_permille / PERMILLE)
        return PeerUse(quorum_left, 1.0)

    def other_peers_weight(self) -> float:
        """Return the total weight of the other zone peers."""
        return sum(self.weights[name] for name in self.zone_peers if name != self.name)

    # Load

    def success_rate(self, zone: str) -> float:
        """Return the responses per second that all instances together received from a zone."""
        return sum(row.successes for row in self._rows(zone)) / COUNTED_TIME_S

    def latency_ratio(self, zone: str) -> float:
        """Return the mean latency of a zone, as a multiple of the latency objective."""
        rows = self._rows(zone)
        successes = sum(row.successes for row in rows)
        if not successes:
            return 0.0
        return sum(row.latency_permille * row.successes for row in rows) / successes / PERMILLE

    def _rows(self, zone: str) -> list[ZoneObservation]:
        observed = (digest.observation(zone) for digest in self.digests.values())
        return [row for row in observed if row is not None]
