"""Follows the platform's discovery: opens and closes watch connections, and passes on each list version.

Which streams are held is decided by `decisions/discovery/watch_streams.py`; what a version means by
`decisions/discovery/list_versions.py`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from sedgepitch.core.types import Clock
from sedgepitch.decisions.discovery.list_versions import Address, ListVersion
from sedgepitch.decisions.discovery.watch_streams import NEVER, WatchStreams
from sedgepitch.discovery.errors import MalformedListError
from sedgepitch.discovery.list_format import read_version
from sedgepitch.discovery.watch_connection import WatchConnection
from sedgepitch.net.twisted_types import Reactor


class DiscoveryClient:
    """The watch streams of one proxy instance.

    `unix_offset` is Unix time minus the monotonic clock, in seconds. `held_revision` returns the revision
    from which changes are requested. `on_version` gets each version, `on_lost` the reason of each lost or
    silent stream.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        address: Address,
        unix_offset: float,
        held_revision: Callable[[], int],
        on_version: Callable[[ListVersion], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.address = address
        self.unix_offset = unix_offset
        self.held_revision = held_revision
        self.on_version = on_version
        self.on_lost = on_lost
        self.streams: WatchStreams[WatchConnection] = WatchStreams()
        self.needs_complete_list = False  # after a malformed object, until a complete list has come
        self.stopped = False
        self._timer: Any = None

    def start(self) -> None:
        """Open the first watch stream."""
        self._check(self.clock.now())

    def move(self, address: Address) -> None:
        """Follow discovery at another address; the active stream stays until one there has sent something."""
        if self.stopped:
            return
        self.address = address
        self._close(self.streams.source_moved())
        self._check(self.clock.now())

    def stop(self) -> None:
        """Close all streams for good."""
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._close(self.streams.all())

    # What watch connections report (WatchObserver)

    def response_started(self, watch: WatchConnection) -> None:
        """Record that the source accepted a watch."""
        self.streams.response_started(watch, self.clock.now())

    def object_received(self, watch: WatchConnection, data: bytes) -> None:
        """Parse one object and pass it on. Raises MalformedListError."""
        if self.stopped or not self.streams.holds(watch):
            return
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError):
            raise MalformedListError("discovery: not JSON") from None
        version = read_version(raw, self.unix_offset)
        self.heartbeat(watch)
        if version.complete:
            self.needs_complete_list = False
        self.on_version(version)

    def heartbeat(self, watch: WatchConnection) -> None:
        """Record that a stream lives, and close those that it replaces."""
        self._close(self.streams.heartbeat(watch, self.clock.now()))
        if not self.stopped:
            self._schedule_check()

    def partial_object(self, watch: WatchConnection, begun: bool) -> None:
        """Record that part of an object came."""
        now = self.clock.now()
        if begun:
            watch.object_began_at = now
        self.streams.partial_object(watch, watch.object_began_at, now)

    def malformed(self) -> None:
        """Request the complete list next time, since a change may have been missed."""
        self.needs_complete_list = True

    def lost(self, watch: WatchConnection, reason: str) -> None:
        """Record the loss of a stream that was held."""
        if self.stopped or not self.streams.holds(watch):
            return
        self.streams.lost(watch, self.clock.now())
        self.on_lost(reason)
        self._schedule_check()

    # When to open the next stream

    def _close(self, watches: list[WatchConnection]) -> None:
        for watch in watches:
            watch.close()

    def _schedule_check(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        open_at = self.streams.next_open_at()
        if open_at < NEVER:
            self._timer = self.clock.call_later(max(0.0, open_at - self.clock.now()), self._timer_expired)

    def _timer_expired(self) -> None:
        """Read what has arrived before the silence up to now is judged."""
        self.clock.after_reading(self._check, self.clock.now())

    def _check(self, judged_at: float) -> None:
        """Open a stream if one was due at `judged_at`, and schedule the next check."""
        if self.stopped:
            return
        now = self.clock.now()
        if self.streams.should_open(judged_at):
            if self.streams.open_at == NEVER:
                self.on_lost("discovery is silent")
            revision = 0 if self.needs_complete_list else self.held_revision()
            watch = WatchConnection(self, self.address, revision)
            self._close(self.streams.opened(watch, now))
            watch.open(self.reactor)
        self._schedule_check()
