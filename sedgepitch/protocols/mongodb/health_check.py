"""One health check: an endpoint's answer, held back while the primary is asked as well."""

from __future__ import annotations

from sedgepitch.core.types import AttemptCallback, AttemptOutcome


class HealthCheck:
    """Calls `on_end` once, when both answers are there. An unanswered question counts as answered."""

    __slots__ = ("_on_end", "_outcome", "awaits_primary")

    def __init__(self, on_end: AttemptCallback) -> None:
        """Begin with both answers missing; set `awaits_primary` where the primary is asked as well."""
        self._on_end = on_end
        self._outcome: AttemptOutcome | None = None
        self.awaits_primary = False

    def answered(self, outcome: AttemptOutcome) -> None:
        """The endpoint's answer, or that there was none."""
        self._outcome = outcome
        self._end_if_complete()

    def primary_observed(self) -> None:
        """The primary has been asked, with whatever success."""
        self.awaits_primary = False
        self._end_if_complete()

    def _end_if_complete(self) -> None:
        if self._outcome is None or self.awaits_primary:
            return
        outcome, self._outcome = self._outcome, None
        self._on_end(outcome)
