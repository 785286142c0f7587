"""A Byzantine peer with the right key.

Run as `python -m tests.support.byzantine_peer NAME KEY ZONE SAYS SEED [NAME=ROUTE ...]`.

It joins the instances' gossip and publishes, over and over, that every zone but its own is lost, or that all
are healthy (`well`), with a request rate beyond all others'. It prints `ready` once it listens.
"""

from __future__ import annotations

import sys

from sedgepitch.cli.reactors import install

PUBLISH_INTERVAL_S = 0.3
ZONES = ("north", "middle", "south")


def main() -> None:
    """Join and publish false digests until killed."""
    name, key, zone, says, seed, *routes = sys.argv[1:]
    reactor = install("uvloop")
    from sedgepitch.config.units import address
    from sedgepitch.core.clock import ReactorClock
    from sedgepitch.decisions.gossip.settings import GossipSettings
    from sedgepitch.decisions.zones.digests import ZoneDigest, ZoneObservation, ZoneStatus, encode
    from sedgepitch.decisions.zones.states import ZoneState
    from sedgepitch.peers.keys import load_keys
    from sedgepitch.peers.service import PeerService, PeerSettings

    clock = ReactorClock(reactor)
    by_name = {r.partition("=")[0]: address(r.partition("=")[2]) for r in routes}
    settings = PeerSettings(name, ("127.0.0.1", 0), (address(seed),), by_name, GossipSettings())
    peers = PeerService(reactor, clock, settings, load_keys(key))
    host, port = peers.start()

    def observation(of: str) -> ZoneObservation:
        if of == zone or says == "well":
            return ZoneObservation(of, 50, 50, 0, 0, 40, 3)
        return ZoneObservation(of, 50, 0, 50, 0, 0, 3, 3)

    def status(of: str) -> ZoneStatus:
        if of == zone or says == "well":
            return ZoneStatus(of, int(ZoneState.NORMAL), 1000, 100)
        return ZoneStatus(of, int(ZoneState.LEFT), 0, 100)

    def publish() -> None:
        rows = tuple(observation(of) for of in ZONES)
        statuses = tuple(status(of) for of in ZONES)
        peers.publish("zones", encode(ZoneDigest(zone, 1e6, True, rows, statuses)))
        clock.call_later(PUBLISH_INTERVAL_S, publish)

    publish()
    print(f"ready {host}:{port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
