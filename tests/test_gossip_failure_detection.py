"""Failure detection: pings, indirect probes, suspicion, local health and pauses of the node's process."""

from __future__ import annotations

import pytest

from sedgepitch.decisions.gossip.actions import Action, EventKind, SendDatagram, StreamPing, SyncState
from sedgepitch.decisions.gossip.messages import (
    Ack,
    MembershipUpdate,
    MemberState,
    Message,
    Nack,
    Ping,
    PingRequest,
    UpdateMessage,
)
from sedgepitch.decisions.gossip.node import GossipNode
from sedgepitch.decisions.gossip.settings import GossipSettings

SETTINGS = GossipSettings()
JOINED_AT = 0.0


def node_with_members(*members: str) -> GossipNode:
    """Return a node with these members, whose first probe is due."""
    node = GossipNode(SETTINGS, "own", ("127.0.0.1", 1), [], seed=3)
    updates = tuple(MembershipUpdate(name, "127.0.0.1", 2, 0, int(MemberState.ALIVE)) for name in members)
    node.on_datagram(JOINED_AT, members[0], UpdateMessage(updates))
    return node


def sent_datagrams(actions: list[Action], kind: type[Message]) -> list[SendDatagram]:
    """Return the sent datagrams with one kind of message."""
    return [a for a in actions if isinstance(a, SendDatagram) and isinstance(a.message, kind)]


def start_probe(node: GossipNode) -> tuple[str, int]:
    """Start the first probe of the node; return its target and sequence number."""
    (ping,) = sent_datagrams(node.on_timer(JOINED_AT), Ping)
    return ping.to, ping.message.sequence


def test_ack_ends_the_probe_and_improves_local_health():
    node = node_with_members("a", "b")
    node.health.adjust(2)
    target, sequence = start_probe(node)
    node.on_datagram(0.05, target, Ack(sequence))
    assert node.health.score == 1
    assert sent_datagrams(node.on_timer(2 * SETTINGS.ping_timeout), PingRequest) == []
    node.on_timer(2 * SETTINGS.probe_interval)
    assert node.members[target].state is MemberState.ALIVE


def test_target_without_ack_is_probed_indirectly_and_by_stream_then_suspected():
    node = node_with_members("a", "b", "c", "d", "e")
    target, sequence = start_probe(node)
    actions = node.on_timer(SETTINGS.ping_timeout)
    requests = sent_datagrams(actions, PingRequest)
    assert len(requests) == SETTINGS.indirect_probes
    assert {(r.message.target, r.message.sequence) for r in requests} == {(target, sequence)}
    assert [a.to for a in actions if isinstance(a, StreamPing)] == [target]
    for request in requests:
        node.on_datagram(0.2, request.to, Nack(sequence))
    actions = node.on_timer(SETTINGS.probe_interval)
    assert node.members[target].state is MemberState.SUSPECT and node.members[target].accusers == {"own"}
    assert any(isinstance(action, SyncState) for action in actions)
    assert node.health.score == 0, "all nacks arrived: no sign of a local fault"
    assert EventKind.SUSPECTED in {event.kind for event in node.take_events()}


def test_missing_nacks_worsen_local_health():
    node = node_with_members("a", "b", "c", "d", "e")
    start_probe(node)
    node.on_timer(SETTINGS.ping_timeout)
    node.on_timer(SETTINGS.probe_interval)
    assert node.health.score == SETTINGS.indirect_probes
    extended_timeout = SETTINGS.ping_timeout * (1 + SETTINGS.indirect_probes)
    assert node.detector.due == pytest.approx(SETTINGS.probe_interval + extended_timeout)


# Guards against: survivors of many failures count the missing nacks of dead members against their own health.
def test_missing_nacks_of_silent_members_do_not_count_while_others_send_messages():
    node = node_with_members("a", "b", "c", "d", "e")
    target, sequence = start_probe(node)
    requests = sent_datagrams(node.on_timer(SETTINGS.ping_timeout), PingRequest)
    silent_helpers = {request.to for request in requests}
    (sender,) = set("abcde") - silent_helpers - {target}
    node.on_datagram(0.2, sender, UpdateMessage())
    node.on_timer(SETTINGS.probe_interval)
    assert node.members[target].state is MemberState.SUSPECT
    assert node.health.score == 0


def test_missing_nack_of_a_member_that_sent_messages_counts():
    node = node_with_members("a", "b", "c", "d", "e")
    _, sequence = start_probe(node)
    requests = sent_datagrams(node.on_timer(SETTINGS.ping_timeout), PingRequest)
    node.on_datagram(0.2, requests[0].to, Nack(sequence))
    node.on_datagram(0.2, requests[1].to, UpdateMessage())
    node.on_timer(SETTINGS.probe_interval)
    assert node.health.score == 1


def test_stream_answer_ends_the_probe():
    node = node_with_members("a", "b")
    target, _ = start_probe(node)
    node.on_timer(SETTINGS.ping_timeout)
    node.stream_ping_answered(0.2, target)
    node.on_timer(SETTINGS.probe_interval)
    assert node.members[target].state is MemberState.ALIVE


@pytest.mark.parametrize("answered", [True, False])
def test_relayed_probe_ends_with_an_ack_or_a_nack(answered):
    node = node_with_members("a", "b")
    (ping,) = sent_datagrams(node.on_datagram(0.01, "a", PingRequest(77, "b")), Ping)
    if answered:
        (reply,) = sent_datagrams(node.on_datagram(0.02, "b", Ack(ping.message.sequence)), Ack)
    else:
        (reply,) = sent_datagrams(node.on_timer(0.01 + SETTINGS.ping_timeout), Nack)
    assert (reply.to, reply.message.sequence) == ("a", 77)
    assert not node.detector.relayed


def test_suspicion_timeout_shrinks_with_more_accusers():
    node = node_with_members("a", "b")
    member = node.members["a"]
    timeouts = []
    for accuser in ("w", "x", "y", "z"):
        node.membership.suspect(1.0, member, accuser)
        timeouts.append(node.membership.suspicion_timeout(member))
    minimum = SETTINGS.suspicion_multiplier * SETTINGS.probe_interval
    assert timeouts == sorted(timeouts, reverse=True)
    assert timeouts[0] == pytest.approx(SETTINGS.suspicion_max_multiplier * minimum)
    assert timeouts[-1] == pytest.approx(minimum)


def test_pause_of_the_process_drops_the_probe_and_extends_suspicions():
    node = node_with_members("a", "b")
    start_probe(node)
    node.membership.suspect(0.0, node.members["a"], "b")
    delay = SETTINGS.pause_threshold + 60.0
    node.on_timer(node.due() + delay)
    assert node.pauses == 1 and node.health.score == 2
    assert node.members["a"].state is MemberState.SUSPECT
    assert node.members["b"].state is MemberState.ALIVE
