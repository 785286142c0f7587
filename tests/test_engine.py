"""The engine gives each request exactly one final answer, for any order of events."""

from __future__ import annotations

from dataclasses import replace

from sedgepitch.core.types import ClientRequest, ResponseStatus
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult
from tests.support.mongodb_harness import MongodbProxy


def submit(proxy, class_name="upload", time_left=1.0):
    responses = []
    pending = proxy.engine.submit(ClientRequest(class_name, 0, time_left, "payload"), responses.append)
    proxy.turn()
    return pending, responses


def test_answer_in_the_same_turn_as_the_deadline_is_given_once():
    proxy = MongodbProxy()
    _, responses = submit(proxy)
    proxy.task.advance(1.0)  # the deadline passes and the answer arrives in the same turn
    proxy.endpoints.sent[0].answer()
    proxy.turn(0.1)
    assert len(responses) == 1
    proxy = MongodbProxy()
    _, responses = submit(proxy)
    proxy.clock.call_later(1.0 - 1e-9, proxy.endpoints.sent[0].answer)
    proxy.turn(1.0)
    assert [a.status for a in responses] == [ResponseStatus.SERVED]
    assert proxy.engine.request_table.duplicate_responses == proxy.engine.answered_by_last_guard == 0


def test_only_one_response_of_a_hedged_read_reaches_the_client():
    proxy = MongodbProxy()
    for endpoint in (2, 3):
        report = api.LoadReport(proxy.clock.now(), False)
        proxy.engine.feed(api.HealthCheckFinished(endpoint, AttemptResult.OK, 0.001, report))
    _, responses = submit(proxy, "map-read")
    while len(proxy.endpoints.sent) < 2 and proxy.clock.now() < 1000.95:
        proxy.turn(0.01)
    assert len(proxy.endpoints.sent) == 2, "the slow read was not hedged"
    for sent in list(proxy.endpoints.sent):
        sent.answer()
        proxy.turn()
    assert [a.status for a in responses] == [ResponseStatus.SERVED]
    assert not proxy.engine.request_table.requests


def test_non_idempotent_write_without_an_answer_fails_and_is_not_retried():
    proxy = MongodbProxy()
    _, responses = submit(proxy, "note")
    assert [s.endpoint for s in proxy.endpoints.sent] == [1]
    proxy.turn(1.0)
    proxy.turn(0.05)
    assert [a.status for a in responses] == [ResponseStatus.FAILED]
    assert len(proxy.endpoints.sent) == 1
    assert proxy.endpoints.sent[0].abandoned


def test_write_that_never_ran_is_rejected_before_its_deadline():
    proxy = MongodbProxy()
    _, responses = submit(proxy, "note", 0.5)
    while not responses and proxy.clock.now() < 1000.6:
        for sent in proxy.endpoints.sent:
            if not sent.abandoned:
                sent.abandoned = True
                sent.answer(result=AttemptResult.NOT_ELIGIBLE, primary=False)
        proxy.turn(0.01)
    assert [a.status for a in responses] == [ResponseStatus.REJECTED]
    assert proxy.clock.now() <= 1000.51


def test_disconnected_client_gets_no_response_and_the_end_of_its_attempt_is_still_reported():
    proxy = MongodbProxy()
    pending, responses = submit(proxy)
    proxy.engine.client_disconnected(pending)
    proxy.turn()
    proxy.endpoints.sent[0].answer()
    proxy.turn()
    assert not responses
    assert not proxy.engine.request_table.requests
    assert not proxy.engine.router.endpoints[1].in_flight


def test_client_that_disconnects_in_the_turn_of_its_request_leaves_no_state_behind():
    proxy = MongodbProxy()
    responses = []
    pending = proxy.engine.submit(ClientRequest("upload", 0, 1.0, "payload"), responses.append)
    proxy.engine.client_disconnected(pending)
    proxy.turn()
    assert not responses
    assert not proxy.endpoints.sent
    assert not proxy.engine.request_table.requests
    assert not any(e.in_flight for e in proxy.engine.router.endpoints.values())


def test_last_guard_answers_if_the_router_does_not():
    proxy = MongodbProxy()
    proxy.engine.dispatcher.handlers = {
        kind: lambda action: None for kind in proxy.engine.dispatcher.handlers
    }
    _, responses = submit(proxy)
    proxy.turn(1.0)
    proxy.turn(0.1)
    assert [a.status for a in responses] == [ResponseStatus.REJECTED]
    assert proxy.engine.answered_by_last_guard == 1


def test_requests_beyond_max_in_flight_are_rejected_at_once():
    proxy = MongodbProxy()
    proxy.engine.max_in_flight = 3
    answers = [submit(proxy)[1] for _ in range(5)]
    assert [len(a) for a in answers] == [0, 0, 0, 1, 1]
    assert answers[4][0].status is ResponseStatus.REJECTED


def test_events_of_one_turn_are_handled_together_with_a_timer_that_expires_in_it():
    proxy = MongodbProxy()
    _, responses = submit(proxy)
    event_types = []
    handle = proxy.engine.router.handle

    def recording_handle(now, events):
        event_types.append([type(event).__name__ for event in events])
        return handle(now, events)

    proxy.engine.router.handle = recording_handle
    proxy.engine.feed(api.TimerExpired(1))
    proxy.endpoints.sent[0].answer()
    proxy.turn()
    assert event_types[0] == ["TimerExpired", "AttemptFinished"]
    assert responses[0].status is ResponseStatus.SERVED


def test_only_session_reads_tracked_by_the_proxy_have_a_handover_limit():
    for tracking, bound in ((api.SessionTracking.BY_PROXY, True), (api.SessionTracking.BY_CLIENT, False)):
        proxy = MongodbProxy()
        proxy.engine.router.settings = replace(proxy.engine.router.settings, session_tracking=tracking)
        send_by = []
        send = proxy.endpoints.send
        proxy.endpoints.send = lambda endpoint, payload, on_end, by, send=send, recorded=send_by: (
            recorded.append(by) or send(endpoint, payload, on_end, by)
        )
        submit(
            proxy, next(c.name for c in proxy.engine.classes.values() if c.freshness is api.Freshness.SESSION)
        )
        assert [by < float("inf") for by in send_by] == [bound]
