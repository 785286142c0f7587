"""The schedule of a graceful shutdown, from the request until the platform kills the process.

======================  ==================================================================================
from                    rule
======================  ==================================================================================
shutdown requested      new connections are accepted and all requests served
`accept_until`          connections in the backlog are accepted, then the port is closed
`close_idle_from`       idle connections without unread bytes are closed, others after their response
`drain_deadline`        requests that are still pending get their final answer; from now on statements are
                        rejected as they are read, without being executed
`exit_deadline`         the process exits, even if clients still hold connections, unless statements wait
`last_exit`             the process exits, even if statements wait that have been read or lie unread
======================  ==================================================================================

Requests are served that long because many clients have no other proxy instance to use. Connections are closed
before the exit because a close between requests costs a client one new connection, while the end of the
process costs it the pending request.
"""

from __future__ import annotations

NEW_CONNECTIONS_S = 0.5  # after the request; the platform still sends new connections for 0.2 to 0.4 s
# The platform kills the process no earlier than the longest request deadline, counted as at most
# MAX_DEADLINE_S, plus KILL_MARGIN_S after the shutdown request.
MAX_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
CLOSE_IDLE_BEFORE_KILL_S = 0.35
DRAIN_BEFORE_KILL_S = 0.15
EXIT_BEFORE_KILL_S = 0.06  # for the exit itself, and to be scheduled for it on a busy machine
LAST_EXIT_BEFORE_KILL_S = 0.04


class ShutdownSchedule:
    """The times of one shutdown, in seconds of the clock of `requested_at`.

    The shutdown was requested at `requested_at` or later, and at `noticed_at` at the latest: the process must
    have exited in time for the former, and new connections may arrive for a while after the latter.
    `longest_deadline` is the longest request deadline of all classes, in seconds.
    """

    __slots__ = ("accept_until", "close_idle_from", "drain_deadline", "exit_deadline", "last_exit")

    def __init__(self, requested_at: float, longest_deadline: float, noticed_at: float | None = None) -> None:
        killed_at = requested_at + min(longest_deadline, MAX_DEADLINE_S) + KILL_MARGIN_S
        self.close_idle_from = killed_at - CLOSE_IDLE_BEFORE_KILL_S
        latest_request = requested_at if noticed_at is None else noticed_at
        self.accept_until = min(latest_request + NEW_CONNECTIONS_S, self.close_idle_from)
        self.drain_deadline = killed_at - DRAIN_BEFORE_KILL_S
        self.exit_deadline = killed_at - EXIT_BEFORE_KILL_S
        self.last_exit = killed_at - LAST_EXIT_BEFORE_KILL_S

    def may_exit(
        self, now: float, *, listening: bool, connections: int, pending: int, waiting: bool = False
    ) -> bool:
        """Return whether the process may exit: never while requests are pending.

        Otherwise it may exit once the port and all connections are closed, or from `exit_deadline` on.
        Statements of clients that are `waiting`, read or unread, hold the exit until `last_exit`: they are
        rejected as fast as they are read, so only a client that keeps sending has any left by then.
        """
        if pending:
            return False
        all_closed = not listening and not connections
        if all_closed or now >= self.last_exit:
            return True
        return now >= self.exit_deadline and not waiting
