"""Records what an endpoint reports about itself: its load, its position and its role."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.messages import LoadReport
from sedgepitch.routing.primary_discovery import role_reported
from sedgepitch.routing.records import POSITION_ROUNDING_S, Endpoint
from sedgepitch.routing.state import RouterState
from sedgepitch.routing.wait_queue import WaitQueue


@dataclass(slots=True, eq=False)
class LoadReports:
    """Applies reports to the endpoint records; places the waiting requests once a primary is known."""

    state: RouterState
    wait_queue: WaitQueue

    def record(self, endpoint: Endpoint, report: LoadReport | None) -> None:
        """Record a report. Its role is valid as of its position."""
        if report is None:
            return
        if report.load is not None:
            endpoint.reported_load = report.load
            endpoint.load_reported_at = self.state.now
        if report.position is None:
            return
        self.record_position(endpoint, report.position)
        if report.primary is not None:
            self.record_role(endpoint, report.primary, min(report.position, self.state.now))

    def record_position(self, endpoint: Endpoint, position: float) -> None:
        """Record a position. A lower one than before or one ahead of the clock is ignored."""
        now = self.state.now
        if endpoint.position < position <= now + POSITION_ROUNDING_S:
            endpoint.position = position
            endpoint.replication_lag = now - position

    def record_role(self, endpoint: Endpoint, primary: bool, at: float) -> None:
        """Record the role that an endpoint reported as of `at`."""
        group = self.state.groups[endpoint.group_id]
        if role_reported(group, endpoint, primary, at):
            self.wait_queue.place_waiting(group)
