"""Dissemination: which updates are still to be sent, and how they ride on messages.

Each update is sent a number of times that grows with the logarithm of the members, the least sent first.
"""

from __future__ import annotations

from math import ceil, inf, log10

from sedgepitch.decisions.gossip.settings import GossipSettings


class TransmitQueue:
    """Updates to send, by member and kind of state entry (empty for the member's state), with counts."""

    def __init__(self, settings: GossipSettings) -> None:
        """Begin without updates."""
        self._settings = settings
        self._transmissions: dict[tuple[str, str], int] = {}
        self._next_at = -inf

    def __len__(self) -> int:
        """Return the number of updates that wait."""
        return len(self._transmissions)

    @property
    def due(self) -> float:
        """Return when updates are to be sent by themselves; infinity while there are none."""
        return self._next_at if self._transmissions else inf

    def add(self, now: float, member: str, kind: str = "") -> None:
        """Have an update sent from the start, whatever was sent of an earlier one."""
        if not self._transmissions:
            self._next_at = max(self._next_at, now)
        self._transmissions[member, kind] = 0

    def discard(self, member: str, kind: str = "") -> None:
        """Forget an update."""
        self._transmissions.pop((member, kind), None)

    def begin_interval(self, now: float) -> None:
        """Count the next interval from now."""
        self._next_at = now + self._settings.gossip_interval

    def least_sent_first(self) -> list[tuple[str, str]]:
        """Return the updates in the order in which they are packed."""
        return sorted(self._transmissions, key=self._transmissions.__getitem__)

    def count_transmission(self, member: str, kind: str, members: int) -> None:
        """Count one transmission; at the limit for so many other members the update is done."""
        key = (member, kind)
        self._transmissions[key] += 1
        limit = self._settings.retransmit_multiplier * max(1, ceil(log10(members + 2)))
        if self._transmissions[key] >= limit:
            del self._transmissions[key]
