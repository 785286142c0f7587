"""Side comparison after Huang et al., and one test for each class of fault that the router handles."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult, EndpointState, Idempotency, StaleReadHandling
from sedgepitch.routing.records import EjectionReason, ReadPreference
from sedgepitch.routing.router import Router
from tests.support.router_harness import SETTINGS, Rig, entry, finals, route_request, sends


def serve(
    rig: Rig, name: str, count: int, elapsed: dict[int, float], result: AttemptResult = AttemptResult.OK
) -> list[int]:
    """Send `count` requests, finish each attempt with its endpoint's `elapsed` time; return the endpoints."""
    used = []
    for _ in range(count):
        request, actions = rig.receive(name)
        rig.run(0.02)
        for endpoint in sends(actions, request):
            used.append(endpoint)
            rig.feed(
                api.AttemptFinished(
                    request,
                    0,
                    endpoint,
                    result,
                    elapsed[endpoint],
                    result is AttemptResult.OK,
                    primary=endpoint == 1,
                )
            )
    return used


def test_reads_start_on_replicas_with_a_small_exploration_fraction():
    rig = Rig()
    used = serve(rig, "any", 400, {1: 0.02, 2: 0.02, 3: 0.02})
    assert 0 < used.count(1) < 0.1 * len(used)


def test_reads_move_to_a_primary_twice_as_fast_and_stay_between_the_decision_thresholds():
    for primary, moves in ((0.01, True), (0.03, False)):
        rig = Rig()
        serve(rig, "any", 800, {1: primary, 2: 0.05, 3: 0.05})
        used = serve(rig, "any", 200, {1: primary, 2: 0.05, 3: 0.05})
        assert (used.count(1) > 150) is moves


def test_the_read_preference_stays_without_a_latency_sample_of_the_primary():
    rig = Rig(endpoints=(entry(2), entry(3)))
    serve(rig, "any", 600, {2: 0.05, 3: 0.05})
    assert rig.router.groups[1].read_preference is ReadPreference.SECONDARY


def test_an_unresponsive_endpoint_is_ejected_and_its_idempotent_reads_are_hedged():
    rig = Rig()
    serve(rig, "any", 200, {1: 0.02, 2: 0.02, 3: 0.02})
    unanswered = []
    for _ in range(100):
        request, actions = rig.receive("any")
        rig.run(0.01)
        for endpoint in sends(actions, request):
            if endpoint == 2:
                unanswered.append(request)
            else:
                rig.finish(request, 0, endpoint, AttemptResult.OK, primary=endpoint == 1)
    assert 0 < len(unanswered) < 25
    assert any(len(sends(rig.log, request)) == 2 for request in unanswered)


def answer(rig: Rig, request: int, bad: int = 0) -> None:
    """Finish every attempt of a request: with an error at endpoint `bad`, successfully elsewhere."""
    attempt = 0
    while attempt < len(sends(rig.log, request)):
        endpoint = sends(rig.log, request)[attempt]
        rig.finish(
            request,
            attempt,
            endpoint,
            AttemptResult.ERROR if endpoint == bad else AttemptResult.OK,
            primary=endpoint == 1,
        )
        attempt += 1


def test_a_failing_endpoint_is_ejected_and_readmitted_by_half_open_trials():
    rig = Rig()
    for _ in range(200):
        answer(rig, rig.receive("any")[0], bad=3)
        rig.run(0.01)
    assert rig.router.endpoints[3].ejection_reason is EjectionReason.FAILING
    for _ in range(500):
        answer(rig, rig.receive("any")[0])
        rig.run(0.02)
    assert rig.router.endpoints[3].ejection_reason is None


def test_requests_that_fail_everywhere_eject_no_endpoint():
    # Fault scenario bad_requests: two in five requests fail immediately at any endpoint. No endpoint is
    # ejected, and a request takes at most two attempts.
    rig = Rig()
    for number in range(300):
        request, _ = rig.receive("any")
        attempt = 0
        while attempt < len(sends(rig.log, request)):
            endpoint = sends(rig.log, request)[attempt]
            result = AttemptResult.ERROR if number % 5 < 2 else AttemptResult.OK
            rig.finish(request, attempt, endpoint, result, primary=endpoint == 1)
            attempt += 1
        assert attempt <= 2
        rig.run(0.02)
    assert not rig.router.groups[1].ejected


def test_a_lost_connection_ejects_an_endpoint_until_a_health_check_succeeds_and_a_trial_follows():
    rig = Rig()
    request = 0
    while 3 not in sends(rig.log, request):
        request, _ = rig.receive("any")
    rig.finish(request, 0, 3, AttemptResult.RESET)
    for _ in range(2):  # health checks fail: the endpoint's process does not run
        rig.feed(api.HealthCheckFinished(3, AttemptResult.CONNECT_FAILED, 0.001))
    start = len(rig.log)
    rig.run(0.7)
    rig.receive("any")
    assert api.CheckHealth(3) in rig.log[start:] and 3 not in sends(rig.log[start:])
    rig.feed(api.HealthCheckFinished(3, AttemptResult.OK, 0.001))
    for _ in range(20):
        rig.receive("any")
    assert sends(rig.log[start:]).count(3) == 1


def test_a_half_open_trial_is_a_second_attempt_beside_one_at_a_healthy_endpoint():
    rig = Rig()
    rig.router.outlier_detection.eject(rig.router.endpoints[3], EjectionReason.SILENT)
    rig.run(0.7)
    request, actions = rig.receive("any")
    assert sorted(sends(actions, request))[-1] == 3 and len(sends(actions, request)) == 2


def test_health_checks_that_always_fail_do_not_keep_an_endpoint_ejected():
    rig = Rig()
    rig.router.outlier_detection.eject(rig.router.endpoints[3], EjectionReason.UNREACHABLE)
    start = len(rig.log)
    for _ in range(800):
        request, actions = rig.receive("any", ttl=0.3)
        for action in actions + rig.run(0.02):
            if isinstance(action, api.CheckHealth):
                rig.feed(api.HealthCheckFinished(action.endpoint, AttemptResult.TIMEOUT, 0.25))
        answer(rig, request)
    assert 3 in sends(rig.log[start:])


def test_a_slow_endpoint_receives_less_than_half_of_the_reads_of_a_fast_one():
    rig = Rig()
    used = []
    in_flight: list[tuple[float, int, int]] = []  # (finishes at, request, endpoint)
    for _ in range(400):
        request, actions = rig.receive("any")
        for endpoint in sends(actions, request):
            used.append(endpoint)
            in_flight.append((rig.now + (0.25 if endpoint == 3 else 0.02), request, endpoint))
        rig.run(0.01)
        for due in [attempt for attempt in in_flight if attempt[0] <= rig.now]:
            in_flight.remove(due)
            elapsed = 0.25 if due[2] == 3 else 0.02
            rig.feed(
                api.AttemptFinished(due[1], 0, due[2], AttemptResult.OK, elapsed, True, primary=due[2] == 1)
            )
    assert used.count(3) < used.count(2) / 2


def test_writes_find_the_new_primary_after_a_failover():
    rig = Rig()
    request, _ = rig.receive("write", ttl=1.9)
    rig.finish(request, 0, 1, AttemptResult.NOT_ELIGIBLE, primary=False)
    rig.run(0.05)
    assert sends(rig.log, request)[:2] == [1, 2]
    rig.finish(request, 1, 2, AttemptResult.NOT_ELIGIBLE, primary=False)
    assert sends(rig.log, request)[2] == 3
    rig.finish(request, 2, 3, AttemptResult.OK, primary=True)
    later, actions = rig.receive("write")
    assert sends(actions, later) == [3]


def test_fresh_reads_without_a_primary_are_rejected_before_their_deadline():
    rig = Rig(endpoints=(entry(1), entry(2)))
    request, actions = rig.receive("fresh")
    assert sends(actions, request) == []
    rig.run(0.3)
    answer = finals(rig.log, request)[0]
    assert isinstance(answer, api.Reject) and answer.retry_after > 0


@pytest.mark.parametrize("first", [True, False])
def test_a_late_endpoint_list_does_not_override_the_role_in_a_load_report(first):
    rig = Rig(endpoints=(entry(1, primary=first), entry(2)))
    rig.report(2, 0.0, primary=True)
    rig.feed(api.EndpointListUpdate((entry(1, primary=True),), complete=False))
    request, actions = rig.receive("write")
    assert sends(actions, request) == [2]


def test_retries_stay_within_the_budget_while_every_attempt_fails():
    rig = Rig()
    for _ in range(300):
        request, _ = rig.receive("any")
        attempt = 0
        while attempt < len(sends(rig.log, request)) and not finals(rig.log, request):
            rig.finish(request, attempt, sends(rig.log, request)[attempt], AttemptResult.ERROR)
            attempt += 1
        rig.run(0.01)
    assert len(sends(rig.log)) <= 300 * 1.2 + 10


def test_overload_rejects_the_lowest_priority_first():
    priority_weight = {"any": 0.2, "bounded": 6.0}
    classes = tuple(
        replace(c, priority_weight=priority_weight.get(c.name, c.priority_weight)) for c in SETTINGS.classes
    )
    rig = Rig(replace(SETTINGS, classes=classes))
    for endpoint in (1, 2, 3):
        rig.report(endpoint, 0.01, primary=endpoint == 1)
    for _ in range(200):
        rig.receive("any")
        rig.receive("bounded")
    sent = {a.request for a in rig.log if isinstance(a, api.SendAttempt)}
    assert sum(r % 2 == 0 for r in sent) > sum(r % 2 == 1 for r in sent)


def test_a_replica_that_may_be_fresh_enough_is_checked_before_the_primary_serves_a_read():
    rig = Rig()
    rig.report(2, 0.3)
    rig.run(0.3)
    rig.router.endpoints[3].health_checked_at = rig.now
    request, actions = rig.receive("bounded")
    if 1 not in sends(actions, request):
        assert api.CheckHealth(2) in actions and sends(actions, request) == []
        rig.report(2, 0.2)
        assert sends(rig.log, request) == [2]


def test_a_failed_connection_to_an_endpoint_that_answers_does_not_eject_it():
    """Its connection table is full; the process runs."""
    rig = Rig()
    requests = [rig.receive("any")[0] for _ in range(8)]
    by_endpoint = {m: [r for r in requests if sends(rig.log, r) == [m]] for m in (2, 3)}
    endpoint = max(by_endpoint, key=lambda number: len(by_endpoint[number]))
    rig.finish(by_endpoint[endpoint][0], 0, endpoint, AttemptResult.OK, primary=False)
    rig.finish(by_endpoint[endpoint][1], 0, endpoint, AttemptResult.CONNECT_FAILED)
    assert rig.router.endpoints[endpoint].ejection_reason is None


def test_a_failed_watch_of_the_endpoint_list_is_retried_with_backoff():
    rig = Rig(replace(SETTINGS, subscription_required=True))
    assert rig.log.count(api.WatchEndpointList()) == 1
    times = []
    for _ in range(3):
        rig.feed(api.EndpointListFailed())
        before = rig.now
        while rig.log.count(api.WatchEndpointList()) < len(times) + 2:
            rig.run(0.01)
        times.append(rig.now - before)
    assert times[0] < times[-1] <= 6.0


def test_late_events_of_finished_requests_and_unknown_ids_are_ignored():
    rig = Rig()
    request, actions = rig.receive("any")
    endpoint = sends(actions, request)[0]
    rig.finish(request, 0, endpoint, AttemptResult.OK, primary=False)
    for event in (
        api.AttemptFinished(request, 0, endpoint, AttemptResult.ERROR, 0.1, False),
        api.AttemptFinished(999, 0, 77, AttemptResult.OK, 0.1, True),
        api.HealthCheckFinished(77, AttemptResult.OK, 0.1),
        api.ClientDisconnected(request),
        api.TimerExpired(12345),
    ):
        assert rig.feed(event) == []


def test_a_restarted_endpoint_begins_with_a_slow_start():
    rig = Rig()
    rig.router.outlier_detection.eject(rig.router.endpoints[2], EjectionReason.UNREACHABLE)
    rig.run(1.0)
    rig.feed(api.EndpointListUpdate((entry(2, started=rig.now),), complete=False))
    assert rig.router.slow_start.capacity_share(rig.router.endpoints[2]) < 0.3


def test_the_same_events_give_the_same_actions():
    logs = []
    for _ in range(2):
        rig = Rig(seed=3)
        serve(rig, "any", 50, {1: 0.02, 2: 0.02, 3: 0.03})
        logs.append(rig.log)
    assert logs[0] == logs[1]


def test_a_request_is_answered_in_time_while_all_endpoints_are_draining():
    rig = Rig()
    rig.feed(
        api.EndpointListUpdate(
            tuple(entry(m, state=EndpointState.DRAINING) for m in (1, 2, 3)), complete=True
        )
    )
    request, _ = rig.receive("any")
    assert len(finals(rig.run(0.5), request)) == 1 and sends(rig.log, request) == []


@pytest.mark.parametrize(
    ("changes", "name"),
    [
        ({"classes": ()}, "settings.classes"),
        ({"classes": (replace(SETTINGS.classes[0], latency_objective=0.0),)}, "latency_objective"),
        ({"tick": -1.0}, "settings.tick"),
        ({"max_attempts": 0}, "settings.max_attempts"),
    ],
)
def test_invalid_settings_raise_an_error_that_names_the_key(changes, name):
    with pytest.raises(ValueError, match=name):
        Router(replace(SETTINGS, **changes), 1)


# Proxy instances with little traffic each


def test_an_idle_router_sets_no_timer():
    rig = Rig()
    request, actions = rig.receive("any")
    rig.finish(request, 0, sends(actions, request)[0], AttemptResult.OK, primary=False)
    rig.run(5.0)
    assert rig.timers == []


def test_connections_lost_while_idle_are_closed_before_the_next_send():
    # Fault scenario idle_reap: idle connections are dropped silently, so the first attempt after an idle
    # period gets no response although the endpoint is healthy.
    rig = Rig()
    serve(rig, "any", 60, {1: 0.02, 2: 0.02, 3: 0.02})
    rig.run(3.0)
    request, actions = rig.receive("any")
    first = sends(actions, request)[0]
    rig.run(0.5)
    assert len(sends(rig.log, request)) == 2 and not rig.router.groups[1].ejected
    rig.finish(request, 1, sends(rig.log, request)[1], AttemptResult.OK, primary=False)
    rig.finish(request, 0, first, AttemptResult.TIMEOUT, final=True)
    rig.run(3.0)
    request, actions = rig.receive("any")
    assert api.CloseIdleConnections(sends(actions, request)[0]) in actions


def test_no_endpoint_is_ejected_while_none_responds():
    rig = Rig()
    for _ in range(4):
        rig.receive("any", ttl=5.0)
    rig.run(2.0)
    assert not rig.router.groups[1].ejected


def test_latencies_measured_while_the_event_loop_was_blocked_are_ignored():
    rig = Rig()
    serve(rig, "any", 60, {1: 0.02, 2: 0.02, 3: 0.02})
    request, actions = rig.receive("any")
    endpoint = rig.router.endpoints[sends(actions, request)[0]]
    before = endpoint.latency_ratio
    rig.now += 1.0  # the event loop is blocked for 1 s while timers are due
    rig.feed(
        api.AttemptFinished(request, 0, endpoint.id, AttemptResult.OK, 1.0, True, primary=endpoint.id == 1)
    )
    assert endpoint.latency_ratio == before and not endpoint.ejection_reason


def test_a_concurrency_limit_below_one_is_a_probability_of_sending():
    rig = Rig()
    for endpoint in rig.router.endpoints.values():
        endpoint.concurrency_limit = 0.3
    sent = [len(sends(rig.receive("any", ttl=0.3)[1])) for _ in range(1)]
    for seed in range(200):
        other = Rig(seed=seed)
        for endpoint in other.router.endpoints.values():
            endpoint.concurrency_limit = 0.3
        sent.append(len(sends(other.receive("any", ttl=0.3)[1])))
    assert 0 < sum(sent) < 0.6 * len(sent)


@pytest.mark.parametrize("name", ["any", "fresh", "session", "write"])
def test_an_instance_of_a_large_fleet_rejects_no_class_while_the_endpoints_are_idle(name):
    for seed in range(40):  # a single request is sent for any sampling draw and priority weight
        rig = Rig(replace(SETTINGS, proxy_instances=200), seed=seed)
        for _ in range(3):
            request, _ = rig.receive(name)
            (endpoint,) = sends(rig.log, request)
            rig.finish(request, 0, endpoint, AttemptResult.OK, primary=endpoint == 1)
            rig.run(1.0)


def test_a_request_whose_deadline_is_too_near_is_answered_at_once():
    rig = Rig()
    request, actions = rig.receive("any", ttl=0.01)
    assert len(finals(actions, request)) == 1 and sends(actions) == []


def test_a_replica_in_a_slow_zone_receives_fewer_reads():
    # Fault scenarios slow_link and false_reports: one endpoint has too few responses to show that it is slow;
    # the latency of its whole zone does.
    rig = Rig(endpoints=(entry(1, primary=True), entry(2), entry(3, zone="b")))
    used = serve(rig, "any", 300, {1: 0.02, 2: 0.02, 3: 0.19})
    assert used[100:].count(3) < used[100:].count(2) / 2


def test_a_write_rejected_as_overloaded_twice_is_retried_after_a_backoff():
    rig = Rig()
    request, _ = rig.receive("write", ttl=1.9)
    for attempt in range(2):
        rig.finish(request, attempt, 1, AttemptResult.OVERLOADED, primary=True)
    assert len(sends(rig.log, request)) == 2
    rig.run(0.3)
    assert len(sends(rig.log, request)) == 3


def test_a_loaded_primary_keeps_its_headroom_for_writes():
    rig = Rig()
    rig.router.endpoints[1].latency_ratio = 0.9
    rig.feed(
        api.EndpointListUpdate(
            (entry(2, state=EndpointState.DRAINING), entry(3, state=EndpointState.DRAINING)), complete=False
        )
    )
    request, used = route_request(rig, "any")
    assert used == [] and len(finals(rig.log, request)) == 1
    assert sends(rig.receive("write")[1]) == [1]


def primary_alone(rig: Rig, limit: float) -> object:
    """Drain the replicas and give the primary that concurrency limit; return the primary."""
    drained = (entry(2, state=EndpointState.DRAINING), entry(3, state=EndpointState.DRAINING))
    rig.feed(api.EndpointListUpdate(drained, complete=False))
    rig.router.endpoints[1].concurrency_limit = limit
    return rig.router.endpoints[1]


@pytest.mark.parametrize("name", ["write", "fresh"])
def test_reads_that_replicas_can_serve_do_not_delay_writes_and_fresh_reads(name):
    in_flight = []
    for seed in range(40):
        rig = Rig(seed=seed)
        primary_alone(rig, 2.0)
        while len(rig.router.endpoints[1].in_flight) < 2 and rig.ids < 30:
            route_request(rig, "any", ttl=0.9)
        in_flight.append(len(rig.router.endpoints[1].in_flight))
        assert sends(rig.receive(name)[1]) == [1], seed
    assert max(in_flight) == 2


def test_a_primary_with_a_concurrency_limit_below_one_takes_no_reads():
    rig = Rig()
    primary_alone(rig, 0.9)
    for _ in range(20):
        assert route_request(rig, "any")[1] == []


@pytest.mark.parametrize(("instances", "first"), [(20, 1.0), (40, 0.6), (200, 0.12), (4000, 0.1)])
def test_a_primary_s_share_of_reads_grows_with_its_responses(instances, first):
    """Otherwise the reads of a fleet that has just started overload a primary before any instance notices."""

    def share(responses: int, elapsed: float, alone: bool = False) -> float:
        used = 0
        for seed in range(300):
            rig = Rig(replace(SETTINGS, proxy_instances=instances, health_checks=False), seed=seed)
            primary = primary_alone(rig, 8.0) if alone else rig.router.endpoints[1]
            for _ in range(responses):
                primary.concurrency_limit = 1.5
                request, _ = rig.receive("write")
                rig.run(elapsed)
                rig.feed(api.AttemptFinished(request, 0, 1, AttemptResult.OK, elapsed, True, primary=True))
            primary.concurrency_limit, primary.latency_ratio = 8.0, 0.0
            rig.router.latencies.zone_ratio.clear()
            used += route_request(rig, "bounded")[1] == [1]  # no replica has reported its position
        return used / 300

    assert share(0, 0.0) == pytest.approx(first, abs=0.06)
    assert share(30, 0.01) == 1.0
    assert share(8, 0.19) == pytest.approx(1.0 if first == 1.0 else 0.1, abs=0.06), "slow ones lower it"
    assert share(0, 0.0, alone=True) == 1.0, "no other endpoint is available"


def test_a_concurrency_limit_below_one_spaces_out_requests_that_only_the_primary_serves():
    """With few writes, a limit applied as a probability would leave a write queued until its deadline."""
    for seed in range(40):
        rig = Rig(seed=seed)
        primary = primary_alone(rig, 0.3)
        request, _ = rig.receive("write", ttl=1.9)
        rig.run(rig.router.latencies.typical / 0.3 + 0.06)
        assert sends(rig.log, request) == [1], "the primary has been idle for a long time"
        later, actions = rig.receive("write", ttl=1.9)
        assert sends(actions, later) == [], "a write is in flight already"
        assert primary.concurrency_limit == 0.3


def test_an_idempotent_write_is_not_hedged_to_a_replica():
    """With REJECT a replica of any position may be picked, but a write must not be hedged to it."""
    safe = tuple(
        replace(c, idempotency=Idempotency.IDEMPOTENT) if c.name == "write" else c for c in SETTINGS.classes
    )
    rig = Rig(replace(SETTINGS, classes=safe, stale_read_handling=StaleReadHandling.REJECT))
    request, _ = rig.receive("write", ttl=1.9)
    rig.run(1.8)
    assert set(sends(rig.log, request)) == {1}


@pytest.mark.parametrize("max_attempts", [1, 2, 4, 6])
def test_the_primary_is_found_in_a_group_with_more_endpoints_than_max_attempts(max_attempts):
    """Neither the endpoint list nor health checks report roles."""
    settings = replace(SETTINGS, health_checks=False, list_reports_primary=False, max_attempts=max_attempts)
    rig = Rig(settings, endpoints=[entry(m) for m in range(1, 13)])
    for _ in range(20):
        request, actions = rig.receive("write", ttl=0.9)
        for attempt in range(max_attempts):
            tried = sends(actions, request)
            if not tried or finals(actions, request):
                break
            is_primary = tried[-1] == 12
            actions = rig.finish(
                request,
                attempt,
                tried[-1],
                AttemptResult.OK if is_primary else AttemptResult.NOT_ELIGIBLE,
                primary=is_primary,
            )
        rig.run(1.0)
    assert rig.router.groups[1].primary is rig.router.endpoints[12]


def test_replicas_added_together_are_used_although_none_is_warmed_up():
    rig = Rig(endpoints=(entry(1, primary=True),))
    rig.feed(api.EndpointListUpdate(tuple(entry(m, started=rig.now) for m in (2, 3, 4)), complete=False))
    rig.run(5.0)
    used = serve(rig, "any", 200, {1: 0.02, 2: 0.02, 3: 0.02, 4: 0.02})
    assert {2, 3, 4} <= set(used)


def test_the_number_of_role_checks_is_bounded_by_the_waiting_writes():
    # In a fleet of 400 instances with one waiting write each, no instance may check every endpoint each time.
    health_checks = 0
    for seed in range(50):
        rig = Rig(endpoints=tuple(entry(m) for m in range(1, 9)), seed=seed)
        rig.receive("write", ttl=1.0)
        for attempt in range(4):
            rig.finish(1, attempt, sends(rig.log, 1)[attempt], AttemptResult.NOT_ELIGIBLE, primary=False)
        rig.run(1.0)
        health_checks += sum(isinstance(a, api.CheckHealth) for a in rig.log)
    assert 0 < health_checks <= 50 * 5


def test_unusual_event_batches_have_a_defined_outcome():
    rig = Rig()
    assert rig.feed() == []
    rig.now += 3600.0  # the clock jumps ahead
    assert rig.feed() == [] or all(not isinstance(a, api.SendAttempt) for a in rig.log[-1:])
    rig.feed(*(api.RequestReceived(1000 + n, "any", 1, 0.5) for n in range(2000)))
    rig.run(1.0)
    answered = sum(isinstance(a, api.Reject) for a in rig.log)
    assert answered + len(sends(rig.log)) >= 2000
    empty = Rig()
    empty.feed(api.EndpointListUpdate((), complete=True))
    request, _ = empty.receive("any")
    empty.run(0.5)
    assert len(finals(empty.log, request)) == 1
    unknown = empty.feed(api.RequestReceived(77, "any", 9, 0.5))
    assert unknown == [api.Reject(77, 0.0)]


def test_reported_load_is_converted_to_the_latency_observed_with_it():
    rig = Rig()
    for endpoint, load in ((2, 2.0), (3, 40.0)):
        for _ in range(20):
            request, actions = rig.receive("any")
            used = sends(actions, request)[0]
            report = api.LoadReport(rig.now, used == 1, load if used == endpoint else 2.0)
            elapsed = 0.02 + 0.01 * report.load
            rig.feed(
                api.AttemptFinished(
                    request, 0, used, AttemptResult.OK, elapsed, True, primary=used == 1, report=report
                )
            )
            rig.run(0.05)
    rig.feed(api.HealthCheckFinished(3, AttemptResult.OK, 0.001, api.LoadReport(rig.now, False, 60.0)))
    rig.feed(api.HealthCheckFinished(2, AttemptResult.OK, 0.001, api.LoadReport(rig.now, False, 1.0)))
    assert rig.router.latencies.queueing_delay(rig.router.endpoints[3]) > 0.2
    assert all(sends(rig.receive("any")[1]) != [3] for _ in range(3))
    rig.run(2.0)  # an old load report is no longer used
    assert rig.router.latencies.queueing_delay(rig.router.endpoints[3]) == 0.0


def test_a_loaded_zone_lowers_the_limits_of_its_endpoints_without_recent_responses():
    # Incident ie07cc6: 330 instances with headroom for two requests each overloaded seven endpoints from the
    # start.
    sent = {}
    for ratio in (0.2, 1.0):
        sent[ratio] = 0
        for seed in range(100):
            rig = Rig(replace(SETTINGS, proxy_instances=400), seed=seed)
            rig.router.latencies.zone_ratio["a"] = ratio
            sent[ratio] += len(sends(rig.receive("any", ttl=0.3)[1]))
    assert sent[1.0] < 0.5 * sent[0.2]


def test_an_ejected_endpoint_gets_a_trial_with_requests_that_no_healthy_endpoint_has_headroom_for():
    # Fault scenarios cut and healed: all endpoints but one were ejected while a zone was cut off; health
    # checks are answered again.
    rig = Rig()
    for endpoint in (2, 3):
        rig.router.outlier_detection.eject(rig.router.endpoints[endpoint], EjectionReason.SILENT)
    rig.router.endpoints[1].concurrency_limit = 0.1  # the healthy endpoint has no headroom
    rig.run(5.0)
    used = set()
    for _ in range(4):
        request, actions = rig.receive("any")
        used |= set(sends(actions, request))
        for endpoint in sends(actions, request):
            rig.finish(request, 0, endpoint, AttemptResult.OK, primary=endpoint == 1)
    assert used & {2, 3}
    assert any(not rig.router.endpoints[m].ejection_reason for m in (2, 3))


def test_a_health_check_timeout_ejects_an_endpoint_while_others_respond():
    rig = Rig()
    rig.report(3, 0.3)
    rig.run(1.0)
    request, _ = rig.receive("any")
    (served,) = sends(rig.log, request)
    other = 5 - served if served != 1 else 2
    rig.finish(request, 0, served, AttemptResult.OK, primary=served == 1)
    rig.feed(api.HealthCheckFinished(other, AttemptResult.TIMEOUT, 0.25))
    assert rig.router.endpoints[other].ejection_reason is EjectionReason.SILENT


def test_a_health_check_timeout_ejects_no_endpoint_while_none_responds():
    rig = Rig()
    rig.run(1.0)
    rig.feed(api.HealthCheckFinished(2, AttemptResult.TIMEOUT, 0.25))
    assert not rig.router.endpoints[2].ejection_reason
