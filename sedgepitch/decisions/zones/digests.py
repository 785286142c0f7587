"""The digest that a proxy instance publishes of the zones, and its encoding.

A digest holds figures and no verdict: all who receive it judge it by the same function (`votes.votes`), and
an instance that reports falsely has one instance's vote. Structs are encoded as arrays: the order of their
fields is the wire format and must not change, since two versions of the program run in one fleet.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import Struct

MAX_ZONES = 10  # rows of a digest, so that it fits a state entry
MAX_DIGEST_BYTES = 512  # encoded
MAX_ZONE_NAME_LENGTH = 24  # characters, in digests
MAX_REQUEST_RATE = 1e6  # requests a second
PERMILLE = 1000
MAX_STATE = 4  # the highest value of states.ZoneState


class ZoneObservation(Struct, frozen=True, array_like=True):
    """What an instance observed of one zone over the last one to two observation windows.

    Endpoints are those tried in that time; `failing` and `slow` ones are counted among those not unreachable.
    """

    zone: str
    attempts: int = 0
    successes: int = 0
    timeouts: int = 0
    errors: int = 0
    latency_permille: int = 0  # mean latency, in thousandths of the latency objective
    endpoints: int = 0
    unreachable: int = 0  # endpoints that do not answer
    failing: int = 0  # endpoints with an attempt that failed
    slow: int = 0  # endpoints slower by far than those of other zones
    since_success_ms: int = 0
    unanswered: int = 0  # attempts sent since the last success
    endpoints_up: int = 0  # of the zone, by the endpoint list
    unreachable_bits: int = 0  # a bit for each unreachable endpoint (see observations.endpoint_bit)


class ZoneStatus(Struct, frozen=True, array_like=True):
    """What an instance does with a zone."""

    zone: str
    state: int  # a states.ZoneState
    share_permille: int  # of the reads that may go there
    for_deciseconds: int  # how long the state has lasted
    relapses: int = 0


class ZoneDigest(Struct, frozen=True, array_like=True):
    """What an instance publishes of itself. `may_judge` is false after a pause or while it is slow."""

    zone: str
    request_rate: float  # requests a second
    may_judge: bool
    observations: tuple[ZoneObservation, ...] = ()
    statuses: tuple[ZoneStatus, ...] = ()

    def observation(self, zone: str) -> ZoneObservation | None:
        """Return what was observed of a zone."""
        return next((row for row in self.observations if row.zone == zone), None)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ZoneDigest)


def encode(digest: ZoneDigest) -> bytes:
    """Return a digest as the body of a state entry, without the least tried zones if it would not fit."""
    rows = digest.observations
    statuses = {status.zone: status for status in digest.statuses}
    for _ in range(len(rows) + 1):
        kept = tuple(statuses[row.zone] for row in rows if row.zone in statuses)
        body = _encoder.encode(msgspec.structs.replace(digest, observations=rows, statuses=kept))
        if len(body) <= MAX_DIGEST_BYTES or not rows:
            break
        least = min(rows, key=lambda row: (row.attempts, row.zone))
        rows = tuple(row for row in rows if row is not least)
    return body


def decode(body: bytes) -> ZoneDigest | None:
    """Return a digest; None for bytes that are none, or figures that are impossible."""
    try:
        digest = _decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, UnicodeDecodeError):
        return None
    return digest if _plausible(digest) else None


def _plausible(digest: ZoneDigest) -> bool:
    if not 0.0 <= digest.request_rate <= MAX_REQUEST_RATE:  # also true for what is not a number
        return False
    if _any_negative(digest.observations) or _any_negative(digest.statuses):
        return False
    if any(row.unreachable_bits.bit_count() > row.unreachable for row in digest.observations):
        return False
    if any(s.share_permille > PERMILLE or s.state > MAX_STATE for s in digest.statuses):
        return False
    zones = [row.zone for row in digest.observations]
    return max(len(zones), len(digest.statuses)) <= MAX_ZONES and len(zones) == len(set(zones))


def _any_negative(rows: Iterable[ZoneObservation] | Iterable[ZoneStatus]) -> bool:
    """Whether a figure is below 0; the first field is the zone."""
    return any(min(msgspec.structs.astuple(row)[1:]) < 0 for row in rows)
