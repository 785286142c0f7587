"""`sedgepitch admission`: show the state of admission control in a running proxy."""

from __future__ import annotations

import click

from sedgepitch.cli.options import CONFIG, fetch_state


@click.command()
@CONFIG
def admission(path: str) -> None:
    """Show a running proxy's admission control: queues, limits, reservations and the largest tenants."""
    state = fetch_state(path, "door")
    if "rooms" not in state:
        raise click.ClickException(f"the driver {state['driver']} has no admission control")
    click.echo(f"{state['driver']}: {state['held']} queued")
    for pool in state["rooms"]:
        endpoints = "primary only" if pool["primary_only"] else "any member"
        click.echo(
            f"  group {pool['group']}, {endpoints}: {pool['inside']} in flight (limit {pool['limit']}),"
            f" {pool['waiting_inside']} waiting in the router"
            f" (allowance {pool['allowance']}), {pool['held']} queued of {pool['tenants_held']} tenants"
        )
        click.echo(
            f"    {pool['promises']} reservations, {pool['promises_ended']} ended early;"
            f" serves {pool['served_per_s']} s of server time per second"
        )
    for row in state["largest_tenants"]:
        click.echo(f"  {row['used_s']:>10.3f} s  {row['tenant'] or '(no name)'}")
