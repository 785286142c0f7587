"""Silence detection: finds endpoints that have stopped responding, and hedges their requests in flight."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.attempts import Attempts
from sedgepitch.routing.hedging import Hedging
from sedgepitch.routing.idle_connections import IdleConnections
from sedgepitch.routing.latency_estimates import LatencyEstimates
from sedgepitch.routing.outlier_detection import OutlierDetection
from sedgepitch.routing.records import EjectionReason, Endpoint
from sedgepitch.routing.response_deadlines import overdue_after, silence_deadline, unanswered_since
from sedgepitch.routing.state import RouterState


@dataclass(slots=True, eq=False)
class SilenceDetection:
    """Checks endpoints that are not ejected for missing responses."""

    state: RouterState
    latencies: LatencyEstimates
    outlier_detection: OutlierDetection
    idle_connections: IdleConnections
    attempts: Attempts
    hedging: Hedging

    def check(self, endpoint: Endpoint) -> None:
        """Hedge the requests at a silent endpoint, and eject it if another endpoint has responded meanwhile.

        If no endpoint responds, the cause is assumed to be on this instance's side. A lost idle connection is
        not the endpoint's fault either, so the endpoint is not ejected for one.
        """
        state = self.state
        self._hedge_overtaken(endpoint)
        deadline = silence_deadline(endpoint, self.latencies)
        if state.now < deadline:
            state.set_timer(deadline)
            return
        since = unanswered_since(endpoint)
        for attempt in list(endpoint.in_flight.values()):
            self.hedging.hedge(attempt.request)
        lost_connection = self.idle_connections.explains_silence(endpoint)
        if not lost_connection and state.last_answer_at > since:
            self.outlier_detection.eject(endpoint, EjectionReason.SILENT)
            return
        endpoint.silence_reset_at = state.now
        state.set_timer(silence_deadline(endpoint, self.latencies))

    def _hedge_overtaken(self, endpoint: Endpoint) -> None:
        # An overdue attempt that later ones have overtaken counts as lost and is no sign of silence.
        state = self.state
        after = overdue_after(endpoint, self.latencies)
        for key, attempt in list(endpoint.in_flight.items()):
            if state.now < attempt.sent_at + after:
                state.set_timer(attempt.sent_at + after)
                break
            if endpoint.answers >= attempt.overtaken_from:
                self.attempts.mark_lost(endpoint, key)
                self.hedging.hedge(attempt.request, endpoint)
