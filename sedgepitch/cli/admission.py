"""`sedgepitch admission`: show the admission control of a running proxy."""

from __future__ import annotations

import click

from sedgepitch.cli.options import CONFIG, fetch_state


@click.command()
@CONFIG
def admission(path: str) -> None:
    """Show admission control of a running proxy: tenants, shares, queues, reservations."""
    state = fetch_state(path, "door")
    if "rooms" not in state:
        raise click.ClickException(f"the driver {state['driver']} has no admission control")
    click.echo(f"{state['driver']}: {state['held']} held")
    for room in state["rooms"]:
        side = "primary only" if room["primary_only"] else "any member"
        click.echo(
            f"  group {room['group']}, {side}: {room['inside']} inside (limit {room['limit']}),"
            f" {room['waiting_inside']} waiting"
            f" (allowance {room['allowance']}), {room['held']} held of {room['tenants_held']} tenants"
        )
        click.echo(
            f"    {room['promises']} promises, {room['promises_ended']} ended early;"
            f" serves {room['served_per_s']} s of members' time a second"
        )
    for row in state["largest_tenants"]:
        click.echo(f"  {row['used_s']:>10.3f} s  {row['tenant'] or '(no name)'}")
