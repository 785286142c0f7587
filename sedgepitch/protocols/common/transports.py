"""What the protocols ask of a transport beyond Twisted's interface; test transports may lack it."""

from __future__ import annotations


def arrival_time(transport: object) -> float:
    """Return when the bytes now being delivered arrived, in monotonic seconds; 0.0 where that is unknown."""
    arrived: float = getattr(transport, "arrived", 0.0)
    return arrived


def unsent_bytes(transport: object) -> int:
    """Return how many written bytes the socket has not taken yet."""
    unsent = getattr(transport, "unsent", None)
    return int(unsent()) if unsent is not None else 0
