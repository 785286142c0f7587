"""Counters of a peer; their values are the keys on its status page."""

from __future__ import annotations

from enum import StrEnum


class PeerCounter(StrEnum):
    """Counters of datagrams, streams and timers."""

    SENT = "sent"
    SEND_FAILED = "unsent"
    ACCEPTED = "taken"
    REPLAYED = "replayed"
    UNPROVEN_SESSION = "unproven"  # dropped, since its sender was challenged a moment ago
    MISADDRESSED = "not for me"
    STALE = "old"  # was queued in the socket while this process was suspended
    INVALID_DATAGRAM = "bad"
    INVALID_FRAME = "bad frames"
    STREAMS = "streams"
    STREAMS_REFUSED = "streams refused"
    LATE_TIMERS = "late turns"
