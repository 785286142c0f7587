"""Which watches on the member list are held, when another is opened beside them, and when one is let go.

A watch is a connection that the source says something on as long as it lives: at least a sign of life each
BEAT. The one that spoke last is `heard`; those opened since, which have not spoken yet, wait in `fresh`. The
rule of this file: what can hear is let go only for one that has spoken, so there is no moment between.

=============  ===============================================================================================
event          effect
=============  ===============================================================================================
silence        nothing on `heard` for QUIET beats: another is opened beside it, from the version held
no word        the newest of `fresh` is not answered within ANSWER_WITHIN, or was and is silent for as long as
               `heard` may be: another is opened; where FRESH wait
               already the oldest goes, so a source that is down is asked steadily and by few
spoke          one of `fresh` becomes `heard`; the one before and those opened earlier go
lost           with another still waiting nothing more is opened; else one is, at once where the lost one had
               lived for a beat, else after a pause that doubles from PAUSE[0] to PAUSE[1]
moved          the source is elsewhere: another is opened there at once, `heard` stays until it has spoken
=============  ===============================================================================================

A silence is judged only once all that lies unread has been read, so this driver's own pause is not taken for
the source's; its owner sees to that. May hurt: a source that is slow rather than silent gets a second watch.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

BEAT = 2.0  # s; the platform's page: as long as nothing changes, an empty line comes every 2 s
QUIET = 1.5  # beats without a byte after which a watch is taken for broken; the page counts three
ANSWER_WITHIN = 1.0  # s; the source stands on this machine and answers at once, so more is no answer
FRESH = 2  # watches at most that were opened and have not spoken
PAUSE = (0.05, 0.4)  # s between a loss and the next opening: at first, and at most
NEVER = float("inf")


@dataclass(slots=True)
class _Held:
    opened: float
    heard: float  # the last sign of life; the opening before there was one
    within: float  # s from there in which the next one is expected


class WatchStreams(Generic[Key]):
    """The watches of one source. Pure: time is passed in, in seconds; keys are the owner's connections.

    The owner opens one whenever `opens` says so, and closes what `spoke`, `opened` and `moved` return.
    """

    __slots__ = ("_held", "_pause", "fresh", "heard", "open_at")

    def __init__(self) -> None:
        self.heard: Key | None = None
        self.fresh: list[Key] = []  # the oldest first
        self._held: dict[Key, _Held] = {}
        self._pause = 0.0
        self.open_at = -NEVER  # when the next one is to be opened; NEVER while those held are enough

    def holds(self, key: Key) -> bool:
        """Whether what this one says counts."""
        return key in self._held

    def opens(self, now: float) -> bool:
        """Whether one is to be opened now."""
        return now >= self.due()

    def due(self) -> float:
        """When the next one is to be opened, if nothing comes before; now or earlier is at once."""
        if self.open_at < NEVER:
            return self.open_at  # where `heard` is silent, too: one that refuses is not asked without end
        if self.fresh:
            newest = self._held[self.fresh[-1]]
            return newest.heard + newest.within
        if self.heard is None:
            return NEVER
        return self._held[self.heard].heard + QUIET * BEAT

    def opened(self, key: Key, now: float) -> list[Key]:
        """One is being opened; returns those that go for it."""
        self.open_at = NEVER
        self._held[key] = _Held(now, now, ANSWER_WITHIN)
        self.fresh.append(key)
        return self._let_go(self.fresh[:-FRESH])

    def answered(self, key: Key, now: float) -> None:
        """It was told that it will be served; where nothing has changed the first word is a beat away."""
        held = self._held.get(key)
        if held is not None:
            held.heard, held.within = now, QUIET * BEAT

    def sign(self, key: Key, now: float) -> list[Key]:
        """It said something; returns those that go, now that this one is heard."""
        held = self._held.get(key)
        if held is None:
            return []
        held.heard = now
        if key is self.heard:
            return []
        before = [] if self.heard is None else [self.heard]
        before += self.fresh[: self.fresh.index(key)]
        self.heard = key
        self.fresh.remove(key)
        return self._let_go(before)

    def stirs(self, key: Key, since: float, now: float) -> None:
        """Part of something has come, begun at `since`: a sign for as long as a silence may last."""
        held = self._held.get(key)
        if held is not None and now - since < QUIET * BEAT:
            held.heard = now

    def lost(self, key: Key, now: float) -> None:
        """It ended, or could not be opened, or said what cannot be read."""
        held = self._held.pop(key, None)
        if held is None:
            return
        spoke = key is self.heard
        if spoke:
            self.heard = None
        else:
            self.fresh.remove(key)
        if self.fresh:
            return  # another can hear, and is looked after in its own time
        if spoke and now - held.opened >= BEAT:
            self._pause = 0.0
        self.open_at = min(self.open_at, now + self._pause)
        self._pause = min(max(PAUSE[0], 2.0 * self._pause), PAUSE[1])

    def moved(self) -> list[Key]:
        """The source is elsewhere; returns those that have not spoken, which wait at the wrong place."""
        self.open_at, self._pause = -NEVER, 0.0
        return self._let_go(list(self.fresh))

    def all(self) -> list[Key]:
        """All that are held."""
        return list(self._held)

    def _let_go(self, keys: list[Key]) -> list[Key]:
        for key in keys:
            del self._held[key]
            if key in self.fresh:
                self.fresh.remove(key)
        return keys
