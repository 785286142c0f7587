"""What raises at a boundary of the engine stops nothing; and the driver's own delay is counted."""

from __future__ import annotations

import pytest

from sedgepitch.core.connection_pool import ConnectionPool, PoolLimits
from sedgepitch.core.deadlines import LAST_GUARD_AFTER, TICK
from sedgepitch.core.types import AttemptOutcome, ClientRequest, ResponseStatus
from sedgepitch.decisions.event_loop_lag import EventLoopLag
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult
from tests.support.mongodb_harness import Front

BOUNDARIES = ("settle", "send", "probe", "observe", "log")


class Broken(Exception):
    pass


def state(front: Front) -> dict:
    """What must be the same whether a callback raised or not."""
    router, request_table = front.engine.router, front.engine.request_table
    return {
        "accounts": len(request_table.requests),
        "owed": request_table.pending,
        "settled": request_table.completed,
        "module_requests": len(router.requests),
        "out_at_members": sum(len(m.out) for m in router.endpoints.values()),
        "probing": [m.id for m in router.endpoints.values() if m.probing],
        "events": len(front.engine.dispatcher.events),
    }


def day(boundary: str | None, admission: bool = False) -> tuple[dict, Front, dict[int, list]]:
    """Twelve requests, every third of which meets the raising callback; members answer all they get."""
    front = Front()
    if admission:
        from sedgepitch.decisions.admission.controller import AdmissionController
        from sedgepitch.decisions.admission.settings import AdmissionSettings

        front.engine.admission = AdmissionController(AdmissionSettings(), 1, front.clock.now())
    for endpoint in (2, 3):
        front.engine.feed(
            api.HealthCheckFinished(
                endpoint, AttemptResult.OK, 0.001, api.LoadReport(front.clock.now(), False)
            )
        )
    got: dict[int, list] = {}
    number = [0]

    def raises(where: str) -> bool:
        number[0] += 1
        return boundary == where and number[0] % 3 == 0

    true_send = front.endpoints.send

    def send(endpoint, payload, on_end, by):
        if raises("send"):
            raise Broken
        return true_send(endpoint, payload, on_end, by)

    def observe(account, answer, elapsed):
        if raises("observe"):
            raise Broken

    def check_health(endpoint, on_end):
        if boundary == "probe":
            raise Broken
        on_end(AttemptOutcome(AttemptResult.OK, report=api.LoadReport(front.clock.now(), False)))

    def log(text):
        raise Broken

    front.endpoints.send, front.endpoints.check_health = send, check_health
    front.engine.on_response = observe
    if boundary == "log":
        front.engine.log = log
        front.engine.callbacks.on_error = lambda where, error: log(where)
        front.engine.router.handle = _and_log(front.engine.router.handle)
    for n in range(12):
        got[n] = []

        def answered(answer, n=n):
            got[n].append(answer)
            if boundary == "settle" and n % 3 == 0:
                raise Broken

        class_name = ("upload", "map-read", "history-read")[n % 3]
        front.engine.submit(ClientRequest(class_name, 0, 0.5, f"payload {n}"), answered)
    for _ in range(6):
        front.turn()
        for sent in front.endpoints.sent:
            if not sent.abandoned:
                sent.abandoned = True
                sent.answer()
    front.turn(0.6)
    front.turn(0.1)
    return state(front), front, got


def _and_log(handle):
    return lambda now, events: [api.LogMessage("a line"), *handle(now, events)]


@pytest.mark.parametrize("admission", [False, True])
@pytest.mark.parametrize("boundary", BOUNDARIES)
def test_what_raises_at_a_boundary_leaves_the_same_state_behind(boundary, admission):
    calm, _, _ = day(None, admission)
    after, front, got = day(boundary, admission)
    assert all(len(answers) == 1 for answers in got.values()), "each request has exactly one answer"
    assert after == calm
    assert calm["out_at_members"] == calm["accounts"] == calm["module_requests"] == 0
    if boundary != "probe" or front.engine.callbacks.errors:
        assert front.engine.callbacks.errors > 0
    if admission:
        assert not front.engine.admission.requests
        assert all(not pool.in_flight for pool in front.engine.admission.pools.values())


def test_a_raising_answer_is_told_in_one_call():
    told = []
    front = Front()
    front.engine.callbacks.on_error = lambda where, error: told.append((where, type(error)))

    def answered(answer):
        raise Broken

    front.engine.submit(ClientRequest("upload", 0, 0.5, "payload"), answered)
    front.turn()
    front.endpoints.sent[0].answer()
    front.turn()
    assert told == [("answer", Broken)]


# The driver's own delay


def ask(front: Front, class_name: str = "map-read", time_left: float = 0.5, arrived: float | None = None):
    got: list = []
    account = front.engine.submit(ClientRequest(class_name, 0, time_left, "payload"), got.append, arrived)
    return account, got


def make_late(front: Front, by: float) -> None:
    """Two pauses, so that they count."""
    for _ in range(2):
        front.engine.event_loop_lag.record(by, front.clock.now())
        front.task.advance(0.3)


def test_time_counts_from_the_arrival_of_the_bytes():
    front = Front()
    account, got = ask(front, "upload", 0.5, front.clock.now() - 0.3)
    assert account.deadline == pytest.approx(front.clock.now() + 0.2)
    front.turn()
    assert len(front.endpoints.sent) == 1
    front.turn(0.21)
    front.turn(0.03)
    assert [a.status for a in got] == [ResponseStatus.FAILED]
    _, got = ask(front, "upload", 0.5, front.clock.now() - 0.6)
    assert [a.status for a in got] == [ResponseStatus.REJECTED], "its time was up before it was read"


def test_what_the_module_sees_late_has_no_more_time_than_its_client():
    """Between the reading of a request and the module's turn this driver stands still."""
    front = Front()
    told = []
    decide = front.engine.router.handle
    front.engine.router.handle = lambda now, events: decide(now, told.extend(events) or events)
    account, got = ask(front, "upload", 0.5)
    front.task.advance(0.3)
    arrived = [event.time_left for event in told if isinstance(event, api.RequestReceived)]
    assert arrived == [pytest.approx(account.router_deadline - front.clock.now())]
    assert arrived[0] < 0.21
    _, got = ask(front, "upload", 0.5)
    front.turn(0.51)
    assert [a.status for a in got] == [ResponseStatus.REJECTED], "not sent when its time is over"
    assert len(front.endpoints.sent) == 1


def test_the_last_guard_does_not_wait_for_a_delay_that_is_over():
    front = Front()
    front.engine.dispatcher.handlers = {
        kind: lambda action: None for kind in front.engine.dispatcher.handlers
    }
    _, got = ask(front, "upload", 0.3)
    front.turn(0.4)  # stands still: reserve is now far above what the last guard waits
    assert front.engine.event_loop_lag.deadline_margin(front.clock.now()) > 5 * LAST_GUARD_AFTER
    assert not got, "the module is asked first"
    front.engine.event_loop_lag = EventLoopLag()  # and is on time from here on
    front.turn(LAST_GUARD_AFTER)
    front.turn(TICK)
    assert [a.status for a in got] == [ResponseStatus.REJECTED]
    assert front.engine.answered_by_last_guard == 1


def test_answers_are_decided_earlier_by_the_drivers_own_delay():
    front = Front()
    make_late(front, 0.2)
    account, got = ask(front, "upload", 0.5)
    asked = front.clock.now()
    assert account.router_deadline == pytest.approx(account.deadline - 0.2)
    while not got:
        front.turn(0.01)
    assert front.clock.now() - asked < 0.4


def test_what_the_driver_is_too_late_for_is_refused_on_arrival_with_a_time():
    front = Front()
    make_late(front, 0.3)
    _, got = ask(front, "history-read", 0.25)
    assert [a.status for a in got] == [ResponseStatus.REJECTED]
    assert got[0].retry_after > 0
    assert not front.endpoints.sent
    assert front.engine.rejected_for_lag == 1


def test_a_delay_that_grows_later_brings_the_answer_forward():
    front = Front()
    _, got = ask(front, "history-read", 0.5)
    front.turn()
    assert len(front.endpoints.sent) == 1
    front.turn(0.1)
    make_late(front, 0.4)  # with less than that left, the module still counting on the whole time
    front.turn(0.011)
    front.turn(0.011)
    assert [a.status for a in got] == [ResponseStatus.REJECTED], "a read may be tried again"
    assert front.engine.answered_early == 1
    assert not front.engine.router.requests
    front.endpoints.sent[0].answer()
    front.turn()
    assert len(got) == 1


def test_whose_time_is_up_is_answered_before_a_new_request_is_read():
    front = Front()
    _, got = ask(front, "upload", 0.1)
    front.turn()
    front.task.rightNow += 0.2  # the loop has not looked at its timers since
    front.engine.before_reading()
    front.turn()
    assert [a.status for a in got] == [ResponseStatus.FAILED]


def test_in_a_late_drivers_long_turn_answers_do_not_wait_for_the_last_moment():
    front = Front()
    _, got = ask(front, "upload", 0.5)
    front.turn()
    make_late(front, 0.1)  # and now asked long enough ago that 0.04 s are left, in the middle of a turn
    front.task.rightNow = 1000.0 + 0.5 - 0.04
    front.engine.before_reading()
    front.turn()
    assert [a.status for a in got] == [ResponseStatus.FAILED]


# Nothing is sent after the answer, and nothing long after its decision


class Wires:
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


def pool_and_wires(front: Front) -> tuple[ConnectionPool, Wires]:
    wires = Wires()
    judge = lambda exchange, reply: AttemptOutcome(AttemptResult.OK, reply)  # noqa: E731
    return ConnectionPool(front.clock, wires.connector, judge, PoolLimits()), wires


def test_an_exchange_that_waits_for_its_connection_is_taken_back_on_the_answer():
    front = Front()
    pool, wires = pool_and_wires(front)
    front.endpoints.send = lambda endpoint, payload, on_end, by: pool.send(payload, on_end, by)
    account, got = ask(front, "history-read", 0.5)
    front.turn()
    assert len(wires.opening) == 1 and not wires.sent
    front.engine.client_disconnected(account)
    front.turn()
    wires.opening[0](wires)
    front.turn()
    assert not wires.sent
    assert not front.engine.request_table.requests
    assert not any(m.out for m in front.engine.router.endpoints.values())


def test_bytes_that_wait_behind_a_full_socket_end_with_their_connection():
    front = Front()
    pool, wires = pool_and_wires(front)
    exchange = pool.send("payload", lambda end: None)
    wires.opening[0](wires)
    wires.queued = 100
    assert exchange.withdraw() is False
    assert wires.closed == 1


def test_a_decision_that_ages_is_given_back_when_its_connection_came_too_late():
    front = Front()
    pool, wires = pool_and_wires(front)
    ends: list = []
    pool.send("payload", ends.append, front.clock.now() + 0.05)
    front.task.advance(0.2)
    wires.opening[0](wires)
    assert [e.result for e in ends] == [AttemptResult.NOT_SENT]
    assert not wires.sent
    pool.send("again", ends.append, front.clock.now() + 0.05)
    assert wires.sent == ["again"], "the connection is there now, and serves the decision made anew"


def test_bounds_are_told_shorter_by_the_time_that_a_decision_may_take_to_leave():
    from sedgepitch.config.load import SettingsError, parse
    from tests.support.mongodb_harness import EXAMPLE

    told = {c.name: c for c in parse(EXAMPLE, "example").module_settings().classes}
    assert told["map-read"].max_staleness == pytest.approx(0.45)
    assert told["upload"].deduplication_window == pytest.approx(0.95)
    with pytest.raises(SettingsError, match="handover_within"):
        parse(EXAMPLE + "\nlimits: {handover_within: 300 ms}\n", "example")
