"""One health check: an endpoint's reply, reported once the parallel query of the primary has ended too."""

from __future__ import annotations

from sedgepitch.core.types import AttemptCallback, AttemptOutcome


class HealthCheck:
    """Call `on_end` once, when both queries have ended. A query that times out counts as ended."""

    __slots__ = ("_on_end", "_outcome", "awaits_primary")

    def __init__(self, on_end: AttemptCallback) -> None:
        """Start without results; the caller sets `awaits_primary` if it queries the primary as well."""
        self._on_end = on_end
        self._outcome: AttemptOutcome | None = None
        self.awaits_primary = False

    def answered(self, outcome: AttemptOutcome) -> None:
        """Store the outcome of the query of the endpoint, including a time-out."""
        self._outcome = outcome
        self._end_if_complete()

    def primary_observed(self) -> None:
        """Note that the query of the primary has ended, successfully or not."""
        self.awaits_primary = False
        self._end_if_complete()

    def _end_if_complete(self) -> None:
        if self._outcome is None or self.awaits_primary:
            return
        outcome, self._outcome = self._outcome, None
        self._on_end(outcome)
