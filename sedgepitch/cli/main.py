"""The entry point of the command line. Each command or command group has a module of its own."""

from __future__ import annotations

from typing import Any

import click

from sedgepitch.cli.admission import admission
from sedgepitch.cli.config import config
from sedgepitch.cli.emulator import emulator
from sedgepitch.cli.peers import peers
from sedgepitch.cli.scenarios import fault_scenario, fleet_scenario
from sedgepitch.cli.serve import serve
from sedgepitch.cli.soak import soak
from sedgepitch.cli.zones import zone

FORMER_NAMES = {
    "badday": fault_scenario,
    "fleetday": fleet_scenario,
    "standins": emulator,
    "door": admission,
}


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option("0.2.0", prog_name="sedgepitch")
def main() -> None:
    """A database proxy that splits reads and writes across a primary and its replicas."""


def _add_alias(former_name: str, command: click.Command) -> None:
    """Keep a command's former name for one release, as a hidden alias that warns on standard error."""

    def invoke(**arguments: Any) -> Any:
        click.echo(f"sedgepitch: '{former_name}' is now '{command.name}'", err=True)
        return command.callback(**arguments) if command.callback else None

    main.add_command(
        click.Command(former_name, params=command.params, callback=invoke, help=command.help, hidden=True)
    )


for _command in (serve, emulator, fault_scenario, fleet_scenario, soak, admission, peers, zone, config):
    main.add_command(_command)
for _former_name, _command in FORMER_NAMES.items():
    _add_alias(_former_name, _command)
