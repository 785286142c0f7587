"""Datagrams of a peer: sent and received on its UDP port, with replay protection.

The first datagram of an unproven session is kept for UNPROVEN_KEPT_S while its sender is challenged, and
handled once the session is proven. Datagrams that were queued in the socket while this process was suspended
are stale and dropped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import DatagramProtocol

from sedgepitch.decisions.gossip.actions import Address
from sedgepitch.decisions.gossip.messages import Message
from sedgepitch.decisions.gossip.replay_protection import SenderSessions, Verdict
from sedgepitch.peers import wire
from sedgepitch.peers.counters import PeerCounter
from sedgepitch.peers.wire import Challenge, ChallengeResponse, Envelope, InvalidMessageError, StreamBody

if TYPE_CHECKING:
    from sedgepitch.peers.service import PeerService

MAX_CHALLENGE_RESPONSES_PER_S = 50
MAX_NONCE_BYTES = 64
UNPROVEN_KEPT_S = 0.5  # how long a datagram is kept until the response to the challenge arrives


@dataclass(slots=True, frozen=True)
class _UnprovenMessage:
    received_at: float
    message: Message


class Datagrams(DatagramProtocol):
    """The UDP side of a peer service. `sessions` is shared with streams, which also prove sessions."""

    transport: Any

    def __init__(self, service: PeerService, sessions: SenderSessions) -> None:
        """Start without messages of unproven sessions."""
        self.sessions = sessions
        self.sent_bytes = 0
        self._service = service
        self._unproven: dict[str, _UnprovenMessage] = {}
        self._response_window_start = 0.0
        self._responses_in_window = 0

    def send(self, to: str, address: Address, body: wire.Body) -> None:
        """Send one message; if the socket buffer is full, it is dropped and counted."""
        service = self._service
        if self.transport is None or service.stopped:
            return
        data = wire.encode(service.authenticator, service.envelope(to, body))
        try:
            self.transport.write(data, address)
        except OSError:
            service.counters[PeerCounter.SEND_FAILED] += 1
            return
        service.counters[PeerCounter.SENT] += 1
        self.sent_bytes += len(data)

    def datagramReceived(self, data: bytes, addr: Address) -> None:
        """Handle a datagram; an invalid one is counted, and logged at a limited rate."""
        service = self._service
        if service.node is None or service.stopped:
            return
        if service.was_suspended():
            service.counters[PeerCounter.STALE] += 1
            return
        try:
            envelope = wire.decode(service.authenticator, data)
        except InvalidMessageError as error:
            service.input_errors.invalid_datagram(str(error), addr)
            return
        name = service.settings.name
        if envelope.to != name or envelope.sender == name:
            service.counters[PeerCounter.MISADDRESSED] += 1
            return
        self._handle(service.clock.now(), envelope, addr)

    def session_proven(self, now: float, sender: str) -> None:
        """Handle the message kept until its sender's session was proven, unless it is too old."""
        unproven = self._unproven.pop(sender, None)
        if unproven is not None and now - unproven.received_at <= UNPROVEN_KEPT_S:
            self._service.handle_message(now, sender, unproven.message)

    def forget_unproven(self) -> None:
        """Drop all messages of unproven sessions."""
        self._unproven.clear()

    def _handle(self, now: float, envelope: Envelope, source: Address) -> None:
        sender, body = envelope.sender, envelope.body
        if isinstance(body, Challenge):
            self._respond(now, sender, body, source)
        elif isinstance(body, ChallengeResponse):
            if self.sessions.verify(now, sender, envelope.session_id, envelope.counter, body.nonce):
                self.session_proven(now, sender)
        elif isinstance(body, StreamBody):
            self._service.counters[PeerCounter.INVALID_DATAGRAM] += 1
        else:
            self._handle_gossip(now, envelope, body, source)

    def _handle_gossip(self, now: float, envelope: Envelope, message: Message, source: Address) -> None:
        sender = envelope.sender
        verdict = self.sessions.check(now, sender, envelope.session_id, envelope.counter)
        if verdict is Verdict.ACCEPT:
            self._service.counters[PeerCounter.ACCEPTED] += 1
            self._service.handle_message(now, sender, message)
        elif verdict is Verdict.DROP:
            self._service.counters[PeerCounter.REPLAYED] += 1
        else:
            self._challenge(now, sender, message, source)

    def _challenge(self, now: float, sender: str, message: Message, source: Address) -> None:
        nonce = self.sessions.challenge(now, sender)
        if nonce is None:
            self._service.counters[PeerCounter.UNPROVEN_SESSION] += 1
            return
        self._unproven[sender] = _UnprovenMessage(now, message)
        if len(self._unproven) > self._service.settings.gossip.max_members:
            del self._unproven[next(iter(self._unproven))]
        self.send(sender, self._service.address_of(sender) or source, Challenge(nonce))

    def _respond(self, now: float, sender: str, challenge: Challenge, source: Address) -> None:
        """Return the nonce of a challenge to its sender, at a limited rate."""
        if now - self._response_window_start >= 1.0:
            self._response_window_start = now
            self._responses_in_window = 0
        self._responses_in_window += 1
        allowed = self._responses_in_window <= MAX_CHALLENGE_RESPONSES_PER_S
        if allowed and len(challenge.nonce) <= MAX_NONCE_BYTES:
            address = self._service.address_of(sender) or source
            self.send(sender, address, ChallengeResponse(challenge.nonce))
