"""Count invalid input from the network and log it at a limited rate."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sedgepitch.core.types import Clock
from sedgepitch.decisions.gossip.actions import Address
from sedgepitch.peers.counters import PeerCounter

LOG_INTERVAL_S = 1.0  # between log lines of the same event


class InputErrors:
    """Counts invalid input, and logs each event at most once a second, as anyone can flood the port."""

    def __init__(self, clock: Clock, counters: Counter[PeerCounter], log: Callable[..., None]) -> None:
        """Use the given counters and log function."""
        self._clock = clock
        self._counters = counters
        self._log = log
        self._logged_at: dict[str, float] = {}

    def invalid_datagram(self, reason: str, source: Address) -> None:
        """Count a datagram that is not a valid message for this peer."""
        self._report(PeerCounter.INVALID_DATAGRAM, "peers.invalid_datagram", reason, source)

    def invalid_frame(self, reason: str, source: Address) -> None:
        """Count a stream frame that is invalid or out of order."""
        self._report(PeerCounter.INVALID_FRAME, "peers.invalid_frame", reason, source)

    def _report(self, counter: PeerCounter, event: str, reason: str, source: Address) -> None:
        self._counters[counter] += 1
        now = self._clock.now()
        if now - self._logged_at.get(event, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self._logged_at[event] = now
            host, port = source
            self._log(event, reason=reason, source=f"{host}:{port}", count=self._counters[counter])
