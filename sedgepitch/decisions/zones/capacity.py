"""Estimates how much of a zone's load the other zones can serve, from the rates served while healthy."""

from __future__ import annotations

from math import exp

from sedgepitch.decisions.zones.evidence import FleetEvidence
from sedgepitch.decisions.zones.states import FULL_USE_SHARE, Zone, ZoneTable
from sedgepitch.decisions.zones.votes import Vote

PROVEN_DECAY_S = 900.0  # time constant: the proven rate decays to 1/e in this time
HEALTHY_LATENCY_RATIO = 0.5  # mean latency / objective; a rate served below it counts as proven
OVERLOADED_LATENCY_RATIO = 0.8  # mean latency / objective; a zone at or above it is overloaded
ADJUSTMENT_SHARE = 0.1  # fraction of a zone's load moved per adjustment when the others' capacity changes


class ProvenCapacity:
    """The highest response rate per unit of endpoint capacity, observed while all zones were in full use."""

    def __init__(self, table: ZoneTable) -> None:
        """Start with a proven rate of zero."""
        self.rate = 0.0  # responses per second and unit of capacity
        self._table = table
        self._updated_at = 0.0

    def update(self, evidence: FleetEvidence) -> None:
        """Update the proven rate from the current evidence.

        Skipped while any zone is only partly used: the others have not yet shown that they can sustain the
        load moved to them.
        """
        if not self._table.all_in_full_use():
            return
        view = evidence.view
        rates = [
            evidence.success_rate(zone) / capacity
            for zone, capacity in view.sizes.items()
            if capacity > 0 and evidence.latency_ratio(zone) < HEALTHY_LATENCY_RATIO
        ]
        elapsed = view.now - self._updated_at
        self._updated_at = view.now
        self.rate = max(self.rate * exp(-max(0.0, elapsed) / PROVEN_DECAY_S), *rates, 0.0)

    def share_to_keep(self, zone: Zone, evidence: FleetEvidence, commanded: bool) -> float:
        """Return the share of a zone's reads that must stay in it because the other zones cannot serve it.

        Each other zone is assumed to serve up to `headroom` times the proven rate, less its current rate; an
        overloaded one hands back ADJUSTMENT_SHARE of the load. The load already moved counts as served by the
        others. Unless an operator commanded the leave, at least `watch_share` stays.
        """
        settings = self._table.settings
        spare_rate = (1.0 - zone.share) * zone.load_before
        for other in alternatives(zone, evidence, self._table):
            servable_rate = settings.headroom * self.rate * evidence.view.sizes[other.name]
            if evidence.latency_ratio(other.name) < OVERLOADED_LATENCY_RATIO:
                spare_rate += max(0.0, servable_rate - evidence.success_rate(other.name))
            else:
                spare_rate -= ADJUSTMENT_SHARE * zone.load_before
        share = max(0.0, 1.0 - spare_rate / zone.load_before) if zone.load_before > 0 else 0.0
        return share if commanded else max(share, settings.watch_share)


def alternatives(zone: Zone, evidence: FleetEvidence, table: ZoneTable) -> list[Zone]:
    """Return the zones that remain when this one is left: in full use, and neither failing nor lost."""
    return [
        other
        for other in table.zones.values()
        if other is not zone and other.share >= FULL_USE_SHARE and evidence.verdict(other.name) < Vote.FAILING
    ]
