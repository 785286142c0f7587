"""What one proxy instance observes of each zone, from the outcomes of its own attempts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import reduce
from operator import or_
from statistics import median

from sedgepitch.decisions.zones.digests import MAX_ZONE_NAME_LENGTH, MAX_ZONES, PERMILLE, ZoneObservation

WINDOW_S = 1.5  # counts are of the present window and the one before
SLOW_FACTOR = 3.0  # times the median endpoint of the other zones
MAX_LATENCY_RATIO = 20.0  # of one attempt, so that one outlier does not make the mean
MAX_SINCE_SUCCESS_MS = 60_000
RATE_SMOOTHING = 0.5  # weight of the newest window in the request rate
LONG_AGO = -1e9  # s; earlier than any time of the clock

GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15
MASK_64 = 0xFFFFFFFFFFFFFFFF
BIT_SHIFT = 58  # the upper six of 64 bits


def endpoint_bit(endpoint: int) -> int:
    """Return an endpoint's bit among 64, the same at all instances (Knuth's multiplicative hash).

    Two endpoints may share a bit: a union of bits counts too few, never too many.
    """
    return 1 << ((endpoint * GOLDEN_RATIO_64 & MASK_64) >> BIT_SHIFT)


@dataclass(slots=True)
class EndpointCounts:
    """Outcomes of one endpoint's attempts in one window, or in both together."""

    zone: str
    successes: int = 0
    timeouts: int = 0
    errors: int = 0
    latency_ratio_sum: float = 0.0  # latency over the objective, over the successes
    last_success_at: float = LONG_AGO

    @property
    def failures(self) -> int:
        """Return the attempts that came to nothing."""
        return self.timeouts + self.errors

    def add(self, other: EndpointCounts) -> None:
        """Add another window's counts."""
        self.successes += other.successes
        self.last_success_at = max(self.last_success_at, other.last_success_at)
        self.timeouts += other.timeouts
        self.errors += other.errors
        self.latency_ratio_sum += other.latency_ratio_sum


Window = dict[int, EndpointCounts]  # by endpoint


def _short(zone: str) -> str:
    """Return a zone's name as digests have it."""
    return zone[:MAX_ZONE_NAME_LENGTH]


class ZoneObservations:
    """Counts of one instance's own attempts, bounded by the endpoints that it uses within two windows.

    Times are seconds on this instance's monotonic clock.
    """

    def __init__(self) -> None:
        """Begin without counts."""
        self.request_rate = 0.0  # requests a second, smoothed over the windows
        self._present: Window = {}
        self._previous: Window = {}
        self._present_from = -WINDOW_S
        self._arrivals = 0
        self._unanswered: dict[str, int] = {}  # attempts since the last success, by zone

    # Events

    def request_received(self, now: float) -> None:
        """Count a request of a client."""
        self._roll(now)
        self._arrivals += 1

    def attempt_sent(self, now: float, endpoint: int, zone: str) -> None:
        """Count an attempt whose outcome is open."""
        self._counts(now, endpoint, zone)
        self._unanswered[zone] = self._unanswered.get(zone, 0) + 1

    def succeeded(self, now: float, endpoint: int, zone: str, latency_ratio: float) -> None:
        """Count an answer, with its latency as a share of the request's latency objective."""
        counts = self._counts(now, endpoint, zone)
        counts.successes += 1
        counts.last_success_at = now
        self._unanswered[zone] = 0
        counts.latency_ratio_sum += min(latency_ratio, MAX_LATENCY_RATIO)

    def timed_out(self, now: float, endpoint: int, zone: str) -> None:
        """Count an attempt that was not answered in time."""
        self._counts(now, endpoint, zone).timeouts += 1

    def failed(self, now: float, endpoint: int, zone: str) -> None:
        """Count a connection that was refused or broke, or an error of the endpoint's own."""
        self._counts(now, endpoint, zone).errors += 1

    def forget(self, now: float) -> None:
        """Forget all counts after a pause of this process: they are not of now."""
        self._present = {}
        self._previous = {}
        self._present_from = now
        self._arrivals = 0
        self._unanswered = {}

    def forget_zone(self, zone: str) -> None:
        """Forget a zone's counts when it is returned to: they are of before it was left."""
        self._unanswered = {name: n for name, n in self._unanswered.items() if _short(name) != zone}
        for window in (self._present, self._previous):
            for endpoint in [n for n, counts in window.items() if _short(counts.zone) == zone]:
                del window[endpoint]

    # Views

    def rows(
        self,
        now: float,
        unreachable: Mapping[int, str],
        endpoints_up: Mapping[str, int],
        partly_used: Iterable[str] = (),
    ) -> tuple[ZoneObservation, ...]:
        """Return one row a zone of `endpoints_up`, which counts its endpoints in the list.

        `unreachable` has the zones of endpoints that the router holds for down. In `partly_used` zones such
        an endpoint only counts if it was tried within the windows: else a zone that is returned to would
        still be judged by what was seen when it was left.
        """
        self._roll(now)
        counts = self._both_windows()
        excluded = {_short(zone) for zone in partly_used}
        for endpoint, zone in unreachable.items():
            if _short(zone) not in excluded:
                counts.setdefault(endpoint, EndpointCounts(zone))
        means = {n: c.latency_ratio_sum / c.successes for n, c in counts.items() if c.successes}
        rows = []
        for zone, up in sorted(endpoints_up.items()):
            of_zone = {n: c for n, c in counts.items() if _short(c.zone) == zone}
            rows.append(self._row(now, zone, up, of_zone, set(unreachable), means))
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
        elsewhere = [mean for endpoint, mean in means.items() if endpoint not in counts]
        usual = median(elsewhere) if elsewhere else float("inf")
        successes = sum(c.successes for c in counts.values())
        timeouts = sum(c.timeouts for c in counts.values())
        errors = sum(c.errors for c in counts.values())
        latency_ratio = sum(c.latency_ratio_sum for c in counts.values()) / max(1, successes)
        reached = {n: c for n, c in counts.items() if n not in unreachable}
        missing = [n for n in counts if n in unreachable]
        last_success_at = max((c.last_success_at for c in counts.values()), default=now)
        return ZoneObservation(
            zone,
            attempts=successes + timeouts + errors,
            successes=successes,
            timeouts=timeouts,
            errors=errors,
            latency_permille=round(PERMILLE * latency_ratio),
            endpoints=len(counts),
            unreachable=len(missing),
            failing=sum(c.failures > 0 for c in reached.values()),
            slow=sum(means.get(n, 0.0) >= SLOW_FACTOR * usual for n in reached),
            since_success_ms=min(MAX_SINCE_SUCCESS_MS, round(1000 * (now - last_success_at))),
            unanswered=sum(n for name, n in self._unanswered.items() if _short(name) == zone),
            endpoints_up=endpoints_up,
            unreachable_bits=reduce(or_, (endpoint_bit(n) for n in missing), 0),
        )

    # Windows

    def _both_windows(self) -> Window:
        counts: Window = {}
        for window in (self._present, self._previous):
            for endpoint, of_window in window.items():
                counts.setdefault(endpoint, EndpointCounts(of_window.zone)).add(of_window)
        return counts

    def _counts(self, now: float, endpoint: int, zone: str) -> EndpointCounts:
        self._roll(now)
        return self._present.setdefault(endpoint, EndpointCounts(zone))

    def _roll(self, now: float) -> None:
        """Begin a new window if the present one is over."""
        passed = now - self._present_from
        if passed < WINDOW_S:
            return
        rate = self._arrivals / max(passed, WINDOW_S)
        if self.request_rate == 0.0:
            self.request_rate = rate
        else:
            self.request_rate += RATE_SMOOTHING * (rate - self.request_rate)
        self._previous = self._present if passed < 2.0 * WINDOW_S else {}
        self._present = {}
        self._arrivals = 0
        self._present_from = now
