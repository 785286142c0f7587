"""Days of a fleet, short: several processes of the program, faults between them, verdicts from records.

Nothing here hangs on how long a step took: a fault lasts long enough for a slow machine to have met it, and
what is looked at is who did what, not when.
"""

from __future__ import annotations

import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import yaml

WARM = {"rules": {"warm_within": "2 s"}, "standins": {"warm_within": "2 s"}}
ALL = {f"driver-{n}" for n in range(1, 10)}
MOST = 6  # of nine: on a busy machine one or the other hardly asks, or stands still just then
TOO_SLOW = 0.25  # s that bytes waited for a client or member itself: faults of a machine, not of the day
LIAR = "-m tests.support.byzantine_peer {{name}} {{key}} {} {} {{seed}}"
NORTH, MIDDLE, SOUTH = ({f"driver-{n}" for n in range(k, 10, 3)} for k in (1, 2, 3))
DAYS = {
    "lost": {"length": 20, "steps": [{"at": 3, "do": "lose", "zone": "south", "for": 7}]},
    "one by one": {"length": 20, "steps": [{"at": 3, "do": "lose", "zone": "south", "for": 9, "each": 1.0}]},
    "few each": {
        "length": 24,
        "members": 30,
        "rate": 90,
        "steps": [{"at": 4, "do": "lose", "zone": "south", "for": 14}],
    },
    "half": {
        "length": 14,
        "members": 12,
        "steps": [{"at": 3, "do": "lose", "zone": "south", "part": 0.5, "for": 7}],
    },
    "cut again": {
        "length": 29,
        "steps": [
            {"at": at, "do": "cut", "from": "middle", "to": "north", "for": 6} for at in (3, 12, 21)
        ],
    },
    "slow": {"length": 24, "steps": [{"at": 3, "do": "slow", "zone": "south", "factor": 12, "for": 10}]},
    "killed": {
        "length": 22,
        "steps": [
            {"at": 3, "do": "lose", "zone": "south", "for": 9},
            {"at": 3, "do": "kill", "drivers": [1, 2, 3, 4, 5, 6]},
            {"at": 6, "do": "start", "drivers": [1, 2, 3, 4, 5, 6]},
        ],
    },
    "frozen": {
        "length": 22,
        "steps": [
            {"at": 3, "do": "lose", "zone": "south", "for": 10},
            {"at": 3, "do": "freeze", "drivers": [1, 4, 7], "for": 5},
        ],
    },
    "peers cut": {
        "length": 14,
        "steps": [
            {"at": 2, "do": "cut_peers", "for": 6},
            {"at": 9, "do": "lossy_peers", "for": 4},
        ],
    },
    "order": {
        "length": 24,
        "steps": [
            {"at": 2, "do": "cut_peers", "from": "north", "to": "south", "for": 5},
            {"at": 2, "do": "cut_peers", "from": "south", "to": "north", "for": 5},
            {"at": 3, "do": "leave", "zone": "south", "drivers": [1]},
            {"at": 13, "do": "return", "zone": "south", "drivers": [5]},
        ],
    },
    "two zones": {
        "length": 24,
        "steps": [
            {"at": 3, "do": "lose", "zone": "south", "for": 5},
            {"at": 9, "do": "lose", "zone": "middle", "for": 5},
        ],
    },
    "relapse": {
        "length": 32,
        "settings": {"rules": {"warm_within": "9 s"}, "standins": {"warm_within": "9 s"}},
        "steps": [
            {"at": 3, "do": "lose", "zone": "south", "for": 4},
            {"at": 7, "do": "lose", "zone": "south", "for": 8, "once": "returning"},
        ],
    },
    "halves": {
        "length": 20,
        "steps": [
            {"at": 3, "do": do, "from": a, "to": b, "for": 7}
            for do in ("cut", "cut_peers")
            for a, b in (("north", "middle"), ("north", "south"), ("middle", "north"), ("south", "north"))
        ],
    },
    "removed": {"length": 14, "steps": [{"at": 3, "do": "drain", "zone": "south", "for": 6}]},
    "liars": {
        "length": 16,
        "beside": [LIAR.format("middle", "lost"), LIAR.format("north", "lost")],
        "steps": [],
    },
    "hold back": {
        "length": 20,
        "beside": [LIAR.format("middle", "well"), LIAR.format("north", "well")],
        "steps": [{"at": 3, "do": "lose", "zone": "south", "for": 9}],
    },
    "garbage": {
        "length": 20,
        "wrong_key": [9],
        "steps": [
            {"at": 2, "do": "garbage", "for": 10},
            {"at": 4, "do": "lose", "zone": "south", "for": 6},
        ],
    },
}  # fmt: skip


def play(folder: Path, name: str) -> dict:
    """Play a day; again where the machine stood still under it, as its clients and members saw."""
    for _ in range(3):
        day = once(folder, name)
        if max(day["delays"][who]["longest"] for who in ("clients", "members")) < TOO_SLOW:
            break
    return day


def once(folder: Path, name: str) -> dict:
    """Play a day in a process of its own, and return its result."""
    day = {"drivers": 9, "members": 9, "rate": 150, **DAYS[name]}
    day["settings"] = DAYS[name].get("settings", WARM)
    script, out = folder / f"{name}.yaml", folder / f"{name}.json"
    script.write_text(yaml.safe_dump(day))
    arguments = ["--script", str(script), "--json", str(out), "--keep", str(folder / name), "--slack", "1"]
    done = subprocess.run(
        [sys.executable, "-m", "sedgepitch", "fleet-scenario", *arguments],
        capture_output=True,
        text=True,
        timeout=300,
    )
    assert out.exists(), done.stderr
    return {**json.loads(out.read_text()), "code": done.returncode, "said": done.stdout}


@pytest.fixture(scope="module")
def days(tmp_path_factory) -> dict[str, dict]:
    """All days, four at a time."""
    folder = tmp_path_factory.mktemp("days")
    with ThreadPoolExecutor(4) as pool:
        return dict(zip(DAYS, pool.map(lambda name: play(folder, name), DAYS), strict=True))


def who(day: dict, state: str, zone: str = "south") -> set[str]:
    """The drivers that were ever in a state of a zone."""
    return {e["driver"] for e in day["events"] if (e["state"], e["zone"]) == (state, zone)}


def last(day: dict, zone: str = "south") -> dict[str, str]:
    """What each driver last said of a zone; normal where it never said anything."""
    return {e["driver"]: e["state"] for e in day["events"] if e["zone"] == zone}


@pytest.mark.parametrize("name", DAYS)
def test_the_five_rules_are_kept_on_each_day(days, name):
    assert days[name]["code"] == 0, days[name]["said"]
    assert days[name]["requests"] > 500


@pytest.mark.parametrize("name", DAYS)
def test_no_zone_that_was_well_is_left(days, name):
    troubled = {
        "two zones": {"south", "middle"},
        "liars": set(),
        "halves": {"north", "middle", "south"},
        "cut again": {"north"},
    }
    troubled = troubled.get(name, {"south"})
    assert {e["zone"] for e in days[name]["events"] if e["state"] in ("leaving", "left")} <= troubled


@pytest.mark.parametrize("name", ["lost", "one by one", "frozen", "relapse", "two zones"])
def test_a_lost_zone_is_left_by_all_and_all_are_on_their_way_back(days, name):
    assert len(who(days[name], "left")) >= MOST
    assert len(who(days[name], "returning")) >= MOST
    if name == "lost":
        assert set(last(days[name]).values()) <= {"normal", "suspected"}
    shares = [e["share"] for e in days[name]["events"] if e["state"] == "returning"]
    assert max(shares) < 0.2, "nobody is back at once"


def test_drivers_that_each_use_a_few_of_a_zone_s_ten_members_leave_it_together(days):
    """None of them knows enough of them alone: before members were named, nobody left (four plays)."""
    assert len(who(days["few each"], "left")) >= 3


def test_half_of_a_zone_is_no_zone(days):
    assert not who(days["half"], "left") and not who(days["half"], "leaving")


def test_a_zone_that_is_cut_off_from_one_is_left_by_that_one_alone_each_time_anew(days):
    left = who(days["cut again"], "left", "north")
    assert left and left <= MIDDLE


def test_a_slow_zone_is_left_in_part_and_never_wholly(days):
    assert len(who(days["slow"], "leaving")) >= 5
    assert all(e["share"] > 0 for e in days["slow"]["events"])


def test_most_drivers_killed_at_the_moment_of_loss_and_newcomers_meanwhile(days):
    day = days["killed"]
    assert len({"driver-7", "driver-8", "driver-9"} & who(day, "left")) >= 2


def test_who_was_frozen_accuses_nobody_and_then_does_as_the_others(days):
    events = days["frozen"]["events"]
    assert {e["zone"] for e in events if e["state"] == "left"} == {"south"}


def test_a_cut_between_the_drivers_alone_changes_nothing(days):
    assert not {e["driver"] for e in days["peers cut"]["events"] if e["state"] in ("leaving", "left")}


def test_an_order_reaches_all_over_a_cut_and_is_taken_back(days):
    day = days["order"]
    assert who(day, "leaving") == ALL and who(day, "returning") == ALL
    assert any("ordered by driver-1" in e["why"] for e in day["events"])


def test_a_second_loss_while_the_first_zone_returns(days):
    assert len(who(days["two zones"], "left", "middle")) >= MOST


def test_a_relapse_is_noticed_on_the_way_back(days):
    assert any("relapsed" in e["why"] for e in days["relapse"]["events"])


def test_of_two_halves_each_serves_on_with_its_own_zones(days):
    day = days["halves"]
    assert who(day, "left", "middle") | who(day, "left", "south") <= NORTH
    assert who(day, "left", "north") <= MIDDLE | SOUTH and who(day, "left", "north")


def test_a_zone_that_discovery_removes_is_nobody_s_to_leave(days):
    assert not [e for e in days["removed"]["events"] if e["state"] in ("leaving", "left", "returning")]


def test_liars_with_the_right_key_move_nobody_and_hold_nobody_back(days):
    assert not [e for e in days["liars"]["events"] if e["state"] != "suspected" and e["share"] < 1]
    assert any(e["state"] == "suspected" for e in days["liars"]["events"]), "nobody heard them"
    assert len(who(days["hold back"], "left")) >= MOST


def test_garbage_replays_and_a_wrong_key_hold_nobody_up(days):
    assert len(who(days["garbage"], "left") - {"driver-9"}) >= MOST


@pytest.mark.parametrize(
    "text, why",
    [
        ("steps: [{at: 1, do: lose, zone: west}]", "there is no zone 'west'"),
        ("steps: [{at: 1, do: lose}]", "needs a zone"),
        ("steps: [{at: 1, do: burst, once: left}]", "'once' needs a zone"),
        ("steps: [{at: 1, do: cut, from: north}]", "needs 'from' and 'to'"),
        ("steps: [{at: 1, do: dance}]", "steps.0.do"),
        ("steps: [{at: 1, do: kill, drivers: [99]}]", "drivers are 1 to 12"),
        ("length: 1e9", "length"),
        ("- 1", "valid dictionary"),
        ("a: [", "while parsing"),
    ],
)
def test_a_script_that_cannot_be_played_is_one_line(tmp_path, text, why):
    script = tmp_path / "script.yaml"
    script.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "sedgepitch", "fleet-scenario", "--script", str(script)],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 1 and "Traceback" not in done.stderr
    assert len(done.stderr.strip().splitlines()) == 1 and why in done.stderr, done.stderr
