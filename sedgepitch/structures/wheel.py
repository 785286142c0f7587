"""A hierarchical timing wheel: items due at times, put in and taken out in constant time.

Source: Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (1987), scheme 7. Level n has SLOTS
slots of SLOTS**n ticks each; an item sits in the finest level that reaches its time and moves down as the
time comes near. Compared with a heap: cancelling needs no search and leaves nothing behind, so what is held
is what is due.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

SLOTS, LEVELS = 64, 4

T = TypeVar("T")


class Entry(Generic[T]):
    """One item in a wheel; what `Wheel.put` returns."""

    __slots__ = ("at", "item", "slot")

    def __init__(self, at: int, item: T) -> None:
        self.at, self.item = at, item
        self.slot: dict[Entry[T], None] | None = None


class Wheel(Generic[T]):
    """Items by due time, in ticks of so many seconds. Items are never told early, and at most a tick late."""

    def __init__(self, tick: float, now: float) -> None:
        self.tick, self.start = tick, now
        self.hand = 0  # ticks passed
        self.count = 0
        self.levels: list[list[dict[Entry[T], None]]] = [[{} for _ in range(SLOTS)] for _ in range(LEVELS)]

    def __len__(self) -> int:
        return self.count

    def put(self, at: float, item: T) -> Entry[T]:
        """Put in an item that is due at that time; one that is past comes with the next advance."""
        ticks = -int(-(at - self.start) // self.tick)  # rounded up
        entry = Entry(max(ticks, self.hand + 1), item)
        self._place(entry)
        self.count += 1
        return entry

    def cancel(self, entry: Entry[T]) -> bool:
        """Take an item out; returns whether it was still in."""
        if entry.slot is None:
            return False
        del entry.slot[entry]
        entry.slot = None
        self.count -= 1
        return True

    def advance(self, now: float) -> Iterator[T]:
        """Yield what has come due by now, by ticks. A long sleep costs its ticks, or nothing if empty."""
        target = int((now - self.start) / self.tick)
        while self.hand < target:
            if not self.count:
                self.hand = target
                return
            self.hand += 1
            self._come_down()
            slot = self.levels[0][self.hand % SLOTS]
            while slot:
                entry, _ = slot.popitem()
                entry.slot = None
                self.count -= 1
                yield entry.item

    def next_due(self) -> float | None:
        """A time by which nothing is due yet, or the earliest due time; None where the wheel is empty."""
        if not self.count:
            return None
        for level in range(LEVELS):
            span = SLOTS**level
            for step in range(1, SLOTS + 1):
                if self.levels[level][(self.hand // span + step) % SLOTS]:
                    return self.start + (self.hand // span + step) * span * self.tick
        return None

    def _place(self, entry: Entry[T]) -> None:
        ahead = entry.at - self.hand
        level, span = 0, 1
        while level < LEVELS - 1 and ahead >= SLOTS * span:
            level, span = level + 1, span * SLOTS
        at = min(entry.at, self.hand + (SLOTS - 1) * span) if level == LEVELS - 1 else entry.at
        slot = self.levels[level][(at // span) % SLOTS]
        slot[entry] = None
        entry.slot = slot

    def _come_down(self) -> None:
        span = SLOTS
        for level in range(1, LEVELS):
            if self.hand % span:
                return
            slot = self.levels[level][(self.hand // span) % SLOTS]
            moving = list(slot)
            slot.clear()
            for entry in moving:
                if entry.at <= self.hand:
                    entry.at = self.hand
                    due = self.levels[0][self.hand % SLOTS]
                    due[entry] = None
                    entry.slot = due
                else:
                    self._place(entry)
            span *= SLOTS
