"""The newest report on each endpoint, of all versions of the list that applied: the rule on drains."""

from __future__ import annotations

from dataclasses import dataclass, replace

from sedgepitch.decisions.discovery.list_versions import ListVersion
from sedgepitch.routing.messages import EndpointState

UP, GONE = EndpointState.UP, EndpointState.GONE


@dataclass(frozen=True)
class Report:
    """What a version that applied says of one endpoint."""

    revision: int
    state: EndpointState
    started_at: float


class NewestReports:
    """The newest report on each endpoint; of reports with one revision, the last that it departs counts."""

    def __init__(self) -> None:
        self.newest: dict[str, Report] = {}
        self.last: dict[str, Report] = {}

    def add(self, version: ListVersion) -> None:
        """Take all reports of a version that applied; its changes leave the other endpoints as they are."""
        for name, known in self.last.items():
            state = GONE if version.complete else known.state
            self.last[name] = replace(known, revision=version.revision, state=state)
        for each in version.entries:
            self.last[each.name] = Report(version.revision, each.state, each.started_at)
        for name, report in self.last.items():
            self._add(name, report)

    def _add(self, name: str, report: Report) -> None:
        known = self.newest.get(name)
        departs_at_the_same = (
            known is not None and known.revision == report.revision and report.state is not UP
        )
        if known is None or report.revision > known.revision or departs_at_the_same:
            self.newest[name] = report

    def departed(self) -> set[str]:
        """Return the endpoints whose newest report is a drain or a removal, unless they restarted since."""
        return {
            name
            for name, report in self.newest.items()
            if report.state is not UP and self.last[name].started_at <= report.started_at
        }
