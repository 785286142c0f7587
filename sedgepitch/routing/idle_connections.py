"""Closes idle connections to an endpoint before the next send if the network has probably dropped them.

A network can drop idle connections silently. The next request on such a connection gets no response, although
the endpoint is healthy.
"""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.messages import CloseIdleConnections
from sedgepitch.routing.records import NEVER, Endpoint

IDLE_MIN_LATENCIES = 8.0  # idle time, in typical latencies, above which a connection counts as idle
LOSSES_IN_A_ROW = 2  # first sends after an idle time, all unanswered, that it takes to set the limit
LIMIT_GROWTH = 1.5  # factor by which the limit grows each period, so that it expires over time
NEVER_SENT_S = 1e9  # an idle time above this means that nothing has been sent before


@dataclass(slots=True, eq=False)
class IdleConnections:
    """Estimates the idle time in seconds after which connections are lost; one limit for all endpoints."""

    latencies: LatencyEstimates
    limit: float = NEVER
    losses: int = 0

    def close_before_send(self, endpoint: Endpoint) -> None:
        """Close the endpoint's idle connections if they have been unused for longer than the limit."""
        if self.limit < endpoint.idle_before_send < NEVER:
            self.latencies.state.actions.append(CloseIdleConnections(endpoint.id))

    def explains_silence(self, endpoint: Endpoint) -> bool:
        """Return whether a lost connection may explain the endpoint's silence, and count it if so.

        This is the case if the only attempt in flight was the first send after an idle time.
        """
        idle_from = IDLE_MIN_LATENCIES * self.latencies.typical
        idle = idle_from < endpoint.idle_before_send < min(self.limit, NEVER_SENT_S)
        if len(endpoint.in_flight) != 1 or not idle:
            return False
        self.losses += 1
        if self.losses >= LOSSES_IN_A_ROW:
            self.limit = endpoint.idle_before_send / 2.0
        return True

    def answered(self, endpoint: Endpoint) -> None:
        """Reset the count of losses if the attempt was served after an idle time."""
        if endpoint.idle_before_send > IDLE_MIN_LATENCIES * self.latencies.typical:
            self.losses = 0

    def end_period(self) -> None:
        """Raise the limit, so that it expires unless further losses confirm it."""
        self.limit *= LIMIT_GROWTH
