"""Sends attempts and tracks those in flight."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.freshness import FreshnessRules
from sedgepitch.routing.idle_connections import IdleConnections
from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.messages import AttemptFinished, SendAttempt
from sedgepitch.routing.outlier_detection import OutlierDetection
from sedgepitch.routing.records import AttemptKey, Endpoint, InFlightAttempt, RoutedRequest
from sedgepitch.routing.response_deadlines import overdue_after, silence_deadline
from sedgepitch.routing.state import RouterState

# Responses to later requests after which an unanswered attempt is considered lost rather than queued.
OVERTAKING_ANSWERS = 4


@dataclass(slots=True, eq=False)
class Attempts:
    """Starts and ends attempts. The caller has checked that the attempt is allowed."""

    state: RouterState
    freshness: FreshnessRules
    outlier_detection: OutlierDetection
    idle_connections: IdleConnections
    latencies: LatencyEstimates

    def send(self, request: RoutedRequest, endpoint: Endpoint) -> None:
        """Send the request to the endpoint. If it is ejected, the attempt is its half-open trial."""
        state, now = self.state, self.state.now
        number = len(request.attempts)
        key = (request.id, number)
        request.attempts.append(endpoint)
        request.in_flight[number] = now
        self.freshness.write_started(request)
        overtaken_from = endpoint.answers + len(endpoint.in_flight) + OVERTAKING_ANSWERS
        endpoint.in_flight[key] = InFlightAttempt(now, request, overtaken_from)
        endpoint.idle_before_send = now - endpoint.last_sent_at
        endpoint.last_sent_at = now
        state.endpoints_in_use[endpoint.id] = endpoint
        if endpoint.ejection_reason is not None:
            self.outlier_detection.trial_started(endpoint, key)
        else:
            overdue_at = now + overdue_after(endpoint, self.latencies)
            state.set_timer(min(silence_deadline(endpoint, self.latencies), overdue_at))
        self.idle_connections.close_before_send(endpoint)
        state.actions.append(SendAttempt(request.id, endpoint.id, 0.0))

    def remove_from_endpoint(self, endpoint: Endpoint, event: AttemptFinished) -> InFlightAttempt | None:
        """Remove a finished attempt from its endpoint; return None if it is unknown or was removed before."""
        key = (event.request, event.attempt)
        attempt = endpoint.in_flight.pop(key, None)
        if attempt is None:
            return None
        endpoint.overtaken.discard(key)
        self.freshness.write_finished(attempt.request, event)
        if not endpoint.in_flight:
            self.state.endpoints_in_use.pop(endpoint.id, None)
        return attempt

    def remove_from_request(self, request: RoutedRequest, number: int) -> None:
        """Remove a finished attempt from its request, once its result has been recorded."""
        del request.in_flight[number]

    def mark_lost(self, endpoint: Endpoint, key: AttemptKey) -> None:
        """Mark an attempt that later ones have overtaken as lost: no response to it is expected any more."""
        endpoint.overtaken.add(key)
