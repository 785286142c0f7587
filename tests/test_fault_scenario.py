"""The bad day, short; and the audit's power to convict, planted culprits for each rule."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import yaml

SLACK = 1.0  # s; machines are shared, and a slow one must not change the verdict
DAYS = {
    1: {"troubles": [{"at": 0.2, "do": "drain", "member": n, "for": 60} for n in range(1, 7)]},
    2: {"troubles": [{"at": 0.2, "do": "reset", "member": "primary", "when": "write", "count": 40}]},
    3: {"troubles": [{"at": 0.1, "do": "drain", "member": "replica", "nth": 1, "for": 60}]},
    4: {
        "rate": 400,
        "troubles": [{"at": 0.05, "do": "crash", "member": "replica", "nth": 1, "for": 0.5}],
        "settings": {
            "rules": {"start_capacity": 0.02, "warm_within": "600 s"},
            "standins": {"start_capacity": 0.02, "warm_within": "600 s"},
        },
    },
    5: {"troubles": [{"at": 0.05, "do": "lag", "member": n, "factor": 4000, "for": 60} for n in range(2, 7)]},
    6: {"troubles": []},
    7: {"troubles": []},
    8: {
        "troubles": [
            {"at": at, "do": "lag", "member": n, "factor": 4000, "for": 60}
            for n, at in ((2, 0.1), (3, 0.25), (4, 0.4), (5, 0.55), (6, 0.7))
        ]
    },
}
BREAKS = {6: 1, 7: 1, 8: 5}  # the rule that a later culprit breaks; the first five go by their rule
STRICT = {8: 0.25}  # s of slack, where a read's own patience leaves no room for SLACK


def play(
    tmp_path: Path, day: dict | None, length: float, slack: float = SLACK, **environment: str
) -> tuple[int, dict]:
    """Play a day in a process of its own; returns its exit code and result."""
    arguments = [
        "fault-scenario",
        "--length",
        str(length),
        "--slack",
        str(slack),
        "--keep",
        str(tmp_path / "day"),
    ]
    if day is not None:
        script = tmp_path / "script.yaml"
        script.write_text(yaml.safe_dump(day))
        arguments += ["--script", str(script)]
    if environment:
        arguments += ["--driver-module", "tests.support.faulty_proxies"]
    result = tmp_path / "result.json"
    done = subprocess.run(
        [sys.executable, "-m", "sedgepitch", *arguments, "--json", str(result)],
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=300,
    )
    assert result.exists(), done.stderr
    return done.returncode, json.loads(result.read_text())


CASES = [(None, False), *((rule, True) for rule in DAYS), *((rule, False) for rule in (2, 4, 5))]


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """All days, side by side: each takes its whole length, and little of the machine."""

    def one(case: tuple[int | None, bool]) -> tuple[int, dict, Path]:
        rule, culprit = case
        place = places[case]
        environment = {"CULPRIT": str(rule)} if culprit else {}
        day = DAYS[rule] if rule else None
        slack = STRICT.get(rule, SLACK)
        return *play(place, day, 7.0 if rule else 14.0, slack, **environment), place

    places = {case: tmp_path_factory.mktemp("day") for case in CASES}
    with ThreadPoolExecutor(3) as pool:
        return dict(zip(CASES, pool.map(one, CASES), strict=True))


def test_the_bad_day_keeps_all_rules(played):
    code, result, place = played[None, False]
    assert [rule["told"] for rule in result["rules"]] == [[], [], [], [], []]
    assert code == 0
    assert all(rule["checked"] for rule in result["rules"])
    assert sum(row["in_time"] for row in result["classes"].values()) > 0
    for log in (place / "day").glob("*.log"):
        assert "Traceback" not in log.read_text(), log.name


@pytest.mark.parametrize("rule", sorted(DAYS))
def test_the_audit_convicts_a_driver_without_the_guard(played, rule):
    code, result, _ = played[rule, True]
    assert code == 1
    assert result["rules"][BREAKS.get(rule, rule) - 1]["broken"] > 0


@pytest.mark.parametrize("rule", [2, 4, 5])
def test_the_audit_acquits_the_true_driver_on_the_same_day(played, rule):
    code, result, _ = played[rule, False]
    assert [r["told"] for r in result["rules"]] == [[], [], [], [], []]
    assert code == 0
