"""Request intake: creates the record of a client's request and places the request for the first time."""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.concurrency_limit import ConcurrencyLimits
from sedgepitch.routing.freshness import FreshnessRules
from sedgepitch.routing.half_open_trials import HalfOpenTrials
from sedgepitch.routing.messages import PRIMARY_ONLY, Freshness, Reject, RequestClass, RequestReceived
from sedgepitch.routing.records import ReplicaGroup, RoutedRequest
from sedgepitch.routing.retries import Retries
from sedgepitch.routing.state import RouterState
from sedgepitch.routing.wait_queue import WaitQueue

# Maximum wait of a request for an endpoint with headroom, as a share of its latency objective. A write with a
# priority weight for late answers waits until its deadline instead.
HEADROOM_WAIT_SHARE = 0.15
INTERVAL_WEIGHT = 0.1  # weight of a request in the mean interval
INTERVAL_MAX_S = 5.0  # upper bound on a single interval in the mean


@dataclass(slots=True, eq=False)
class RequestIntake:
    """Creates the record of a request and passes it to the wait queue."""

    state: RouterState
    limits: ConcurrencyLimits
    freshness: FreshnessRules
    retries: Retries
    wait_queue: WaitQueue
    trials: HalfOpenTrials
    classes: dict[str, RequestClass] = field(init=False)

    def __post_init__(self) -> None:
        """Index the configured request classes by name."""
        self.classes = {c.name: c for c in self.state.settings.classes}

    def request_received(self, event: RequestReceived) -> None:
        """Place a request. Reject it if its class or group is unknown; ignore it if its id is in use."""
        state = self.state
        request_class, group = self.classes.get(event.class_name), state.groups.get(event.group)
        if event.request in state.requests:
            return
        if request_class is None or group is None:
            state.actions.append(Reject(event.request))
            return
        request = self._make_request(event, request_class, group)
        state.requests[event.request] = request
        self.retries.request_received()
        self.freshness.set_session_age(request, event.session_age)
        self._update_interval(group, request)
        request.limit_share = self.limits.limit_share(request_class)
        self.wait_queue.place(request)
        if group.ejected:
            self.trials.start_due(group, request)

    def _make_request(
        self, event: RequestReceived, request_class: RequestClass, group: ReplicaGroup
    ) -> RoutedRequest:
        now = self.state.now
        deadline = now + event.time_left
        late_answer_counts = request_class.late_priority_weight > 0
        useful_until = deadline
        if not late_answer_counts:
            useful_until = min(deadline, now + request_class.latency_objective)
        wait_until = deadline
        if not late_answer_counts or request_class.freshness is not Freshness.WRITE:
            wait_until = min(deadline, now + HEADROOM_WAIT_SHARE * request_class.latency_objective)
        return RoutedRequest(
            id=event.request,
            request_class=request_class,
            group=group,
            session=event.session,
            deadline=deadline,
            useful_until=useful_until,
            wait_until=wait_until,
            primary_only=request_class.freshness in PRIMARY_ONLY,
            sampling_draw=self.state.random.random(),
        )

    def _update_interval(self, group: ReplicaGroup, request: RoutedRequest) -> None:
        interval = min(INTERVAL_MAX_S, self.state.now - group.last_request_at)
        group.request_interval += INTERVAL_WEIGHT * (interval - group.request_interval)
        group.last_request_at = self.state.now
        group.last_request = request
