"""Latency estimates by request class, endpoint and zone, and the delay per unit of reported load."""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.messages import AttemptFinished, RequestClass
from sedgepitch.routing.records import Endpoint
from sedgepitch.routing.state import RouterState

INITIAL_SHARE_OF_OBJECTIVE = 0.2  # latency assumed before the first response, as a share of the objective
TYPICAL_WEIGHT = 0.05  # weight of a response in the typical latency
ZONE_WEIGHT = 0.2  # weight of a response in its zone's latency ratio
SERVICE_TIME_STEP = 0.02  # relative step of a class's service time for each response
SERVICE_TIME_RISE = 3.0  # steps up for a slow response; any other response is one step down
SLOW_ANSWER = 1.5  # latency, in service times, above which a response is slow
LOAD_MEMORY = 0.98  # decay of the load regression with each response
LOAD_REPORT_MAX_AGE_S = 1.0  # older load reports are ignored


@dataclass(slots=True, eq=False)
class LatencyEstimates:
    """Moving averages, in seconds or relative to the latency objective."""

    state: RouterState
    typical: float = field(init=False)
    """Latency of a response, over all classes and endpoints."""
    service_time: dict[str, float] = field(init=False)
    """For each class: the 75th percentile of its latencies, divided by SLOW_ANSWER."""
    zone_ratio: dict[str, float] = field(default_factory=dict)
    """For each zone: mean latency over the latency objective."""
    load_by_delay: float = 0.0
    """Regression of delay on reported load: decayed sum of load times delay."""
    load_squared: float = 1.0
    """The same regression: decayed sum of the squared load."""

    def __post_init__(self) -> None:
        """Initialise all latencies with a share of the latency objective."""
        self.typical = self.state.latency_objective * INITIAL_SHARE_OF_OBJECTIVE
        self.service_time = {
            c.name: c.latency_objective * INITIAL_SHARE_OF_OBJECTIVE for c in self.state.settings.classes
        }

    def latency_ratio(self, endpoint: Endpoint) -> float:
        """Return the endpoint's latency ratio: mean latency over the latency objective.

        This is the maximum of its own ratio, its zone's ratio and the ratio that its reported load implies,
        because its own ratio may be based on few responses.
        """
        return max(
            endpoint.latency_ratio,
            self.zone_ratio.get(endpoint.zone, 0.0),
            self.queueing_delay(endpoint) / self.state.latency_objective,
        )

    def queueing_delay(self, endpoint: Endpoint) -> float:
        """Return the delay in seconds that the endpoint's reported load adds to a response.

        The delay per unit of load is the regression of observed delays on reported load. Reports that do not
        match the observed delays therefore have little effect.
        """
        recent = self.state.now - endpoint.load_reported_at < LOAD_REPORT_MAX_AGE_S
        return endpoint.reported_load * self.load_by_delay / self.load_squared if recent else 0.0

    def observe_ratio(self, endpoint: Endpoint, ratio: float, weight: float) -> None:
        """Update the mean latency ratios of the endpoint, with the given weight, and of its zone."""
        zone_ratio = self.zone_ratio.get(endpoint.zone, 0.0)
        endpoint.latency_ratio += weight * (ratio - endpoint.latency_ratio)
        self.zone_ratio[endpoint.zone] = zone_ratio + ZONE_WEIGHT * (ratio - zone_ratio)

    def observe_answer(self, request_class: RequestClass, event: AttemptFinished) -> None:
        """Update the delay per unit of load, the typical latency and the class's service time."""
        service_time = self.service_time[request_class.name]
        if event.report and event.report.load:
            load = event.report.load
            load_by_delay = self.load_by_delay + load * max(0.0, event.elapsed - service_time)
            self.load_by_delay = LOAD_MEMORY * load_by_delay
            self.load_squared = LOAD_MEMORY * (self.load_squared + load * load)
        self.typical += TYPICAL_WEIGHT * (event.elapsed - self.typical)
        steps = SERVICE_TIME_RISE if event.elapsed > service_time * SLOW_ANSWER else -1.0
        self.service_time[request_class.name] = service_time + SERVICE_TIME_STEP * service_time * steps
