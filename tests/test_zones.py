"""Zone failover without I/O, in steps of 0.1 s: observations, votes, quorums, states, operator commands."""

from __future__ import annotations

import zlib
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sedgepitch.decisions.zones import digests, operator_commands
from sedgepitch.decisions.zones.controller import ZoneController
from sedgepitch.decisions.zones.digests import ZoneDigest, ZoneObservation, ZoneStatus
from sedgepitch.decisions.zones.evidence import FleetEvidence, ReceivedDigest, ZoneView, vote_weights
from sedgepitch.decisions.zones.observations import ZoneObservations, endpoint_bit
from sedgepitch.decisions.zones.operator_commands import ZoneCommand, ZoneCommands
from sedgepitch.decisions.zones.settings import ZoneSettings
from sedgepitch.decisions.zones.states import ZoneState
from sedgepitch.decisions.zones.votes import Vote, votes

ZONES = ("a", "b", "c")
STEP = 0.1


def row(zone: str, condition: str = "well", share: float = 1.0) -> ZoneObservation:
    """Return an observation of a zone in this condition by an instance that sends it `share` of its reads."""
    if share <= 0.0:
        return ZoneObservation(zone)
    if condition == "lost":
        return ZoneObservation(zone, 3, 0, 3, 0, 0, 3, 3, endpoints_up=3)
    if condition == "half":
        return ZoneObservation(zone, 20, 12, 4, 0, 50, 4, 2)
    if condition == "one faulty":  # a single faulty endpoint
        return ZoneObservation(zone, 20, 14, 6, 0, 50, 3, 0, 1)
    if condition == "failing":
        return ZoneObservation(zone, 20, 12, 4, 4, 50, 3, 0, 3)
    if condition == "slow":
        return ZoneObservation(zone, 20, 20, 0, 0, 500, 3, 0, 0, 3)
    successes = round(100 * share)
    return ZoneObservation(zone, successes, successes, 0, 0, 900 if condition == "overloaded" else 50, 3)


class ZoneFleet:
    """Instances in three zones; `condition(own_zone, zone)` is what instances of `own_zone` see of `zone`.

    Digests arrive after `delay` steps, by default 0.3 s.
    """

    def __init__(self, names: int = 12, delay: int = 3, **settings) -> None:
        self.settings = ZoneSettings(**{"slow_start_window": 5.0, **settings})
        self.zone_of = {f"d{n:02}": ZONES[n % 3] for n in range(names)}
        self.request_rate = dict.fromkeys(self.zone_of, 10.0)
        self.controllers = {n: ZoneController(n, self.settings) for n in self.zone_of}
        self.now, self.delay = 100.0, delay
        self.condition = lambda own, zone: "well"
        self.byzantine: dict[str, str] = {}  # false condition of zone c that an instance publishes
        self.delivers = lambda a, b: True
        self.leave_commands: dict[str, ZoneCommand] = {}
        self.sizes = dict.fromkeys(ZONES, 3.0)
        self.digest_history: list[dict[str, ZoneDigest]] = []

    def digest(self, name: str) -> ZoneDigest:
        zones = self.controllers[name].zones
        rows = []
        for zone in ZONES:
            share = zones[zone].share if zone in zones else 1.0
            condition = self.condition(self.zone_of[name], zone)
            if name in self.byzantine:
                condition, share = (self.byzantine[name] if zone == "c" else "well"), 1.0
            if zone != "c" and "c" in zones:  # the load moved away from c goes to the other two zones
                share *= 1.0 + 0.5 * (1.0 - zones["c"].share)
            rows.append(row(zone, condition, share))
        statuses = self.controllers[name].statuses(self.now)
        if self.byzantine.get(name) == "well":
            statuses = ()
        return ZoneDigest(self.zone_of[name], self.request_rate[name], True, tuple(rows), statuses)

    def view(self, name: str, after_pause: bool = False) -> ZoneView:
        published = self.digest_history[-self.delay] if len(self.digest_history) >= self.delay else {}
        received = {
            n: ReceivedDigest(0.3, d)
            for n, d in published.items()
            if n != name and n in self.zone_of and self.delivers(name, n)
        }
        return ZoneView(self.now, self.digest(name), received, self.sizes, self.leave_commands, after_pause)

    def run(self, seconds: float, without: tuple[str, ...] = ()) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self.digest_history.append({n: self.digest(n) for n in self.zone_of if n not in without})
            for name in self.zone_of:
                if name not in without:
                    self.controllers[name].step(self.view(name))

    def shares(self, zone: str = "c") -> dict[str, float]:
        return {n: self.controllers[n].zones[zone].share for n in self.zone_of}

    def states(self, zone: str = "c") -> set[ZoneState]:
        return {self.controllers[n].zones[zone].state for n in self.zone_of}


@pytest.fixture
def fleet() -> ZoneFleet:
    fleet = ZoneFleet()
    fleet.run(2.0)
    assert fleet.states() == {ZoneState.NORMAL}
    return fleet


replace_fields = msgspec.structs.replace


def lost_to(*observers: str):
    """Return a condition in which zone c is lost as seen from these zones."""
    return lambda own, zone: "lost" if zone == "c" and own in observers else "well"


def test_lost_zone_is_left_by_all_and_returned_to_within_slow_start_capacity(fleet):
    fleet.condition = lost_to(*ZONES)
    fleet.run(1.0)
    assert set(fleet.shares().values()) == {0.0} and fleet.states() == {ZoneState.LEFT}
    fleet.run(5.0)  # a few instances send trial requests, without success
    assert 0 < sum(s > 0 for s in fleet.shares().values()) <= 3 * fleet.settings.trial_instances
    fleet.condition = lambda own, zone: "well"
    recovered_at = fleet.now
    while fleet.states() != {ZoneState.NORMAL}:
        fleet.run(STEP)
        elapsed = fleet.now - recovered_at
        mean = sum(fleet.shares().values()) / len(fleet.zone_of)
        assert mean <= min(1.0, 0.2 + 0.8 * elapsed / 5.0) + 1e-6, "more than slow start allows"
        assert elapsed < 1.5 * 5.0 + fleet.settings.trial_turn


def test_zone_unreachable_from_one_zone_is_left_only_by_that_zone(fleet):
    fleet.condition = lost_to("a")
    fleet.run(3.0)
    assert {n: s for n, s in fleet.shares().items() if s < 1.0}.keys() == {
        n for n, zone in fleet.zone_of.items() if zone == "a"
    }


def test_zone_unreachable_from_all_others_stays_in_use_inside(fleet):
    fleet.condition = lost_to("a", "b")
    fleet.run(3.0)
    for name, share in fleet.shares().items():
        assert share == (1.0 if fleet.zone_of[name] == "c" else fleet.shares()[name])
        assert (share < 1.0) == (fleet.zone_of[name] != "c")


def test_instance_alone_in_its_partition_decides_by_its_own_observations(fleet):
    fleet.delivers = lambda a, b: "d00" not in (a, b)
    fleet.condition = lost_to("b", "c")
    fleet.run(3.0)
    assert fleet.shares()["d00"] == 1.0
    assert all(s < 1.0 for n, s in fleet.shares().items() if fleet.zone_of[n] == "b")


@pytest.mark.parametrize("condition", ["half", "one faulty", "well"])
def test_fault_of_a_part_of_a_zone_does_not_change_shares(fleet, condition):
    fleet.condition = lambda own, zone: condition if zone == "c" else "well"
    fleet.run(10.0)
    assert set(fleet.shares().values()) == {1.0}


@pytest.mark.parametrize("condition", ["slow", "failing"])
def test_degraded_zone_is_left_gradually_to_the_watch_share_and_returned_to(fleet, condition):
    fleet.condition = lambda own, zone: condition if zone == "c" else "well"
    fleet.run(2.0)
    assert fleet.states() == {ZoneState.LEAVING}
    assert all(0.1 < s < 1.0 for s in fleet.shares().values())
    fleet.run(4.0)
    assert fleet.states() == {ZoneState.LEFT} and set(fleet.shares().values()) == {fleet.settings.watch_share}
    fleet.condition = lambda own, zone: "well"
    fleet.run(12.0)
    assert fleet.states() == {ZoneState.NORMAL}


@pytest.mark.parametrize("condition", ["slow", "failing", "lost"])
def test_no_zone_is_left_if_all_zones_are_bad(fleet, condition):
    fleet.condition = lambda own, zone: condition
    fleet.run(10.0)
    assert all(set(fleet.shares(z).values()) == {1.0} for z in ZONES)


def test_last_zone_is_never_left(fleet):
    fleet.condition = lambda own, zone: "lost" if zone in "bc" else "well"
    fleet.run(3.0)
    fleet.condition = lambda own, zone: "lost" if zone == "a" else "well"
    fleet.run(1.0)
    assert set(fleet.shares("a").values()) == {1.0}


def test_single_faulty_instance_changes_no_share(fleet):
    fleet.byzantine = {"d02": "lost"}  # in zone c itself, one of four instances there
    fleet.run(20.0)
    assert set(fleet.shares().values()) == {1.0}


@pytest.mark.parametrize("false_condition", ["lost", "failing", "slow"])
@pytest.mark.parametrize("claimed_rate", [0.0, 10.0, 1e6])
def test_byzantine_instances_under_a_third_change_no_share_at_any_claimed_rate(
    fleet, false_condition, claimed_rate
):
    byzantine = ("d00", "d01", "d05")  # one of four in zones a, b and c
    fleet.byzantine = dict.fromkeys(byzantine, false_condition)
    fleet.request_rate |= dict.fromkeys(byzantine, claimed_rate)
    fleet.run(10.0)
    assert all(s == 1.0 for n, s in fleet.shares().items() if n not in byzantine)


def test_byzantine_instances_over_the_bound_change_shares_of_others():
    fleet = ZoneFleet()
    fleet.run(2.0)
    byzantine = [n for n in fleet.zone_of if n not in ("d00", "d01", "d02", "d03")]
    fleet.byzantine = dict.fromkeys(byzantine, "lost")
    fleet.run(5.0)
    assert any(s < 1.0 for n, s in fleet.shares().items() if n not in byzantine)


def test_byzantine_instances_under_a_third_do_not_prevent_leaving_a_lost_zone(fleet):
    byzantine = ("d00", "d01", "d05")
    fleet.byzantine = dict.fromkeys(byzantine, "well")
    fleet.request_rate |= dict.fromkeys(byzantine, 1e6)
    fleet.condition = lost_to(*ZONES)
    fleet.run(2.0)
    assert all(s < 1.0 for n, s in fleet.shares().items() if n not in byzantine)


def test_relapse_leaves_the_zone_again_and_doubles_the_trial_delay(fleet):
    fleet.condition = lost_to(*ZONES)
    fleet.run(2.0)
    trial_delays = []
    for _ in range(3):
        fleet.condition = lambda own, zone: "well"
        while ZoneState.RETURNING not in fleet.states():
            fleet.run(STEP)
        fleet.run(1.0)
        fleet.condition = lost_to(*ZONES)
        fleet.run(2.0)
        assert fleet.states() == {ZoneState.LEFT}
        trial_delays.append(fleet.controllers["d00"].zones["c"].trial_delay)
    assert trial_delays == [2.0, 4.0, 8.0]


def test_trial_instances_rotate_and_a_dead_one_is_replaced(fleet):
    fleet.condition = lost_to(*ZONES)
    tried: set[str] = set()
    for _ in range(200):
        fleet.run(STEP)
        tried |= {n for n, s in fleet.shares().items() if s > 0 and fleet.zone_of[n] == "a"}
    assert len(tried) >= 3
    evidence = FleetEvidence("d00", fleet.view("d00"))
    zone = fleet.controllers["d00"].zones["c"]
    turn = next(
        t
        for t in range(99)
        if fleet.controllers["d00"].recovery.trial_instances(zone, evidence, t)[0] != "d00"
    )
    selected = fleet.controllers["d00"].recovery.trial_instances(zone, evidence, turn)
    del fleet.zone_of[selected[0]]
    reselected = fleet.controllers["d00"].recovery.trial_instances(
        zone, FleetEvidence("d00", fleet.view("d00")), turn
    )
    assert selected[0] not in reselected and selected[1] in reselected and len(reselected) == 2


def test_new_instance_follows_its_zone_peers(fleet):
    fleet.condition = lost_to(*ZONES)
    fleet.run(2.0)
    fleet.controllers["d03"] = ZoneController("d03", fleet.settings)
    # Instance d03, in zone a, has no evidence of its own.
    fleet.condition = lambda own, zone: "lost" if zone == "c" and own != "a" else "well"
    fleet.run(0.5)
    assert fleet.shares()["d03"] < 1.0


def test_resumed_instance_skips_one_evaluation_and_then_follows_its_peers(fleet):
    fleet.condition = lost_to(*ZONES)
    fleet.run(1.0, without=("d00",))
    shares = fleet.controllers["d00"].step(fleet.view("d00", after_pause=True))
    assert shares == dict.fromkeys(ZONES, 1.0)  # the step after the pause changes nothing
    fleet.run(0.5)
    assert fleet.shares()["d00"] == 0.0


def test_zone_without_endpoints_in_the_list_is_removed(fleet):
    fleet.condition = lost_to(*ZONES)
    fleet.run(1.0)
    fleet.sizes = {"a": 3.0, "b": 3.0}
    fleet.run(0.2)
    assert all(set(c.zones) == {"a", "b"} for c in fleet.controllers.values())


def test_operator_command_overrides_the_evidence_until_it_is_withdrawn(fleet):
    fleet.leave_commands = {"c": ZoneCommand("c", 1, "d00", "leave", 2.0)}
    fleet.run(1.0)
    assert all(0.3 < s < 0.7 for s in fleet.shares().values())
    fleet.run(12.0)
    assert fleet.states() == {ZoneState.LEFT} and set(fleet.shares().values()) == {0.0}
    fleet.run(30.0)  # the zone is healthy throughout
    assert fleet.states() == {ZoneState.LEFT}
    fleet.leave_commands = {}
    fleet.run(0.5)
    assert fleet.states() == {ZoneState.RETURNING}
    fleet.run(12.0)
    assert fleet.states() == {ZoneState.NORMAL}


def test_operator_command_moves_only_load_that_the_other_zones_can_serve():
    """The other two zones become slow above 1.2 times their usual load; the load beyond that stays."""
    fleet = ZoneFleet(headroom=1.1)

    def condition(own: str, zone: str) -> str:
        mean = sum(fleet.shares().values()) / len(fleet.zone_of)
        return "overloaded" if zone != "c" and 1.0 + 0.5 * (1.0 - mean) > 1.2 else "well"

    fleet.run(2.0)
    fleet.condition = condition
    fleet.leave_commands = {"c": ZoneCommand("c", 1, "d00", "leave")}
    fleet.run(20.0)
    assert all(0.6 < share < 0.9 for share in fleet.shares().values())
    assert fleet.states() == {ZoneState.LEFT}
    # At this headroom too much load is moved, so the overloaded zones hand some of it back.
    fleet.settings = replace(fleet.settings, headroom=9.0)
    for controller in fleet.controllers.values():
        controller.table.settings = fleet.settings
    fleet.run(60.0)
    assert all(0.2 < share < 0.9 for share in fleet.shares().values())


def test_newest_operator_command_wins_at_all_instances():
    one, other = ZoneCommands(), ZoneCommands()
    first = one.issue("c", "leave", 0.0, "x")
    other.merge([first])
    second = other.issue("c", "return", 0.0, "y")
    concurrent = one.issue("c", "leave", 5.0, "z")
    assert second.number == concurrent.number
    one.merge([second])
    other.merge([concurrent])
    assert one.by_zone == other.by_zone == {"c": concurrent}
    assert not one.merge([first])
    assert operator_commands.decode(operator_commands.encode(one)) == (concurrent,)


@pytest.mark.parametrize(
    "action, zone, duration", [("go", "c", 0), ("leave", "", 0), ("leave", "c" * 25, 0), ("leave", "c", 1e9)]
)
def test_invalid_operator_commands_are_rejected(action, zone, duration):
    with pytest.raises(ValueError):
        ZoneCommands().issue(zone, action, duration, "x")


def test_observations_drop_old_counts_and_untried_unreachable_endpoints_of_partly_used_zones():
    observations = ZoneObservations()
    for number in range(30):
        observations.request_received(number * 0.1)
        observations.attempt_sent(number * 0.1, 1 + number % 3, "a")
        observations.succeeded(number * 0.1, 1 + number % 3, "a", 0.1)
    observations.attempt_sent(3.0, 7, "b")
    unreachable = {7: "b", 9: "c"}
    rows = {r.zone: r for r in observations.rows(3.0, unreachable, dict.fromkeys(ZONES, 3))}
    assert rows["a"].endpoints == 3 and rows["a"].latency_permille == 100
    assert (rows["b"].endpoints, rows["b"].unreachable) == (1, 1)
    assert (rows["c"].endpoints, rows["c"].unreachable) == (1, 1)
    assert 5.0 < observations.request_rate < 15.0
    rows_partly_used = {
        r.zone: r for r in observations.rows(3.0, unreachable, dict.fromkeys(ZONES, 3), ["b", "c"])
    }
    # Endpoint 9 was not tried within the windows.
    assert rows_partly_used["b"].unreachable == 1 and rows_partly_used["c"].endpoints == 0
    later_rows = {
        r.zone: r for r in observations.rows(10.0, unreachable, dict.fromkeys(ZONES, 3), ["b", "c"])
    }
    assert all(r.endpoints == 0 for r in later_rows.values())


def vote_on(zone_c: ZoneObservation) -> Vote:
    """Return the vote on zone c of an instance that finds the other zones healthy."""
    return votes(ZoneDigest("a", 10.0, True, (row("a"), row("b"), zone_c)))[zone_c.zone]


# Guards against: a silent zone looks healthy again as its old successes leave the windows.
@pytest.mark.parametrize("successes", [9, 3, 1])
def test_zone_that_times_out_stays_lost_while_its_old_successes_age(successes):
    silent = ZoneObservation("c", successes + 2, successes, 2, 0, 47, 3, 2, 1, 0, 1118, 3, endpoints_up=3)
    assert vote_on(silent) is Vote.LOST
    assert (
        vote_on(replace_fields(silent, unanswered=0, since_success_ms=10)) is not Vote.LOST
    ), "it answers again"
    assert (
        vote_on(replace_fields(silent, unreachable=1)) is not Vote.LOST
    ), "one unreachable endpoint is not an outage of the zone"


# Guards against: HEALTHY votes of instances with few requests outweigh votes against a failing zone.
def test_mostly_failing_zone_gets_no_healthy_vote_at_few_attempts():
    failing = ZoneObservation("c", 3, 1, 2, 0, 47, 3, 1, 2, 0, 400, 1, endpoints_up=3)
    assert vote_on(failing) is Vote.NONE
    assert vote_on(replace_fields(failing, attempts=1, timeouts=0, unreachable=0, failing=0)) is Vote.HEALTHY


# Guards against: one slow response makes a lone instance leave a zone.
def test_slow_vote_needs_several_successes():
    slow = ZoneObservation("c", 8, 8, 0, 0, 500, 3, 0, 0, 3, 20, 0, endpoints_up=3)
    assert vote_on(slow) is Vote.SLOW
    for successes in (1, 2):
        assert (
            vote_on(replace_fields(slow, attempts=successes, successes=successes)) is Vote.NONE
        ), "neither SLOW nor HEALTHY"


def test_digest_with_long_names_fits_in_a_state_entry():
    names = [f"{n:02}" + "x" * 22 for n in range(10)]
    big = ZoneDigest(
        "z" * 24,
        99999.25,
        True,
        tuple(ZoneObservation(n, 9999, 9999, 9999, 9999, 20000, 120, 120, 120, 120) for n in names),
        tuple(ZoneStatus(n, 4, 1000, 100000, 30) for n in names),
    )
    decoded = digests.decode(digests.encode(big))
    assert decoded is not None and 0 < len(decoded.observations) < 10
    assert len(digests.encode(big)) <= digests.MAX_DIGEST_BYTES
    assert {s.zone for s in decoded.statuses} == {r.zone for r in decoded.observations}


@given(st.binary(max_size=300))
def test_malformed_bytes_decode_to_no_digest_and_no_commands(body):
    decoded = digests.decode(body)
    assert decoded is None or isinstance(decoded, ZoneDigest)
    assert isinstance(operator_commands.decode(body), tuple)


@pytest.mark.parametrize(
    "bad",
    [
        ZoneDigest("a", float("nan"), True),
        ZoneDigest("a", -1.0, True),
        ZoneDigest("a", 1.0, True, (ZoneObservation("a", -1),)),
        ZoneDigest("a", 1.0, True, (ZoneObservation("a"), ZoneObservation("a"))),
        ZoneDigest("a", 1.0, True, (), (ZoneStatus("a", 9, 0, 0),)),
        ZoneDigest("a", 1.0, True, (), (ZoneStatus("a", 1, 1001, 0),)),
    ],
)
def test_digests_with_impossible_figures_are_rejected(bad):
    assert digests.decode(msgspec.msgpack.encode(bad)) is None


counts = st.integers(0, 40)
rows_of = st.builds(
    ZoneObservation,
    st.sampled_from(ZONES),
    counts,
    counts,
    counts,
    counts,
    st.integers(0, 3000),
    counts,
    counts,
    counts,
    counts,
    st.integers(0, 2**64 - 1),
)
zone_digests = st.builds(
    ZoneDigest,
    st.sampled_from(ZONES),
    st.floats(0, 1e6),
    st.booleans(),
    st.lists(rows_of, max_size=3, unique_by=lambda r: r.zone).map(tuple),
    st.lists(
        st.builds(ZoneStatus, st.sampled_from(ZONES), st.integers(0, 4), st.integers(0, 1000), counts),
        max_size=3,
        unique_by=lambda s: s.zone,
    ).map(tuple),
)
fleets = st.lists(
    st.dictionaries(st.sampled_from([f"d{n}" for n in range(8)]), zone_digests, max_size=8),
    min_size=1,
    max_size=12,
)


@settings(max_examples=60, deadline=None)
@given(zone_digests, fleets, st.booleans())
def test_any_digests_keep_shares_in_bounds_and_one_zone_in_use_deterministically(
    own, received_per_step, sorted_first
):
    """Two controllers get the same digests in different orders: same shares; the last zone is never left."""
    one, other = ZoneController("d0", ZoneSettings()), ZoneController("d0", ZoneSettings())
    now = 50.0
    for received in received_per_step:
        now += 0.4
        pairs = [(n, ReceivedDigest(0.1, d)) for n, d in received.items()]
        sizes = dict.fromkeys(ZONES, 3.0)
        shares = one.step(ZoneView(now, own, dict(pairs), sizes))
        assert shares == other.step(
            ZoneView(now, own, dict(reversed(pairs)), dict(reversed(list(sizes.items()))))
        )
        assert all(0.0 <= s <= 1.0 for s in shares.values())
        assert max(shares.values()) >= 0.9
        assert {n: z.state for n, z in one.zones.items()} == {n: z.state for n, z in other.zones.items()}


@settings(max_examples=150, deadline=None)
@given(rows_of, rows_of)
def test_more_evidence_against_a_zone_never_improves_the_vote(first, second):
    """The evidence is one more unreachable endpoint or one more timeout, at the same number of successes."""
    well = ZoneObservation("b" if first.zone != "b" else "a", 20, 20, 0, 0, 50, 3)
    if first.endpoints == 0 or first.unreachable >= first.endpoints:
        return
    before = votes(ZoneDigest("a", 1.0, True, (first, well)))[first.zone]
    worse = msgspec.structs.replace(first, unreachable=first.unreachable + 1)
    assert (
        votes(ZoneDigest("a", 1.0, True, (worse, well)))[first.zone] >= min(before, Vote.LOST)
        or before is Vote.NONE
    )
    more = msgspec.structs.replace(first, timeouts=first.timeouts + 1, attempts=first.attempts + 1)
    assert votes(ZoneDigest("a", 1.0, True, (more, well)))[first.zone] >= before or before is Vote.SLOW


@given(st.lists(st.floats(0, 1e9), min_size=1, max_size=60))
def test_no_vote_weighs_more_than_twice_another(rates):
    weights = vote_weights({str(n): rate for n, rate in enumerate(rates)}).values()
    assert max(weights) <= 2.0 * min(weights) * (1 + 1e-9)


def test_every_state_ends_as_normal_in_a_healthy_zone(fleet):
    """A zone in any state becomes NORMAL after a long healthy time without operator commands."""
    for state in ZoneState:
        for controller in fleet.controllers.values():
            zone = controller.zones["c"]
            zone.state, zone.share, zone.state_since, zone.cause = state, 0.0, fleet.now, Vote.LOST
        fleet.run(25.0)
        assert fleet.states() == {ZoneState.NORMAL}, state


def test_error_names_the_invalid_setting():
    with pytest.raises(ValueError, match="warm"):
        replace(ZoneSettings(), slow_start_window=0.0)


def test_no_share_changes_before_digests_of_two_thirds_of_live_instances_arrived(fleet):
    false_digest = ZoneDigest(
        "a", 1e6, True, (row("c", "lost"), row("a"), row("b")), (ZoneStatus("c", 3, 0, 50),)
    )
    new = ZoneController("new", fleet.settings)
    own = ZoneDigest("a", 0.0, True)
    for n in range(30):
        received = {"l1": ReceivedDigest(0.1, false_digest), "l2": ReceivedDigest(0.1, false_digest)}
        shares = new.step(ZoneView(n * STEP, own, received, fleet.sizes, alive=9))
        assert shares == dict.fromkeys(ZONES, 1.0)


@settings(max_examples=200)
@given(st.data())
def test_byzantine_instances_under_a_third_of_each_zone_change_no_verdict(data):
    """Honest instances agree, each with its own request rate; Byzantine ones publish arbitrary figures."""
    each = data.draw(st.integers(4, 10))
    truth = data.draw(st.sampled_from(["well", "lost"]))
    published: dict[str, ZoneDigest] = {}
    for zone in ("a", "b"):
        byzantine = data.draw(st.integers(0, (each - 1) // 3))
        for n in range(each):
            if n < byzantine:
                other = (row("a"), row("b"), row("c", "lost" if truth == "well" else "well"))
                inverted = ZoneDigest(zone, data.draw(st.sampled_from([0.0, 1e6])), True, other)
                published[f"{zone}{n}"] = data.draw(
                    st.one_of(
                        st.just(inverted),
                        zone_digests.map(lambda d, z=zone: msgspec.structs.replace(d, zone=z)),
                    )
                )
            else:
                rows = (row("a"), row("b"), row("c", truth))
                published[f"{zone}{n}"] = ZoneDigest(zone, data.draw(st.floats(0, 1e4)), True, rows)
    for name in (f"a{each - 1}", f"b{each - 1}"):
        received = {n: ReceivedDigest(0.2, d) for n, d in published.items() if n != name}
        view = ZoneView(50.0, published[name], received, dict.fromkeys(ZONES, 3.0), alive=2 * each)
        assert FleetEvidence(name, view).verdict("c") is (Vote.LOST if truth == "lost" else Vote.HEALTHY)


def test_instance_that_uses_few_endpoints_does_not_vote_lost_for_the_zone():
    """For example, it uses only two of four endpoints, and both are silent; or one of three."""
    for silent, endpoints_up, vote in (
        (2, 4, Vote.NONE),
        (1, 3, Vote.NONE),
        (3, 4, Vote.LOST),
        (2, 3, Vote.LOST),
    ):
        partial = ZoneObservation(
            "c",
            silent,
            0,
            silent,
            0,
            0,
            silent,
            silent,
            since_success_ms=9000,
            unanswered=3,
            endpoints_up=endpoints_up,
        )
        assert votes(ZoneDigest("a", 1.0, True, (partial, row("a"))))["c"] is vote
    full = ZoneObservation("c", 4, 0, 4, 0, 0, 4, 4, since_success_ms=9000, unanswered=4, endpoints_up=60)
    assert votes(ZoneDigest("a", 1.0, True, (full, row("a"))))["c"] is Vote.LOST


def single_endpoint_row(endpoint: int, endpoints_up: int = 12, condition: str = "lost") -> ZoneObservation:
    """Return the observation of an instance that uses only one endpoint of zone c."""
    if condition == "well":
        return ZoneObservation("c", 3, 3, 0, 0, 50, 1, endpoints_up=endpoints_up)
    return ZoneObservation(
        "c",
        2,
        0,
        2,
        0,
        0,
        1,
        1,
        since_success_ms=3000,
        unanswered=2,
        endpoints_up=endpoints_up,
        unreachable_bits=endpoint_bit(endpoint),
    )


def zone_peers_evidence(rows: dict[str, ZoneObservation]) -> FleetEvidence:
    """Return the evidence at d0 from instances of zone a with equal rates, each with its row of zone c."""
    published = {n: ZoneDigest("a", 2.0, True, (row("a"), row("b"), r)) for n, r in rows.items()}
    received = {n: ReceivedDigest(0.2, d) for n, d in published.items() if n != "d0"}
    return FleetEvidence(
        "d0", ZoneView(50.0, published["d0"], received, dict.fromkeys(ZONES, 12.0), alive=len(published))
    )


@pytest.mark.parametrize(
    ("named", "endpoints_up", "lost"),
    [
        # `named`: the endpoint of zone c that each instance uses
        (range(9), 12, True),  # each instance uses another endpoint
        ([1, 2, 3, 4, 4, 4, 4, 4, 4], 12, True),  # four different endpoints reach the outage threshold
        ([1, 2, 3, 3, 3, 3, 3, 3, 3], 12, False),
        ([1] * 9, 12, False),  # all of them use the same faulty endpoint
        ([1, 2, 1, 2, 1, 2, 1, 2, 1], 3, True),  # over half of the zone
        ([1, 2, 1, 2, 1, 2, 1, 2, 1], 4, False),
    ],
)
def test_instances_that_use_different_endpoints_jointly_find_a_zone_lost(named, endpoints_up, lost):
    rows = {f"d{n}": single_endpoint_row(endpoint, endpoints_up) for n, endpoint in enumerate(named)}
    evidence = zone_peers_evidence(rows)
    assert all(v.get("c") is Vote.NONE for v in evidence.votes.values()), "no instance votes LOST on its own"
    assert evidence.verdict("c") is (Vote.LOST if lost else Vote.HEALTHY)
    # A third of the instances is served by the zone.
    rows |= {f"d{n}": single_endpoint_row(n, endpoints_up, "well") for n in range(3)}
    assert zone_peers_evidence(rows).verdict("c") is Vote.HEALTHY


@given(st.integers(4, 24), st.data())
def test_byzantine_instances_under_a_third_and_one_faulty_endpoint_do_not_make_a_zone_lost(count, data):
    """Byzantine instances can report many endpoints, but over two thirds of the weight must see an outage."""
    byzantine = data.draw(st.integers(0, (count - 1) // 3))
    faulty = data.draw(st.integers(0, (count - byzantine) // 6))
    rows = {}
    for n in range(count):
        if n >= count - byzantine:
            bits = data.draw(st.sampled_from([0x1FF, 0x15]))
            rows[f"d{n}"] = ZoneObservation("c", 9, 0, 9, 0, 0, 9, 9, endpoints_up=99, unreachable_bits=bits)
        else:
            rows[f"d{n}"] = (
                single_endpoint_row(1)
                if n >= count - byzantine - faulty
                else single_endpoint_row(n, condition="well")
            )
    published = {
        n: ZoneDigest("a", 1e6 if r.unreachable == 9 else 2.0, True, (row("a"), row("b"), r))
        for n, r in rows.items()
    }
    received = {n: ReceivedDigest(0.2, d) for n, d in published.items() if n != "d0"}
    view = ZoneView(50.0, published["d0"], received, dict.fromkeys(ZONES, 12.0), alive=count)
    assert FleetEvidence("d0", view).verdict("c") is Vote.HEALTHY


def test_endpoint_bits_rarely_collide_and_a_digest_has_no_more_bits_than_unreachable_endpoints():
    assert len({endpoint_bit(n) for n in range(1, 13)}) == 12
    assert len({endpoint_bit(zlib.crc32(b"member-%d" % n)) for n in range(40)}) >= 25
    false_digest = ZoneDigest(
        "a", 1.0, True, (ZoneObservation("c", 2, 0, 2, 0, 0, 1, 1, unreachable_bits=3),)
    )
    assert digests.decode(digests.encode(false_digest)) is None
    observations, now = ZoneObservations(), 10.0
    for endpoint in (1, 2, 3):
        observations.timed_out(now, endpoint, "c")
        observations.succeeded(now, endpoint + 10, "a", 0.1)
    rows = {r.zone: r for r in observations.rows(now, {1: "c", 3: "c"}, {"a": 3, "c": 9})}
    assert rows["c"].unreachable_bits == endpoint_bit(1) | endpoint_bit(3)
    assert rows["a"].unreachable_bits == 0


def test_peer_that_has_not_left_yet_does_not_count_as_returned():
    """Guards against: an instance that left a zone before its peers counts them as returned."""
    rows = (row("a"), row("b"))
    published = {
        "late": ZoneDigest("a", 1.0, True, (*rows, row("c", "lost")), (ZoneStatus("c", 1, 1000, 9),)),
        "well": ZoneDigest("a", 1.0, True, (*rows, row("c")), (ZoneStatus("c", 0, 1000, 9),)),
        "back": ZoneDigest("a", 1.0, True, rows, (ZoneStatus("c", 4, 160, 2),)),
        "out": ZoneDigest("a", 1.0, True, rows, (ZoneStatus("c", 3, 0, 2),)),
    }
    view = ZoneView(
        50.0, ZoneDigest("a", 1.0, True, rows), {n: ReceivedDigest(0.1, d) for n, d in published.items()}, {}
    )
    assert sorted(FleetEvidence("self", view).returned("c")) == ["back", "well"]
