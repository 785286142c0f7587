"""A callback that raises stops nothing; and the event loop's lag counts against each deadline."""

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


class Broken(Exception):
    pass


def state(proxy: MongodbProxy) -> dict:
    """What must be the same whether a callback raised or not."""
    router, request_table = proxy.engine.router, proxy.engine.request_table
    return {
        "requests": len(request_table.requests),
        "pending": request_table.pending,
        "completed": request_table.completed,
        "router_requests": len(router.requests),
        "in_flight_at_endpoints": sum(len(m.in_flight) for m in router.endpoints.values()),
        "probing": [m.id for m in router.endpoints.values() if m.health_check_pending],
        "events": len(proxy.engine.dispatcher.events),
    }


def play(boundary: str | None, admission: bool = False) -> tuple[dict, MongodbProxy, dict[int, list]]:
    """Twelve requests, every third of which meets the raising callback; endpoints answer all they get."""
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
    got: dict[int, list] = {}
    number = [0]

    def raises(where: str) -> bool:
        number[0] += 1
        return boundary == where and number[0] % 3 == 0

    true_send = proxy.endpoints.send

    def send(endpoint, payload, on_end, by):
        if raises("send"):
            raise Broken
        return true_send(endpoint, payload, on_end, by)

    def observe(pending, response, elapsed):
        if raises("observe"):
            raise Broken

    def check_health(endpoint, on_end):
        if boundary == "health check":
            raise Broken
        on_end(AttemptOutcome(AttemptResult.OK, report=api.LoadReport(proxy.clock.now(), False)))

    def log(text):
        raise Broken

    proxy.endpoints.send, proxy.endpoints.check_health = send, check_health
    proxy.engine.on_response = observe
    if boundary == "log":
        proxy.engine.log = log
        proxy.engine.callbacks.on_error = lambda where, error: log(where)
        proxy.engine.router.handle = _and_log(proxy.engine.router.handle)
    for n in range(12):
        got[n] = []

        def on_response(response, n=n):
            got[n].append(response)
            if boundary == "respond" and n % 3 == 0:
                raise Broken

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
    return state(proxy), proxy, got


def _and_log(handle):
    return lambda now, events: [api.LogMessage("a line"), *handle(now, events)]


@pytest.mark.parametrize("admission", [False, True])
@pytest.mark.parametrize("boundary", BOUNDARIES)
def test_what_raises_at_a_boundary_leaves_the_same_state_behind(boundary, admission):
    calm, _, _ = play(None, admission)
    after, proxy, got = play(boundary, admission)
    assert all(len(answers) == 1 for answers in got.values()), "each request has exactly one answer"
    assert after == calm
    assert calm["in_flight_at_endpoints"] == calm["requests"] == calm["router_requests"] == 0
    if boundary != "health check" or proxy.engine.callbacks.errors:
        assert proxy.engine.callbacks.errors > 0
    if admission:
        assert not proxy.engine.admission.requests
        assert all(not pool.in_flight for pool in proxy.engine.admission.pools.values())


def test_a_response_callback_that_raises_is_reported_once():
    told = []
    proxy = MongodbProxy()
    proxy.engine.callbacks.on_error = lambda where, error: told.append((where, type(error)))

    def on_response(response):
        raise Broken

    proxy.engine.submit(ClientRequest("upload", 0, 0.5, "payload"), on_response)
    proxy.turn()
    proxy.endpoints.sent[0].answer()
    proxy.turn()
    assert told == [("answer", Broken)]


# The event loop's lag


def ask(
    proxy: MongodbProxy, class_name: str = "map-read", time_left: float = 0.5, arrived: float | None = None
):
    got: list = []
    pending = proxy.engine.submit(ClientRequest(class_name, 0, time_left, "payload"), got.append, arrived)
    return pending, got


def make_late(proxy: MongodbProxy, by: float) -> None:
    """Two pauses, so that they count."""
    for _ in range(2):
        proxy.engine.event_loop_lag.record(by, proxy.clock.now())
        proxy.task.advance(0.3)


def test_time_counts_from_the_arrival_of_the_bytes():
    proxy = MongodbProxy()
    pending, got = ask(proxy, "upload", 0.5, proxy.clock.now() - 0.3)
    assert pending.deadline == pytest.approx(proxy.clock.now() + 0.2)
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1
    proxy.turn(0.21)
    proxy.turn(0.03)
    assert [a.status for a in got] == [ResponseStatus.FAILED]
    _, got = ask(proxy, "upload", 0.5, proxy.clock.now() - 0.6)
    assert [a.status for a in got] == [ResponseStatus.REJECTED], "its time was up before it was read"


def test_what_the_router_sees_late_has_no_more_time_than_its_client():
    """Between the reading of a request and the router's turn the event loop stands still."""
    proxy = MongodbProxy()
    told = []
    decide = proxy.engine.router.handle
    proxy.engine.router.handle = lambda now, events: decide(now, told.extend(events) or events)
    pending, got = ask(proxy, "upload", 0.5)
    proxy.task.advance(0.3)
    arrived = [event.time_left for event in told if isinstance(event, api.RequestReceived)]
    assert arrived == [pytest.approx(pending.router_deadline - proxy.clock.now())]
    assert arrived[0] < 0.21
    _, got = ask(proxy, "upload", 0.5)
    proxy.turn(0.51)
    assert [a.status for a in got] == [ResponseStatus.REJECTED], "not sent when its time is over"
    assert len(proxy.endpoints.sent) == 1


def test_the_last_guard_does_not_wait_for_lag_that_is_over():
    proxy = MongodbProxy()
    proxy.engine.dispatcher.handlers = {
        kind: lambda action: None for kind in proxy.engine.dispatcher.handlers
    }
    _, got = ask(proxy, "upload", 0.3)
    proxy.turn(0.4)  # stands still: reserve is now far above what the last guard waits
    assert proxy.engine.event_loop_lag.deadline_margin(proxy.clock.now()) > 5 * LAST_GUARD_AFTER
    assert not got, "the router is asked first"
    proxy.engine.event_loop_lag = EventLoopLag()  # and is on time from here on
    proxy.turn(LAST_GUARD_AFTER)
    proxy.turn(TICK)
    assert [a.status for a in got] == [ResponseStatus.REJECTED]
    assert proxy.engine.answered_by_last_guard == 1


def test_answers_are_decided_earlier_by_the_deadline_margin():
    proxy = MongodbProxy()
    make_late(proxy, 0.2)
    pending, got = ask(proxy, "upload", 0.5)
    asked = proxy.clock.now()
    assert pending.router_deadline == pytest.approx(pending.deadline - 0.2)
    while not got:
        proxy.turn(0.01)
    assert proxy.clock.now() - asked < 0.4


def test_a_request_with_less_time_than_the_margin_is_rejected_on_arrival_with_retry_after():
    proxy = MongodbProxy()
    make_late(proxy, 0.3)
    _, got = ask(proxy, "history-read", 0.25)
    assert [a.status for a in got] == [ResponseStatus.REJECTED]
    assert got[0].retry_after > 0
    assert not proxy.endpoints.sent
    assert proxy.engine.rejected_for_lag == 1


def test_lag_that_grows_later_brings_the_answer_forward():
    proxy = MongodbProxy()
    _, got = ask(proxy, "history-read", 0.5)
    proxy.turn()
    assert len(proxy.endpoints.sent) == 1
    proxy.turn(0.1)
    make_late(proxy, 0.4)  # with less than that left, the router still counting on the whole time
    proxy.turn(0.011)
    proxy.turn(0.011)
    assert [a.status for a in got] == [ResponseStatus.REJECTED], "a read may be retried"
    assert proxy.engine.answered_early == 1
    assert not proxy.engine.router.requests
    proxy.endpoints.sent[0].answer()
    proxy.turn()
    assert len(got) == 1


def test_whose_time_is_up_is_answered_before_a_new_request_is_read():
    proxy = MongodbProxy()
    _, got = ask(proxy, "upload", 0.1)
    proxy.turn()
    proxy.task.rightNow += 0.2  # the loop has not looked at its timers since
    proxy.engine.before_reading()
    proxy.turn()
    assert [a.status for a in got] == [ResponseStatus.FAILED]


def test_in_a_long_turn_under_lag_answers_do_not_wait_for_the_last_moment():
    proxy = MongodbProxy()
    _, got = ask(proxy, "upload", 0.5)
    proxy.turn()
    make_late(proxy, 0.1)  # and now asked long enough ago that 0.04 s are left, in the middle of a turn
    proxy.task.rightNow = 1000.0 + 0.5 - 0.04
    proxy.engine.before_reading()
    proxy.turn()
    assert [a.status for a in got] == [ResponseStatus.FAILED]


# Nothing is sent after the answer, and nothing long after its decision


class PlayedConnections:
    """Connections that open when the test says, and keep what was sent."""

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


def pool_and_connections(proxy: MongodbProxy) -> tuple[ConnectionPool, PlayedConnections]:
    played = PlayedConnections()
    judge = lambda attempt, reply: AttemptOutcome(AttemptResult.OK, reply)  # noqa: E731
    return ConnectionPool(proxy.clock, played.connector, judge, PoolLimits()), played


def test_an_attempt_that_waits_for_its_connection_is_withdrawn_on_the_answer():
    proxy = MongodbProxy()
    pool, played = pool_and_connections(proxy)
    proxy.endpoints.send = lambda endpoint, payload, on_end, by: pool.send(payload, on_end, by)
    pending, got = ask(proxy, "history-read", 0.5)
    proxy.turn()
    assert len(played.opening) == 1 and not played.sent
    proxy.engine.client_disconnected(pending)
    proxy.turn()
    played.opening[0](played)
    proxy.turn()
    assert not played.sent
    assert not proxy.engine.request_table.requests
    assert not any(m.in_flight for m in proxy.engine.router.endpoints.values())


def test_bytes_that_wait_behind_a_full_socket_end_with_their_connection():
    proxy = MongodbProxy()
    pool, played = pool_and_connections(proxy)
    attempt = pool.send("payload", lambda end: None)
    played.opening[0](played)
    played.queued = 100
    assert attempt.withdraw() is False
    assert played.closed == 1


def test_a_decision_that_ages_ends_as_not_sent_when_its_connection_came_too_late():
    proxy = MongodbProxy()
    pool, played = pool_and_connections(proxy)
    ends: list = []
    pool.send("payload", ends.append, proxy.clock.now() + 0.05)
    proxy.task.advance(0.2)
    played.opening[0](played)
    assert [e.result for e in ends] == [AttemptResult.NOT_SENT]
    assert not played.sent
    pool.send("again", ends.append, proxy.clock.now() + 0.05)
    assert played.sent == ["again"], "the connection is there now, and serves the decision made anew"


def test_the_router_gets_bounds_shortened_by_the_handover_limit():
    from sedgepitch.config.load import SettingsError, parse
    from tests.support.mongodb_harness import EXAMPLE

    told = {c.name: c for c in parse(EXAMPLE, "example").module_settings().classes}
    assert told["map-read"].max_staleness == pytest.approx(0.45)
    assert told["upload"].deduplication_window == pytest.approx(0.95)
    with pytest.raises(SettingsError, match="handover_within"):
        parse(EXAMPLE + "\nlimits: {handover_within: 300 ms}\n", "example")
