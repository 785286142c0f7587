"""Many bad days, several at once: rules, tracebacks and how late each kind of process was.

`python -m benchmarks.fault_scenarios [--days 60] [--at-once 6] [--first-seed 1] [--burners 0] [--length 40]`.
Each day is a process of its own with its own seed; with burners each driver shares a core with that many
processes that only compute. Ends by itself; exit code 1 where a rule broke or a log holds a traceback.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from typing import Any

import click


def play(seed: int, length: float, burners: int, root: Path) -> dict[str, Any]:
    """Play one day; returns its result with `tracebacks`, or with `error` where it could not be played."""
    place = root / str(seed)
    result = root / f"{seed}.json"
    arguments = ["fault-scenario", "--seed", str(seed), "--length", str(length), "--burners", str(burners)]
    done = subprocess.run(
        [sys.executable, "-m", "sedgepitch", *arguments, "--keep", str(place), "--json", str(result)],
        capture_output=True,
        text=True,
        timeout=length * 4 + 240,
    )
    if not result.exists():
        return {"seed": seed, "error": (done.stderr.strip().splitlines() or ["ended without a word"])[-1]}
    out: dict[str, Any] = json.loads(result.read_text())
    logs = [log.read_text(errors="replace") for log in place.glob("*.log")]
    out["tracebacks"] = sum(text.count("Traceback") for text in logs)
    return out


def rows(results: Iterator[dict[str, Any]]) -> Iterator[tuple[str, dict[str, Any]]]:
    """Tell each day in a line as it ends."""
    for day in results:
        if "error" in day:
            yield f"seed {day['seed']:>4}: not played: {day['error']}", day
            continue
        broken = [
            f"rule {r['rule']} {r['broken']} times ({r['told'][0]})" for r in day["rules"] if r["broken"]
        ]
        asked = sum(c["asked"] for c in day["classes"].values())
        in_time = sum(c["in_time"] for c in day["classes"].values())
        late = ", ".join(f"{who} {row['longest'] * 1000:.0f}" for who, row in sorted(day["delays"].items()))
        verdict = "; ".join(broken) or "all rules kept"
        text = (
            f"seed {day['seed']:>4}: {verdict}; {day['tracebacks']} tracebacks; {in_time / asked:.2f} in time"
        )
        yield f"{text}; latest ms: {late}", day


@click.command()
@click.option("--days", default=60, show_default=True, type=click.IntRange(1, 1000))
@click.option("--at-once", default=6, show_default=True, type=click.IntRange(1, 32))
@click.option("--first-seed", default=1, show_default=True, type=int)
@click.option("--burners", default=0, show_default=True, type=click.IntRange(0, 16))
@click.option("--length", default=40.0, show_default=True, type=click.FloatRange(2, 600))
def main(days: int, at_once: int, first_seed: int, burners: int, length: float) -> None:
    """Play the days and print a line a day and a summary."""
    began = time.monotonic()
    broken = tracebacks = played = 0
    latest: dict[str, float] = {}
    told: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as scratch, ThreadPoolExecutor(at_once) as pool:
        seeds = range(first_seed, first_seed + days)
        futures = [pool.submit(play, seed, length, burners, Path(scratch)) for seed in seeds]
        for line, day in rows(f.result() for f in as_completed(futures)):
            click.echo(line)
            if "error" in day:
                continue
            played += 1
            broken += any(rule["broken"] for rule in day["rules"])
            tracebacks += day["tracebacks"]
            for who, row in day["delays"].items():
                latest[who] = max(latest.get(who, 0.0), row["longest"])
            for name in ("too_slow", "hurried", "overdue", "faults"):
                told[name] = told.get(name, 0) + day["delays"].get("drivers", {}).get(name, 0)
    hours = (time.monotonic() - began) / 3600.0
    click.echo(
        f"{played} of {days} days, {at_once} at once, {burners} burners a driver: "
        f"{broken} with a rule broken, {tracebacks} tracebacks; {played / hours:.0f} days an hour"
    )
    click.echo("latest, ms: " + ", ".join(f"{who} {x * 1000:.0f}" for who, x in sorted(latest.items())))
    click.echo("drivers, in all days: " + ", ".join(f"{n:g} {name}" for name, n in told.items()))
    sys.exit(1 if broken or tracebacks or played < days else 0)


if __name__ == "__main__":
    main()
