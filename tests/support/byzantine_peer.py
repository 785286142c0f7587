"""A Byzantine peer with the correct gossip key.

Run as `python -m tests.support.byzantine_peer NAME KEY ZONE CLAIM SEED [NAME=ROUTE ...]`.

It joins the gossip of the proxy instances and publishes a false digest every PUBLISH_INTERVAL_S, with a
request rate far above all others. With CLAIM `well` the digest reports all zones healthy, with any other that
all zones but its own are lost. It prints `ready host:port` once it listens.
"""

from __future__ import annotations

import sys

from sedgepitch.cli.reactors import install

PUBLISH_INTERVAL_S = 0.3
ZONES = ("north", "middle", "south")


def main() -> None:
    """Join the gossip and publish false digests until killed."""
    name, key, zone, claim, seed, *routes = sys.argv[1:]
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

    def observation(other: str) -> ZoneObservation:
        if other == zone or claim == "well":
            return ZoneObservation(other, 50, 50, 0, 0, 40, 3)
        return ZoneObservation(other, 50, 0, 50, 0, 0, 3, 3)

    def status(other: str) -> ZoneStatus:
        if other == zone or claim == "well":
            return ZoneStatus(other, int(ZoneState.NORMAL), 1000, 100)
        return ZoneStatus(other, int(ZoneState.LEFT), 0, 100)

    def publish() -> None:
        rows = tuple(observation(other) for other in ZONES)
        statuses = tuple(status(other) for other in ZONES)
        peers.publish("zones", encode(ZoneDigest(zone, 1e6, True, rows, statuses)))
        clock.call_later(PUBLISH_INTERVAL_S, publish)

    publish()
    print(f"ready {host}:{port}", flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
