"""The digest of zone observations that a proxy instance publishes, and its encoding.

A digest holds figures and no verdict: every receiver evaluates it with the same function (`votes.votes`), so
an instance that reports false figures has no more than its own vote. Structs are encoded as arrays: the field
order is the wire format and must not change, since two versions of the program can run in one fleet.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import Struct

MAX_ZONES = 10  # rows per digest, so that it fits in a state entry
MAX_DIGEST_BYTES = 512  # encoded size
MAX_ZONE_NAME_LENGTH = 24  # characters, in digests
MAX_REQUEST_RATE = 1e6  # requests per second
PERMILLE = 1000
MAX_STATE = 4  # the highest value of states.ZoneState


class ZoneObservation(Struct, frozen=True, array_like=True):
    """What an instance observed of one zone over the last one to two observation windows.

    Endpoints are those tried in that time; `failing` and `slow` count only endpoints that are reachable.
    """

    zone: str
    attempts: int = 0
    successes: int = 0
    timeouts: int = 0
    errors: int = 0
    latency_permille: int = 0  # mean latency, in thousandths of the latency objective
    endpoints: int = 0
    unreachable: int = 0  # endpoints that do not answer
    failing: int = 0  # endpoints with a failed attempt
    slow: int = 0  # endpoints much slower than those of other zones (observations.SLOW_FACTOR)
    since_success_ms: int = 0
    unanswered: int = 0  # attempts sent since the last success
    endpoints_up: int = 0  # endpoints of the zone in the endpoint list
    unreachable_bits: int = 0  # one bit per unreachable endpoint (see observations.endpoint_bit)


class ZoneStatus(Struct, frozen=True, array_like=True):
    """How an instance currently uses a zone."""

    zone: str
    state: int  # value of states.ZoneState
    share_permille: int  # share of reads that may go to the zone
    for_deciseconds: int  # time in the state
    relapses: int = 0


class ZoneDigest(Struct, frozen=True, array_like=True):
    """What an instance publishes. `may_judge` is false after a pause of the process or while it is slow."""

    zone: str
    request_rate: float  # requests per second
    may_judge: bool
    observations: tuple[ZoneObservation, ...] = ()
    statuses: tuple[ZoneStatus, ...] = ()

    def observation(self, zone: str) -> ZoneObservation | None:
        """Return the observation of a zone, or None."""
        return next((row for row in self.observations if row.zone == zone), None)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ZoneDigest)


def encode(digest: ZoneDigest) -> bytes:
    """Encode a digest as the body of a state entry, dropping the zones with the fewest attempts to fit."""
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
    """Decode a digest; return None for malformed bytes or impossible figures."""
    try:
        digest = _decoder.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, UnicodeDecodeError):
        return None
    return digest if _plausible(digest) else None


def _plausible(digest: ZoneDigest) -> bool:
    if not 0.0 <= digest.request_rate <= MAX_REQUEST_RATE:  # also rejects NaN
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
    """Return whether any figure is negative. The first field, the zone name, is skipped."""
    return any(min(msgspec.structs.astuple(row)[1:]) < 0 for row in rows)
