"""Rule 2: each operation takes effect once, a rejected one never, and retries follow the class."""

from __future__ import annotations

from collections import defaultdict

from sedgepitch.audit.findings import ClassGuarantees, Finding, RuleParameters
from sedgepitch.audit.record_index import RecordIndex
from sedgepitch.audit.records import Record

Rejections = dict[tuple[str, int], int]  # (request, server) -> attempts rejected without effect


def check(index: RecordIndex, classes: dict[str, ClassGuarantees], parameters: RuleParameters) -> Finding:
    """Check all operations that took effect, and the rejections and retries of all writes."""
    finding = Finding(2, "no effect twice")
    for operation, count in _commits_by_operation(index).items():
        if count == 1:
            finding.passed()
        else:
            finding.failed(f"{operation}: took effect {count} times")
    rejections = _rejections(index)
    for rid, ask in index.asked.items():
        if not ask["w"]:
            continue
        if any(answer["verdict"] == "refused" for answer in index.answers.get(rid, [])):
            if rid in index.commits:
                finding.failed(f"{rid}: refused, and took effect")
            else:
                finding.passed()
        _check_retries(finding, ask, index.received.get(rid, []), rejections, classes, parameters)
    return finding


def _commits_by_operation(index: RecordIndex) -> dict[str, int]:
    """Count the commits of each operation over all of its requests."""
    counts: dict[str, int] = defaultdict(int)
    for rid, commits in index.commits.items():
        ask = index.asked.get(rid)
        if ask is not None:
            counts[ask["op"]] += len(commits)
    return counts


def _rejections(index: RecordIndex) -> Rejections:
    counts: Rejections = defaultdict(int)
    for record in index.by_kind["away"]:
        counts[record["rid"], record["m"]] += 1
    return counts


def _check_retries(
    finding: Finding,
    ask: Record,
    received: list[Record],
    rejections: Rejections,
    classes: dict[str, ClassGuarantees],
    parameters: RuleParameters,
) -> None:
    """Check retries after an attempt that may have run.

    An unsafe write allows none; a keyed one allows them in the same group and the deduplication window.
    """
    rid = ask["rid"]
    rejections_left = dict(rejections)
    uncertain: Record | None = None  # the first attempt that may have run
    for record in received:
        if uncertain is not None:
            elapsed = record["t"] - uncertain["t"]
            in_window = elapsed <= classes[ask["cls"]].deduplication_window + parameters.slack
            if ask["keyed"] and record["g"] == uncertain["g"] and in_window:
                finding.passed()
            else:
                finding.failed(f"{rid}: sent again to {record['m']} though it may have run")
        key = (rid, record["m"])
        if rejections_left.get(key, 0) > 0:
            rejections_left[key] -= 1
        elif uncertain is None:
            uncertain = record
