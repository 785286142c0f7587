"""The ids of requests that may have taken effect, so that none takes effect twice.

A client gives each request a new id. If an id comes again, also on another connection and after its first
client has left, it is not a new request: executing it could repeat its effect. An id is remembered for a
limited time, and only the latest IDS_MAX of them, so that no client can fill the memory with names.
"""

from __future__ import annotations

from collections import OrderedDict

RETENTION_S = 30.0
IDS_MAX = 4096


class RecentRequestIds:
    """The ids of one listener. Pure: times are passed in, in seconds of one clock."""

    __slots__ = ("_ids",)

    def __init__(self) -> None:
        """Start with no id."""
        self._ids: OrderedDict[bytes, float] = OrderedDict()  # with the end of each request, oldest first

    def __len__(self) -> int:
        """Return how many ids are remembered."""
        return len(self._ids)

    def add(self, request_id: bytes, now: float) -> None:
        """Remember the id of a request that may have taken effect and has ended."""
        self._ids[request_id] = now
        self._ids.move_to_end(request_id)
        while len(self._ids) > IDS_MAX or now - next(iter(self._ids.values())) > RETENTION_S:
            self._ids.popitem(last=False)

    def contains(self, request_id: bytes, now: float) -> bool:
        """Return whether a request of this id may have taken effect lately."""
        ended_at = self._ids.get(request_id)
        return ended_at is not None and now - ended_at <= RETENTION_S
