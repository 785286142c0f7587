"""Dispatch of events to the router, and of the router's actions to the upstream side."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from sedgepitch.core import reasons
from sedgepitch.core.request_table import PendingRequest, SentAttempt
from sedgepitch.core.types import NEVER, AttemptOutcome
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult, Freshness, Idempotency, SessionTracking

if TYPE_CHECKING:
    from sedgepitch.core.engine import Engine

CLIENT_CHECK_AFTER_S = 0.02  # from the reading of a request to an attempt that asks for its client
DECISION_MAY_AGE = (Freshness.BOUNDED, Freshness.FRESH)
"""Reads whose endpoint may cease to qualify: it exceeds the staleness bound, or loses the primary role."""


class Dispatcher:
    """Collects the events of one turn, lets the router decide on them together, and executes its actions."""

    __slots__ = ("_flush_due", "_flushing", "decided_at", "engine", "events", "handlers")

    def __init__(self, engine: Engine) -> None:
        """Dispatch for `engine`, whose `completion` must already be set."""
        self.engine = engine
        self.events: list[api.Event | PendingRequest] = []  # a pending request stands for its RequestReceived
        self.decided_at = 0.0  # time of the events behind the router's current decisions
        self._flush_due = False
        self._flushing = False
        completion = engine.completion
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.SendAttempt: self.send,
            api.Reject: completion.reject,
            api.Fail: completion.fail,
            api.CancelAttempt: completion.cancel_attempt,
            api.CheckHealth: self.check_health,
            api.CloseIdleConnections: self.close_idle,
            api.WatchEndpointList: self.watch_endpoint_list,
            api.SetTimer: self.set_timer,
            api.LogMessage: self.log,
        }

    # Events

    def feed(self, event: api.Event | PendingRequest) -> None:
        """Queue an event; the router receives all events of this turn together."""
        self.events.append(event)
        if not self._flush_due:
            self._flush_due = True
            self.engine.clock.soon(self.flush)

    def flush(self) -> None:
        """Let the router decide on the queued events, until none is left."""
        self._flush_due = False
        if self._flushing:
            return
        self._flushing = True
        engine = self.engine
        try:
            while self.events:
                events, self.events = self.events, []
                now = self.decided_at = engine.clock.now()
                router_events = [
                    self._received(e, now) if isinstance(e, PendingRequest) else e for e in events
                ]
                for action in engine.router.handle(now, router_events):
                    engine.callbacks.call("action", self.handlers[type(action)], action)
                if engine.admission is not None:
                    engine.intake.carry_out(engine.admission.router_decided(engine.clock.now()))
        finally:
            self._flushing = False
        engine.request_table.sweep()

    def _received(self, pending: PendingRequest, now: float) -> api.RequestReceived:
        """Return the event for a new request, with the time left and the session age as of `now`.

        Created when the router decides, not when the request is read: the turn may read a lot in between.
        """
        request = pending.request
        age = request.session_age + now - pending.read_at if request.session_age > 0 else 0.0
        time_left = pending.router_deadline - now
        return api.RequestReceived(
            pending.id, request.class_name, request.group, time_left, request.session, age
        )

    # Actions

    def send(self, action: api.SendAttempt) -> None:
        """Send an attempt; if its request has ended meanwhile, report the attempt as not sent."""
        engine = self.engine
        pending = engine.request_table.requests.get(action.request)
        if pending is None:
            return
        attempt = pending.attempt_count
        now = engine.clock.now()
        pending.attempt_count += 1
        self._cancel_if_client_left(pending, now)
        if not pending.open:
            outcome = AttemptOutcome(AttemptResult.NOT_SENT)
            engine.completion.report_attempt(pending, attempt, action.endpoint, now, outcome)
            return
        pending.attempted_endpoints.append(action.endpoint)
        if engine.admission is not None and not attempt:
            engine.intake.carry_out(engine.admission.sent(pending.id, now))
        self._hand_over(action, pending, attempt, now)

    def _cancel_if_client_left(self, pending: PendingRequest, now: float) -> None:
        """Cancel a request whose client has left, which shows late on a connection that is not being read.

        A request that was read just now needs no check, which costs a system call.
        """
        client_left = pending.request.client_left
        if not pending.open or client_left is None or now - pending.read_at < CLIENT_CHECK_AFTER_S:
            return
        if self.engine.callbacks.call("client_left", client_left):
            self.engine.client_disconnected(pending)

    def _hand_over(self, action: api.SendAttempt, pending: PendingRequest, attempt: int, now: float) -> None:
        engine = self.engine

        def on_end(outcome: AttemptOutcome) -> None:
            if attempt in pending.attempts:
                engine.completion.attempt_ended(pending, attempt, outcome)

        send_by = NEVER
        if self._decision_ages(pending, attempt):
            send_by = self.decided_at + engine.handover_limit
        in_flight = engine.callbacks.call(
            "send", engine.upstream.send, action.endpoint, pending.request.payload, on_end, send_by
        )
        if in_flight is None:  # it is unknown whether any bytes were sent
            outcome = AttemptOutcome(AttemptResult.RESET, why=reasons.UPSTREAM_SEND_RAISED)
            engine.completion.report_attempt(pending, attempt, action.endpoint, now, outcome)
            return
        pending.attempts[attempt] = SentAttempt(action.endpoint, now, in_flight)
        if engine.attempt_observer is not None:
            engine.attempt_observer.attempt_sent(action.endpoint)
        if action.timeout > 0 and now + action.timeout < pending.deadline:
            expire = engine.completion.expire_attempt
            engine.clock.call_later(action.timeout, expire, pending, attempt, reasons.ATTEMPT_TIMEOUT)

    def _decision_ages(self, pending: PendingRequest, attempt: int) -> bool:
        """Return whether the decision to send depends on something that expires.

        That is a staleness bound, the primary role, a deduplication window, or a session's last commit as the
        proxy tracks it, which another answer may advance.
        """
        engine = self.engine
        request_class = engine.classes.get(pending.request.class_name)
        if request_class is None:
            return False
        if attempt > 0 and request_class.idempotency is Idempotency.KEYED:
            return True
        freshness = request_class.freshness
        if freshness is Freshness.SESSION:
            return engine.router.settings.session_tracking is SessionTracking.BY_PROXY
        return freshness in DECISION_MAY_AGE

    def check_health(self, action: api.CheckHealth) -> None:
        """Run a health check, which returns a load report, and pass its result to the router."""
        engine = self.engine
        sent_at = engine.clock.now()

        def on_end(outcome: AttemptOutcome) -> None:
            elapsed = engine.clock.now() - sent_at
            self.feed(api.HealthCheckFinished(action.endpoint, outcome.result, elapsed, outcome.report))

        errors = engine.callbacks.errors
        engine.callbacks.call("probe", engine.upstream.check_health, action.endpoint, on_end)
        if engine.callbacks.errors != errors:
            on_end(AttemptOutcome(AttemptResult.RESET, why=reasons.UPSTREAM_HEALTH_CHECK_RAISED))

    def close_idle(self, action: api.CloseIdleConnections) -> None:
        """Close the idle connections to an endpoint."""
        self.engine.upstream.close_idle(action.endpoint)

    def watch_endpoint_list(self, _action: api.WatchEndpointList) -> None:
        """Subscribe to changes of the endpoint list at discovery; report a failure if there is none."""
        if self.engine.watch is None:
            self.feed(api.EndpointListFailed())
        else:
            self.engine.watch()

    def set_timer(self, action: api.SetTimer) -> None:
        """Start a timer of the router, which expires after `action.after` seconds."""
        event = api.TimerExpired(action.nonce)
        self.engine.clock.call_later(action.after, self._timer_due, event)

    def _timer_due(self, event: api.TimerExpired) -> None:
        """Queue an expired timer after the events of the next socket poll, so that input comes first."""
        self.engine.clock.soon(self.feed, event)

    def log(self, action: api.LogMessage) -> None:
        """Write the router's message to the log."""
        if self.engine.log:
            self.engine.log(action.text)
