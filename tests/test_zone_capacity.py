"""Proven capacity: the share that must stay in a zone being left; and the steps of the recovery ramp."""

from __future__ import annotations

import pytest

from sedgepitch.decisions.zones.capacity import ADJUSTMENT_SHARE, ProvenCapacity, alternatives
from sedgepitch.decisions.zones.digests import ZoneDigest, ZoneObservation
from sedgepitch.decisions.zones.evidence import COUNTED_TIME_S, FleetEvidence, ZoneView
from sedgepitch.decisions.zones.settings import ZoneSettings
from sedgepitch.decisions.zones.states import ZoneTable

SIZES = {"a": 2.0, "b": 2.0, "c": 2.0}
RATE = 40  # successes of a zone in normal use, in the time that an observation covers
FAST, OVERLOADED = 100, 900  # latency in permille of the objective


def zone_table(settings: ZoneSettings | None = None) -> ZoneTable:
    table = ZoneTable(settings or ZoneSettings(headroom=1.5))
    table.keep_only(100.0, SIZES)
    return table


def single_instance_evidence(
    now: float, rates: dict[str, int], latency_permille: int = FAST
) -> FleetEvidence:
    """Return the evidence of a fleet of one instance with these successes per zone."""
    rows = tuple(
        ZoneObservation(zone, rate, rate, 0, 0, latency_permille, 2, endpoints_up=2)
        for zone, rate in rates.items()
    )
    return FleetEvidence("own", ZoneView(now, ZoneDigest("a", 10.0, True, rows), {}, SIZES, alive=1))


def updated_capacity(table: ZoneTable) -> ProvenCapacity:
    """Return a capacity that was updated once with all zones in normal use."""
    capacity = ProvenCapacity(table)
    capacity.update(single_instance_evidence(100.0, dict.fromkeys(SIZES, RATE)))
    return capacity


def test_proven_rate_is_per_unit_of_capacity_and_decays():
    capacity = updated_capacity(zone_table())
    assert capacity.rate == pytest.approx(RATE / COUNTED_TIME_S / 2.0)
    initial_rate = capacity.rate
    capacity.update(single_instance_evidence(1000.0, dict.fromkeys(SIZES, 1)))
    assert capacity.rate == pytest.approx(initial_rate * 0.3679, rel=1e-3)


def test_proven_rate_is_not_updated_while_a_zone_is_partly_used_or_latency_is_high():
    table = zone_table()
    capacity = ProvenCapacity(table)
    capacity.update(single_instance_evidence(100.0, dict.fromkeys(SIZES, RATE), OVERLOADED))
    assert capacity.rate == 0.0
    table.zones["c"].share = 0.5
    capacity.update(single_instance_evidence(101.0, dict.fromkeys(SIZES, RATE)))
    assert capacity.rate == 0.0


@pytest.mark.parametrize(("headroom", "kept"), [(1.0, 1.0), (1.25, 0.5), (1.5, 0.0), (2.0, 0.0)])
def test_load_beyond_the_capacity_of_the_other_zones_stays(headroom, kept):
    table = zone_table(ZoneSettings(headroom=headroom))
    capacity = updated_capacity(table)
    zone = table.zones["c"]
    zone.load_before = RATE / COUNTED_TIME_S
    evidence = single_instance_evidence(100.0, dict.fromkeys(SIZES, RATE))
    assert capacity.share_to_keep(zone, evidence, commanded=True) == pytest.approx(kept)
    kept_without_command = max(kept, table.settings.watch_share)
    assert capacity.share_to_keep(zone, evidence, commanded=False) == pytest.approx(kept_without_command)


def test_overloaded_zones_hand_back_load():
    table = zone_table()
    capacity = updated_capacity(table)
    zone = table.zones["c"]
    zone.load_before = RATE / COUNTED_TIME_S
    zone.share = 0.0
    evidence = single_instance_evidence(101.0, {"a": 60, "b": 60}, OVERLOADED)
    assert capacity.share_to_keep(zone, evidence, commanded=True) == pytest.approx(2 * ADJUSTMENT_SHARE)


def test_partly_used_zone_is_not_an_alternative():
    table = zone_table()
    evidence = single_instance_evidence(100.0, dict.fromkeys(SIZES, RATE))
    assert [zone.name for zone in alternatives(table.zones["c"], evidence, table)] == ["a", "b"]
    table.zones["a"].share = 0.5
    assert [zone.name for zone in alternatives(table.zones["c"], evidence, table)] == ["b"]


def test_recovery_ramp_grows_from_initial_capacity_to_full_use():
    settings = ZoneSettings(initial_capacity=0.2, ramp_safety=0.8, ramp_steps=5)
    shares = [settings.ramp_share(step) for step in range(6)]
    assert shares == pytest.approx([0.16, 0.288, 0.416, 0.544, 0.672, 1.0])
