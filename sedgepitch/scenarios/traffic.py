"""The client traffic of a scenario: request classes, sessions, and a count of the outcomes."""

from __future__ import annotations

from dataclasses import dataclass, field
from importlib.resources import files
from typing import Any

import bson
import yaml
from hdrh.histogram import HdrHistogram

PROXIES = 3


@dataclass(slots=True, frozen=True)
class RequestKind:
    """One request class: its share of the traffic, and times in seconds; `aim` is the latency objective."""

    name: str
    share: float
    freshness: str
    deadline: float
    aim: float
    max_age: float = 0.0
    effect: str = "safe"
    window: float = 0.0

    @property
    def writes(self) -> bool:
        """Return whether the requests of this class are writes."""
        return self.freshness == "write"

    @property
    def keyed(self) -> bool:
        """Return whether the requests of this class carry an idempotency key."""
        return self.effect == "keyed"


KINDS = (
    RequestKind("upload", 0.10, "write", 2.0, 0.2, effect="keyed", window=1.2),
    RequestKind("note", 0.03, "write", 2.0, 0.2, effect="unsafe"),
    RequestKind("own-read", 0.22, "session", 0.5, 0.2),
    RequestKind("current-read", 0.03, "fresh", 0.5, 0.2),
    RequestKind("history-read", 0.20, "any", 0.6, 0.2),
    RequestKind("map-read", 0.42, "bounded", 0.8, 0.2, max_age=0.5),
)


def scenario_settings() -> dict[str, Any]:
    """Return the settings of proxies and emulator: the example settings, with times for a short scenario."""
    settings: dict[str, Any] = yaml.safe_load(
        files("sedgepitch.config").joinpath("example.yaml").read_text(encoding="utf-8")
    )
    settings["module"] = {"drivers": PROXIES}
    settings["log"] = {"level": "info", "format": "json", "lines_per_second": 2000}
    settings["rules"] |= {"warm_within": "5 s"}
    settings["standins"] |= {
        "read_work": {"least": "5 ms", "most": "10 ms"},
        "write_work": {"least": "4 ms", "most": "8 ms"},
        "cores": 2,
        "warm_within": "5 s",
    }
    return settings


@dataclass
class Session:
    """A client session: its id, the number of keys used, and its last acknowledged write."""

    lsid: bson.Binary
    number: int = 0
    last_write: str | None = None
    after: bson.Timestamp | None = None


@dataclass
class Tally:
    """Outcomes of the requests of one class; a request and its client retries count as one."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    other: int = 0
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))

    def as_dict(self) -> dict[str, Any]:
        """Return the counts for a report; times in milliseconds."""
        out = {n: getattr(self, n) for n in ("asked", "in_time", "late", "refused", "failed", "other")}
        for name, share in (("p50_ms", 50.0), ("p99_ms", 99.0)):
            out[name] = self.times.get_value_at_percentile(share) / 1000.0 if self.times.total_count else None
        return out
