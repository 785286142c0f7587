"""Rule 3: no new request to a server once `drain_grace` has passed since the proxy was notified it drains."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict

from sedgepitch.audit.findings import Finding, RuleParameters
from sedgepitch.audit.record_index import RecordIndex

UP = "up"
AFTER_ANY_STATE = "~"  # sorts after every state name

States = list[tuple[float, str]]  # (when the proxy was notified, state)


def check(index: RecordIndex, parameters: RuleParameters) -> Finding:
    """Check each request that reached a server after the proxy was notified that the server is not up."""
    finding = Finding(3, "drains kept")
    notified: dict[tuple[str, int], States] = defaultdict(list)  # by proxy and server
    for record in index.by_kind["told"]:
        notified[record["d"], record["m"]].append((record["t"], record["state"]))
    drains = sum(any(state != UP for _, state in states) for states in notified.values())
    for record in index.by_kind["recv"]:
        not_up_since = _not_up_since(notified.get((record["d"], record["m"]), []), record["t"])
        if not_up_since is None:
            continue
        elapsed = record["t"] - not_up_since
        if elapsed <= parameters.drain_grace + parameters.slack:
            finding.passed()
        else:
            finding.failed(
                f"{record['d']} sent {record['rid']} to {record['m']} {elapsed:.3f} s after it was told"
            )
    finding.passed(drains)
    return finding


def _not_up_since(states: States, at: float) -> float | None:
    """Return when the proxy was first notified that the server is not up; None if it is listed as up."""
    index = bisect_right(states, (at, AFTER_ANY_STATE)) - 1
    if index < 0 or states[index][1] == UP:
        return None
    while index and states[index - 1][1] != UP:
        index -= 1
    return states[index][0]
