"""`sedgepitch soak`: audits the platform's program under restarts, signals, crowds of clients and faults."""

from __future__ import annotations

import json
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from sedgepitch.scenarios.soak.script import SoakScript

BAD_INPUT = 2
COLUMN_HEADERS = ("seed", "steps", "requests", "served", "restarts", "broken", "proxy ms", "soak ms")
VIOLATIONS_SHOWN = 10  # for each seed


def seed_range(text: str) -> range:
    """Parse a seed such as "3" or a range such as "1-50"; raises ScenarioError."""
    from sedgepitch.scenarios.errors import ScenarioError

    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        raise ScenarioError(f"seeds '{text}': not a number or a range such as 1-50") from None
    if not seeds:
        raise ScenarioError(f"seeds '{text}': an empty range")
    return seeds


@click.command()
@click.option("--seeds", default="1", show_default=True, help="One seed or a range such as 1-50.")
@click.option("--length", default=60.0, show_default=True, type=float, help="Seconds of load for each seed.")
@click.option("--crowd", is_flag=True, help="A crowd of clients on every seed, not on a third of them.")
@click.option("--until", type=int, help="Run only this many steps from the start.")
@click.option(
    "--at-once", default=1, show_default=True, type=click.IntRange(1, 32), help="Number of concurrent runs."
)
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="Write the results there.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep records and logs in this directory.")
def soak(
    seeds: str,
    length: float,
    crowd: bool,
    until: int | None,
    at_once: int,
    json_path: str | None,
    keep: str | None,
) -> None:
    """Run the platform's program under restarts, signals, crowds of clients and faults; audit the records."""
    from sedgepitch.scenarios.errors import ScenarioError
    from sedgepitch.scenarios.soak.script import draw_script

    try:
        scripts = [draw_script(seed, length, crowd) for seed in seed_range(seeds)]
        if until is not None:
            scripts = [script.until(until) for script in scripts]
    except ScenarioError as error:
        click.echo(f"sedgepitch soak: {error}", err=True)
        sys.exit(BAD_INPUT)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            results = _run_all(scripts, Path(keep or temporary), at_once)
        except ScenarioError as error:
            raise click.ClickException(str(error)) from None
    if json_path:
        Path(json_path).write_text(json.dumps(results, indent=1), encoding="utf-8")
    failed = sum(not result["passed"] for result in results)
    click.echo(f"{len(results) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _run_all(scripts: list[SoakScript], directory: Path, at_once: int) -> list[dict[str, Any]]:
    click.echo(_row(COLUMN_HEADERS))
    results = []
    with ProcessPoolExecutor(at_once) as pool:
        for result in pool.map(_run_one, scripts, [directory] * len(scripts)):
            _print_result(result)
            results.append(result)
    return results


def _run_one(script: SoakScript, directory: Path) -> dict[str, Any]:
    from sedgepitch.scenarios.soak.runner import SoakRun

    return SoakRun(script, directory / f"seed-{script.seed}").run().as_dict()


def _print_result(result: dict[str, Any]) -> None:
    """Print one seed's row and its first violations."""
    violations = [text for rule in result["rules"] for text in rule["told"]] + result["violations"]
    broken = sum(rule["broken"] for rule in result["rules"]) + len(result["violations"])
    delays = [round(1000 * result[name]) for name in ("proxy_delay_s", "own_delay_s")]
    counts = [result["requests"], result["served"], result["restarts"], broken]
    click.echo(_row((result["seed"], len(result["steps"]), *counts, *delays)))
    for text in violations[:VIOLATIONS_SHOWN]:
        click.echo(f"    {text}")


def _row(cells: tuple[Any, ...]) -> str:
    return "".join(f"{cell!s:>10}" for cell in cells)
