"""Compares the router's in-flight counts with the statements pending on its sockets, from a trace in a log.

`python -m benchmarks.in_flight_check LOG` reads the lines that SEDGEPITCH_TRACE=1 writes. For each endpoint
it compares the attempts that the router counts as in flight with the statements written but not yet answered
or ended, weighted by time, and reports the median age of the replication positions.
"""

from __future__ import annotations

import json
import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Any


@dataclass
class EndpointComparison:
    """Both counts for one endpoint. Sums are counts multiplied by seconds."""

    router_count: int = 0  # current value, like busy_connections
    busy_connections: set[int] = field(default_factory=set)
    last_at: float = 0.0
    differs_since: float | None = None
    total_s: float = 0.0
    router_sum: float = 0.0
    busy_sum: float = 0.0
    difference_sum: float = 0.0
    longest_difference_s: float = 0.0
    position_ages_s: list[float] = field(default_factory=list)
    attempts: int = 0
    not_ok: int = 0

    def advance(self, now: float) -> None:
        """Add the time since the previous line, weighted with the counts before this one."""
        span_s = max(0.0, now - self.last_at) if self.last_at else 0.0
        busy = len(self.busy_connections)
        self.total_s += span_s
        self.router_sum += self.router_count * span_s
        self.busy_sum += busy * span_s
        self.difference_sum += abs(self.router_count - busy) * span_s
        self.last_at = max(self.last_at, now)

    def apply(self, line: dict[str, Any]) -> None:
        """Apply one line of the trace."""
        what = line["what"]
        if what == "SendAttempt":
            self.router_count += 1
            self.attempts += 1
        elif what == "AttemptFinished":
            self.router_count -= 1
            self.not_ok += line["result"] != "ok"
            if line["report"] and line["report"]["position"] is not None:
                self.position_ages_s.append(line["now"] - line["report"]["position"])
        elif what == "written" and line["id"] != "probe":
            self.busy_connections.add(line["connection"])
        elif what in ("answered", "ended"):
            self.busy_connections.discard(line["connection"])

    def compare(self, now: float) -> None:
        """Track how long the two counts have differed."""
        if self.router_count == len(self.busy_connections):
            if self.differs_since is not None:
                self.longest_difference_s = max(self.longest_difference_s, now - self.differs_since)
            self.differs_since = None
        elif self.differs_since is None:
            self.differs_since = now


def read_trace(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the trace lines sorted by time; skips other lines and truncated ones."""
    entries = []
    for line in lines:
        start = line.find('{"trace"')
        if start >= 0:
            try:
                entries.append(json.loads(line[start:]))
            except ValueError:
                continue
    return sorted(entries, key=lambda line: line["at"])


def compare(trace: list[dict[str, Any]]) -> dict[int, EndpointComparison]:
    """Compute the comparison of each endpoint from the trace."""
    endpoints: dict[int, EndpointComparison] = defaultdict(EndpointComparison)
    for line in trace:
        if "endpoint" not in line:
            continue
        endpoint = endpoints[line["endpoint"]]
        endpoint.advance(line["at"])
        endpoint.apply(line)
        endpoint.compare(line["at"])
    return dict(endpoints)


def main() -> int:
    """Print a row for each endpoint."""
    with open(sys.argv[1], encoding="utf-8", errors="replace") as file:
        endpoints = compare(read_trace(file))
    print("endpoint    attempts  not ok    router  on sockets  mean difference  longest s  position s")
    for number, endpoint in sorted(endpoints.items()):
        total_s = endpoint.total_s or 1.0
        age_s = median(endpoint.position_ages_s) if endpoint.position_ages_s else 0.0
        print(
            f"{number:<11} {endpoint.attempts:>8}  {endpoint.not_ok:>6}"
            f"  {endpoint.router_sum / total_s:>8.3f}  {endpoint.busy_sum / total_s:>10.3f}"
            f"  {endpoint.difference_sum / total_s:>15.4f}  {endpoint.longest_difference_s:>9.3f}"
            f"  {age_s:>10.3f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
