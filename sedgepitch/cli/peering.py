"""Builds the gossip and zone services from settings. Imported only if the settings have a part `peers`."""

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
    """Return the configured gossip service; raises KeyFileError."""
    configured = settings.peers
    assert configured is not None
    peer_settings = PeerSettings(
        settings.driver.name,
        configured.listen,
        tuple(configured.seeds),
        dict(configured.routes),
        GossipSettings.for_probe_interval(configured.period),
    )
    return PeerService(reactor, clock, peer_settings, load_keys(configured.key_file), log=log_event)


def make_zones(
    settings: Settings, engine: Engine, peers: PeerService, clock: Clock, log_event: Callable[..., None]
) -> ZoneService:
    """Return the zone failover service, registered for the peers' events."""
    configured = settings.zones
    assert configured is not None
    zone_settings = ZoneSettings(
        initial_capacity=settings.rules.start_capacity,
        slow_start_window=max(SLOW_START_MIN_S, settings.rules.warm_within),
        headroom=configured.headroom,
        watch_share=configured.watch,
        ramp_steps=configured.steps,
        trial_delay=configured.wait,
        trial_delay_max=configured.wait_most,
        trial_instances=configured.triers,
    )
    zones = ZoneService(engine, peers, clock, settings.driver.zone, zone_settings, configured.beat, log_event)
    peers.on_event = zones.on_peer_event
    return zones
