"""What a driver on the platform believes beside what crossed its sockets, from a log with the trace on.

`python -m benchmarks.beliefs LOG` reads the lines that SEDGEPITCH_TRACE=1 writes. For each member it
compares the attempts that the module counts as under way with the statements that were written and not yet
answered or ended, weighted by time, and tells how old positions were.
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
class Compared:
    """One member."""

    believed: int = 0
    busy: set[int] = field(default_factory=set)
    last: float = 0.0
    differs_since: float | None = None
    time: float = 0.0
    sums: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])  # believed, busy, difference
    longest: float = 0.0  # s that the two differed without a break
    ages: list[float] = field(default_factory=list)
    attempts: int = 0
    lost: int = 0

    def until(self, now: float) -> None:
        """Let time pass with what stands."""
        span = max(0.0, now - self.last) if self.last else 0.0
        difference = abs(self.believed - len(self.busy))
        self.time += span
        for index, value in enumerate((self.believed, len(self.busy), difference)):
            self.sums[index] += value * span
        self.last = max(self.last, now)

    def compare(self, now: float) -> None:
        """Note since when the two have differed."""
        if self.believed == len(self.busy):
            if self.differs_since is not None:
                self.longest = max(self.longest, now - self.differs_since)
            self.differs_since = None
        elif self.differs_since is None:
            self.differs_since = now


def read(lines: Iterable[str]) -> list[dict[str, Any]]:
    """The trace's lines; others, and those cut short, are left out."""
    found = []
    for line in lines:
        start = line.find('{"trace"')
        if start >= 0:
            try:
                found.append(json.loads(line[start:]))
            except ValueError:
                continue
    return sorted(found, key=lambda line: line["at"])


def compare(trace: list[dict[str, Any]]) -> dict[int, Compared]:
    """Follow both sides through the trace."""
    members: dict[int, Compared] = defaultdict(Compared)
    for line in trace:
        if "member" not in line:
            continue
        member, at, what = members[line["member"]], line["at"], line["what"]
        member.until(at)
        if what == "SendAttempt":
            member.believed += 1
            member.attempts += 1
        elif what == "AttemptFinished":
            member.believed -= 1
            member.lost += line["result"] != "ok"
            if line["report"] and line["report"]["position"] is not None:
                member.ages.append(line["now"] - line["report"]["position"])
        elif what == "written" and line["id"] != "probe":
            member.busy.add(line["connection"])
        elif what in ("answered", "ended"):
            member.busy.discard(line["connection"])
        member.compare(at)
    return dict(members)


def main() -> int:
    """Print a row for each member."""
    with open(sys.argv[1], encoding="utf-8", errors="replace") as file:
        members = compare(read(file))
    print("member      attempts  not ok  believed  on sockets  mean difference" "  longest s  position s")
    for number, member in sorted(members.items()):
        span = member.time or 1.0
        believed, busy, difference = (total / span for total in member.sums)
        age = median(member.ages) if member.ages else 0.0
        print(
            f"{number:<11} {member.attempts:>8}  {member.lost:>6}  {believed:>8.3f}  {busy:>10.3f}"
            f"  {difference:>15.4f}  {member.longest:>9.3f}  {age:>10.3f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
