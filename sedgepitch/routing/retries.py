"""Whether an attempt may be made, whether a failed one is followed by a retry, and the final answer."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.messages import DeduplicationScope, Fail, Idempotency, Reject
from sedgepitch.routing.records import Endpoint, RoutedRequest
from sedgepitch.routing.slow_start import SlowStart
from sedgepitch.routing.state import RouterState

BUDGET_PER_REQUEST = 0.15  # retries and hedged requests that each request earns
BUDGET_MAX = 5.0
AGREEING_ERRORS = 2  # endpoints whose errors show that the request itself is bad
RETRY_AFTER_MIN, RETRY_AFTER_RANGE = 0.5, 1.0  # Retry-After over the deadline: that load has passed by then


@dataclass(slots=True, eq=False)
class Retries:
    """The rules for attempts, the budget of retries and hedged requests, and final answers."""

    state: RouterState
    slow_start: SlowStart
    budget: float = 1.0
    """Retries and hedged requests that may be made now; it caps them when everything fails at once."""

    def request_received(self) -> None:
        """A request earns its part of the budget."""
        self.budget = min(BUDGET_MAX, self.budget + BUDGET_PER_REQUEST)

    def spend_budget(self) -> bool:
        """Take one retry or hedged request from the budget; returns whether it was there."""
        if self.budget < 1.0:
            return False
        self.budget -= 1.0
        return True

    def may_attempt(self, request: RoutedRequest, endpoint: Endpoint) -> bool:
        """Return whether an attempt at this endpoint breaks no rule; every send asks here.

        A request that may have run is sent again only where that is idempotent: by itself, or by its
        idempotency key within the deduplication window and where the endpoint drops repeats of it.
        """
        settings, now = self.state.settings, self.state.now
        if request.done or len(request.attempts) >= settings.max_attempts or now >= request.deadline:
            return False
        if request.in_flight and not settings.hedging:
            return False
        if not self.slow_start.accepts(endpoint, request):
            return False
        if request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if not request.may_have_run and not request.in_flight:
            return True
        return self._key_holds(request, endpoint)

    def _key_holds(self, request: RoutedRequest, endpoint: Endpoint) -> bool:
        # Whether the endpoint drops a repeat of what may have run.
        request_class = request.request_class
        if request_class.idempotency is Idempotency.NONE or self.deduplication_window_over(request):
            return False
        if request_class.deduplication_scope is DeduplicationScope.ALL:
            return True
        tried = [other for other, _ in request.may_have_run]
        tried += [request.attempts[attempt] for attempt in request.in_flight]
        return all(other.group_id == endpoint.group_id for other in tried)

    def deduplication_window_over(self, request: RoutedRequest) -> bool:
        """Return whether endpoints may have forgotten the key of an attempt that may have run."""
        if request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return False
        sent = [sent_at for _, sent_at in request.may_have_run]
        sent += request.in_flight.values()
        window = request.request_class.deduplication_window - self.state.settings.tick
        return bool(sent) and self.state.now - min(sent) > window

    def overloaded(self, request: RoutedRequest) -> None:
        """An endpoint rejected the request unseen: back off from the second time on, longer each time."""
        request.overload_rejections += 1
        backoff = self.state.check_interval * (2.0**request.overload_rejections - 2.0)
        request.retry_at = self.state.now + backoff

    def should_retry(self, request: RoutedRequest) -> bool:
        """Return whether a failed attempt is followed by another; one that may have run costs budget."""
        if self.state.now >= request.useful_until:
            return False
        if len(request.attempts) >= self.state.settings.max_attempts:
            return False
        if len(request.errors) >= AGREEING_ERRORS:
            return False
        if not request.may_have_run:
            return True
        if request.request_class.idempotency is Idempotency.NONE:
            return False
        return self.spend_budget()

    def answer(self, request: RoutedRequest) -> None:
        """Give the one final answer: Reject only where the client's own retry is harmless, else Fail."""
        state, request_class = self.state, request.request_class
        may_have_run = bool(request.may_have_run or request.in_flight)
        if may_have_run and not self._client_may_retry(request):
            state.actions.append(Fail(request.id))
        else:
            spread = RETRY_AFTER_MIN + RETRY_AFTER_RANGE * state.random.random()
            retry_after = min(state.settings.max_retry_after, request_class.deadline * spread)
            state.actions.append(Reject(request.id, retry_after if state.settings.retry_after else 0.0))
        self.close(request)

    def _client_may_retry(self, request: RoutedRequest) -> bool:
        # Its retry may reach any group, so its key must hold in all of them.
        request_class = request.request_class
        if request_class.idempotency is Idempotency.KEYED:
            return request_class.deduplication_scope is DeduplicationScope.ALL
        return request_class.idempotency is Idempotency.IDEMPOTENT

    def close(self, request: RoutedRequest) -> None:
        """Nothing more is owed or sent for this request."""
        request.done = True
        self.state.requests.pop(request.id, None)
