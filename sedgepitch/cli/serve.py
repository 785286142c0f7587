"""`sedgepitch serve`: run the proxy."""

from __future__ import annotations

import signal
import sys
from types import FrameType

import click

from sedgepitch.cli.options import CONFIG, load_settings
from sedgepitch.cli.run_loop import freeze_startup_objects, run_until_signalled
from sedgepitch.cli.workers import supervise, worker_settings
from sedgepitch.config.load import SettingsError, load


@click.command()
@CONFIG
@click.option("--workers", default=1, show_default=True, type=click.IntRange(1, 64), help="Processes.")
@click.option("--worker", default=0, hidden=True, type=int)
def serve(path: str, workers: int, worker: int) -> None:
    """Run the proxy. Workers share only the client port; each is a proxy instance of its own."""
    settings = load_settings(path)
    if settings.peers is not None and workers > 1:
        raise click.ClickException(
            f"{path}: peers: workers share one address; run one process per peer instead of workers"
        )
    if workers > 1 and not worker:
        sys.exit(supervise(path, workers))
    from sedgepitch.cli.reactors import install
    from sedgepitch.observe import log

    log.configure(settings.log.level, settings.log.format, settings.log.lines_per_second)
    reactor = install(settings.driver.reactor)
    if worker:
        settings = worker_settings(settings, worker, workers)
    from twisted.internet.error import CannotListenError

    from sedgepitch.cli.daemon import ProxyDaemon

    try:
        proxy = ProxyDaemon(reactor, settings, share_port=bool(worker))
        proxy.start(lambda host, port: click.echo(f"ready {host}:{port}"))
    except CannotListenError as error:
        raise click.ClickException(f"cannot listen on {error.interface}:{error.port}") from None
    except OSError as error:
        raise click.ClickException(f"cannot listen: {error.strerror}") from None
    except ValueError as error:  # an unusable key file
        raise click.ClickException(str(error)) from None
    freeze_startup_objects()

    def reload(_number: int, _frame: FrameType | None) -> None:
        try:
            reactor.callFromThread(proxy.reload, load(path))
        except SettingsError as error:
            click.echo(f"not reloaded: {error}", err=True)

    signal.signal(signal.SIGHUP, reload)
    run_until_signalled(reactor, proxy.stop)
