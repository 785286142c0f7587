"""Intake of client requests, from a protocol through admission control to the router, and disconnects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.core import reasons
from sedgepitch.core.request_table import PendingRequest, SentAttempt
from sedgepitch.core.types import (
    NEVER,
    AttemptOutcome,
    ClientRequest,
    Response,
    ResponseCallback,
    ResponseStatus,
)
from sedgepitch.decisions.admission.messages import AdmissionRequest, Admit, Decision
from sedgepitch.decisions.event_loop_lag import MIN_RETRY_AFTER
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import PRIMARY_ONLY, AttemptResult, Freshness, RequestClass

if TYPE_CHECKING:
    from sedgepitch.core.engine import Engine

MIN_TIME_LEFT = 0.02  # s beyond a deadline margin above 0; a request with less is rejected on arrival


class Intake:
    """Opens a pending request for each client request, or rejects the request at once."""

    __slots__ = ("engine",)

    def __init__(self, engine: Engine) -> None:
        """Take in requests for `engine`."""
        self.engine = engine

    def submit(
        self, request: ClientRequest, on_response: ResponseCallback, arrived_at: float | None
    ) -> PendingRequest:
        """Pass a request to admission control, or straight to the router if there is none."""
        pending = self._open(request, on_response, arrived_at)
        if not pending.open:
            return pending
        engine = self.engine
        request_class = engine.classes.get(request.class_name)
        if engine.admission is None or request_class is None:
            self._pass_to_router(pending)
            return pending
        pending.admitted = False
        now = engine.clock.now()
        self.carry_out(engine.admission.arrive(self._admission_request(pending, request_class, now), now))
        return pending

    def submit_sticky(
        self,
        endpoint: int,
        request: ClientRequest,
        on_response: ResponseCallback,
        arrived_at: float | None,
    ) -> PendingRequest:
        """Send a request to the one endpoint that can serve it, in one attempt, bypassing the router."""
        engine = self.engine
        pending = self._open(request, on_response, arrived_at)
        if not pending.open:
            return pending
        pending.sticky = True

        def on_end(outcome: AttemptOutcome) -> None:
            engine.request_table.remove_attempt(pending, 0)
            if not pending.open:
                return
            ok = outcome.result is AttemptResult.OK
            status = ResponseStatus.SERVED if ok else ResponseStatus.FAILED
            reply = outcome.reply if ok else None
            engine.completion.respond(pending, Response(status, reply, endpoint, why=outcome.why))

        pending.attempt_count = 1
        pending.attempted_endpoints.append(endpoint)
        now = engine.clock.now()
        in_flight = engine.callbacks.call(
            "send", engine.upstream.send, endpoint, request.payload, on_end, NEVER
        )
        if in_flight is None:
            response = Response(ResponseStatus.FAILED, why=reasons.UPSTREAM_SEND_RAISED)
            engine.completion.respond(pending, response)
        else:
            pending.attempts[0] = SentAttempt(endpoint, now, in_flight)
        return pending

    def client_disconnected(self, pending: PendingRequest) -> None:
        """Cancel a request whose client has disconnected, and notify the router and admission control."""
        engine = self.engine
        if not engine.request_table.cancel(pending):
            return
        engine.completion.withdraw_attempts(pending)
        if pending.admitted:
            engine.dispatcher.feed(api.ClientDisconnected(pending.id))
        if engine.admission is not None:
            # `served` means "not rejected" here: no allowance is reduced, and the idempotency key is not
            # recorded as that of a rejected request. The time in flight so far counts as a latency.
            self.carry_out(engine.admission.ended(pending.id, engine.clock.now(), served=True))

    def carry_out(self, decisions: list[Decision]) -> None:
        """Execute decisions of the admission controller: pass each request to the router, or reject it."""
        engine = self.engine
        for decision in decisions:
            pending = engine.request_table.requests.get(decision.id)
            if pending is None or not pending.open:
                continue
            if isinstance(decision, Admit):
                pending.admitted = True
                self._pass_to_router(pending)
                continue
            retry_after = decision.retry_after
            response = Response(
                ResponseStatus.REJECTED,
                retry_after=retry_after,
                why=reasons.ADMISSION.format(why=decision.why),
                reserved=retry_after > 0,
            )
            engine.completion.respond(pending, response)

    def _pass_to_router(self, pending: PendingRequest) -> None:
        """Queue a request for the router in this turn."""
        if self.engine.attempt_observer is not None:
            self.engine.attempt_observer.request_received()
        self.engine.dispatcher.feed(pending)

    def _open(
        self, request: ClientRequest, on_response: ResponseCallback, arrived_at: float | None
    ) -> PendingRequest:
        """Add a request to the table and track its deadline, unless it has to be rejected on arrival.

        Its time left counts from the arrival of its bytes; the router's deadline is earlier by the deadline
        margin.
        """
        engine = self.engine
        now = engine.clock.now()
        arrived = now if arrived_at is None else min(now, arrived_at)
        pending = engine.request_table.open(request, on_response, now, arrived)
        margin = engine.event_loop_lag.deadline_margin(now)
        pending.router_deadline = pending.deadline - margin
        rejection = self._rejection_on_arrival(pending, margin, now)
        if rejection is None:
            engine.deadlines.add(pending, now)
        else:
            engine.completion.respond(pending, rejection)
        return pending

    def _rejection_on_arrival(self, pending: PendingRequest, margin: float, now: float) -> Response | None:
        """Return the rejection of a request that cannot be accepted, or None if it can be.

        The grounds are a shutdown, limits of this process and too little time left.
        """
        engine = self.engine
        count = engine.request_table.pending
        why, retry_after = "", 0.0
        if engine.stopping:
            why = reasons.STOPPING
        elif count > engine.max_in_flight:
            why = reasons.TOO_MANY_IN_FLIGHT
        elif pending.deadline <= now:
            why = reasons.NO_TIME_LEFT
        elif engine.admission is None and count > engine.process_limit.limit:
            engine.rejected_for_load += 1
            why = reasons.PROCESS_OVERLOADED.format(pending=count - 1)
            retry_after = margin + MIN_RETRY_AFTER
        elif pending.router_deadline <= now + MIN_TIME_LEFT and margin > 0.0:
            engine.rejected_for_lag += 1
            why = reasons.EVENT_LOOP_LAG.format(lag=margin)
            retry_after = engine.event_loop_lag.seconds_until_margin_below(pending.request.time_left, now)
        else:
            return None
        return Response(ResponseStatus.REJECTED, retry_after=retry_after, why=why)

    def _admission_request(
        self, pending: PendingRequest, request_class: RequestClass, now: float
    ) -> AdmissionRequest:
        """Return the admission request of a pending request.

        A write whose class has a late priority weight, and so keeps some value after its latency objective,
        may wait until its deadline: its objective is passed as 0.
        """
        request = pending.request
        latency_objective = request_class.latency_objective - (now - pending.arrived_at)
        if request_class.late_priority_weight > 0 and request_class.freshness is Freshness.WRITE:
            latency_objective = 0.0
        return AdmissionRequest(
            pending.id,
            request.tenant,
            request.client,
            request.class_name,
            request_class.priority_weight,
            pending.router_deadline - now,
            request.group,
            request_class.freshness in PRIMARY_ONLY,
            request.reservation_token,
            request.idempotency_key,
            latency_objective,
        )
