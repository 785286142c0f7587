"""Limits on client connections: which are closed for slowness, for idling, or to make room for a new one.

==========================  ================================================================================
state of a connection       meaning
==========================  ================================================================================
awaiting first byte         accepted; nothing has arrived yet
receiving                   part of a message or handshake has arrived
idle                        nothing is unfinished
processing (no table)       a response is pending; never closed to make room
==========================  ================================================================================

Write-blocked is independent of these: the client does not read its response, whatever else it does.

Four rules:

* Timeouts. A connection that completes nothing within RECEIVE_TIMEOUT_S, or leaves its response unread for
  WRITE_TIMEOUT_S, is closed. The time counts from the start of the state, so single bytes do not extend it.
* Idle limit. At most MAX_IDLE_SHARE of the permitted connections may be idle; the longest idle one is closed.
  Clients that keep a connection after one request would otherwise use up descriptors on both sides.
* Eviction. With no room left, the first choice is a connection that has awaited its first byte for more than
  FIRST_BYTE_GRACE_S, then the longest idle one, then the oldest that awaits its first byte.
* A processing connection is never evicted. If all are processing, the newcomer is closed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

RECEIVE_TIMEOUT_S = 2.0  # for the first byte, and for completing a message
WRITE_TIMEOUT_S = 5.0  # for reading a response
FIRST_BYTE_GRACE_S = 0.5  # during which idle connections are evicted before one that awaits its first byte
MAX_IDLE_SHARE = 0.33  # of the permitted connections


class ClientConnections(Generic[Key]):
    """The connections of one listener, by state.

    Performs no I/O. Times are seconds of one monotonic clock, passed in; `max_connections` is the number of
    connections permitted. Each table maps a connection to the start of its state, the oldest first.
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
        self.evicted = 0  # closed by the idle limit or for a newcomer, since the start
        self.timed_out = 0  # closed by a timeout, since the start

    def accepted(self, key: Key, now: float) -> None:
        """Record that a connection has been accepted."""
        self.awaiting_first_byte[key] = now

    def bytes_received(self, key: Key) -> None:
        """Record that bytes arrived; a timeout that runs since the accept goes on."""
        accepted_at = self.awaiting_first_byte.pop(key, None)
        if accepted_at is not None:
            self.receiving[key] = accepted_at

    def message_incomplete(self, key: Key, now: float) -> None:
        """Record that part of a message is held and its rest is awaited."""
        self.idle.pop(key, None)
        if key not in self.awaiting_first_byte:
            self.receiving.setdefault(key, now)

    def request_started(self, key: Key) -> None:
        """Record that a response is pending."""
        self.receiving.pop(key, None)
        self.idle.pop(key, None)

    def became_idle(self, key: Key, now: float) -> Key | None:
        """Record that nothing is unfinished; return the connection to close for the idle limit, if any."""
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
        """Record that all has been written."""
        self.write_blocked.pop(key, None)

    def closed(self, key: Key) -> None:
        """Forget a connection that is closed or being closed."""
        for table in (self.awaiting_first_byte, self.receiving, self.write_blocked, self.idle):
            table.pop(key, None)

    def evict(self, now: float) -> Key | None:
        """Choose the connection to close for a newcomer and forget it; None if all are processing."""
        oldest = next(iter(self.awaiting_first_byte.values()), now)
        if now - oldest > FIRST_BYTE_GRACE_S or not self.idle:
            return self._evict_oldest(self.awaiting_first_byte) if self.awaiting_first_byte else None
        return self._evict_oldest(self.idle)

    def remove_timed_out(self, now: float) -> list[Key]:
        """Return the connections whose timeout has passed, and forget the state that ran out."""
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

    def _evict_oldest(self, table: OrderedDict[Key, float]) -> Key:
        key, _ = table.popitem(last=False)
        self.evicted += 1
        return key
