"""Peers as processes: killed, suspended and restarted, and exposed to garbage and replays without the key."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.decisions.gossip.messages import (
    Ack,
    ClusterState,
    MembershipUpdate,
    Nack,
    Ping,
    PingRequest,
    StateEntry,
    UpdateMessage,
)
from sedgepitch.decisions.gossip.replay_protection import (
    CHALLENGE_INTERVAL_S,
    REORDER_MAX_S,
    SenderSessions,
    Verdict,
)
from sedgepitch.peers import wire
from sedgepitch.peers.keys import AuthenticationError, Authenticator, KeyFileError, load_keys, new_key_file
from sedgepitch.peers.wire import (
    Challenge,
    ChallengeResponse,
    Envelope,
    InvalidMessageError,
    StreamHello,
    StreamHelloReply,
    StreamState,
)
from sedgepitch.scenarios.network_links import Link
from sedgepitch.scenarios.peer_processes import PeerCluster, wait_until
from tests.support.platform import ROOT

NAMES = st.text(max_size=64)
NUMBERS = st.integers(0, 2**63 - 1)
UPDATES = st.lists(
    st.builds(MembershipUpdate, NAMES, NAMES, st.integers(0, 65535), NUMBERS, st.integers(0, 3), NAMES),
    max_size=12,
).map(tuple)
ENTRIES = st.lists(
    st.builds(StateEntry, NAMES, NAMES, NUMBERS, st.floats(0, 1e6), st.binary(max_size=512)), max_size=6
).map(tuple)
STATES = st.builds(ClusterState, UPDATES, ENTRIES)
BODIES = st.one_of(
    st.builds(Ping, NUMBERS, UPDATES, ENTRIES),
    st.builds(PingRequest, NUMBERS, NAMES, UPDATES, ENTRIES),
    st.builds(Ack, NUMBERS, UPDATES, ENTRIES),
    st.builds(Nack, NUMBERS),
    st.builds(UpdateMessage, UPDATES, ENTRIES),
    st.builds(Challenge, st.binary(max_size=32)),
    st.builds(ChallengeResponse, st.binary(max_size=32)),
    st.builds(StreamHello, st.binary(max_size=32)),
    st.builds(StreamHelloReply, st.binary(max_size=32), st.binary(max_size=32)),
    st.builds(StreamState, st.binary(max_size=32), st.one_of(st.none(), STATES)),
)
ENVELOPES = st.builds(Envelope, NAMES, NAMES, NUMBERS, NUMBERS, BODIES)
AUTHENTICATOR = Authenticator([b"k" * 32])


@pytest.fixture
def cluster(tmp_path):
    # A slow probe period, so that load on the machine causes no false death.
    cluster = PeerCluster(tmp_path, 5, "--period", "0.5")
    wait_until(lambda: cluster.agree(set(cluster.peers)))
    yield cluster
    cluster.kill()


def test_killed_peer_is_declared_dead_by_all_and_rejoins_after_restart(cluster):
    cluster.peers["d3"].kill()
    remaining = {"d0", "d1", "d2", "d4"}
    wait_until(lambda: cluster.agree(remaining))
    assert all(cluster.peers[n].events("dead", "d3") for n in remaining)
    cluster.start("d3")
    wait_until(lambda: cluster.agree(remaining | {"d3"}))


def test_suspended_peers_are_declared_dead_recover_and_declare_no_death_themselves(cluster):
    suspended = {"d1", "d2"}
    running = {"d0", "d3", "d4"}
    for name in suspended:
        cluster.peers[name].signal(signal.SIGSTOP)
    wait_until(lambda: cluster.agree(running))
    time.sleep(2.0)
    for name in suspended:
        cluster.peers[name].signal(signal.SIGCONT)
    wait_until(lambda: cluster.agree(suspended | running))
    for name in suspended:
        # It may have received the other peer's death, but must not have declared one itself.
        status = cluster.peers[name].status()
        assert status["deaths"] == 0 and status["sleeps"] >= 1


def test_state_entries_reach_all_peers_and_a_restarted_peer_replaces_its_entry(cluster):
    cluster.peers["d2"].command("tell zones first")
    wait_until(lambda: all("d2" in p.status("zones")["words"]["zones"] for p in cluster.peers.values()))
    cluster.peers["d2"].kill()
    cluster.start("d2").command("tell zones second")
    wait_until(
        lambda: all(
            p.status("zones")["words"]["zones"].get("d2", [0, ""])[1] == "second"
            for p in cluster.peers.values()
        )
    )


def test_stopped_peer_announces_that_it_leaves(cluster):
    cluster.peers["d4"].signal(signal.SIGTERM)
    assert cluster.peers["d4"].process.wait(timeout=60) == 0
    remaining = {"d0", "d1", "d2", "d3"}
    wait_until(lambda: cluster.agree(remaining))
    assert all(
        cluster.peers[n].events("left", "d4") or cluster.peers[n].events("dead", "d4") for n in remaining
    )
    assert any(cluster.peers[n].events("left", "d4") for n in remaining)


def test_peer_with_another_key_has_no_effect_and_is_logged(cluster, tmp_path):
    new_key_file(tmp_path / "other")
    before = cluster.peers["d0"].status()
    outsider = cluster.start("d9", key=tmp_path / "other")
    wait_until(lambda: cluster.peers["d0"].status()["counts"].get("bad frames"))
    after = cluster.peers["d0"].status()
    assert {p["name"] for p in after["peers"]} == {p["name"] for p in before["peers"]}
    assert outsider.alive() == {"d9"}
    assert [
        x
        for x in cluster.peers["d0"].events("line")
        if x["event"] == "peers.invalid_frame" and "tag" in x["reason"]
    ]


def test_garbage_flood_has_no_effect_and_is_logged_once_per_second(cluster):
    host, _, port = cluster.peers["d0"].address().rpartition(":")
    out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    started_at = time.monotonic()
    for number in range(20_000):
        out.sendto(os.urandom(number % 1500), (host, int(port)))
    out.close()
    stream = socket.create_connection((host, int(port)), timeout=60)
    stream.sendall(b"\xff\xff\xff\xff garbage")
    try:
        assert stream.recv(10) == b""
    except ConnectionResetError:
        pass  # the peer closed the connection with unread bytes
    stream.close()
    wait_until(lambda: cluster.agree(set(cluster.peers)))
    lines = [x for x in cluster.peers["d0"].events("line") if x["event"] == "peers.invalid_datagram"]
    assert lines and len(lines) <= time.monotonic() - started_at + 2
    assert cluster.peers["d0"].status()["counts"]["bad"] > 100
    assert cluster.peers["d0"].process.poll() is None


def test_replayed_datagrams_have_no_effect_during_or_after_their_session(tmp_path):
    cluster = PeerCluster(tmp_path, 2)
    relay = Link(cluster.peers["d0"].address())
    sender = cluster.start("d2", "--route", f"d0={relay.address}")
    try:
        wait_until(lambda: cluster.agree({"d0", "d1", "d2"}) and len(relay.kept) > 10)
        sender.command("tell zones something")
        wait_until(lambda: "d2" in cluster.peers["d0"].status("zones")["words"]["zones"])
        datagrams = list(relay.kept)
        dropped = replay(relay, datagrams, cluster.peers["d0"])
        assert dropped > 0
        sender.kill()
        wait_until(lambda: cluster.agree({"d0", "d1"}))
        # The session has ended; a replay must not revive the dead member.
        assert replay(relay, datagrams, cluster.peers["d0"]) > 0
        assert cluster.agree({"d0", "d1"})
        assert "d2" not in cluster.peers["d0"].status("zones")["words"]["zones"]
    finally:
        relay.close()
        cluster.kill()


def replay(relay, datagrams, peer):
    """Resend all datagrams, wait for a final marker, and return the number dropped as replays."""
    counts = peer.status()["counts"]
    for data in datagrams:
        relay.send(data)
    relay.send(b"the last")
    wait_until(lambda: peer.status()["counts"].get("bad", 0) > counts.get("bad", 0))
    return peer.status()["counts"].get("replayed", 0) - counts.get("replayed", 0)


def test_loss_of_datagrams_alone_causes_no_death_while_streams_pass(tmp_path):
    cluster = PeerCluster(tmp_path, 3, "--period", "1.0")
    relays = [Link(cluster.peers[n].address()) for n in ("d0", "d1", "d2")]
    routes = [x for n, relay in enumerate(relays) for x in ("--route", f"d{n}={relay.address}")]
    try:
        wait_until(lambda: cluster.agree({"d0", "d1", "d2"}))
        cluster.start("d3", *routes)
        for relay in relays:  # all datagrams from d3 are lost; streams of the others still reach it
            relay.cut = True
        wait_until(lambda: cluster.agree({"d0", "d1", "d2", "d3"}))
        time.sleep(8.0)
        assert not any(cluster.peers[n].events("dead") for n in ("d0", "d1", "d2"))
    finally:
        for relay in relays:
            relay.close()
        cluster.kill()


# Tests without processes


@given(ENVELOPES)
def test_envelopes_round_trip_and_fit_into_a_datagram(envelope):
    data = wire.encode(AUTHENTICATOR, envelope, wire.MAX_FRAME_BYTES)
    assert wire.decode(AUTHENTICATOR, data, wire.MAX_FRAME_BYTES) == envelope
    if not isinstance(envelope.body, StreamState):
        short = wire.decode(AUTHENTICATOR, wire.encode(AUTHENTICATOR, envelope))
        assert len(wire.encode(AUTHENTICATOR, envelope)) <= wire.MAX_DATAGRAM_BYTES
        assert (short.sender, short.counter, type(short.body)) == (
            envelope.sender,
            envelope.counter,
            type(envelope.body),
        )


@given(st.one_of(st.binary(max_size=1500), st.binary(max_size=200).map(AUTHENTICATOR.seal)))
def test_invalid_bytes_raise_invalid_message_error(data):
    with pytest.raises(InvalidMessageError) as caught:
        wire.decode(AUTHENTICATOR, data)
    assert "\n" not in str(caught.value)


@given(ENVELOPES, st.integers(0, 10**6), st.integers(1, 255))
def test_message_with_one_changed_byte_is_rejected(envelope, position, change):
    data = bytearray(wire.encode(AUTHENTICATOR, envelope, wire.MAX_FRAME_BYTES))
    data[position % len(data)] ^= change
    with pytest.raises(InvalidMessageError):
        wire.decode(AUTHENTICATOR, bytes(data), wire.MAX_FRAME_BYTES)


def test_unknown_trailing_fields_are_ignored_and_an_unknown_version_is_rejected():
    import msgspec

    plain = msgspec.msgpack.encode(["a", "b", 1, 2, [1, 7, [], [], "new"], {"newer": 1}])
    assert wire.decode(AUTHENTICATOR, AUTHENTICATOR.seal(plain)).body == Ping(7)
    later = bytearray(AUTHENTICATOR.seal(plain))
    later[0] = 2
    with pytest.raises(InvalidMessageError, match="version 2"):
        wire.decode(AUTHENTICATOR, bytes(later))


def test_key_rotation_in_three_steps(tmp_path):
    old, new = Authenticator([b"o" * 32]), Authenticator([b"n" * 32])
    both = Authenticator([b"o" * 32, b"n" * 32])
    assert old.open(both.seal(b"x")) == both.open(new.seal(b"x")) == both.open(old.seal(b"x")) == b"x"
    with pytest.raises(AuthenticationError):
        old.open(new.seal(b"x"))


@pytest.mark.parametrize(
    ("text", "mode", "expected"),
    [
        (None, 0o600, "No such file"),
        ("", 0o600, "0 keys"),
        ("zz" * 32, 0o600, "key:1: not hexadecimal"),
        ("# one\nab\n", 0o600, "key:2: a key has 64 to 128 digits, this one 2"),
        ("ab" * 32, 0o644, "others than its owner"),
        ("\n".join(["ab" * 32] * 5), 0o600, "5 keys"),
    ],
)
def test_invalid_key_file_is_reported_in_one_line(tmp_path, text, mode, expected):
    path = tmp_path / "key"
    if text is not None:
        path.write_text(text)
        path.chmod(mode)
    with pytest.raises(KeyFileError, match=expected) as caught:
        load_keys(path)
    assert "\n" not in str(caught.value)
    result = subprocess.run(
        [sys.executable, "-m", "sedgepitch.peers", "--name", "a", "--key", str(path)],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert result.returncode == 1 and result.stderr.count("\n") == 1 and expected in result.stderr


def test_new_key_file_is_private_and_never_overwritten(tmp_path):
    new_key_file(tmp_path / "key")
    load_keys(tmp_path / "key")
    with pytest.raises(KeyFileError, match="exists"):
        new_key_file(tmp_path / "key")


@given(st.lists(st.integers(1, 200), max_size=80))
def test_each_datagram_of_a_session_is_accepted_at_most_once(counters):
    sessions = SenderSessions(1)
    accepted = []
    sessions.establish(0.0, "a", 7, 0)
    for counter in counters:
        if sessions.check(0.0, "a", 7, counter) is Verdict.ACCEPT:
            accepted.append(counter)
    assert len(accepted) == len(set(accepted))
    highest = 0
    for counter in counters:  # a first arrival within the replay window of 64 must be accepted
        if counter > highest - 64 and counter not in counters[: counters.index(counter)]:
            assert counter in accepted or counter <= highest - 64
        highest = max(highest, counter)


def test_session_is_accepted_only_after_it_returns_a_fresh_nonce():
    sessions = SenderSessions(1)
    assert sessions.check(0.0, "a", 7, 1) is Verdict.CHALLENGE
    nonce = sessions.challenge(0.0, "a")
    assert nonce and sessions.challenge(CHALLENGE_INTERVAL_S / 2, "a") is None
    assert not sessions.verify(0.1, "a", 7, 2, b"another") and not sessions.verify(0.1, "b", 7, 2, nonce)
    assert sessions.verify(0.1, "a", 7, 2, nonce) and not sessions.verify(0.1, "a", 7, 2, nonce)
    assert sessions.check(0.2, "a", 7, 2) is Verdict.DROP and sessions.check(0.2, "a", 7, 5) is Verdict.ACCEPT
    assert (
        sessions.check(0.3, "a", 7, 4) is Verdict.ACCEPT
        and sessions.check(0.3 + REORDER_MAX_S, "a", 7, 3) is Verdict.DROP
    )
    assert (
        sessions.check(0.4, "a", 8, 9) is Verdict.CHALLENGE
        and sessions.check(0.4, "a", 7, 6) is Verdict.ACCEPT
    )
    expired = sessions.challenge(1.0, "a")
    assert expired and not sessions.verify(9.0, "a", 8, 1, expired)


def test_sessions_and_challenges_are_bounded():
    sessions = SenderSessions(1, max_senders=10)
    for number in range(100):
        sessions.establish(0.0, f"x{number}", 1, 1)
        sessions.challenge(0.0, f"y{number}")
    assert len(sessions.sessions) == 10 and len(sessions.challenges) == 10
