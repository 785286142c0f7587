"""`sedgepitch zone`: the state of zones in a running proxy, and operator commands on them."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from typing import Any

import click

from sedgepitch.cli.options import CONFIG, STATE_TIMEOUT_S, fetch_state, load_settings

POLL_INTERVAL_S = 0.1


@click.group()
def zone() -> None:
    """Zone failover, where the settings have a part 'zones'."""


def _fetch_zones(path: str) -> dict[str, Any]:
    state = fetch_state(path, "zones")
    if "zones" not in state:
        raise click.ClickException(f"the driver {state['driver']} keeps no zones together with others")
    return state


@zone.command("status")
@CONFIG
def zone_status(path: str) -> None:
    """Show how a running proxy uses each zone and why, every instance's votes, and operator commands."""
    state = _fetch_zones(path)
    click.echo(f"{state['name']}, in zone '{state['zone']}'")
    for row in state["zones"]:
        why = f"  {row['why']}" if row["why"] else ""
        click.echo(f"  {row['zone']:24} {row['state']:10} {row['share']:6.0%} for {row['for_s']:8.1f} s{why}")
    for row in state["drivers"]:
        all_down = row["all_it_uses_is_down"]
        votes = [
            f"{zone_name} {'its few are down' if zone_name in all_down else vote}"
            for zone_name, vote in row["votes"].items()
        ]
        said = ", ".join(votes) or "nothing"
        fit = "" if row["fit"] else " (does not judge now)"
        click.echo(
            f"  {row['name']:24} of '{row['zone']}', {row['demand']:.1f} requests/s,"
            f" {row['age_s']:.1f} s ago: {said}{fit}"
        )
    for row in state["orders"]:
        missing = f"; not known to have reached {', '.join(row['missing'])}" if row["missing"] else ""
        click.echo(
            f"  order {row['number']} by {row['by']}: {row['what']} {row['zone']},"
            f" reached {len(row['reached'])}{missing}"
        )


def _send_command(path: str, zone_name: str, action: str, within_s: float) -> dict[str, Any]:
    """Give one operator command to the running proxy; returns its number and author.

    Raises ClickException where the proxy refuses it or does not answer.
    """
    settings = load_settings(path)
    number = _fetch_zones(path)["number"]
    if settings.peers is None or settings.metrics is None:
        raise click.ClickException(f"{path}: an order needs the parts 'peers' and 'metrics'")
    from sedgepitch.peers.keys import KeyFileError, load_keys

    try:
        authenticator = load_keys(settings.peers.key_file)
    except KeyFileError as error:
        raise click.ClickException(str(error)) from None
    command = {"zone": zone_name, "what": action, "within": within_s, "number": number}
    host, port = settings.metrics
    try:
        request = urllib.request.Request(
            f"http://{host}:{port}/zones",
            data=authenticator.seal(json.dumps(command).encode()),
            method="POST",
        )
        with urllib.request.urlopen(request, timeout=STATE_TIMEOUT_S) as answer:
            accepted: dict[str, Any] = json.load(answer)
    except urllib.error.HTTPError as error:
        raise click.ClickException(f"not taken: {_reason(error)}") from None
    except (OSError, ValueError):
        raise click.ClickException(f"no driver answers at {host}:{port}") from None
    return accepted


def _reason(error: urllib.error.HTTPError) -> str:
    """Return why the proxy refused a command, in its own words where it gave any."""
    try:
        return str(json.load(error)["error"])
    except (ValueError, KeyError, TypeError):
        return str(error)


def _await_reach(path: str, zone_name: str, accepted: dict[str, Any], reach_s: float) -> dict[str, Any]:
    """Wait until every live instance has the command, `reach_s` seconds at most; returns its last state.

    Raises ClickException where a newer command for the zone has replaced it.
    """
    end = time.monotonic() + reach_s
    while True:
        rows = [row for row in _fetch_zones(path)["orders"] if row["zone"] == zone_name]
        row: dict[str, Any] | None = rows[0] if rows else None
        if row is None or (row["number"], row["by"]) != (accepted["number"], accepted["by"]):
            raise click.ClickException(f"another order for {zone_name} came and governs now")
        if not row["missing"] or time.monotonic() >= end:
            return row
        time.sleep(POLL_INTERVAL_S)


def _command_zone(path: str, zone_name: str, action: str, within_s: float, reach_s: float) -> None:
    """Give one operator command, and wait until it stands with all instances that live."""
    accepted = _send_command(path, zone_name, action, within_s)
    row = _await_reach(path, zone_name, accepted, reach_s)
    click.echo(
        f"{action} {zone_name}: order {accepted['number']} by {accepted['by']} reached {len(row['reached'])}"
    )
    if row["missing"]:
        raise click.ClickException(f"not known to have reached {', '.join(row['missing'])}")


REACH = click.option(
    "--reach", default=10.0, show_default=True, type=click.FloatRange(0, 600), help="Seconds to wait for all."
)


@zone.command("leave")
@click.argument("name")
@CONFIG
@click.option("--within", default=0.0, type=click.FloatRange(0, 3600), help="Seconds over which to leave.")
@REACH
def zone_leave(name: str, path: str, within: float, reach: float) -> None:
    """Have the fleet leave a zone, as far as the others have capacity, until the command is withdrawn."""
    _command_zone(path, name, "leave", within, reach)


@zone.command("return")
@click.argument("name")
@CONFIG
@REACH
def zone_return(name: str, path: str, reach: float) -> None:
    """Withdraw a command to leave; from then on the observed state of the zone governs."""
    _command_zone(path, name, "return", 0.0, reach)
