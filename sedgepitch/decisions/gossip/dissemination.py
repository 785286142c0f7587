"""Dissemination: the queue of updates to send, piggybacked on messages or by themselves.

Each update is sent a number of times that grows with the logarithm of the member count, least sent first.
"""

from __future__ import annotations

from math import ceil, inf, log10

from sedgepitch.decisions.gossip.settings import GossipSettings


class TransmitQueue:
    """Transmission counts of pending updates by member and state entry kind (empty: the member's state)."""

    def __init__(self, settings: GossipSettings) -> None:
        """Start without updates."""
        self._settings = settings
        self._transmissions: dict[tuple[str, str], int] = {}
        self._next_at = -inf

    def __len__(self) -> int:
        """Return the number of pending updates."""
        return len(self._transmissions)

    @property
    def due(self) -> float:
        """Return when updates are due to be sent by themselves; infinity if none is pending."""
        return self._next_at if self._transmissions else inf

    def add(self, now: float, member: str, kind: str = "") -> None:
        """Queue an update with a count of zero, even if an earlier version was already sent."""
        if not self._transmissions:
            self._next_at = max(self._next_at, now)
        self._transmissions[member, kind] = 0

    def discard(self, member: str, kind: str = "") -> None:
        """Remove an update."""
        self._transmissions.pop((member, kind), None)

    def begin_interval(self, now: float) -> None:
        """Restart the gossip interval."""
        self._next_at = now + self._settings.gossip_interval

    def least_sent_first(self) -> list[tuple[str, str]]:
        """Return the pending updates in packing order."""
        return sorted(self._transmissions, key=self._transmissions.__getitem__)

    def count_transmission(self, member: str, kind: str, members: int) -> None:
        """Count one transmission, and remove the update at the limit for this number of other members."""
        key = (member, kind)
        self._transmissions[key] += 1
        limit = self._settings.retransmit_multiplier * max(1, ceil(log10(members + 2)))
        if self._transmissions[key] >= limit:
            del self._transmissions[key]
