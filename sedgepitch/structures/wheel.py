"""A hierarchical timing wheel: items with due times, inserted and cancelled in constant time.

Source: Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (1987), scheme 7. Level n has SLOTS
slots of SLOTS**n ticks each; an item is stored in the finest level that covers its due time, and moves to
finer levels as that time approaches. Unlike in a heap, cancelling needs no search and leaves no stale entry.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

SLOTS = 64  # per level
LEVELS = 4

T = TypeVar("T")


class WheelEntry(Generic[T]):
    """One item in a wheel, as returned by `TimingWheel.put`."""

    __slots__ = ("due_tick", "item", "slot")

    def __init__(self, due_tick: int, item: T) -> None:
        """Create an entry that is not in a slot yet."""
        self.due_tick = due_tick
        self.item = item
        self.slot: dict[WheelEntry[T], None] | None = None


class TimingWheel(Generic[T]):
    """Items by due time, in ticks of `tick` seconds. An item is never early, and at most one tick late."""

    def __init__(self, tick: float, now: float) -> None:
        """Create an empty wheel that starts at `now`."""
        self.tick = tick
        self.start = now
        self.ticks_passed = 0
        self.count = 0
        self.levels: list[list[dict[WheelEntry[T], None]]] = [
            [{} for _ in range(SLOTS)] for _ in range(LEVELS)
        ]

    def __len__(self) -> int:
        """Return the number of items."""
        return self.count

    def put(self, due: float, item: T) -> WheelEntry[T]:
        """Insert an item that is due at `due`; an overdue item is due at the next tick."""
        due_tick = -int(-(due - self.start) // self.tick)  # rounded up
        entry = WheelEntry(max(due_tick, self.ticks_passed + 1), item)
        self._place(entry)
        self.count += 1
        return entry

    def cancel(self, entry: WheelEntry[T]) -> bool:
        """Remove an item; return whether it was still in the wheel."""
        if entry.slot is None:
            return False
        del entry.slot[entry]
        entry.slot = None
        self.count -= 1
        return True

    def advance(self, now: float) -> Iterator[T]:
        """Yield the items due by `now`, tick by tick.

        The cost is proportional to the ticks that have passed, and constant if the wheel is empty.
        """
        target = int((now - self.start) / self.tick)
        while self.ticks_passed < target:
            if not self.count:
                self.ticks_passed = target
                return
            self.ticks_passed += 1
            self._move_down()
            slot = self.levels[0][self.ticks_passed % SLOTS]
            while slot:
                entry, _ = slot.popitem()
                entry.slot = None
                self.count -= 1
                yield entry.item

    def next_due(self) -> float | None:
        """Return the earliest due time, or an earlier time before which nothing is due; None if empty."""
        if not self.count:
            return None
        ticks_per_slot = 1
        for slots in self.levels:
            for step in range(1, SLOTS + 1):
                slot = self.ticks_passed // ticks_per_slot + step
                if slots[slot % SLOTS]:
                    return self.start + slot * ticks_per_slot * self.tick
            ticks_per_slot *= SLOTS
        return None

    def _place(self, entry: WheelEntry[T]) -> None:
        """Put an entry into the finest level that covers its due time, or into the coarsest if none does."""
        ticks_left = entry.due_tick - self.ticks_passed
        level = 0
        ticks_per_slot = 1
        while level < LEVELS - 1 and ticks_left >= SLOTS * ticks_per_slot:
            level += 1
            ticks_per_slot *= SLOTS
        tick = entry.due_tick
        if level == LEVELS - 1:
            tick = min(tick, self.ticks_passed + (SLOTS - 1) * ticks_per_slot)
        slot = self.levels[level][(tick // ticks_per_slot) % SLOTS]
        slot[entry] = None
        entry.slot = slot

    def _move_down(self) -> None:
        """Move the entries of each coarser slot that starts at this tick to finer levels."""
        ticks_per_slot = SLOTS
        for level in range(1, LEVELS):
            if self.ticks_passed % ticks_per_slot:
                return
            slot = self.levels[level][(self.ticks_passed // ticks_per_slot) % SLOTS]
            entries = list(slot)
            slot.clear()
            for entry in entries:
                if entry.due_tick <= self.ticks_passed:
                    entry.due_tick = self.ticks_passed
                    due = self.levels[0][self.ticks_passed % SLOTS]
                    due[entry] = None
                    entry.slot = due
                else:
                    self._place(entry)
            ticks_per_slot *= SLOTS
