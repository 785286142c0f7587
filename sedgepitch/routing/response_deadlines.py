"""After what time a missing answer is remarkable."""

from __future__ import annotations

from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.records import NEVER, Endpoint

SILENCE_ANSWERS = 8.0  # answers that an endpoint should have given meanwhile, judged by the typical latency
SILENCE_ANSWERS_MIN = 2.0  # the same for one with many attempts in flight
OVERDUE_ANSWERS = 4.0  # times the mean latency after which an attempt that others overtook is taken for lost


def silent_since(endpoint: Endpoint) -> float:
    """Return since when the endpoint owes an answer, attempts that were overtaken left out."""
    overtaken = endpoint.overtaken
    attempts = endpoint.in_flight.items()
    oldest = next((attempt.sent_at for key, attempt in attempts if key not in overtaken), NEVER)
    return max(endpoint.last_answer_at, endpoint.silence_excused_at, oldest)


def silence_deadline(endpoint: Endpoint, latencies: LatencyEstimates) -> float:
    """Return the time from which on the endpoint's silence is remarkable: sooner, the more it owes."""
    owed = max(1, len(endpoint.in_flight) - len(endpoint.overtaken))
    return silent_since(endpoint) + max(SILENCE_ANSWERS_MIN, SILENCE_ANSWERS / owed) * latencies.typical


def overdue_after(endpoint: Endpoint, latencies: LatencyEstimates) -> float:
    """Return the seconds after its send from which on an attempt that others overtook is overdue."""
    mean = endpoint.latency_ratio * latencies.state.latency_objective
    return OVERDUE_ANSWERS * max(latencies.typical, mean)
