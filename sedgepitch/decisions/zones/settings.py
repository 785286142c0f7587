"""Durations and bounds of zone failover."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.errors import ConfigurationError

# Settings that must be positive, with the names that messages give them.
_POSITIVE = {
    "slow_start_window": "warm",
    "lost_hold": "hold",
    "degraded_hold": "hold_slow",
    "leave_duration": "leave_over",
    "trial_delay": "wait",
    "trial_turn": "turn",
}


class ZoneSettingsError(ConfigurationError, ValueError):
    """A setting of zones that cannot be used."""


@dataclass(slots=True, frozen=True)
class ZoneSettings:
    """Times in seconds, shares from 0 to 1. Raises ZoneSettingsError for what cannot be used."""

    initial_capacity: float = 0.2  # share of its capacity that an endpoint has when it starts
    slow_start_window: float = 10.0  # after which it has all of it
    ramp_safety: float = 0.8  # share of what slow start allows, that all instances together send
    ramp_steps: int = 5
    lost_hold: float = 0.15  # how long a verdict of loss stands before it counts
    degraded_hold: float = 1.0  # the same for a zone that still answers
    leave_duration: float = 2.0  # over which a zone that still answers is left
    watch_share: float = 0.1  # kept in a zone that still answers, to see how it does
    trial_delay: float = 1.0  # before the first trial of a lost zone; doubles with each relapse
    trial_delay_max: float = 60.0
    trial_turn: float = 1.5  # how long the same instances try
    trial_instances: int = 2
    trial_share_max: float = 0.5  # of its own reads, that an instance that tries sends there
    relapse_grace: float = 1.0  # after a return began, in which older digests may still be heard
    relapse_memory: float = 60.0  # of normal use, after which relapses are forgotten
    headroom: float = 1.5  # times what endpoints have served while healthy, that they are trusted to serve

    def __post_init__(self) -> None:
        """Check that durations are positive and shares are shares."""
        for name, key in _POSITIVE.items():
            if getattr(self, name) <= 0:
                raise ZoneSettingsError(f"zones: {key} must be above 0")
        if not 0 < self.initial_capacity <= 1 or not 0 < self.watch_share < 1 or self.headroom < 1:
            raise ZoneSettingsError("zones: start and watch are shares, and headroom is at least 1")
        if self.ramp_steps < 1 or self.trial_instances < 1:
            raise ZoneSettingsError("zones: steps and triers are at least 1")

    def ramp_share(self, step: int) -> float:
        """Return the share at a step of a return: what endpoints that started with the return can serve."""
        if step >= self.ramp_steps:
            return 1.0
        warmed = self.initial_capacity + (1.0 - self.initial_capacity) * step / self.ramp_steps
        return self.ramp_safety * warmed

    @property
    def ramp_step_duration(self) -> float:
        """Return how long a step of a return lasts, in seconds."""
        return self.slow_start_window / self.ramp_steps
