"""Rule 1: each request gets exactly one final answer before its deadline, and no attempt after it."""

from __future__ import annotations

from collections import defaultdict

from sedgepitch.audit.findings import Finding, RuleParameters
from sedgepitch.audit.record_index import RecordIndex
from sedgepitch.audit.records import Record

FINAL_VERDICTS = ("served", "refused", "failed")
NEVER = float("inf")

Spans = dict[str, list[tuple[float, float]]]  # proxy -> (begin, end)


def check(index: RecordIndex, parameters: RuleParameters) -> Finding:
    """Check all requests except those that a kill, a suspension or a cancellation excuses."""
    finding = Finding(1, "no request lost")
    kill_times = _kill_times(index)
    suspensions = _suspensions(index)
    cancelled = {record["rid"] for record in index.by_kind["left"]}
    for rid, ask in index.asked.items():
        answers = index.answers.get(rid, [])
        final = [answer for answer in answers if answer["verdict"] in FINAL_VERDICTS]
        was_suspended = _overlaps(suspensions[ask["d"]], ask, parameters.slack)
        was_killed = _was_killed(kill_times[ask["d"]], ask, parameters.slack)
        if (was_suspended and not answers) or (was_killed and not final) or rid in cancelled:
            continue
        in_time = bool(final) and (was_suspended or final[0]["t"] <= ask["by"] + parameters.slack)
        if len(final) == 1 and in_time:
            finding.passed()
        else:
            finding.failed(_describe(rid, ask, answers))
        if final:
            _check_attempts(finding, rid, final[0]["t"] + parameters.slack, index.received.get(rid, []))
    for record in index.by_kind["extra"]:
        finding.failed(f"a reply to no pending request at {record['t']:.3f}")
    return finding


def _check_attempts(finding: Finding, rid: str, allowed_until: float, received: list[Record]) -> None:
    if any(record["t"] > allowed_until for record in received):
        finding.failed(f"{rid}: sent on after its final answer")
    else:
        finding.passed()


def _kill_times(index: RecordIndex) -> dict[str, list[float]]:
    """Return when each proxy was killed; its pending requests are excused."""
    times: dict[str, list[float]] = defaultdict(list)
    for record in index.by_kind["killed"]:
        times[record["d"]].append(record["t"])
    return times


def _was_killed(times: list[float], ask: Record, slack: float) -> bool:
    return any(ask["t"] - slack <= at <= ask["by"] + slack for at in times)


def _suspensions(index: RecordIndex) -> Spans:
    """Return when each proxy was suspended from outside; late answers in these spans are excused."""
    spans: Spans = defaultdict(list)
    records = index.by_kind["frozen"] + index.by_kind["woken"]
    for record in sorted(records, key=lambda record: record["t"]):
        found = spans[record["d"]] if record["e"] == "frozen" else spans.get(record["d"], [])
        if record["e"] == "frozen":
            found.append((record["t"], NEVER))
        elif found:
            found[-1] = (found[-1][0], record["t"])
    return spans


def _overlaps(spans: list[tuple[float, float]], ask: Record, slack: float) -> bool:
    return any(begin <= ask["by"] and ask["t"] <= end + slack for begin, end in spans)


def _describe(rid: str, ask: Record, answers: list[Record]) -> str:
    if not answers:
        return f"{rid}: no answer by {ask['by'] - ask['t']:.3f} s"
    outcomes = ", ".join(f"{answer['verdict']} after {answer['t'] - ask['t']:.3f} s" for answer in answers)
    return f"{rid}: asked for {ask['by'] - ask['t']:.3f} s, got {outcomes}"
