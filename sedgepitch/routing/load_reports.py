"""Takes what an endpoint says of itself: its load, its position and its role."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.messages import LoadReport
from sedgepitch.routing.primary_discovery import role_reported
from sedgepitch.routing.records import POSITION_ROUNDING_S, Endpoint
from sedgepitch.routing.state import RouterState
from sedgepitch.routing.wait_queue import WaitQueue


@dataclass(slots=True, eq=False)
class LoadReports:
    """Brings reports into the records; what waits for a primary is placed once one is known."""

    state: RouterState
    wait_queue: WaitQueue

    def take(self, endpoint: Endpoint, report: LoadReport | None) -> None:
        """Take a report. It is as old as its position, and so is the role in it."""
        if report is None:
            return
        if report.load is not None:
            endpoint.reported_load = report.load
            endpoint.load_reported_at = self.state.now
        if report.position is None:
            return
        self.take_position(endpoint, report.position)
        if report.primary is not None:
            self.take_role(endpoint, report.primary, min(report.position, self.state.now))

    def take_position(self, endpoint: Endpoint, position: float) -> None:
        """Take a position. It only grows, and one ahead of the clock is not believed."""
        now = self.state.now
        if endpoint.position < position <= now + POSITION_ROUNDING_S:
            endpoint.position = position
            endpoint.replication_lag = now - position

    def take_role(self, endpoint: Endpoint, primary: bool, at: float) -> None:
        """Take an endpoint's word on its role as of `at`."""
        group = self.state.groups[endpoint.group_id]
        if role_reported(group, endpoint, primary, at):
            self.wait_queue.place_waiting(group)
