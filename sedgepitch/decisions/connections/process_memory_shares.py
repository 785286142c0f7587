"""How the memory of a process is shared out, from its limit and what it uses before it serves anyone."""

from __future__ import annotations

import math
from dataclasses import dataclass

CLIENT_SHARE = 0.3  # of the headroom, for what clients have sent and not read
ENDPOINT_SHARE = 0.2  # of the headroom, for incomplete replies of endpoints
CLIENT_BYTES_MIN = 512 * 1024  # some messages of the largest size
ENDPOINT_BYTES_MIN = 1280 * 1024  # one reply of the largest size
HIGH_USE_SHARE = 0.9  # of the limit, above which buffers have to shrink
UNLIMITED_BYTES = 1 << 62


@dataclass(frozen=True, slots=True)
class MemoryShares:
    """The shares of one process, in bytes. The rest of the headroom is for objects, copies and fragments."""

    client_bytes: int = UNLIMITED_BYTES
    endpoint_bytes: int = UNLIMITED_BYTES
    high_use_bytes: int = UNLIMITED_BYTES


def share_memory(limit_bytes: float, used_bytes: float) -> MemoryShares:
    """Return the shares of a process; a `limit_bytes` of 0 means that it has no limit."""
    if not (limit_bytes > 0 and math.isfinite(limit_bytes)):
        return MemoryShares()
    headroom = max(0.0, limit_bytes - used_bytes)
    return MemoryShares(
        max(CLIENT_BYTES_MIN, int(CLIENT_SHARE * headroom)),
        max(ENDPOINT_BYTES_MIN, int(ENDPOINT_SHARE * headroom)),
        int(HIGH_USE_SHARE * limit_bytes),
    )
