"""The zone state of an instance as JSON for operators; its keys and values stay stable for other tools."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.decisions.gossip.state_entries import PublishedEntry
from sedgepitch.decisions.zones import digests, operator_commands
from sedgepitch.decisions.zones.digests import PERMILLE, ZoneDigest
from sedgepitch.decisions.zones.operator_commands import ZoneCommand
from sedgepitch.decisions.zones.states import Zone
from sedgepitch.decisions.zones.votes import Vote, partial_outages, votes
from sedgepitch.peers import entry_kinds

if TYPE_CHECKING:
    from sedgepitch.peers.zones import ZoneService

VOTE_NAMES = {
    Vote.NONE: "none",
    Vote.HEALTHY: "well",
    Vote.SLOW: "slow",
    Vote.FAILING: "failing",
    Vote.LOST: "lost",
}


def zone_status(service: ZoneService, node: GossipNode | None, now: float) -> dict[str, object]:
    """Return the state of zones, the digests by instance, and the instances that each command has reached."""
    entries = {} if node is None else node.entries_of_kind(entry_kinds.ZONE_DIGEST, now)
    zones = service.controller.zones
    return {
        "name": service.name,
        "zone": service.zone,
        "number": service.commands.new_nonce(),
        "zones": [_zone(zones[name], now) for name in sorted(zones)],
        "drivers": _instances(service, entries),
        "orders": _commands(service, node, now),
        "bad_words": service.invalid_digests,
    }


def _zone(zone: Zone, now: float) -> dict[str, object]:
    return {
        "zone": zone.name,
        "state": zone.state.name.lower(),
        "share": round(zone.share, 3),
        "for_s": round(now - zone.state_since, 1),
        "why": zone.reason,
        "relapses": zone.relapses,
        "wait_s": zone.trial_delay,
    }


def _instances(service: ZoneService, entries: dict[str, PublishedEntry]) -> list[dict[str, object]]:
    rows = []
    for name, entry in sorted(entries.items()):
        own = name == service.name
        digest = service.own if own else digests.decode(entry.body)
        if digest is not None:
            rows.append(_instance(name, 0.0 if own else entry.age, digest))
    return rows


def _instance(name: str, age: float, digest: ZoneDigest) -> dict[str, object]:
    return {
        "name": name,
        "zone": digest.zone,
        "age_s": round(age, 2),
        "demand": digest.request_rate,
        "fit": digest.may_judge,
        "votes": {zone: VOTE_NAMES[vote] for zone, vote in votes(digest).items()},
        "all_it_uses_is_down": sorted(partial_outages(digest)),
        "shares": {status.zone: status.share_permille / PERMILLE for status in digest.statuses},
    }


def _commands(service: ZoneService, node: GossipNode | None, now: float) -> list[dict[str, object]]:
    alive = [] if node is None else node.alive()
    entries = {} if node is None else node.entries_of_kind(entry_kinds.ZONE_COMMANDS, now)
    known = {name: operator_commands.decode(entry.body) for name, entry in entries.items()}
    by_zone = service.commands.commands.by_zone
    return [_command(by_zone[zone], alive, known) for zone in sorted(by_zone)]


def _command(
    command: ZoneCommand, alive: list[str], known: dict[str, tuple[ZoneCommand, ...]]
) -> dict[str, object]:
    return {
        "zone": command.zone,
        "what": command.action,
        "within_s": command.duration,
        "number": command.number,
        "by": command.issuer,
        "reached": [name for name in alive if command in known.get(name, ())],
        "missing": [name for name in alive if command not in known.get(name, ())],
    }
