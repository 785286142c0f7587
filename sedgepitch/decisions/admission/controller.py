"""May a request come in now, wait, or is it told when to come back: decided before the module sees it.

Which controller governs when. The module's per-member limits, which follow answers against the aim, say who
gets how many. Beside them stand bounds on sums alone, two for each group and side. How many may be inside:
`capacity.py`, from queueing; under a flood it is the lower one and governs, else it is not felt. And how many
that were let in may still *wait* inside: an allowance of a few, which falls when one of them is refused in
there and grows when they are placed at once; it governs where members are lost, cold or not fresh enough, so
that the module has no room for what the sum allows. A third bound is on all rooms together and is the
driver's own (`ownload.py`): it governs where this process is what is short. Whichever governs, what comes
waits here, in fair order, and the module's own waiting list, which is walked on every answer, stays short.
Requests that only a primary may serve have bounds, a queue and a calendar of their own.

A request is held no longer than a share of its time, nor for so long that its answer would come past its
aim, and is refused at once where it could not be reached by then: work that would be late is not done. Writes
that are worth something late wait for their share of the whole time. Refused with a time: see `calendar.py`.
Fair order: see `fairqueue.py`. Nothing here grows with the number of tenants or clients: what waits, debts,
promises and remembered refusals are bounded, usage is a sketch.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from sedgepitch.decisions.admission.capacity_estimate import CapacityEstimate
from sedgepitch.decisions.admission.fair_queue import FairQueue, Held
from sedgepitch.decisions.admission.messages import AdmissionRequest, Admit, Decision, Reject
from sedgepitch.decisions.admission.reservations import ReservationSchedule
from sedgepitch.structures.sketch import FadingSketch
from sedgepitch.structures.wheel import Entry, Wheel

TICK = 0.005  # s; how exactly held requests end
LEAST_ALLOWANCE = 2.0  # requests that may wait inside, whatever happens
FALL, GROW = 0.7, 0.02  # the allowance after one was refused inside; and more after one was placed at once
AT_ONCE = 0.01  # s; placed sooner than this is at once
LEARN = 0.05  # weight of one answer in a class's usual cost
SURE = 2.0  # times its usual stay inside, what an answer takes at most, nearly always
LEAST_HOLD = 0.1  # share of its aim that any request may be held
SPAN = 0.5  # s over which the served rate is measured
FIRST_COST = 0.02  # s; a class's cost before any answer
RETRY_HALF_LIFE = 10.0  # s
FREE_RETRIES = 5.0  # retries a tenant may make, however little it asks
WIDTH = 4096  # cells a row of the sketches


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """What an operator may set; times in seconds."""

    weights: dict[str, float] = field(default_factory=dict)
    default_weight: float = 1.0
    most_held: int = 2000
    most_waiting_inside: int = 8
    most_at_a_turn: int = 32  # let in before the module has seen them, where none waits inside
    hold_share: float = 0.4  # of a request's time that it may be held
    most_debts: int = 4096
    most_promises: int = 10_000
    horizon: float = 5.0  # how far ahead times are promised
    retry_share: float = 0.2  # of a tenant's first tries that unannounced retries may add


@dataclass(slots=True, eq=False)
class _Ticket:
    """One request from its arrival to its end."""

    arrival: AdmissionRequest
    held: Held
    room: _Room
    came: float
    until: float
    entry: Entry[int] | None = None
    turn: int = -1  # of its room, when it was let in
    admitted_at: float = -1.0
    sent_at: float = -1.0


class _Room:
    """One group's primary, or its members at large."""

    def __init__(self, settings: AdmissionSettings, seed: int, now: float) -> None:
        self.queue = FairQueue(settings.most_debts)
        self.promised: deque[Held] = deque()  # who came when told: next, as soon as one more may wait inside
        self.calendar = ReservationSchedule(settings.most_promises, settings.horizon, seed)
        self.most = float(settings.most_waiting_inside)
        self.at_a_turn = settings.most_at_a_turn
        self.allowance = self.most
        self.waiting_inside = 0
        self.turn = self.unseen = 0  # of those waiting inside, let in since the module was last asked
        self.inside = 0
        self.limit = CapacityEstimate(now)
        self.served = 0.0  # cost since the span began
        self.span_from = now
        self.rate = 0.0  # cost served a second, as far as it has been seen
        self.pressed = False  # something was held in this span

    def may_enter(self) -> bool:
        """Whether one more may be let in."""
        if self.inside >= self.limit.bound:
            return False
        waits = self.waiting_inside - self.unseen
        calm = not waits and not self.pressed and self.allowance >= self.most
        return self.unseen < (self.at_a_turn if calm else self.allowance - waits)

    def left_waiting(self, turn: int) -> None:
        """One that was let in at that turn waits no more."""
        self.waiting_inside -= 1
        if turn == self.turn:
            self.unseen -= 1

    def measure(self, now: float) -> None:
        """Once a span: a room that was pressed shows its capacity, another one only that it has as much."""
        self.limit.measure(now)
        passed = now - self.span_from
        if passed < SPAN:
            return
        seen = self.served / passed
        if self.pressed:
            self.rate += 0.5 * (seen - self.rate) if self.rate else seen
        else:
            self.rate = max(seen, 0.98 * self.rate)
        self.served, self.span_from, self.pressed = 0.0, now, bool(self.queue.waiting)
        self.calendar.measured(self.rate, now)


class AdmissionController:
    """All rooms of one driver. Pure: the same settings, seed and calls give the same decisions."""

    def __init__(self, settings: AdmissionSettings, seed: int, now: float) -> None:
        self.settings, self.seed = settings, seed
        self.rooms: dict[tuple[int, bool], _Room] = {}
        self.tickets: dict[int, _Ticket] = {}
        self.wheel: Wheel[int] = Wheel(TICK, now)
        self.costs: dict[str, float] = {}  # of each class, at members
        self.stays: dict[str, float] = {}  # of each class, from being let in to the answer
        self.held = 0
        self.inside = 0  # in all rooms
        self.busiest = ""  # the tenant that has asked most lately
        self.own_limit = float("inf")  # that may be inside for the driver's own sake
        self.refused: OrderedDict[str, None] = OrderedDict()  # keys of requests lately refused
        self.usage = FadingSketch(WIDTH, 16, 30.0, seed, now)
        self.first_tries = FadingSketch(WIDTH, 1, RETRY_HALF_LIFE, seed + 1, now)
        self.retries = FadingSketch(WIDTH, 1, RETRY_HALF_LIFE, seed + 2, now)

    # Events

    def arrive(self, arrival: AdmissionRequest, now: float) -> list[Decision]:
        """Decide about a new request."""
        room = self._room(arrival, now)
        room.measure(now)
        cost = self.costs.get(arrival.class_name, FIRST_COST)
        weight = self.settings.weights.get(arrival.tenant, self.settings.default_weight)
        held = Held(arrival.id, arrival.tenant, arrival.client, arrival.priority_weight, cost, weight)
        until = now + self._patience(arrival)
        ticket = self.tickets[arrival.id] = _Ticket(arrival, held, room, now, until)
        promised = room.calendar.comes(arrival.mark, now)
        again = bool(arrival.key) and self.refused.pop(arrival.key, True) is None
        if not again:
            self.first_tries.gather(arrival.tenant, 1.0, now)
        elif not promised and self._too_many_retries(arrival.tenant, now):
            return [self._turn_away(ticket, now, "too many retries")]
        may_enter = self._may_carry(room) and room.may_enter()
        if may_enter and ((promised and not room.promised) or not room.queue.waiting):
            room.queue.served_at_once(arrival.tenant, cost, weight)
            return [self._admit(ticket, now)]
        if promised:
            room.promised.append(held)
            self.held += 1
            ticket.entry = self.wheel.put(until, arrival.id)
            return []
        if self._wait(room, held) > until - now:
            return [self._turn_away(ticket, now, "its turn would come too late")]
        out: list[Decision] = []
        if self.held >= self.settings.most_held:
            shed = self._shed(room, held)
            if shed is None:
                return [self._turn_away(ticket, now, "no room to wait")]
            out.append(self._turn_away(self.tickets[shed.id], now, "made room for others"))
        room.queue.push(held)
        room.pressed = True
        self.held += 1
        ticket.entry = self.wheel.put(until, arrival.id)
        return out

    def sent(self, number: int, now: float) -> list[Decision]:
        """The module has sent a request to a member for the first time."""
        ticket = self.tickets.get(number)
        if ticket is None or ticket.sent_at >= 0 or ticket.admitted_at < 0:
            return []
        ticket.sent_at = now
        room = ticket.room
        room.left_waiting(ticket.turn)
        if now - ticket.admitted_at < AT_ONCE:
            room.allowance = min(room.most, room.allowance + GROW)
        return self._let_in(room, now)

    def ended(self, number: int, now: float, served: bool, heard: float = 0.0) -> list[Decision]:
        """A request has its final answer, or its client has left.

        `heard` is when the answer's bytes came, 0 where that is not known: what passed since then was the
        driver's own delay and tells nothing of members.
        """
        ticket = self.tickets.pop(number, None)
        if ticket is None:
            return []
        room, arrival, held = ticket.room, ticket.arrival, ticket.held
        if ticket.admitted_at < 0:
            if ticket.entry is not None:
                self.wheel.cancel(ticket.entry)
                self.held -= 1
                self._drop(room, held)
            return []
        room.inside -= 1
        self.inside -= 1
        if ticket.sent_at < 0:
            room.left_waiting(ticket.turn)
            if not served:  # it waited inside for nothing: fewer may wait there
                room.allowance = max(LEAST_ALLOWANCE, room.allowance * FALL)
        else:
            cost = max(0.0, (heard or now) - ticket.sent_at)
            room.served += cost
            room.queue.correct(arrival.tenant, cost - held.cost, held.weight)
            self.usage.gather(arrival.tenant, cost, now)
            if served:
                room.limit.answered(arrival.class_name, arrival.latency_objective, cost, ticket.sent_at)
                usual = self.costs.get(arrival.class_name, FIRST_COST)
                self.costs[arrival.class_name] = usual + LEARN * (cost - usual)
                stay = self.stays.get(arrival.class_name, FIRST_COST)
                self.stays[arrival.class_name] = stay + LEARN * (now - ticket.admitted_at - stay)
        if not served:
            self._remember(arrival.key)
        room.measure(now)
        return self._let_in(room, now)

    def promise(self, number: int, now: float) -> float:
        """A time to come back at for a request that is refused inside, in seconds from now; 0 for none."""
        ticket = self.tickets.get(number)
        return 0.0 if ticket is None else self._promise(ticket, 0.0, now)

    def seen(self, now: float) -> list[Decision]:
        """The module has been asked about all that was let in; what it did not send waits inside."""
        out: list[Decision] = []
        for room in self.rooms.values():
            if room.unseen:
                room.turn += 1
                room.unseen = 0
                if room.queue.waiting or room.promised:
                    out += self._let_in(room, now)
        return out

    def tick(self, now: float) -> list[Decision]:
        """End what has been held for as long as it may be."""
        out: list[Decision] = []
        self.busiest = next((name for name, _ in self.first_tries.largest(now)), "")
        for number in self.wheel.advance(now):
            ticket = self.tickets[number]
            ticket.entry = None
            self.held -= 1
            self._drop(ticket.room, ticket.held)
            out.append(self._turn_away(ticket, now, "held for as long as it may be"))
        return out

    def reload(self, settings: AdmissionSettings) -> None:
        """Take new settings; what waits keeps its place, and new weights count from the next request on."""
        self.settings = settings
        for room in self.rooms.values():
            room.most = float(settings.most_waiting_inside)
            room.at_a_turn = settings.most_at_a_turn
            room.allowance = min(room.allowance, room.most)
            room.queue.most_debts = settings.most_debts
            room.calendar.most, room.calendar.horizon = settings.most_promises, settings.horizon

    def state(self, now: float) -> dict[str, object]:
        """What an operator asks for: the biggest tenants, allowances, queues and promises now."""
        rooms = [
            {
                "group": group,
                "primary_only": side,
                "inside": room.inside,
                "waiting_inside": room.waiting_inside,
                "allowance": round(room.allowance, 2),
                "limit": round(room.limit.bound, 1),
                "held": room.queue.waiting,
                "tenants_held": len(room.queue.tenants),
                "served_per_s": round(room.rate, 4),
                "promises": len(room.calendar.all),
                "promises_ended": room.calendar.ended,
            }
            for (group, side), room in sorted(self.rooms.items())
        ]
        largest = [{"tenant": name, "used_s": round(used, 3)} for name, used in self.usage.largest(now)]
        return {"held": self.held, "rooms": rooms, "largest_tenants": largest}

    # Parts of the decisions

    def _room(self, arrival: AdmissionRequest, now: float) -> _Room:
        key = (arrival.group, arrival.primary_only)
        room = self.rooms.get(key)
        if room is None:
            room = self.rooms[key] = _Room(self.settings, self.seed + 7 * len(self.rooms), now)
        return room

    def _patience(self, arrival: AdmissionRequest) -> float:
        """How long it may be held so that its answer comes in time, by its class's usual stay inside."""
        patience = arrival.time_left * self.settings.hold_share
        if arrival.latency_objective > 0.0:
            stay = self.stays.get(arrival.class_name, FIRST_COST)
            patience = min(
                patience, max(arrival.latency_objective - SURE * stay, LEAST_HOLD * arrival.latency_objective)
            )
        return patience

    def _too_many_retries(self, tenant: str, now: float) -> bool:
        made = self.retries.add(tenant, 1.0, now)
        return made > FREE_RETRIES + self.settings.retry_share * self.first_tries.estimate(tenant, now)

    def _wait(self, room: _Room, held: Held) -> float:
        """How long until its turn: what waits before it of its own tenant, at its share of the rate."""
        if room.rate <= 0.0:
            return 0.0
        tenant = room.queue.tenants.get(held.tenant)
        if tenant is None:
            return room.queue.debt(held.tenant) / room.rate
        weights = sum(t.weight for t in room.queue.tenants.values()) if len(room.queue.tenants) < 64 else None
        if weights is None:  # many tenants wait: by the mean of what they hold
            weights = held.weight * len(room.queue.tenants)
        ahead = sum(
            h.cost
            for priority_weight, level in tenant.levels.items()
            if priority_weight >= held.priority_weight
            for h in level.queues.get(held.client, ())
            if not h.gone
        )
        ahead = max(ahead, tenant.cost * min(1.0, 1.0 / max(1, len(tenant.levels))))
        return ahead * weights / (held.weight * room.rate)

    def _shed(self, room: _Room, newcomer: Held) -> Held | None:
        """Someone to put out for a newcomer: of the tenant with the most waiting, if that is not its own."""
        fullest = room.queue.largest()
        if fullest is None:
            return None
        own = room.queue.tenants.get(newcomer.tenant)
        own_cost = (own.cost if own else 0.0) + newcomer.cost
        if fullest.name == newcomer.tenant:
            least = min(fullest.levels)
            return room.queue.shed_from(fullest) if least < newcomer.priority_weight else None
        if fullest.cost / fullest.weight <= own_cost / newcomer.weight:
            return None
        return room.queue.shed_from(fullest)

    def _admit(self, ticket: _Ticket, now: float) -> Admit:
        ticket.admitted_at = now
        ticket.turn = ticket.room.turn
        ticket.room.unseen += 1
        ticket.room.waiting_inside += 1
        ticket.room.inside += 1
        self.inside += 1
        ticket.room.limit.inside(ticket.room.inside, now)
        return Admit(ticket.arrival.id)

    def _may_carry(self, room: _Room) -> bool:
        """Whether the driver itself can carry one more; a room's even part is its own, whatever others do."""
        return self.inside < self.own_limit or room.inside < self.own_limit / len(self.rooms)

    def _let_in(self, room: _Room, now: float) -> list[Decision]:
        out: list[Decision] = []
        while self._may_carry(room) and room.may_enter():
            held = self._next(room)
            if held is None:
                break
            ticket = self.tickets[held.id]
            if ticket.entry is not None:
                self.wheel.cancel(ticket.entry)
                ticket.entry = None
            self.held -= 1
            out.append(self._admit(ticket, now))
        return out

    def _drop(self, room: _Room, held: Held) -> None:
        if held in room.promised:
            room.promised.remove(held)
            held.gone = True
        else:
            room.queue.drop(held)

    def _next(self, room: _Room) -> Held | None:
        while room.promised:
            held = room.promised.popleft()
            if not held.gone:
                room.queue.served_at_once(held.tenant, held.cost, held.weight)
                return held
        return room.queue.pop()

    def _turn_away(self, ticket: _Ticket, now: float, why: str) -> Reject:
        """Refuse, with a time where one can be promised."""
        arrival, room = ticket.arrival, ticket.room
        if ticket.entry is not None:
            self.wheel.cancel(ticket.entry)
            ticket.entry = None
            self.held -= 1
        self.tickets.pop(arrival.id, None)
        self._remember(arrival.key)
        drain = room.queue.cost / room.rate if room.rate > 0.0 else 0.0
        return Reject(arrival.id, self._promise(ticket, drain, now), why)

    def _promise(self, ticket: _Ticket, after: float, now: float) -> float:
        """A time to come back at, within the tenant's share of the room; 0 where none can be promised."""
        room, held = ticket.room, ticket.held
        others = set(room.queue.tenants) | set(room.calendar.tenants)
        others.discard(held.tenant)
        weights = self.settings.weights
        total = held.weight + sum(weights.get(t, self.settings.default_weight) for t in others)
        share = held.weight / total
        told = room.calendar.promise(ticket.arrival.mark, held.tenant, held.cost, share, after, now)
        return told or 0.0

    def _remember(self, key: str) -> None:
        if not key:
            return
        self.refused[key] = None
        self.refused.move_to_end(key)
        if len(self.refused) > self.settings.most_promises:
            self.refused.popitem(last=False)
