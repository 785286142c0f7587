"""Which client connections are kept, and which goes: by what each has said and asked, and since when.

A connection is silent until its first bytes, talking while something of it is unfinished, resting while it
has nothing to do, and otherwise busy: then it is never closed for room. Four rules, each against a symptom:

* Who says nothing, or half of something, goes after TALK_WITHIN; who does not take an answer, after
  TAKE_WITHIN. Counted from when it began, so that a byte now and then does not help.
* Only RESTING of those that there is room for may rest; the one resting longest goes at once. Against clients
  that ask once and keep their connection for good, which leaves no room here or where they come from. May
  hurt one that asks again and has to connect anew.
* Where there is no room at all: one silent for longer than SPARED, else the one resting longest, else the
  oldest silent one. Against connections by the hundreds; may hurt a client slow to say its first word.
* Whoever is busy stays, and with nobody else there the newcomer is the one that goes.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

TALK_WITHIN = 2.0  # s to say the first word, or to end what has been begun
TAKE_WITHIN = 5.0  # s to take an answer
SPARED = 0.5  # s in which one that has said nothing yet does not go before those that rest
RESTING = 0.33  # of the connections that there is room for


class ClientConnections(Generic[Key]):
    """The connections of one listener. Pure: time is passed in, in seconds; `most` is the room for them."""

    __slots__ = ("clogged", "evicted", "most", "overdue", "resting", "silent", "talking")

    def __init__(self, most: int) -> None:
        self.most = most
        self.silent: OrderedDict[Key, float] = OrderedDict()  # all by since when, the oldest first
        self.talking: OrderedDict[Key, float] = OrderedDict()
        self.clogged: OrderedDict[Key, float] = OrderedDict()
        self.resting: OrderedDict[Key, float] = OrderedDict()
        self.evicted = self.overdue = 0

    def came(self, key: Key, now: float) -> None:
        """A connection has been accepted."""
        self.silent[key] = now

    def spoke(self, key: Key) -> None:
        """Bytes came; of one that was silent the time goes on counting."""
        since = self.silent.pop(key, None)
        if since is not None:
            self.talking[key] = since

    def unfinished(self, key: Key, now: float) -> None:
        """Something of it has come that is not whole."""
        self.resting.pop(key, None)
        if key not in self.silent:
            self.talking.setdefault(key, now)

    def busy(self, key: Key) -> None:
        """It is owed an answer."""
        self.talking.pop(key, None)
        self.resting.pop(key, None)

    def rests(self, key: Key, now: float) -> Key | None:
        """It has nothing to do; returns the one that goes for it, if one has to."""
        self.busy(key)
        self.resting[key] = now
        if len(self.resting) <= RESTING * self.most:
            return None
        return self._goes(self.resting)

    def stuck(self, key: Key, now: float) -> None:
        """It does not take its answer."""
        self.clogged.setdefault(key, now)

    def unstuck(self, key: Key) -> None:
        """It has taken all."""
        self.clogged.pop(key, None)

    def left(self, key: Key) -> None:
        """It is gone, or is being ended: nothing more is judged of it."""
        for table in (self.silent, self.talking, self.clogged, self.resting):
            table.pop(key, None)

    def make_room(self, now: float) -> Key | None:
        """Return who goes where there is no room, None where all are busy."""
        first = next(iter(self.silent.values()), now)
        if now - first > SPARED or not self.resting:
            return self._goes(self.silent) if self.silent else None
        return self._goes(self.resting)

    def too_slow(self, now: float) -> list[Key]:
        """Return those whose time to speak or to take is over; they are forgotten here."""
        found: list[Key] = []
        for table, within in (
            (self.silent, TALK_WITHIN),
            (self.talking, TALK_WITHIN),
            (self.clogged, TAKE_WITHIN),
        ):
            while table and now - next(iter(table.values())) >= within:
                found.append(table.popitem(last=False)[0])
        self.overdue += len(found)
        return found

    def _goes(self, table: OrderedDict[Key, float]) -> Key:
        key, _ = table.popitem(last=False)
        self.evicted += 1
        return key
