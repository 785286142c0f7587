"""`sedgepitch peers`: key files, and the gossip membership of a running proxy."""

from __future__ import annotations

import click

from sedgepitch.cli.options import CONFIG, fetch_state


@click.group()
def peers() -> None:
    """Key files, and the gossip membership of a running proxy (settings with a part 'peers')."""


@peers.command("newkey")
@click.argument("path", type=click.Path(dir_okay=False))
def peers_newkey(path: str) -> None:
    """Write a new key file; every proxy instance needs the same file."""
    from sedgepitch.peers.keys import KeyFileError, new_key_file

    try:
        new_key_file(path)
    except KeyFileError as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{path}: written, accessible to its owner only")


@peers.command("status")
@CONFIG
def peers_status(path: str) -> None:
    """Show a running proxy's peers, each with its state, time in it and accusers, and gossip counters."""
    state = fetch_state(path, "peers")
    if "peers" not in state:
        raise click.ClickException(f"the driver {state['driver']} has no peers")
    click.echo(
        f"{state['name']} at {state['address']}: incarnation {state['incarnation']}, local health score"
        f" {state['awareness']}, paused {state['sleeps']} times, {state['sent_bytes']} bytes sent"
    )
    for row in state["peers"]:
        accused = f" accused by {', '.join(row['accusers'])}" if row["accusers"] else ""
        click.echo(f"  {row['name']:24} {row['life']:8} for {row['for_s']:9.1f} s  {row['address']}{accused}")
    for kind, count in sorted(state["counts"].items()):
        click.echo(f"  {kind}: {count}")
