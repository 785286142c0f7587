"""Return to a zone: trials of a lost one, observation of a degraded one, and the recovery ramp.

Each ramp step stays below what freshly started endpoints can serve, and no instance gets more than one step
ahead of its zone peers' median share.
"""

from __future__ import annotations

import hashlib
from math import ceil

from sedgepitch.decisions.zones.evidence import FLEET_QUORUM, FleetEvidence
from sedgepitch.decisions.zones.states import Zone, ZoneState, ZoneTable
from sedgepitch.decisions.zones.votes import Vote

TRIAL_RATE = 1.0  # requests per second, the minimum target of a trial; any endpoint can serve them
TRIAL_REQUESTS = 4.0  # requests that a trial turn should be long enough for
TRIAL_TURN_FACTOR_MAX = 4.0  # limit of the extension of a turn at a low request rate
RATE_MIN = 0.01  # requests per second; avoids a division by zero
# A ramp step may be taken this much early. ZoneController.step is called at this interval while a zone is not
# in full use.
STEP_TOLERANCE_S = 0.1
SHARE_TOLERANCE = 1e-3  # shares are published in permille, so rounded
NAMES_IN_REASON = 3
RANK_BYTES = 8


class Recovery:
    """The transitions back to normal use of a zone."""

    def __init__(self, name: str, table: ZoneTable) -> None:
        """Operate on the given table, for the instance `name`."""
        self._name = name
        self._table = table

    # The ramp

    def begin(self, zone: Zone, now: float, reason: str) -> None:
        """Start a return at the first step of the ramp."""
        self.take_step(zone, now, 0, reason)

    def take_step(self, zone: Zone, now: float, step: int, reason: str) -> None:
        """Set a zone to the given step of the ramp."""
        if zone.state is not ZoneState.RETURNING:
            self._table.enter(zone, ZoneState.RETURNING, now, 0.0, reason)
        zone.ramp_step = step
        zone.step_at = now
        zone.share = self._table.settings.ramp_share(step)

    def advance(self, zone: Zone, evidence: FleetEvidence) -> None:
        """Take the next step once it is due, or end the return after the last one."""
        settings = self._table.settings
        now = evidence.view.now
        if self._sees_fault(zone, evidence):
            zone.step_at = now  # a fault seen by this instance pauses its own ramp
        if now - zone.step_at < settings.ramp_step_duration - STEP_TOLERANCE_S:
            return
        if self._ahead_of_peers(zone, evidence):
            return
        if zone.ramp_step + 1 < settings.ramp_steps:
            self.take_step(zone, now, zone.ramp_step + 1, zone.reason)
        else:
            zone.returned_at = now
            self._table.enter(zone, ZoneState.NORMAL, now, 1.0, "")

    def relapse(self, zone: Zone, now: float) -> None:
        """Leave a zone again after an adverse verdict during the return, and double the next trial delay."""
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

    def _ahead_of_peers(self, zone: Zone, evidence: FleetEvidence) -> bool:
        if not evidence.peer_statuses(zone.name):
            return False
        return zone.share > evidence.peer_use(zone.name).median_share + SHARE_TOLERANCE

    # Following zone peers

    def follow(self, zone: Zone, now: float, share: float) -> None:
        """Adopt the zone peers' median share: left, left with the watch share, or a step of the ramp."""
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

    # Degraded zones

    def watch(self, zone: Zone, evidence: FleetEvidence) -> None:
        """Start a return to a zone kept at the watch share once it was healthy for the trial delay."""
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

    # Lost zones

    def run_trials(self, zone: Zone, evidence: FleetEvidence) -> None:
        """Let a few instances at a time try a lost zone; start the return once enough of them are served."""
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
        """Return the zone peers whose trial turn it is, by rendezvous hashing: the same list at each peer."""

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
        elapsed = evidence.view.now - zone.state_since - zone.trial_delay
        if elapsed < 0:
            return False
        turn = int(elapsed / self._turn_duration(evidence))
        return self._name in self.trial_instances(zone, evidence, turn)

    def _turn_duration(self, evidence: FleetEvidence) -> float:
        """Return the length of a trial turn in seconds, extended at a low request rate of the zone peers."""
        rates = sorted(evidence.digests[name].request_rate for name in evidence.zone_peers)
        median = rates[len(rates) // 2]
        factor = TRIAL_RATE * TRIAL_REQUESTS / max(RATE_MIN, median)
        return self._table.settings.trial_turn * min(TRIAL_TURN_FACTOR_MAX, max(1.0, factor))

    def _trial_share(self, evidence: FleetEvidence) -> float:
        """Return a trial instance's part of the ramp's first step, or the share that gives TRIAL_RATE."""
        settings = self._table.settings
        # Halved, since served instances of the last turn continue alongside those of the current one.
        fair_share = settings.ramp_share(0) * len(evidence.zone_peers) / settings.trial_instances / 2.0
        min_share = TRIAL_RATE / max(RATE_MIN, evidence.view.own.request_rate)
        return min(settings.trial_share_max, max(fair_share, min_share))
