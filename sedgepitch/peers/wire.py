"""What goes between peers as bytes: msgpack in a sealed envelope. Sans I/O.

Unknown fields behind the known ones are ignored, so a later text may add some. Everything that does not read
is a BadDatagram, whatever is wrong with it.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from sedgepitch.decisions.gossip.protocol import Ack, Ask, Nack, Ping, State, Tell
from sedgepitch.peers.keys import BadSeal, Sealer

MOST_DATAGRAM = 1400  # bytes
MOST_FRAME = 1 << 20


class Challenge(Struct, frozen=True, array_like=True, tag=6):
    """Repeat this number, so that I know your life is not a replayed one."""

    number: bytes


class Proof(Struct, frozen=True, array_like=True, tag=7):
    """The number repeated."""

    number: bytes


class Opening(Struct, frozen=True, array_like=True, tag=8):
    """First on a stream, by who opened it; `to` is empty where the name is not known yet."""

    number: bytes


class Opened(Struct, frozen=True, array_like=True, tag=9):
    """The answer: the other's number repeated, and one to repeat."""

    echo: bytes
    number: bytes


class Whole(Struct, frozen=True, array_like=True, tag=10):
    """A number repeated, and all that is held; no state where it is only asked who lives."""

    echo: bytes
    state: State | None


Body = Ping | Ask | Ack | Nack | Tell | Challenge | Proof | Opening | Opened | Whole


class Envelope(Struct, frozen=True, array_like=True):
    """From whom, of which life, the how manieth, and to whom."""

    sender: str
    to: str
    life: int
    counter: int
    body: Body


class BadDatagram(Exception):
    """Bytes that are no envelope for this peer; one line."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(sealer: Sealer, envelope: Envelope, most: int = MOST_DATAGRAM) -> bytes:
    """Return the bytes; news that has no room is left out from the end. Raises ValueError over `most`."""
    while True:
        data = sealer.seal(_encoder.encode(envelope))
        if len(data) <= most:
            return data
        shorter = _shorter(envelope.body)
        if shorter is None:
            raise ValueError(f"a message of {len(data)} bytes, {most} are sent")
        envelope = msgspec.structs.replace(envelope, body=shorter)


def _shorter(body: Any) -> Any:
    if isinstance(body, (Ping, Ask, Ack, Tell)):
        if body.words:
            return msgspec.structs.replace(body, words=body.words[:-1])
        if body.rumours:
            return msgspec.structs.replace(body, rumours=body.rumours[:-1])
    return None


def decode(sealer: Sealer, data: bytes, most: int = MOST_DATAGRAM) -> Envelope:
    """Read what verifies; raises BadDatagram."""
    if len(data) > most:
        raise BadDatagram(f"{len(data)} bytes, {most} are taken")
    try:
        return _decoder.decode(sealer.open(data))
    except BadSeal as error:
        raise BadDatagram(str(error)) from None
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise BadDatagram(f"unreadable: {str(error)[:200]}") from None
