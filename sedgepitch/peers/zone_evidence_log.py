"""The evidence behind what an instance does with a zone, as fields of log events."""

from __future__ import annotations

from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.decisions.zones.digests import ZoneDigest, ZoneObservation
from sedgepitch.decisions.zones.evidence import ZoneView
from sedgepitch.decisions.zones.votes import Vote, partial_outages, votes
from sedgepitch.peers.zone_status import VOTE_NAMES

AGE_DIGITS = 2  # of seconds
UNFIT = "unfit"  # an instance that does not judge
PARTIAL_OUTAGE = "names"  # one that finds all it uses of a zone down, and uses too few to vote


def instance_vote(digest: ZoneDigest, zone: str) -> str:
    """Return what a digest says of a zone, in the words of `zone status`."""
    if not digest.may_judge:
        return UNFIT
    if zone in partial_outages(digest):
        return PARTIAL_OUTAGE
    return VOTE_NAMES[votes(digest).get(zone, Vote.NONE)]


def instance_votes(digest: ZoneDigest) -> dict[str, str]:
    """Return what a digest says of each zone."""
    return {row.zone: instance_vote(digest, row.zone) for row in digest.observations}


def observed(row: ZoneObservation) -> dict[str, int]:
    """Return an instance's own counts of a zone."""
    return {
        name: getattr(row, name) for name in row.__struct_fields__ if name not in ("zone", "unreachable_bits")
    }


def evidence_fields(view: ZoneView, node: GossipNode, zone: str) -> dict[str, object]:
    """Return the own counts, each instance's vote with its age in seconds, and this instance's fitness."""
    row = view.own.observation(zone)
    heard = {
        name: [instance_vote(received.digest, zone), round(received.age, AGE_DIGITS)]
        for name, received in sorted(view.received.items())
    }
    return {
        "zone": zone,
        "observed": observed(row) if row is not None else {},
        "own_vote": instance_vote(view.own, zone),
        "votes": heard,
        "alive": view.alive,
        "local_health": node.health.score,
    }
