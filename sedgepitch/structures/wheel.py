"""A hierarchical timing wheel: items due at times, put in and taken out in constant time.

Source: Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (1987), scheme 7. Level n has SLOTS
slots of SLOTS**n ticks each; an item sits in the finest level that reaches its time and moves down as the
time comes near. Compared with a heap, cancelling needs no search and leaves nothing behind.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

SLOTS = 64  # of each level
LEVELS = 4

T = TypeVar("T")


class WheelEntry(Generic[T]):
    """One item in a wheel; what `TimingWheel.put` returns."""

    __slots__ = ("due_tick", "item", "slot")

    def __init__(self, due_tick: int, item: T) -> None:
        """Make an entry that is in no slot yet."""
        self.due_tick = due_tick
        self.item = item
        self.slot: dict[WheelEntry[T], None] | None = None


class TimingWheel(Generic[T]):
    """Items by due time, in ticks of `tick` seconds. No item comes early, and none more than a tick late."""

    def __init__(self, tick: float, now: float) -> None:
        """Start empty, with the first tick at `now`."""
        self.tick = tick
        self.start = now
        self.ticks_passed = 0
        self.count = 0
        self.levels: list[list[dict[WheelEntry[T], None]]] = [
            [{} for _ in range(SLOTS)] for _ in range(LEVELS)
        ]

    def __len__(self) -> int:
        """Return how many items are in."""
        return self.count

    def put(self, due: float, item: T) -> WheelEntry[T]:
        """Put in an item that is due at that moment; one that is past comes with the next advance."""
        due_tick = -int(-(due - self.start) // self.tick)  # rounded up
        entry = WheelEntry(max(due_tick, self.ticks_passed + 1), item)
        self._place(entry)
        self.count += 1
        return entry

    def cancel(self, entry: WheelEntry[T]) -> bool:
        """Take an item out; returns whether it was still in."""
        if entry.slot is None:
            return False
        del entry.slot[entry]
        entry.slot = None
        self.count -= 1
        return True

    def advance(self, now: float) -> Iterator[T]:
        """Yield what has come due by now, in ticks. Costs the ticks that passed, or nothing if empty."""
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
        """Return a moment by which nothing is due, or the earliest due one; None where it is empty."""
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
        """Put an entry into the finest level that reaches its time; the coarsest takes all that is beyond."""
        ahead = entry.due_tick - self.ticks_passed
        level = 0
        ticks_per_slot = 1
        while level < LEVELS - 1 and ahead >= SLOTS * ticks_per_slot:
            level += 1
            ticks_per_slot *= SLOTS
        tick = entry.due_tick
        if level == LEVELS - 1:
            tick = min(tick, self.ticks_passed + (SLOTS - 1) * ticks_per_slot)
        slot = self.levels[level][(tick // ticks_per_slot) % SLOTS]
        slot[entry] = None
        entry.slot = slot

    def _move_down(self) -> None:
        """Move the entries of each coarser slot that begins with this tick to finer levels."""
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
