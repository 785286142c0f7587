"""Takes a client's request: what it needs, how long it may wait, and its first placement."""

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

# Share of its latency objective that a request may wait for an endpoint with headroom. A write whose late
# answer still earns something waits until its deadline.
HEADROOM_WAIT_SHARE = 0.15
INTERVAL_WEIGHT = 0.1  # weight of one more request in the mean interval
INTERVAL_MAX_S = 5.0  # a longer interval counts as this one


@dataclass(slots=True, eq=False)
class RequestIntake:
    """Turns the event into a record, and has it placed."""

    state: RouterState
    limits: ConcurrencyLimits
    freshness: FreshnessRules
    retries: Retries
    wait_queue: WaitQueue
    trials: HalfOpenTrials
    classes: dict[str, RequestClass] = field(init=False)

    def __post_init__(self) -> None:
        """Index the stated classes by their names."""
        self.classes = {c.name: c for c in self.state.settings.classes}

    def request_received(self, event: RequestReceived) -> None:
        """Place a request; one of an unknown class or group is rejected, one that is known is ignored."""
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
        self.freshness.session_age_stated(request, event.session_age)
        self._count(group, request)
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

    def _count(self, group: ReplicaGroup, request: RoutedRequest) -> None:
        interval = min(INTERVAL_MAX_S, self.state.now - group.last_request_at)
        group.request_interval += INTERVAL_WEIGHT * (interval - group.request_interval)
        group.last_request_at = self.state.now
        group.last_request = request
