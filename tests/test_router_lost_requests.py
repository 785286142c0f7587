"""Requests that an endpoint takes and never answers, while it answers others: losses, not load."""

from __future__ import annotations

from dataclasses import replace

from sedgepitch.routing import messages as api
from sedgepitch.routing.freshness import SESSIONS_MAX
from sedgepitch.routing.messages import AttemptResult
from sedgepitch.routing.records import EjectionReason
from tests.support.mongodb_harness import MongodbProxy
from tests.support.router_harness import SETTINGS, Rig, entry, finals, sends
from tests.test_engine import submit
from tests.test_router_faults import serve


def answered_after(rig: Rig, name: str, count: int) -> None:
    """Let that many later requests be answered in 20 ms each, by whoever they go to."""
    serve(rig, name, count, {1: 0.02, 2: 0.02, 3: 0.02})


def hang(rig: Rig, name: str) -> int:
    """Ask for what is never answered."""
    request, actions = rig.receive(name, ttl=0.6)
    assert sends(actions, request) == [1]
    return request


def test_a_write_that_later_ones_overtook_is_sent_again_to_its_primary():
    rig = Rig()
    answered_after(rig, "write", 60)
    request = hang(rig, "write")
    answered_after(rig, "write", 12)
    assert sends(rig.log, request) == [1, 1]


def test_a_write_that_nobody_overtook_is_not_sent_again():
    rig = Rig()
    answered_after(rig, "write", 60)
    request = hang(rig, "write")
    rig.run(0.3)
    assert sends(rig.log, request) == [1]


def test_no_hedged_request_of_what_is_not_idempotent_or_where_hedging_is_off():
    for settings, name in ((SETTINGS, "unsafe"), (replace(SETTINGS, hedging=False), "write")):
        rig = Rig(settings)
        answered_after(rig, "write", 60)
        request = hang(rig, name)
        answered_after(rig, "write", 12)
        assert sends(rig.log, request) == [1]


def limit_after(rig: Rig, overtaken: bool) -> float:
    """The primary's limit after every fourth request went without an answer."""
    answered_after(rig, "write", 60)
    for _ in range(30):
        request, actions = rig.receive("unsafe", ttl=0.6)
        if not sends(actions, request):
            break  # there is no room any more
        if overtaken:
            answered_after(rig, "write", 8)
        rig.run(0.6)
        rig.feed(api.AttemptFinished(request, 0, 1, AttemptResult.TIMEOUT, 0.6, False))
        assert finals(rig.log, request)
    return rig.router.endpoints[1].concurrency_limit


def test_time_outs_of_what_was_overtaken_cut_no_limit_and_those_of_what_waits_do():
    endpoints = (entry(1, primary=True),)
    lost = limit_after(Rig(endpoints=endpoints), overtaken=True)
    held = limit_after(Rig(endpoints=endpoints), overtaken=False)
    assert lost >= 24.0 > held


def test_an_attempt_of_an_answered_request_ends_with_the_clients_time():
    proxy = MongodbProxy()
    for endpoint in (2, 3):
        proxy.engine.feed(
            api.HealthCheckFinished(
                endpoint, AttemptResult.OK, 0.001, api.LoadReport(proxy.clock.now(), False)
            )
        )
    _, got = submit(proxy, "map-read")
    while len(proxy.endpoints.sent) < 2 and proxy.clock.now() < 1000.95:
        proxy.turn(0.01)
    silent, quick = proxy.endpoints.sent
    quick.answer()
    proxy.turn()
    assert len(got) == 1 and not silent.abandoned
    assert proxy.engine.request_table.requests and proxy.engine.router.endpoints[silent.endpoint].in_flight
    proxy.turn(1.0)
    assert silent.abandoned
    assert not proxy.engine.request_table.requests
    assert not any(m.in_flight for m in proxy.engine.router.endpoints.values())


def test_an_endpoint_long_gone_is_forgotten_and_sessions_are_kept_only_where_they_are_needed():
    rig = Rig()
    answered_after(rig, "write", 60)
    rig.finish(rig.receive("write", session="s")[0], 0, 1, AttemptResult.OK, position=rig.now)
    assert not rig.router.groups[1].session_commits
    rig.feed(api.EndpointListUpdate((entry(1, primary=True), entry(2)), complete=True))
    for _ in range(10):
        answered_after(rig, "write", 60)
        rig.run(6.0)
    assert set(rig.router.endpoints) == {1, 2, 3}, "it may come back"
    for _ in range(10):
        answered_after(rig, "write", 60)
        rig.run(6.0)
    assert set(rig.router.endpoints) == {1, 2} and len(rig.router.groups[1].endpoints) == 2
    answered_after(rig, "any", 20)


def test_sessions_are_bounded_where_an_endpoint_reports_no_position_and_forgotten_ones_see_their_writes():
    rig = Rig(replace(SETTINGS, session_tracking=api.SessionTracking.BY_PROXY, health_checks=False))
    begun = rig.now
    for number in range(3 * SESSIONS_MAX):
        rig.finish(
            rig.receive("write", session=f"s{number}")[0],
            0,
            1,
            AttemptResult.OK,
            primary=True,
            position=rig.now,
        )
        rig.run(0.002)
    rig.run(6.0)
    rig.feed()
    group = rig.router.groups[1]
    assert SESSIONS_MAX / 4 < len(group.session_commits) <= SESSIONS_MAX and "s0" not in group.session_commits
    assert f"s{number}" in group.session_commits
    rig.router.endpoints[1].concurrency_limit = 0.5  # no room for reads
    rig.feed(api.HealthCheckFinished(2, AttemptResult.OK, 0.001, api.LoadReport(begun, False)))
    read, actions = rig.receive("session", session="s0")
    assert not sends(actions, read)
    assert sends(
        rig.feed(api.HealthCheckFinished(2, AttemptResult.OK, 0.001, api.LoadReport(rig.now - 0.1, False))),
        read,
    ) == [2]


def test_one_broken_connection_checks_the_endpoint_and_three_in_a_row_eject_it():
    rig = Rig()
    answered_after(rig, "write", 60)
    first = rig.receive("write")[0]
    actions = rig.finish(first, 0, 1, AttemptResult.RESET)
    assert api.CheckHealth(1) in actions and not rig.router.endpoints[1].ejection_reason
    assert sends(rig.log, first) == [1, 1], "it may be repeated, and the endpoint is there"
    rig.finish(first, 1, 1, AttemptResult.RESET)
    rig.finish(first, 2, 1, AttemptResult.RESET)
    assert rig.router.endpoints[1].ejection_reason is EjectionReason.UNREACHABLE


def test_an_answer_between_two_breaks_starts_the_count_anew():
    rig = Rig()
    answered_after(rig, "write", 60)
    for _ in range(6):
        rig.finish(rig.receive("write")[0], 0, 1, AttemptResult.CONNECT_FAILED)
        answered_after(rig, "write", 12)
        assert not rig.router.endpoints[1].ejection_reason


def test_a_process_that_does_not_run_is_known_by_its_health_checks():
    rig = Rig()
    answered_after(rig, "write", 60)
    rig.finish(rig.receive("unsafe")[0], 0, 1, AttemptResult.RESET)
    checks = 0
    while not rig.router.endpoints[1].ejection_reason and checks < 5:
        checks += 1
        rig.feed(api.HealthCheckFinished(1, AttemptResult.CONNECT_FAILED, 0.001))
    assert rig.router.endpoints[1].ejection_reason is EjectionReason.UNREACHABLE and checks == 2


def test_one_connection_that_does_not_come_about_is_no_full_table_and_several_are():
    rig = Rig()
    answered_after(rig, "write", 60)
    held = [rig.receive("unsafe")[0] for _ in range(4)]
    before = rig.router.endpoints[1].concurrency_limit
    rig.finish(held[0], 0, 1, AttemptResult.CONNECT_FAILED)
    assert rig.router.endpoints[1].concurrency_limit == before
    rig.finish(held[1], 0, 1, AttemptResult.CONNECT_FAILED)
    assert rig.router.endpoints[1].concurrency_limit < before / 2


def test_requests_that_were_overtaken_do_not_make_their_endpoint_silent():
    rig = Rig(endpoints=(entry(1, primary=True), entry(2), entry(3)))
    answered_after(rig, "write", 60)
    for _ in range(5):
        hang(rig, "unsafe")
    answered_after(rig, "write", 20)
    for _ in range(10):
        answered_after(rig, "write", 2)
        answered_after(rig, "any", 4)
        rig.run(0.045)  # well under what one request may wait, more than five may
        assert not rig.router.endpoints[1].ejection_reason
    assert len(rig.router.endpoints[1].overtaken) == 5


def test_a_lost_read_is_sent_again_to_its_endpoint_where_no_other_may_serve_it():
    rig = Rig(endpoints=(entry(1, primary=True), entry(2)))
    rig.router.outlier_detection.eject(rig.router.endpoints[1], EjectionReason.UNREACHABLE)
    rig.router.endpoints[1].ejected_until = rig.now + 1e6
    rig.router.state.random.random = lambda: 0.5  # no exploration
    answered_after(rig, "any", 60)
    request, actions = rig.receive("any", ttl=0.6)
    assert sends(actions, request) == [2]
    answered_after(rig, "any", 12)
    assert sends(rig.log, request) == [2, 2]
