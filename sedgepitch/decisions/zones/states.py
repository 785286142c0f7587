"""The state of each zone at one proxy instance."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import IntEnum
from math import inf

from sedgepitch.decisions.zones.digests import PERMILLE, ZoneStatus
from sedgepitch.decisions.zones.settings import ZoneSettings
from sedgepitch.decisions.zones.votes import Vote

FULL_USE_SHARE = 0.9  # a zone with at least this share counts as fully used
DECISECONDS = 10


class ZoneState(IntEnum):
    """How an instance uses a zone; the values are the wire format."""

    NORMAL = 0
    SUSPECTED = 1  # in full use, but some votes are against it
    LEAVING = 2
    LEFT = 3  # unused, tried by a few instances, or kept at the watch share
    RETURNING = 4


@dataclass(slots=True)
class Zone:
    """One zone as this instance uses it. Times are seconds on this instance's monotonic clock."""

    name: str
    trial_delay: float  # before trials of a lost zone or the return to a degraded one; doubles per relapse
    state: ZoneState = ZoneState.NORMAL
    state_since: float = 0.0
    share: float = 1.0  # share of reads that may go to the zone
    reason: str = ""
    cause: Vote = Vote.NONE  # the verdict that caused leaving; NONE for an operator command
    ramp_step: int = 0
    step_at: float = 0.0  # time of the last step change of the share
    relapses: int = 0
    verdict: Vote = Vote.NONE
    verdict_since: float = 0.0
    healthy_since: float | None = None  # set while the zone is left and observed as healthy
    returned_at: float = -inf
    share_before: float = 1.0  # share when leaving started
    load_before: float = 0.0  # responses per second when leaving started


@dataclass(slots=True, frozen=True)
class ZoneTransition:
    """A zone entered a state."""

    zone: str
    state: ZoneState


class ZoneTable:
    """All zones of one instance, and the transitions not yet taken by the owner."""

    def __init__(self, settings: ZoneSettings) -> None:
        """Start without zones."""
        self.settings = settings
        self.zones: dict[str, Zone] = {}
        self.transitions: list[ZoneTransition] = []

    def keep_only(self, now: float, names: Collection[str]) -> None:
        """Add new zones, and remove those without endpoints in the endpoint list."""
        for name in names:
            if name not in self.zones:
                self.zones[name] = Zone(name, self.settings.trial_delay, state_since=now)
        for name in [name for name in self.zones if name not in names]:
            del self.zones[name]

    def enter(self, zone: Zone, state: ZoneState, now: float, share: float, reason: str) -> None:
        """Change a zone's state and record the transition."""
        zone.state = state
        zone.state_since = now
        zone.share = share
        zone.reason = reason
        zone.healthy_since = None
        self.transitions.append(ZoneTransition(zone.name, state))

    def all_in_full_use(self) -> bool:
        """Return whether every zone is in full use."""
        return all(zone.share >= FULL_USE_SHARE for zone in self.zones.values())

    def statuses(self, now: float) -> tuple[ZoneStatus, ...]:
        """Return the status to publish for each zone."""
        return tuple(
            ZoneStatus(
                zone.name,
                int(zone.state),
                round(PERMILLE * zone.share),
                int(DECISECONDS * (now - zone.state_since)),
                zone.relapses,
            )
            for zone in sorted(self.zones.values(), key=lambda zone: zone.name)
        )
