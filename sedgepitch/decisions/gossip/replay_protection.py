"""Protection against replayed datagrams, without wall clocks and without state on disk.

A sender draws a random session id at its start and numbers its datagrams. A session that is not known is
challenged to repeat a fresh nonce, which a replayed datagram cannot do. Of a known session each datagram is
accepted once, within an anti-replay window as IPsec has it (RFC 4303), and only soon after the newest one.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

WINDOW_SIZE = 64  # datagrams that may overtake one
WINDOW_MASK = (1 << WINDOW_SIZE) - 1
REORDER_MAX_S = 2.0  # after the newest datagram, in which an overtaken one is accepted
CHALLENGE_INTERVAL_S = 0.2  # between challenges to one sender
CHALLENGE_TIMEOUT_S = 2.0
NONCE_BYTES = 16
MAX_SENDERS = 1024


class Verdict(Enum):
    """What is to be done with a datagram."""

    ACCEPT = "accept"
    DROP = "drop"
    CHALLENGE = "challenge"


@dataclass(slots=True)
class _Session:
    """The newest counter of a session, when it came, and a bit for each counter behind it that came."""

    session_id: int
    highest: int
    window: int
    newest_at: float


@dataclass(slots=True, frozen=True)
class _Challenge:
    sent_at: float
    nonce: bytes


class SenderSessions:
    """The proven session of each sender. Times are seconds on this node's monotonic clock."""

    def __init__(self, seed: int, max_senders: int = MAX_SENDERS) -> None:
        """Begin without sessions; `seed` is of the nonces."""
        self.sessions: dict[str, _Session] = {}
        self.challenges: dict[str, _Challenge] = {}
        self._rng = random.Random(seed)
        self._max_senders = max_senders

    def check(self, now: float, sender: str, session_id: int, counter: int) -> Verdict:
        """Decide on an authenticated datagram, and note an accepted one."""
        session = self.sessions.get(sender)
        if session is None or session.session_id != session_id:
            return Verdict.CHALLENGE
        ahead = counter - session.highest
        if ahead > 0:
            session.window = (session.window << ahead | 1) & WINDOW_MASK if ahead < WINDOW_SIZE else 1
            session.highest = counter
            session.newest_at = now
            return Verdict.ACCEPT
        behind = -ahead
        bit = 1 << behind
        if behind >= WINDOW_SIZE or session.window & bit or now - session.newest_at > REORDER_MAX_S:
            return Verdict.DROP
        session.window |= bit
        return Verdict.ACCEPT

    def challenge(self, now: float, sender: str) -> bytes | None:
        """Return a nonce for the sender to repeat; None if it was challenged just now."""
        pending = self.challenges.get(sender)
        if pending is not None and now - pending.sent_at < CHALLENGE_INTERVAL_S:
            return None
        nonce = self._rng.randbytes(NONCE_BYTES)
        self.challenges.pop(sender, None)
        self.challenges[sender] = _Challenge(now, nonce)
        if len(self.challenges) > self._max_senders:
            del self.challenges[next(iter(self.challenges))]
        return nonce

    def verify(self, now: float, sender: str, session_id: int, counter: int, nonce: bytes) -> bool:
        """Whether this is the nonce asked for, in time; if so its session is established."""
        pending = self.challenges.get(sender)
        if pending is None or pending.nonce != nonce or now - pending.sent_at > CHALLENGE_TIMEOUT_S:
            return False
        del self.challenges[sender]
        self.establish(now, sender, session_id, counter)
        return True

    def establish(self, now: float, sender: str, session_id: int, counter: int) -> None:
        """Accept a proven session from now on; the counter of a known one only grows."""
        session = self.sessions.pop(sender, None)
        if session is None or session.session_id != session_id:
            session = _Session(session_id, counter, 1, now)
        elif counter > session.highest:
            session.highest = counter
            session.window = 1
            session.newest_at = now
        self.sessions[sender] = session
        if len(self.sessions) > self._max_senders:
            del self.sessions[next(iter(self.sessions))]
