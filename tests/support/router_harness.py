"""Test harness for one router: default settings, a simulated clock, and builders for records."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import (
    AttemptResult,
    DeduplicationScope,
    EndpointState,
    Freshness,
    Idempotency,
)
from sedgepitch.routing.records import Endpoint, ReplicaGroup, RoutedRequest
from sedgepitch.routing.router import Router
from sedgepitch.routing.state import RouterState


def make_class(name: str, freshness: Freshness, **changes) -> api.RequestClass:
    """Return a request class with default values, modified by `changes`."""
    base = api.RequestClass(
        name=name,
        latency_objective=0.2,
        deadline=1.0,
        priority_weight=1.0,
        late_priority_weight=0.0,
        idempotency=Idempotency.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=1.0,
        freshness=freshness,
        max_staleness=0.5 if freshness is Freshness.BOUNDED else 0.0,
    )
    return replace(base, **changes)


CLASSES = (
    make_class("bounded", Freshness.BOUNDED),
    make_class("any", Freshness.ANY),
    make_class("session", Freshness.SESSION),
    make_class("fresh", Freshness.FRESH),
    make_class(
        "write",
        Freshness.WRITE,
        idempotency=Idempotency.KEYED,
        priority_weight=6.0,
        late_priority_weight=0.3,
        deadline=2.0,
    ),
    make_class(
        "wide",
        Freshness.WRITE,
        idempotency=Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ALL,
        late_priority_weight=0.3,
        deadline=2.0,
    ),
    make_class(
        "unsafe", Freshness.WRITE, idempotency=Idempotency.NONE, late_priority_weight=0.3, deadline=2.0
    ),
)
SETTINGS = api.Settings(
    classes=CLASSES,
    zone="a",
    tick=0.002,
    proxy_instances=2,
    rules=api.RuleLimits(0.008, 0.5, 2.5, 1.0, 0.2, 10.0, 10.0),
    health_checks=True,
    load_reports_in_answers=True,
    reports_position=True,
    list_reports_primary=True,
    max_attempts=6,
    hedging=True,
    cancel=True,
    retry_after=True,
    max_retry_after=2.0,
)
FINAL = (api.Reject, api.Fail)


def entry(endpoint: int, **changes) -> api.EndpointEntry:
    """Return a list entry for an endpoint of group 1 that is up."""
    return replace(api.EndpointEntry(endpoint=endpoint, group=1, state=EndpointState.UP, zone="a"), **changes)


class Rig:
    """A router with three endpoints, of which endpoint 1 is listed as primary, and a simulated clock."""

    def __init__(self, settings: api.Settings = SETTINGS, endpoints=None, seed: int = 7) -> None:
        self.router, self.now, self.ids = Router(settings, seed), 100.0, 0
        self.timers: list[tuple[float, int]] = []
        self.log: list[api.Action] = []
        entries = endpoints or (entry(1, primary=True), entry(2), entry(3))
        self.feed(api.EndpointListUpdate(tuple(entries), complete=True, remembered=True))

    def feed(self, *events: api.Event) -> list[api.Action]:
        """Pass events to the router at the current time and return its actions."""
        actions = self.router.handle(self.now, list(events))
        self.timers += [(self.now + a.after, a.nonce) for a in actions if isinstance(a, api.SetTimer)]
        self.log += actions
        return actions

    def run(self, seconds: float) -> list[api.Action]:
        """Advance the clock, firing timers as they expire; return the actions."""
        end, start = self.now + seconds, len(self.log)
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.feed(api.TimerExpired(timer[1]))
        self.now = end
        return self.log[start:]

    def receive(self, name: str, ttl: float = 0.9, **fields) -> tuple[int, list[api.Action]]:
        """Feed a client's request; return its id and the actions."""
        self.ids += 1
        return self.ids, self.feed(api.RequestReceived(self.ids, name, 1, ttl, **fields))

    def finish(
        self, request: int, attempt: int, endpoint: int, result: AttemptResult, **fields
    ) -> list[api.Action]:
        """Feed the end of an attempt."""
        final = fields.pop("final", result is AttemptResult.OK)
        return self.feed(api.AttemptFinished(request, attempt, endpoint, result, 0.02, final, **fields))

    def report(self, endpoint: int, age: float, primary: bool = False) -> None:
        """Feed a health check whose report has a position that is `age` seconds old."""
        self.feed(
            api.HealthCheckFinished(
                endpoint, AttemptResult.OK, 0.001, api.LoadReport(self.now - age, primary)
            )
        )


def sends(actions, request: int | None = None) -> list[int]:
    """Return the endpoints to which attempts were sent, optionally of one request only."""
    return [a.endpoint for a in actions if isinstance(a, api.SendAttempt) and request in (None, a.request)]


def finals(actions, request: int) -> list[api.Action]:
    """Return the final answers to one request."""
    return [a for a in actions if isinstance(a, FINAL) and a.request == request]


def route_request(rig: Rig, name: str, **fields) -> tuple[int, list[int]]:
    """Feed a request and wait until its position check has timed out; return its id and its endpoints."""
    request, _ = rig.receive(name, **fields)
    rig.run(0.04)
    return request, sends(rig.log, request)


def make_state(settings: api.Settings = SETTINGS, now: float = 100.0, seed: int = 7) -> RouterState:
    """Return the shared state of a router, for unit tests of one component."""
    return RouterState(settings, Random(seed), now)


def make_endpoint(router_state: RouterState, number: int = 1, **fields) -> Endpoint:
    """Add an endpoint of group 1 that is up and warm to the state's records and return it."""
    group = router_state.groups.setdefault(1, ReplicaGroup())
    defaults = {"zone": "a", "size": 1.0, "state": EndpointState.UP, "started": 0.0, "preference_weight": 0.5}
    endpoint = Endpoint(id=number, group_id=1, **(defaults | fields))
    group.endpoints.append(endpoint)
    router_state.endpoints[number] = endpoint
    return endpoint


def make_request(state: RouterState, name: str = "any", number: int = 1, **fields) -> RoutedRequest:
    """Return a request of the named class for group 1, with the class's full deadline left."""
    request_class = next(c for c in CLASSES if c.name == name)
    defaults = {
        "session": "",
        "deadline": state.now + request_class.deadline,
        "useful_until": state.now + request_class.latency_objective,
        "wait_until": state.now + request_class.latency_objective,
        "primary_only": request_class.freshness in (Freshness.WRITE, Freshness.FRESH),
        "sampling_draw": 0.5,
    }
    group = state.groups.setdefault(1, ReplicaGroup())
    return RoutedRequest(id=number, request_class=request_class, group=group, **(defaults | fields))
