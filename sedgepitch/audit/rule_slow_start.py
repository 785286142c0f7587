"""Rule 4: a server that has just started never gets more than `overload_factor` times its capacity.

Work and capacity are compared over windows of `overload_time`.
"""

from __future__ import annotations

from collections import defaultdict, deque

from sedgepitch.audit.findings import Finding, RuleParameters
from sedgepitch.audit.record_index import RecordIndex
from sedgepitch.audit.records import Record


def check(index: RecordIndex, parameters: RuleParameters) -> Finding:
    """Check all arrivals at servers that are warming up."""
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
    """Compare the work that arrived in each window of `overload_time` with the server's capacity in it."""
    server = start["m"]
    recent: deque[Record] = deque()
    work = 0.0  # core seconds, sum over the recent arrivals
    for record in arrivals:
        age = record["t"] - start["t"]
        if not 0 <= age < parameters.warm_within:
            continue
        recent.append(record)
        work += record["work"]
        while recent[0]["t"] < record["t"] - parameters.overload_time:
            work -= recent.popleft()["work"]
        capacity = cores[server] * _capacity_share(age, parameters) * parameters.overload_time
        if age < parameters.overload_time:
            continue
        ratio = work / capacity
        if ratio <= parameters.overload_factor:
            finding.passed()
        else:
            finding.failed(
                f"member {server}, {age:.2f} s after start, was sent {ratio:.1f} times its capacity"
            )


def _capacity_share(age: float, parameters: RuleParameters) -> float:
    """Return the share of full capacity that a server has `age` seconds after its start."""
    return parameters.start_capacity + (1.0 - parameters.start_capacity) * age / parameters.warm_within
