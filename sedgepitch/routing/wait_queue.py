"""Wait queue: sends a request to the selected endpoint, or queues it while waiting can still help."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.attempts import Attempts
from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.records import Endpoint, ReplicaGroup, RoutedRequest
from sedgepitch.routing.retries import Retries
from sedgepitch.routing.selection import Selection
from sedgepitch.routing.state import RouterState


@dataclass(slots=True, eq=False)
class WaitQueue:
    """The requests that wait for an endpoint with headroom, for a position or for a primary."""

    state: RouterState
    latencies: LatencyEstimates
    selection: Selection
    retries: Retries
    attempts: Attempts

    def place(self, request: RoutedRequest) -> None:
        """Send the request now, queue it, or give its final answer if neither can help any more."""
        state = self.state
        needed = max(state.answer_margin, self.latencies.service_time[request.request_class.name] / 2)
        if request.deadline - state.now < needed:
            self.retries.answer(request)
            return
        endpoint = self._choose(request)
        if endpoint is not None and self.retries.may_attempt(request, endpoint):
            self.attempts.send(request, endpoint)
        elif self._wait_is_over(request):
            self.retries.answer(request)
        else:
            request.group.waiting.append(request)
            state.set_timer(min(request.wait_until - state.answer_margin, state.now + state.check_interval))

    def _wait_is_over(self, request: RoutedRequest) -> bool:
        if self.state.now + self.state.answer_margin >= request.wait_until:
            return True
        return self.retries.deduplication_window_over(request)

    def _choose(self, request: RoutedRequest) -> Endpoint | None:
        # If no healthy endpoint takes the request, it may go to an ejected one as its trial. Otherwise trials
        # would only be copies of requests that healthy endpoints serve, and a group would never recover once
        # most of its endpoints have been unreachable for a while.
        in_backoff = self.state.now < request.retry_at
        endpoint = None if in_backoff else self.selection.choose(request)
        request.needs_trial = endpoint is None and bool(request.group.ejected)
        if request.needs_trial and not in_backoff:
            endpoint = self.selection.choose(request)
        return endpoint

    def place_waiting(self, group: ReplicaGroup) -> None:
        """Place all waiting requests, those with the highest priority per unit of work first."""
        waiting = sorted(group.waiting, key=lambda request: -request.limit_share)
        group.waiting = []
        for request in waiting:
            if not request.done and not request.in_flight:
                self.place(request)
