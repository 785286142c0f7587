"""Between fronts, the module and the members: feeds events, carries out actions, owes one answer each.

The engine decides nothing about routes. It keeps what no decision may break: an answer before the client's
time is up even if nothing else works, an end told for every attempt, events read before timers are judged.
For that all events of one turn of the reactor are gathered, and a timer that has come due is gathered behind
what the next look at the sockets brings, so a driver that stood still finds its answers first.

The driver's own delay is part of every promise. A request's time counts from the arrival of its bytes; all
deadlines are looked at together, each tick, as much earlier as `decisions/event_loop_lag.py` says that this
driver is late; and whoever's time is wholly up is answered before a new request is read. A decision that
could not be carried out for longer than `handover` is taken back and made anew.

What a front, a log or an observer raises never stops a turn: see `_guarded`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING, Any

from sedgepitch.core.request_table import PendingRequest, RequestTable
from sedgepitch.core.types import (
    AttemptCallback,
    AttemptObserver,
    AttemptOutcome,
    ClientRequest,
    Clock,
    Response,
    ResponseCallback,
    ResponseStatus,
    Upstream,
)
from sedgepitch.decisions.admission.messages import AdmissionRequest, Admit, Decision
from sedgepitch.decisions.admission.process_concurrency_limit import ProcessConcurrencyLimit
from sedgepitch.decisions.event_loop_lag import COME_BACK, EventLoopLag
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult, Freshness, Idempotency, SessionTracking
from sedgepitch.routing.router import Router

if TYPE_CHECKING:
    from sedgepitch.decisions.admission.controller import AdmissionController

TICK = 0.01  # s between looks at deadlines and at what the door holds, while an answer is owed
LEAST_TIME = 0.02  # s beyond the driver's own delay below which a request is refused on arrival
OVERDUE = 0.02  # s after the module was told that its time is up, then an answer is given here
TOLERABLE = 0.1  # share of the shortest aim that requests may wait for this driver itself, in the mean
NEVER = float("inf")


class Engine:
    """Runs one module on one set of members. `watch` asks the source of the member list for changes."""

    def __init__(
        self,
        router: Router,
        endpoints: Upstream,
        clock: Clock,
        *,
        max_in_flight: int = 10_000,
        admission: AdmissionController | None = None,
        watch: Callable[[], None] | None = None,
        log: Callable[[str], None] | None = None,
        observe: Callable[[PendingRequest, Response, float], None] | None = None,
        handover: float = 0.05,
        on_fault: Callable[[str, BaseException], None] | None = None,
    ) -> None:
        self.router, self.endpoints, self.clock = router, endpoints, clock
        self.max_in_flight = max_in_flight
        self.admission = admission
        self.event_loop_lag = EventLoopLag()
        self.own = ProcessConcurrencyLimit(
            TOLERABLE * min(c.latency_objective for c in router.settings.classes)
        )
        self.too_many = 0  # requests refused for the driver's own load
        self.handover = handover  # s that a decision which ages may take to leave
        self.on_fault, self.faults = on_fault, 0
        self.deadlines: list[tuple[float, int]] = []  # a heap of (time, account); closed ones stay a while
        self.tick_due = NEVER
        self.decided_at = 0.0  # the time that the module's present decisions rest on
        self.classes = {c.name: c for c in router.settings.classes}
        self.watch, self.log, self.observe = watch, log, observe
        self.looks_on: AttemptObserver | None = None  # hears of each attempt
        self.request_table = RequestTable()
        self.guards: deque[tuple[float, PendingRequest]] = (
            deque()
        )  # when each is answered here, if by nobody else
        self.events: list[api.Event | PendingRequest] = []  # an account stands for its arrival
        self.flush_due = self.flushing = False
        self.drained: dict[int, float] = {}  # when a member was told draining or gone
        self.overdue = 0  # answers that only the last guard gave; above 0 is a defect
        self.hurried = 0  # answers given before the module thought it time, since the driver became late
        self.too_slow = 0  # requests refused on arrival for the driver's own delay
        self.stopping = False
        self._carry: dict[type, Callable[[Any], None]] = {
            api.SendAttempt: self._send,
            api.Reject: self._refuse,
            api.Fail: self._fail,
            api.CancelAttempt: self._cancel,
            api.CheckHealth: self._probe,
            api.CloseIdleConnections: lambda a: self.endpoints.close_idle(a.endpoint),
            api.WatchEndpointList: self._subscribe,
            api.SetTimer: lambda a: self.clock.call_later(
                a.after, self._timer_due, api.TimerExpired(a.nonce)
            ),
            api.LogMessage: lambda a: self.log(a.text) if self.log else None,
        }

    # From the front

    def submit(
        self, command: ClientRequest, answered: ResponseCallback, arrived: float | None = None
    ) -> PendingRequest:
        """Take a request; `answered` is called exactly once, unless the client leaves first.

        `arrived` is when its bytes came; they may have waited.
        """
        account = self._open(command, answered, arrived)
        if not account.open:
            return account
        cls = self.classes.get(command.class_name)
        if self.admission is None or cls is None:
            self._enter(account)
            return account
        account.admitted = False
        now = self.clock.now()
        arrival = AdmissionRequest(
            account.id,
            command.tenant,
            command.client,
            command.class_name,
            cls.priority_weight,
            account.until - now,
            command.group,
            cls.freshness in (Freshness.WRITE, Freshness.FRESH),
            command.mark,
            command.key,
            0.0
            if cls.late_priority_weight > 0 and cls.freshness is Freshness.WRITE
            else cls.latency_objective - (now - account.opened),
        )
        self._decided(self.admission.arrive(arrival, now))
        return account

    def _enter(self, account: PendingRequest) -> None:
        """Let the module see a request in this turn."""
        if self.looks_on is not None:
            self.looks_on.arrived()
        self.feed(account)

    def _arrival(self, account: PendingRequest, now: float) -> api.RequestReceived:
        """A request as the module sees it: what is left of its time now, and its session's present age.

        Made when the module decides, not when the request is read: a turn may have read much in between.
        """
        command = account.command
        age = command.session_age + now - account.submitted if command.session_age > 0 else 0.0
        left = account.until - now
        return api.RequestReceived(account.id, command.class_name, command.group, left, command.session, age)

    def _decided(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            account = self.request_table.accounts.get(decision.id)
            if account is None or not account.open:
                continue
            if isinstance(decision, Admit):
                account.admitted = True
                self._enter(account)
            else:
                why = f"at the door: {decision.why}"
                told = decision.retry_after
                self._settle(
                    account, Response(ResponseStatus.REJECTED, retry_after=told, why=why, promised=told > 0)
                )

    def _tick(self) -> None:
        """Look behind what the sockets bring."""
        due, self.tick_due = self.tick_due, NEVER
        self.clock.after_reading(self._look, self.clock.now(), due)

    def _look(self, at: float, due: float) -> None:
        """End what had come due at `at`, as early as the driver's delay asks; come again if anything is owed.

        What had come by then has been read; a turn that was long since then may have left newer bytes unread.
        How late this comes after it was due is this driver's own delay.
        """
        now = self.clock.now()
        self.waited(now - due, now)
        if self.admission is not None:
            self._decided(self.admission.tick(now))
        self._end_due(at + self.event_loop_lag.reserve(now))
        while self.guards and self.guards[0][0] <= now:
            account = self.guards.popleft()[1]
            if account.open:
                self._last_guard(account)
        if (self.request_table.pending or self.deadlines) and self.tick_due == NEVER:
            self.tick_due = self.clock.now() + TICK
            self.clock.call_later(TICK, self._tick)

    def waited(self, seconds: float, now: float) -> None:
        """Take one wait of this driver's own, of bytes or of a timer, that ended now."""
        self.event_loop_lag.waited(seconds, now)
        admission = self.admission
        self.own.waited(seconds, self.request_table.pending if admission is None else admission.inside, now)
        if admission is not None:
            admission.own_limit = self.own.limit

    def unread(self, waited: float, tenant: str) -> bool:
        """Whether a request that waited so long is refused unread (see `process_concurrency_limit`)."""
        busiest = self.admission is None or tenant == self.admission.busiest
        if not self.own.swamped(waited, busiest):
            return False
        self.too_many += 1
        return True

    def before_reading(self) -> None:
        """Answer those whose time is up, or will be before half of the usual delay, ahead of a new request.

        Guards against a turn so long that timers wait behind all it reads. May hurt: an answer that lies
        unread in another socket of this turn comes too late to be passed on.
        """
        if self.deadlines:
            now = self.clock.now()
            if self.deadlines[0][0] <= (soon := now + self.event_loop_lag.reserve(now) / 2.0):
                self._end_due(soon)

    def _end_due(self, until: float) -> None:
        while self.deadlines and self.deadlines[0][0] <= until:
            _, number = heappop(self.deadlines)
            account = self.request_table.accounts.get(number)
            if account is None:
                continue
            if account.open:
                self._time_up(account)
                continue
            # Answered long since, but an attempt still hangs: it ends with the client's time like any other.
            # Else a member that went silent would hold it for ever, and the module count it as under way.
            for attempt in list(account.out):
                self._expire(account, attempt, "no answer in the client's time")

    def submit_sticky(
        self, endpoint: int, command: ClientRequest, answered: ResponseCallback, arrived: float | None = None
    ) -> PendingRequest:
        """Take a request that only one member can serve, as the next batch of a cursor; it is tried once."""
        account = self._open(command, answered, arrived)
        if not account.open:
            return account
        account.sticky = True

        def ended(end: AttemptOutcome) -> None:
            self.request_table.ended(account, 0)
            if account.open:
                good = end.result is AttemptResult.OK
                verdict = ResponseStatus.SERVED if good else ResponseStatus.FAILED
                self._settle(account, Response(verdict, end.reply if good else None, endpoint, why=end.why))

        account.attempts = 1
        account.endpoints.append(endpoint)
        now = self.clock.now()
        exchange = self._guarded("send", self.endpoints.send, endpoint, command.payload, ended, NEVER)
        if exchange is None:
            self._settle(account, Response(ResponseStatus.FAILED, why="the front could not send"))
        else:
            account.out[0] = (endpoint, now, exchange)
        return account

    def gone(self, account: PendingRequest) -> None:
        """The client has left: nothing is owed, and the module hears of it at once."""
        if self.request_table.leave(account):
            self._withdraw(account)
            if account.admitted:
                self.feed(api.ClientDisconnected(account.id))
            if self.admission is not None:
                self._decided(self.admission.ended(account.id, self.clock.now(), served=True))

    def _open(
        self, command: ClientRequest, answered: ResponseCallback, arrived: float | None
    ) -> PendingRequest:
        now = self.clock.now()
        account = self.request_table.open(
            command, answered, now, now if arrived is None else min(now, arrived)
        )
        reserve = self.event_loop_lag.reserve(now)
        account.until = account.deadline - reserve
        if self.stopping or self.request_table.pending > self.max_in_flight:
            why = "stopping" if self.stopping else "too many requests in flight"
            self._settle(account, Response(ResponseStatus.REJECTED, why=why))
        elif account.deadline <= now:
            self._settle(account, Response(ResponseStatus.REJECTED, why="no time left"))
        elif self.admission is None and self.request_table.pending > self.own.limit:
            self.too_many += 1
            why = f"this driver carries {self.request_table.pending - 1} requests and can no more"
            self._settle(account, Response(ResponseStatus.REJECTED, retry_after=reserve + COME_BACK, why=why))
        elif account.until <= now + LEAST_TIME and reserve > 0.0:
            self.too_slow += 1
            clears = self.event_loop_lag.clears_in(command.time_left, now)
            why = f"this driver is {reserve:.3f} s late"
            self._settle(account, Response(ResponseStatus.REJECTED, retry_after=clears, why=why))
        else:
            heappush(self.deadlines, (account.deadline, account.id))
            if len(self.deadlines) > 2 * len(self.request_table.accounts) + 64:
                accounts = self.request_table.accounts
                self.deadlines = [d for d in self.deadlines if d[1] in accounts]
                heapify(self.deadlines)
            if self.tick_due == NEVER:
                self.tick_due = now + TICK
                self.clock.call_later(TICK, self._tick)
        return account

    # Events

    def feed(self, event: api.Event | PendingRequest) -> None:
        """Gather an event; the module sees all of this turn together."""
        self.events.append(event)
        if not self.flush_due:
            self.flush_due = True
            self.clock.soon(self._flush)

    def _timer_due(self, event: api.TimerExpired) -> None:
        """Let the sockets be read once more before the timer counts, whatever order the loop keeps."""
        self.clock.soon(self.feed, event)

    def list_changed(self, event: api.EndpointListUpdate) -> None:
        """Take the member list. What is told draining or gone binds from this moment."""
        now, known = self.clock.now(), self.router.endpoints
        listed = {entry.endpoint for entry in event.entries}
        other: set[int] = set()  # whose state is not what present decisions rest on
        for entry in event.entries:
            if entry.state is api.EndpointState.UP:
                self.drained.pop(entry.endpoint, None)
                if entry.endpoint in known and entry.started > known[entry.endpoint].started:
                    other.add(entry.endpoint)
            else:
                self.drained.setdefault(entry.endpoint, now)
                other.add(entry.endpoint)
        if event.complete:
            for endpoint in list(known):
                if endpoint not in listed:
                    self.drained.setdefault(endpoint, now)
                    other.add(endpoint)
        self.endpoints.listed(event.entries, event.complete)
        self.events.append(event)
        self._take_back(other)
        self._flush()

    def _take_back(self, endpoints: set[int]) -> None:
        """End what is decided for these members and has not left: it may wait for a connection to open.

        Guards against a send, after the list's word, to a member that seeks nothing new, is gone or has
        started again since. May hurt: one attempt of the request's number is spent.
        """
        for account in list(self.request_table.accounts.values()):
            for attempt, (endpoint, _, exchange) in list(account.out.items()):
                if endpoint in endpoints and not account.sticky and not exchange.begun():
                    exchange.abandon()
                    why = "the list changed before it left"
                    self._attempt_ended(account, attempt, AttemptOutcome(AttemptResult.NOT_SENT, why=why))

    def hurry(self, by: float) -> None:
        """Answer by then whatever is owed now: this driver ends."""
        for account in self.request_table.accounts.values():
            if account.deadline > by:
                account.deadline = by  # the module was told of more: it is not asked once more then
                heappush(self.deadlines, (by, account.id))
        if self.deadlines and self.tick_due == NEVER:
            self.tick_due = self.clock.now() + TICK
            self.clock.call_later(TICK, self._tick)

    def _flush(self) -> None:
        self.flush_due = False
        if self.flushing:
            return
        self.flushing = True
        try:
            while self.events:
                events, self.events = self.events, []
                now = self.decided_at = self.clock.now()
                told = [self._arrival(e, now) if isinstance(e, PendingRequest) else e for e in events]
                for action in self.router.handle(now, told):
                    self._guarded("action", self._carry[type(action)], action)
                if self.admission is not None:
                    self._decided(self.admission.seen(self.clock.now()))
        finally:
            self.flushing = False
        self.request_table.sweep()

    def _guarded(self, where: str, call: Callable[..., Any], *args: Any) -> Any:
        """Call what may be a front's, a log's or an observer's; returns None where it raises.

        Guards against a callback that raises and so drops the rest of the turn: actions of other requests,
        ends that the module and the door must hear. May hurt: a defect is then only a line and a counter.
        """
        try:
            return call(*args)
        except Exception as error:
            self.faults += 1
            if self.on_fault is not None:
                try:
                    self.on_fault(where, error)
                except Exception:
                    self.faults += 1  # the log itself raises: the counter is all that can tell
            return None

    # Actions

    def _subscribe(self, action: api.WatchEndpointList) -> None:
        if self.watch is None:
            self.feed(api.EndpointListFailed())
        else:
            self.watch()

    def _withdraw(self, account: PendingRequest) -> None:
        """Nothing is sent for a request that is answered: take back what has not left."""
        for attempt, (endpoint, sent, exchange) in list(account.out.items()):
            if exchange.withdraw():
                self.request_table.ended(account, attempt)
                self._finished(account, attempt, endpoint, sent, AttemptOutcome(AttemptResult.NOT_SENT))

    def _send(self, action: api.SendAttempt) -> None:
        account = self.request_table.accounts.get(action.request)
        if account is None:
            return
        attempt, now = account.attempts, self.clock.now()
        account.attempts += 1
        if not account.open:
            # The client left after the event that led here: the attempt was never made, and is told so.
            self._finished(account, attempt, action.endpoint, now, AttemptOutcome(AttemptResult.NOT_SENT))
            return
        account.endpoints.append(action.endpoint)
        if self.admission is not None and not attempt:
            self._decided(self.admission.sent(account.id, now))

        def ended(end: AttemptOutcome) -> None:
            if attempt in account.out:
                self._attempt_ended(account, attempt, end)

        by = self.decided_at + self.handover if self._ages(account, attempt) else NEVER
        exchange = self._guarded(
            "send", self.endpoints.send, action.endpoint, account.command.payload, ended, by
        )
        if exchange is None:  # whether bytes left is not known
            end = AttemptOutcome(AttemptResult.RESET, why="the front could not send")
            self._finished(account, attempt, action.endpoint, now, end)
            return
        account.out[attempt] = (action.endpoint, now, exchange)
        if self.looks_on is not None:
            self.looks_on.sent(action.endpoint)
        if action.timeout > 0 and now + action.timeout < account.deadline:
            self.clock.call_later(action.timeout, self._expire, account, attempt, "time-out of the attempt")

    def _ages(self, account: PendingRequest, attempt: int) -> bool:
        """Whether the decision to send this rests on what passes: a bound on age, a role, a window.

        So does one that rests on what is remembered of a session, to which an answer may add meanwhile.
        """
        cls = self.classes.get(account.command.class_name)
        if cls is None:
            return False
        again = attempt > 0 and cls.idempotency is Idempotency.KEYED
        remembered = (
            self.router.settings.session_tracking is SessionTracking.BY_PROXY
            and cls.freshness is Freshness.SESSION
        )
        return again or remembered or cls.freshness in (Freshness.BOUNDED, Freshness.FRESH)

    def _attempt_ended(self, account: PendingRequest, attempt: int, end: AttemptOutcome) -> None:
        endpoint, sent, _ = account.out[attempt]
        if end.result is not AttemptResult.OK:
            account.last = f"member {endpoint}: {end.why or end.result.value}"
        first = account.open and end.result is AttemptResult.OK
        self.request_table.ended(account, attempt)
        if first:
            account.heard = end.arrived
            self._settle(account, Response(ResponseStatus.SERVED, end.reply, endpoint))
        self._finished(account, attempt, endpoint, sent, end)

    def _finished(
        self, account: PendingRequest, attempt: int, endpoint: int, sent: float, end: AttemptOutcome
    ) -> None:
        # Up to the arrival of the answer's bytes, where that is known: the rest was this driver's own delay.
        elapsed = max(0.0, (end.arrived or self.clock.now()) - sent)
        if self.looks_on is not None and (cls := self.classes.get(account.command.class_name)) is not None:
            self.looks_on.ended(endpoint, end.result, elapsed / cls.latency_objective)
        self.feed(
            api.AttemptFinished(
                account.id,
                attempt,
                endpoint,
                end.result,
                elapsed,
                not account.open,
                end.primary,
                end.position,
                end.report,
            )
        )

    def _expire(self, account: PendingRequest, attempt: int, why: str) -> None:
        if attempt in account.out:
            account.out[attempt][2].abandon()
            self._attempt_ended(account, attempt, AttemptOutcome(AttemptResult.TIMEOUT, why=why))

    def _time_up(self, account: PendingRequest) -> None:
        """The client's time is up: every attempt has timed out, and the module gives what answer is owed.

        The last guard stands OVERDUE after this moment, whatever the driver's delay was or is: sooner the
        module would not have been asked, and later a delay that is over would hold the answer back.
        """
        if account.ending or account.sticky or self._early(account):
            self._last_guard(account)
            return
        account.ending = True
        self.guards.append((self.clock.now() + OVERDUE, account))
        for attempt in list(account.out):
            self._expire(account, attempt, "no answer in the client's time")

    def _early(self, account: PendingRequest) -> bool:
        """Whether the module was told of more time than there is now."""
        return account.until > self.clock.now() + 1e-6

    def _last_guard(self, account: PendingRequest) -> None:
        """Answer what no decision has answered.

        Guards against a request lost in any layer, and against a delay that grew after the module was told
        how much time there was: it would go on until then. May hurt: hides a defect, hence the counters.
        """
        early = not account.ending and self._early(account)
        if account.sticky or early:
            self.hurried += early
            why = "no answer in the client's time"
        else:
            self.overdue += 1
            why = "overdue: no decision came"
        cls = self.classes.get(account.command.class_name)
        safe = not account.attempts or (cls is not None and cls.idempotency is Idempotency.IDEMPOTENT)
        clears = self.event_loop_lag.clears_in(account.command.time_left, self.clock.now()) if safe else 0.0
        self._settle(
            account,
            Response(ResponseStatus.REJECTED if safe else ResponseStatus.FAILED, retry_after=clears, why=why),
        )
        for attempt in list(account.out):
            self._expire(account, attempt, why)
        if not account.sticky:
            self.feed(api.ClientDisconnected(account.id))

    def _refuse(self, action: api.Reject) -> None:
        if (account := self.request_table.accounts.get(action.request)) is not None and account.open:
            why = account.last or "no member had room in time"
            promised = (
                self.admission.promise(account.id, self.clock.now()) if self.admission is not None else 0.0
            )
            retry_after = promised or action.retry_after  # the module's is a hint, the door's is kept
            answer = Response(
                ResponseStatus.REJECTED, retry_after=retry_after, why=why, promised=promised > 0
            )
            self._settle(account, answer)

    def _fail(self, action: api.Fail) -> None:
        if (account := self.request_table.accounts.get(action.request)) is not None and account.open:
            self._settle(account, Response(ResponseStatus.FAILED, why=account.last or "no answer yet"))

    def _settle(self, account: PendingRequest, answer: Response) -> None:
        answered = self.request_table.settle(account)
        if answered is None:
            return
        self._guarded("answer", answered, answer)
        self._withdraw(account)
        if self.observe:
            elapsed = self.clock.now() - account.opened
            self._guarded("observe", self.observe, account, answer, elapsed)
        if self.admission is not None:
            served = answer.verdict is ResponseStatus.SERVED
            self._decided(self.admission.ended(account.id, self.clock.now(), served, account.heard))

    def _cancel(self, action: api.CancelAttempt) -> None:
        account = self.request_table.accounts.get(action.request)
        if account is not None and action.attempt in account.out:
            account.out[action.attempt][2].abandon()
            self._attempt_ended(
                account, action.attempt, AttemptOutcome(AttemptResult.CANCELLED, why="called off")
            )

    def _probe(self, action: api.CheckHealth) -> None:
        sent = self.clock.now()

        def ended(end: AttemptOutcome) -> None:
            self.feed(
                api.HealthCheckFinished(action.endpoint, end.result, self.clock.now() - sent, end.report)
            )

        on_end: AttemptCallback = ended
        faults = self.faults
        self._guarded("probe", self.endpoints.probe, action.endpoint, on_end)
        if self.faults != faults:
            ended(AttemptOutcome(AttemptResult.RESET, why="the front could not probe"))
