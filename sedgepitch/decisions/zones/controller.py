"""State machine that decides the share of reads that this instance sends to each zone.

Deterministic: the same views give the same states, without a clock, random draws or dependence on arrival
order. A share can only reduce the traffic to a zone; it never admits an endpoint that the router has ejected.
"""

from __future__ import annotations

from sedgepitch.decisions.zones.capacity import ADJUSTMENT_SHARE, ProvenCapacity, alternatives
from sedgepitch.decisions.zones.digests import ZoneStatus
from sedgepitch.decisions.zones.evidence import COUNTED_TIME_S, FleetEvidence, ZoneView
from sedgepitch.decisions.zones.leaving import Leaving
from sedgepitch.decisions.zones.operator_commands import ZoneCommand
from sedgepitch.decisions.zones.recovery import Recovery
from sedgepitch.decisions.zones.settings import ZoneSettings
from sedgepitch.decisions.zones.states import Zone, ZoneState, ZoneTable, ZoneTransition
from sedgepitch.decisions.zones.votes import Vote

SUSPICION_WEIGHT = 0.25  # fraction of the vote weight against a zone from which it is suspected


class ZoneController:
    """The zone states of one instance. `step` takes a view and returns the shares for the router."""

    def __init__(self, name: str, settings: ZoneSettings) -> None:
        """Start without zones; the first view adds them."""
        self.table = ZoneTable(settings)
        self.capacity = ProvenCapacity(self.table)
        self.recovery = Recovery(name, self.table)
        self._leaving = Leaving(self.table, self.capacity, self.recovery)
        self._name = name

    @property
    def zones(self) -> dict[str, Zone]:
        """Return the zones by name."""
        return self.table.zones

    def step(self, view: ZoneView) -> dict[str, float]:
        """Evaluate all zones in descending order of the weight against them, and return the share of each.

        After a pause, or with digests of too few instances, the states and shares stay as they are.
        """
        self.table.keep_only(view.now, view.sizes)
        evidence = FleetEvidence(self._name, view)
        if not view.after_pause and evidence.enough_received():
            self.capacity.update(evidence)
            against = {name: evidence.weight_against(name) for name in self.zones}
            for zone in sorted(self.zones.values(), key=lambda zone: (-against[zone.name], zone.name)):
                self._evaluate(zone, evidence, against[zone.name])
        return {zone.name: zone.share for zone in self.zones.values()}

    def statuses(self, now: float) -> tuple[ZoneStatus, ...]:
        """Return the status to publish for each zone."""
        return self.table.statuses(now)

    def take_transitions(self) -> list[ZoneTransition]:
        """Return and clear the transitions since the last call."""
        transitions = self.table.transitions
        self.table.transitions = []
        return transitions

    # States

    def _evaluate(self, zone: Zone, evidence: FleetEvidence, weight_against: float) -> None:
        verdict_holds = self._update_verdict(zone, evidence)
        command = evidence.view.leave_commands.get(zone.name)
        match zone.state:
            case ZoneState.NORMAL | ZoneState.SUSPECTED:
                self._in_use(zone, evidence, weight_against, verdict_holds, command)
            case ZoneState.LEAVING:
                self._leaving.advance(zone, evidence, verdict_holds, command)
            case ZoneState.LEFT:
                self._left(zone, evidence, command)
            case ZoneState.RETURNING:
                self._returning(zone, evidence, verdict_holds, command)

    def _update_verdict(self, zone: Zone, evidence: FleetEvidence) -> bool:
        """Record the verdict; return whether an adverse one has persisted for its hold time."""
        now = evidence.view.now
        verdict = evidence.verdict(zone.name)
        if verdict is not zone.verdict:
            zone.verdict = verdict
            zone.verdict_since = now
        settings = self.table.settings
        hold = settings.lost_hold if verdict is Vote.LOST else settings.degraded_hold
        return verdict >= Vote.SLOW and now - zone.verdict_since >= hold

    def _in_use(
        self,
        zone: Zone,
        evidence: FleetEvidence,
        weight_against: float,
        verdict_holds: bool,
        command: ZoneCommand | None,
    ) -> None:
        now = evidence.view.now
        self._forget_relapses(zone, now)
        if command is not None or verdict_holds:
            if not self._leaving.begin(zone, evidence, command):
                self._leaving.suspect(zone, now, zone.reason)
            return
        use = evidence.peer_use(zone.name)
        if use.quorum_left and self._may_follow(zone, evidence):
            self.recovery.follow(zone, now, use.median_share)
        elif weight_against >= SUSPICION_WEIGHT:
            self._leaving.suspect(zone, now, f"{weight_against:.0%} of the weight speaks against it")
        elif zone.state is ZoneState.SUSPECTED:
            self.table.enter(zone, ZoneState.NORMAL, now, 1.0, "")

    def _may_follow(self, zone: Zone, evidence: FleetEvidence) -> bool:
        """Return whether this instance may adopt its zone peers' state, as after a late start or a pause.

        It may not do so shortly after its own return to the zone: if it returned before its peers, their
        digests are older than its own step.
        """
        just_returned = evidence.view.now - zone.returned_at < self.table.settings.slow_start_window
        return not just_returned and bool(alternatives(zone, evidence, self.table))

    def _forget_relapses(self, zone: Zone, now: float) -> None:
        settings = self.table.settings
        if zone.relapses and now - zone.state_since > settings.relapse_memory:
            zone.relapses = 0
            zone.trial_delay = settings.trial_delay

    def _left(self, zone: Zone, evidence: FleetEvidence, command: ZoneCommand | None) -> None:
        now = evidence.view.now
        if command is not None:
            self._left_by_command(zone, evidence, command)
        elif zone.cause is Vote.LOST:
            self.recovery.run_trials(zone, evidence)
        elif not alternatives(zone, evidence, self.table):
            self.recovery.begin(zone, now, "nothing else is there to go to")
        elif zone.cause is Vote.NONE:
            self.recovery.begin(zone, now, "the order is taken back")
        else:
            self.recovery.watch(zone, evidence)

    def _left_by_command(self, zone: Zone, evidence: FleetEvidence, command: ZoneCommand) -> None:
        """Adjust the share to the other zones' capacity, by at most ADJUSTMENT_SHARE per COUNTED_TIME_S.

        A zone that was left for a verdict keeps its share. The evidence decides again once the command is
        withdrawn.
        """
        now = evidence.view.now
        zone.reason = f"ordered by {command.issuer}"
        if zone.cause is Vote.NONE and now - zone.step_at >= COUNTED_TIME_S:
            zone.step_at = now
            kept = self.capacity.share_to_keep(zone, evidence, commanded=True)
            zone.share += max(-ADJUSTMENT_SHARE, min(ADJUSTMENT_SHARE, kept - zone.share))

    def _returning(
        self, zone: Zone, evidence: FleetEvidence, verdict_holds: bool, command: ZoneCommand | None
    ) -> None:
        now = evidence.view.now
        if command is not None:
            self._leaving.begin(zone, evidence, command)
            return
        past_grace = now - zone.state_since >= self.table.settings.relapse_grace
        if verdict_holds and past_grace and alternatives(zone, evidence, self.table):
            self.recovery.relapse(zone, now)
        else:
            self.recovery.advance(zone, evidence)
