"""What the digests of all instances amount to at one moment, as seen from one instance.

Who decides. Those in this instance's zone, its *zone peers*, decide by over two thirds of their weight:
they alone see that a zone cannot be reached from here, while instances inside it or elsewhere go on using it.
All instances outside a zone decide together by over half of their weight, unless the zone peers see it
healthy.

What a vote weighs. An instance's request rate, held between 1/sqrt(2) and sqrt(2) times the median: no vote
weighs over twice another. If L of n voting instances are Byzantine, their part of the weight is at most
2L / (n + L), which reaches one half at L = n / 3. With fewer, they can neither make the fleet leave a healthy
zone nor keep it from leaving a lost one. Among k zone peers, of whose weight over two thirds is asked for,
they can make them leave a healthy zone where L is over k / 2 (and at least three, where there are three), and
keep them from leaving a lost one from L = k / 5 on; then the fleet's half decides.
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

DIGEST_MAX_AGE_S = 10.0  # an older digest does not count
PEER_QUORUM = 2 / 3  # of the zone peers' weight
FLEET_QUORUM = 1 / 2
COUNT_MIN = 3  # instances that must agree, where there are as many
LEFT_PEERS_MIN = 2  # that have left a zone: one zone peer is no quorum to follow
COUNTED_TIME_S = 1.5 * WINDOW_S  # mean time that an observation's counts cover: one to two windows


@dataclass(slots=True, frozen=True)
class ReceivedDigest:
    """Another instance's digest, and its age in seconds."""

    age: float
    digest: ZoneDigest


@dataclass(slots=True, frozen=True)
class ZoneView:
    """What an instance knows at one moment."""

    now: float
    own: ZoneDigest
    received: Mapping[str, ReceivedDigest]  # of other living instances
    sizes: Mapping[str, float]  # of the zones, by their endpoints' capacity
    leave_commands: Mapping[str, ZoneCommand] = field(default_factory=dict)
    after_pause: bool = False  # this process was suspended: nothing is judged in this step
    alive: int = 0  # living instances, this one included, whether or not their digests were received


@dataclass(slots=True, frozen=True)
class VoteCount:
    """How many instances voted so, and their part of the weight of all that voted."""

    count: int
    weight_share: float


@dataclass(slots=True, frozen=True)
class PeerUse:
    """How the other zone peers use a zone: whether a quorum has left it, and their weighted median share."""

    quorum_left: bool
    median_share: float


def vote_weights(request_rates: Mapping[str, float]) -> dict[str, float]:
    """Return what each instance's vote weighs: its request rate, within a factor of sqrt(2) of the median."""
    rates = sorted(rate for rate in request_rates.values() if rate > 0)
    median = rates[len(rates) // 2] if rates else 1.0
    lowest, highest = median / sqrt(2.0), median * sqrt(2.0)
    return {name: min(highest, max(lowest, rate)) for name, rate in request_rates.items()}


class FleetEvidence:
    """The digests of one moment, weighed."""

    def __init__(self, name: str, view: ZoneView) -> None:
        """Weigh what a view holds, as seen from the instance of this name."""
        self.name = name
        self.view = view
        self.zone = view.own.zone
        self.digests = {
            other: received.digest
            for other, received in view.received.items()
            if received.age <= DIGEST_MAX_AGE_S and other != name
        }
        self.digests[name] = view.own
        self.weights = vote_weights({n: digest.request_rate for n, digest in self.digests.items()})
        self.partial_outages = {n: partial_outages(digest) for n, digest in self.digests.items()}
        self.votes = {n: self._votes_of(n) for n in self.digests}
        self.everyone = sorted(self.digests)
        self.zone_peers = sorted(n for n, digest in self.digests.items() if digest.zone == self.zone)

    def _votes_of(self, name: str) -> dict[str, Vote]:
        """Return an instance's votes; one that finds all it uses of a zone down does not call it healthy."""
        partial = self.partial_outages[name]
        return {
            zone: Vote.NONE if vote is Vote.HEALTHY and zone in partial else vote
            for zone, vote in votes(self.digests[name]).items()
        }

    # Verdicts

    def enough_received(self) -> bool:
        """Whether two thirds of the living were heard: before that a few would be a quorum."""
        return len(self.digests) * 3 >= self.view.alive * 2

    def verdict(self, zone: str) -> Vote:
        """Return the worst that a quorum says of a zone as seen from here; HEALTHY without one against it."""
        outside = self._outside(zone)
        healthy = self.count_votes(self.zone_peers, zone, Vote.HEALTHY, Vote.HEALTHY).weight_share
        for level in (Vote.LOST, Vote.FAILING, Vote.SLOW):
            against = self.count_votes(self.zone_peers, zone, level)
            if self._peers_agree(zone, level, against):
                return level
            # Inside a zone that is cut off its instances see it healthy; others count if none of them does.
            inside_disagrees = self.zone == zone and (healthy > 0.0 or against.count == 0)
            if healthy >= FLEET_QUORUM or inside_disagrees:
                continue
            # Those inside know first that a zone is lost, and last that it is cut off: both are asked.
            if self._fleet_agrees(outside, zone, level) or self._fleet_agrees(self.everyone, zone, level):
                return level
        return Vote.HEALTHY

    def weight_against(self, zone: str) -> float:
        """Return the part of the weight against a zone, of its zone peers or of all outside: the larger."""
        peers = self.count_votes(self.zone_peers, zone, Vote.SLOW).weight_share
        return max(peers, self.count_votes(self._outside(zone), zone, Vote.SLOW).weight_share)

    def count_votes(
        self, voters: Iterable[str], zone: str, at_least: Vote, at_most: Vote = Vote.LOST
    ) -> VoteCount:
        """Count the voters whose vote lies between two."""
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
        """Whether voters of whom none uses enough of a zone's endpoints find together that it is lost.

        Over two thirds of the weight of those who say anything find all that they use there unreachable, and
        the endpoints that they name stand for the zone. Two thirds, since a named endpoint cannot be checked.
        """
        against = [
            n for n in voters if zone in self.partial_outages[n] or self.votes[n].get(zone) is Vote.LOST
        ]
        if len(against) < max(min(COUNT_MIN, len(voters)), ceil(len(voters) / 3)):
            return False
        speaking = [n for n in voters if n in against or self.votes[n].get(zone, Vote.NONE)]
        total = sum(self.weights[n] for n in speaking)
        if sum(self.weights[n] for n in against) <= total * 2 / 3:
            return False
        rows = [row for n in against if (row := self.digests[n].observation(zone)) is not None]
        endpoints_up = sorted(row.endpoints_up for row in rows)[len(rows) // 2]
        named = reduce(or_, (row.unreachable_bits for row in rows), 0).bit_count()
        return named >= outage_threshold(endpoints_up)

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
        return [n for n, digest in self.digests.items() if digest.zone != zone]

    # What zone peers do

    def served(self, zone: str) -> list[str]:
        """Return the zone peers that a zone serves: answers, few failures, hardly an unreachable endpoint."""
        return [name for name in self.zone_peers if self._is_served(name, zone)]

    def _is_served(self, name: str, zone: str) -> bool:
        digest = self.digests[name]
        row = digest.observation(zone)
        if row is None or not digest.may_judge or row.successes == 0:
            return False
        few_failures = failures(row) < FAILURE_SHARE * row.attempts
        return few_failures and row.unreachable <= (1.0 - OUTAGE_SHARE) * row.endpoints

    def returned(self, zone: str) -> list[str]:
        """Return the other zone peers that return to a zone, or use it in full and see it healthy."""
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
        """Return what the other zone peers do with a zone, each with its weight."""
        return [
            (self.weights[name], status)
            for name in self.zone_peers
            if name != self.name
            for status in self.digests[name].statuses
            if status.zone == zone
        ]

    def peer_use(self, zone: str) -> PeerUse:
        """Return how the other zone peers use a zone; those that say nothing of it use it in full."""
        statuses = sorted(self.peer_statuses(zone), key=lambda weighted: weighted[1].share_permille)
        total = self.other_peers_weight()
        left = [w for w, status in statuses if status.state in (ZoneState.LEFT, ZoneState.RETURNING)]
        quorum_left = len(left) >= LEFT_PEERS_MIN and sum(left) > total * 2 / 3
        passed = 0.0
        for weight, status in statuses:
            passed += weight
            if passed >= total / 2:
                return PeerUse(quorum_left, status.share_permille / PERMILLE)
        return PeerUse(quorum_left, 1.0)

    def other_peers_weight(self) -> float:
        """Return the weight of all other zone peers."""
        return sum(self.weights[name] for name in self.zone_peers if name != self.name)

    # Load

    def success_rate(self, zone: str) -> float:
        """Return the answers a second that all instances together had from a zone."""
        return sum(row.successes for row in self._rows(zone)) / COUNTED_TIME_S

    def latency_ratio(self, zone: str) -> float:
        """Return the mean latency there over the latency objective."""
        rows = self._rows(zone)
        successes = sum(row.successes for row in rows)
        if not successes:
            return 0.0
        return sum(row.latency_permille * row.successes for row in rows) / successes / PERMILLE

    def _rows(self, zone: str) -> list[ZoneObservation]:
        observed = (digest.observation(zone) for digest in self.digests.values())
        return [row for row in observed if row is not None]
