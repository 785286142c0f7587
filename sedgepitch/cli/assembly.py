"""Builds the MongoDB upstream and client context of a proxy instance from its settings."""

from __future__ import annotations

from collections.abc import Callable

from sedgepitch.cli.group_lookup import group_finder
from sedgepitch.config.models import Settings
from sedgepitch.core.connection_pool import PoolLimits
from sedgepitch.core.engine import Engine
from sedgepitch.core.types import Clock
from sedgepitch.decisions.connections.process_memory_shares import share_memory
from sedgepitch.decisions.cursors import CursorTable
from sedgepitch.net.process_memory import available_bytes, private_bytes
from sedgepitch.net.twisted_types import Reactor
from sedgepitch.protocols.mongodb.client_context import ClientContext
from sedgepitch.protocols.mongodb.upstream import MongoUpstream
from sedgepitch.routing.messages import Freshness

CLIENT_BYTES_MAX = 256 * 1024 * 1024  # held for clients, however much memory there is; some largest messages
OBSERVATION_AGE_SHARE = 0.25  # maximum age of an observation, as a share of the tightest staleness bound


def observation_age_max(settings: Settings) -> float:
    """Return the seconds for which an observation of the primary proves that replicas are fresh.

    This is a share of the tightest staleness bound or, if no class has one, of the lowest latency objective.
    """
    bounds = [c.max_age for c in settings.classes if c.freshness is Freshness.BOUNDED]
    return min(bounds, default=min(c.aim for c in settings.classes)) * OBSERVATION_AGE_SHARE


def make_upstream(settings: Settings, reactor: Reactor, clock: Clock) -> MongoUpstream:
    """Return the upstream with the configured endpoints that have an address."""
    limits = settings.limits
    return MongoUpstream(
        reactor,
        clock,
        {m.id: m.address for m in settings.members if m.address[1]},
        settings.driver.name,
        PoolLimits(limits.member_connections, limits.connect_within, limits.member_idle),
        limits.probe_within,
        observation_age_max=observation_age_max(settings),
    )


def make_context(
    settings: Settings,
    engine: Engine,
    endpoints: MongoUpstream,
    clock: Clock,
    seed: int,
    log_event: Callable[..., None],
    count_input_error: Callable[[str], None],
) -> ClientContext:
    """Return the context that all client connections share."""
    limits = settings.limits
    admission = settings.door
    return ClientContext(
        engine=engine,
        upstream=endpoints,
        clock=clock,
        classifier=settings.classifier(),
        cursors=CursorTable(limits.cursors, limits.cursor_idle, seed),
        group_of=group_finder(settings),
        answer_margin=limits.answer_margin,
        drain_grace=settings.rules.drain_grace,
        shard_field=tuple(p.encode() for p in settings.shard_field.split(".") if p),
        frame_bytes_max=limits.frame,
        tenant_sources=tuple(admission.tenant) if admission else (),
        client_sources=tuple(admission.client) if admission else (),
        connections_max=limits.connections,
        client_bytes_max=min(CLIENT_BYTES_MAX, share_memory(available_bytes(), private_bytes()).client_bytes),
        log_event=log_event,
        count_input_error=count_input_error,
    )
