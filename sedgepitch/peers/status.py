"""The state of a peer as JSON for operators; other tools read its keys, so they stay stable."""

from __future__ import annotations

from sedgepitch.decisions.gossip.members import Member
from sedgepitch.decisions.gossip.messages import MemberState
from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.peers.counters import PeerCounter

AGE_DIGITS = 3  # milliseconds


def node_status(
    node: GossipNode, now: float, counters: dict[PeerCounter, int], sent_bytes: int
) -> dict[str, object]:
    """Return the state of the node and its view of all other members."""
    host, port = node.table.address
    return {
        "name": node.name,
        "address": f"{host}:{port}",
        "incarnation": node.table.incarnation,
        "awareness": node.health.score,
        "sleeps": node.pauses,
        "suspicions": node.membership.suspicions,
        "deaths": node.membership.deaths,
        "counts": {counter.value: count for counter, count in counters.items()},
        "sent_bytes": sent_bytes,
        "peers": [_member_status(node, now, node.members[name]) for name in sorted(node.members)],
    }


def _member_status(node: GossipNode, now: float, member: Member) -> dict[str, object]:
    host, port = node.table.address_of(member.name) or member.address
    suspected = member.state is MemberState.SUSPECT
    return {
        "name": member.name,
        "address": f"{host}:{port}",
        "life": member.state.name.lower(),
        "for_s": round(now - member.state_since, AGE_DIGITS),
        "incarnation": member.incarnation,
        "accusers": sorted(member.accusers) if suspected else [],
        "words": {
            kind: round(now - entry.published_at, AGE_DIGITS) for kind, entry in member.entries.items()
        },
    }
