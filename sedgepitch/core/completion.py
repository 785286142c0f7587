"""Completion of requests, each with exactly one final answer, and of attempts, each with an outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.core import reasons
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.core.types import AttemptOutcome, Response, ResponseStatus
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult

if TYPE_CHECKING:
    from sedgepitch.core.engine import Engine


class Completion:
    """Completes the requests of one engine and reports the outcome of each attempt to the router."""

    __slots__ = ("engine",)

    def __init__(self, engine: Engine) -> None:
        """Handle the requests of `engine`."""
        self.engine = engine

    # Requests

    def respond(self, pending: PendingRequest, response: Response) -> None:
        """Send a request's final answer; the request table suppresses a second one."""
        engine = self.engine
        on_response = engine.request_table.complete(pending)
        if on_response is None:
            return
        engine.callbacks.call("answer", on_response, response)
        self.withdraw_attempts(pending)
        if engine.on_response:
            elapsed = engine.clock.now() - pending.arrived_at
            engine.callbacks.call("observe", engine.on_response, pending, response, elapsed)
        if engine.admission is not None:
            served = response.status is ResponseStatus.SERVED
            decisions = engine.admission.ended(
                pending.id, engine.clock.now(), served, pending.response_received_at
            )
            engine.intake.carry_out(decisions)

    def reject(self, action: api.Reject) -> None:
        """Execute the router's rejection; its Retry-After is a hint, admission control's is a reservation."""
        pending = self.engine.request_table.requests.get(action.request)
        if pending is None or not pending.open:
            return
        admission = self.engine.admission
        reserved_in = 0.0 if admission is None else admission.reserve(pending.id, self.engine.clock.now())
        response = Response(
            ResponseStatus.REJECTED,
            retry_after=reserved_in or action.retry_after,
            why=pending.last_error or reasons.NO_CAPACITY_IN_TIME,
            reserved=reserved_in > 0,
        )
        self.respond(pending, response)

    def fail(self, action: api.Fail) -> None:
        """Execute the router's decision that a request has failed."""
        pending = self.engine.request_table.requests.get(action.request)
        if pending is not None and pending.open:
            why = pending.last_error or reasons.NO_ANSWER_YET
            self.respond(pending, Response(ResponseStatus.FAILED, why=why))

    # Attempts

    def attempt_ended(self, pending: PendingRequest, attempt: int, outcome: AttemptOutcome) -> None:
        """Process the end of an attempt in flight; the first successful reply completes its request."""
        ended = pending.attempts[attempt]
        ok = outcome.result is AttemptResult.OK
        if not ok:
            why = outcome.why or outcome.result.value
            pending.last_error = reasons.ENDPOINT_ERROR.format(endpoint=ended.endpoint, why=why)
        wins = ok and pending.open
        self.engine.request_table.remove_attempt(pending, attempt)
        if wins:
            pending.response_received_at = outcome.received_at
            self.respond(pending, Response(ResponseStatus.SERVED, outcome.reply, ended.endpoint))
        self.report_attempt(pending, attempt, ended.endpoint, ended.sent_at, outcome)

    def cancel_attempt(self, action: api.CancelAttempt) -> None:
        """Execute the router's cancellation of an attempt."""
        pending = self.engine.request_table.requests.get(action.request)
        if pending is not None and action.attempt in pending.attempts:
            pending.attempts[action.attempt].in_flight.abandon()
            outcome = AttemptOutcome(AttemptResult.CANCELLED, why=reasons.CANCELLED)
            self.attempt_ended(pending, action.attempt, outcome)

    def expire_attempt(self, pending: PendingRequest, attempt: int, why: str) -> None:
        """End an attempt that has timed out; does nothing if it has already ended."""
        if attempt in pending.attempts:
            pending.attempts[attempt].in_flight.abandon()
            self.attempt_ended(pending, attempt, AttemptOutcome(AttemptResult.TIMEOUT, why=why))

    def withdraw_attempts(self, pending: PendingRequest) -> None:
        """Withdraw unsent attempts: nothing is sent for a request that has ended."""
        for attempt, sent in list(pending.attempts.items()):
            if sent.in_flight.withdraw():
                self.engine.request_table.remove_attempt(pending, attempt)
                outcome = AttemptOutcome(AttemptResult.NOT_SENT)
                self.report_attempt(pending, attempt, sent.endpoint, sent.sent_at, outcome)

    def report_attempt(
        self, pending: PendingRequest, attempt: int, endpoint: int, sent_at: float, outcome: AttemptOutcome
    ) -> None:
        """Report an attempt's outcome to the router and the observer.

        The latency is measured up to the arrival of the reply's bytes, if that is known: any later delay is
        this process's own.
        """
        engine = self.engine
        elapsed = max(0.0, (outcome.received_at or engine.clock.now()) - sent_at)
        if engine.attempt_observer is not None:
            request_class = engine.classes.get(pending.request.class_name)
            if request_class is not None:
                latency_ratio = elapsed / request_class.latency_objective
                engine.attempt_observer.attempt_ended(endpoint, outcome.result, latency_ratio)
        engine.dispatcher.feed(
            api.AttemptFinished(
                pending.id,
                attempt,
                endpoint,
                outcome.result,
                elapsed,
                not pending.open,
                outcome.primary,
                outcome.position,
                outcome.report,
            )
        )
