"""Retries: whether an attempt is allowed, whether a failed one is retried, and the final answer."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.messages import DeduplicationScope, Fail, Idempotency, Reject
from sedgepitch.routing.records import Endpoint, RoutedRequest
from sedgepitch.routing.slow_start import SlowStart
from sedgepitch.routing.state import RouterState

BUDGET_PER_REQUEST = 0.15  # retries and hedged requests that each request adds to the budget
BUDGET_MAX = 5.0
AGREEING_ERRORS = 2  # number of error responses after which the request itself counts as faulty
# Retry-After is the class's deadline times a factor drawn from this range: by then the load has passed.
RETRY_AFTER_MIN, RETRY_AFTER_RANGE = 0.5, 1.0


@dataclass(slots=True, eq=False)
class Retries:
    """Enforces the rules for attempts, keeps the retry budget, and gives final answers."""

    state: RouterState
    slow_start: SlowStart
    budget: float = 1.0
    """Retries and hedged requests allowed now. The budget caps them when many requests fail at once."""

    def request_received(self) -> None:
        """Add the share of a new request to the budget."""
        self.budget = min(BUDGET_MAX, self.budget + BUDGET_PER_REQUEST)

    def spend_budget(self) -> bool:
        """Take one retry or hedged request from the budget; return False if the budget is used up."""
        if self.budget < 1.0:
            return False
        self.budget -= 1.0
        return True

    def may_attempt(self, request: RoutedRequest, endpoint: Endpoint) -> bool:
        """Return whether the rules allow an attempt at this endpoint; every send is checked here.

        A request that may have been executed is sent again only if that is safe: it is idempotent itself, or
        it has an idempotency key, the deduplication window is still open and the endpoint drops repeats of
        the key.
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
        return self._drops_repeats(request, endpoint)

    def _drops_repeats(self, request: RoutedRequest, endpoint: Endpoint) -> bool:
        # Whether the endpoint drops a repeat of an attempt that may have been executed.
        request_class = request.request_class
        if request_class.idempotency is Idempotency.NONE or self.deduplication_window_over(request):
            return False
        if request_class.deduplication_scope is DeduplicationScope.ALL:
            return True
        tried = [other for other, _ in request.may_have_run]
        tried += [request.attempts[attempt] for attempt in request.in_flight]
        return all(other.group_id == endpoint.group_id for other in tried)

    def deduplication_window_over(self, request: RoutedRequest) -> bool:
        """Return whether the key of an attempt that may have been executed may have expired at endpoints."""
        if request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return False
        sent = [sent_at for _, sent_at in request.may_have_run]
        sent += request.in_flight.values()
        window = request.request_class.deduplication_window - self.state.settings.tick
        return bool(sent) and self.state.now - min(sent) > window

    def overloaded(self, request: RoutedRequest) -> None:
        """Count an overload rejection; back off exponentially from the second one on."""
        request.overload_rejections += 1
        backoff = self.state.check_interval * (2.0**request.overload_rejections - 2.0)
        request.retry_at = self.state.now + backoff

    def should_retry(self, request: RoutedRequest) -> bool:
        """Return whether to retry after a failed attempt; if it may have been executed, use the budget."""
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
        """Give the final answer: Reject if a retry by the client is harmless, otherwise Fail."""
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
        # The client's retry may reach any replica group, so all of them must drop repeats of the key.
        request_class = request.request_class
        if request_class.idempotency is Idempotency.KEYED:
            return request_class.deduplication_scope is DeduplicationScope.ALL
        return request_class.idempotency is Idempotency.IDEMPOTENT

    def close(self, request: RoutedRequest) -> None:
        """Close the request: no further attempt or answer follows."""
        request.done = True
        self.state.requests.pop(request.id, None)
