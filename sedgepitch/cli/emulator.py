"""`sedgepitch emulator`: run emulated database servers on loopback."""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Callable

import click

from sedgepitch.cli.options import CONFIG, load_settings
from sedgepitch.cli.run_loop import freeze_startup_objects, run_until_signalled

CLOSE_WITHIN_S = 0.05  # time to send the last bytes written


@click.command()
@CONFIG
def emulator(path: str) -> None:
    """Run the fleet of emulated servers described by the part 'standins' of the settings."""
    settings = load_settings(path)
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

    def stop(done: Callable[[], None]) -> None:
        fleet.close()
        reactor.callLater(CLOSE_WITHIN_S, done)

    freeze_startup_objects()
    fleet.stopped = lambda: os.kill(os.getpid(), signal.SIGTERM)
    run_until_signalled(reactor, stop)
