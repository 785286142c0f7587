"""Gossip in virtual time: who lives is found out, nobody is accused falsely, and old news does not count."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sedgepitch.decisions.gossip.protocol import (
    Ack,
    Gossip,
    GossipSettings,
    Life,
    Nack,
    Ping,
    Rumour,
    State,
    Tell,
    Word,
)
from sedgepitch.model.gossipnet import Fleet, Network

DETECTED = 6.0  # s of virtual time; the fleets here need about 2


def joined(count: int, seed: int = 1, **network) -> tuple[Fleet, list[str]]:
    fleet = Fleet(count, seed, network=Network(**network))
    names = list(fleet.peers)
    fleet.until(lambda: fleet.agree(names), 30.0)
    return fleet, names


def accused(fleet: Fleet, since: int = 0) -> set[str]:
    return {about for _, _, what, about in fleet.seen.changes[since:] if what in ("suspected", "dead")}


@pytest.mark.parametrize("count", [2, 3, 12, 40])
def test_all_find_each_other_and_a_killed_one_is_dead_to_all(count):
    fleet, names = joined(count)
    assert not accused(fleet)
    fleet.kill(names[-1])
    fleet.until(lambda: fleet.agree(names[:-1]), 2 * DETECTED)
    assert accused(fleet) == {names[-1]}


@pytest.mark.parametrize("seed", range(4))
def test_nobody_is_accused_by_loss_doubling_and_disorder(seed):
    fleet, names = joined(16, seed, loss=0.2, doubled=0.2, most=0.05)
    fleet.run(120.0)  # some are suspected, which is refuted: nobody is taken for dead
    assert {what for _, _, what, _ in fleet.seen.changes} <= {"joined", "suspected", "back"}
    assert fleet.agree(names)


def test_a_killed_one_is_found_at_a_fifth_of_datagrams_lost():
    fleet, names = joined(16, loss=0.2)
    fleet.kill("d5")
    fleet.until(lambda: fleet.agree([n for n in names if n != "d5"]), DETECTED)


def test_one_that_slept_accuses_nobody_and_is_taken_back():
    fleet, names = joined(12)
    mark = len(fleet.seen.changes)
    for name in ("d3", "d4", "d5"):
        fleet.freeze(name)
    fleet.run(30.0)
    assert accused(fleet, mark) == {"d3", "d4", "d5"}
    mark, woke = len(fleet.seen.changes), fleet.now
    for name in ("d3", "d4", "d5"):
        fleet.wake(name)
    fleet.until(lambda: fleet.agree(names), DETECTED)
    by_sleepers = [c for c in fleet.seen.changes[mark:] if c[1] in ("d3", "d4", "d5") and c[2] == "dead"]
    assert not by_sleepers and fleet.now - woke < DETECTED
    assert all(fleet.peers[n].sleeps == 1 for n in ("d3", "d4", "d5"))


def test_one_that_slept_accuses_nobody_even_by_what_waited_in_its_sockets():
    fleet, names = joined(12)
    fleet.freeze("d3")
    fleet.run(30.0)
    mark = len(fleet.seen.changes)
    fleet.wake("d3", keep=True)
    fleet.until(lambda: fleet.agree(names), DETECTED)
    assert not [c for c in fleet.seen.changes[mark:] if c[1] == "d3" and c[2] in ("suspected", "dead")]


@pytest.mark.parametrize("cycle", [30.0, 3.0])
def test_two_halves_of_a_cut_find_each_other_again(cycle):
    fleet, names = joined(12)
    half = set(names[:6])
    for _ in range(3):
        fleet.network.cut = lambda a, b: (a in half) != (b in half)
        fleet.run(cycle)
        fleet.network.cut = lambda a, b: False
        fleet.run(cycle)
    fleet.until(lambda: fleet.agree(names), 10 * DETECTED)


def test_one_whose_answers_alone_are_cut_off_does_not_get_others_accused():
    fleet, names = joined(12)
    mark = len(fleet.seen.changes)
    fleet.network.cut = lambda a, b: b == "d7"  # it hears nothing
    fleet.run(20.0)
    others = [n for n in names if n != "d7"]
    assert fleet.agree(others)
    assert not [c for c in fleet.seen.changes[mark:] if c[1] in others and c[3] in others and c[2] == "dead"]


def test_words_reach_all_with_their_age_whatever_the_clocks_say():
    fleet, names = joined(12)
    fleet.peers["d0"].tell(fleet.clock("d0"), "zones", b"first")
    fleet.run(2.0)
    fleet.peers["d0"].tell(fleet.clock("d0"), "zones", b"second")
    said = fleet.now
    fleet.run(5.0)
    for name in names:
        age, body = fleet.peers[name].heard_of("zones", fleet.clock(name))["d0"]
        assert body == b"second"
        # Ages may fall short by the time on the way alone, which is a few milliseconds a hop.
        assert fleet.now - said - 0.2 <= age <= fleet.now - said + 1e-6


def test_words_of_a_new_life_outdo_those_of_the_former():
    fleet, names = joined(8)
    for number in range(20):
        fleet.peers["d2"].tell(fleet.clock("d2"), "zones", b"old %d" % number)
        fleet.run(0.2)
    fleet.kill("d2")
    fleet.start("d2").tell(fleet.clock("d2"), "zones", b"new")
    fleet.run(10.0)
    assert {fleet.peers[n].heard_of("zones", 0.0)["d2"][1] for n in names} == {b"new"}


def test_the_words_of_the_dead_are_gone():
    fleet, names = joined(8)
    fleet.peers["d2"].tell(fleet.clock("d2"), "zones", b"mine")
    fleet.run(2.0)
    fleet.kill("d2")
    fleet.until(lambda: fleet.agree([n for n in names if n != "d2"]), DETECTED)
    assert all("d2" not in fleet.peers[n].heard_of("zones", 0.0) for n in names if n != "d2")


def test_two_parts_that_met_apart_find_each_other_by_a_seed_that_neither_knows():
    fleet = Fleet(0, 3)
    for name in ("d1", "d2", "d3"):
        fleet.start(name)
    fleet.until(lambda: fleet.agree(["d1", "d2", "d3"]), 30.0)
    fleet.start("d0").seeds.clear()  # the first one of all asks nobody
    fleet.until(lambda: fleet.agree(["d0", "d1", "d2", "d3"]), 30.0)


def test_one_that_leaves_is_gone_at_once_and_is_not_called_dead():
    fleet, names = joined(12)
    for action in fleet.peers["d6"].leave(fleet.clock("d6")):
        fleet._send("d6", action)
    fleet.at(fleet.now + 0.01, lambda: fleet.kill("d6"))
    fleet.until(lambda: fleet.agree([n for n in names if n != "d6"]), 2.0)
    assert not accused(fleet)


def test_many_killed_at_once_are_all_found():
    fleet, names = joined(30)
    for name in names[9:]:
        fleet.kill(name)
    fleet.until(lambda: fleet.agree(names[:9]), 10 * DETECTED)


def lone(**changes) -> Gossip:
    made = Gossip(GossipSettings(**changes), "a", ("127.0.0.1", 1), [], 1)
    made.turn(0.0)
    return made


def rumour(name: str, incarnation: int = 0, life: Life = Life.ALIVE) -> Rumour:
    return Rumour(name, "127.0.0.1", 2, incarnation, int(life))


def test_a_suspicion_of_oneself_is_refuted_by_a_higher_incarnation():
    one = lone()
    one.heard(0.1, "b", Tell((rumour("b"), Rumour("a", "127.0.0.1", 1, 4, int(Life.DEAD)))))
    (said,) = one.heard(0.2, "b", Ping(1))
    assert isinstance(said.message, Ack)
    assert [(r.incarnation, r.life) for r in said.message.rumours if r.name == "a"] == [(5, 0)]


@pytest.mark.parametrize("held", list(Life))
@pytest.mark.parametrize("told", list(Life))
@pytest.mark.parametrize("step", [-1, 0, 1])
def test_what_is_newer_or_worse_replaces_what_is_held(held, told, step):
    one = lone()
    one.heard(0.1, "b", Tell((rumour("b", 5),)))
    one.peers["b"].life = held
    one.heard(0.2, "c", Tell((rumour("b", 5 + step, told),)))
    newer = step > 0 or (step == 0 and told > held)
    # A death is final for its incarnation; a suspicion does not raise the dead.
    if told is Life.ALIVE:
        newer = step > 0
    elif held >= Life.DEAD:
        newer = False
    assert one.peers["b"].life is (told if newer else held)


def test_what_can_grow_is_bounded():
    one = lone(most_peers=10, most_kinds=2)
    one.heard(0.1, "b", Tell(tuple(rumour(f"x{n}") for n in range(100))))
    assert len(one.peers) == 10
    words = tuple(Word("x1", f"k{n}", 1, 0.0, b"") for n in range(100))
    one.heard(0.2, "b", Tell((), words))
    assert len(one.peers["x1"].words) == 2
    one.heard(0.3, "b", Tell((), (Word("x2", "k", 1, 0.0, b"x" * 600), Word("x2", "k", 1, -1.0, b""))))
    one.heard(0.3, "b", Tell((), (Word("x2", "k", 1, float("nan"), b""), Word("nobody", "k", 1, 0.0, b""))))
    assert not one.peers["x2"].words
    with pytest.raises(ValueError, match="600"):
        one.tell(0.4, "k", b"x" * 600)
    one.heard(0.5, "b", Tell((rumour("n" * 65), Rumour("y", "h", 1, 0, 77))))
    assert len(one.peers) == 10


def test_another_dead_as_a_peer_holds_it_is_only_suspected_here():
    one = lone()
    one.heard(0.1, "b", Tell((rumour("b"), rumour("c"))))
    one.merge(0.2, State((rumour("c", 0, Life.DEAD),), ()), "b")
    assert one.peers["c"].life is Life.SUSPECT and one.alive() == ["a", "b", "c"]


STEPS = st.one_of(
    st.tuples(st.just("run"), st.floats(0.0, 3.0)),
    st.tuples(st.sampled_from(["kill", "start", "freeze", "wake", "leave"]), st.integers(0, 5)),
    st.tuples(st.just("cut"), st.integers(0, 63)),
)


@settings(max_examples=25)
@given(st.integers(0, 10_000), st.lists(STEPS, max_size=12))
def test_whatever_happens_all_agree_in_the_end(seed, steps):
    fleet = Fleet(6, seed, network=Network(loss=0.05, doubled=0.1, most=0.02))
    for what, value in steps:
        name = f"d{value}"
        if what == "run":
            fleet.run(value)
        elif what == "cut":
            sides = {f"d{n}" for n in range(6) if value >> n & 1}
            fleet.network.cut = lambda a, b, sides=sides: (a in sides) != (b in sides)
        elif what == "start" and name not in fleet.peers:
            fleet.start(name)
        elif what == "kill":
            fleet.kill(name)
        elif what == "freeze" and name in fleet.peers and name not in fleet.frozen:
            fleet.freeze(name)
        elif what == "wake" and name in fleet.frozen:
            fleet.wake(name, keep=True)
    fleet.network.cut = lambda a, b: False
    for name in list(fleet.frozen):
        fleet.wake(name)
    for name in ("d0", "d1"):  # the seeds of those that start
        if name not in fleet.peers:
            fleet.start(name)
    fleet.until(lambda: fleet.agree(sorted(fleet.peers)), 120.0, step=0.5)
    for peer in fleet.peers.values():
        assert len(peer._relayed) <= peer.settings.most_relayed and 0 <= peer.awareness <= 8


@settings(max_examples=100)
@given(
    st.lists(
        st.one_of(
            st.builds(Ping, st.integers(0, 9)),
            st.builds(Ack, st.integers(0, 9)),
            st.builds(Nack, st.integers(0, 9)),
            st.builds(
                Tell,
                st.tuples(
                    st.builds(
                        Rumour,
                        st.sampled_from(["a", "b", "c"]),
                        st.just("h"),
                        st.integers(0, 65535),
                        st.integers(0, 2**40),
                        st.integers(-2, 6),
                        st.sampled_from(["", "a", "b", "z"]),
                    )
                ),
            ),
        ),
        max_size=30,
    )
)
def test_no_message_brings_a_peer_down_or_makes_it_talk_without_end(messages):
    one, now = lone(), 0.0
    for message in messages:
        now += 0.01
        assert len(one.heard(now, "b", message)) <= 1
    for _ in range(50):
        now = max(now, one.due())
        assert len(one.turn(now)) <= 12
    assert one.due() > now - 1e-9
