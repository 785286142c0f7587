"""What the other zones can serve of one that is left, judged by what endpoints have served while healthy."""

from __future__ import annotations

from math import exp

from sedgepitch.decisions.zones.evidence import FleetEvidence
from sedgepitch.decisions.zones.states import FULL_USE_SHARE, Zone, ZoneTable
from sedgepitch.decisions.zones.votes import Vote

PROVEN_DECAY_S = 900.0  # in which the proven rate falls to 1/e
HEALTHY_LATENCY_RATIO = 0.5  # mean latency over the objective, below which a rate counts as proven
OVERLOADED_LATENCY_RATIO = 0.8  # from which a zone serves too much already
ADJUSTMENT_SHARE = 0.1  # of a zone's load, that is moved at once when the others can serve less or more


class ProvenCapacity:
    """The highest rate of answers per endpoint capacity that was seen while all zones were in full use."""

    def __init__(self, table: ZoneTable) -> None:
        """Begin with nothing proven."""
        self.rate = 0.0  # answers a second and unit of capacity
        self._table = table
        self._updated_at = 0.0

    def update(self, evidence: FleetEvidence) -> None:
        """Learn from this moment.

        Not while a zone is used in part: what the others serve of it just now is not yet proven to last.
        """
        if not self._table.all_in_full_use():
            return
        view = evidence.view
        rates = [
            evidence.success_rate(zone) / size
            for zone, size in view.sizes.items()
            if size > 0 and evidence.latency_ratio(zone) < HEALTHY_LATENCY_RATIO
        ]
        passed = view.now - self._updated_at
        self._updated_at = view.now
        self.rate = max(self.rate * exp(-max(0.0, passed) / PROVEN_DECAY_S), *rates, 0.0)

    def share_to_keep(self, zone: Zone, evidence: FleetEvidence, commanded: bool) -> float:
        """Return the share that has to stay in a zone, since the others cannot serve it.

        They are trusted with `headroom` times the proven rate, less what they serve now; an overloaded one
        gives some back. What was moved there already is counted with them. Without an operator command the
        share to watch the zone stays in any case.
        """
        settings = self._table.settings
        room = (1.0 - zone.share) * zone.load_before
        for other in alternatives(zone, evidence, self._table):
            able = settings.headroom * self.rate * evidence.view.sizes[other.name]
            if evidence.latency_ratio(other.name) < OVERLOADED_LATENCY_RATIO:
                room += max(0.0, able - evidence.success_rate(other.name))
            else:
                room -= ADJUSTMENT_SHARE * zone.load_before
        share = max(0.0, 1.0 - room / zone.load_before) if zone.load_before > 0 else 0.0
        return share if commanded else max(share, settings.watch_share)


def alternatives(zone: Zone, evidence: FleetEvidence, table: ZoneTable) -> list[Zone]:
    """Return the zones that stay when this one is left: in full use, without a verdict against them."""
    return [
        other
        for other in table.zones.values()
        if other is not zone and other.share >= FULL_USE_SHARE and evidence.verdict(other.name) < Vote.FAILING
    ]
