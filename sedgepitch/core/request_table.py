"""The table of pending requests: each gets one final answer.

A request leaves the pending state by `complete` or by `cancel`, whichever is first. A second `complete` is a
defect: it is counted and never reaches the client. Only the table holds the client's callback and drops it
with the first of the two, so bytes from an attempt that lost go nowhere.
"""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.core.types import AttemptHandle, ClientRequest, ResponseCallback


@dataclass(slots=True, eq=False)
class SentAttempt:
    """One attempt of a request that has not ended."""

    endpoint: int
    sent_at: float
    in_flight: AttemptHandle


class PendingRequest:
    """One request and its attempts in flight. All moments are seconds on the engine's clock."""

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
        """Make the entry of a request that arrived, and was read, at these moments."""
        self.id = number
        self.request = request
        self.on_response: ResponseCallback | None = on_response
        self.read_at = read_at  # when its bytes were read
        self.arrived_at = arrived_at  # when its bytes arrived
        self.deadline = arrived_at + request.time_left
        self.router_deadline = self.deadline  # as the router is told: earlier by the deadline margin
        self.timed_out = False  # its deadline has passed, and the router has been told
        self.response_received_at = 0.0  # when the bytes of its answer arrived, 0 where that is not known
        self.sticky = False  # bound to one endpoint: the router knows nothing of it
        self.admitted = True
        self.attempt_count = 0
        self.attempts: dict[int, SentAttempt] = {}  # in flight, by attempt number
        self.attempted_endpoints: list[int] = []
        self.last_error = ""  # how the last unsuccessful attempt ended

    @property
    def open(self) -> bool:
        """Whether it still awaits its final answer."""
        return self.on_response is not None


class RequestTable:
    """All pending requests, and completed ones whose attempts have not ended.

    Completed and cancelled requests stay until the router has seen what ended them: an attempt that it
    decided on before can then be reported as not sent.
    """

    def __init__(self) -> None:
        """Make an empty table."""
        self.requests: dict[int, PendingRequest] = {}
        self.pending = 0
        self.opened = 0
        self.completed = 0
        self.cancelled = 0
        self.duplicate_responses = 0  # held back; above 0 is a defect
        self._closed: list[PendingRequest] = []  # since the last sweep
        self._last_id = 0

    def open(
        self, request: ClientRequest, on_response: ResponseCallback, now: float, arrived_at: float
    ) -> PendingRequest:
        """Add a request that was read now and arrived at `arrived_at`."""
        self._last_id += 1
        pending = PendingRequest(self._last_id, request, on_response, now, arrived_at)
        self.requests[pending.id] = pending
        self.pending += 1
        self.opened += 1
        return pending

    def complete(self, pending: PendingRequest) -> ResponseCallback | None:
        """End a request with an answer; returns the callback to give it to, None where it had ended."""
        on_response = pending.on_response
        if on_response is None:
            self.duplicate_responses += 1
            return None
        self._close(pending)
        self.completed += 1
        return on_response

    def cancel(self, pending: PendingRequest) -> bool:
        """End a request whose client has disconnected; returns whether it was pending."""
        if pending.on_response is None:
            return False
        self._close(pending)
        self.cancelled += 1
        return True

    def remove_attempt(self, pending: PendingRequest, attempt: int) -> None:
        """Forget an attempt that has ended; an ended request goes with its last one."""
        pending.attempts.pop(attempt, None)
        if not pending.open and not pending.attempts:
            self._closed.append(pending)

    def sweep(self) -> None:
        """Drop ended requests that have no attempt in flight, once the router has seen their end."""
        closed, self._closed = self._closed, []
        for pending in closed:
            if not pending.attempts:
                self.requests.pop(pending.id, None)

    def _close(self, pending: PendingRequest) -> None:
        pending.on_response = None
        self.pending -= 1
        self._closed.append(pending)
