"""`sedgepitch fault-scenario` and `fleet-scenario`: scripted faults on loopback, checked by the audit."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click


@click.command()
@click.option("--seed", default=1, show_default=True, type=int, help="Random seed of traffic and faults.")
@click.option("--length", default=40.0, show_default=True, type=click.FloatRange(2, 600), help="Seconds.")
@click.option("--script", type=click.Path(exists=True, dir_okay=False), help="Fault script (YAML).")
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="Write the result there.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep records and logs in this directory.")
@click.option("--driver-module", default="sedgepitch", hidden=True, help="Python module to run as the proxy.")
@click.option(
    "--slack", default=0.25, show_default=True, type=float, help="Time tolerance of the audit, in seconds."
)
@click.option("--burners", default=0, type=click.IntRange(0, 16), help="Busy processes on each proxy's core.")
def fault_scenario(
    seed: int,
    length: float,
    script: str | None,
    json_path: str | None,
    keep: str | None,
    driver_module: str,
    slack: float,
    burners: int,
) -> None:
    """Run a fault scenario on loopback sockets and check the five rules on the recorded traffic."""
    from sedgepitch.scenarios.fault_scenario import FaultScenario
    from sedgepitch.scenarios.report import table

    _run_scenario(
        lambda: FaultScenario(
            seed, length, script, keep, driver_module, slack=slack, cpu_load_processes=burners
        ),
        table,
        json_path,
    )


def _run_scenario(
    make: Callable[[], Any], table: Callable[[dict[str, Any]], str], json_path: str | None
) -> None:
    """Run a scenario and print its result; exits with 1 if a rule was violated."""
    from sedgepitch.scenarios.errors import ScenarioError

    try:
        result = make().run(progress=sys.stderr.isatty())
    except ScenarioError as error:
        raise click.ClickException(str(error)) from None
    click.echo(table(result))
    if json_path:
        Path(json_path).write_text(json.dumps(result, indent=1), encoding="utf-8")
    sys.exit(1 if any(rule["broken"] for rule in result["rules"]) else 0)


@click.command()
@click.option("--script", type=click.Path(exists=True, dir_okay=False), help="Scenario script (YAML).")
@click.option("--seed", default=1, show_default=True, type=int, help="Random seed of traffic.")
@click.option("--drivers", type=click.IntRange(1, 64), help="Number of proxies; overrides the script's.")
@click.option("--alone", is_flag=True, help="Run without gossip between proxies.")
@click.option("--told", is_flag=True, help="Baseline for comparison: discovery reports a lost zone at once.")
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="Write the result there.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep records and logs in this directory.")
@click.option(
    "--slack", default=0.25, show_default=True, type=float, help="Time tolerance of the audit, in seconds."
)
def fleet_scenario(
    script: str | None,
    seed: int,
    drivers: int | None,
    alone: bool,
    told: bool,
    json_path: str | None,
    keep: str | None,
    slack: float,
) -> None:
    """Run many proxies and servers in zones; check the rules and zone failover from the records."""
    from sedgepitch.scenarios.fleet_scenario import FleetScenario
    from sedgepitch.scenarios.fleet_script import read_script
    from sedgepitch.scenarios.report import fleet_table

    _run_scenario(
        lambda: FleetScenario(read_script(script), seed, not alone and not told, told, keep, drivers, slack),
        fleet_table,
        json_path,
    )
