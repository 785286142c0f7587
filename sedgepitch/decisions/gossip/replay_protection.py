"""Which life of each peer is spoken with, and which of its datagrams came already: pure.

A peer counts the datagrams of one life, a random number drawn at its start. A life that is not known is
not believed: it is asked to repeat a fresh number (a challenge), which a replayed datagram cannot. Of a
known life a datagram is taken once, and not when later ones came long before it. No wall clock is needed,
and nothing on disk.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

WINDOW = 64  # datagrams that may overtake one
LATE = 2.0  # s after the newest one in which an overtaken one is still taken
CHALLENGE_EVERY = 0.2  # s between challenges to one name
ANSWER_WITHIN = 2.0  # s
MOST = 1024  # names held


class Verdict(Enum):
    """What is to be done with a datagram."""

    TAKE = "take"
    DROP = "drop"
    CHALLENGE = "challenge"


@dataclass(slots=True)
class _Session:
    life: int
    highest: int
    seen: int  # bit n: the datagram n before the highest
    at: float


class Sessions:
    """The lives that proved themselves, by name. Times are seconds on the own monotonic clock."""

    def __init__(self, seed: int, most: int = MOST) -> None:
        self.random = random.Random(seed)
        self.most = most
        self.held: dict[str, _Session] = {}
        self.asked: dict[str, tuple[float, bytes]] = {}

    def judge(self, now: float, sender: str, life: int, counter: int) -> Verdict:
        """Whether a datagram that verified is taken, dropped as a replay, or its sender challenged."""
        session = self.held.get(sender)
        if session is None or session.life != life:
            return Verdict.CHALLENGE
        ahead = counter - session.highest
        if ahead > 0:
            session.seen = (session.seen << ahead | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            session.highest, session.at = counter, now
            return Verdict.TAKE
        bit = 1 << -ahead
        if -ahead >= WINDOW or session.seen & bit or now - session.at > LATE:
            return Verdict.DROP
        session.seen |= bit
        return Verdict.TAKE

    def challenge(self, now: float, sender: str) -> bytes | None:
        """A number for this name to repeat; None where it was asked just now."""
        asked = self.asked.get(sender)
        if asked is not None and now - asked[0] < CHALLENGE_EVERY:
            return None
        number = self.random.randbytes(16)
        self.asked.pop(sender, None)
        self.asked[sender] = (now, number)
        if len(self.asked) > self.most:
            del self.asked[next(iter(self.asked))]
        return number

    def proven(self, now: float, sender: str, life: int, counter: int, number: bytes) -> bool:
        """Whether this is the number asked for, in time; then its life is the one spoken with."""
        asked = self.asked.get(sender)
        if asked is None or asked[1] != number or now - asked[0] > ANSWER_WITHIN:
            return False
        del self.asked[sender]
        self.accept(now, sender, life, counter)
        return True

    def accept(self, now: float, sender: str, life: int, counter: int) -> None:
        """Speak with this life of a name, which has proved itself; a known one's counter only grows."""
        session = self.held.pop(sender, None)
        if session is None or session.life != life:
            session = _Session(life, counter, 1, now)
        elif counter > session.highest:
            session.highest, session.seen, session.at = counter, 1, now
        self.held[sender] = session
        if len(self.held) > self.most:
            del self.held[next(iter(self.held))]
