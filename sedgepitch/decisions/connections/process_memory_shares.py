"""How the memory of a process is shared out, from its limit and what it uses before it serves anyone."""

from __future__ import annotations

import math
from dataclasses import dataclass

RESERVED_BYTES = 4_000_000  # of the headroom, for the objects of connections and requests
CLIENT_SHARE = 0.45  # of the rest, for what clients have sent and not read
ENDPOINT_SHARE = 0.25  # of the rest, for incomplete replies of endpoints
CLIENT_BYTES_MIN = 512 * 1024  # some messages of the largest size
ENDPOINT_BYTES_MIN = 1280 * 1024  # one reply of the largest size
HIGH_USE_SHARE = 0.9  # of the limit, above which buffers have to shrink
UNLIMITED_BYTES = 1 << 62


@dataclass(frozen=True, slots=True)
class MemoryShares:
    """The shares of one process, in bytes. What they leave is for copies and fragments."""

    client_bytes: int = UNLIMITED_BYTES
    endpoint_bytes: int = UNLIMITED_BYTES
    high_use_bytes: int = UNLIMITED_BYTES


def share_memory(limit_bytes: float, used_bytes: float) -> MemoryShares:
    """Return the shares of a process; a `limit_bytes` of 0 means that it has no limit."""
    if not (limit_bytes > 0 and math.isfinite(limit_bytes)):
        return MemoryShares()
    shared = max(0.0, limit_bytes - used_bytes - RESERVED_BYTES)
    return MemoryShares(
        max(CLIENT_BYTES_MIN, int(CLIENT_SHARE * shared)),
        max(ENDPOINT_BYTES_MIN, int(ENDPOINT_SHARE * shared)),
        int(HIGH_USE_SHARE * limit_bytes),
    )
