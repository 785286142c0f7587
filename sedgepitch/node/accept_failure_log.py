"""Counts failed accepts and logs at most one line per interval."""

from __future__ import annotations

import math
from collections.abc import Callable

from sedgepitch.core.types import Clock
from sedgepitch.net.listener import AcceptProblem

LOG_INTERVAL_S = 0.2


class AcceptFailureLog:
    """Counts and logs failed accepts and accepted connections whose setup failed at first."""

    def __init__(self, clock: Clock, log_event: Callable[..., None]) -> None:
        self._clock = clock
        self._log_event = log_event
        self._logged_at = -math.inf
        self.count = 0  # since the process started

    def report(self, problem: AcceptProblem) -> None:
        """Count a problem, and log it unless one was logged within LOG_INTERVAL_S."""
        self.count += 1
        now = self._clock.now()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        self._log_event("accept.failed", **problem.log_fields(), failures=self.count)
