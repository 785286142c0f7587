"""The schedule of a graceful shutdown, from the request until the platform kills the process.

======================  ==================================================================================
from                    rule
======================  ==================================================================================
shutdown requested      new connections are accepted and all requests served
`accept_until`          what waits in the backlog is accepted, then the port closes
`close_idle_from`       idle connections with nothing unread are closed, others after their response
`drain_deadline`        requests that are still pending get their final answer
`exit_deadline`         the process exits, whatever connections clients still hold
======================  ==================================================================================

Serving goes on that long because many clients have no other proxy instance to go to. Connections are closed
before the exit because a close between requests costs a client one new connection, while the end of the
process costs the request that is pending on it.
"""

from __future__ import annotations

NEW_CONNECTIONS_S = 0.5  # after the request; the platform sends new connections for 0.2 to 0.4 s
# The platform kills no sooner than the longest request deadline, counted as MAX_DEADLINE_S where it is
# longer, plus KILL_MARGIN_S after the request.
MAX_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
CLOSE_IDLE_BEFORE_KILL_S = 0.35
DRAIN_BEFORE_KILL_S = 0.15
EXIT_BEFORE_KILL_S = 0.06  # for the end of what clients still hold: dozens of connections take half of it


class ShutdownSchedule:
    """The times of one shutdown, in seconds of the clock that `requested_at` is of.

    `longest_deadline` is the longest request deadline of all classes, in seconds.
    """

    __slots__ = ("accept_until", "close_idle_from", "drain_deadline", "exit_deadline")

    def __init__(self, requested_at: float, longest_deadline: float) -> None:
        killed_at = requested_at + min(longest_deadline, MAX_DEADLINE_S) + KILL_MARGIN_S
        accept_for = min(NEW_CONNECTIONS_S, killed_at - requested_at - CLOSE_IDLE_BEFORE_KILL_S)
        self.accept_until = requested_at + accept_for
        self.close_idle_from = killed_at - CLOSE_IDLE_BEFORE_KILL_S
        self.drain_deadline = killed_at - DRAIN_BEFORE_KILL_S
        self.exit_deadline = killed_at - EXIT_BEFORE_KILL_S

    def may_exit(self, now: float, *, listening: bool, connections: int, pending: int) -> bool:
        """Whether the process may exit: never with requests pending.

        Without pending requests it may once the port and all connections are closed, or from `exit_deadline`.
        """
        if pending:
            return False
        all_closed = not listening and not connections
        return all_closed or now >= self.exit_deadline
