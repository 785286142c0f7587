"""Zone observations of this instance, from the engine's attempts and the router's endpoint list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Set

from sedgepitch.core.engine import Engine
from sedgepitch.core.types import Clock
from sedgepitch.decisions.zones.digests import MAX_ZONE_NAME_LENGTH, MAX_ZONES, ZoneObservation
from sedgepitch.decisions.zones.observations import ZoneObservations
from sedgepitch.routing.messages import AttemptResult, EndpointState
from sedgepitch.routing.records import EjectionReason

ANSWERED = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.OVERLOADED, AttemptResult.NOT_ELIGIBLE)
BROKEN = (AttemptResult.CONNECT_FAILED, AttemptResult.RESET)
UNREACHABLE = (EjectionReason.SILENT, EjectionReason.UNREACHABLE)


class ZoneObserver:
    """Count attempts by endpoint. Implements `AttemptObserver`, whose methods the engine calls."""

    def __init__(self, engine: Engine, clock: Clock) -> None:
        """Start without counts; `attach` starts counting."""
        self.observations = ZoneObservations()
        self._engine = engine
        self._clock = clock

    def attach(self) -> None:
        """Register as the engine's attempt observer."""
        self._engine.attempt_observer = self

    def detach(self) -> None:
        """Unregister from the engine."""
        self._engine.attempt_observer = None

    def request_received(self) -> None:
        """Count a client request."""
        self.observations.request_received(self._clock.now())

    def attempt_sent(self, endpoint: int) -> None:
        """Count an attempt that was sent."""
        zone = self._zone_of(endpoint)
        if zone is not None:
            self.observations.attempt_sent(self._clock.now(), endpoint, zone)

    def attempt_ended(self, endpoint: int, result: AttemptResult, latency_ratio: float) -> None:
        """Count an outcome; `latency_ratio` is the latency divided by the latency objective.

        Attempts that were cancelled or never sent are ignored: they are no evidence about the endpoint.
        """
        zone = self._zone_of(endpoint)
        if zone is None:
            return
        now = self._clock.now()
        if result in ANSWERED:
            self.observations.succeeded(now, endpoint, zone, latency_ratio)
        elif result is AttemptResult.TIMEOUT:
            self.observations.timed_out(now, endpoint, zone)
        elif result in BROKEN:
            self.observations.failed(now, endpoint, zone)

    def rows(self, now: float, partly_used: Iterable[str]) -> tuple[ZoneObservation, ...]:
        """Return one row for each zone with endpoints that are up, for the first MAX_ZONES zones by name."""
        up = Counter(zone[:MAX_ZONE_NAME_LENGTH] for _, zone, _ in self._endpoints_up())
        endpoints_up = {zone: up[zone] for zone in self.zone_sizes()}
        partly_used_zones = set(partly_used)
        return self.observations.rows(
            now, self._unreachable(partly_used_zones), endpoints_up, partly_used_zones
        )

    def zone_sizes(self) -> dict[str, float]:
        """Return, by zone, the capacity of the endpoints that are up; the first MAX_ZONES zones by name."""
        sizes: dict[str, float] = {}
        for _, name, size in self._endpoints_up():
            zone = name[:MAX_ZONE_NAME_LENGTH]
            sizes[zone] = sizes.get(zone, 0.0) + size
        return dict(sorted(sizes.items())[:MAX_ZONES])

    def _endpoints_up(self) -> Iterator[tuple[int, str, float]]:
        """Yield id, zone and capacity of the endpoints that are up and have a zone."""
        for endpoint in self._engine.router.endpoints.values():
            if endpoint.zone and endpoint.state is EndpointState.UP:
                yield endpoint.id, endpoint.zone, endpoint.size

    def _unreachable(self, partly_used: Set[str]) -> dict[int, str]:
        """Return the zones of unreachable endpoints by endpoint id.

        In a partly used zone, an endpoint with a half-open trial in flight does not count as unreachable.
        Otherwise the recovery of a zone would be judged by its first trials before their replies can arrive.
        """
        endpoints = self._engine.router.endpoints
        return {
            number: zone
            for number, zone, _ in self._endpoints_up()
            if endpoints[number].ejection_reason in UNREACHABLE
            and (endpoints[number].trial is None or zone[:MAX_ZONE_NAME_LENGTH] not in partly_used)
        }

    def _zone_of(self, endpoint: int) -> str | None:
        known = self._engine.router.endpoints.get(endpoint)
        return known.zone if known is not None and known.zone else None
