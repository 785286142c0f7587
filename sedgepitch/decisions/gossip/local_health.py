"""Lifeguard's local health: a node with signs of a local fault probes less often, with longer timeouts."""

from __future__ import annotations


class LocalHealth:
    """A score from 0 (healthy) upwards; probe intervals and timeouts grow with it."""

    def __init__(self, maximum: int) -> None:
        """Start healthy."""
        self.score = 0
        self._maximum = maximum

    @property
    def multiplier(self) -> int:
        """Return the factor for probe intervals and timeouts."""
        return 1 + self.score

    def adjust(self, by: int) -> None:
        """Change the score within its bounds: up on signs of a local fault, down on timely answers."""
        self.score = max(0, min(self._maximum, self.score + by))
