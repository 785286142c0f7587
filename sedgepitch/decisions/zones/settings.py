"""Settings of zone failover."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.errors import ConfigurationError

# Settings that must be positive, with their YAML keys for error messages.
_POSITIVE_KEYS = {
    "slow_start_window": "warm",
    "lost_hold": "hold",
    "degraded_hold": "hold_slow",
    "leave_duration": "leave_over",
    "trial_delay": "wait",
    "trial_turn": "turn",
}


class ZoneSettingsError(ConfigurationError, ValueError):
    """A zone setting is invalid."""


@dataclass(slots=True, frozen=True)
class ZoneSettings:
    """Times in seconds, shares from 0 to 1. Raises ZoneSettingsError for invalid values."""

    initial_capacity: float = 0.2  # fraction of full capacity of an endpoint that has just started
    slow_start_window: float = 10.0  # time from start to full capacity
    ramp_safety: float = 0.8  # fraction of the capacity under slow start that all instances together use
    ramp_steps: int = 5
    lost_hold: float = 0.15  # how long a LOST verdict must persist before it counts
    degraded_hold: float = 1.0  # the same for a zone that still answers
    leave_duration: float = 2.0  # time over which a zone that still answers is left
    watch_share: float = 0.1  # kept in a left zone that still answers, to observe it
    # Time before the trials of a lost zone; also how long a degraded one must be healthy before the return.
    trial_delay: float = 1.0  # doubles with each relapse
    trial_delay_max: float = 60.0
    trial_turn: float = 1.5  # how long the same instances try a lost zone
    trial_instances: int = 2
    trial_share_max: float = 0.5  # limit of the share of its own reads that a trial instance sends there
    relapse_grace: float = 1.0  # after a return starts; earlier digests may still arrive in this time
    relapse_memory: float = 60.0  # time of normal use after which relapses are reset
    headroom: float = 1.5  # endpoints are assumed to serve this multiple of the rate served while healthy

    def __post_init__(self) -> None:
        """Check that durations are positive and shares are in range."""
        for name, key in _POSITIVE_KEYS.items():
            if getattr(self, name) <= 0:
                raise ZoneSettingsError(f"zones: {key} must be above 0")
        if not 0 < self.initial_capacity <= 1 or not 0 < self.watch_share < 1 or self.headroom < 1:
            raise ZoneSettingsError(
                "zones: start must be above 0 and at most 1, watch between 0 and 1, headroom at least 1"
            )
        if self.ramp_steps < 1 or self.trial_instances < 1:
            raise ZoneSettingsError("zones: steps and triers must be at least 1")

    def ramp_share(self, step: int) -> float:
        """Return the share at a ramp step: what endpoints that started along with the return can serve."""
        if step >= self.ramp_steps:
            return 1.0
        capacity = self.initial_capacity + (1.0 - self.initial_capacity) * step / self.ramp_steps
        return self.ramp_safety * capacity

    @property
    def ramp_step_duration(self) -> float:
        """Return the duration of a ramp step in seconds."""
        return self.slow_start_window / self.ramp_steps
