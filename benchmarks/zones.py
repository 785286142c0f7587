"""Benchmarks zone failover and recovery: with gossip, without, and with immediate notice from discovery.

`python -m benchmarks.zones {leave,return,false,cost} [--seeds 3] [--at-once 2] [--drivers 12] [--rate R]`:
processes on loopback by `sedgepitch fleet-scenario`. All modes in a table run the same scenarios and seeds.

leave   one of three zones stops answering for 8 s: when instances left it, how many requests were still sent
        there, and the share of requests served in time, by priority weight (value)
return  a zone crashes and restarts: when it was in full use again, which servers were overloaded
false   scenarios in which no zone should be left: calm, overload, a faulty endpoint, a Byzantine instance
cost    processor time of an instance in calm scenarios, with gossip (together) and without (alone)
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import mean
from typing import Any

import yaml

Scenario = dict[str, Any]  # a script of `sedgepitch fleet-scenario`, as in its YAML
Result = dict[str, Any]  # the JSON that it writes

BASE: Scenario = {"drivers": 12, "members": 9, "rate": 240}
LEAVE_SCENARIO = {**BASE, "length": 24, "steps": [{"at": 5, "do": "lose", "zone": "south", "for": 8}]}
# Endpoints are slow enough that a cold start is visible, and are overloaded by the rules' definition.
COLD_START_SCENARIO = {
    **BASE,
    "length": 22,
    "rate": 420,
    "settings": {
        "standins": {"read_work": {"least": "10 ms", "most": "20 ms"}, "cores": 2, "start_capacity": 0.1},
        "rules": {"start_capacity": 0.1},
    },
    "steps": [{"at": 4, "do": "crash", "zone": "south", "for": 4}],
}
FALSE_LEAVE_SCENARIOS = {
    "calm": {**BASE, "length": 20, "steps": []},
    "overload": {
        **BASE,
        "length": 20,
        "settings": {"standins": {"read_work": {"least": "15 ms", "most": "30 ms"}, "cores": 1}},
        "steps": [{"at": 4, "do": "burst", "factor": 3, "for": 8}],
    },
    "faulty endpoint": {
        **BASE,
        "length": 20,
        "steps": [{"at": 4, "do": "slow", "zone": "south", "part": 0.34, "factor": 20, "for": 8}],
    },
    "byzantine": {
        **BASE,
        "length": 20,
        "beside": ["-m tests.support.byzantine_peer {name} {key} north lost {seed}"],
        "steps": [],
    },
}
MODES = {"together": [], "alone": ["--alone"], "notified at once": ["--told"]}


def run_scenario(scenario: Scenario, seed: int, *flags: str) -> Result:
    """Run one scenario in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        script, out = Path(folder) / "scenario.yaml", Path(folder) / "result.json"
        script.write_text(yaml.safe_dump(scenario))
        arguments = ["--script", str(script), "--json", str(out), "--seed", str(seed), *flags]
        completed = subprocess.run(
            [sys.executable, "-m", "sedgepitch", "fleet-scenario", *arguments], capture_output=True, text=True
        )
        if not out.exists():
            raise SystemExit(completed.stderr.strip() or completed.stdout[-500:])
        return {**json.loads(out.read_text()), "broken": completed.returncode}


def figure(rows: list[Result], name: str) -> str:
    """Return the mean of one figure over the seeds, and its maximum in brackets."""
    values = [r[name] for r in rows if r[name] is not None]
    return f"{mean(values):.2f} ({max(values):.2f})" if values else "-"


def compare(scenario: Scenario, seeds: int, at_once: int, columns: dict[str, str]) -> None:
    """Print one row per mode: means over the seeds, maxima in brackets."""
    jobs = [(mode, seed) for seed in range(1, seeds + 1) for mode in MODES]
    with ThreadPoolExecutor(at_once) as pool:
        played = list(pool.map(lambda job: run_scenario(scenario, job[1], *MODES[job[0]]), jobs))
    print("| mode | " + " | ".join(columns.values()) + " | spread of leaving s | overloaded | rules broken |")
    print("| --- |" + " --- |" * (len(columns) + 3))
    for mode in MODES:
        results = [result for (m, _), result in zip(jobs, played, strict=True) if m == mode]
        rows = [result["zones"][0] for result in results]
        spread = [r["last_left_s"] - r["first_left_s"] for r in rows if r["last_left_s"] is not None]
        overloaded = sum("fell over" in text for result in results for text in violations(result))
        cells = [figure(rows, name) for name in columns]
        spread_text = f"{mean(spread):.2f} ({max(spread):.2f})" if spread else "-"
        broken = sum(result["broken"] for result in results)
        print(f"| {mode} | " + " | ".join(cells) + f" | {spread_text} | {overloaded} | {broken} |")


def violations(result: Result) -> list[str]:
    """Return the texts of all rule violations in a scenario."""
    return [text for rule in result["rules"] for text in rule["told"]]


def false_leaves(seeds: int, at_once: int) -> None:
    """Print the results of the scenarios in which no zone should be left."""
    jobs = [(name, seed) for name in FALSE_LEAVE_SCENARIOS for seed in range(1, seeds + 1)]
    with ThreadPoolExecutor(at_once) as pool:
        played = list(pool.map(lambda job: run_scenario(FALSE_LEAVE_SCENARIOS[job[0]], job[1]), jobs))
    print("| scenario | played | suspected | leaving or left | rules broken | share of a core per instance |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name in FALSE_LEAVE_SCENARIOS:
        results = [result for (n, _), result in zip(jobs, played, strict=True) if n == name]
        events = [event for result in results for event in result["events"]]
        left_count = sum(event["state"] in ("leaving", "left") for event in events)
        suspected = sum(event["state"] == "suspected" for event in events)
        broken = sum(result["broken"] for result in results)
        cores = mean(result["cores"] for result in results)
        print(f"| {name} | {len(results)} | {suspected} | {left_count} | {broken} | {cores:.2%} |")


def cost(seeds: int, at_once: int) -> None:
    """Print the processor time of an instance in calm scenarios, with gossip and without."""
    jobs = [(mode, seed) for seed in range(1, seeds + 1) for mode in ("together", "alone")]
    calm = FALSE_LEAVE_SCENARIOS["calm"]
    with ThreadPoolExecutor(at_once) as pool:
        played = list(pool.map(lambda job: run_scenario(calm, job[1], *MODES[job[0]])["cores"], jobs))
    cores = {
        selected: mean(share for (mode, _), share in zip(jobs, played, strict=True) if mode == selected)
        for selected in ("together", "alone")
    }
    print(f"share of a core per instance, calm: together {cores['together']:.2%}, alone {cores['alone']:.2%}")


def main() -> None:
    """Run the selected benchmark and print its table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("leave", "return", "false", "cost"))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--drivers", type=int, default=12)
    parser.add_argument(
        "--rate", type=float, help="requests a second over all instances, instead of the scenario's"
    )
    options = parser.parse_args()
    for scenario in (LEAVE_SCENARIO, COLD_START_SCENARIO, *FALSE_LEAVE_SCENARIOS.values()):
        scenario["drivers"] = options.drivers
        scenario["rate"] = options.rate or scenario["rate"]
    if options.what in ("false", "cost"):
        (false_leaves if options.what == "false" else cost)(options.seeds, options.at_once)
        return
    columns = {
        "first_left_s": "first left s",
        "last_left_s": "last left s",
        "sent_in_vain": "sent in vain",
        "in_vain_95_s": "95 % of it by s",
        "worth_before": "value before",
        "worth_during": "during",
        "worth_after": "6 s after",
        "back_last_s": "last in full use s after",
    }
    scenario = LEAVE_SCENARIO if options.what == "leave" else COLD_START_SCENARIO
    compare(scenario, options.seeds, options.at_once, columns)


if __name__ == "__main__":
    main()
