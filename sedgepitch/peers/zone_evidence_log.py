"""The evidence behind an instance's zone decisions, as fields of log events."""

from __future__ import annotations

from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.decisions.zones.digests import ZoneDigest, ZoneObservation
from sedgepitch.decisions.zones.evidence import ZoneView
from sedgepitch.decisions.zones.votes import Vote, partial_outages, votes
from sedgepitch.peers.zone_status import VOTE_NAMES

AGE_DIGITS = 2  # decimal places of ages in seconds
UNFIT = "unfit"  # an instance whose digest has `may_judge` false
PARTIAL_OUTAGE = "names"  # all endpoints that it uses in the zone are down, but too few for a vote


def instance_vote(digest: ZoneDigest, zone: str) -> str:
    """Return the vote of a digest on a zone, in the terms of `zone status`."""
    if not digest.may_judge:
        return UNFIT
    if zone in partial_outages(digest):
        return PARTIAL_OUTAGE
    return VOTE_NAMES[votes(digest).get(zone, Vote.NONE)]


def instance_votes(digest: ZoneDigest) -> dict[str, str]:
    """Return the votes of a digest by zone."""
    return {row.zone: instance_vote(digest, row.zone) for row in digest.observations}


def observed(row: ZoneObservation) -> dict[str, int]:
    """Return an instance's own counts for a zone."""
    return {
        name: getattr(row, name) for name in row.__struct_fields__ if name not in ("zone", "unreachable_bits")
    }


def evidence_fields(view: ZoneView, node: GossipNode, zone: str) -> dict[str, object]:
    """Return the local counts, each instance's vote with its age in seconds, and the local health score."""
    row = view.own.observation(zone)
    votes_by_instance = {
        name: [instance_vote(received.digest, zone), round(received.age, AGE_DIGITS)]
        for name, received in sorted(view.received.items())
    }
    return {
        "zone": zone,
        "observed": observed(row) if row is not None else {},
        "own_vote": instance_vote(view.own, zone),
        "votes": votes_by_instance,
        "alive": view.alive,
        "local_health": node.health.score,
    }
