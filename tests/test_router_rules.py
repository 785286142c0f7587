"""Edge cases of each binding rule."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult, EndpointState, SessionTracking, StaleReadHandling
from sedgepitch.routing.records import EjectionReason
from tests.support.router_harness import SETTINGS, Rig, entry, finals, route_request, sends

# Rule 1: one final answer, in time


def test_request_whose_attempt_times_out_at_its_deadline_is_answered_at_once():
    rig = Rig()
    request, actions = rig.receive("write", ttl=0.5)
    assert sends(actions) == [1]
    rig.run(0.5)
    assert finals(rig.log, request) == []
    assert finals(rig.finish(request, 0, 1, AttemptResult.TIMEOUT), request) == [api.Fail(request)]


def test_waiting_request_is_answered_before_its_deadline():
    rig = Rig(endpoints=(entry(2, state=EndpointState.DRAINING),))
    request, actions = rig.receive("write", ttl=0.5)
    assert sends(actions) == []
    actions = rig.run(0.5)
    assert len(finals(actions, request)) == 1


def test_request_with_almost_no_time_left_is_answered_on_arrival():
    rig = Rig(endpoints=(entry(2, state=EndpointState.DRAINING),))
    request, actions = rig.receive("bounded", ttl=0.004)
    assert len(finals(actions, request)) == 1


def test_no_attempt_or_answer_follows_a_disconnect():
    rig = Rig()
    request, _ = rig.receive("any")
    endpoint = sends(rig.log, request)[0]
    rig.feed(api.ClientDisconnected(request))
    actions = rig.finish(request, 0, endpoint, AttemptResult.ERROR, final=True) + rig.run(2.0)
    assert sends(actions, request) == [] and finals(actions, request) == []


# Rule 2: no request is executed twice


@pytest.mark.parametrize(
    "result",
    [
        AttemptResult.OVERLOADED,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.NOT_SENT,
        AttemptResult.NOT_ELIGIBLE,
    ],
)
def test_request_that_is_not_idempotent_is_rejected_if_it_never_ran(result):
    rig = Rig()
    request, _ = rig.receive("unsafe", ttl=1.5)
    rig.feed(
        api.EndpointListUpdate(
            tuple(entry(m, state=EndpointState.DRAINING) for m in (1, 2, 3)), complete=True
        )
    )
    rig.finish(request, 0, 1, result)
    rig.run(1.5)
    answers = finals(rig.log, request)
    assert answers and isinstance(answers[0], api.Reject)


@pytest.mark.parametrize(
    "result", [AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.CANCELLED]
)
def test_request_that_is_not_idempotent_and_may_have_run_fails_without_a_retry(result):
    rig = Rig()
    request, _ = rig.receive("unsafe", ttl=1.5)
    rig.finish(request, 0, 1, result)
    rig.run(1.6)
    assert sends(rig.log, request) == [1]
    assert [type(a) for a in finals(rig.log, request)] == [api.Fail]


def test_keyed_request_is_retried_only_within_its_deduplication_window():
    for wait, again in ((0.9, [1, 1]), (1.05, [1])):
        rig = Rig()
        request, _ = rig.receive("write", ttl=1.9)
        rig.run(wait)
        rig.finish(request, 0, 1, AttemptResult.ERROR)
        assert sends(rig.log, request) == again
        rig.run(1.5)
        if again == [1]:
            assert finals(rig.log, request) == [api.Fail(request)]


def test_keyed_request_that_may_have_run_is_rejected_only_if_every_endpoint_drops_repeats():
    for name, kind in (("write", api.Fail), ("wide", api.Reject)):
        rig = Rig()
        request, _ = rig.receive(name, ttl=0.5)
        rig.run(0.5)
        assert [type(a) for a in finals(rig.finish(request, 0, 1, AttemptResult.TIMEOUT), request)] == [kind]


def test_no_hedged_request_if_hedging_is_off():
    rig = Rig(replace(SETTINGS, hedging=False))
    request, _ = rig.receive("any", ttl=0.9)
    rig.run(0.8)
    assert len(sends(rig.log, request)) == 1


# Rule 3: drains


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_no_new_request_goes_to_an_endpoint_listed_as_draining_or_gone(state):
    rig = Rig()
    rig.feed(api.EndpointListUpdate((entry(2, state=state),), complete=False))
    for _ in range(60):
        rig.receive("any")
        rig.run(0.02)
    assert 2 not in sends(rig.log)


def test_endpoint_missing_from_a_complete_list_gets_no_requests():
    rig = Rig()
    rig.feed(api.EndpointListUpdate((entry(1, primary=True), entry(3)), complete=True))
    for _ in range(40):
        rig.receive("any")
        rig.run(0.02)
    assert 2 not in sends(rig.log)


@pytest.mark.parametrize("how", ["trial", "stuck write"])
def test_no_kind_of_attempt_goes_to_an_endpoint_that_is_gone(how):
    # Incident ie07cc6: a trial was sent to an ejected endpoint that the list had removed meanwhile.
    rig = Rig()
    request, _ = rig.receive("write", ttl=1.9)
    rig.router.outlier_detection.eject(rig.router.endpoints[3], EjectionReason.SILENT)
    rig.feed(api.EndpointListUpdate((entry(3, state=EndpointState.GONE),), complete=False))
    rig.run(0.8)
    if how == "stuck write":
        rig.report(3, 0.0, primary=True)
    for _ in range(10):
        rig.receive("any")
    assert 3 not in sends(rig.log)


# Rule 4: warming endpoints


def steady(rig: Rig, seconds: float, rate: int = 100) -> None:
    """Send reads and writes at an even rate; every one is answered."""
    for _ in range(int(seconds * rate)):
        request, actions = rig.receive("write" if rig.ids % 5 == 0 else "any")
        for endpoint in sends(actions, request):
            rig.finish(request, 0, endpoint, AttemptResult.OK, primary=endpoint == 1)
        rig.run(1.0 / rate)


def share_in(rig: Rig, endpoint: int, seconds: float) -> float:
    """Send steady traffic for some seconds and return the share of the attempts that one endpoint gets."""
    start = len(rig.log)
    steady(rig, seconds)
    sent_to = sends(rig.log[start:])
    return sent_to.count(endpoint) / len(sent_to)


def test_warming_endpoint_gets_fewer_requests_than_its_warm_peers():
    rig = Rig()
    steady(rig, 5.0)
    rig.feed(api.EndpointListUpdate((entry(3, started=rig.now),), complete=False))
    first = share_in(rig, 3, 1.0)
    rig.run(0.0)
    steady(rig, 12.0)
    assert 0 < first < 0.15 < share_in(rig, 3, 2.0)


def test_many_proxy_instances_leave_a_warming_group_headroom():
    # A minimum per instance would add up: 400 instances together must send a share, not one request each.
    sent = 0
    for seed in range(400):
        started = tuple(entry(m, started=99.9, primary=m == 1) for m in (1, 2, 3))
        rig = Rig(endpoints=started, seed=seed)
        rig.receive("any", ttl=0.3)
        sent += len(sends(rig.log))
    assert 0 < sent < 0.5 * 400


def test_many_proxy_instances_do_not_overload_a_warming_primary():
    # A warming new primary has a fifth of its capacity; the writes need at most the capacity of a warm one.
    sent = 0
    for seed in range(400):
        rig = Rig(seed=seed)
        rig.feed(
            api.EndpointListUpdate(
                (entry(1, state=EndpointState.GONE), entry(2, started=rig.now)), complete=False
            )
        )
        rig.report(2, 0.0, primary=True)
        rig.receive("write", ttl=0.3)
        rig.run(0.2)
        sent += sends(rig.log).count(2)
    factor = SETTINGS.rules.overload_factor * SETTINGS.rules.initial_capacity
    assert 0 < sent < factor * 400


# Rule 5: no stale read


def test_bounded_read_uses_a_position_up_to_its_bound():
    for age, allowed in ((0.498, {2, 3}), (0.5001, {1})):
        rig = Rig()
        for _ in range(30):
            rig.report(2, age)
            rig.report(3, age)
            request, actions = rig.receive("bounded")
            assert set(sends(actions, request)) <= allowed | {1}
        assert set(sends(rig.log)) & allowed


def test_position_neither_decreases_nor_runs_ahead_of_the_clock():
    rig = Rig()
    rig.report(2, 0.1)
    rig.report(2, 0.9)
    rig.report(3, -5.0)
    for _ in range(20):
        rig.receive("bounded")
    assert 2 in sends(rig.log) and 3 not in sends(rig.log)


def test_session_read_requires_the_last_commit_whose_age_the_client_sends():
    rig = Rig()
    rig.report(2, 0.2)
    for age, endpoint in ((0.3, 2), (0.1, 1), (0.2, 1)):
        rig.router.endpoints[3].health_check_pending = True
        request, used = route_request(rig, "session", session_age=age)
        assert used == [endpoint]
        rig.finish(request, 0, endpoint, AttemptResult.OK, primary=endpoint == 1)


def test_session_read_requires_the_writes_tracked_by_the_proxy():
    rig = Rig(replace(SETTINGS, session_tracking=SessionTracking.BY_PROXY))
    request, _ = rig.receive("write", session="s")
    rig.finish(request, 0, 1, AttemptResult.OK, primary=True, position=rig.now)
    read, used = route_request(rig, "session", session="s")
    assert used == [1]
    rig.run(0.1)
    rig.report(2, 0.0)
    read, actions = rig.receive("session", session="s")
    assert sends(actions, read) == [2]
    read, actions = rig.receive("session", session="other")
    assert set(sends(actions, read)) <= {2, 3}


def test_former_primary_serves_fresh_reads_until_it_responds_as_a_replica():
    rig = Rig()
    request, actions = rig.receive("fresh")
    assert sends(actions) == [1]
    rig.finish(request, 0, 1, AttemptResult.OK, primary=False)
    request, actions = rig.receive("fresh")
    assert sends(actions, request) == []


@pytest.mark.parametrize("checks", [StaleReadHandling.REJECT, StaleReadHandling.WAIT])
def test_if_endpoints_check_freshness_the_most_recent_replica_is_tried_first(checks):
    rig = Rig(replace(SETTINGS, stale_read_handling=checks))
    rig.report(2, 2.0)
    rig.report(3, 0.9)
    request, actions = rig.receive("session", session_age=0.1)
    assert sends(actions, request) == [3]
    assert sends(rig.finish(request, 0, 3, AttemptResult.NOT_ELIGIBLE, primary=False), request) == [2]


def test_position_in_the_same_millisecond_as_a_commit_does_not_include_it():
    # Incident i85c1e8: both are rounded to milliseconds, so equal values do not prove their order.
    rig = Rig(replace(SETTINGS, session_tracking=SessionTracking.BY_PROXY))
    request, _ = rig.receive("write", session="s")
    rig.finish(request, 0, 1, AttemptResult.OK, primary=True, position=rig.now)
    rig.report(2, 0.0)
    read, used = route_request(rig, "session", session="s")
    assert used == [1]


def test_write_that_commits_after_a_disconnect_still_constrains_its_session():
    rig = Rig(replace(SETTINGS, session_tracking=SessionTracking.BY_PROXY))
    rig.report(2, 0.1)
    request, _ = rig.receive("write", session="s")
    rig.feed(api.ClientDisconnected(request))
    rig.finish(request, 0, 1, AttemptResult.OK, primary=True, position=rig.now)
    read, used = route_request(rig, "session", session="s")
    assert used == [1]


def test_fresh_read_does_not_go_to_a_listed_primary_that_has_reported_to_be_a_replica():
    # Incident ie80671: a demoted primary responded as a replica; the list, which was late, named it primary.
    rig = Rig(endpoints=(entry(1), entry(2), entry(3)))
    rig.report(2, 0.0, primary=False)
    rig.feed(api.EndpointListUpdate((entry(2, primary=True),), complete=False))
    rig.run(3.0)
    request, actions = rig.receive("fresh")
    assert sends(actions, request) == []
    write, actions = rig.receive("write")
    assert sends(actions, write) == [2]
    rig.finish(write, 0, 2, AttemptResult.OK, primary=True)
    request, actions = rig.receive("fresh")
    assert sends(actions, request) == [2]


LOST = [AttemptResult.RESET, AttemptResult.TIMEOUT, AttemptResult.ERROR]
NEVER = [
    AttemptResult.OVERLOADED,
    AttemptResult.NOT_ELIGIBLE,
    AttemptResult.NOT_SENT,
    AttemptResult.CONNECT_FAILED,
]


@pytest.mark.parametrize("result", [*LOST, *NEVER])
def test_write_constrains_its_session_even_if_the_response_was_lost(result):
    """With sessions tracked by the proxy, a write constrains its session's reads.

    While it is in flight they need the present state. Afterwards they need the state at its end if it may
    have been executed, and nothing if it never ran.
    """
    rig = Rig(
        replace(SETTINGS, session_tracking=SessionTracking.BY_PROXY, health_checks=False, max_attempts=1)
    )
    for endpoint in (2, 3):
        rig.report(endpoint, 0.0)
    write, actions = rig.receive("write", session="s")
    assert sends(actions, write) == [1]
    rig.router.endpoints[1].concurrency_limit = 0.5  # no headroom for reads that no replica may serve
    rig.run(0.05)
    early, actions = rig.receive("session", session="s")
    assert sends(actions, early) == []
    other, actions = rig.receive("session", session="another")
    assert set(sends(actions, other)) < {2, 3}
    actions = rig.finish(write, 0, 1, result, primary=True, final=False)
    assert bool(sends(actions, early)) is (result in NEVER)
    late, actions = rig.receive("session", session="s")
    assert bool(sends(actions, late)) is (result in NEVER)
    if result in LOST:
        ended = rig.now
        rig.now += 0.01
        assert sends(rig.feed(report_of(2, ended)), late) == []
        assert sends(rig.feed(report_of(2, rig.now)), late) == [2]


def report_of(endpoint: int, position: float) -> api.HealthCheckFinished:
    """Return the result of a health check that reports a replica's position."""
    return api.HealthCheckFinished(endpoint, AttemptResult.OK, 0.001, api.LoadReport(position, False))


# An attempt commits, ends with a response, ends without one (lost) or ends without having run (never).
SESSION_EVENTS = "write read commits ends lost never report wait list".split()
SESSION_STEPS = st.lists(st.tuples(st.sampled_from(SESSION_EVENTS), st.integers(0, 7)), max_size=60)


@given(SESSION_STEPS, st.integers(0, 2**16))
def test_replica_that_gets_a_session_read_has_all_writes_of_the_session_in_any_order_of_events(steps, seed):
    """A write may commit at any time between its send and its end, and its response may be lost.

    The router learns positions from responses and reports only.
    """
    rig = Rig(replace(SETTINGS, session_tracking=SessionTracking.BY_PROXY, hedging=bool(seed % 2)), seed=seed)
    # An attempt in flight is [request, attempt number, endpoint, commit time or 0.0].
    names, attempts, in_flight, committed = {}, {}, [], {"s": -1.0, "t": -1.0}
    positions = {
        endpoint: rig.now for endpoint in (1, 2, 3)
    }  # actual positions; the primary's is the present

    def check_sends(actions) -> None:
        for action in actions:
            if isinstance(action, api.SendAttempt):
                number = attempts[action.request] = attempts.get(action.request, -1) + 1
                kind, session = names[action.request]
                in_flight.append([action.request, number, action.endpoint, 0.0])
                if kind == "session" and action.endpoint != 1:
                    assert positions[action.endpoint] > committed[session]

    for what, which in steps:
        rig.now += 0.001
        positions[1] = rig.now
        picked = in_flight[which % len(in_flight)] if in_flight else None
        if what in ("write", "read"):
            kind, session = "write" if what == "write" else "session", "st"[which % 2]
            names[rig.ids + 1] = (kind, session)
            check_sends(rig.receive(kind, session=session)[1])
        elif what == "commits" and picked and names[picked[0]][0] == "write" and picked[2] == 1:
            if not picked[3]:
                picked[3] = committed[names[picked[0]][1]] = rig.now
        elif what in ("ends", "lost", "never") and picked:
            ran = picked[3] > 0 or names[picked[0]][0] != "write"
            if (what == "never" and picked[3]) or (what == "ends" and not ran):
                continue
            in_flight.remove(picked)
            lost = [AttemptResult.RESET, AttemptResult.TIMEOUT, AttemptResult.ERROR][which % 3]
            never = [AttemptResult.NOT_SENT, AttemptResult.CONNECT_FAILED, AttemptResult.OVERLOADED][
                which % 3
            ]
            result = {"ends": AttemptResult.OK, "lost": lost, "never": never}[what]
            fields = {"primary": picked[2] == 1} if result is AttemptResult.OK else {}
            position = picked[3] or positions[picked[2]]
            reported = {"position": position} if result is AttemptResult.OK else {}
            check_sends(rig.finish(picked[0], picked[1], picked[2], result, **fields, **reported))
        elif what == "report":
            endpoint = 2 + which % 2
            positions[endpoint] = max(positions[endpoint], rig.now - 0.02 * (which // 2))
            check_sends(rig.feed(report_of(endpoint, positions[endpoint])))
        elif what == "wait":
            check_sends(rig.run(0.05 * which))
        elif what == "list":
            check_sends(rig.feed(api.EndpointListUpdate((entry(2 + which % 2),), complete=False)))


@pytest.mark.parametrize("how", ["tried again", "waiting", "hedged"])
def test_every_attempt_of_a_session_read_includes_the_writes_acknowledged_before_it(how):
    """With sessions tracked by the proxy, a write of the session is answered before the read is sent."""
    rig = Rig(replace(SETTINGS, session_tracking=SessionTracking.BY_PROXY, health_checks=False, hedging=True))
    for endpoint in (2, 3):
        rig.report(endpoint, 0.0)
    write, _ = rig.receive("write", session="s", ttl=1.9)
    if how == "waiting":
        for endpoint in rig.router.endpoints.values():
            endpoint.concurrency_limit = 0.0
    read, actions = rig.receive("session", session="s")
    assert bool(sends(actions, read)) is (how != "waiting")
    rig.now += 0.01
    for endpoint in (2, 3):
        rig.router.endpoints[endpoint].concurrency_limit = 4.0
    rig.finish(write, 0, 1, AttemptResult.OK, primary=True, position=rig.now)
    if how == "tried again":
        rig.finish(read, 0, sends(actions, read)[0], AttemptResult.CONNECT_FAILED)
    elif how == "hedged":
        rig.router.hedging.hedge(rig.router.requests[read])
    rig.run(0.02)
    later = sends(rig.log, read)[len(sends(actions, read)) :]
    assert not set(later) & {2, 3}, "their position is older than the write"
