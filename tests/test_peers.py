"""Peers as processes: killed, suspended, restarted, and sent garbage and replays by those without the key."""

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
    cluster = PeerCluster(
        tmp_path, 5, "--period", "0.5"
    )  # slow, so that a busy machine is not taken for dead
    wait_until(lambda: cluster.agree(set(cluster.peers)))
    yield cluster
    cluster.kill()


def test_all_know_each_other_and_a_killed_one_is_dead_to_all(cluster):
    cluster.peers["d3"].kill()
    left = {"d0", "d1", "d2", "d4"}
    wait_until(lambda: cluster.agree(left))
    assert all(cluster.peers[n].events("dead", "d3") for n in left)
    cluster.start("d3")
    wait_until(lambda: cluster.agree(left | {"d3"}))


def test_suspended_peers_are_dead_to_the_others_accuse_nobody_and_recover(cluster):
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
        status = cluster.peers[name].status()  # it may have heard of the other's death, but found none itself
        assert status["deaths"] == 0 and status["sleeps"] >= 1


def test_state_entries_reach_all_and_a_restarted_peer_replaces_its_own(cluster):
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


def test_a_peer_that_is_stopped_announces_that_it_leaves(cluster):
    cluster.peers["d4"].signal(signal.SIGTERM)
    assert cluster.peers["d4"].process.wait(timeout=60) == 0
    left = {"d0", "d1", "d2", "d3"}
    wait_until(lambda: cluster.agree(left))
    assert all(cluster.peers[n].events("left", "d4") or cluster.peers[n].events("dead", "d4") for n in left)
    assert any(cluster.peers[n].events("left", "d4") for n in left)


def test_a_wrong_key_has_no_effect_and_is_logged(cluster, tmp_path):
    new_key_file(tmp_path / "other")
    before = cluster.peers["d0"].status()
    stranger = cluster.start("d9", key=tmp_path / "other")
    wait_until(lambda: cluster.peers["d0"].status()["counts"].get("bad frames"))
    after = cluster.peers["d0"].status()
    assert {p["name"] for p in after["peers"]} == {p["name"] for p in before["peers"]}
    assert stranger.alive() == {"d9"}
    assert [
        x
        for x in cluster.peers["d0"].events("line")
        if x["event"] == "peers.invalid_frame" and "tag" in x["reason"]
    ]


def test_garbage_at_full_speed_changes_nothing_and_is_logged_once_a_second(cluster):
    host, _, port = cluster.peers["d0"].address().rpartition(":")
    out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    began = time.monotonic()
    for number in range(20_000):
        out.sendto(os.urandom(number % 1500), (host, int(port)))
    out.close()
    stream = socket.create_connection((host, int(port)), timeout=60)
    stream.sendall(b"\xff\xff\xff\xff garbage")
    try:
        assert stream.recv(10) == b""
    except ConnectionResetError:
        pass  # closed with what we sent unread
    stream.close()
    wait_until(lambda: cluster.agree(set(cluster.peers)))
    lines = [x for x in cluster.peers["d0"].events("line") if x["event"] == "peers.invalid_datagram"]
    assert lines and len(lines) <= time.monotonic() - began + 2
    assert cluster.peers["d0"].status()["counts"]["bad"] > 100
    assert cluster.peers["d0"].process.poll() is None


def test_replayed_datagrams_have_no_effect_not_even_on_the_next_session(tmp_path):
    cluster = PeerCluster(tmp_path, 2)
    relay = Link(cluster.peers["d0"].address())
    speaker = cluster.start("d2", "--route", f"d0={relay.address}")
    try:
        wait_until(lambda: cluster.agree({"d0", "d1", "d2"}) and len(relay.kept) > 10)
        speaker.command("tell zones something")
        wait_until(lambda: "d2" in cluster.peers["d0"].status("zones")["words"]["zones"])
        kept = list(relay.kept)
        dropped = replay(relay, kept, cluster.peers["d0"])
        assert dropped > 0
        speaker.kill()
        wait_until(lambda: cluster.agree({"d0", "d1"}))
        assert (
            replay(relay, kept, cluster.peers["d0"]) > 0
        )  # of a session that has ended: nothing brings a dead member back
        assert cluster.agree({"d0", "d1"})
        assert "d2" not in cluster.peers["d0"].status("zones")["words"]["zones"]
    finally:
        relay.close()
        cluster.kill()


def replay(relay, kept, to):
    """Send all of it once more; returns how many were dropped as replays once the last has been read."""
    counts = to.status()["counts"]
    for data in kept:
        relay.send(data)
    relay.send(b"the last")
    wait_until(lambda: to.status()["counts"].get("bad", 0) > counts.get("bad", 0))
    return to.status()["counts"].get("replayed", 0) - counts.get("replayed", 0)


def test_datagrams_cut_off_while_streams_go_through_make_nobody_dead(tmp_path):
    cluster = PeerCluster(tmp_path, 3, "--period", "1.0")
    relays = [Link(cluster.peers[n].address()) for n in ("d0", "d1", "d2")]
    routes = [x for n, r in enumerate(relays) for x in ("--route", f"d{n}={r.address}")]
    try:
        wait_until(lambda: cluster.agree({"d0", "d1", "d2"}))
        cluster.start("d3", *routes)
        for relay in relays:  # what d3 says by datagram is lost; the others' streams reach it
            relay.cut = True
        wait_until(lambda: cluster.agree({"d0", "d1", "d2", "d3"}))
        time.sleep(8.0)
        assert not any(cluster.peers[n].events("dead") for n in ("d0", "d1", "d2"))
    finally:
        for relay in relays:
            relay.close()
        cluster.kill()


# Without processes


@given(ENVELOPES)
def test_what_is_written_is_read_and_fits_its_datagram(envelope):
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
def test_bytes_that_are_no_envelope_are_one_kind_of_error(data):
    with pytest.raises(InvalidMessageError) as caught:
        wire.decode(AUTHENTICATOR, data)
    assert "\n" not in str(caught.value)


@given(ENVELOPES, st.integers(0, 10**6), st.integers(1, 255))
def test_one_changed_byte_has_no_effect(envelope, place, change):
    data = bytearray(wire.encode(AUTHENTICATOR, envelope, wire.MAX_FRAME_BYTES))
    data[place % len(data)] ^= change
    with pytest.raises(InvalidMessageError):
        wire.decode(AUTHENTICATOR, bytes(data), wire.MAX_FRAME_BYTES)


def test_fields_of_a_later_version_are_ignored_and_its_version_byte_is_not():
    import msgspec

    plain = msgspec.msgpack.encode(["a", "b", 1, 2, [1, 7, [], [], "new"], {"newer": 1}])
    assert wire.decode(AUTHENTICATOR, AUTHENTICATOR.seal(plain)).body == Ping(7)
    later = bytearray(AUTHENTICATOR.seal(plain))
    later[0] = 2
    with pytest.raises(InvalidMessageError, match="version 2"):
        wire.decode(AUTHENTICATOR, bytes(later))


def test_a_key_is_changed_in_three_steps(tmp_path):
    old, new = Authenticator([b"o" * 32]), Authenticator([b"n" * 32])
    both = Authenticator([b"o" * 32, b"n" * 32])
    assert old.open(both.seal(b"x")) == both.open(new.seal(b"x")) == both.open(old.seal(b"x")) == b"x"
    with pytest.raises(AuthenticationError):
        old.open(new.seal(b"x"))


@pytest.mark.parametrize(
    ("text", "mode", "why"),
    [
        (None, 0o600, "No such file"),
        ("", 0o600, "0 keys"),
        ("zz" * 32, 0o600, "key:1: not hexadecimal"),
        ("# one\nab\n", 0o600, "key:2: a key has 64 to 128 digits, this one 2"),
        ("ab" * 32, 0o644, "others than its owner"),
        ("\n".join(["ab" * 32] * 5), 0o600, "5 keys"),
    ],
)
def test_a_key_file_that_cannot_be_used_is_reported_in_one_line(tmp_path, text, mode, why):
    path = tmp_path / "key"
    if text is not None:
        path.write_text(text)
        path.chmod(mode)
    with pytest.raises(KeyFileError, match=why) as caught:
        load_keys(path)
    assert "\n" not in str(caught.value)
    ran = subprocess.run(
        [sys.executable, "-m", "sedgepitch.peers", "--name", "a", "--key", str(path)],
        capture_output=True,
        text=True,
        cwd=ROOT,
    )
    assert ran.returncode == 1 and ran.stderr.count("\n") == 1 and why in ran.stderr


def test_a_new_key_file_is_its_owners_alone_and_never_written_over(tmp_path):
    new_key_file(tmp_path / "key")
    load_keys(tmp_path / "key")
    with pytest.raises(KeyFileError, match="exists"):
        new_key_file(tmp_path / "key")


@given(st.lists(st.integers(1, 200), max_size=80))
def test_each_datagram_of_a_session_is_accepted_once_at_most(counters):
    sessions = SenderSessions(1)
    accepted = []
    sessions.establish(0.0, "a", 7, 0)
    for counter in counters:
        if sessions.check(0.0, "a", 7, counter) is Verdict.ACCEPT:
            accepted.append(counter)
    assert len(accepted) == len(set(accepted))
    highest = 0
    for counter in counters:  # nothing is refused that came for the first time and not far behind
        if counter > highest - 64 and counter not in counters[: counters.index(counter)]:
            assert counter in accepted or counter <= highest - 64
        highest = max(highest, counter)


def test_a_session_is_accepted_only_once_it_repeats_a_fresh_nonce():
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
    late = sessions.challenge(1.0, "a")
    assert late and not sessions.verify(9.0, "a", 8, 1, late)


def test_sessions_and_challenges_are_bounded():
    sessions = SenderSessions(1, max_senders=10)
    for number in range(100):
        sessions.establish(0.0, f"x{number}", 1, 1)
        sessions.challenge(0.0, f"y{number}")
    assert len(sessions.sessions) == 10 and len(sessions.challenges) == 10
