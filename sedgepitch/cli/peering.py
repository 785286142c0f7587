"""Assembles what a proxy knows of other proxy instances. Imported only if the settings ask for it."""

from __future__ import annotations

from collections.abc import Callable

from sedgepitch.config.models import Settings
from sedgepitch.core.engine import Engine
from sedgepitch.core.types import Clock
from sedgepitch.decisions.gossip.protocol import GossipSettings
from sedgepitch.decisions.zones.weights import ZoneSettings
from sedgepitch.net.twisted_types import Reactor
from sedgepitch.peers.keys import load_keys
from sedgepitch.peers.service import Peers, PeerSettings
from sedgepitch.peers.zones import ZoneKeeper

ANSWER_SHARE = 0.4  # of a gossip period, within which a probe is answered
SPREAD_SHARE = 0.4  # of a gossip period, between two rounds of dissemination
MIN_WARM_UP_S = 0.1


def make_peers(settings: Settings, reactor: Reactor, clock: Clock, log_event: Callable[..., None]) -> Peers:
    """Return the gossip service that the settings describe. Raises KeyFileError."""
    stated = settings.peers
    assert stated is not None
    gossip = GossipSettings(
        period=stated.period,
        answer_within=ANSWER_SHARE * stated.period,
        spread_every=SPREAD_SHARE * stated.period,
    )
    place = PeerSettings(
        settings.driver.name, stated.listen, tuple(stated.seeds), dict(stated.routes), gossip
    )
    return Peers(reactor, clock, place, load_keys(stated.key_file), say=log_event)


def make_zones(
    settings: Settings, engine: Engine, peers: Peers, clock: Clock, log_event: Callable[..., None]
) -> ZoneKeeper:
    """Return what weighs zones together with the peers, and connect it to them."""
    stated = settings.zones
    assert stated is not None
    zone_settings = ZoneSettings(
        start=settings.rules.start_capacity,
        warm=max(MIN_WARM_UP_S, settings.rules.warm_within),
        headroom=stated.headroom,
        watch=stated.watch,
        steps=stated.steps,
        wait=stated.wait,
        wait_most=stated.wait_most,
        triers=stated.triers,
    )
    zones = ZoneKeeper(engine, peers, clock, settings.driver.zone, zone_settings, stated.beat, log_event)
    peers.changed = zones.changed
    return zones
