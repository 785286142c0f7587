"""The table of pending requests, which ensures that each gets exactly one final answer.

A request leaves the pending state by `complete` or by `cancel`, whichever comes first. A second `complete` is
a defect: it is counted and never reaches the client. Only the table holds the client's callback, and drops it
at the first of the two calls, so the reply to a losing attempt is discarded.
"""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.core.types import AttemptHandle, ClientRequest, ResponseCallback


@dataclass(slots=True, eq=False)
class SentAttempt:
    """One attempt in flight."""

    endpoint: int
    sent_at: float
    in_flight: AttemptHandle


class PendingRequest:
    """One request and its attempts in flight. All times are seconds on the engine's clock."""

    __slots__ = (
        "admitted",
        "arrived_at",
        "attempt_count",
        "attempted_endpoints",
        "attempts",
        "deadline",
        "id",
        "last_error",
        "on_response",
        "read_at",
        "request",
        "response_received_at",
        "router_deadline",
        "sticky",
        "timed_out",
    )

    def __init__(
        self,
        number: int,
        request: ClientRequest,
        on_response: ResponseCallback,
        read_at: float,
        arrived_at: float,
    ) -> None:
        """Create the entry of a request that arrived at `arrived_at` and was read at `read_at`."""
        self.id = number
        self.request = request
        self.on_response: ResponseCallback | None = on_response
        self.read_at = read_at  # when its bytes were read
        self.arrived_at = arrived_at  # when its bytes arrived
        self.deadline = arrived_at + request.time_left
        self.router_deadline = self.deadline  # passed to the router: earlier by the deadline margin
        self.timed_out = False  # its deadline has passed and the router has been notified
        self.response_received_at = 0.0  # when the bytes of its answer arrived, 0 if unknown
        self.sticky = False  # bound to one endpoint, bypassing the router
        self.admitted = True
        self.attempt_count = 0
        self.attempts: dict[int, SentAttempt] = {}  # in flight, by attempt number
        self.attempted_endpoints: list[int] = []
        self.last_error = ""  # how the last unsuccessful attempt ended

    @property
    def open(self) -> bool:
        """Whether the request is still pending."""
        return self.on_response is not None


class RequestTable:
    """All pending requests, and ended ones that still have attempts in flight.

    Completed and cancelled requests stay until the router has processed the event that ended them. Until
    then it may decide on another attempt, which can thus be reported as not sent.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.requests: dict[int, PendingRequest] = {}
        self.pending = 0
        self.opened = 0
        self.completed = 0
        self.cancelled = 0
        self.duplicate_responses = 0  # suppressed; above 0 indicates a defect
        self._closed: list[PendingRequest] = []  # since the last sweep
        self._last_id = 0

    def open(
        self, request: ClientRequest, on_response: ResponseCallback, now: float, arrived_at: float
    ) -> PendingRequest:
        """Add a request that arrived at `arrived_at` and was read at `now`."""
        self._last_id += 1
        pending = PendingRequest(self._last_id, request, on_response, now, arrived_at)
        self.requests[pending.id] = pending
        self.pending += 1
        self.opened += 1
        return pending

    def complete(self, pending: PendingRequest) -> ResponseCallback | None:
        """End a request with an answer; return its callback, or None if the request had already ended."""
        on_response = pending.on_response
        if on_response is None:
            self.duplicate_responses += 1
            return None
        self._close(pending)
        self.completed += 1
        return on_response

    def cancel(self, pending: PendingRequest) -> bool:
        """End a request whose client has disconnected; return whether it was pending."""
        if pending.on_response is None:
            return False
        self._close(pending)
        self.cancelled += 1
        return True

    def remove_attempt(self, pending: PendingRequest, attempt: int) -> None:
        """Remove an attempt that has ended; an ended request may be dropped after its last attempt."""
        pending.attempts.pop(attempt, None)
        if not pending.open and not pending.attempts:
            self._closed.append(pending)

    def sweep(self) -> None:
        """Drop ended requests without attempts in flight; called after the router has processed their end."""
        closed, self._closed = self._closed, []
        for pending in closed:
            if not pending.attempts:
                self.requests.pop(pending.id, None)

    def _close(self, pending: PendingRequest) -> None:
        pending.on_response = None
        self.pending -= 1
        self._closed.append(pending)
