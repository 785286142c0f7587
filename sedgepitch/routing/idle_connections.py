"""When idle connections to an endpoint are taken for lost, and closed before the next send.

A network may drop idle connections without a word: the next request on one goes unanswered though the
endpoint is well.
"""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.messages import CloseIdleConnections
from sedgepitch.routing.records import NEVER, Endpoint

IDLE_MIN_LATENCIES = 8.0  # typical latencies without a send from which on a connection counts as idle
LOSSES_IN_A_ROW = 2  # first sends after idleness that must go unanswered, with none answered between
LIMIT_GROWTH = 1.5  # growth of the idle limit each period, so that it is forgotten with time
NEVER_SENT_S = 1e9  # an idle time above this means that nothing was sent before


@dataclass(slots=True, eq=False)
class IdleConnections:
    """The idle time after which connections are taken for lost, in seconds; learnt, the same everywhere."""

    latencies: LatencyEstimates
    limit: float = NEVER
    losses: int = 0

    def close_before_send(self, endpoint: Endpoint) -> None:
        """Close the endpoint's idle connections where they have been unused beyond the limit."""
        if self.limit < endpoint.idle_before_send < NEVER:
            self.latencies.state.actions.append(CloseIdleConnections(endpoint.id))

    def explains_silence(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's silence may be a lost connection's, and count it.

        It may where the only attempt in flight was the first send after idleness.
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
        """An answer after idleness shows that idle connections are not lost."""
        if endpoint.idle_before_send > IDLE_MIN_LATENCIES * self.latencies.typical:
            self.losses = 0

    def end_period(self) -> None:
        """Let the limit be forgotten."""
        self.limit *= LIMIT_GROWTH
