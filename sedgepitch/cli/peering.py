"""Assembles what a proxy knows of other proxy instances. Imported only if the settings ask for it."""

from __future__ import annotations

from collections.abc import Callable

from sedgepitch.config.models import Settings
from sedgepitch.core.engine import Engine
from sedgepitch.core.types import Clock
from sedgepitch.decisions.gossip.settings import GossipSettings
from sedgepitch.decisions.zones.settings import ZoneSettings
from sedgepitch.net.twisted_types import Reactor
from sedgepitch.peers.keys import load_keys
from sedgepitch.peers.service import PeerService, PeerSettings
from sedgepitch.peers.zones import ZoneService

SLOW_START_MIN_S = 0.1


def make_peers(
    settings: Settings, reactor: Reactor, clock: Clock, log_event: Callable[..., None]
) -> PeerService:
    """Return the gossip service that the settings describe. Raises KeyFileError."""
    stated = settings.peers
    assert stated is not None
    peer_settings = PeerSettings(
        settings.driver.name,
        stated.listen,
        tuple(stated.seeds),
        dict(stated.routes),
        GossipSettings.for_probe_interval(stated.period),
    )
    return PeerService(reactor, clock, peer_settings, load_keys(stated.key_file), log=log_event)


def make_zones(
    settings: Settings, engine: Engine, peers: PeerService, clock: Clock, log_event: Callable[..., None]
) -> ZoneService:
    """Return what weighs zones together with the peers, and connect it to them."""
    stated = settings.zones
    assert stated is not None
    zone_settings = ZoneSettings(
        initial_capacity=settings.rules.start_capacity,
        slow_start_window=max(SLOW_START_MIN_S, settings.rules.warm_within),
        headroom=stated.headroom,
        watch_share=stated.watch,
        ramp_steps=stated.steps,
        trial_delay=stated.wait,
        trial_delay_max=stated.wait_most,
        trial_instances=stated.triers,
    )
    zones = ZoneService(engine, peers, clock, settings.driver.zone, zone_settings, stated.beat, log_event)
    peers.on_event = zones.on_peer_event
    return zones
