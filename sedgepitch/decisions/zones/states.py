"""The state of each zone at one instance."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import IntEnum
from math import inf

from sedgepitch.decisions.zones.digests import PERMILLE, ZoneStatus
from sedgepitch.decisions.zones.settings import ZoneSettings
from sedgepitch.decisions.zones.votes import Vote

FULL_USE_SHARE = 0.9  # from this share on a zone carries its load
DECISECONDS = 10


class ZoneState(IntEnum):
    """What an instance does with a zone; values are the wire's."""

    NORMAL = 0
    SUSPECTED = 1  # in full use, though a part of the votes is against it
    LEAVING = 2
    LEFT = 3  # not used, tried by a few, or used with a small share to watch it
    RETURNING = 4


@dataclass(slots=True)
class Zone:
    """One zone as this instance uses it. Times are seconds on this instance's monotonic clock."""

    name: str
    trial_delay: float  # before a lost zone is tried; doubles with each relapse
    state: ZoneState = ZoneState.NORMAL
    state_since: float = 0.0
    share: float = 1.0  # of the reads that may go there
    reason: str = ""
    cause: Vote = Vote.NONE  # the verdict for which it was left; NONE for an operator command
    ramp_step: int = 0
    step_at: float = 0.0  # when the share last changed by a step
    relapses: int = 0
    verdict: Vote = Vote.NONE
    verdict_since: float = 0.0
    healthy_since: float | None = None  # while it is left and watched
    returned_at: float = -inf
    share_before: float = 1.0  # when leaving began
    load_before: float = 0.0  # answers a second when leaving began


@dataclass(slots=True, frozen=True)
class ZoneTransition:
    """A zone has entered a state."""

    zone: str
    state: ZoneState


class ZoneTable:
    """All zones of one instance, and the transitions since the owner last took them."""

    def __init__(self, settings: ZoneSettings) -> None:
        """Begin without zones."""
        self.settings = settings
        self.zones: dict[str, Zone] = {}
        self.transitions: list[ZoneTransition] = []

    def keep_only(self, now: float, names: Collection[str]) -> None:
        """Add zones heard of for the first time, and forget those without endpoints in the list."""
        for name in names:
            if name not in self.zones:
                self.zones[name] = Zone(name, self.settings.trial_delay, state_since=now)
        for name in [name for name in self.zones if name not in names]:
            del self.zones[name]

    def enter(self, zone: Zone, state: ZoneState, now: float, share: float, reason: str) -> None:
        """Change a zone's state."""
        zone.state = state
        zone.state_since = now
        zone.share = share
        zone.reason = reason
        zone.healthy_since = None
        self.transitions.append(ZoneTransition(zone.name, state))

    def all_in_full_use(self) -> bool:
        """Whether every zone carries its load."""
        return all(zone.share >= FULL_USE_SHARE for zone in self.zones.values())

    def statuses(self, now: float) -> tuple[ZoneStatus, ...]:
        """Return what to publish of each zone."""
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
