"""Positions by optimes and observations of the primary, checked against a model that knows the truth."""

from __future__ import annotations

import random

from hypothesis import event, given, settings
from hypothesis import strategies as st

from sedgepitch.core.connection_pool import PoolLimits
from sedgepitch.decisions.positions import (
    OBSERVATIONS_MAX,
    OPTIME_LEAP_MAX_S,
    POSITION_UNKNOWN,
    GroupPositions,
    PrimaryObservations,
)
from sedgepitch.protocols.mongodb.upstream import MongoUpstream


def test_an_idle_primary_keeps_a_replica_fresh_that_has_everything():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_hello(2, 10.1, False, 1, (5, 1))
    assert group.position(2) == 10.0
    for second in range(11, 60):
        group.observe_hello(1, float(second), True, 1, (5, 1))
        assert group.position(2) == float(second)


def test_a_replica_that_lags_is_as_old_as_the_observation_it_has_reached():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_write(1, 11.0, (6, 1))
    group.observe_write(1, 12.0, (7, 1))
    assert group.observe_hello(2, 12.5, False, 1, (6, 3)).position == 11.0
    assert group.observe_hello(2, 12.6, False, 1, (7, 1)).position == 12.0
    assert group.observe_hello(3, 12.6, False, 1, (4, 9)).position == POSITION_UNKNOWN


def test_answers_in_any_order_make_no_stronger_observations():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_write(1, 20.0, (8, 1))  # a later question with a later optime is heard first
    group.observe_write(1, 15.0, (9, 1))  # an earlier question, answered late: useless
    assert group.observe_hello(2, 21.0, False, 1, (8, 1)).position == 20.0
    assert group.observations.position_of((9, 5)) == 20.0


def test_a_former_primary_proves_nothing_after_a_newer_term_is_seen():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_hello(2, 10.0, False, 1, (5, 1))
    group.observe_hello(3, 11.0, True, 2, (6, 1))
    assert group.observe_hello(1, 12.0, True, 1, (9, 9)).primary is False
    assert group.position(2) == POSITION_UNKNOWN  # its log may be the old one's
    assert group.observe_hello(2, 12.0, False, 2, (6, 1)).position == 11.0


def test_an_old_terms_write_answered_late_names_no_primary():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_hello(3, 11.0, True, 2, (6, 1))
    assert group.observe_write(1, 10.5, (5, 9)).primary is None
    assert group.observations.newest() == (11.0, (6, 1))


def test_a_primary_elected_again_is_not_believed_on_what_it_took_in_its_first_term():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_hello(3, 11.0, True, 2, (6, 1))
    group.observe_hello(1, 12.0, True, 3, (7, 1))
    assert group.observe_write(1, 10.5, (5, 9)).primary is None
    assert group.observations.newest() == (12.0, (7, 1))


def test_an_older_hello_that_comes_late_proves_nothing():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    assert group.observe_hello(1, 9.0, False, 1, (4, 1)).primary is None
    assert group.primary == 1


def test_two_claims_of_one_term_are_settled_by_a_write_alone():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    assert group.observe_hello(2, 10.5, True, 1, (4, 1)).primary is None
    assert group.contested
    assert group.observe_hello(1, 10.6, True, 1, (5, 1)).primary is None
    assert group.position(2) == POSITION_UNKNOWN
    group.observe_write_rejected(2)
    group.observe_write(1, 11.0, (6, 1))
    assert group.primary == 1
    assert group.observe_hello(1, 12.0, True, 1, (6, 1)).primary is True


def test_an_optime_far_ahead_of_the_log_is_not_believed():
    leap = int(OPTIME_LEAP_MAX_S)
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    assert group.observe_hello(2, 10.0, False, 1, (5 + leap + 1, 1)).position == POSITION_UNKNOWN
    group.observe_write(1, 11.0, (5 + leap + 100, 1))
    assert group.observations.newest() == (10.0, (5, 1))


def test_a_session_requires_the_first_observation_that_shows_its_write():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_write(1, 11.0, (6, 1))
    assert group.required_position((5, 9), 12.0) == 11.0
    assert (
        group.required_position((6, 2), 12.0) == 12.0
    )  # a write that no observation shows: nobody can have it
    assert group.required_position((2**31, 1), 12.0) == 12.0


def test_a_group_that_no_list_has_named_yet_has_positions():
    endpoints = MongoUpstream(None, None, {}, "one", PoolLimits(), 0.25, 0.125)
    assert endpoints.positions[0].required_position((5, 1), 12.0) == 12.0


def test_observations_stay_few():
    observations = PrimaryObservations()
    for n in range(10 * OBSERVATIONS_MAX):
        observations.add(float(n), (n, 1))
    assert len(observations.optimes) <= OBSERVATIONS_MAX
    assert observations.position_of((10 * OBSERVATIONS_MAX, 1)) == 10 * OBSERVATIONS_MAX - 1


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 30)), max_size=40), st.integers(0, 31))
def test_observations_answer_as_a_plain_list_would(pairs, asked):
    observations = PrimaryObservations()
    for at, optime in pairs:
        observations.add(float(at), (optime, 0))
    plain = [float(at) for at, optime in pairs if optime <= asked]
    assert observations.position_of((asked, 0)) == (max(plain) if plain else None)
    assert observations.optimes == sorted(set(observations.optimes))
    assert observations.last_sent == sorted(observations.last_sent)


class Truth:
    """A group with skewed clocks, lagging replicas, failovers, and former primaries that do not know it yet.

    Such a one goes on taking writes on a branch of its own, which some replicas follow; when it learns of its
    successor it gives the branch up, and so do they.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.now, self.term, self.primary = rng, 100.0, 1, 0
        self.skew = [rng.uniform(-20.0, 20.0) for _ in range(4)]
        self.logs: list[list[tuple]] = [[] for _ in range(4)]  # own: (optime, term, committed at)
        self.former: dict[int, int] = {}  # who still believes to be primary, and of which term
        self.commit(0, 1)

    def commit(self, endpoint: int, term: int) -> tuple:
        """A write at a primary; its optime follows its own clock, and only grows."""
        log = self.logs[endpoint]
        optime = (max(0, int(self.now + self.skew[endpoint])), 1)
        if log and log[-1][0] >= optime:
            optime = (log[-1][0][0], log[-1][0][1] + 1)
        log.append((optime, term, self.now))
        return optime

    def claims(self, endpoint: int) -> int | None:
        """The term in which an endpoint believes to be primary."""
        return self.term if endpoint == self.primary else self.former.get(endpoint)

    def replicate(self, endpoint: int) -> None:
        """A replica takes some of a primary's log and drops what differs; a former primary learns of it."""
        if endpoint == self.primary:
            return
        self.former.pop(endpoint, None)
        newest = self.logs[endpoint][-1][1] if self.logs[endpoint] else 0
        able = [m for m, term in self.former.items() if term >= newest]  # nobody goes back to an older term
        follow = self.rng.choice([self.primary, self.primary, *able])
        source, own = self.logs[follow], self.logs[endpoint]
        same = 0
        while same < min(len(source), len(own)) and source[same] == own[same]:
            same += 1
        self.logs[endpoint] = source[: same + self.rng.randrange(4)]

    def fail_over(self) -> None:
        """Another endpoint takes over with what it has; a new term begins with an entry of its own."""
        if self.rng.random() < 0.6:
            self.former[self.primary] = self.term
        self.primary = self.rng.choice([m for m in range(4) if m != self.primary])
        self.former.pop(self.primary, None)
        self.term += 1
        self.commit(self.primary, self.term)

    def surviving(self) -> list[tuple]:
        """The log that counts: the primary's."""
        return self.logs[self.primary]


@settings(max_examples=1500, deadline=None)
@given(st.integers(0, 2**32), st.integers(20, 150))
def test_no_position_claims_more_than_the_endpoint_has(seed, steps):
    rng = random.Random(seed)
    truth, group = Truth(rng), GroupPositions()
    late: list[
        tuple
    ] = []  # answers under way: (kind, endpoint, sent, primary then, term, optime, its log then)
    claims, greeted = 0, set()
    for _ in range(steps):
        truth.now += rng.uniform(0.0, 0.5)
        draw = rng.random()
        endpoint = rng.randrange(4)
        if draw < 0.3:
            at = rng.choice([truth.primary, *truth.former])
            late.append(
                ("write", at, truth.now, True, truth.claims(at), truth.commit(at, truth.claims(at)), None)
            )
        elif draw < 0.55:
            truth.replicate(endpoint)
        elif draw < 0.97:
            # Half of the questions are reads, whose answers tell no term and no role.
            # An endpoint is asked now and reads its state now; its answer may arrive much later.
            log = truth.logs[endpoint]
            if log:
                optime, term, _ = log[-1]
                primary = truth.claims(endpoint) is not None
                asked = (endpoint, truth.now, primary, term, optime, frozenset(log))
                late.append((rng.choice(["hello", "read"]), *asked))
        else:
            truth.fail_over()
        rng.shuffle(late)
        while late and rng.random() < 0.6:
            kind, who, sent, primary, term, optime, held = late.pop()
            if kind == "write":
                if (who, term) in greeted:  # a connection says hello before it carries a write
                    group.observe_write(who, sent, optime)
                continue
            if kind == "read":
                evidence = group.observe_read(who, sent, optime)
            else:
                evidence = group.observe_hello(who, sent, primary, term, optime)
            greeted |= {(who, term)} if primary and kind == "hello" else set()
            if (
                evidence.primary is True
                or evidence.position in (None, POSITION_UNKNOWN)
                or group.term < truth.term
            ):
                continue  # a proxy that does not know of the newest term cannot know better
            needed = {entry for entry in truth.surviving() if entry[2] <= evidence.position}
            assert needed <= (held if kind == "hello" else set(truth.logs[who]))
            claims += bool(needed)
    event(f"claims: {min(claims, 5)}")
