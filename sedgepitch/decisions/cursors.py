"""Which member holds an open cursor, under an id of the driver's own.

Members number their cursors alone, so two may give the same id: clients see ids drawn here, and an id that
was not given out, has ended, or belongs to another name space finds nothing. The table is bounded and idle
cursors end; whoever is put out is named, so that the member can be told to close it.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Cursor:
    """An open cursor: the client's id, the member's, and who holds it."""

    id: int
    endpoint: int
    member_id: int
    namespace: str
    used: float


class CursorTable:
    """All open cursors of one driver, least lately used first."""

    def __init__(self, most: int, idle: float, seed: int) -> None:
        self.most, self.idle = most, idle
        self.random = random.Random(seed)
        self.cursors: OrderedDict[int, Cursor] = OrderedDict()

    def opened(
        self, endpoint: int, member_id: int, namespace: str, now: float
    ) -> tuple[Cursor, list[Cursor]]:
        """Take a cursor that a member opened; returns it, and those that had to end for it."""
        ended = self.expire(now)
        while len(self.cursors) >= self.most:
            ended.append(self.cursors.popitem(last=False)[1])
        number = self.random.getrandbits(62) | 1
        while number in self.cursors:
            number = self.random.getrandbits(62) | 1
        cursor = Cursor(number, endpoint, member_id, namespace, now)
        self.cursors[number] = cursor
        return cursor, ended

    def use(self, number: int, namespace: str, now: float) -> Cursor | None:
        """Find a cursor for its next batch and count it as used; None where there is none of that id."""
        cursor = self.cursors.get(number)
        if cursor is None or cursor.namespace != namespace or now - cursor.used > self.idle:
            return None
        cursor = Cursor(cursor.id, cursor.endpoint, cursor.member_id, cursor.namespace, now)
        self.cursors[number] = cursor
        self.cursors.move_to_end(number)
        return cursor

    def close(self, number: int) -> Cursor | None:
        """End one cursor; returns it if it was open."""
        return self.cursors.pop(number, None)

    def end_where(self, gone: Callable[[Cursor], bool]) -> list[Cursor]:
        """End all that the test names, as when a member is lost: what is left of them is not to be had."""
        ended = [c for c in self.cursors.values() if gone(c)]
        for cursor in ended:
            del self.cursors[cursor.id]
        return ended

    def expire(self, now: float) -> list[Cursor]:
        """End those idle for too long."""
        ended = []
        while self.cursors:
            oldest = next(iter(self.cursors.values()))
            if now - oldest.used <= self.idle:
                break
            ended.append(self.cursors.popitem(last=False)[1])
        return ended


def may_go_on(drained_at: float | None, grace: float, now: float) -> bool:
    """Whether a member told to drain at that time may still be sent the next batch of a cursor it holds."""
    return drained_at is None or now - drained_at < grace / 2  # half, for what is under way meanwhile
