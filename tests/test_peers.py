"""Several processes that know each other: killed, frozen, restarted, spoken to by those without the key."""

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

from sedgepitch.decisions.gossip.protocol import Ack, Ask, Nack, Ping, Rumour, State, Tell, Word
from sedgepitch.decisions.gossip.replay_protection import CHALLENGE_EVERY, LATE, Sessions, Verdict
from sedgepitch.peers import wire
from sedgepitch.peers.keys import BadSeal, KeyFileError, Sealer, load_keys, new_key_file
from sedgepitch.peers.wire import BadDatagram, Challenge, Envelope, Opened, Opening, Proof, Whole
from sedgepitch.scenarios.network_links import Link
from sedgepitch.scenarios.peer_processes import Peers, until
from tests.support.platform import ROOT

NAMES = st.text(max_size=64)
NUMBERS = st.integers(0, 2**63 - 1)
RUMOURS = st.lists(
    st.builds(Rumour, NAMES, NAMES, st.integers(0, 65535), NUMBERS, st.integers(0, 3), NAMES), max_size=12
).map(tuple)
WORDS = st.lists(
    st.builds(Word, NAMES, NAMES, NUMBERS, st.floats(0, 1e6), st.binary(max_size=512)), max_size=6
).map(tuple)
STATES = st.builds(State, RUMOURS, WORDS)
BODIES = st.one_of(
    st.builds(Ping, NUMBERS, RUMOURS, WORDS),
    st.builds(Ask, NUMBERS, NAMES, RUMOURS, WORDS),
    st.builds(Ack, NUMBERS, RUMOURS, WORDS),
    st.builds(Nack, NUMBERS),
    st.builds(Tell, RUMOURS, WORDS),
    st.builds(Challenge, st.binary(max_size=32)),
    st.builds(Proof, st.binary(max_size=32)),
    st.builds(Opening, st.binary(max_size=32)),
    st.builds(Opened, st.binary(max_size=32), st.binary(max_size=32)),
    st.builds(Whole, st.binary(max_size=32), st.one_of(st.none(), STATES)),
)
ENVELOPES = st.builds(Envelope, NAMES, NAMES, NUMBERS, NUMBERS, BODIES)
SEALER = Sealer([b"k" * 32])


@pytest.fixture
def fleet(tmp_path):
    held = Peers(tmp_path, 5, "--period", "0.5")  # slow, so that a busy machine is not taken for dead
    until(lambda: held.agree(set(held.all)))
    yield held
    held.end()


def test_all_know_each_other_and_a_killed_one_is_dead_to_all(fleet):
    fleet.all["d3"].end()
    left = {"d0", "d1", "d2", "d4"}
    until(lambda: fleet.agree(left))
    assert all(fleet.all[n].heard("dead", "d3") for n in left)
    fleet.start("d3")
    until(lambda: fleet.agree(left | {"d3"}))


def test_frozen_ones_are_dead_to_the_others_accuse_nobody_and_come_back(fleet):
    frozen, awake = {"d1", "d2"}, {"d0", "d3", "d4"}
    for name in frozen:
        fleet.all[name].signal(signal.SIGSTOP)
    until(lambda: fleet.agree(awake))
    time.sleep(2.0)
    for name in frozen:
        fleet.all[name].signal(signal.SIGCONT)
    until(lambda: fleet.agree(frozen | awake))
    for name in frozen:
        held = fleet.all[name].status()  # it may have heard of the other's death, but found none itself
        assert held["deaths"] == 0 and held["sleeps"] >= 1


def test_words_reach_all_and_outlive_a_restart_of_the_one_who_said_them(fleet):
    fleet.all["d2"].say("tell zones first")
    until(lambda: all("d2" in p.status("zones")["words"]["zones"] for p in fleet.all.values()))
    fleet.all["d2"].end()
    fleet.start("d2").say("tell zones second")
    until(
        lambda: all(
            p.status("zones")["words"]["zones"].get("d2", [0, ""])[1] == "second" for p in fleet.all.values()
        )
    )


def test_one_that_is_stopped_says_goodbye(fleet):
    fleet.all["d4"].signal(signal.SIGTERM)
    assert fleet.all["d4"].process.wait(timeout=60) == 0
    left = {"d0", "d1", "d2", "d3"}
    until(lambda: fleet.agree(left))
    assert all(fleet.all[n].heard("left", "d4") or fleet.all[n].heard("dead", "d4") for n in left)
    assert any(fleet.all[n].heard("left", "d4") for n in left)


def test_a_wrong_key_has_no_effect_at_all_and_is_said(fleet, tmp_path):
    new_key_file(tmp_path / "other")
    before = fleet.all["d0"].status()
    stranger = fleet.start("d9", key=tmp_path / "other")
    until(lambda: fleet.all["d0"].status()["counts"].get("bad frames"))
    after = fleet.all["d0"].status()
    assert {p["name"] for p in after["peers"]} == {p["name"] for p in before["peers"]}
    assert stranger.alive() == {"d9"}
    assert [x for x in fleet.all["d0"].heard("line") if x["event"] == "peers.bad_frame" and "tag" in x["why"]]


def test_garbage_at_full_speed_changes_nothing_and_costs_a_line_a_second(fleet):
    host, _, port = fleet.all["d0"].address().rpartition(":")
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
    until(lambda: fleet.agree(set(fleet.all)))
    lines = [x for x in fleet.all["d0"].heard("line") if x["event"] == "peers.bad"]
    assert lines and len(lines) <= time.monotonic() - began + 2
    assert fleet.all["d0"].status()["counts"]["bad"] > 100
    assert fleet.all["d0"].process.poll() is None


def test_replayed_datagrams_have_no_effect_not_even_on_the_next_life(tmp_path):
    held = Peers(tmp_path, 2)
    relay = Link(held.all["d0"].address())
    speaker = held.start("d2", "--route", f"d0={relay.address}")
    try:
        until(lambda: held.agree({"d0", "d1", "d2"}) and len(relay.kept) > 10)
        speaker.say("tell zones something")
        until(lambda: "d2" in held.all["d0"].status("zones")["words"]["zones"])
        kept = list(relay.kept)
        dropped = replay(relay, kept, held.all["d0"])
        assert dropped > 0
        speaker.end()
        until(lambda: held.agree({"d0", "d1"}))
        assert replay(relay, kept, held.all["d0"]) > 0  # of a life that has ended: nothing raises the dead
        assert held.agree({"d0", "d1"})
        assert "d2" not in held.all["d0"].status("zones")["words"]["zones"]
    finally:
        relay.close()
        held.end()


def replay(relay, kept, to):
    """Send all of it once more; returns how many were dropped as replays once the last has been read."""
    counts = to.status()["counts"]
    for data in kept:
        relay.send(data)
    relay.send(b"the last")
    until(lambda: to.status()["counts"].get("bad", 0) > counts.get("bad", 0))
    return to.status()["counts"].get("replayed", 0) - counts.get("replayed", 0)


def test_datagrams_cut_off_while_streams_go_through_make_nobody_dead(tmp_path):
    held = Peers(tmp_path, 3, "--period", "1.0")
    relays = [Link(held.all[n].address()) for n in ("d0", "d1", "d2")]
    routes = [x for n, r in enumerate(relays) for x in ("--route", f"d{n}={r.address}")]
    try:
        until(lambda: held.agree({"d0", "d1", "d2"}))
        held.start("d3", *routes)
        for relay in relays:  # what d3 says by datagram is lost; the others' streams reach it
            relay.cut = True
        until(lambda: held.agree({"d0", "d1", "d2", "d3"}))
        time.sleep(8.0)
        assert not any(held.all[n].heard("dead") for n in ("d0", "d1", "d2"))
    finally:
        for relay in relays:
            relay.close()
        held.end()


# Without processes


@given(ENVELOPES)
def test_what_is_written_is_read_and_fits_its_datagram(envelope):
    data = wire.encode(SEALER, envelope, wire.MOST_FRAME)
    assert wire.decode(SEALER, data, wire.MOST_FRAME) == envelope
    if not isinstance(envelope.body, Whole):
        short = wire.decode(SEALER, wire.encode(SEALER, envelope))
        assert len(wire.encode(SEALER, envelope)) <= wire.MOST_DATAGRAM
        assert (short.sender, short.counter, type(short.body)) == (
            envelope.sender,
            envelope.counter,
            type(envelope.body),
        )


@given(st.one_of(st.binary(max_size=1500), st.binary(max_size=200).map(SEALER.seal)))
def test_bytes_that_are_no_envelope_are_one_kind_of_error(data):
    with pytest.raises(BadDatagram) as caught:
        wire.decode(SEALER, data)
    assert "\n" not in str(caught.value)


@given(ENVELOPES, st.integers(0, 10**6), st.integers(1, 255))
def test_one_changed_byte_has_no_effect(envelope, place, change):
    data = bytearray(wire.encode(SEALER, envelope, wire.MOST_FRAME))
    data[place % len(data)] ^= change
    with pytest.raises(BadDatagram):
        wire.decode(SEALER, bytes(data), wire.MOST_FRAME)


def test_fields_of_a_later_text_are_ignored_and_its_version_is_not():
    import msgspec

    plain = msgspec.msgpack.encode(["a", "b", 1, 2, [1, 7, [], [], "new"], {"newer": 1}])
    assert wire.decode(SEALER, SEALER.seal(plain)).body == Ping(7)
    later = bytearray(SEALER.seal(plain))
    later[0] = 2
    with pytest.raises(BadDatagram, match="version 2"):
        wire.decode(SEALER, bytes(later))


def test_a_key_is_changed_in_three_steps(tmp_path):
    old, new = Sealer([b"o" * 32]), Sealer([b"n" * 32])
    both = Sealer([b"o" * 32, b"n" * 32])
    assert old.open(both.seal(b"x")) == both.open(new.seal(b"x")) == both.open(old.seal(b"x")) == b"x"
    with pytest.raises(BadSeal):
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
def test_a_key_file_that_cannot_be_used_is_one_line(tmp_path, text, mode, why):
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
def test_each_datagram_of_a_life_is_taken_once_at_most(counters):
    held, taken = Sessions(1), []
    held.accept(0.0, "a", 7, 0)
    for counter in counters:
        if held.judge(0.0, "a", 7, counter) is Verdict.TAKE:
            taken.append(counter)
    assert len(taken) == len(set(taken))
    highest = 0
    for counter in counters:  # nothing is refused that came for the first time and not far behind
        if counter > highest - 64 and counter not in counters[: counters.index(counter)]:
            assert counter in taken or counter <= highest - 64
        highest = max(highest, counter)


def test_a_life_is_believed_only_once_it_repeats_a_fresh_number():
    held = Sessions(1)
    assert held.judge(0.0, "a", 7, 1) is Verdict.CHALLENGE
    number = held.challenge(0.0, "a")
    assert number and held.challenge(CHALLENGE_EVERY / 2, "a") is None
    assert not held.proven(0.1, "a", 7, 2, b"another") and not held.proven(0.1, "b", 7, 2, number)
    assert held.proven(0.1, "a", 7, 2, number) and not held.proven(0.1, "a", 7, 2, number)
    assert held.judge(0.2, "a", 7, 2) is Verdict.DROP and held.judge(0.2, "a", 7, 5) is Verdict.TAKE
    assert held.judge(0.3, "a", 7, 4) is Verdict.TAKE and held.judge(0.3 + LATE, "a", 7, 3) is Verdict.DROP
    assert held.judge(0.4, "a", 8, 9) is Verdict.CHALLENGE and held.judge(0.4, "a", 7, 6) is Verdict.TAKE
    late = held.challenge(1.0, "a")
    assert late and not held.proven(9.0, "a", 8, 1, late)


def test_what_is_held_of_names_is_bounded():
    held = Sessions(1, most=10)
    for number in range(100):
        held.accept(0.0, f"x{number}", 1, 1)
        held.challenge(0.0, f"y{number}")
    assert len(held.held) == 10 and len(held.asked) == 10
