"""What answers usually take: by class, by endpoint, by zone, and for each unit of reported load."""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.messages import AttemptFinished, RequestClass
from sedgepitch.routing.records import Endpoint
from sedgepitch.routing.state import RouterState

INITIAL_SHARE_OF_OBJECTIVE = 0.2  # latency that is assumed before the first answer
TYPICAL_WEIGHT = 0.05  # weight of one more answer in the typical latency
ZONE_WEIGHT = 0.2  # weight of one more answer in its zone's latency ratio
SERVICE_TIME_STEP = 0.02  # relative step of a class's service time with each answer
SERVICE_TIME_RISE = 3.0  # steps up for an answer that is slower than usual; one step down otherwise
SLOW_ANSWER = 1.5  # times the service time from which on an answer is slower than usual
LOAD_MEMORY = 0.98  # share of the load regression that one more answer leaves
LOAD_REPORT_MAX_AGE_S = 1.0


@dataclass(slots=True, eq=False)
class LatencyEstimates:
    """Moving estimates, in seconds or as a ratio of the latency objective."""

    state: RouterState
    typical: float = field(init=False)
    """An answer's latency, whatever its class and endpoint."""
    service_time: dict[str, float] = field(init=False)
    """By class: the 75th percentile of its latencies, over SLOW_ANSWER."""
    zone_ratio: dict[str, float] = field(default_factory=dict)
    """By zone: mean latency over the latency objective."""
    load_by_delay: float = 0.0
    """Regression of delay on reported load: decayed sum of load times delay."""
    load_squared: float = 1.0
    """The same regression: decayed sum of the squared load."""

    def __post_init__(self) -> None:
        """Begin with a share of the latency objective."""
        self.typical = self.state.latency_objective * INITIAL_SHARE_OF_OBJECTIVE
        self.service_time = {
            c.name: c.latency_objective * INITIAL_SHARE_OF_OBJECTIVE for c in self.state.settings.classes
        }

    def latency_ratio(self, endpoint: Endpoint) -> float:
        """Return the endpoint's mean latency over the objective.

        Its zone's ratio stands in where its own answers are few, and so does the reported load.
        """
        return max(
            endpoint.latency_ratio,
            self.zone_ratio.get(endpoint.zone, 0.0),
            self.queueing_delay(endpoint) / self.state.latency_objective,
        )

    def queueing_delay(self, endpoint: Endpoint) -> float:
        """Return the seconds that the endpoint's reported load adds to an answer.

        The price of a unit of load is what such reports have meant here, so an untrue report counts little.
        """
        recent = self.state.now - endpoint.load_reported_at < LOAD_REPORT_MAX_AGE_S
        return endpoint.reported_load * self.load_by_delay / self.load_squared if recent else 0.0

    def observe_ratio(self, endpoint: Endpoint, ratio: float, weight: float) -> None:
        """Take one attempt's latency ratio into the endpoint's mean, with that weight, and its zone's."""
        zone_ratio = self.zone_ratio.get(endpoint.zone, 0.0)
        endpoint.latency_ratio += weight * (ratio - endpoint.latency_ratio)
        self.zone_ratio[endpoint.zone] = zone_ratio + ZONE_WEIGHT * (ratio - zone_ratio)

    def observe_answer(self, request_class: RequestClass, event: AttemptFinished) -> None:
        """Take a served attempt into the price of load, the typical latency and its class's service time."""
        known = self.service_time[request_class.name]
        if event.report and event.report.load:
            load = event.report.load
            load_by_delay = self.load_by_delay + load * max(0.0, event.elapsed - known)
            self.load_by_delay = LOAD_MEMORY * load_by_delay
            self.load_squared = LOAD_MEMORY * (self.load_squared + load * load)
        self.typical += TYPICAL_WEIGHT * (event.elapsed - self.typical)
        steps = SERVICE_TIME_RISE if event.elapsed > known * SLOW_ANSWER else -1.0
        self.service_time[request_class.name] = known + SERVICE_TIME_STEP * known * steps
