"""Requests that an endpoint never answers while it answers others: they are lost, not a sign of load."""

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


def send_answered(rig: Rig, name: str, count: int) -> None:
    """Send `count` requests of a class; every endpoint responds after 20 ms."""
    serve(rig, name, count, {1: 0.02, 2: 0.02, 3: 0.02})


def send_unanswered(rig: Rig, name: str) -> int:
    """Send a request to endpoint 1, which never responds to it."""
    request, actions = rig.receive(name, ttl=0.6)
    assert sends(actions, request) == [1]
    return request


def test_write_overtaken_by_later_ones_is_sent_to_its_primary_again():
    rig = Rig()
    send_answered(rig, "write", 60)
    request = send_unanswered(rig, "write")
    send_answered(rig, "write", 12)
    assert sends(rig.log, request) == [1, 1]


def test_write_that_was_not_overtaken_is_not_sent_again():
    rig = Rig()
    send_answered(rig, "write", 60)
    request = send_unanswered(rig, "write")
    rig.run(0.3)
    assert sends(rig.log, request) == [1]


def test_no_hedged_request_if_it_is_not_idempotent_or_hedging_is_off():
    for settings, name in ((SETTINGS, "unsafe"), (replace(SETTINGS, hedging=False), "write")):
        rig = Rig(settings)
        send_answered(rig, "write", 60)
        request = send_unanswered(rig, name)
        send_answered(rig, "write", 12)
        assert sends(rig.log, request) == [1]


def limit_after(rig: Rig, overtaken: bool) -> float:
    """Return the primary's limit after up to 30 requests without a response.

    With `overtaken`, the primary answers eight later requests after each of them.
    """
    send_answered(rig, "write", 60)
    for _ in range(30):
        request, actions = rig.receive("unsafe", ttl=0.6)
        if not sends(actions, request):
            break  # the limit leaves no headroom
        if overtaken:
            send_answered(rig, "write", 8)
        rig.run(0.6)
        rig.feed(api.AttemptFinished(request, 0, 1, AttemptResult.TIMEOUT, 0.6, False))
        assert finals(rig.log, request)
    return rig.router.endpoints[1].concurrency_limit


def test_timeouts_reduce_the_limit_unless_the_attempt_was_overtaken():
    endpoints = (entry(1, primary=True),)
    limit_after_losses = limit_after(Rig(endpoints=endpoints), overtaken=True)
    limit_after_overload = limit_after(Rig(endpoints=endpoints), overtaken=False)
    assert limit_after_losses >= 24.0 > limit_after_overload


def test_attempt_in_flight_of_an_answered_request_ends_at_the_clients_deadline():
    proxy = MongodbProxy()
    for endpoint in (2, 3):
        proxy.engine.feed(
            api.HealthCheckFinished(
                endpoint, AttemptResult.OK, 0.001, api.LoadReport(proxy.clock.now(), False)
            )
        )
    _, responses = submit(proxy, "map-read")
    while len(proxy.endpoints.sent) < 2 and proxy.clock.now() < 1000.95:
        proxy.turn(0.01)
    unanswered, hedged = proxy.endpoints.sent
    hedged.answer()
    proxy.turn()
    assert len(responses) == 1 and not unanswered.abandoned
    assert (
        proxy.engine.request_table.requests and proxy.engine.router.endpoints[unanswered.endpoint].in_flight
    )
    proxy.turn(1.0)
    assert unanswered.abandoned
    assert not proxy.engine.request_table.requests
    assert not any(e.in_flight for e in proxy.engine.router.endpoints.values())


def test_endpoint_that_is_long_gone_is_removed_and_sessions_are_tracked_only_as_needed():
    rig = Rig()
    send_answered(rig, "write", 60)
    rig.finish(rig.receive("write", session="s")[0], 0, 1, AttemptResult.OK, position=rig.now)
    assert not rig.router.groups[1].session_commits
    rig.feed(api.EndpointListUpdate((entry(1, primary=True), entry(2)), complete=True))
    for _ in range(10):
        send_answered(rig, "write", 60)
        rig.run(6.0)
    assert set(rig.router.endpoints) == {1, 2, 3}, "it may come back"
    for _ in range(10):
        send_answered(rig, "write", 60)
        rig.run(6.0)
    assert set(rig.router.endpoints) == {1, 2} and len(rig.router.groups[1].endpoints) == 2
    send_answered(rig, "any", 20)


def test_sessions_are_bounded_without_reported_positions_and_dropped_ones_still_read_their_writes():
    rig = Rig(replace(SETTINGS, session_tracking=api.SessionTracking.BY_PROXY, health_checks=False))
    start = rig.now
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
    rig.router.endpoints[1].concurrency_limit = 0.5  # no headroom for reads
    rig.feed(api.HealthCheckFinished(2, AttemptResult.OK, 0.001, api.LoadReport(start, False)))
    read, actions = rig.receive("session", session="s0")
    assert not sends(actions, read)
    assert sends(
        rig.feed(api.HealthCheckFinished(2, AttemptResult.OK, 0.001, api.LoadReport(rig.now - 0.1, False))),
        read,
    ) == [2]


def test_one_broken_connection_triggers_a_health_check_and_three_in_a_row_an_ejection():
    rig = Rig()
    send_answered(rig, "write", 60)
    first = rig.receive("write")[0]
    actions = rig.finish(first, 0, 1, AttemptResult.RESET)
    assert api.CheckHealth(1) in actions and not rig.router.endpoints[1].ejection_reason
    assert sends(rig.log, first) == [1, 1], "the request may be retried, and the endpoint is not ejected"
    rig.finish(first, 1, 1, AttemptResult.RESET)
    rig.finish(first, 2, 1, AttemptResult.RESET)
    assert rig.router.endpoints[1].ejection_reason is EjectionReason.UNREACHABLE


def test_response_resets_the_count_of_connection_failures():
    rig = Rig()
    send_answered(rig, "write", 60)
    for _ in range(6):
        rig.finish(rig.receive("write")[0], 0, 1, AttemptResult.CONNECT_FAILED)
        send_answered(rig, "write", 12)
        assert not rig.router.endpoints[1].ejection_reason


def test_process_that_is_not_running_is_detected_by_health_checks():
    rig = Rig()
    send_answered(rig, "write", 60)
    rig.finish(rig.receive("unsafe")[0], 0, 1, AttemptResult.RESET)
    checks = 0
    while not rig.router.endpoints[1].ejection_reason and checks < 5:
        checks += 1
        rig.feed(api.HealthCheckFinished(1, AttemptResult.CONNECT_FAILED, 0.001))
    assert rig.router.endpoints[1].ejection_reason is EjectionReason.UNREACHABLE and checks == 2


def test_one_failed_connect_does_not_reduce_the_limit_but_several_do():
    rig = Rig()
    send_answered(rig, "write", 60)
    requests = [rig.receive("unsafe")[0] for _ in range(4)]
    before = rig.router.endpoints[1].concurrency_limit
    rig.finish(requests[0], 0, 1, AttemptResult.CONNECT_FAILED)
    assert rig.router.endpoints[1].concurrency_limit == before
    rig.finish(requests[1], 0, 1, AttemptResult.CONNECT_FAILED)
    assert rig.router.endpoints[1].concurrency_limit < before / 2


def test_overtaken_requests_do_not_make_their_endpoint_silent():
    rig = Rig(endpoints=(entry(1, primary=True), entry(2), entry(3)))
    send_answered(rig, "write", 60)
    for _ in range(5):
        send_unanswered(rig, "unsafe")
    send_answered(rig, "write", 20)
    for _ in range(10):
        send_answered(rig, "write", 2)
        send_answered(rig, "any", 4)
        rig.run(0.045)  # below the silence limit for one unanswered attempt, above that for five
        assert not rig.router.endpoints[1].ejection_reason
    assert len(rig.router.endpoints[1].overtaken) == 5


def test_lost_read_is_sent_to_its_endpoint_again_if_no_other_may_serve_it():
    rig = Rig(endpoints=(entry(1, primary=True), entry(2)))
    rig.router.outlier_detection.eject(rig.router.endpoints[1], EjectionReason.UNREACHABLE)
    rig.router.endpoints[1].ejected_until = rig.now + 1e6
    rig.router.state.random.random = lambda: 0.5  # no exploration
    send_answered(rig, "any", 60)
    request, actions = rig.receive("any", ttl=0.6)
    assert sends(actions, request) == [2]
    send_answered(rig, "any", 12)
    assert sends(rig.log, request) == [2, 2]
