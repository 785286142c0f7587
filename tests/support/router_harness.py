"""A small bench of one router for the tests: settings to start from, and a clock that feeds events."""

from __future__ import annotations

from dataclasses import replace

from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import Effect, Freshness, Result, Scope, State
from sedgepitch.routing.router import Router


def make_class(name: str, freshness: Freshness, **changes) -> api.RequestClass:
    """A class with middling figures."""
    base = api.RequestClass(
        name=name,
        aim=0.2,
        deadline=1.0,
        worth=1.0,
        late_worth=0.0,
        effect=Effect.SAFE,
        scope=Scope.CELL,
        window=1.0,
        freshness=freshness,
        max_age=0.5 if freshness is Freshness.BOUNDED else 0.0,
    )
    return replace(base, **changes)


CLASSES = (
    make_class("bounded", Freshness.BOUNDED),
    make_class("any", Freshness.ANY),
    make_class("session", Freshness.SESSION),
    make_class("fresh", Freshness.FRESH),
    make_class("write", Freshness.WRITE, effect=Effect.KEYED, worth=6.0, late_worth=0.3, deadline=2.0),
    make_class("wide", Freshness.WRITE, effect=Effect.KEYED, scope=Scope.ALL, late_worth=0.3, deadline=2.0),
    make_class("unsafe", Freshness.WRITE, effect=Effect.UNSAFE, late_worth=0.3, deadline=2.0),
)
SETTINGS = api.Settings(
    classes=CLASSES,
    zone="a",
    tick=0.002,
    drivers=2,
    rules=api.Rules(0.008, 0.5, 2.5, 1.0, 0.2, 10.0, 10.0),
    probes=True,
    reports_in_answers=True,
    reports_position=True,
    list_names_primary=True,
    most_attempts=6,
    second_copies=True,
    cancel=True,
    come_back=True,
    max_come_back=2.0,
)
FINAL = (api.Refuse, api.Fail)


def listing(member: int, **changes) -> api.Listing:
    """An entry of group 1 that is up."""
    return replace(api.Listing(member=member, group=1, state=State.UP, zone="a"), **changes)


class Rig:
    """One router, three members (1 is listed as primary), and the clock."""

    def __init__(self, settings: api.Settings = SETTINGS, members=None, seed: int = 7) -> None:
        self.router, self.now, self.ids = Router(settings, seed), 100.0, 0
        self.timers: list[tuple[float, int]] = []
        self.log: list[api.Action] = []
        entries = members or (listing(1, primary=True), listing(2), listing(3))
        self.feed(api.Members(tuple(entries), complete=True, remembered=True))

    def feed(self, *events: api.Event) -> list[api.Action]:
        """Give events at the present moment."""
        actions = self.router.handle(self.now, list(events))
        self.timers += [(self.now + a.after, a.nonce) for a in actions if isinstance(a, api.SetTimer)]
        self.log += actions
        return actions

    def run(self, seconds: float) -> list[api.Action]:
        """Let time pass; timers come due on the way."""
        end, start = self.now + seconds, len(self.log)
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            self.feed(api.Timer(timer[1]))
        self.now = end
        return self.log[start:]

    def ask(self, name: str, ttl: float = 0.9, **fields) -> tuple[int, list[api.Action]]:
        """A client's request; returns its id and what was done."""
        self.ids += 1
        return self.ids, self.feed(api.Arrived(self.ids, name, 1, ttl, **fields))

    def end(self, request: int, attempt: int, member: int, result: Result, **fields) -> list[api.Action]:
        """The end of an attempt."""
        final = fields.pop("final", result is Result.OK)
        return self.feed(api.Finished(request, attempt, member, result, 0.02, final, **fields))

    def heard(self, member: int, age: float, primary: bool = False) -> None:
        """A report that a probe brought: the position the member had some time ago."""
        self.feed(api.Probed(member, Result.OK, 0.001, api.Report(self.now - age, primary)))


def sends(actions, request: int | None = None) -> list[int]:
    """The members sent to."""
    return [a.member for a in actions if isinstance(a, api.Send) and request in (None, a.request)]


def finals(actions, request: int) -> list[api.Action]:
    """The final answers of one request."""
    return [a for a in actions if isinstance(a, FINAL) and a.request == request]


def placed(rig: Rig, name: str, **fields) -> tuple[int, list[int]]:
    """Ask, let it wait for a position in vain, and return who was sent to."""
    request, _ = rig.ask(name, **fields)
    rig.run(0.04)
    return request, sends(rig.log, request)
