"""Zones lost and come back to: together with peers, each driver alone, and told at once by discovery.

`python -m benchmarks.zones {leave,return,false,cost} [--seeds 3] [--at-once 2] [--drivers 12] [--rate R]`:
processes on loopback by `sedgepitch fleetday`. Within a table all ways play the same days and seeds.

leave   a zone of three goes silent for 8 s: when drivers left it, what was still sent there, worth in time
return  a zone crashes and starts cold: when it was used in full again, what fell over
false   days on which no zone is to be left: calm, overload, one sick member, one liar
cost    processor time of a driver on calm days, together and alone
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

BASE: dict[str, Any] = {"drivers": 12, "members": 9, "rate": 240}
LEAVE = {**BASE, "length": 24, "steps": [{"at": 5, "do": "lose", "zone": "south", "for": 8}]}
# Members are slow enough that a zone's start is felt, and fall over as the rules state.
COLD = {
    **BASE,
    "length": 22,
    "rate": 420,
    "settings": {
        "standins": {"read_work": {"least": "10 ms", "most": "20 ms"}, "cores": 2, "start_capacity": 0.1},
        "rules": {"start_capacity": 0.1},
    },
    "steps": [{"at": 4, "do": "crash", "zone": "south", "for": 4}],
}
FALSE = {
    "calm": {**BASE, "length": 20, "steps": []},
    "overload": {
        **BASE,
        "length": 20,
        "settings": {"standins": {"read_work": {"least": "15 ms", "most": "30 ms"}, "cores": 1}},
        "steps": [{"at": 4, "do": "burst", "factor": 3, "for": 8}],
    },
    "sick member": {
        **BASE,
        "length": 20,
        "steps": [{"at": 4, "do": "slow", "zone": "south", "part": 0.34, "factor": 20, "for": 8}],
    },
    "liar": {
        **BASE,
        "length": 20,
        "beside": ["-m tests.support.byzantine_peer {name} {key} north lost {seed}"],
        "steps": [],
    },
}
WAYS = {"together": [], "alone": ["--alone"], "told at once": ["--told"]}


def play(day: dict[str, Any], seed: int, *flags: str) -> dict[str, Any]:
    """One day in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        script, out = Path(folder) / "day.yaml", Path(folder) / "day.json"
        script.write_text(yaml.safe_dump(day))
        arguments = ["--script", str(script), "--json", str(out), "--seed", str(seed), *flags]
        done = subprocess.run(
            [sys.executable, "-m", "sedgepitch", "fleet-scenario", *arguments], capture_output=True, text=True
        )
        if not out.exists():
            raise SystemExit(done.stderr.strip() or done.stdout[-500:])
        return {**json.loads(out.read_text()), "broken": done.returncode}


def figure(rows: list[dict[str, Any]], name: str) -> str:
    """The mean of one figure over seeds, with its largest."""
    values = [r[name] for r in rows if r[name] is not None]
    return f"{mean(values):.2f} ({max(values):.2f})" if values else "-"


def compare(day: dict[str, Any], seeds: int, at_once: int, columns: dict[str, str]) -> None:
    """One row a way: means over seeds, the largest in brackets."""
    jobs = [(way, seed) for seed in range(1, seeds + 1) for way in WAYS]
    with ThreadPoolExecutor(at_once) as pool:
        played = list(pool.map(lambda job: play(day, job[1], *WAYS[job[0]]), jobs))
    print("| way | " + " | ".join(columns.values()) + " | spread of leaving s | fallen over | rules broken |")
    print("| --- |" + " --- |" * (len(columns) + 3))
    for way in WAYS:
        days = [d for (w, _), d in zip(jobs, played, strict=True) if w == way]
        rows = [d["zones"][0] for d in days]
        spread = [r["last_left_s"] - r["first_left_s"] for r in rows if r["last_left_s"] is not None]
        fell = sum(1 for d in days for r in d["rules"] for text in r["told"] if "fell over" in text)
        cells = [figure(rows, name) for name in columns]
        told = f"{mean(spread):.2f} ({max(spread):.2f})" if spread else "-"
        print(f"| {way} | " + " | ".join(cells) + f" | {told} | {fell} | {sum(d['broken'] for d in days)} |")


def false_leaves(seeds: int, at_once: int) -> None:
    """Days on which no zone is to be left."""
    jobs = [(name, seed) for name in FALSE for seed in range(1, seeds + 1)]
    with ThreadPoolExecutor(at_once) as pool:
        played = list(pool.map(lambda job: play(FALSE[job[0]], job[1]), jobs))
    print("| days of | played | suspected | left or begun to | rules broken | of a core a driver |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name in FALSE:
        days = [d for (n, _), d in zip(jobs, played, strict=True) if n == name]
        events = [e for d in days for e in d["events"]]
        left = sum(e["state"] in ("leaving", "left") for e in events)
        suspected = sum(e["state"] == "suspected" for e in events)
        broken, cores = sum(d["broken"] for d in days), mean(d["cores"] for d in days)
        print(f"| {name} | {len(days)} | {suspected} | {left} | {broken} | {cores:.2%} |")


def cost(seeds: int, at_once: int) -> None:
    """Processor time of a driver on calm days, with zones and peers, and alone."""
    jobs = [(way, seed) for seed in range(1, seeds + 1) for way in ("together", "alone")]
    with ThreadPoolExecutor(at_once) as pool:
        played = list(pool.map(lambda job: play(FALSE["calm"], job[1], *WAYS[job[0]])["cores"], jobs))
    shares = {
        w: mean(c for (way, _), c in zip(jobs, played, strict=True) if way == w)
        for w in ("together", "alone")
    }
    print(f"of a core a driver, calm: together {shares['together']:.2%}, alone {shares['alone']:.2%}")


def main() -> None:
    """Print one table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("leave", "return", "false", "cost"))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--drivers", type=int, default=12)
    parser.add_argument("--rate", type=float, help="requests a second over all drivers, instead of the day's")
    told = parser.parse_args()
    for day in (LEAVE, COLD, *FALSE.values()):
        day["drivers"] = told.drivers
        day["rate"] = told.rate or day["rate"]
    if told.what in ("false", "cost"):
        (false_leaves if told.what == "false" else cost)(told.seeds, told.at_once)
        return
    columns = {
        "first_left_s": "first left s",
        "last_left_s": "last left s",
        "sent_in_vain": "sent in vain",
        "in_vain_95_s": "95 % of it by s",
        "worth_before": "worth before",
        "worth_during": "during",
        "worth_after": "6 s after",
        "back_last_s": "last in full use s after",
    }
    compare(LEAVE if told.what == "leave" else COLD, told.seeds, told.at_once, columns)


if __name__ == "__main__":
    main()
