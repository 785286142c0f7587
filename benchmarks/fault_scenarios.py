"""Runs many fault scenarios and reports broken rules, tracebacks and the delays of each kind of process.

`python -m benchmarks.fault_scenarios [--days 60] [--at-once 6] [--first-seed 1] [--burners 0] [--length 40]`.
Runs `--days` scenarios, `--at-once` of them concurrently, each a process of its own with its own seed. With
`--burners`, each proxy shares a core with that many busy processes. Exits with 1 if a rule was broken, a log
has a traceback or a scenario did not run.
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


def run_scenario(seed: int, length: float, burners: int, root: Path) -> dict[str, Any]:
    """Run one scenario; returns its result with `tracebacks`, or `error` if it did not run."""
    directory = root / str(seed)
    result_path = root / f"{seed}.json"
    arguments = ["fault-scenario", "--seed", str(seed), "--length", str(length), "--burners", str(burners)]
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "sedgepitch",
            *arguments,
            "--keep",
            str(directory),
            "--json",
            str(result_path),
        ],
        capture_output=True,
        text=True,
        timeout=length * 4 + 240,
    )
    if not result_path.exists():
        return {
            "seed": seed,
            "error": (completed.stderr.strip().splitlines() or ["ended without output on standard error"])[
                -1
            ],
        }
    result: dict[str, Any] = json.loads(result_path.read_text())
    logs = [log.read_text(errors="replace") for log in directory.glob("*.log")]
    result["tracebacks"] = sum(text.count("Traceback") for text in logs)
    return result


def rows(results: Iterator[dict[str, Any]]) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield one line of text for each scenario as it ends, with its result."""
    for result in results:
        if "error" in result:
            yield f"seed {result['seed']:>4}: did not run: {result['error']}", result
            continue
        broken = [
            f"rule {r['rule']} {r['broken']} times ({r['told'][0]})" for r in result["rules"] if r["broken"]
        ]
        asked = sum(c["asked"] for c in result["classes"].values())
        in_time = sum(c["in_time"] for c in result["classes"].values())
        delays = ", ".join(
            f"{process} {row['longest'] * 1000:.0f}" for process, row in sorted(result["delays"].items())
        )
        verdict = "; ".join(broken) or "no rule broken"
        text = (
            f"seed {result['seed']:>4}: {verdict}; {result['tracebacks']} tracebacks;"
            f" {in_time / asked:.2f} in time"
        )
        yield f"{text}; longest delay ms: {delays}", result


@click.command()
@click.option("--days", default=60, show_default=True, type=click.IntRange(1, 1000))
@click.option("--at-once", default=6, show_default=True, type=click.IntRange(1, 32))
@click.option("--first-seed", default=1, show_default=True, type=int)
@click.option("--burners", default=0, show_default=True, type=click.IntRange(0, 16))
@click.option("--length", default=40.0, show_default=True, type=click.FloatRange(2, 600))
def main(days: int, at_once: int, first_seed: int, burners: int, length: float) -> None:
    """Run the scenarios and print a line for each and a summary."""
    began = time.monotonic()
    broken = tracebacks = completed = 0
    longest_delays: dict[str, float] = {}
    proxy_counts: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as scratch, ThreadPoolExecutor(at_once) as pool:
        seeds = range(first_seed, first_seed + days)
        futures = [pool.submit(run_scenario, seed, length, burners, Path(scratch)) for seed in seeds]
        for line, result in rows(f.result() for f in as_completed(futures)):
            click.echo(line)
            if "error" in result:
                continue
            completed += 1
            broken += any(rule["broken"] for rule in result["rules"])
            tracebacks += result["tracebacks"]
            for process, row in result["delays"].items():
                longest_delays[process] = max(longest_delays.get(process, 0.0), row["longest"])
            for name in ("too_slow", "hurried", "overdue", "faults"):
                proxy_counts[name] = proxy_counts.get(name, 0) + result["delays"].get("drivers", {}).get(
                    name, 0
                )
    hours = (time.monotonic() - began) / 3600.0
    click.echo(
        f"{completed} of {days} scenarios, {at_once} at once, {burners} busy processes per proxy: "
        f"{broken} with a rule broken, {tracebacks} tracebacks; {completed / hours:.0f} scenarios per hour"
    )
    click.echo(
        "longest delays, ms: "
        + ", ".join(f"{process} {x * 1000:.0f}" for process, x in sorted(longest_delays.items()))
    )
    click.echo("proxies, in all scenarios: " + ", ".join(f"{n:g} {name}" for name, n in proxy_counts.items()))
    sys.exit(1 if broken or tracebacks or completed < days else 0)


if __name__ == "__main__":
    main()
