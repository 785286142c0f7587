"""The budget of memory for what clients send and do not read, shared by all connections of a listener.

Each connection has limits of its own, but their sum over hundreds of connections is more than a small process
has. So all of them together have one budget:

=======================  =====================================================================================
bytes held               rule
=======================  =====================================================================================
pending statements       cannot be given back before their answer: a large statement is admitted while they
                         use less than PENDING_SHARE of the budget or there is no other, else rejected
buffered input and       may be given back: when the sum exceeds the budget, connections are named to give
unsent responses         theirs back, in order of bytes times the time for which they have been held
=======================  =====================================================================================

The order spares a large message that arrives at once: it is short-lived, while clients that write slowly,
stop, or do not read hold little or much for long. Above PRESSURE_SHARE of the budget the process is under
memory pressure, and connections should buffer no more than they need.

Memory is also used by copies and fragments, which no count shows. So while the process as a whole uses more
than its high mark (`observe`) and clients contribute to it, the budget is halved step by step. It is restored
after that, also where the use stays high with little held, as the allocator has room for new buffers then.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

PENDING_SHARE = 0.6  # of the budget
PRESSURE_SHARE = 0.5  # of the budget
RECLAIM_TO_SHARE = 0.85  # of the budget: what is left after connections have given back
SMALL_STATEMENT_BYTES = 2048  # statements up to this size are always admitted, and not counted
SCALE_MIN = 1.0 / 8.0  # of the budget, while the process uses too much memory
SCALE_STEP = 2.0
LITTLE_HELD_SHARE = 1.0 / 16.0  # of the whole budget


class ClientMemoryBudget(Generic[Key]):
    """Counts the bytes held for each connection. Pure: times are passed in, in seconds of one clock."""

    __slots__ = (
        "_budget_bytes", "_held", "_high_use_bytes", "_pressure_bytes", "_since", "max_bytes",
        "pending_bytes", "scale", "total_bytes",
    )  # fmt: skip

    def __init__(self, budget_bytes: int, high_use_bytes: int) -> None:
        """Start with nothing held; `high_use_bytes` is the high mark of the whole process."""
        self._budget_bytes = budget_bytes
        self._high_use_bytes = high_use_bytes
        self._held: dict[Key, int] = {}  # buffered input and unsent responses
        self._since: dict[Key, float] = {}  # when each connection began to hold any
        self.pending_bytes = 0  # of pending statements
        self.total_bytes = 0  # of all
        self.scale = 1.0
        self.max_bytes = budget_bytes  # the budget as it is now
        self._pressure_bytes = int(PRESSURE_SHARE * budget_bytes)

    @property
    def under_pressure(self) -> bool:
        """Return whether connections should buffer no more than they need."""
        return self.total_bytes > self._pressure_bytes

    @property
    def exceeded(self) -> bool:
        """Return whether connections have to give bytes back."""
        return self.total_bytes > self.max_bytes

    # What connections hold

    def update(self, key: Key, held_bytes: int, now: float) -> None:
        """Record how much buffered input and unsent responses a connection holds."""
        self.total_bytes += held_bytes - self._held.pop(key, 0)
        if held_bytes:
            self._held[key] = held_bytes
            self._since.setdefault(key, now)
        else:
            self._since.pop(key, None)

    def held_by(self, key: Key) -> int:
        """Return how much a connection held at its last update."""
        return self._held.get(key, 0)

    def forget(self, key: Key) -> None:
        """Drop a connection that has ended."""
        self.total_bytes -= self._held.pop(key, 0)
        self._since.pop(key, None)

    def holders(self, now: float) -> list[Key]:
        """Return the connections that hold any bytes, the first to give them back first."""
        return sorted(self._held, key=lambda key: -self._held[key] * (now - self._since[key]))

    @property
    def has_reclaimed(self) -> bool:
        """Return whether connections have given back enough."""
        return self.total_bytes <= RECLAIM_TO_SHARE * self.max_bytes

    # Pending statements

    def admits(self, statement_bytes: int) -> bool:
        """Return whether a statement may become a pending request."""
        if statement_bytes <= SMALL_STATEMENT_BYTES or not self.pending_bytes:
            return True
        return self.pending_bytes + statement_bytes <= PENDING_SHARE * self.max_bytes

    def statement_started(self, statement_bytes: int) -> None:
        """Record a pending statement; small ones are not counted."""
        if statement_bytes <= SMALL_STATEMENT_BYTES:
            return
        self.pending_bytes += statement_bytes
        self.total_bytes += statement_bytes

    def statement_ended(self, statement_bytes: int) -> None:
        """Record the end of a pending statement."""
        if statement_bytes <= SMALL_STATEMENT_BYTES:
            return
        self.pending_bytes -= statement_bytes
        self.total_bytes -= statement_bytes

    # The whole process

    def observe(self, used_bytes: int) -> None:
        """Adapt the budget to the memory that the whole process uses; 0 if unknown."""
        if used_bytes <= self._high_use_bytes or self.total_bytes < LITTLE_HELD_SHARE * self._budget_bytes:
            self.scale = min(1.0, self.scale * SCALE_STEP)
        elif self.under_pressure:
            self.scale = max(SCALE_MIN, self.scale / SCALE_STEP)
        self.max_bytes = int(self._budget_bytes * self.scale)
        self._pressure_bytes = int(PRESSURE_SHARE * self.max_bytes)
