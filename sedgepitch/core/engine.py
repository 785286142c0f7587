"""The engine: connects protocols, admission, the router and the upstream side.

It makes no routing decisions. It guarantees the invariants that hold for every decision: each request gets
one final answer before its deadline, the end of every attempt is reported, and readable input is read before
a timer is evaluated. All events of one event loop turn are collected and decided on together.

Each concern has a module: `intake` (requests and disconnects), `dispatch` (events to the router, its
actions), `deadlines`, `completion` (answers, ends of attempts), `endpoint_changes` and `callback_guard`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from sedgepitch.core.callback_guard import CallbackGuard
from sedgepitch.core.completion import Completion
from sedgepitch.core.deadlines import Deadlines
from sedgepitch.core.dispatch import Dispatcher
from sedgepitch.core.endpoint_changes import EndpointChanges
from sedgepitch.core.intake import Intake
from sedgepitch.core.request_table import PendingRequest, RequestTable
from sedgepitch.core.types import AttemptObserver, ClientRequest, Clock, Response, ResponseCallback, Upstream
from sedgepitch.decisions.admission.process_concurrency_limit import ProcessConcurrencyLimit
from sedgepitch.decisions.event_loop_lag import EventLoopLag
from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router

if TYPE_CHECKING:
    from sedgepitch.decisions.admission.controller import AdmissionController

TOLERABLE_WAIT_SHARE = 0.1  # mean wait in this process, as a fraction of the shortest latency objective
DEFAULT_MAX_IN_FLIGHT = 10_000  # requests
DEFAULT_HANDOVER_LIMIT = 0.05  # s


class Engine:
    """Runs one router with the endpoints of one upstream side.

    `clock` is the only clock used by the engine and by what it calls. `max_in_flight` bounds pending
    requests. `handover_limit` is the maximum time in seconds between a decision that may expire and the
    sending of its bytes. `watch` subscribes to changes of the endpoint list at discovery, `log` receives the
    router's messages, `on_response` each final answer with the seconds since the request's arrival, and
    `on_callback_error` each exception raised by a callback.
    """

    def __init__(  # noqa: PLR0913  # options for embedders, by keyword
        self,
        router: Router,
        upstream: Upstream,
        clock: Clock,
        *,
        max_in_flight: int = DEFAULT_MAX_IN_FLIGHT,
        admission: AdmissionController | None = None,
        watch: Callable[[], None] | None = None,
        log: Callable[[str], None] | None = None,
        on_response: Callable[[PendingRequest, Response, float], None] | None = None,
        handover_limit: float = DEFAULT_HANDOVER_LIMIT,
        on_callback_error: Callable[[str, BaseException], None] | None = None,
    ) -> None:
        """Connect the parts; nothing runs until a request, an event or an endpoint list arrives."""
        self.router = router
        self.upstream = upstream
        self.clock = clock
        self.max_in_flight = max_in_flight
        self.admission = admission
        self.handover_limit = handover_limit
        self.watch = watch
        self.log = log
        self.on_response = on_response
        self.attempt_observer: AttemptObserver | None = None
        self.stopping = False
        self.classes = {cls.name: cls for cls in router.settings.classes}
        self.event_loop_lag = EventLoopLag()
        self.process_limit = _process_limit(router.settings)
        self.rejected_for_load = 0  # by the process concurrency limit
        self.rejected_for_lag = 0  # on arrival: time left below the deadline margin plus MIN_TIME_LEFT
        self.answered_early = 0  # before the router's deadline, because the lag had grown
        self.answered_by_last_guard = 0  # without a decision; above 0 indicates a defect
        self.request_table = RequestTable()
        self.callbacks = CallbackGuard(on_callback_error)
        self.completion = Completion(self)
        self.dispatcher = Dispatcher(self)
        self.deadlines = Deadlines(self)
        self.intake = Intake(self)
        self.endpoint_changes = EndpointChanges(self)

    # From the client side of a protocol

    def submit(
        self, request: ClientRequest, on_response: ResponseCallback, arrived_at: float | None = None
    ) -> PendingRequest:
        """Accept a request; `on_response` is called exactly once, unless the client disconnects first.

        `arrived_at` is when its bytes arrived (default: now); the request's time left counts from then.
        """
        return self.intake.submit(request, on_response, arrived_at)

    def submit_sticky(
        self,
        endpoint: int,
        request: ClientRequest,
        on_response: ResponseCallback,
        arrived_at: float | None = None,
    ) -> PendingRequest:
        """Accept a request that only one endpoint can serve, such as the next batch of a cursor."""
        return self.intake.submit_sticky(endpoint, request, on_response, arrived_at)

    def client_disconnected(self, pending: PendingRequest) -> None:
        """Cancel a request whose client has disconnected; does nothing if the request has ended."""
        self.intake.client_disconnected(pending)

    def before_reading(self) -> None:
        """Answer requests whose deadline is due, before a new request is read."""
        self.deadlines.before_reading()

    def reject_unread(self, waited: float, tenant: str) -> bool:
        """Return whether to reject, without reading it, a request that waited `waited` seconds.

        A rejection is counted. See `decisions/admission/process_concurrency_limit.py`.
        """
        most_active = self.admission is None or tenant == self.admission.most_active_tenant
        if not self.process_limit.rejects_unread(waited, most_active):
            return False
        self.rejected_for_load += 1
        return True

    # From discovery, gossip and the program

    def feed(self, event: api.Event) -> None:
        """Queue an event for the router; all events of this turn are decided on together."""
        self.dispatcher.feed(event)

    def list_changed(self, event: api.EndpointListUpdate) -> None:
        """Apply an endpoint list; its endpoint states take effect immediately."""
        self.endpoint_changes.list_changed(event)

    @property
    def draining_since(self) -> dict[int, float]:
        """When each draining or gone endpoint was first listed as such."""
        return self.endpoint_changes.draining_since

    def answer_all_by(self, moment: float) -> None:
        """Bring all deadlines forward to `moment`, by which this process exits."""
        self.deadlines.answer_all_by(moment)

    # The process's own delay

    def record_wait(self, seconds: float, now: float) -> None:
        """Record how long bytes or a timer waited until this process handled them at `now`."""
        self.event_loop_lag.record(seconds, now)
        admission = self.admission
        in_process = self.request_table.pending if admission is None else admission.in_flight
        self.process_limit.record(seconds, in_process, now)
        if admission is not None:
            admission.process_limit = self.process_limit.limit


def _process_limit(settings: api.Settings) -> ProcessConcurrencyLimit:
    """Return a limit that tolerates a fraction of the shortest latency objective as the mean wait."""
    shortest = min(cls.latency_objective for cls in settings.classes)
    return ProcessConcurrencyLimit(TOLERABLE_WAIT_SHARE * shortest)
