"""Primary discovery: tracks which endpoint is a group's primary, and searches for it while none is known.

The most recent evidence of a role wins: a response is valid as of now, a report as of its position. The
endpoint list arrives late, so it is used only if no primary is known that serves requests.
"""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.eligibility import Eligibility
from sedgepitch.routing.health_checks import HealthChecks
from sedgepitch.routing.messages import EndpointState
from sedgepitch.routing.records import NEVER, Endpoint, ReplicaGroup, RoutedRequest
from sedgepitch.routing.state import RouterState

ATTEMPT_PAUSE_S = 0.5  # pause between two rounds of attempts at all endpoints of a group
ROLE_CHECK_INTERVAL_S = 0.25  # time between two rounds of health checks for roles
ATTEMPTS_KEPT = 2  # attempts of a request that discovery reserves for the primary once it is known


def role_reported(group: ReplicaGroup, endpoint: Endpoint, primary: bool, at: float) -> bool:
    """Record the role that an endpoint reported as of `at`; return whether the group has a new primary."""
    if at < endpoint.role_known_at:
        return False
    endpoint.role_known_at = at
    endpoint.role_unconfirmed = False
    current = group.primary
    if not primary:
        if current is endpoint:
            group.primary = None
        return False
    if current is endpoint or (current is not None and at < current.role_known_at):
        return False
    group.primary = endpoint
    return True


def role_listed(group: ReplicaGroup, endpoint: Endpoint, primary: bool) -> None:
    """Record a role from the endpoint list; it has an effect only if the group has no primary that serves.

    If the endpoint has reported a role itself before, the listed role stays unconfirmed until its next
    report: writes may be sent to it, reads wait.
    """
    newly_listed = primary and not endpoint.listed_as_primary
    endpoint.listed_as_primary = primary
    if not newly_listed:
        return
    current = group.primary
    if current is not None and current.ejection_reason is None and current.state is EndpointState.UP:
        return
    reported_before = endpoint.role_known_at > -NEVER
    at = max(endpoint.role_known_at, current.role_known_at if current is not None else -NEVER)
    role_reported(group, endpoint, True, at)
    endpoint.role_unconfirmed = reported_before


def role_removed(group: ReplicaGroup, endpoint: Endpoint) -> None:
    """Clear the group's primary if it is the endpoint that is being removed."""
    if group.primary is endpoint:
        group.primary = None


@dataclass(slots=True, eq=False)
class PrimaryDiscovery:
    """Searches for the primary with waiting writes and with health checks."""

    state: RouterState
    eligibility: Eligibility
    health_checks: HealthChecks

    def next_candidate(self, request: RoutedRequest) -> Endpoint | None:
        """Return the endpoint to which a write should be sent next in search of the primary.

        Return None unless this write is the one that searches. One write at a time tries the endpoints in the
        order of their ids, followed by a pause. The next write continues where the previous one stopped,
        because a group may have more endpoints than a request has attempts.
        """
        group = request.group
        other_searches = (
            group.discovering_request != request.id and group.discovering_request in self.state.requests
        )
        attempts_max = max(1, self.state.settings.max_attempts - ATTEMPTS_KEPT)
        if (
            other_searches
            or len(request.attempts) >= attempts_max
            or self.state.now < group.attempts_resume_at
        ):
            return None
        for endpoint in sorted(group.endpoints, key=lambda e: (e.id <= group.last_candidate, e.id)):
            if endpoint not in request.attempts and self.eligibility.may_send(endpoint, request):
                group.discovering_request = request.id
                group.last_candidate = endpoint.id
                return endpoint
        group.discovering_request = None
        group.attempts_resume_at = self.state.now + ATTEMPT_PAUSE_S
        return None

    def check_roles(self, group: ReplicaGroup) -> None:
        """While no primary serves, check the roles of random endpoints, as many as requests wait."""
        current = group.primary
        if current is not None and current.ejection_reason is None:
            return
        if self.state.now < group.role_checks_resume_at:
            return
        group.role_checks_resume_at = self.state.now + ROLE_CHECK_INTERVAL_S
        count = min(len(group.endpoints), len(group.waiting))
        for endpoint in self.state.random.sample(group.endpoints, count):
            self.health_checks.check(endpoint)
