"""Freshness rules: whether an endpoint's replication position is recent enough for a read."""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.messages import (
    NEVER_RAN,
    AttemptFinished,
    AttemptResult,
    EndpointState,
    Freshness,
    SessionTracking,
)
from sedgepitch.routing.records import NEVER, POSITION_ROUNDING_S, Endpoint, ReplicaGroup, RoutedRequest
from sedgepitch.routing.state import RouterState

SESSIONS_MAX = 4096  # sessions of a group whose last commits are tracked individually


@dataclass(slots=True, eq=False)
class FreshnessRules:
    """Compares endpoints' last known positions with the position that a read requires now."""

    state: RouterState
    tracks_sessions: bool = field(init=False)
    """Whether the router tracks the commits of sessions; otherwise the client sends the last one's age."""

    def __post_init__(self) -> None:
        """Derive from the settings whether the router tracks sessions."""
        self.tracks_sessions = self.state.settings.session_tracking is not SessionTracking.BY_CLIENT

    def fresh_enough(self, endpoint: Endpoint, request: RoutedRequest) -> bool:
        """Return whether the endpoint's last known position meets the read's freshness requirement."""
        freshness = request.request_class.freshness
        if freshness is Freshness.ANY:
            return True
        if freshness is Freshness.BOUNDED:
            oldest = self.state.now - request.request_class.max_staleness
            return endpoint.position >= oldest + POSITION_ROUNDING_S
        if freshness is Freshness.SESSION:
            return endpoint.position >= self.required_position(request) + POSITION_ROUNDING_S
        return False

    def required_position(self, request: RoutedRequest) -> float:
        """Return the position, as a time, that an endpoint needs to serve a session's read.

        The required position can advance while the read waits or is retried. While a write of the session is
        in flight, it is the current time: the write may already be committed, although its response has not
        arrived.
        """
        if self.tracks_sessions:
            group = request.group
            position = group.session_commits.get(request.session, group.dropped_sessions_position)
            request.required_position = max(request.required_position, position)
            if request.session in group.session_writes:
                return self.state.now
        return request.required_position

    def max_staleness(self, request: RoutedRequest) -> float:
        """Return the maximum replication lag, in seconds, of an endpoint that may serve the read."""
        if request.request_class.freshness is Freshness.BOUNDED:
            return request.request_class.max_staleness
        return self.state.now - self.required_position(request)

    # Sessions

    def set_session_age(self, request: RoutedRequest, age: float) -> None:
        """Set the required position from the age in seconds that the client sent; 0 means no commit."""
        if not self.tracks_sessions and age > 0:
            request.required_position = self.state.now - age

    def write_started(self, request: RoutedRequest) -> None:
        """Record a write attempt in flight; until it ends, its session's reads require the present state."""
        if self._is_tracked_write(request):
            writes = request.group.session_writes
            writes[request.session] = writes.get(request.session, 0) + 1

    def write_finished(self, request: RoutedRequest, event: AttemptFinished) -> None:
        """Record that a write attempt has ended, and the position that its session's reads now require.

        That position is the commit time, or the current time if the endpoint did not report a commit: an
        attempt whose response was lost may have committed at any time until its end.
        """
        if not self._is_tracked_write(request):
            return
        group, session = request.group, request.session
        group.session_writes[session] -= 1
        if not group.session_writes[session]:
            del group.session_writes[session]
        if event.result not in NEVER_RAN:
            commit = event.position if event.result is AttemptResult.OK else None
            previous = group.session_commits.get(session, 0.0)
            group.session_commits[session] = max(previous, commit or self.state.now)

    def _is_tracked_write(self, request: RoutedRequest) -> bool:
        if not self.tracks_sessions or not request.session:
            return False
        return request.request_class.freshness is Freshness.WRITE

    def drop_sessions(self, group: ReplicaGroup) -> None:
        """Drop sessions whose commits every endpoint has applied, and the oldest ones above SESSIONS_MAX.

        Reads of a dropped session require the highest position up to which sessions were dropped. Without the
        maximum, a single endpoint that reports no position would prevent any session from being dropped.
        """
        commits = group.session_commits
        positions = (e.position for e in group.endpoints if e.state is EndpointState.UP)
        drop_until = min(positions, default=-NEVER)
        if len(commits) > SESSIONS_MAX:
            drop_until = max(drop_until, sorted(commits.values())[-SESSIONS_MAX] + POSITION_ROUNDING_S)
        group.dropped_sessions_position = max(group.dropped_sessions_position, drop_until)
        group.session_commits = {
            session: commit
            for session, commit in commits.items()
            if commit + POSITION_ROUNDING_S > drop_until
        }
