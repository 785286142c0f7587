"""Which endpoint holds an open cursor, under an id of the proxy's own.

Endpoints number their cursors independently, so two may use the same id: clients see ids drawn here, and an
id that was not given out, is closed, or belongs to another namespace finds nothing. The table is bounded and
idle cursors expire; whatever is evicted is returned, so that its endpoint can be told to close it.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

ID_BITS = 62  # positive in BSON's 64-bit integer, and not 0: the lowest bit is always set


@dataclass(slots=True, frozen=True)
class Cursor:
    """An open cursor: the client's id, the endpoint's, and who holds it."""

    id: int
    endpoint: int
    endpoint_cursor_id: int
    namespace: str
    last_used: float  # s of the clock


class CursorTable:
    """All open cursors of one proxy instance, the least recently used first.

    `capacity` counts cursors; `idle_timeout` is in seconds.
    """

    def __init__(self, capacity: int, idle_timeout: float, seed: int) -> None:
        """Make an empty table; `seed` decides the ids."""
        self.capacity = capacity
        self.idle_timeout = idle_timeout
        self.random = random.Random(seed)
        self.cursors: OrderedDict[int, Cursor] = OrderedDict()

    def open(
        self, endpoint: int, endpoint_cursor_id: int, namespace: str, now: float
    ) -> tuple[Cursor, list[Cursor]]:
        """Add a cursor that an endpoint opened; returns it, and those evicted for it."""
        evicted = self.expire(now)
        while len(self.cursors) >= self.capacity:
            evicted.append(self.cursors.popitem(last=False)[1])
        cursor = Cursor(self._draw_id(), endpoint, endpoint_cursor_id, namespace, now)
        self.cursors[cursor.id] = cursor
        return cursor, evicted

    def _draw_id(self) -> int:
        cursor_id = self.random.getrandbits(ID_BITS) | 1
        while cursor_id in self.cursors:
            cursor_id = self.random.getrandbits(ID_BITS) | 1
        return cursor_id

    def use(self, cursor_id: int, namespace: str, now: float) -> Cursor | None:
        """Find a cursor for its next batch and count it as used; None where there is none of that id."""
        cursor = self.cursors.get(cursor_id)
        if cursor is None or cursor.namespace != namespace or now - cursor.last_used > self.idle_timeout:
            return None
        cursor = replace(cursor, last_used=now)
        self.cursors[cursor_id] = cursor
        self.cursors.move_to_end(cursor_id)
        return cursor

    def close(self, cursor_id: int) -> Cursor | None:
        """Close one cursor; returns it if it was open."""
        return self.cursors.pop(cursor_id, None)

    def close_where(self, matches: Callable[[Cursor], bool]) -> list[Cursor]:
        """Close all that match, as when an endpoint is lost and their rest cannot be read any more."""
        closed = [cursor for cursor in self.cursors.values() if matches(cursor)]
        for cursor in closed:
            del self.cursors[cursor.id]
        return closed

    def expire(self, now: float) -> list[Cursor]:
        """Close those idle for too long; returns them."""
        expired = []
        while self.cursors:
            oldest = next(iter(self.cursors.values()))
            if now - oldest.last_used <= self.idle_timeout:
                break
            expired.append(self.cursors.popitem(last=False)[1])
        return expired


def may_continue(draining_since: float | None, drain_grace: float, now: float) -> bool:
    """Whether an endpoint that drains may still be asked for the next batch of a cursor it holds.

    Times are in seconds; `draining_since` is None for an endpoint that does not drain. Half of the grace is
    left for what is in flight meanwhile.
    """
    return draining_since is None or now - draining_since < drain_grace / 2
