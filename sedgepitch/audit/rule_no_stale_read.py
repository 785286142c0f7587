"""Rule 5: each served read saw data as recent as its class requires."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict

from sedgepitch.audit.findings import ClassGuarantees, Finding, RuleParameters
from sedgepitch.audit.record_index import RecordIndex, RoleHistory
from sedgepitch.audit.records import Record


class CommitHistory:
    """The commits of each group: their times and their indices in the replication log."""

    def __init__(self, index: RecordIndex) -> None:
        """Collect the commits of each group; `index` holds them in order of time."""
        self._times: dict[int, list[float]] = defaultdict(list)
        self._indices: dict[int, list[int]] = defaultdict(list)
        for record in index.by_kind["commit"]:
            self._times[record["g"]].append(record["t"])
            self._indices[record["g"]].append(record["i"])

    def last_index(self, group: int, until: float) -> int:
        """Return the log index of the last commit up to a time, 0 if there is none."""
        count = bisect_right(self._times[group], until)
        return self._indices[group][count - 1] if count else 0


def check(index: RecordIndex, classes: dict[str, ClassGuarantees], parameters: RuleParameters) -> Finding:
    """Check all served reads whose class has a freshness requirement."""
    finding = Finding(5, "no stale read")
    roles = RoleHistory(index)
    commits = CommitHistory(index)
    for rid, ask in index.asked.items():
        if ask["w"]:
            continue
        answer = next((a for a in index.answers.get(rid, []) if a["verdict"] == "served"), None)
        if answer is None or answer.get("m") is None:
            continue
        received = [record for record in index.received.get(rid, []) if record["m"] == answer["m"]]
        guarantees = classes[ask["cls"]]
        if not received or guarantees.freshness == "any":
            continue
        last = received[-1]
        required = _required_index(index, commits, ask, last, guarantees, parameters)
        is_fresh = answer["i"] >= required
        if is_fresh or roles.could_be_taken_for_primary(last["g"], answer["m"], ask["d"], last["t"]):
            finding.passed()
        else:
            finding.failed(
                f"{rid}: {guarantees.freshness} read at member {answer['m']},"
                f" entry {answer['i']}, needs {required}"
            )
    return finding


def _required_index(
    index: RecordIndex,
    commits: CommitHistory,
    ask: Record,
    received: Record,
    guarantees: ClassGuarantees,
    parameters: RuleParameters,
) -> int:
    """Return the log index of the last commit that the read must reflect."""
    group = received["g"]
    if guarantees.freshness == "bounded":
        sent = max(ask["t"], received["t"] - parameters.slack)
        return commits.last_index(group, sent - guarantees.max_staleness)
    if guarantees.freshness == "fresh":
        return commits.last_index(group, ask["t"])
    session_writes = index.commits.get(ask["need"], []) if ask["need"] else []
    return max((record["i"] for record in session_writes), default=0)
