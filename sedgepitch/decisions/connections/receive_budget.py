"""The budget of memory for replies that have arrived in part, shared by all connections to endpoints.

Each reply has a maximum length, but a process may have hundreds of connections, and a reply that never ends
is kept until its attempt is given up. If the sum exceeds the budget, the connection that holds the most is
closed: ordinary replies are short, and complete before many long ones have accumulated.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

MEMORY_SHARE = 0.125  # of the memory of the process
MIN_BYTES = 4 * 1024 * 1024  # however small the limit
UNLIMITED_BYTES = 1 << 62


class ReceiveBudget(Generic[Key]):
    """Sums the bytes held for incomplete replies. `memory_bytes` is the process's limit, 0 for none."""

    __slots__ = ("_held", "max_bytes", "total_bytes")

    def __init__(self, memory_bytes: float) -> None:
        limited = memory_bytes > 0 and math.isfinite(memory_bytes)
        self.max_bytes = max(MIN_BYTES, int(memory_bytes * MEMORY_SHARE)) if limited else UNLIMITED_BYTES
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
