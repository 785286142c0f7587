"""Leaving a zone: at once if it is lost, otherwise gradually, as far as other zones can take the load.

The last zone is never left.
"""

from __future__ import annotations

from sedgepitch.decisions.zones.capacity import ProvenCapacity, alternatives
from sedgepitch.decisions.zones.evidence import FleetEvidence
from sedgepitch.decisions.zones.operator_commands import ZoneCommand
from sedgepitch.decisions.zones.recovery import Recovery
from sedgepitch.decisions.zones.states import FULL_USE_SHARE, Zone, ZoneState, ZoneTable
from sedgepitch.decisions.zones.votes import Vote


class Leaving:
    """The transitions into SUSPECTED, LEAVING and LEFT."""

    def __init__(self, table: ZoneTable, capacity: ProvenCapacity, recovery: Recovery) -> None:
        """Operate on the given table; a withdrawn command starts a return through `recovery`."""
        self._table = table
        self._capacity = capacity
        self._recovery = recovery

    def suspect(self, zone: Zone, now: float, reason: str) -> None:
        """Mark a zone as suspected; it stays in full use."""
        if zone.state is not ZoneState.SUSPECTED:
            self._table.enter(zone, ZoneState.SUSPECTED, now, 1.0, reason)
        zone.reason = reason

    def begin(self, zone: Zone, evidence: FleetEvidence, command: ZoneCommand | None) -> bool:
        """Start to leave a zone; return whether that is possible."""
        now = evidence.view.now
        if not alternatives(zone, evidence, self._table):
            zone.reason = "nothing else is there to go to"
            return False
        zone.load_before = evidence.success_rate(zone.name)
        zone.cause = Vote.NONE if command is not None else zone.verdict
        zone.share_before = zone.share
        if zone.verdict is Vote.LOST and command is None:
            self._table.enter(zone, ZoneState.LEFT, now, 0.0, "lost")
            return True
        if self._capacity.share_to_keep(zone, evidence, command is not None) >= FULL_USE_SHARE:
            zone.reason = "the other zones have no room for it"
            return False
        verdict = zone.verdict.name.lower()
        reason = f"ordered by {command.issuer}" if command is not None else f"it is {verdict}"
        self._table.enter(zone, ZoneState.LEAVING, now, zone.share, reason)
        return True

    def advance(
        self, zone: Zone, evidence: FleetEvidence, verdict_holds: bool, command: ZoneCommand | None
    ) -> None:
        """Lower the share linearly over the leave duration, down to the share that must stay."""
        now = evidence.view.now
        if zone.verdict is Vote.LOST and verdict_holds and alternatives(zone, evidence, self._table):
            zone.cause = Vote.LOST
            self._table.enter(zone, ZoneState.LEFT, now, 0.0, "lost")
            return
        if zone.cause is Vote.NONE and command is None:
            self._recovery.begin(zone, now, "the order is taken back")
            return
        settings = self._table.settings
        duration = max(command.duration if command is not None else 0.0, settings.leave_duration)
        progress = min(1.0, (now - zone.state_since) / duration)
        kept = self._capacity.share_to_keep(zone, evidence, command is not None)
        zone.share = max(kept, zone.share_before + (kept - zone.share_before) * progress)
        if progress >= 1.0:
            reason = zone.reason
            if kept > settings.watch_share:
                reason = f"{zone.reason}; {kept:.0%} stays, the others bear no more"
            self._table.enter(zone, ZoneState.LEFT, now, kept, reason)
