"""Client of the platform's discovery service: manages watch connections and forwards each list version.

`decisions/discovery/watch_streams.py` decides which streams to keep open, and
`decisions/discovery/list_versions.py` interprets the versions.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from sedgepitch.core.types import Clock
from sedgepitch.decisions.discovery.list_versions import Address, ListVersion
from sedgepitch.decisions.discovery.watch_streams import NEVER, WatchStreams
from sedgepitch.discovery.errors import MalformedListError, MissedChangesError
from sedgepitch.discovery.list_format import read_version
from sedgepitch.discovery.watch_connection import WatchConnection
from sedgepitch.net.twisted_types import Reactor


class DiscoveryClient:
    """The watch streams of one proxy instance.

    `unix_offset` is Unix time minus the monotonic clock, in seconds. `held_revision` returns the revision of
    the current list, after which changes are requested. `on_version` is called with each version, `on_lost`
    with the reason when a stream is lost or silent.
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
        self.streams: WatchStreams[WatchConnection] = WatchStreams(address)
        self.needs_complete_list = False  # set by a malformed object, until a complete list has arrived
        self.stopped = False
        self._timer: Any = None

    def start(self) -> None:
        """Open the first watch stream."""
        self._check(self.clock.now())

    def set_address(self, address: Address) -> None:
        """Switch to another address; present streams stay open until a stream from there has sent data."""
        if self.stopped:
            return
        self.address = address
        self.streams.source_moved(address)
        self._check(self.clock.now())

    def stop(self) -> None:
        """Close all streams permanently."""
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()
        self._close(self.streams.all())

    # Reports of the watch connections (WatchObserver)

    def bytes_received(self, watch: WatchConnection) -> None:
        """Record that bytes of a response arrived."""
        self.streams.bytes_received(watch, self.clock.now())

    def response_started(self, watch: WatchConnection) -> None:
        """Record that discovery accepted a watch."""
        self.streams.response_started(watch, self.clock.now())

    def object_received(self, watch: WatchConnection, data: bytes) -> None:
        """Parse one object and forward its version. Raises MalformedListError and MissedChangesError."""
        if self.stopped or not self.streams.in_use(watch):
            return
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError):
            raise MalformedListError("discovery: not JSON") from None
        version = read_version(raw, self.unix_offset)
        self._check_sequence(watch, version)
        watch.revision = version.revision
        self.heartbeat(watch)
        from_former_address = not self.streams.in_use(watch)  # beside a stream at the present one
        if from_former_address and version.revision <= self.held_revision():
            return
        if version.complete:
            self.needs_complete_list = False
        self.on_version(version)

    def _check_sequence(self, watch: WatchConnection, version: ListVersion) -> None:
        """Raise an error for changes that do not continue the list held or what their watch sent before.

        MissedChangesError if they follow a newer revision than the one held, since a list from another watch
        set that one back. MalformedListError if they are older than what they should follow, since the source
        counts its revisions anew.
        """
        if version.complete:
            return
        if version.revision < watch.revision:
            raise MalformedListError(f"discovery: revision {version.revision} after {watch.revision}")
        held_revision = self.held_revision()
        if watch.revision > held_revision:
            raise MissedChangesError(
                f"discovery: changes after {watch.revision} while {held_revision} is held"
            )

    def heartbeat(self, watch: WatchConnection) -> None:
        """Record a heartbeat of a stream and close the streams that it replaces."""
        self._close(self.streams.heartbeat(watch, self.clock.now()))
        if not self.stopped:
            self._schedule_check()

    def partial_object(self, watch: WatchConnection, begun: bool) -> None:
        """Record that part of an object arrived."""
        now = self.clock.now()
        if begun:
            watch.object_began_at = now
        self.streams.partial_object(watch, watch.object_began_at, now)

    def malformed(self) -> None:
        """Request the complete list with the next watch, since changes may have been missed."""
        self.needs_complete_list = True

    def lost(self, watch: WatchConnection, reason: str) -> None:
        """Record the loss of a stream that is still in use."""
        if self.stopped or not self.streams.in_use(watch):
            return
        if self.streams.lost(watch, self.clock.now()):
            self.on_lost(reason)
        self._schedule_check()

    # Scheduling of the next stream

    def _close(self, watches: list[WatchConnection]) -> None:
        for watch in watches:
            watch.close()

    def _schedule_check(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        delay_s = max(0.0, self.streams.next_open_at() - self.clock.now())
        self._timer = self.clock.call_later(delay_s, self._timer_expired)

    def _timer_expired(self) -> None:
        """Process received data before checking for silence up to now."""
        self.clock.after_reading(self._check, self.clock.now())

    def _check(self, evaluated_at: float) -> None:
        """Open a stream if one was due at `evaluated_at`, and schedule the next check."""
        if self.stopped:
            return
        now = self.clock.now()
        if self.streams.should_open(evaluated_at):
            if self.streams.silent_at() > -NEVER:  # else a start, a loss or a move
                self.on_lost("discovery is silent")
            revision = 0 if self.needs_complete_list else self.held_revision()
            watch = WatchConnection(self, self.address, revision)
            self._close(self.streams.opened(watch, now))
            watch.open(self.reactor)
        self._schedule_check()
