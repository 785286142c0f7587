"""The engine's one final answer, whatever comes in whatever order."""

from __future__ import annotations

from dataclasses import replace

from sedgepitch.core.types import ClientRequest, ResponseStatus
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult
from tests.support.mongodb_harness import Front


def ask(front, class_name="upload", time_left=1.0):
    got = []
    pending = front.engine.submit(ClientRequest(class_name, 0, time_left, "payload"), got.append)
    front.turn()
    return pending, got


def test_answer_in_the_same_turn_as_the_deadline_is_given_once():
    front = Front()
    _, got = ask(front)
    front.task.advance(1.0)  # the time is up in this turn, and the answer comes in it, too
    front.endpoints.sent[0].answer()
    front.turn(0.1)
    assert len(got) == 1
    front = Front()
    _, got = ask(front)
    front.clock.call_later(1.0 - 1e-9, front.endpoints.sent[0].answer)
    front.turn(1.0)
    assert [a.status for a in got] == [ResponseStatus.SERVED]
    assert front.engine.request_table.duplicate_responses == front.engine.answered_by_last_guard == 0


def test_both_attempts_of_a_hedged_read_answer_and_one_reaches_the_client():
    front = Front()
    for endpoint in (2, 3):
        report = api.LoadReport(front.clock.now(), False)
        front.engine.feed(api.HealthCheckFinished(endpoint, AttemptResult.OK, 0.001, report))
    _, got = ask(front, "map-read")
    while len(front.endpoints.sent) < 2 and front.clock.now() < 1000.95:
        front.turn(0.01)
    assert len(front.endpoints.sent) == 2, "the slow read was not hedged"
    for sent in list(front.endpoints.sent):
        sent.answer()
        front.turn()
    assert [a.status for a in got] == [ResponseStatus.SERVED]
    assert not front.engine.request_table.requests


def test_non_idempotent_write_without_an_answer_fails_and_is_not_retried():
    front = Front()
    _, got = ask(front, "note")
    assert [s.endpoint for s in front.endpoints.sent] == [1]
    front.turn(1.0)
    front.turn(0.05)
    assert [a.status for a in got] == [ResponseStatus.FAILED]
    assert len(front.endpoints.sent) == 1
    assert front.endpoints.sent[0].abandoned


def test_write_that_never_ran_is_rejected_in_time():
    front = Front()
    _, got = ask(front, "note", 0.5)
    while not got and front.clock.now() < 1000.6:
        for sent in front.endpoints.sent:
            if not sent.abandoned:
                sent.abandoned = True
                sent.answer(result=AttemptResult.NOT_ELIGIBLE, primary=False)
        front.turn(0.01)
    assert [a.status for a in got] == [ResponseStatus.REJECTED]
    assert front.clock.now() <= 1000.51


def test_disconnected_client_gets_nothing_and_the_end_of_its_attempt_is_still_reported():
    front = Front()
    pending, got = ask(front)
    front.engine.client_disconnected(pending)
    front.turn()
    front.endpoints.sent[0].answer()
    front.turn()
    assert not got
    assert not front.engine.request_table.requests
    assert not front.engine.router.endpoints[1].in_flight


def test_client_that_disconnects_in_the_turn_of_its_request_leaves_no_trace():
    front = Front()
    got = []
    pending = front.engine.submit(ClientRequest("upload", 0, 1.0, "payload"), got.append)
    front.engine.client_disconnected(pending)
    front.turn()
    assert not got
    assert not front.endpoints.sent
    assert not front.engine.request_table.requests
    assert not any(m.in_flight for m in front.engine.router.endpoints.values())


def test_last_guard_answers_where_the_router_does_not():
    front = Front()
    front.engine.dispatcher.handlers = {
        kind: lambda action: None for kind in front.engine.dispatcher.handlers
    }
    _, got = ask(front)
    front.turn(1.0)
    front.turn(0.1)
    assert [a.status for a in got] == [ResponseStatus.REJECTED]
    assert front.engine.answered_by_last_guard == 1


def test_more_in_flight_than_the_bound_are_rejected_at_once():
    front = Front()
    front.engine.max_in_flight = 3
    answers = [ask(front)[1] for _ in range(5)]
    assert [len(a) for a in answers] == [0, 0, 0, 1, 1]
    assert answers[4][0].status is ResponseStatus.REJECTED


def test_events_of_one_turn_are_read_before_a_timer_that_came_due_with_them():
    front = Front()
    _, got = ask(front)
    seen = []
    handle = front.engine.router.handle

    def watched(now, events):
        seen.append([type(event).__name__ for event in events])
        return handle(now, events)

    front.engine.router.handle = watched
    front.engine.feed(api.TimerExpired(1))
    front.endpoints.sent[0].answer()
    front.turn()
    assert seen[0] == ["TimerExpired", "AttemptFinished"]
    assert got[0].status is ResponseStatus.SERVED


def test_a_session_read_tracked_by_the_proxy_leaves_at_once_or_is_decided_anew():
    for tracking, bound in ((api.SessionTracking.BY_PROXY, True), (api.SessionTracking.BY_CLIENT, False)):
        front = Front()
        front.engine.router.settings = replace(front.engine.router.settings, session_tracking=tracking)
        send_by = []
        send = front.endpoints.send
        front.endpoints.send = lambda m, p, e, by, send=send, kept=send_by: kept.append(by) or send(
            m, p, e, by
        )
        ask(
            front, next(c.name for c in front.engine.classes.values() if c.freshness is api.Freshness.SESSION)
        )
        assert [by < float("inf") for by in send_by] == [bound]
