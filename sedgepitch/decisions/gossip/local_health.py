"""Lifeguard's local health: a node that hears badly itself judges others more slowly."""

from __future__ import annotations


class LocalHealth:
    """A score from 0 (healthy) upwards; probe intervals and timeouts grow with it."""

    def __init__(self, maximum: int) -> None:
        """Begin healthy."""
        self.score = 0
        self._maximum = maximum

    @property
    def multiplier(self) -> int:
        """Return the factor for probe intervals and timeouts."""
        return 1 + self.score

    def adjust(self, by: int) -> None:
        """Change the score within its bounds: up for signs of an own fault, down for answers in time."""
        self.score = max(0, min(self._maximum, self.score + by))
