"""The budget of memory for replies that have arrived in part, shared by all connections to endpoints.

Each reply has a maximum length, but a process may have hundreds of connections, and a reply that never ends
is kept until its attempt is given up. If the sum exceeds the budget, the connection that holds the most is
closed: ordinary replies are short, and complete before many long ones have accumulated.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class ReceiveBudget(Generic[Key]):
    """Sums the bytes held for incomplete replies, `max_bytes` at most."""

    __slots__ = ("_held", "max_bytes", "total_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._held: dict[Key, int] = {}

    def update(self, key: Key, held_bytes: int) -> Key | None:
        """Record how much a connection holds; return the connection to close, if the sum is too large."""
        self.total_bytes += held_bytes - self._held.pop(key, 0)
        if held_bytes:
            self._held[key] = held_bytes
        if self.total_bytes <= self.max_bytes:
            return None
        return max(self._held, key=self._held.__getitem__)
