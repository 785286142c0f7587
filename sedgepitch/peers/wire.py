"""The encoding of datagrams and stream frames: msgpack in an authenticated envelope, without I/O.

Unknown trailing fields are ignored, so a later version may append fields. The order of fields and the tags
are the wire format and must not change: different versions of the program run in one cluster.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from sedgepitch.decisions.gossip.messages import Ack, ClusterState, Nack, Ping, PingRequest, UpdateMessage
from sedgepitch.errors import ConfigurationError, PeerError
from sedgepitch.peers.keys import AuthenticationError, Authenticator

MAX_DATAGRAM_BYTES = 1400
MAX_FRAME_BYTES = 1 << 20
MAX_REASON_CHARACTERS = 200  # length limit for a decoder's message in an error text


class Challenge(Struct, frozen=True, array_like=True, tag=6):
    """Asks the sender of a datagram to return a nonce, which proves that its session is not replayed."""

    nonce: bytes


class ChallengeResponse(Struct, frozen=True, array_like=True, tag=7):
    """Returns the nonce of a Challenge."""

    nonce: bytes


class StreamHello(Struct, frozen=True, array_like=True, tag=8):
    """The first frame of a stream, sent by the side that opened it; the envelope's `to` may be empty."""

    nonce: bytes


class StreamHelloReply(Struct, frozen=True, array_like=True, tag=9):
    """Returns the nonce of a StreamHello as `echo`, and carries a nonce for the other side to return."""

    echo: bytes
    nonce: bytes


class StreamState(Struct, frozen=True, array_like=True, tag=10):
    """Returns a nonce and carries the complete cluster state; `state` is None in a stream that only pings."""

    echo: bytes
    state: ClusterState | None


StreamBody = StreamHello | StreamHelloReply | StreamState
Body = (
    Ping
    | PingRequest
    | Ack
    | Nack
    | UpdateMessage
    | Challenge
    | ChallengeResponse
    | StreamHello
    | StreamHelloReply
    | StreamState
)


class Envelope(Struct, frozen=True, array_like=True):
    """A message with its sender and receiver, and its counter in the sender's session."""

    sender: str
    to: str
    session_id: int
    counter: int
    body: Body


class InvalidMessageError(PeerError):
    """Bytes that are not a valid message for this peer; the text is one line."""


class MessageTooLargeError(ConfigurationError, ValueError):
    """A message that exceeds the size limit even without its updates and state entries."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(authenticator: Authenticator, envelope: Envelope, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes:
    """Return the authenticated bytes of an envelope of at most `max_bytes`.

    State entries, then updates, are dropped from the end until the message fits. Raises MessageTooLargeError
    if it is too large even without them.
    """
    while True:
        data = authenticator.seal(_encoder.encode(envelope))
        if len(data) <= max_bytes:
            return data
        shorter = _shortened(envelope.body)
        if shorter is None:
            raise MessageTooLargeError(f"a message of {len(data)} bytes, {max_bytes} are sent")
        envelope = msgspec.structs.replace(envelope, body=shorter)


def decode(authenticator: Authenticator, data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> Envelope:
    """Authenticate and decode an envelope; raises InvalidMessageError."""
    if len(data) > max_bytes:
        raise InvalidMessageError(f"{len(data)} bytes, {max_bytes} are taken")
    try:
        return _decoder.decode(authenticator.open(data))
    except AuthenticationError as error:
        raise InvalidMessageError(str(error)) from None
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise InvalidMessageError(f"unreadable: {str(error)[:MAX_REASON_CHARACTERS]}") from None


def _shortened(body: Body) -> Body | None:
    """Return a message without its last state entry or update; None if it has neither."""
    if not isinstance(body, Ping | PingRequest | Ack | UpdateMessage):
        return None
    if body.entries:
        return msgspec.structs.replace(body, entries=body.entries[:-1])
    if body.updates:
        return msgspec.structs.replace(body, updates=body.updates[:-1])
    return None
