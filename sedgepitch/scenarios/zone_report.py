"""Zone report of a fleet scenario.

It states when proxies left a zone and returned, how many requests were sent there in vain, and the share of
requests that was served in time.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ZONE_EVENT = re.compile(r'"event": "zone\.state_changed"')
ZONE_FAULTS = ("lose", "crash", "cut", "slow", "leave")
DEFAULT_DURATION_S = 4.0  # duration of a fault whose step states none
BEFORE_S = 4.0  # interval before the fault, for comparison
AFTER_S = 6.0  # interval after its end
FORWARDED_QUANTILE = 0.95  # of the times at which requests were sent to a lost zone


@dataclass(slots=True, frozen=True)
class WeightedOutcome:
    """How one request ended: when it began, whether it was served in time, and its priority weight."""

    began_at: float
    in_time: bool
    weight: float


def share_in_time(outcomes: Iterable[WeightedOutcome], begin: float, end: float) -> float:
    """Return the share, by priority weight, of requests begun in [begin, end) that were served in time."""
    within = [outcome for outcome in outcomes if begin <= outcome.began_at < end]
    total = sum(outcome.weight for outcome in within)
    return sum(outcome.weight for outcome in within if outcome.in_time) / total if total else 0.0


def zone_events(directory: Path) -> list[dict[str, Any]]:
    """Return the zone events of the proxies' logs in time order; times are those of the monotonic clock."""
    events = []
    for log in sorted(directory.glob("driver-*.log")):
        for line in log.read_text(encoding="utf-8", errors="replace").splitlines(keepends=True):
            if ZONE_EVENT.search(line) and line.endswith("\n"):  # the last line may be incomplete
                events.append({**json.loads(line), "driver": log.stem})
    return sorted(events, key=lambda event: event["at"])


def zone_rows(
    directory: Path,
    events: list[dict[str, Any]],
    zone_at: dict[int, str],
    outcomes: list[WeightedOutcome],
    began: float,
) -> list[dict[str, Any]]:
    """Return a report row for each fault of a zone; `zone_at` maps each server to its zone."""
    lost = [
        (record["t"], zone_at[record["m"]])
        for record in _records(directory / "members.jsonl")
        if record["e"] == "unseen"
    ]
    steps = [record for record in _records(directory / "clients.jsonl") if record["e"] == "step"]
    rows = []
    for step in steps:
        zone = step["to"] if step["do"] == "cut" else step["zone"]
        if step["do"] in ZONE_FAULTS and zone:
            rows.append(_zone_row(step, zone, events, lost, outcomes, began))
    return rows


def _zone_row(
    step: dict[str, Any],
    zone: str,
    events: list[dict[str, Any]],
    lost: list[tuple[float, str]],
    outcomes: list[WeightedOutcome],
    began: float,
) -> dict[str, Any]:
    begin = step["t"]
    end = begin + (step["for"] or DEFAULT_DURATION_S)
    left = [
        event["at"] - begin
        for event in events
        if event["zone"] == zone and event["state"] == "left" and begin <= event["at"] < end
    ]
    back = [
        event["at"] - end
        for event in events
        if event["zone"] == zone and event["state"] == "normal" and event["at"] >= end
    ]
    sent = sorted(at - begin for at, lost_zone in lost if lost_zone == zone and begin <= at < end)
    return {
        "do": step["do"],
        "zone": zone,
        "at": round(begin - began, 2),
        "left": len(left),
        "first_left_s": round(min(left), 3) if left else None,
        "last_left_s": round(max(left), 3) if left else None,
        "back_last_s": round(max(back[: len(left)]), 3) if back and left else None,
        "sent_in_vain": len(sent),
        "in_vain_95_s": round(sent[int(FORWARDED_QUANTILE * (len(sent) - 1))], 3) if sent else None,
        "worth_during": round(share_in_time(outcomes, begin, end), 4),
        "worth_before": round(share_in_time(outcomes, begin - BEFORE_S, begin), 4),
        "worth_after": round(share_in_time(outcomes, end, end + AFTER_S), 4),
    }


def _records(path: Path) -> list[dict[str, Any]]:
    records = []
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            records.append(json.loads(line))
        except ValueError:
            continue  # an incomplete last line of a process that was killed
    return records
