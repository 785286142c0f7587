"""Which endpoint is a group's primary, and how it is found while none is known.

The newest evidence of a role counts: an answer as of now, a report as of its position. The endpoint list is
late, so it counts only where nothing better is known.
"""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.routing.eligibility import Eligibility
from sedgepitch.routing.health_checks import HealthChecks
from sedgepitch.routing.messages import EndpointState
from sedgepitch.routing.records import NEVER, Endpoint, ReplicaGroup, RoutedRequest
from sedgepitch.routing.state import RouterState

ATTEMPT_PAUSE_S = 0.5  # between two rounds of attempts at all endpoints of a group
ROLE_CHECK_INTERVAL_S = 0.25  # between two rounds of health checks for roles
ATTEMPTS_KEPT = 2  # attempts of a request that the discovery leaves for the primary once it is known


def role_reported(group: ReplicaGroup, endpoint: Endpoint, primary: bool, at: float) -> bool:
    """Take an endpoint's own word on its role as of `at`; returns whether it makes a new primary known."""
    if at < endpoint.role_known_at:
        return False
    endpoint.role_known_at = at
    endpoint.role_unconfirmed = False
    known = group.primary
    if not primary:
        if known is endpoint:
            group.primary = None
        return False
    if known is endpoint or (known is not None and at < known.role_known_at):
        return False
    group.primary = endpoint
    return True


def role_listed(group: ReplicaGroup, endpoint: Endpoint, primary: bool) -> None:
    """Take the list's word on a role, where no primary is known that serves.

    Against the endpoint's own word the role stays unconfirmed: writes may try it, reads wait.
    """
    newly_listed = primary and not endpoint.listed_as_primary
    endpoint.listed_as_primary = primary
    if not newly_listed:
        return
    known = group.primary
    if known is not None and known.ejection_reason is None and known.state is EndpointState.UP:
        return
    contradicts = endpoint.role_known_at > -NEVER
    at = max(endpoint.role_known_at, known.role_known_at if known is not None else -NEVER)
    role_reported(group, endpoint, True, at)
    endpoint.role_unconfirmed = contradicts


def role_forgotten(group: ReplicaGroup, endpoint: Endpoint) -> None:
    """The endpoint is long gone: it is not the primary any more."""
    if group.primary is endpoint:
        group.primary = None


@dataclass(slots=True, eq=False)
class PrimaryDiscovery:
    """Looks for a primary with the writes that wait for it, and with health checks."""

    state: RouterState
    eligibility: Eligibility
    health_checks: HealthChecks

    def next_candidate(self, request: RoutedRequest) -> Endpoint | None:
        """Return the endpoint that a write should try as the primary, if it is the one that looks for it.

        One write at a time tries the endpoints in the order of their ids, then there is a pause. The next
        write goes on where it stopped: a group may have more endpoints than a request has attempts.
        """
        group = request.group
        other_looks = (
            group.discovering_request != request.id and group.discovering_request in self.state.requests
        )
        attempts_max = max(1, self.state.settings.max_attempts - ATTEMPTS_KEPT)
        if other_looks or len(request.attempts) >= attempts_max or self.state.now < group.attempts_resume_at:
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
        """While requests wait for a primary, check the roles of as many endpoints as requests wait."""
        known = group.primary
        if known is not None and known.ejection_reason is None:
            return
        if self.state.now < group.role_checks_resume_at:
            return
        group.role_checks_resume_at = self.state.now + ROLE_CHECK_INTERVAL_S
        count = min(len(group.endpoints), len(group.waiting))
        for endpoint in self.state.random.sample(group.endpoints, count):
            self.health_checks.check(endpoint)
