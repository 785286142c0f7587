"""Which endpoints are recent enough for a read: positions, and what sessions have written."""

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

SESSIONS_MAX = 4096  # sessions of a group that are remembered one by one


@dataclass(slots=True, eq=False)
class FreshnessRules:
    """Judges endpoints' positions against what a read must see, at this moment."""

    state: RouterState
    remembers_sessions: bool = field(init=False)
    """Whether a session's writes are remembered here; otherwise the client brings their age."""

    def __post_init__(self) -> None:
        """Read from the settings who tracks sessions."""
        self.remembers_sessions = self.state.settings.session_tracking is not SessionTracking.BY_CLIENT

    def fresh_enough(self, endpoint: Endpoint, request: RoutedRequest) -> bool:
        """Return whether the endpoint's last known position holds all that the read must see."""
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
        """Return the position that a session's read must see, as a time.

        It may grow while the read waits or is tried again. A write in flight may have been committed until
        now: whether its answer is lost shows only later.
        """
        if self.remembers_sessions:
            group = request.group
            known = group.session_commits.get(request.session, group.forgotten_sessions_position)
            request.required_position = max(request.required_position, known)
            if request.session in group.session_writes:
                return self.state.now
        return request.required_position

    def max_staleness(self, request: RoutedRequest) -> float:
        """Return how many seconds behind an endpoint may be to serve the read."""
        if request.request_class.freshness is Freshness.BOUNDED:
            return request.request_class.max_staleness
        return self.state.now - self.required_position(request)

    # Sessions

    def session_age_stated(self, request: RoutedRequest, age: float) -> None:
        """The client brings the age of its session's last commit in seconds; 0 stands for none."""
        if not self.remembers_sessions and age > 0:
            request.required_position = self.state.now - age

    def write_started(self, request: RoutedRequest) -> None:
        """A write attempt is sent: its session's reads need the present until it ends."""
        if self._is_remembered(request):
            writes = request.group.session_writes
            writes[request.session] = writes.get(request.session, 0) + 1

    def write_finished(self, request: RoutedRequest, event: AttemptFinished) -> None:
        """A write attempt has ended: remember what its session's reads must see from now on.

        That is the commit, or all until now where the commit is not stated: an attempt that may have run,
        though its answer was lost, may have committed until its end.
        """
        if not self._is_remembered(request):
            return
        group, session = request.group, request.session
        group.session_writes[session] -= 1
        if not group.session_writes[session]:
            del group.session_writes[session]
        if event.result not in NEVER_RAN:
            commit = event.position if event.result is AttemptResult.OK else None
            known = group.session_commits.get(session, 0.0)
            group.session_commits[session] = max(known, commit or self.state.now)

    def _is_remembered(self, request: RoutedRequest) -> bool:
        if not self.remembers_sessions or not request.session:
            return False
        return request.request_class.freshness is Freshness.WRITE

    def forget_sessions(self, group: ReplicaGroup) -> None:
        """Forget sessions whose commits every endpoint holds, and the oldest above SESSIONS_MAX.

        A forgotten session is held to the position up to which sessions were forgotten. Without the maximum
        one endpoint that reports no position would keep all of them.
        """
        commits = group.session_commits
        positions = (e.position for e in group.endpoints if e.state is EndpointState.UP)
        forgotten = min(positions, default=-NEVER)
        if len(commits) > SESSIONS_MAX:
            forgotten = max(forgotten, sorted(commits.values())[-SESSIONS_MAX] + POSITION_ROUNDING_S)
        group.forgotten_sessions_position = max(group.forgotten_sessions_position, forgotten)
        group.session_commits = {
            session: commit for session, commit in commits.items() if commit + POSITION_ROUNDING_S > forgotten
        }
