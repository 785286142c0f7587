"""Replication positions from optimes and observations of the primary, checked against a simulated group."""

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


def test_a_replica_of_an_idle_primary_stays_fresh_without_writes():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_hello(2, 10.1, False, 1, (5, 1))
    assert group.position(2) == 10.0
    for second in range(11, 60):
        group.observe_hello(1, float(second), True, 1, (5, 1))
        assert group.position(2) == float(second)


def test_a_lagging_replica_has_the_position_of_the_newest_observation_that_it_applied():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_write(1, 11.0, (6, 1))
    group.observe_write(1, 12.0, (7, 1))
    assert group.observe_hello(2, 12.5, False, 1, (6, 3)).position == 11.0
    assert group.observe_hello(2, 12.6, False, 1, (7, 1)).position == 12.0
    assert group.observe_hello(3, 12.6, False, 1, (4, 9)).position == POSITION_UNKNOWN


def test_answers_out_of_order_do_not_overstate_positions():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_write(1, 20.0, (8, 1))  # a later request with a later optime is answered first
    group.observe_write(1, 15.0, (9, 1))  # an earlier request with a delayed answer: redundant
    assert group.observe_hello(2, 21.0, False, 1, (8, 1)).position == 20.0
    assert group.observations.position_of((9, 5)) == 20.0


def test_a_former_primary_proves_nothing_once_a_newer_term_is_seen():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_hello(2, 10.0, False, 1, (5, 1))
    group.observe_hello(3, 11.0, True, 2, (6, 1))
    assert group.observe_hello(1, 12.0, True, 1, (9, 9)).primary is False
    assert group.position(2) == POSITION_UNKNOWN  # its log may be that of the former primary
    assert group.observe_hello(2, 12.0, False, 2, (6, 1)).position == 11.0


def test_a_delayed_write_answer_of_an_old_term_does_not_prove_a_primary():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_hello(3, 11.0, True, 2, (6, 1))
    assert group.observe_write(1, 10.5, (5, 9)).primary is None
    assert group.observations.newest() == (11.0, (6, 1))


def test_a_reelected_primary_gives_no_observation_from_a_write_of_its_earlier_term():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_hello(3, 11.0, True, 2, (6, 1))
    group.observe_hello(1, 12.0, True, 3, (7, 1))
    assert group.observe_write(1, 10.5, (5, 9)).primary is None
    assert group.observations.newest() == (12.0, (7, 1))


def test_a_delayed_older_hello_proves_nothing():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    assert group.observe_hello(1, 9.0, False, 1, (4, 1)).primary is None
    assert group.primary == 1


def test_two_claims_of_one_term_are_settled_only_by_a_write():
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


def test_an_optime_far_ahead_of_the_log_is_ignored():
    leap = int(OPTIME_LEAP_MAX_S)
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    assert group.observe_hello(2, 10.0, False, 1, (5 + leap + 1, 1)).position == POSITION_UNKNOWN
    group.observe_write(1, 11.0, (5 + leap + 100, 1))
    assert group.observations.newest() == (10.0, (5, 1))


def test_a_session_requires_the_first_observation_that_includes_its_write():
    group = GroupPositions()
    group.observe_hello(1, 10.0, True, 1, (5, 1))
    group.observe_write(1, 11.0, (6, 1))
    assert group.required_position((5, 9), 12.0) == 11.0
    assert (
        group.required_position((6, 2), 12.0) == 12.0
    )  # no observation includes this write, so no replica is known to have it
    assert group.required_position((2**31, 1), 12.0) == 12.0


def test_a_group_that_is_not_in_any_list_yet_has_positions():
    endpoints = MongoUpstream(None, None, {}, "one", PoolLimits(), 0.25, 0.125)
    assert endpoints.positions[0].required_position((5, 1), 12.0) == 12.0


def test_the_number_of_observations_is_bounded():
    observations = PrimaryObservations()
    for n in range(10 * OBSERVATIONS_MAX):
        observations.add(float(n), (n, 1))
    assert len(observations.optimes) <= OBSERVATIONS_MAX
    assert observations.position_of((10 * OBSERVATIONS_MAX, 1)) == 10 * OBSERVATIONS_MAX - 1


@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 30)), max_size=40), st.integers(0, 31))
def test_observations_give_the_same_positions_as_a_plain_list(pairs, seconds):
    observations = PrimaryObservations()
    for at, optime in pairs:
        observations.add(float(at), (optime, 0))
    plain = [float(at) for at, optime in pairs if optime <= seconds]
    assert observations.position_of((seconds, 0)) == (max(plain) if plain else None)
    assert observations.optimes == sorted(set(observations.optimes))
    assert observations.last_sent == sorted(observations.last_sent)


class SimulatedGroup:
    """A simulated group with skewed clocks, lagging replicas, failovers and undetected failovers.

    A former primary that has not detected its failover continues to accept writes on its own branch, which
    some replicas follow. When it detects its successor, it and they roll the branch back.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.now, self.term, self.primary = rng, 100.0, 1, 0
        self.skew = [rng.uniform(-20.0, 20.0) for _ in range(4)]
        self.logs: list[list[tuple]] = [[] for _ in range(4)]  # by endpoint: (optime, term, committed at)
        self.former: dict[int, int] = {}  # former primary that has not detected its failover -> its term
        self.commit(0, 1)

    def commit(self, endpoint: int, term: int) -> tuple:
        """Commit a write at a primary; its optime follows the primary's clock and never decreases."""
        log = self.logs[endpoint]
        optime = (max(0, int(self.now + self.skew[endpoint])), 1)
        if log and log[-1][0] >= optime:
            optime = (log[-1][0][0], log[-1][0][1] + 1)
        log.append((optime, term, self.now))
        return optime

    def claims(self, endpoint: int) -> int | None:
        """Return the term in which an endpoint claims to be primary, if any."""
        return self.term if endpoint == self.primary else self.former.get(endpoint)

    def replicate(self, endpoint: int) -> None:
        """Copy some of a primary's log to an endpoint and drop what differs; a former primary steps down."""
        if endpoint == self.primary:
            return
        self.former.pop(endpoint, None)
        newest = self.logs[endpoint][-1][1] if self.logs[endpoint] else 0
        sources = [m for m, term in self.former.items() if term >= newest]  # never an older term again
        source_id = self.rng.choice([self.primary, self.primary, *sources])
        source, own = self.logs[source_id], self.logs[endpoint]
        same = 0
        while same < min(len(source), len(own)) and source[same] == own[same]:
            same += 1
        self.logs[endpoint] = source[: same + self.rng.randrange(4)]

    def fail_over(self) -> None:
        """Make another endpoint primary with its present log; the new term begins with its own entry."""
        if self.rng.random() < 0.6:
            self.former[self.primary] = self.term
        self.primary = self.rng.choice([m for m in range(4) if m != self.primary])
        self.former.pop(self.primary, None)
        self.term += 1
        self.commit(self.primary, self.term)

    def surviving(self) -> list[tuple]:
        """Return the log that survives, which is the primary's."""
        return self.logs[self.primary]


@settings(max_examples=1500, deadline=None)
@given(st.integers(0, 2**32), st.integers(20, 150))
def test_no_position_is_newer_than_what_the_endpoint_has(seed, steps):
    rng = random.Random(seed)
    simulated, group = SimulatedGroup(rng), GroupPositions()
    # In flight: (kind, endpoint, sent, primary, term, optime, log), with the endpoint's state at `sent`.
    answers: list[tuple] = []
    checked, hellos = 0, set()
    for _ in range(steps):
        simulated.now += rng.uniform(0.0, 0.5)
        draw = rng.random()
        endpoint = rng.randrange(4)
        if draw < 0.3:
            at = rng.choice([simulated.primary, *simulated.former])
            answers.append(
                (
                    "write",
                    at,
                    simulated.now,
                    True,
                    simulated.claims(at),
                    simulated.commit(at, simulated.claims(at)),
                    None,
                )
            )
        elif draw < 0.55:
            simulated.replicate(endpoint)
        elif draw < 0.97:
            # Half of the requests are reads, whose answers contain neither term nor role.
            # The endpoint processes the request now; its answer may arrive much later.
            log = simulated.logs[endpoint]
            if log:
                optime, term, _ = log[-1]
                primary = simulated.claims(endpoint) is not None
                answer = (endpoint, simulated.now, primary, term, optime, frozenset(log))
                answers.append((rng.choice(["hello", "read"]), *answer))
        else:
            simulated.fail_over()
        rng.shuffle(answers)
        while answers and rng.random() < 0.6:
            kind, responder, sent, primary, term, optime, log_then = answers.pop()
            if kind == "write":
                if (responder, term) in hellos:  # a connection sends hello before its first write
                    group.observe_write(responder, sent, optime)
                continue
            if kind == "read":
                evidence = group.observe_read(responder, sent, optime)
            else:
                evidence = group.observe_hello(responder, sent, primary, term, optime)
            hellos |= {(responder, term)} if primary and kind == "hello" else set()
            if (
                evidence.primary is True
                or evidence.position in (None, POSITION_UNKNOWN)
                or group.term < simulated.term
            ):
                continue  # before it has seen the newest term, the proxy cannot detect this
            needed = {entry for entry in simulated.surviving() if entry[2] <= evidence.position}
            assert needed <= (log_then if kind == "hello" else set(simulated.logs[responder]))
            checked += bool(needed)
    event(f"claims: {min(checked, 5)}")
