"""Limits on client connections: which are closed for being slow or idle, or to make room for a new one.

==========================  ================================================================================
state of a connection       meaning
==========================  ================================================================================
awaiting first byte         accepted; nothing has arrived yet
receiving                   part of a message or handshake has arrived
idle                        no message is incomplete and no response is pending
processing (no table)       a response is pending; never closed to make room
==========================  ================================================================================

Write-blocked is independent of these states: the client does not read its response.

There are four rules:

* Timeouts. A connection that completes nothing within RECEIVE_TIMEOUT_S, or leaves its response unread for
  WRITE_TIMEOUT_S, is closed. The time counts from the start of the state, so single bytes do not extend it.
* Idle limit. At most MAX_IDLE_SHARE of the permitted connections may be idle; beyond it the longest idle one
  is closed. Otherwise clients that keep a connection after one request use up descriptors on both sides.
* Eviction. To make room, the first choice is a connection that has awaited its first byte for more than
  FIRST_BYTE_GRACE_S, then the longest idle one, then the oldest one that awaits its first byte.
* A processing connection is never evicted. If all are processing, the new connection is closed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

RECEIVE_TIMEOUT_S = 2.0  # until the first byte, and until a message is complete
WRITE_TIMEOUT_S = 5.0  # until the client has read its response
FIRST_BYTE_GRACE_S = 0.5  # after the accept; until then idle connections are evicted first
MAX_IDLE_SHARE = 0.33  # of the permitted connections


class ClientConnections(Generic[Key]):
    """The connections of one listener, by state.

    Performs no I/O. Times are passed in, in seconds of one monotonic clock; `max_connections` is the number
    of permitted connections. Each table maps a connection to the start of its state, oldest first.
    """

    __slots__ = (
        "awaiting_first_byte", "evicted", "idle", "max_connections", "receiving", "timed_out",
        "write_blocked",
    )  # fmt: skip

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.awaiting_first_byte: OrderedDict[Key, float] = OrderedDict()
        self.receiving: OrderedDict[Key, float] = OrderedDict()
        self.write_blocked: OrderedDict[Key, float] = OrderedDict()
        self.idle: OrderedDict[Key, float] = OrderedDict()
        self.evicted = 0  # closed by the idle limit or for a new connection, since start-up
        self.timed_out = 0  # closed by a timeout, since start-up

    def accepted(self, key: Key, now: float) -> None:
        """Record that a connection has been accepted."""
        self.awaiting_first_byte[key] = now

    def bytes_received(self, key: Key) -> None:
        """Record that bytes arrived; the timeout still counts from the accept."""
        accepted_at = self.awaiting_first_byte.pop(key, None)
        if accepted_at is not None:
            self.receiving[key] = accepted_at

    def message_incomplete(self, key: Key, now: float) -> None:
        """Record that part of a message has arrived and the rest is awaited."""
        self.idle.pop(key, None)
        if key not in self.awaiting_first_byte:
            self.receiving.setdefault(key, now)

    def request_started(self, key: Key) -> None:
        """Record that a response is pending."""
        self.receiving.pop(key, None)
        self.idle.pop(key, None)

    def became_idle(self, key: Key, now: float) -> Key | None:
        """Record that a connection became idle; return the one to close for the idle limit, if any."""
        self.receiving.pop(key, None)
        self.idle.pop(key, None)
        self.idle[key] = now
        if len(self.idle) <= MAX_IDLE_SHARE * self.max_connections:
            return None
        return self._evict_oldest(self.idle)

    def write_paused(self, key: Key, now: float) -> None:
        """Record that the client does not read its response."""
        self.write_blocked.setdefault(key, now)

    def write_resumed(self, key: Key) -> None:
        """Record that the response has been written completely."""
        self.write_blocked.pop(key, None)

    def closed(self, key: Key) -> None:
        """Forget a connection that is closed or being closed."""
        for table in (self.awaiting_first_byte, self.receiving, self.write_blocked, self.idle):
            table.pop(key, None)

    def evict(self, now: float) -> Key | None:
        """Choose and forget the connection to close for a new one; return None if all are processing."""
        oldest = next(iter(self.awaiting_first_byte.values()), now)
        if now - oldest > FIRST_BYTE_GRACE_S or not self.idle:
            return self._evict_oldest(self.awaiting_first_byte) if self.awaiting_first_byte else None
        return self._evict_oldest(self.idle)

    def remove_timed_out(self, now: float) -> list[Key]:
        """Return the connections that timed out, and remove them from the table of that state."""
        found: list[Key] = []
        for table, timeout_s in (
            (self.awaiting_first_byte, RECEIVE_TIMEOUT_S),
            (self.receiving, RECEIVE_TIMEOUT_S),
            (self.write_blocked, WRITE_TIMEOUT_S),
        ):
            while table and now - next(iter(table.values())) >= timeout_s:
                found.append(table.popitem(last=False)[0])
        self.timed_out += len(found)
        return found

    def postpone_timeout(self, key: Key, now: float) -> None:
        """Have `remove_timed_out` name a connection again at its next call."""
        self.receiving[key] = now - RECEIVE_TIMEOUT_S
        self.receiving.move_to_end(key, last=False)
        self.timed_out -= 1

    def _evict_oldest(self, table: OrderedDict[Key, float]) -> Key:
        key, _ = table.popitem(last=False)
        self.evicted += 1
        return key
