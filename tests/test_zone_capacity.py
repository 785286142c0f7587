"""What other zones can serve of one that is left, and the steps of the recovery ramp."""

from __future__ import annotations

import pytest

from sedgepitch.decisions.zones.capacity import ADJUSTMENT_SHARE, ProvenCapacity, alternatives
from sedgepitch.decisions.zones.digests import ZoneDigest, ZoneObservation
from sedgepitch.decisions.zones.evidence import COUNTED_TIME_S, FleetEvidence, ZoneView
from sedgepitch.decisions.zones.settings import ZoneSettings
from sedgepitch.decisions.zones.states import ZoneTable

SIZES = {"a": 2.0, "b": 2.0, "c": 2.0}
RATE = 40  # answers in the counted time, of a zone in normal use
FAST, OVERLOADED = 100, 900  # latency in thousandths of the objective


def table_of(settings: ZoneSettings | None = None) -> ZoneTable:
    table = ZoneTable(settings or ZoneSettings(headroom=1.5))
    table.keep_only(100.0, SIZES)
    return table


def evidence_of(now: float, rates: dict[str, int], latency_permille: int = FAST) -> FleetEvidence:
    """Return what one instance alone has observed."""
    rows = tuple(
        ZoneObservation(zone, rate, rate, 0, 0, latency_permille, 2, endpoints_up=2)
        for zone, rate in rates.items()
    )
    return FleetEvidence("own", ZoneView(now, ZoneDigest("a", 10.0, True, rows), {}, SIZES, alive=1))


def proven(table: ZoneTable) -> ProvenCapacity:
    """Return a capacity that has seen all zones in normal use."""
    capacity = ProvenCapacity(table)
    capacity.update(evidence_of(100.0, dict.fromkeys(SIZES, RATE)))
    return capacity


def test_the_proven_rate_is_per_capacity_and_fades():
    capacity = proven(table_of())
    assert capacity.rate == pytest.approx(RATE / COUNTED_TIME_S / 2.0)
    before = capacity.rate
    capacity.update(evidence_of(1000.0, dict.fromkeys(SIZES, 1)))
    assert capacity.rate == pytest.approx(before * 0.3679, rel=1e-3)


def test_nothing_is_proven_while_a_zone_is_used_in_part_or_latency_is_high():
    table = table_of()
    capacity = ProvenCapacity(table)
    capacity.update(evidence_of(100.0, dict.fromkeys(SIZES, RATE), OVERLOADED))
    assert capacity.rate == 0.0
    table.zones["c"].share = 0.5
    capacity.update(evidence_of(101.0, dict.fromkeys(SIZES, RATE)))
    assert capacity.rate == 0.0


@pytest.mark.parametrize(("headroom", "kept"), [(1.0, 1.0), (1.25, 0.5), (1.5, 0.0), (2.0, 0.0)])
def test_what_the_others_have_no_room_for_stays(headroom, kept):
    table = table_of(ZoneSettings(headroom=headroom))
    capacity = proven(table)
    zone = table.zones["c"]
    zone.load_before = RATE / COUNTED_TIME_S
    evidence = evidence_of(100.0, dict.fromkeys(SIZES, RATE))
    assert capacity.share_to_keep(zone, evidence, commanded=True) == pytest.approx(kept)
    watched = max(kept, table.settings.watch_share)
    assert capacity.share_to_keep(zone, evidence, commanded=False) == pytest.approx(watched)


def test_overloaded_zones_give_some_back():
    table = table_of()
    capacity = proven(table)
    zone = table.zones["c"]
    zone.load_before = RATE / COUNTED_TIME_S
    zone.share = 0.0
    evidence = evidence_of(101.0, {"a": 60, "b": 60}, OVERLOADED)
    assert capacity.share_to_keep(zone, evidence, commanded=True) == pytest.approx(2 * ADJUSTMENT_SHARE)


def test_a_zone_used_in_part_is_no_alternative():
    table = table_of()
    evidence = evidence_of(100.0, dict.fromkeys(SIZES, RATE))
    assert [zone.name for zone in alternatives(table.zones["c"], evidence, table)] == ["a", "b"]
    table.zones["a"].share = 0.5
    assert [zone.name for zone in alternatives(table.zones["c"], evidence, table)] == ["b"]


def test_the_recovery_ramp_grows_from_the_initial_capacity_to_all():
    settings = ZoneSettings(initial_capacity=0.2, ramp_safety=0.8, ramp_steps=5)
    shares = [settings.ramp_share(step) for step in range(6)]
    assert shares == pytest.approx([0.16, 0.288, 0.416, 0.544, 0.672, 1.0])
