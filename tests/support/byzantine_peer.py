"""A Byzantine peer with the right key.

Run as `python -m tests.support.byzantine_peer NAME KEY ZONE SAYS SEED [NAME=ROUTE ...]`.

It joins the drivers' gossip and tells, over and over, that every zone but its own is lost, or that all are
well, with a demand beyond all others'. It says `ready` once it listens.
"""

from __future__ import annotations

import sys

from sedgepitch.cli.reactors import install


def main() -> None:
    """Join and lie until killed."""
    name, key, zone, says, seed, *routes = sys.argv[1:]
    reactor = install("uvloop")
    from sedgepitch.config.units import address
    from sedgepitch.core.clock import ReactorClock
    from sedgepitch.decisions.gossip.settings import GossipSettings
    from sedgepitch.decisions.zones.digests import Digest, Row, Stance, encode
    from sedgepitch.peers.keys import load_keys
    from sedgepitch.peers.service import PeerService, PeerSettings

    clock = ReactorClock(reactor)
    ways = {r.partition("=")[0]: address(r.partition("=")[2]) for r in routes}
    place = PeerSettings(name, ("127.0.0.1", 0), (address(seed),), ways, GossipSettings())
    peers = PeerService(reactor, clock, place, load_keys(key))
    host, port = peers.start()

    def lie() -> None:
        def row(z: str) -> Row:
            good = z == zone or says == "well"
            return Row(z, 50, 50, 0, 0, 40, 3) if good else Row(z, 50, 0, 50, 0, 0, 3, 3)

        zones = ("north", "middle", "south")
        state, share = (0, 1000) if says == "well" else (3, 0)
        stances = tuple(
            Stance(z, state if z != zone else 0, share if z != zone else 1000, 100) for z in zones
        )
        peers.publish("zones", encode(Digest(zone, 1e6, True, tuple(row(z) for z in zones), stances)))
        clock.call_later(0.3, lie)

    lie()
    print(f"ready {host}:{port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
