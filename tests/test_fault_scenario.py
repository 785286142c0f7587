"""The default fault scenario in short, and proxies with one guard removed that the audit must detect."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import yaml

SLACK = 1.0  # s; a slow, shared machine must not change the verdict
SCENARIOS = {  # by proxy fault
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
# Proxy faults 1 to 5 break the rule of the same number; these are the rules that 6 to 8 break.
BROKEN_RULE = {6: 1, 7: 1, 8: 5}
STRICT_SLACK = {8: 0.25}  # s, by proxy fault; with SLACK, the reads' time-outs would hide the violation


def run_scenario(
    tmp_path: Path, script: dict | None, length: float, slack: float = SLACK, **environment: str
) -> tuple[int, dict]:
    """Run a fault scenario in its own process; return its exit code and result."""
    arguments = [
        "fault-scenario",
        "--length",
        str(length),
        "--slack",
        str(slack),
        "--keep",
        str(tmp_path / "scenario"),
    ]
    if script is not None:
        script_file = tmp_path / "script.yaml"
        script_file.write_text(yaml.safe_dump(script))
        arguments += ["--script", str(script_file)]
    if environment:
        arguments += ["--driver-module", "tests.support.faulty_proxies"]
    result = tmp_path / "result.json"
    completed = subprocess.run(
        [sys.executable, "-m", "sedgepitch", *arguments, "--json", str(result)],
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=300,
    )
    assert result.exists(), completed.stderr
    return completed.returncode, json.loads(result.read_text())


CASES = [(None, False), *((fault, True) for fault in SCENARIOS), *((fault, False) for fault in (2, 4, 5))]


@pytest.fixture(scope="module")
def results(tmp_path_factory):
    """Run all scenarios, three at a time: each takes its full length, but little processor time."""

    def run_case(case: tuple[int | None, bool]) -> tuple[int, dict, Path]:
        fault, faulty = case
        folder = folders[case]
        environment = {"PROXY_FAULT": str(fault)} if faulty else {}
        script = SCENARIOS[fault] if fault else None
        slack = STRICT_SLACK.get(fault, SLACK)
        return *run_scenario(folder, script, 7.0 if fault else 14.0, slack, **environment), folder

    folders = {case: tmp_path_factory.mktemp("scenario") for case in CASES}
    with ThreadPoolExecutor(3) as pool:
        return dict(zip(CASES, pool.map(run_case, CASES), strict=True))


def test_the_default_scenario_breaks_no_rule(results):
    code, result, folder = results[None, False]
    assert [rule["told"] for rule in result["rules"]] == [[], [], [], [], []]
    assert code == 0
    assert all(rule["checked"] for rule in result["rules"])
    assert sum(row["in_time"] for row in result["classes"].values()) > 0
    for log in (folder / "scenario").glob("*.log"):
        assert "Traceback" not in log.read_text(), log.name


@pytest.mark.parametrize("fault", sorted(SCENARIOS))
def test_the_audit_detects_a_proxy_without_the_guard(results, fault):
    code, result, _ = results[fault, True]
    assert code == 1
    assert result["rules"][BROKEN_RULE.get(fault, fault) - 1]["broken"] > 0


@pytest.mark.parametrize("fault", [2, 4, 5])
def test_the_audit_passes_the_unmodified_proxy_in_the_same_scenario(results, fault):
    code, result, _ = results[fault, False]
    assert [r["told"] for r in result["rules"]] == [[], [], [], [], []]
    assert code == 0
