"""Exceptions in callbacks are contained, and the event loop lag counts against each deadline."""

from __future__ import annotations

import pytest

from sedgepitch.core.connection_pool import ConnectionPool, PoolLimits
from sedgepitch.core.deadlines import LAST_GUARD_AFTER, TICK
from sedgepitch.core.types import AttemptOutcome, ClientRequest, ResponseStatus
from sedgepitch.decisions.event_loop_lag import EventLoopLag
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult
from tests.support.mongodb_harness import MongodbProxy

BOUNDARIES = ("respond", "send", "health check", "observe", "log")


class CallbackError(Exception):
    pass


def state(proxy: MongodbProxy) -> dict:
    """Return the state that must be the same whether or not a callback raised."""
    router, request_table = proxy.engine.router, proxy.engine.request_table
    return {
        "requests": len(request_table.requests),
        "pending": request_table.pending,
        "completed": request_table.completed,
        "router_requests": len(router.requests),
        "in_flight_at_endpoints": sum(len(e.in_flight) for e in router.endpoints.values()),
        "health_checks_pending": [e.id for e in router.endpoints.values() if e.health_check_pending],
        "events": len(proxy.engine.dispatcher.events),
    }


def run_requests(boundary: str | None, admission: bool = False) -> tuple[dict, MongodbProxy, dict[int, list]]:
    """Run twelve requests, with the callback raising for every third; endpoints answer each attempt."""
    proxy = MongodbProxy()
    if admission:
        from sedgepitch.decisions.admission.controller import AdmissionController
        from sedgepitch.decisions.admission.settings import AdmissionSettings

        proxy.engine.admission = AdmissionController(AdmissionSettings(), 1, proxy.clock.now())
    for endpoint in (2, 3):
        proxy.engine.feed(
            api.HealthCheckFinished(
                endpoint, AttemptResult.OK, 0.001, api.LoadReport(proxy.clock.now(), False)
            )
        )
    responses: dict[int, list] = {}
    number = [0]

    def should_raise(where: str) -> bool:
        number[0] += 1
        return boundary == where and number[0] % 3 == 0

    original_send = proxy.endpoints.send

    def send(endpoint, payload, on_end, by):
        if should_raise("send"):
            raise CallbackError
        return original_send(endpoint, payload, on_end, by)

    def observe(pending, response, elapsed):
        if should_raise("observe"):
            raise CallbackError

    def check_health(endpoint, on_end):
        if boundary == "health check":
            raise CallbackError
        on_end(AttemptOutcome(AttemptResult.OK, report=api.LoadReport(proxy.clock.now(), False)))

    def log(text):
        raise CallbackError

    proxy.endpoints.send, proxy.endpoints.check_health = send, check_health
    proxy.engine.on_response = observe
    if boundary == "log":
        proxy.engine.log = log
        proxy.engine.callbacks.on_error = lambda where, error: log(where)
        proxy.engine.router.handle = _with_log_message(proxy.engine.router.handle)
    for n in range(12):
        responses[n] = []

        def on_response(response, n=n):
            responses[n].append(response)
            if boundary == "respond" and n % 3 == 0:
                raise CallbackError

        class_name = ("upload", "map-read", "history-read")[n % 3]
        proxy.engine.submit(ClientRequest(class_name, 0, 0.5, f"payload {n}"), on_response)
    for _ in range(6):
        proxy.turn()
        for sent in proxy.endpoints.sent:
            if not sent.abandoned:
                sent.abandoned = True
                sent.answer()
    proxy.turn(0.6)
    proxy.turn(0.1)
    return state(proxy), proxy, responses


def _with_log_message(handle):
    return lambda now, events: [api.LogMessage("a line"), *handle(now, events)]


@pytest.mark.parametrize("admission", [False, True])
@pytest.mark.parametrize("boundary", BOUNDARIES)
def test_a_raising_callback_leaves_the_same_state_behind(boundary, admission):
    baseline, _, _ = run_requests(None, admission)
    final_state, proxy, responses = run_requests(boundary, admission)
    assert all(len(answers) == 1 for answers in responses.values()), "each request has exactly one answer"
    assert final_state == baseline
    assert baseline["in_flight_at_endpoints"] == baseline["requests"] == baseline["router_requests"] == 0
    if boundary != "health check" or proxy.engine.callbacks.errors:
        assert proxy.engine.callbacks.errors > 0
    if admission:
        assert not proxy.engine.admission.requests
        assert all(not pool.in_flight for pool in proxy.engine.admission.pools.values())


def test_a_response_callback_that_raises_is_reported_once():
    errors = []
    proxy = MongodbProxy()
    proxy.engine.callbacks.on_error = lambda where, error: errors.append((where, type(error)))

    def on_response(response):
        raise CallbackError

    proxy.engine.submit(ClientRequest("upload", 0, 0.5, "payload"), on_response)
    proxy.turn()
    proxy.endpoints.sent[0].answer()
    proxy.turn()
    assert errors == [("answer", CallbackError)]


# Event loop lag


def submit(
    proxy: MongodbProxy, class_name: str = "map-read", time_left: float = 0.5, arrived: float | None = None
):
    responses: list = []
    pending = proxy.engine.submit(
        ClientRequest(class_name, 0, time_left, "payload"), responses.append, arrived
    )
    return pending, responses


def record_lag(proxy: MongodbProxy, lag_s: float) -> None:
    """Record lag twice: a single pause does not count."""
    for _ in range(2):
        proxy.engine.event_loop_lag.record(lag_s, proxy.clock.now())
        proxy.task.advance(0.3)


def test_time_left_counts_from_the_arrival_of_the_bytes():
    proxy = MongodbProxy()
    pending, responses = submit(proxy, "upload", 0.5, proxy.clock.now() - 0.3)
    assert pending.deadline == pytest.approx(proxy.clock.now() + 0.2)
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1
    proxy.turn(0.21)
    proxy.turn(0.03)
    assert [a.status for a in responses] == [ResponseStatus.FAILED]
    _, responses = submit(proxy, "upload", 0.5, proxy.clock.now() - 0.6)
    assert [a.status for a in responses] == [
        ResponseStatus.REJECTED
    ], "its deadline had passed before it was read"


def test_time_left_of_a_request_that_the_router_sees_late_excludes_the_delay():
    """The event loop is blocked between the reading of a request and the router's decision."""
    proxy = MongodbProxy()
    seen_events = []
    handle = proxy.engine.router.handle
    proxy.engine.router.handle = lambda now, events: handle(now, seen_events.extend(events) or events)
    pending, responses = submit(proxy, "upload", 0.5)
    proxy.task.advance(0.3)
    times_left = [event.time_left for event in seen_events if isinstance(event, api.RequestReceived)]
    assert times_left == [pytest.approx(pending.router_deadline - proxy.clock.now())]
    assert times_left[0] < 0.21
    _, responses = submit(proxy, "upload", 0.5)
    proxy.turn(0.51)
    assert [a.status for a in responses] == [ResponseStatus.REJECTED], "not sent after its deadline"
    assert len(proxy.endpoints.sent) == 1


def test_the_last_guard_does_not_wait_for_lag_that_has_ended():
    proxy = MongodbProxy()
    proxy.engine.dispatcher.handlers = {
        kind: lambda action: None for kind in proxy.engine.dispatcher.handlers
    }
    _, responses = submit(proxy, "upload", 0.3)
    proxy.turn(0.4)  # blocked: the deadline margin now far exceeds LAST_GUARD_AFTER
    assert proxy.engine.event_loop_lag.deadline_margin(proxy.clock.now()) > 5 * LAST_GUARD_AFTER
    assert not responses, "the router gets the first chance to answer"
    proxy.engine.event_loop_lag = EventLoopLag()  # no lag from here on
    proxy.turn(LAST_GUARD_AFTER)
    proxy.turn(TICK)
    assert [a.status for a in responses] == [ResponseStatus.REJECTED]
    assert proxy.engine.answered_by_last_guard == 1


def test_answers_are_due_earlier_by_the_deadline_margin():
    proxy = MongodbProxy()
    record_lag(proxy, 0.2)
    pending, responses = submit(proxy, "upload", 0.5)
    submitted_at = proxy.clock.now()
    assert pending.router_deadline == pytest.approx(pending.deadline - 0.2)
    while not responses:
        proxy.turn(0.01)
    assert proxy.clock.now() - submitted_at < 0.4


def test_a_request_with_less_time_than_the_margin_is_rejected_on_arrival_with_retry_after():
    proxy = MongodbProxy()
    record_lag(proxy, 0.3)
    _, responses = submit(proxy, "history-read", 0.25)
    assert [a.status for a in responses] == [ResponseStatus.REJECTED]
    assert responses[0].retry_after > 0
    assert not proxy.endpoints.sent
    assert proxy.engine.rejected_for_lag == 1


def test_lag_that_grows_later_brings_the_answer_forward():
    proxy = MongodbProxy()
    _, responses = submit(proxy, "history-read", 0.5)
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1
    proxy.turn(0.1)
    record_lag(proxy, 0.4)  # exceeds the time left; the router's deadline is still the later one
    proxy.turn(0.011)
    proxy.turn(0.011)
    assert [a.status for a in responses] == [ResponseStatus.REJECTED], "a read may be retried"
    assert proxy.engine.answered_early == 1
    assert not proxy.engine.router.requests
    proxy.endpoints.sent[0].answer()
    proxy.turn()
    assert len(responses) == 1


def test_an_expired_request_is_answered_before_a_new_request_is_read():
    proxy = MongodbProxy()
    _, responses = submit(proxy, "upload", 0.1)
    proxy.turn()
    proxy.task.rightNow += 0.2  # the loop has run no timers since
    proxy.engine.before_reading()
    proxy.turn()
    assert [a.status for a in responses] == [ResponseStatus.FAILED]


def test_in_a_long_turn_under_lag_answers_are_given_before_the_deadline():
    proxy = MongodbProxy()
    _, responses = submit(proxy, "upload", 0.5)
    proxy.turn()
    record_lag(proxy, 0.1)  # then 0.04 s are left of the request, in the middle of a turn
    proxy.task.rightNow = 1000.0 + 0.5 - 0.04
    proxy.engine.before_reading()
    proxy.turn()
    assert [a.status for a in responses] == [ResponseStatus.FAILED]


# Nothing is sent after the final answer, nor long after its routing decision


class FakeConnections:
    """Connections that the test opens explicitly, and that record what was sent."""

    def __init__(self) -> None:
        self.opening: list = []
        self.sent: list = []
        self.queued = 0
        self.closed = 0

    def connector(self, ready, failed, lost):
        self.opening.append(ready)
        return lambda: None

    def start(self, payload, done):
        self.sent.append(payload)

    def unsent(self):
        return self.queued

    def close(self):
        self.closed += 1

    def usable(self):
        return True


def pool_and_connections(proxy: MongodbProxy) -> tuple[ConnectionPool, FakeConnections]:
    connections = FakeConnections()
    judge = lambda attempt, reply: AttemptOutcome(AttemptResult.OK, reply)  # noqa: E731
    return ConnectionPool(proxy.clock, connections.connector, judge, PoolLimits()), connections


def test_an_attempt_that_waits_for_its_connection_is_withdrawn_when_the_client_disconnects():
    proxy = MongodbProxy()
    pool, connections = pool_and_connections(proxy)
    proxy.endpoints.send = lambda endpoint, payload, on_end, by: pool.send(payload, on_end, by)
    pending, responses = submit(proxy, "history-read", 0.5)
    proxy.turn()
    assert len(connections.opening) == 1 and not connections.sent
    proxy.engine.client_disconnected(pending)
    proxy.turn()
    connections.opening[0](connections)
    proxy.turn()
    assert not connections.sent
    assert not proxy.engine.request_table.requests
    assert not any(e.in_flight for e in proxy.engine.router.endpoints.values())


def test_withdrawing_bytes_queued_behind_a_full_socket_closes_the_connection():
    proxy = MongodbProxy()
    pool, connections = pool_and_connections(proxy)
    attempt = pool.send("payload", lambda outcome: None)
    connections.opening[0](connections)
    connections.queued = 100
    assert attempt.withdraw() is False
    assert connections.closed == 1


def test_an_attempt_whose_connection_opens_after_send_by_ends_as_not_sent():
    proxy = MongodbProxy()
    pool, connections = pool_and_connections(proxy)
    outcomes: list = []
    pool.send("payload", outcomes.append, proxy.clock.now() + 0.05)
    proxy.task.advance(0.2)
    connections.opening[0](connections)
    assert [e.result for e in outcomes] == [AttemptResult.NOT_SENT]
    assert not connections.sent
    pool.send("again", outcomes.append, proxy.clock.now() + 0.05)
    assert connections.sent == ["again"], "the open connection carries the next attempt"


def test_the_router_gets_bounds_shortened_by_the_handover_limit():
    from sedgepitch.config.load import SettingsError, parse
    from tests.support.mongodb_harness import EXAMPLE

    classes = {c.name: c for c in parse(EXAMPLE, "example").module_settings().classes}
    assert classes["map-read"].max_staleness == pytest.approx(0.45)
    assert classes["upload"].deduplication_window == pytest.approx(0.95)
    with pytest.raises(SettingsError, match="handover_within"):
        parse(EXAMPLE + "\nlimits: {handover_within: 300 ms}\n", "example")
