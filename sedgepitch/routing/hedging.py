"""Hedged requests: a second attempt for a request whose first attempt is overdue."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.attempts import Attempts
from sedgepitch.routing.eligibility import Eligibility
from sedgepitch.routing.freshness import FreshnessRules
from sedgepitch.routing.messages import Idempotency
from sedgepitch.routing.records import Endpoint, RoutedRequest
from sedgepitch.routing.retries import Retries
from sedgepitch.routing.selection import Selection

HEDGE_LIMIT_SHARE = 0.4  # share of a limit open to hedged requests, so that they do not worsen an overload


@dataclass(slots=True, eq=False)
class Hedging:
    """Sends at most one hedged attempt for each request, within the retry budget."""

    selection: Selection
    eligibility: Eligibility
    freshness: FreshnessRules
    retries: Retries
    attempts: Attempts

    def hedge(self, request: RoutedRequest, overtaken_at: Endpoint | None = None) -> None:
        """Send a second attempt of an idempotent read to another endpoint.

        `overtaken_at` is an endpoint that has answered later requests but not this one. It gets the second
        attempt if no other endpoint is eligible, or if the request must go to the primary or is not
        idempotent by itself; the rules for attempts still apply.
        """
        if request.done or request.hedged or self.retries.budget < 1.0:
            return
        endpoint = None
        if request.request_class.idempotency is Idempotency.IDEMPOTENT and not request.primary_only:
            endpoint = self.selection.pick_replica(request, HEDGE_LIMIT_SHARE)
        if endpoint is None and overtaken_at is not None and self._may_repeat(request, overtaken_at):
            endpoint = overtaken_at
        if endpoint is None or endpoint.ejection_reason is not None:
            return
        if self.retries.may_attempt(request, endpoint):
            request.hedged = True
            self.retries.spend_budget()
            self.attempts.send(request, endpoint)

    def _may_repeat(self, request: RoutedRequest, endpoint: Endpoint) -> bool:
        if not self.eligibility.may_send(endpoint, request, HEDGE_LIMIT_SHARE):
            return False
        return endpoint is request.group.primary or self.freshness.fresh_enough(endpoint, request)
