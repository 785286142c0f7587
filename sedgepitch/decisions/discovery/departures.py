"""Remembers the drains and removals of endpoints, and decides which reports come after them.

An endpoint has departed when it was reported as draining or removed, or was missing from a complete list. It
returns with a report that it is up if the report's revision is newer than the newest at which the departure
held, or if the endpoint has restarted since. Other such reports may have been made before the departure.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace

MAX_FORGOTTEN_DEPARTURES = 10_000


@dataclass(slots=True, frozen=True)
class Departure:
    """The newest revision at which a departure is known to hold, and the latest start known by then."""

    revision: int
    started_at: float


class Departures:
    """The departures of all endpoints, by name; those of endpoints no longer in use up to a number."""

    __slots__ = ("_forgotten", "_in_use")

    def __init__(self) -> None:
        self._in_use: dict[str, Departure] = {}
        self._forgotten: dict[str, Departure] = {}  # of endpoints no longer in use, oldest first

    def __len__(self) -> int:
        """Return how many departures are remembered."""
        return len(self._in_use) + len(self._forgotten)

    def record(self, name: str, revision: int, started_at: float) -> None:
        """Record that an endpoint has departed by this revision; `started_at` is its latest known start."""
        known = self._in_use.get(name)
        if known is not None:
            revision = max(revision, known.revision)
            started_at = max(started_at, known.started_at)
        self._in_use[name] = Departure(revision, started_at)

    def may_follow(self, name: str, revision: int, started_at: float) -> bool:
        """Return whether an endpoint may have departed after a report that it was up."""
        known = self._in_use.get(name)
        return known is not None and revision <= known.revision and started_at <= known.started_at

    def revoke(self, name: str) -> None:
        """Record that an endpoint is up again."""
        self._in_use.pop(name, None)

    def hold_at(self, revision: int, returned: Collection[str]) -> None:
        """Record that departures hold at a revision, but for the endpoints that had returned by then."""
        for departures in (self._in_use, self._forgotten):
            for name, known in departures.items():
                if name not in returned and known.revision < revision:
                    departures[name] = replace(known, revision=revision)

    def forget(self, name: str) -> None:
        """Record that an endpoint is no longer in use."""
        departure = self._in_use.pop(name, None)
        if departure is not None:
            self._forgotten[name] = departure
        if len(self._forgotten) > MAX_FORGOTTEN_DEPARTURES:
            del self._forgotten[next(iter(self._forgotten))]

    def recall(self, name: str) -> None:
        """Record that an endpoint is in use again."""
        departure = self._forgotten.pop(name, None)
        if departure is not None:
            self._in_use[name] = departure
