"""Rule 4: no server that has just started is sent more than the stated multiple for the stated time."""

from __future__ import annotations

from collections import defaultdict, deque

from sedgepitch.audit.findings import Finding, RuleParameters
from sedgepitch.audit.record_index import RecordIndex
from sedgepitch.audit.records import Record


def check(index: RecordIndex, parameters: RuleParameters) -> Finding:
    """Check the rule on all arrivals at servers that were warming up."""
    finding = Finding(4, "no cold member pushed over")
    cores = {record["m"]: record["cores"] for record in index.by_kind["member"]}
    arrivals: dict[int, list[Record]] = defaultdict(list)
    for record in index.by_kind["recv"]:
        arrivals[record["m"]].append(record)
    for start in index.by_kind["start"]:
        server = start["m"]
        _check_start(finding, start, arrivals[server], cores, parameters)
    for record in index.by_kind["fell"]:
        finding.failed(f"member {record['m']} fell over at {record['t']:.3f}")
    return finding


def _check_start(
    finding: Finding,
    start: Record,
    arrivals: list[Record],
    cores: dict[int, int],
    parameters: RuleParameters,
) -> None:
    """Compare the work that arrived within `overload_time` with what the server could do in it."""
    server = start["m"]
    recent: deque[Record] = deque()
    work = 0.0  # s of one core, of the recent arrivals
    for record in arrivals:
        age = record["t"] - start["t"]
        if not 0 <= age < parameters.warm_within:
            continue
        recent.append(record)
        work += record["work"]
        while recent[0]["t"] < record["t"] - parameters.overload_time:
            work -= recent.popleft()["work"]
        capacity = cores[server] * _warmth(age, parameters) * parameters.overload_time
        if age < parameters.overload_time:
            continue
        ratio = work / capacity
        if ratio <= parameters.overload_factor:
            finding.passed()
        else:
            finding.failed(
                f"member {server}, {age:.2f} s after start, was sent {ratio:.1f} times its capacity"
            )


def _warmth(age: float, parameters: RuleParameters) -> float:
    """Return the share of its capacity that a server has so long after its start."""
    return parameters.start_capacity + (1.0 - parameters.start_capacity) * age / parameters.warm_within
