"""Collects one proxy instance's observations of each zone from the outcomes of its own attempts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import reduce
from operator import or_
from statistics import median

from sedgepitch.decisions.zones.digests import MAX_ZONE_NAME_LENGTH, MAX_ZONES, PERMILLE, ZoneObservation

WINDOW_S = 1.5  # counts cover the current and the previous window
SLOW_FACTOR = 3.0  # an endpoint is slow from this multiple of the median endpoint latency of other zones
MAX_LATENCY_RATIO = 20.0  # cap per attempt, so that one outlier does not dominate the mean
MAX_SINCE_SUCCESS_MS = 60_000
RATE_SMOOTHING = 0.5  # weight of the newest window in the smoothed request rate
LONG_AGO = -1e9  # s; earlier than any clock reading

GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15
MASK_64 = 0xFFFFFFFFFFFFFFFF
BIT_SHIFT = 58  # the upper six of 64 bits


def endpoint_bit(endpoint: int) -> int:
    """Return a 64-bit mask with one bit for an endpoint, by Knuth's multiplicative hash.

    The bit is the same at all instances. Two endpoints may share a bit, so a union of masks may undercount
    endpoints, but never overcounts them.
    """
    return 1 << ((endpoint * GOLDEN_RATIO_64 & MASK_64) >> BIT_SHIFT)


@dataclass(slots=True)
class EndpointCounts:
    """Outcomes of one endpoint's attempts in one window, or the sum of both windows."""

    zone: str
    successes: int = 0
    timeouts: int = 0
    errors: int = 0
    latency_ratio_sum: float = 0.0  # sum of latency / objective over the successes
    last_success_at: float = LONG_AGO

    @property
    def failures(self) -> int:
        """Return the number of attempts that timed out or failed."""
        return self.timeouts + self.errors

    def add(self, other: EndpointCounts) -> None:
        """Add the counts of another window."""
        self.successes += other.successes
        self.last_success_at = max(self.last_success_at, other.last_success_at)
        self.timeouts += other.timeouts
        self.errors += other.errors
        self.latency_ratio_sum += other.latency_ratio_sum


Window = dict[int, EndpointCounts]  # keyed by endpoint


def _truncated_name(zone: str) -> str:
    """Return a zone name truncated to its length in digests."""
    return zone[:MAX_ZONE_NAME_LENGTH]


class ZoneObservations:
    """Counts of one instance's own attempts; memory is bounded by the endpoints used within two windows.

    Times are seconds on this instance's monotonic clock.
    """

    def __init__(self) -> None:
        """Start without counts."""
        self.request_rate = 0.0  # requests per second, smoothed over the windows
        self._current: Window = {}
        self._previous: Window = {}
        self._current_start = -WINDOW_S
        self._request_count = 0
        self._unanswered: dict[str, int] = {}  # attempts since the last success, by zone

    # Events

    def request_received(self, now: float) -> None:
        """Count a client request."""
        self._advance_window(now)
        self._request_count += 1

    def attempt_sent(self, now: float, endpoint: int, zone: str) -> None:
        """Count an attempt that is now in flight."""
        self._counts(now, endpoint, zone)
        self._unanswered[zone] = self._unanswered.get(zone, 0) + 1

    def succeeded(self, now: float, endpoint: int, zone: str, latency_ratio: float) -> None:
        """Count a success, with its latency as a multiple of the request's latency objective."""
        counts = self._counts(now, endpoint, zone)
        counts.successes += 1
        counts.last_success_at = now
        self._unanswered[zone] = 0
        counts.latency_ratio_sum += min(latency_ratio, MAX_LATENCY_RATIO)

    def timed_out(self, now: float, endpoint: int, zone: str) -> None:
        """Count an attempt that timed out."""
        self._counts(now, endpoint, zone).timeouts += 1

    def failed(self, now: float, endpoint: int, zone: str) -> None:
        """Count a refused or broken connection, or an error returned by the endpoint itself."""
        self._counts(now, endpoint, zone).errors += 1

    def forget(self, now: float) -> None:
        """Discard all counts after a pause of this process, since they are out of date."""
        self._current = {}
        self._previous = {}
        self._current_start = now
        self._request_count = 0
        self._unanswered = {}

    def forget_zone(self, zone: str) -> None:
        """Discard a zone's counts when a return to it starts, since they predate leaving it."""
        self._unanswered = {name: n for name, n in self._unanswered.items() if _truncated_name(name) != zone}
        for window in (self._current, self._previous):
            for endpoint in [n for n, counts in window.items() if _truncated_name(counts.zone) == zone]:
                del window[endpoint]

    # Views

    def rows(
        self,
        now: float,
        unreachable: Mapping[int, str],
        endpoints_up: Mapping[str, int],
        partly_used: Iterable[str] = (),
    ) -> tuple[ZoneObservation, ...]:
        """Return one row for each zone in `endpoints_up`, which has the number of its listed endpoints.

        `unreachable` maps each endpoint that the router considers down to its zone. In `partly_used` zones
        such an endpoint counts only if it was tried within the windows; otherwise a zone that is being
        returned to would still be judged by observations from when it was left.
        """
        self._advance_window(now)
        counts = self._both_windows()
        excluded = {_truncated_name(zone) for zone in partly_used}
        for endpoint, zone in unreachable.items():
            if _truncated_name(zone) not in excluded:
                counts.setdefault(endpoint, EndpointCounts(zone))
        means = {n: c.latency_ratio_sum / c.successes for n, c in counts.items() if c.successes}
        rows = []
        for zone, up in sorted(endpoints_up.items()):
            zone_counts = {n: c for n, c in counts.items() if _truncated_name(c.zone) == zone}
            rows.append(self._row(now, zone, up, zone_counts, set(unreachable), means))
        rows.sort(key=lambda row: (-row.attempts, row.zone))
        return tuple(rows[:MAX_ZONES])

    def _row(
        self,
        now: float,
        zone: str,
        endpoints_up: int,
        counts: Window,
        unreachable: set[int],
        means: Mapping[int, float],
    ) -> ZoneObservation:
        other_zone_means = [mean for endpoint, mean in means.items() if endpoint not in counts]
        reference_mean = median(other_zone_means) if other_zone_means else float("inf")
        successes = sum(c.successes for c in counts.values())
        timeouts = sum(c.timeouts for c in counts.values())
        errors = sum(c.errors for c in counts.values())
        latency_ratio = sum(c.latency_ratio_sum for c in counts.values()) / max(1, successes)
        reachable_counts = {n: c for n, c in counts.items() if n not in unreachable}
        unreachable_endpoints = [n for n in counts if n in unreachable]
        last_success_at = max((c.last_success_at for c in counts.values()), default=now)
        return ZoneObservation(
            zone,
            attempts=successes + timeouts + errors,
            successes=successes,
            timeouts=timeouts,
            errors=errors,
            latency_permille=round(PERMILLE * latency_ratio),
            endpoints=len(counts),
            unreachable=len(unreachable_endpoints),
            failing=sum(c.failures > 0 for c in reachable_counts.values()),
            slow=sum(means.get(n, 0.0) >= SLOW_FACTOR * reference_mean for n in reachable_counts),
            since_success_ms=min(MAX_SINCE_SUCCESS_MS, round(1000 * (now - last_success_at))),
            unanswered=sum(n for name, n in self._unanswered.items() if _truncated_name(name) == zone),
            endpoints_up=endpoints_up,
            unreachable_bits=reduce(or_, (endpoint_bit(n) for n in unreachable_endpoints), 0),
        )

    # Windows

    def _both_windows(self) -> Window:
        counts: Window = {}
        for window in (self._current, self._previous):
            for endpoint, window_counts in window.items():
                counts.setdefault(endpoint, EndpointCounts(window_counts.zone)).add(window_counts)
        return counts

    def _counts(self, now: float, endpoint: int, zone: str) -> EndpointCounts:
        self._advance_window(now)
        return self._current.setdefault(endpoint, EndpointCounts(zone))

    def _advance_window(self, now: float) -> None:
        """Start a new window if the current one is over."""
        elapsed = now - self._current_start
        if elapsed < WINDOW_S:
            return
        rate = self._request_count / max(elapsed, WINDOW_S)
        if self.request_rate == 0.0:
            self.request_rate = rate
        else:
            self.request_rate += RATE_SMOOTHING * (rate - self.request_rate)
        self._previous = self._current if elapsed < 2.0 * WINDOW_S else {}
        self._current = {}
        self._request_count = 0
        self._current_start = now
