"""Sends a request to the endpoint that is chosen for it, or lets it wait while that can still help."""

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
        """Send the request now, have it wait, or answer it where neither can help any more."""
        state = self.state
        needed = max(state.answer_margin, self.latencies.service_time[request.request_class.name] / 2)
        if request.deadline - state.now < needed:
            self.retries.answer(request)
            return
        endpoint = self._choose(request)
        if endpoint is not None and self.retries.may_attempt(request, endpoint):
            self.attempts.send(request, endpoint)
        elif self._waited_long_enough(request):
            self.retries.answer(request)
        else:
            request.group.waiting.append(request)
            state.set_timer(min(request.wait_until - state.answer_margin, state.now + state.check_interval))

    def _waited_long_enough(self, request: RoutedRequest) -> bool:
        if self.state.now + self.state.answer_margin >= request.wait_until:
            return True
        return self.retries.deduplication_window_over(request)

    def _choose(self, request: RoutedRequest) -> Endpoint | None:
        # What no healthy endpoint takes is the trial of an ejected one: else a group most of whose endpoints
        # were unreachable for a while is never used again, as trials are copies of what the others serve.
        backs_off = self.state.now < request.retry_at
        endpoint = None if backs_off else self.selection.choose(request)
        request.needs_trial = endpoint is None and bool(request.group.ejected)
        if request.needs_trial and not backs_off:
            endpoint = self.selection.choose(request)
        return endpoint

    def place_waiting(self, group: ReplicaGroup) -> None:
        """Place all that wait, the highest priority for its work first."""
        waiting = sorted(group.waiting, key=lambda request: -request.limit_share)
        group.waiting = []
        for request in waiting:
            if not request.done and not request.in_flight:
                self.place(request)
