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
    """Zone failover and operator commands on it (settings with a part 'zones')."""


def _fetch_zones(path: str) -> dict[str, Any]:
    state = fetch_state(path, "zones")
    if "zones" not in state:
        raise click.ClickException(
            f"the driver {state['driver']} has no zone failover: its settings have no part 'zones'"
        )
    return state


@zone.command("status")
@CONFIG
def zone_status(path: str) -> None:
    """Show a running proxy's use of each zone and the reason, all instances' votes, and operator commands."""
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
        votes_text = ", ".join(votes) or "nothing"
        fit = "" if row["fit"] else " (does not judge now)"
        click.echo(
            f"  {row['name']:24} of '{row['zone']}', {row['demand']:.1f} requests/s,"
            f" {row['age_s']:.1f} s ago: {votes_text}{fit}"
        )
    for row in state["orders"]:
        missing = f"; not known to have reached {', '.join(row['missing'])}" if row["missing"] else ""
        click.echo(
            f"  order {row['number']} by {row['by']}: {row['what']} {row['zone']},"
            f" reached {len(row['reached'])}{missing}"
        )


def _send_command(path: str, zone_name: str, action: str, within_s: float) -> dict[str, Any]:
    """Send an operator command to the running proxy; returns its number and author.

    Raises ClickException if the proxy rejects it or does not answer.
    """
    settings = load_settings(path)
    number = _fetch_zones(path)["number"]
    if settings.peers is None or settings.metrics is None:
        raise click.ClickException(f"{path}: operator commands need the parts 'peers' and 'metrics'")
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
        raise click.ClickException(f"operator command rejected: {_reason(error)}") from None
    except (OSError, ValueError):
        raise click.ClickException(f"no proxy answers at {host}:{port}") from None
    return accepted


def _reason(error: urllib.error.HTTPError) -> str:
    """Return the reason in the proxy's response, or the HTTP error if it gives none."""
    try:
        return str(json.load(error)["error"])
    except (ValueError, KeyError, TypeError):
        return str(error)


def _await_reach(path: str, zone_name: str, accepted: dict[str, Any], reach_s: float) -> dict[str, Any]:
    """Wait at most `reach_s` seconds until every live instance has the command; returns its last state.

    Raises ClickException if another command for the zone has replaced it.
    """
    end = time.monotonic() + reach_s
    while True:
        rows = [row for row in _fetch_zones(path)["orders"] if row["zone"] == zone_name]
        row: dict[str, Any] | None = rows[0] if rows else None
        if row is None or (row["number"], row["by"]) != (accepted["number"], accepted["by"]):
            raise click.ClickException(f"another operator command for {zone_name} has replaced this one")
        if not row["missing"] or time.monotonic() >= end:
            return row
        time.sleep(POLL_INTERVAL_S)


def _command_zone(path: str, zone_name: str, action: str, within_s: float, reach_s: float) -> None:
    """Send an operator command and wait until all live instances have it."""
    accepted = _send_command(path, zone_name, action, within_s)
    row = _await_reach(path, zone_name, accepted, reach_s)
    click.echo(
        f"{action} {zone_name}: order {accepted['number']} by {accepted['by']} reached {len(row['reached'])}"
    )
    if row["missing"]:
        raise click.ClickException(f"not known to have reached {', '.join(row['missing'])}")


REACH = click.option(
    "--reach",
    default=10.0,
    show_default=True,
    type=click.FloatRange(0, 600),
    help="Seconds to wait until all instances have the command.",
)


@zone.command("leave")
@click.argument("name")
@CONFIG
@click.option(
    "--within",
    default=0.0,
    type=click.FloatRange(0, 3600),
    help="Seconds over which to leave the zone.",
)
@REACH
def zone_leave(name: str, path: str, within: float, reach: float) -> None:
    """Make all instances leave a zone, as far as other zones have capacity, until `zone return`."""
    _command_zone(path, name, "leave", within, reach)


@zone.command("return")
@click.argument("name")
@CONFIG
@REACH
def zone_return(name: str, path: str, reach: float) -> None:
    """Withdraw a command to leave; afterwards the observed state of the zone decides again."""
    _command_zone(path, name, "return", 0.0, reach)
