"""Decides when watch streams on the endpoint list are opened and closed.

A watch stream is a connection on which the source sends changes, and a heartbeat at least every
HEARTBEAT_INTERVAL_S. The stream that sent something last is the active one. Streams opened since then that
have sent nothing yet are candidates. The invariant: an active stream is closed only after a candidate has
sent something, so that changes can arrive at any moment.

==================  ==========================================================================================
event               decision
==================  ==========================================================================================
silence             the active stream sent nothing for HEARTBEAT_TIMEOUT_S: open a candidate beside it, from
                    the present revision. If it is heard again first, no further one is opened
no response         the newest candidate got no response within its retry interval, or has been silent for
                    HEARTBEAT_TIMEOUT_S since: open another beside it. The interval doubles with each waiting
                    candidate, from RETRY_INTERVAL_MIN_S to RETRY_INTERVAL_MAX_S: a source that is down or
                    hangs is tried at a bounded rate, and one that serves call after call keeps up. Beyond
                    MAX_CANDIDATES the second oldest is closed, at an age of CANDIDATE_LIFETIME_MIN_S or more.
                    The oldest waits for as long as it takes: it is the first to be served by a source that
                    also serves what was given up. So does the oldest of those whose bytes are arriving
heartbeat           the candidate becomes active; the previous active stream and older candidates are closed.
                    Newer ones are kept, since the source may have begun to serve them, and not replaced: no
                    stream is opened until the active one is silent or lost. Those that are still without a
                    response after CANDIDATE_LIFETIME_MIN_S are closed at a heartbeat of the active stream
lost                a stream is opened after a backoff, doubling from BACKOFF_MIN_S to BACKOFF_MAX_S, but not
                    before the newest candidate's retry interval. The backoff is 0 after an active stream that
                    was open for at least HEARTBEAT_INTERVAL_S. Nothing is opened for a candidate beside an
                    active stream that needs no replacement
source moved        a candidate is opened at the new address at once, unless one waits there already. The
                    active stream and the candidates at former addresses stay until a stream at the new one
                    has sent something; beyond MAX_CANDIDATES the newest of those candidates is closed first.
                    One of them that is lost is not replaced
==================  ==========================================================================================

The owner reads the bytes that have arrived before it checks for silence, so a delay of this process is not
mistaken for silence of the source. A source that is slow cannot be told from one that hangs: it gets further
streams, but those that wait are kept.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

HEARTBEAT_INTERVAL_S = 2.0  # the platform sends an empty line every 2 s while nothing changes
MAX_SILENT_INTERVALS = 1.5  # the platform allows up to 3
HEARTBEAT_TIMEOUT_S = MAX_SILENT_INTERVALS * HEARTBEAT_INTERVAL_S
RETRY_INTERVAL_MIN_S = 1.0  # the source runs on this machine and usually answers at once
RETRY_INTERVAL_MAX_S = 2.5
MAX_CANDIDATES = 6
CANDIDATE_LIFETIME_MIN_S = 12.0  # the sum of the retry intervals of MAX_CANDIDATES but the first
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 0.4
NEVER = float("inf")


@dataclass(slots=True)
class _Stream:
    source: Hashable
    opened_at: float
    last_activity: float  # `opened_at` until something has arrived
    silence_limit_s: float  # after `last_activity`, until another candidate is opened
    bytes_at: float = -NEVER  # when bytes of any kind arrived last


class WatchStreams(Generic[Key]):
    """The watch streams of one source.

    Performs no I/O. Times are passed in, in seconds of one monotonic clock; keys are the owner's connections.
    `source` identifies the address at which streams are opened. The owner opens a stream whenever
    `should_open` is true, and closes those that `opened` and `heartbeat` return.
    """

    __slots__ = ("_backoff_s", "_searching", "_source", "_streams", "active", "candidates", "open_at")

    def __init__(self, source: Hashable = None) -> None:
        self.active: Key | None = None
        self.candidates: list[Key] = []  # oldest first
        self.open_at = -NEVER  # no stream is opened before; the end of the backoff after a loss
        self._streams: dict[Key, _Stream] = {}
        self._source = source
        self._searching = True  # no active stream, or one that is to be replaced
        self._backoff_s = 0.0

    def in_use(self, key: Key) -> bool:
        """Return whether a stream is still in use, so that its messages apply."""
        return key in self._streams

    def should_open(self, now: float) -> bool:
        """Return whether a stream should be opened now."""
        return now >= self.next_open_at()

    def next_open_at(self) -> float:
        """Return when to open the next stream if no event occurs before."""
        return max(self.open_at, self.silent_at())

    def silent_at(self) -> float:
        """Return when the stream that should be heard next counts as silent; -NEVER if there is none."""
        if self._searching or self.active is None:
            return self._newest_candidate_due_at()
        active_silent_at = self._streams[self.active].last_activity + HEARTBEAT_TIMEOUT_S
        return max(active_silent_at, self._newest_candidate_due_at())

    def opened(self, key: Key, now: float) -> list[Key]:
        """Record that a candidate is being opened; return the candidates to close in exchange."""
        self._searching = True
        self._streams[key] = _Stream(self._source, now, now, self._retry_interval_s())
        self.candidates.append(key)
        if len(self.candidates) <= MAX_CANDIDATES:
            return []
        return self._remove([self._least_useful_candidate(now)])

    def bytes_received(self, key: Key, now: float) -> None:
        """Record that bytes arrived, of the head or of the body of a response."""
        stream = self._streams.get(key)
        if stream is not None:
            stream.bytes_at = now

    def response_started(self, key: Key, now: float) -> None:
        """Record that the source accepted the watch; its first heartbeat may take a whole interval."""
        stream = self._streams.get(key)
        if stream is not None:
            stream.last_activity = now
            stream.silence_limit_s = HEARTBEAT_TIMEOUT_S

    def heartbeat(self, key: Key, now: float) -> list[Key]:
        """Record an object or an empty line, which makes this stream active; return the streams to close."""
        stream = self._streams.get(key)
        if stream is None:
            return []
        stream.last_activity = now
        if self._is_former(key) and self.active is not None and not self._is_former(self.active):
            return self._remove([key])
        self._searching = self._is_former(key)
        if key is self.active:
            return [] if self._searching else self._remove(self._unanswered_candidates(now))
        replaced = self._candidates_superseded_by(key)
        if self.active is not None:
            replaced.append(self.active)
        self.active = key
        self.candidates.remove(key)
        return self._remove(replaced)

    def partial_object(self, key: Key, started_at: float, now: float) -> None:
        """Record part of an object that began at `started_at`.

        It counts as activity for HEARTBEAT_TIMEOUT_S after that, and does not make the stream active.
        """
        stream = self._streams.get(key)
        if stream is not None and now - started_at < HEARTBEAT_TIMEOUT_S:
            stream.last_activity = now

    def lost(self, key: Key, now: float) -> bool:
        """Record that a stream ended, could not be opened, or sent malformed data.

        Return whether another stream is opened in its place, at once or after those that wait.
        """
        stream = self._streams.pop(key, None)
        if stream is None:
            return False
        was_active = key is self.active
        if was_active:
            self.active = None
            self._searching = True
        else:
            self.candidates.remove(key)
            if stream.source != self._source:
                return False  # as is to be expected of a former address
        if not self._searching:
            return False
        if was_active and now - stream.opened_at >= HEARTBEAT_INTERVAL_S:
            self._backoff_s = 0.0
        if self.open_at <= now:  # else the backoff of another loss applies
            self.open_at = now + self._backoff_s
            self._backoff_s = min(max(BACKOFF_MIN_S, 2.0 * self._backoff_s), BACKOFF_MAX_S)
        return True

    def source_moved(self, source: Hashable) -> None:
        """Record that the source is at an address from now on, which may be one that it had before."""
        self._source = source
        self._searching = True
        self._backoff_s = 0.0
        self.open_at = -NEVER

    def all(self) -> list[Key]:
        """Return all streams in use."""
        return list(self._streams)

    def _newest_candidate_due_at(self) -> float:
        """Return when to open another stream beside the newest candidate; -NEVER if there is none."""
        candidates = self._current_candidates()
        if not candidates:
            return -NEVER
        newest = self._streams[candidates[-1]]
        return newest.last_activity + newest.silence_limit_s

    def _is_former(self, key: Key) -> bool:
        """Return whether a stream was opened at a former address."""
        return self._streams[key].source != self._source

    def _current_candidates(self) -> list[Key]:
        """Return the candidates at the present address, oldest first."""
        return [key for key in self.candidates if not self._is_former(key)]

    def _candidates_superseded_by(self, heard: Key) -> list[Key]:
        """Return the older candidates, and those at former addresses if this one is at the present one."""
        older = self.candidates[: self.candidates.index(heard)]
        if self._is_former(heard):
            return [key for key in older if self._is_former(key)]
        return [key for key in self.candidates if key in older or self._is_former(key)]

    def _least_useful_candidate(self, now: float) -> Key:
        """Return the newest candidate at a former address, or else the second oldest one.

        The oldest are the first that can be answered, however fast addresses change. The oldest one whose
        bytes are arriving is kept in any case.
        """
        receiving = next((key for key in self.candidates if self._is_receiving(key, now)), None)
        closable = [key for key in self.candidates if key != receiving]
        former = [key for key in closable if self._is_former(key)]
        return former[-1] if former else closable[1]

    def _is_receiving(self, key: Key, now: float) -> bool:
        """Return whether bytes of a stream arrived lately."""
        return now - self._streams[key].bytes_at < HEARTBEAT_TIMEOUT_S

    def _unanswered_candidates(self, now: float) -> list[Key]:
        """Return the candidates that wait for longer than any response is expected to take."""
        return [
            key
            for key in self.candidates
            if now - self._streams[key].last_activity >= CANDIDATE_LIFETIME_MIN_S
            and not self._is_receiving(key, now)
        ]

    def _retry_interval_s(self) -> float:
        """Return how long to wait for the next candidate until another is opened beside it."""
        return min(RETRY_INTERVAL_MIN_S * 2.0 ** len(self._current_candidates()), RETRY_INTERVAL_MAX_S)

    def _remove(self, keys: list[Key]) -> list[Key]:
        for key in keys:
            del self._streams[key]
            if key in self.candidates:
                self.candidates.remove(key)
        return keys
