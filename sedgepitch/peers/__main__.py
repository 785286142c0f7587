"""A gossip peer without a proxy: joins the cluster and prints events.

`python -m sedgepitch.peers --name NAME --key FILE [--listen 127.0.0.1:0] [--seed HOST:PORT ...]`

Prints one JSON object per line: first `ready` with the address, then each event with its time on the
monotonic clock. Reads commands from standard input: `tell KIND TEXT` publishes a state entry, `status [KIND
...]` prints the known members and entries, `stop` leaves the cluster. For tests and operators.
"""

from __future__ import annotations

import json
import signal
import sys
import time
from typing import TYPE_CHECKING, Any

import click

from sedgepitch.config.units import address
from sedgepitch.decisions.gossip.settings import GossipSettings
from sedgepitch.decisions.gossip.state_entries import StateEntryError
from sedgepitch.peers.keys import Authenticator, KeyFileError, load_keys

if TYPE_CHECKING:
    from sedgepitch.peers.service import PeerService, PeerSettings

CLOSING_TIME_S = 0.05  # time to send the leave announcement before exit
DIGITS = 4  # decimal places of times in seconds
Reactor = Any  # Twisted's reactors have no common type


def _print(what: str, **fields: object) -> None:
    line = {"at": round(time.monotonic(), DIGITS), "what": what, **fields}
    sys.stdout.write(json.dumps(line) + "\n")
    sys.stdout.flush()


@click.command()
@click.option("--name", required=True, help="Name of this peer, unique in the cluster.")
@click.option("--key", required=True, type=click.Path(dir_okay=False), help="The file with the shared keys.")
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.option("--seed", "seeds", multiple=True, help="Address of a peer to contact first.")
@click.option(
    "--route", "routes", multiple=True, help="NAME=HOST:PORT: address under which this peer reaches another."
)
@click.option("--period", default=0.25, show_default=True, type=click.FloatRange(0.02, 60.0))
def main(
    name: str, key: str, listen: str, seeds: tuple[str, ...], routes: tuple[str, ...], period: float
) -> None:
    """Run one peer."""
    try:
        authenticator = load_keys(key)
        by_name = {r.partition("=")[0]: address(r.partition("=")[2]) for r in routes}
        listen_address = address(listen)
        seed_addresses = tuple(address(seed) for seed in seeds)
    except (KeyFileError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    from sedgepitch.cli.reactors import install

    reactor = install("uvloop")  # before anything else imports a reactor
    from sedgepitch.peers.service import PeerSettings

    settings = PeerSettings(
        name, listen_address, seed_addresses, by_name, GossipSettings.for_probe_interval(period)
    )
    _run(reactor, settings, authenticator)


def _run(reactor: Reactor, settings: PeerSettings, authenticator: Authenticator) -> None:
    """Run the peer until it is stopped."""
    from twisted.internet.error import CannotListenError
    from twisted.internet.stdio import StandardIO
    from twisted.protocols.basic import LineOnlyReceiver

    from sedgepitch.core.clock import ReactorClock
    from sedgepitch.peers.service import PeerService

    service = PeerService(
        reactor,
        ReactorClock(reactor),
        settings,
        authenticator,
        on_event=lambda event: _print(event.kind.value, peer=event.member),
        log=lambda event, **fields: _print("line", event=event, **fields),
    )

    def stop() -> None:
        if not service.stopped:
            service.stop()
            reactor.callLater(CLOSING_TIME_S, reactor.stop)

    class Commands(LineOnlyReceiver):
        delimiter = b"\n"

        def lineReceived(self, line: bytes) -> None:
            """Execute one command."""
            command, _, rest = line.decode("utf-8", "replace").strip().partition(" ")
            if command == "tell":
                _publish(service, rest)
            elif command == "status":
                _print_status(service, rest.split())
            elif command == "stop":
                stop()

    try:
        host, port = service.start()
    except CannotListenError as error:
        raise click.ClickException(f"cannot listen on {error.interface}:{error.port}") from None
    StandardIO(Commands())  # type: ignore[no-untyped-call]  # of Twisted
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(stop))
    _print("ready", address=f"{host}:{port}", name=settings.name)
    reactor.run(installSignalHandlers=False)


def _publish(service: PeerService, arguments: str) -> None:
    """Publish a state entry given as `KIND TEXT`."""
    kind, _, text = arguments.partition(" ")
    try:
        service.publish(kind, text.encode())
    except StateEntryError as error:
        _print("refused", why=str(error))


def _print_status(service: PeerService, kinds: list[str]) -> None:
    """Print the peer's status, with the state entries of the given kinds."""
    entries = {
        kind: {
            origin: (round(entry.age, DIGITS), entry.body.decode("utf-8", "replace"))
            for origin, entry in service.entries_of_kind(kind).items()
        }
        for kind in kinds
    }
    _print("status", cpu_s=round(time.process_time(), DIGITS), words=entries, **service.status())


if __name__ == "__main__":
    main()
