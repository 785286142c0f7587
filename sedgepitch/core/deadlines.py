"""Deadlines of all pending requests, checked together in periodic ticks.

The process's own delay counts against each deadline: time runs from the arrival of a request's bytes, and a
deadline is enforced early by the deadline margin that `decisions/event_loop_lag.py` estimates.
"""

from __future__ import annotations

from collections import deque
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

from sedgepitch.core import reasons
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.core.types import NEVER, Response, ResponseStatus
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import Idempotency

if TYPE_CHECKING:
    from sedgepitch.core.engine import Engine

TICK = 0.01  # s between checks of deadlines and of queued admission requests, while a request is pending
LAST_GUARD_AFTER = 0.02  # s after the router was notified of a passed deadline, until the engine answers
CLOCK_TOLERANCE = 1e-6  # s
MAX_STALE_ENTRIES = 64  # entries of ended requests allowed in the heap, beyond one for each live request


class Deadlines:
    """Ends requests whose deadline has passed: by the router's answer or by the *last guard*.

    The last guard is the engine's own answer to a request that is still pending LAST_GUARD_AFTER seconds
    after the router was notified that the deadline has passed.
    """

    __slots__ = ("_guards", "_heap", "_tick_due", "engine")

    def __init__(self, engine: Engine) -> None:
        """Handle the requests of `engine`."""
        self.engine = engine
        # (deadline, request id); ended requests stay until `add` drops them or they are due
        self._heap: list[tuple[float, int]] = []
        self._guards: deque[tuple[float, PendingRequest]] = deque()  # with the time of the last guard
        self._tick_due = NEVER

    def add(self, pending: PendingRequest, now: float) -> None:
        """Track the deadline of a request."""
        heappush(self._heap, (pending.deadline, pending.id))
        requests = self.engine.request_table.requests
        if len(self._heap) > 2 * len(requests) + MAX_STALE_ENTRIES:
            self._heap = [entry for entry in self._heap if entry[1] in requests]
            heapify(self._heap)
        self._schedule_tick(now)

    def answer_all_by(self, moment: float) -> None:
        """Bring the deadlines of all pending requests forward to `moment`, when the process shuts down."""
        for pending in self.engine.request_table.requests.values():
            if pending.deadline > moment:
                pending.deadline = moment  # the router keeps the later one; the engine answers without it
                heappush(self._heap, (moment, pending.id))
        if self._heap:
            self._schedule_tick(self.engine.clock.now())

    def before_reading(self) -> None:
        """End requests that are due within half of the deadline margin, before a new request is read.

        In a long turn, timers wait behind everything that the turn reads. The drawback: an answer that is
        still unread on another socket in the same turn comes too late to be forwarded.
        """
        if self._heap:
            now = self.engine.clock.now()
            until = now + self.engine.event_loop_lag.deadline_margin(now) / 2.0
            if self._heap[0][0] <= until:
                self._end_due(until)

    # Ticks

    def _schedule_tick(self, now: float) -> None:
        if self._tick_due == NEVER:
            self._tick_due = now + TICK
            self.engine.clock.call_later(TICK, self._tick)

    def _tick(self) -> None:
        """Check the deadlines once everything readable has been read."""
        due, self._tick_due = self._tick_due, NEVER
        clock = self.engine.clock
        clock.after_reading(self._check, clock.now(), due)

    def _check(self, tick_at: float, due: float) -> None:
        """End requests that were due at `tick_at`: all bytes up to then have been read, newer ones may not.

        The delay of this call after `due` is a sample of the event loop lag.
        """
        engine = self.engine
        now = engine.clock.now()
        engine.record_wait(now - due, now)
        if engine.admission is not None:
            engine.intake.carry_out(engine.admission.tick(now))
        self._end_due(tick_at + engine.event_loop_lag.deadline_margin(now))
        while self._guards and self._guards[0][0] <= now:
            pending = self._guards.popleft()[1]
            if pending.open:
                self._answer_last(pending)
        if engine.request_table.pending or self._heap:
            self._schedule_tick(engine.clock.now())

    def _end_due(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            _, number = heappop(self._heap)
            pending = self.engine.request_table.requests.get(number)
            if pending is None:
                continue
            if pending.open:
                self._time_out(pending)
                continue
            # The request was answered before, but an attempt is still in flight. It ends at the client's
            # deadline too: with an unresponsive endpoint it would otherwise never end, and the router would
            # count it as in flight.
            for attempt in list(pending.attempts):
                self.engine.completion.expire_attempt(pending, attempt, reasons.NO_ANSWER_BY_DEADLINE)

    # A deadline that has passed

    def _time_out(self, pending: PendingRequest) -> None:
        """Time out every attempt of a request, so that the router gives its final answer.

        The engine answers at once if the request bypasses the router, if the router's deadline is still
        ahead, or if the router has been notified before. Otherwise the last guard is due LAST_GUARD_AFTER
        from now regardless of the lag: earlier, the router would not have had its turn; later, a delay that
        is already over would postpone the answer.
        """
        if pending.timed_out or pending.sticky or self._router_has_time(pending):
            self._answer_last(pending)
            return
        pending.timed_out = True
        self._guards.append((self.engine.clock.now() + LAST_GUARD_AFTER, pending))
        for attempt in list(pending.attempts):
            self.engine.completion.expire_attempt(pending, attempt, reasons.NO_ANSWER_BY_DEADLINE)

    def _router_has_time(self, pending: PendingRequest) -> bool:
        """Return whether the router's deadline is still ahead, as when the lag has grown since it was set."""
        return pending.router_deadline > self.engine.clock.now() + CLOCK_TOLERANCE

    def _answer_last(self, pending: PendingRequest) -> None:
        """Answer a request for which the router has made no final decision.

        There is none for a request that bypasses the router, for one whose router deadline is still ahead
        because the event loop lag has grown, and for one that is lost in any layer. The last case is a
        defect, which this answer would hide; `answered_by_last_guard` counts it.
        """
        engine = self.engine
        early = not pending.timed_out and self._router_has_time(pending)
        if pending.sticky or early:
            engine.answered_early += early
            why = reasons.NO_ANSWER_BY_DEADLINE
        else:
            engine.answered_by_last_guard += 1
            why = reasons.NO_DECISION
        engine.completion.respond(pending, self._last_answer(pending, why))
        for attempt in list(pending.attempts):
            engine.completion.expire_attempt(pending, attempt, why)
        if not pending.sticky:
            engine.dispatcher.feed(api.ClientDisconnected(pending.id))

    def _last_answer(self, pending: PendingRequest, why: str) -> Response:
        """Return a rejection if a retry is harmless (no attempt made, or idempotent), else a failure."""
        engine = self.engine
        request_class = engine.classes.get(pending.request.class_name)
        idempotent = request_class is not None and request_class.idempotency is Idempotency.IDEMPOTENT
        if pending.attempt_count and not idempotent:
            return Response(ResponseStatus.FAILED, why=why)
        now = engine.clock.now()
        retry_after = engine.event_loop_lag.seconds_until_margin_below(pending.request.time_left, now)
        return Response(ResponseStatus.REJECTED, retry_after=retry_after, why=why)
