"""The command line: `sedgepitch serve`, `standins`, `badday` and `config`."""

from __future__ import annotations

import gc
import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from importlib.resources import files
from pathlib import Path
from types import FrameType
from typing import Any

import click

from sedgepitch.config.load import SettingsError, load
from sedgepitch.config.models import Settings


def _load(path: str) -> Settings:
    try:
        return load(path)
    except SettingsError as error:
        raise click.ClickException(str(error)) from None


def _shown(path: str, what: str) -> dict[str, Any]:
    """Ask a running driver for what it shows beside its metrics."""
    settings = _load(path)
    if settings.metrics is None:
        raise click.ClickException(f"{path}: '{what}' is shown at the address 'metrics', which is not set")
    host, port = settings.metrics
    try:
        with urllib.request.urlopen(f"http://{host}:{port}/{what}", timeout=5.0) as answer:
            state: dict[str, Any] = json.load(answer)
    except (OSError, ValueError):
        raise click.ClickException(f"no driver answers at {host}:{port}") from None
    return state


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option("0.2.0", prog_name="sedgepitch")
def main() -> None:
    """A database proxy that splits reads and writes across a primary and its replicas."""


CONFIG = click.option(
    "--config", "path", required=True, type=click.Path(dir_okay=False), help="Settings (YAML)."
)


@main.command()
@CONFIG
@click.option("--workers", default=1, show_default=True, type=click.IntRange(1, 64), help="Processes.")
@click.option("--worker", default=0, hidden=True, type=int)
def serve(path: str, workers: int, worker: int) -> None:
    """Run a driver. Several workers share the port and nothing else; each is a driver of its own."""
    settings = _load(path)
    if settings.peers is not None and workers > 1:
        raise click.ClickException(f"{path}: peers: workers share one address; start a process a peer")
    if workers > 1 and not worker:
        sys.exit(_supervise(path, workers))
    from sedgepitch.cli.reactors import install
    from sedgepitch.observe import log

    log.set_up(settings.log.level, settings.log.format, settings.log.lines_per_second)
    reactor = install(settings.driver.reactor)
    if worker:
        name = f"{settings.driver.name}/{worker}"
        told = settings.module.model_copy(update={"drivers": settings.module.drivers * workers})
        driver_part = settings.driver.model_copy(update={"name": name})
        changes: dict[str, Any] = {"driver": driver_part, "module": told}
        if settings.metrics is not None and settings.metrics[1]:
            changes["metrics"] = (settings.metrics[0], settings.metrics[1] + worker - 1)
        settings = settings.model_copy(update=changes)
    from twisted.internet.error import CannotListenError

    from sedgepitch.cli.daemon import Driver

    try:
        driver = Driver(reactor, settings, share_port=bool(worker))
        driver.start(lambda host, port: click.echo(f"ready {host}:{port}"))
    except CannotListenError as error:
        raise click.ClickException(f"cannot listen on {error.interface}:{error.port}") from None
    except OSError as error:
        raise click.ClickException(f"cannot listen: {error.strerror}") from None
    except ValueError as error:  # a key file that cannot be used
        raise click.ClickException(str(error)) from None
    _calm_collector()

    def reload(number: int, frame: FrameType | None) -> None:
        try:
            reactor.callFromThread(driver.reload, load(path))
        except SettingsError as error:
            click.echo(f"not reloaded: {error}", err=True)

    signal.signal(signal.SIGHUP, reload)
    _run(reactor, driver.stop)


def _calm_collector() -> None:
    """What is here now stays: the collector need not look through it for each few hundred requests."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)


def _run(reactor: Any, stop: Any) -> None:
    """Run until a signal, then stop in order."""
    stopping: list[int] = []

    def halt() -> None:
        if not halted:
            halted.append(True)
            reactor.stop()

    halted: list[bool] = []

    def end(number: int, frame: FrameType | None) -> None:
        if stopping:
            reactor.callFromThread(halt)
            return
        stopping.append(number)
        reactor.callFromThread(stop, halt)

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    reactor.run(installSignalHandlers=False)


def _supervise(path: str, workers: int) -> int:
    """Run the workers; one that dies is started again, a second later each time, and all end together."""
    ending = False
    running: dict[int, subprocess.Popen[bytes]] = {}

    def start(number: int) -> None:
        arguments = ["serve", "--config", path, "--workers", str(workers), "--worker", str(number)]
        running[number] = subprocess.Popen([sys.executable, "-m", "sedgepitch", *arguments])

    def end(number: int, frame: FrameType | None) -> None:
        nonlocal ending
        ending = True
        for process in running.values():
            process.terminate()

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    for number in range(1, workers + 1):
        start(number)
    pause = 1.0
    while running:
        for number, process in list(running.items()):
            code = process.poll()
            if code is None:
                continue
            del running[number]
            if not ending:
                click.echo(f"worker {number} ended with {code}; starting it again", err=True)
                time.sleep(pause)
                pause = min(pause * 2.0, 30.0)
                if not ending:
                    start(number)
        time.sleep(0.05)
    return 0


@main.command()
@CONFIG
def standins(path: str) -> None:
    """Run the fleet of stand-in members that the settings describe."""
    settings = _load(path)
    if settings.standins is None:
        raise click.ClickException(f"{path}: there is no part 'standins'")
    from sedgepitch.cli.reactors import install

    reactor = install(settings.driver.reactor)
    from twisted.internet.error import CannotListenError

    from sedgepitch.emulator.fleet import EmulatedFleet

    fleet = EmulatedFleet(reactor, time.monotonic, settings.standins, list(settings.members))
    try:
        fleet.start()
    except CannotListenError as error:
        raise click.ClickException(f"cannot listen on {error.interface}:{error.port}") from None
    control = fleet.port.getHost()
    click.echo(f"ready {control.host}:{control.port}")

    def stop(done: Any) -> None:
        fleet.close()
        reactor.callLater(0.05, done)

    _calm_collector()
    fleet.stopped = lambda: os.kill(os.getpid(), signal.SIGTERM)
    _run(reactor, stop)


@main.command()
@click.option("--seed", default=1, show_default=True, type=int, help="Of traffic and troubles.")
@click.option("--length", default=40.0, show_default=True, type=click.FloatRange(2, 600), help="Seconds.")
@click.option("--script", type=click.Path(exists=True, dir_okay=False), help="Troubles (YAML).")
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="Write the result there.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep records and logs in this directory.")
@click.option("--driver-module", default="sedgepitch", hidden=True, help="Drivers to try the audit on.")
@click.option("--slack", default=0.25, show_default=True, type=float, help="Of the audit, seconds.")
@click.option(
    "--burners", default=0, type=click.IntRange(0, 16), help="Processes that share a driver's core."
)
def badday(
    seed: int,
    length: float,
    script: str | None,
    json_path: str | None,
    keep: str | None,
    driver_module: str,
    slack: float,
    burners: int,
) -> None:
    """Play a bad day on loopback sockets and check the five rules from the recorded traffic."""
    from sedgepitch.scenarios.fault_scenario import BadDay, table

    _play(
        lambda: BadDay(seed, length, script, keep, driver_module, slack=slack, burners=burners),
        table,
        json_path,
    )


def _play(make: Callable[[], Any], table: Callable[[dict[str, Any]], str], json_path: str | None) -> None:
    """Play a day and show its result; ends with 1 where a rule broke."""
    from sedgepitch.scenarios.fault_scenario import DayError

    try:
        result = make().run(progress=sys.stderr.isatty())
    except DayError as error:
        raise click.ClickException(str(error)) from None
    click.echo(table(result))
    if json_path:
        Path(json_path).write_text(json.dumps(result, indent=1), encoding="utf-8")
    sys.exit(1 if any(rule["broken"] for rule in result["rules"]) else 0)


@main.command()
@click.option("--script", type=click.Path(exists=True, dir_okay=False), help="The day (YAML).")
@click.option("--seed", default=1, show_default=True, type=int, help="Of traffic.")
@click.option("--drivers", type=click.IntRange(1, 64), help="Instead of the script's.")
@click.option("--alone", is_flag=True, help="Drivers know of no others.")
@click.option("--told", is_flag=True, help="A yardstick: discovery says at once that a lost zone is gone.")
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="Write the result there.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep records and logs in this directory.")
@click.option("--slack", default=0.25, show_default=True, type=float, help="Of the audit, seconds.")
def fleetday(
    script: str | None,
    seed: int,
    drivers: int | None,
    alone: bool,
    told: bool,
    json_path: str | None,
    keep: str | None,
    slack: float,
) -> None:
    """Play a day of many drivers and members in zones, and check rules and zones from the records."""
    from sedgepitch.scenarios.fleet_scenario import FleetDay, fleet_table, read_script

    _play(
        lambda: FleetDay(read_script(script), seed, not alone and not told, told, keep, drivers, slack),
        fleet_table,
        json_path,
    )


@main.command()
@CONFIG
def door(path: str) -> None:
    """Show the door of a running driver: tenants, shares, what waits, promises."""
    state = _shown(path, "door")
    if "rooms" not in state:
        raise click.ClickException(f"the driver {state['driver']} has no door")
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


@main.group()
def peers() -> None:
    """The other instances of the program, where the settings have a part 'peers'."""


@peers.command("newkey")
@click.argument("path", type=click.Path(dir_okay=False))
def peers_newkey(path: str) -> None:
    """Write a new key file; the same file goes to every instance."""
    from sedgepitch.peers.keys import KeyFileError, new_key_file

    try:
        new_key_file(path)
    except KeyFileError as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{path}: written, for its owner alone")


@peers.command("status")
@CONFIG
def peers_status(path: str) -> None:
    """Show whom a running driver knows, since when, and what it has heard of them."""
    state = _shown(path, "peers")
    if "peers" not in state:
        raise click.ClickException(f"the driver {state['driver']} has no peers")
    click.echo(
        f"{state['name']} at {state['address']}: incarnation {state['incarnation']}, awareness"
        f" {state['awareness']}, slept {state['sleeps']} times, {state['sent_bytes']} bytes sent"
    )
    for row in state["peers"]:
        accused = f" accused by {', '.join(row['accusers'])}" if row["accusers"] else ""
        click.echo(f"  {row['name']:24} {row['life']:8} for {row['for_s']:9.1f} s  {row['address']}{accused}")
    for kind, count in sorted(state["counts"].items()):
        click.echo(f"  {kind}: {count}")


@main.group()
def zone() -> None:
    """Zones that the fleet leaves and comes back to, where the settings have a part 'zones'."""


def _zones(path: str) -> dict[str, Any]:
    state = _shown(path, "zones")
    if "zones" not in state:
        raise click.ClickException(f"the driver {state['driver']} keeps no zones together with others")
    return state


@zone.command("status")
@CONFIG
def zone_status(path: str) -> None:
    """Show what a running driver does with each zone and why, who says what, and the orders."""
    state = _zones(path)
    click.echo(f"{state['name']}, in zone '{state['zone']}'")
    for row in state["zones"]:
        why = f"  {row['why']}" if row["why"] else ""
        click.echo(f"  {row['zone']:24} {row['state']:10} {row['share']:6.0%} for {row['for_s']:8.1f} s{why}")
    for row in state["drivers"]:
        few = row["all_it_uses_is_down"]
        said = ", ".join(f"{z} {'its few are down' if z in few else v}" for z, v in row["votes"].items())
        said = said or "nothing"
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


def _order(path: str, name: str, what: str, within: float, reach: float) -> None:
    """Give an order to one driver, and wait until it stands with all that live."""
    settings = _load(path)
    number = _zones(path)["number"]
    if settings.peers is None or settings.metrics is None:
        raise click.ClickException(f"{path}: an order needs the parts 'peers' and 'metrics'")
    from sedgepitch.peers.keys import KeyFileError, load_keys

    try:
        sealer = load_keys(settings.peers.key_file)
    except KeyFileError as error:
        raise click.ClickException(str(error)) from None
    order = {"zone": name, "what": what, "within": within, "number": number}
    host, port = settings.metrics
    try:
        request = urllib.request.Request(
            f"http://{host}:{port}/zones", data=sealer.seal(json.dumps(order).encode()), method="POST"
        )
        with urllib.request.urlopen(request, timeout=5.0) as answer:
            given = json.load(answer)
    except urllib.error.HTTPError as error:
        try:
            why = json.load(error)["error"]
        except (ValueError, KeyError, TypeError):
            why = str(error)
        raise click.ClickException(f"not taken: {why}") from None
    except (OSError, ValueError):
        raise click.ClickException(f"no driver answers at {host}:{port}") from None
    end = time.monotonic() + reach
    while True:
        rows = [o for o in _zones(path)["orders"] if o["zone"] == name]
        row = rows[0] if rows else None
        if row is None or (row["number"], row["by"]) != (given["number"], given["by"]):
            raise click.ClickException(f"another order for {name} came and governs now")
        if not row["missing"] or time.monotonic() >= end:
            break
        time.sleep(0.1)
    click.echo(f"{what} {name}: order {given['number']} by {given['by']} reached {len(row['reached'])}")
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
    """Have the fleet leave a zone, as far as the others bear it, until it is ordered to return."""
    _order(path, name, "leave", within, reach)


@zone.command("return")
@click.argument("name")
@CONFIG
@REACH
def zone_return(name: str, path: str, reach: float) -> None:
    """Take an order to leave back; from then on the evidence governs."""
    _order(path, name, "return", 0.0, reach)


@main.group()
def config() -> None:
    """Look at settings."""


@config.command("check")
@click.argument("path", type=click.Path(dir_okay=False))
def config_check(path: str) -> None:
    """Check a file of settings."""
    settings = _load(path)
    click.echo(f"{path}: good: {len(settings.classes)} classes, {len(settings.members)} members")


@config.command("schema")
def config_schema() -> None:
    """Print the settings' JSON schema."""
    click.echo(json.dumps(Settings.model_json_schema(), indent=2))


@config.command("example")
def config_example() -> None:
    """Print settings that `standins` and `serve` both run on as they are."""
    click.echo(files("sedgepitch.config").joinpath("example.yaml").read_text(encoding="utf-8"), nl=False)


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    main()
