"""The table of open cursors: which endpoint holds each, under an id chosen by the proxy.

Endpoints number their cursors independently, so two of them may use the same id. Clients see ids drawn here;
an id that was never issued, is closed, or belongs to another namespace is not found. The table is bounded and
idle cursors expire. Evicted cursors are returned, so that they can be closed at their endpoint.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

ID_BITS = 62  # positive as a BSON 64-bit integer; never 0, since the lowest bit is always set


@dataclass(slots=True, frozen=True)
class Cursor:
    """An open cursor: its id for the client, its endpoint, and its id there."""

    id: int
    endpoint: int
    endpoint_cursor_id: int
    namespace: str
    last_used: float  # s, of the caller's clock


class CursorTable:
    """All open cursors of one proxy instance, least recently used first.

    `capacity` is the number of cursors; `idle_timeout` is in seconds.
    """

    def __init__(self, capacity: int, idle_timeout: float, seed: int) -> None:
        """Create an empty table; `seed` determines the ids."""
        self.capacity = capacity
        self.idle_timeout = idle_timeout
        self.random = random.Random(seed)
        self.cursors: OrderedDict[int, Cursor] = OrderedDict()

    def open(
        self, endpoint: int, endpoint_cursor_id: int, namespace: str, now: float
    ) -> tuple[Cursor, list[Cursor]]:
        """Add a cursor that an endpoint opened; return it and the cursors evicted for it."""
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
        """Find a cursor for its next batch and mark it as used; return None if it is not found."""
        cursor = self.cursors.get(cursor_id)
        if cursor is None or cursor.namespace != namespace or now - cursor.last_used > self.idle_timeout:
            return None
        cursor = replace(cursor, last_used=now)
        self.cursors[cursor_id] = cursor
        self.cursors.move_to_end(cursor_id)
        return cursor

    def close(self, cursor_id: int) -> Cursor | None:
        """Close a cursor; return it if it was open."""
        return self.cursors.pop(cursor_id, None)

    def close_where(self, matches: Callable[[Cursor], bool]) -> list[Cursor]:
        """Close and return all matching cursors, for example of a lost endpoint that cannot continue them."""
        closed = [cursor for cursor in self.cursors.values() if matches(cursor)]
        for cursor in closed:
            del self.cursors[cursor.id]
        return closed

    def expire(self, now: float) -> list[Cursor]:
        """Close and return the cursors that were idle for too long."""
        expired = []
        while self.cursors:
            oldest = next(iter(self.cursors.values()))
            if now - oldest.last_used <= self.idle_timeout:
                break
            expired.append(self.cursors.popitem(last=False)[1])
        return expired


def may_continue(draining_since: float | None, drain_grace: float, now: float) -> bool:
    """Return whether the next batch of a cursor may still be requested from its endpoint.

    Times are in seconds; `draining_since` is None for an endpoint that is not draining. Half of the grace
    period is kept for requests already in flight.
    """
    return draining_since is None or now - draining_since < drain_grace / 2
