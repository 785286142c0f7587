"""Deadlines after which a missing response counts as silence of the endpoint or as overdue."""

from __future__ import annotations

from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.records import NEVER, Endpoint

SILENCE_ANSWERS = 8.0  # silence limit in typical latencies, divided by the number of unanswered attempts
SILENCE_ANSWERS_MIN = 2.0  # lower bound on it, which applies with many attempts in flight
OVERDUE_ANSWERS = 4.0  # mean latencies (typical ones if larger) after which an overtaken attempt is overdue


def unanswered_since(endpoint: Endpoint) -> float:
    """Return the time since which a response from the endpoint is missing, ignoring overtaken attempts."""
    overtaken = endpoint.overtaken
    attempts = endpoint.in_flight.items()
    oldest = next((attempt.sent_at for key, attempt in attempts if key not in overtaken), NEVER)
    return max(endpoint.last_answer_at, endpoint.silence_reset_at, oldest)


def silence_deadline(endpoint: Endpoint, latencies: LatencyEstimates) -> float:
    """Return the time at which the endpoint counts as silent: the more unanswered attempts, the sooner."""
    unanswered = max(1, len(endpoint.in_flight) - len(endpoint.overtaken))
    answers = max(SILENCE_ANSWERS_MIN, SILENCE_ANSWERS / unanswered)
    return unanswered_since(endpoint) + answers * latencies.typical


def overdue_after(endpoint: Endpoint, latencies: LatencyEstimates) -> float:
    """Return the time in seconds after which an attempt that later ones have overtaken is overdue."""
    mean = endpoint.latency_ratio * latencies.state.latency_objective
    return OVERDUE_ANSWERS * max(latencies.typical, mean)
