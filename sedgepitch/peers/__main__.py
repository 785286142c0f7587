"""A peer by itself, without a driver: listens to the fleet and says on standard output what it hears.

`python -m sedgepitch.peers --name NAME --key FILE [--listen 127.0.0.1:0] [--seed HOST:PORT ...]`

One JSON object a line: first `ready` with the address, then every change with its time on the monotonic
clock. Lines on standard input make it speak: `tell KIND TEXT`, `status [KIND ...]`, `stop`. For tests and for
people at night.
"""

from __future__ import annotations

import json
import signal
import sys
import time
from typing import Any

import click

from sedgepitch.config.units import address
from sedgepitch.decisions.gossip.protocol import GossipSettings
from sedgepitch.peers.keys import KeyFileError, load_keys


def _say(what: str, **fields: Any) -> None:
    sys.stdout.write(json.dumps({"at": round(time.monotonic(), 4), "what": what, **fields}) + "\n")
    sys.stdout.flush()


@click.command()
@click.option("--name", required=True, help="Of this peer; each has its own.")
@click.option("--key", required=True, type=click.Path(dir_okay=False), help="The key file.")
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.option("--seed", "seeds", multiple=True, help="An address to ask first.")
@click.option("--route", "routes", multiple=True, help="NAME=HOST:PORT: how a peer is reached from here.")
@click.option("--period", default=0.25, show_default=True, type=click.FloatRange(0.02, 60.0))
def main(
    name: str, key: str, listen: str, seeds: tuple[str, ...], routes: tuple[str, ...], period: float
) -> None:
    """Run one peer."""
    try:
        sealer = load_keys(key)
        ways = {r.partition("=")[0]: address(r.partition("=")[2]) for r in routes}
        where, first = address(listen), tuple(address(s) for s in seeds)
    except (KeyFileError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    from sedgepitch.cli.reactors import install

    reactor = install("uvloop")
    from twisted.internet.error import CannotListenError
    from twisted.internet.stdio import StandardIO
    from twisted.protocols.basic import LineOnlyReceiver

    from sedgepitch.core.clock import ReactorClock
    from sedgepitch.peers.service import Peers, PeerSettings

    paces = GossipSettings(period=period, answer_within=0.4 * period, spread_every=0.4 * period)
    settings = PeerSettings(name, where, first, ways, paces)
    peers = Peers(
        reactor,
        ReactorClock(reactor),
        settings,
        sealer,
        changed=lambda what, about: _say(what, peer=about),
        say=lambda event, **fields: _say("line", event=event, **fields),
    )

    def stop() -> None:
        if not peers.stopped:
            peers.stop()
            reactor.callLater(0.05, reactor.stop)

    class Orders(LineOnlyReceiver):
        delimiter = b"\n"

        def lineReceived(self, line: bytes) -> None:
            what, _, rest = line.decode("utf-8", "replace").strip().partition(" ")
            if what == "tell":
                kind, _, text = rest.partition(" ")
                try:
                    peers.tell(kind, text.encode())
                except ValueError as error:
                    _say("refused", why=str(error))
            elif what == "status":
                words = {
                    kind: {
                        n: (round(age, 4), body.decode("utf-8", "replace")) for n, (age, body) in told.items()
                    }
                    for kind in rest.split()
                    if (told := peers.heard_of(kind)) is not None
                }
                _say("status", cpu_s=round(time.process_time(), 4), words=words, **peers.status())
            elif what == "stop":
                stop()

    try:
        host, port = peers.start()
    except CannotListenError as error:
        raise click.ClickException(f"cannot listen on {error.interface}:{error.port}") from None
    StandardIO(Orders())
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(stop))
    _say("ready", address=f"{host}:{port}", name=name)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
