"""Between fronts, the module and the members: feeds events, carries out actions, owes one answer each.

The engine decides nothing about routes. It keeps what no decision may break: an answer before the client's
time is up even if nothing else works, an end told for every attempt, events read before timers are judged.
For that all events of one turn of the reactor are gathered, and a timer that has come due is gathered behind
what the next look at the sockets brings, so a driver that stood still finds its answers first.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from sedgepitch import interface as api
from sedgepitch.core.ledger import Account, Ledger
from sedgepitch.core.types import Answer, Answered, AttemptEnd, Clock, Command, Ended, Members, Verdict
from sedgepitch.decide.door import Admit, Arrival, Decision, Door
from sedgepitch.interface import Freshness, Result
from sedgepitch.policy import Router

DOOR_TICK = 0.01  # s between looks at what is held
OVERDUE = 0.02  # s past its time after which an answer that no decision brought is given here


class Engine:
    """Runs one module on one set of members. `watch` asks the source of the member list for changes."""

    def __init__(
        self,
        router: Router,
        members: Members,
        clock: Clock,
        *,
        most_in_flight: int = 10_000,
        door: Door | None = None,
        watch: Callable[[], None] | None = None,
        log: Callable[[str], None] | None = None,
        observe: Callable[[Account, Answer, float], None] | None = None,
    ) -> None:
        self.router, self.members, self.clock = router, members, clock
        self.most_in_flight = most_in_flight
        self.door, self.door_ticking = door, False
        self.classes = {c.name: c for c in router.settings.classes}
        self.watch, self.log, self.observe = watch, log, observe
        self.ledger = Ledger()
        self.events: list[api.Event] = []
        self.flush_due = self.flushing = False
        self.drained: dict[int, float] = {}  # when a member was told draining or gone
        self.overdue = 0  # answers that only the last guard gave; above 0 is a defect
        self.stopping = False
        self._carry: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Probe: self._probe,
            api.CloseIdle: lambda a: self.members.close_idle(a.member),
            api.Subscribe: lambda a: self.watch() if self.watch else self.feed(api.ListFailed()),
            api.SetTimer: lambda a: self.clock.call_later(a.after, self._timer_due, api.Timer(a.nonce)),
            api.Log: lambda a: self.log(a.text) if self.log else None,
        }

    # From the front

    def submit(self, command: Command, answered: Answered) -> Account:
        """Take a request; `answered` is called exactly once, unless the client leaves first."""
        account = self._open(command, answered)
        if not account.open:
            return account
        cls = self.classes.get(command.class_name)
        if self.door is None or cls is None:
            self._enter(account)
            return account
        account.admitted = False
        arrival = Arrival(
            account.id,
            command.tenant,
            command.client,
            command.class_name,
            cls.worth,
            command.time_left,
            command.group,
            cls.freshness in (Freshness.WRITE, Freshness.FRESH),
            command.mark,
            command.key,
        )
        self._decided(self.door.arrive(arrival, self.clock.now()))
        if not self.door_ticking:
            self.door_ticking = True
            self.clock.call_later(DOOR_TICK, self._door_tick)
        return account

    def _enter(self, account: Account) -> None:
        """Let the module see a request, with what is left of its time and the present age of its session."""
        command = account.command
        passed = self.clock.now() - account.opened
        age = command.session_age + passed if command.session_age > 0 else 0.0
        left = command.time_left - passed
        self.feed(api.Arrived(account.id, command.class_name, command.group, left, command.session, age))

    def _decided(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            account = self.ledger.accounts.get(decision.id)
            if account is None or not account.open:
                continue
            if isinstance(decision, Admit):
                account.admitted = True
                self._enter(account)
            else:
                why = f"at the door: {decision.why}"
                told = decision.come_back
                self._settle(account, Answer(Verdict.REFUSED, come_back=told, why=why, promised=told > 0))

    def _door_tick(self) -> None:
        assert self.door is not None
        self._decided(self.door.tick(self.clock.now()))
        self.door_ticking = bool(self.door.held)
        if self.door_ticking:
            self.clock.call_later(DOOR_TICK, self._door_tick)

    def submit_pinned(self, member: int, command: Command, answered: Answered) -> Account:
        """Take a request that only one member can serve, as the next batch of a cursor; it is tried once."""
        account = self._open(command, answered)
        if not account.open:
            return account

        def ended(end: AttemptEnd) -> None:
            self.ledger.ended(account, 0)
            if account.open:
                good = end.result is Result.OK
                verdict = Verdict.SERVED if good else Verdict.FAILED
                self._settle(account, Answer(verdict, end.reply if good else None, member, why=end.why))

        account.attempts = 1
        account.members.append(member)
        account.out[0] = (member, self.clock.now(), self.members.send(member, command.payload, ended))
        return account

    def gone(self, account: Account) -> None:
        """The client has left: nothing is owed, and the module hears of it at once."""
        if self.ledger.leave(account):
            if account.admitted:
                self.feed(api.ClientGone(account.id))
            if self.door is not None:
                self._decided(self.door.ended(account.id, self.clock.now(), served=True))

    def _open(self, command: Command, answered: Answered) -> Account:
        now = self.clock.now()
        account = self.ledger.open(command, answered, now)
        if self.stopping or self.ledger.owed > self.most_in_flight:
            why = "stopping" if self.stopping else "too many requests in flight"
            self._settle(account, Answer(Verdict.REFUSED, why=why))
        elif command.time_left <= 0:
            self._settle(account, Answer(Verdict.REFUSED, why="no time left"))
        else:
            account.timer = self.clock.call_later(command.time_left, self._time_up, account)
        return account

    # Events

    def feed(self, event: api.Event) -> None:
        """Gather an event; the module sees all of this turn together."""
        self.events.append(event)
        if not self.flush_due:
            self.flush_due = True
            self.clock.soon(self._flush)

    def _timer_due(self, event: api.Timer) -> None:
        """Let the sockets be read once more before the timer counts, whatever order the loop keeps."""
        self.clock.soon(self.feed, event)

    def list_changed(self, event: api.Members) -> None:
        """Take the member list. What is told draining or gone binds from this moment."""
        now = self.clock.now()
        listed = {entry.member for entry in event.listings}
        for entry in event.listings:
            if entry.state is api.State.UP:
                self.drained.pop(entry.member, None)
            else:
                self.drained.setdefault(entry.member, now)
        if event.complete:
            for member in list(self.router.members):
                if member not in listed:
                    self.drained.setdefault(member, now)
        self.members.listed(event.listings, event.complete)
        self.events.append(event)
        self._flush()

    def _flush(self) -> None:
        self.flush_due = False
        if self.flushing:
            return
        self.flushing = True
        try:
            while self.events:
                events, self.events = self.events, []
                for action in self.router.handle(self.clock.now(), events):
                    self._carry[type(action)](action)
                if self.door is not None:
                    self._decided(self.door.seen(self.clock.now()))
        finally:
            self.flushing = False
        self.ledger.sweep()

    # Actions

    def _send(self, action: api.Send) -> None:
        account = self.ledger.accounts.get(action.request)
        if account is None:
            return
        attempt, now = account.attempts, self.clock.now()
        account.attempts += 1
        if not account.open:
            # The client left after the event that led here: the attempt was never made, and is told so.
            self._finished(account, attempt, action.member, now, AttemptEnd(Result.NOT_SENT))
            return
        account.members.append(action.member)
        if self.door is not None and not attempt:
            self._decided(self.door.sent(account.id, now))

        def ended(end: AttemptEnd) -> None:
            if attempt in account.out:
                self._attempt_ended(account, attempt, end)

        exchange = self.members.send(action.member, account.command.payload, ended)
        account.out[attempt] = (action.member, now, exchange)
        if action.timeout > 0 and now + action.timeout < account.deadline:
            self.clock.call_later(action.timeout, self._expire, account, attempt, "time-out of the attempt")

    def _attempt_ended(self, account: Account, attempt: int, end: AttemptEnd) -> None:
        member, sent, _ = account.out[attempt]
        if end.result is not Result.OK:
            account.last = f"member {member}: {end.why or end.result.value}"
        first = account.open and end.result is Result.OK
        self.ledger.ended(account, attempt)
        if first:
            self._settle(account, Answer(Verdict.SERVED, end.reply, member))
        self._finished(account, attempt, member, sent, end)

    def _finished(self, account: Account, attempt: int, member: int, sent: float, end: AttemptEnd) -> None:
        elapsed = self.clock.now() - sent
        self.feed(
            api.Finished(
                account.id,
                attempt,
                member,
                end.result,
                elapsed,
                not account.open,
                end.primary,
                end.position,
                end.report,
            )
        )

    def _expire(self, account: Account, attempt: int, why: str) -> None:
        if attempt in account.out:
            account.out[attempt][2].abandon()
            self._attempt_ended(account, attempt, AttemptEnd(Result.TIMEOUT, why=why))

    def _time_up(self, account: Account) -> None:
        """The client's time is up: every attempt has timed out, and the module gives what answer is owed."""
        account.timer = self.clock.call_later(OVERDUE, self._last_guard, account) if account.open else None
        for attempt in list(account.out):
            self._expire(account, attempt, "no answer in the client's time")

    def _last_guard(self, account: Account) -> None:
        """Answer what no decision has answered: a request lost in any layer. May hurt: hides the defect."""
        account.timer = None
        if account.open:
            self.overdue += 1
            verdict = Verdict.FAILED if account.attempts else Verdict.REFUSED
            self._settle(account, Answer(verdict, why="overdue: no decision came"))
            self.feed(api.ClientGone(account.id))

    def _refuse(self, action: api.Refuse) -> None:
        if (account := self.ledger.accounts.get(action.request)) is not None and account.open:
            why = account.last or "no member had room in time"
            promised = self.door.promise(account.id, self.clock.now()) if self.door is not None else 0.0
            come_back = promised or action.come_back  # the module's is a hint, the door's is kept
            answer = Answer(Verdict.REFUSED, come_back=come_back, why=why, promised=promised > 0)
            self._settle(account, answer)

    def _fail(self, action: api.Fail) -> None:
        if (account := self.ledger.accounts.get(action.request)) is not None and account.open:
            self._settle(account, Answer(Verdict.FAILED, why=account.last or "no answer yet"))

    def _settle(self, account: Account, answer: Answer) -> None:
        if not self.ledger.settle(account, answer):
            return
        if self.observe:
            self.observe(account, answer, self.clock.now() - account.opened)
        if self.door is not None:
            served = answer.verdict is Verdict.SERVED
            self._decided(self.door.ended(account.id, self.clock.now(), served))

    def _cancel(self, action: api.Cancel) -> None:
        account = self.ledger.accounts.get(action.request)
        if account is not None and action.attempt in account.out:
            account.out[action.attempt][2].abandon()
            self._attempt_ended(account, action.attempt, AttemptEnd(Result.CANCELLED, why="called off"))

    def _probe(self, action: api.Probe) -> None:
        sent = self.clock.now()

        def ended(end: AttemptEnd) -> None:
            self.feed(api.Probed(action.member, end.result, self.clock.now() - sent, end.report))

        on_end: Ended = ended
        self.members.probe(action.member, on_end)
