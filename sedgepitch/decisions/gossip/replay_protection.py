"""Protection against replayed datagrams, without wall clocks and without state on disk.

A sender draws a random session id at its start and numbers its datagrams. The sender of an unknown session is
challenged to repeat a fresh nonce, which a replayed datagram cannot do. Each datagram of a known session is
accepted once, within an anti-replay window as in IPsec (RFC 4303); one with a lower counter than the newest
is accepted only shortly after the newest arrived.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

WINDOW_SIZE = 64  # a datagram whose counter is this far behind the newest one is dropped
WINDOW_MASK = (1 << WINDOW_SIZE) - 1
REORDER_MAX_S = 2.0  # time after the newest datagram in which reordered ones are accepted
CHALLENGE_INTERVAL_S = 0.2  # minimum time between challenges to one sender
CHALLENGE_TIMEOUT_S = 2.0
NONCE_BYTES = 16
MAX_SENDERS = 1024


class Verdict(Enum):
    """How to handle a datagram."""

    ACCEPT = "accept"
    DROP = "drop"
    CHALLENGE = "challenge"


@dataclass(slots=True)
class _Session:
    """The newest counter of a session, its arrival time, and a bit mask of the counters received up to it."""

    session_id: int
    highest: int
    window: int
    newest_at: float


@dataclass(slots=True, frozen=True)
class _Challenge:
    sent_at: float
    nonce: bytes


class SenderSessions:
    """The verified session of each sender. Times are seconds on this node's monotonic clock."""

    def __init__(self, seed: int, max_senders: int = MAX_SENDERS) -> None:
        """Start without sessions; `seed` seeds the generator of the nonces."""
        self.sessions: dict[str, _Session] = {}
        self.challenges: dict[str, _Challenge] = {}
        self._rng = random.Random(seed)
        self._max_senders = max_senders

    def check(self, now: float, sender: str, session_id: int, counter: int) -> Verdict:
        """Return how to handle an authenticated datagram, and record an accepted one."""
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
        """Return a nonce for the sender to repeat; None if the last challenge was too recent."""
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
        """Return whether a nonce answers the challenge in time; if so, establish the session."""
        pending = self.challenges.get(sender)
        if pending is None or pending.nonce != nonce or now - pending.sent_at > CHALLENGE_TIMEOUT_S:
            return False
        del self.challenges[sender]
        self.establish(now, sender, session_id, counter)
        return True

    def establish(self, now: float, sender: str, session_id: int, counter: int) -> None:
        """Accept a verified session from now on; the counter of a known session never decreases."""
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
