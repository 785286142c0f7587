"""Coming back to a zone: trials of a lost one, the watch on one that answered badly, and the recovery ramp.

The ramp's steps stay under what endpoints that have just started can serve, and no instance is ahead of its
zone peers' median by more than a step.
"""

from __future__ import annotations

import hashlib
from math import ceil

from sedgepitch.decisions.zones.evidence import FLEET_QUORUM, FleetEvidence
from sedgepitch.decisions.zones.states import Zone, ZoneState, ZoneTable
from sedgepitch.decisions.zones.votes import Vote

TRIAL_RATE = 1.0  # requests a second that a trial aims at, at least: any endpoint can serve them
TRIAL_REQUESTS = 4.0  # that a turn should have room for
TRIAL_TURN_FACTOR_MAX = 4.0  # times the length of a turn, where there are few requests
RATE_MIN = 0.01  # requests a second, against a division by zero
STEP_TOLERANCE_S = 0.1  # s between calls of ZoneController.step while a zone is not in full use
SHARE_TOLERANCE = 1e-3  # shares are published in thousandths
NAMES_IN_REASON = 3
RANK_BYTES = 8


class Recovery:
    """The rules by which zones are returned to."""

    def __init__(self, name: str, table: ZoneTable) -> None:
        """Work on the given table, for the instance of this name."""
        self._name = name
        self._table = table

    # The ramp

    def begin(self, zone: Zone, now: float, reason: str) -> None:
        """Begin a return with the ramp's first step."""
        self.take_step(zone, now, 0, reason)

    def take_step(self, zone: Zone, now: float, step: int, reason: str) -> None:
        """Set a zone to a step of the ramp."""
        if zone.state is not ZoneState.RETURNING:
            self._table.enter(zone, ZoneState.RETURNING, now, 0.0, reason)
        zone.ramp_step = step
        zone.step_at = now
        zone.share = self._table.settings.ramp_share(step)

    def advance(self, zone: Zone, evidence: FleetEvidence) -> None:
        """Take the next step when it is time, or end the return."""
        settings = self._table.settings
        now = evidence.view.now
        if self._sees_fault(zone, evidence):
            zone.step_at = now  # a fault that this instance sees holds its own ramp
        if now - zone.step_at < settings.ramp_step_duration - STEP_TOLERANCE_S:
            return
        if self._exceeds_peers(zone, evidence):
            return
        if zone.ramp_step + 1 < settings.ramp_steps:
            self.take_step(zone, now, zone.ramp_step + 1, zone.reason)
        else:
            zone.returned_at = now
            self._table.enter(zone, ZoneState.NORMAL, now, 1.0, "")

    def relapse(self, zone: Zone, now: float) -> None:
        """Leave a zone again that has a verdict against it on the way back; the next trial waits longer."""
        settings = self._table.settings
        zone.relapses += 1
        zone.trial_delay = min(2.0 * zone.trial_delay, settings.trial_delay_max)
        zone.cause = zone.verdict
        share = 0.0 if zone.verdict is Vote.LOST else min(zone.share, settings.watch_share)
        reason = f"relapsed: {zone.verdict.name.lower()}"
        self._table.enter(zone, ZoneState.LEFT, now, share, reason)

    def _sees_fault(self, zone: Zone, evidence: FleetEvidence) -> bool:
        own_vote = evidence.votes[self._name].get(zone.name, Vote.NONE)
        return own_vote >= Vote.FAILING or zone.name in evidence.partial_outages[self._name]

    def _exceeds_peers(self, zone: Zone, evidence: FleetEvidence) -> bool:
        if not evidence.peer_statuses(zone.name):
            return False
        return zone.share > evidence.peer_use(zone.name).median_share + SHARE_TOLERANCE

    # Following zone peers

    def follow(self, zone: Zone, now: float, share: float) -> None:
        """Use a zone as the zone peers do, by their median share: not, a little, or on the ramp."""
        settings = self._table.settings
        reason = "as the zone's peers do"
        if share >= settings.ramp_share(0):
            steps = range(settings.ramp_steps)
            reached = [step for step in steps if settings.ramp_share(step) <= share + SHARE_TOLERANCE]
            self.take_step(zone, now, max(reached), reason)
            return
        watched = share >= settings.watch_share - SHARE_TOLERANCE
        zone.cause = Vote.FAILING if watched else Vote.LOST
        self._table.enter(zone, ZoneState.LEFT, now, settings.watch_share if watched else 0.0, reason)

    # A zone that still answers

    def watch(self, zone: Zone, evidence: FleetEvidence) -> None:
        """Return to a zone with a small share when it was healthy for the trial delay."""
        now = evidence.view.now
        if zone.verdict is Vote.LOST:
            zone.cause = Vote.LOST
            self._table.enter(zone, ZoneState.LEFT, now, 0.0, "lost")
            return
        healthy = evidence.count_votes(evidence.zone_peers, zone.name, Vote.HEALTHY, Vote.HEALTHY)
        if zone.verdict is not Vote.HEALTHY or healthy.weight_share <= FLEET_QUORUM:
            zone.healthy_since = None
        elif zone.healthy_since is None:
            zone.healthy_since = now
        elif now - zone.healthy_since >= max(zone.trial_delay, self._table.settings.degraded_hold):
            self.begin(zone, now, "well again")

    # A lost zone

    def try_lost(self, zone: Zone, evidence: FleetEvidence) -> None:
        """A few instances try a lost zone in turn; when enough are served there, all begin to return."""
        now = evidence.view.now
        served = evidence.served(zone.name)
        reason = self._reason_to_return(zone, evidence, served)
        if reason and now - zone.state_since >= zone.trial_delay:
            self.begin(zone, now, reason)
            return
        if self._is_own_turn(zone, evidence) or self._name in served:
            zone.share = self._trial_share(evidence)
        else:
            zone.share = 0.0

    def trial_instances(self, zone: Zone, evidence: FleetEvidence, turn: int) -> list[str]:
        """Return the zone peers whose turn it is, by rendezvous hashing: the same list at all of them."""

        def rank(name: str) -> bytes:
            text = f"{zone.name}/{turn}/{name}"
            return hashlib.blake2b(text.encode(), digest_size=RANK_BYTES).digest()

        return sorted(evidence.zone_peers, key=rank)[: self._table.settings.trial_instances]

    def _reason_to_return(self, zone: Zone, evidence: FleetEvidence, served: list[str]) -> str:
        enough = min(self._table.settings.trial_instances, ceil(len(evidence.zone_peers) / 3))
        if len(served) >= enough:
            return f"{', '.join(served[:NAMES_IN_REASON])} served there"
        returned = sum(evidence.weights[name] for name in evidence.returned(zone.name))
        if returned > evidence.other_peers_weight() * 2 / 3:
            return "the zone's peers are back"
        return ""

    def _is_own_turn(self, zone: Zone, evidence: FleetEvidence) -> bool:
        passed = evidence.view.now - zone.state_since - zone.trial_delay
        if passed < 0:
            return False
        turn = int(passed / self._turn_duration(evidence))
        return self._name in self.trial_instances(zone, evidence, turn)

    def _turn_duration(self, evidence: FleetEvidence) -> float:
        """Return the seconds of a turn: longer where zone peers have few requests, so that it has some."""
        rates = sorted(evidence.digests[name].request_rate for name in evidence.zone_peers)
        median = rates[len(rates) // 2]
        factor = TRIAL_RATE * TRIAL_REQUESTS / max(RATE_MIN, median)
        return self._table.settings.trial_turn * min(TRIAL_TURN_FACTOR_MAX, max(1.0, factor))

    def _trial_share(self, evidence: FleetEvidence) -> float:
        """Return an instance's share of the ramp's first step, or what gives it a request a second."""
        settings = self._table.settings
        # Halved, since those of the last turn that were served go on beside those of this one.
        fair = settings.ramp_share(0) * len(evidence.zone_peers) / settings.trial_instances / 2.0
        least = TRIAL_RATE / max(RATE_MIN, evidence.view.own.request_rate)
        return min(settings.trial_share_max, max(fair, least))
