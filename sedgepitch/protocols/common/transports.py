"""Access to transport attributes beyond Twisted's interface, with defaults for transports without them."""

from __future__ import annotations


def arrival_time(transport: object) -> float:
    """Return the arrival time of the bytes being delivered, in monotonic seconds; 0.0 if unknown."""
    arrived: float = getattr(transport, "arrived", 0.0)
    return arrived


def unsent_bytes(transport: object) -> int:
    """Return the number of written bytes that the socket has not accepted yet."""
    unsent = getattr(transport, "unsent", None)
    return int(unsent()) if unsent is not None else 0
