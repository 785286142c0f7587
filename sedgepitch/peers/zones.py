"""Zones on a running driver: tells the own digest, hears the others', and tells the module the shares.

What is decided stands in `decisions/zones`. This file has the timer, the words, the
hand-over to the engine, and what an operator is shown or orders.
"""

from __future__ import annotations

import json
import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sedgepitch.core.engine import Engine
from sedgepitch.core.types import Clock
from sedgepitch.decisions.gossip.actions import MemberEvent
from sedgepitch.decisions.gossip.messages import MemberState
from sedgepitch.decisions.zones import digests as evidence
from sedgepitch.decisions.zones import operator_commands as orders
from sedgepitch.decisions.zones.digests import Digest, Evidence
from sedgepitch.decisions.zones.operator_commands import Orders
from sedgepitch.decisions.zones.weights import FRESH_FOR, State, View, Zones, ZoneSettings
from sedgepitch.peers.keys import AuthenticationError
from sedgepitch.peers.service import PeerService
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult

LOOK = 0.1  # s between looks at the own evidence
LEAST_GAP = 0.2  # s between two tellings of the own digest
TELL_ORDERS = 3.0  # s between tellings of orders held, so that newcomers have them
CALM_TURN = 1.0  # s between judgements while nothing changes
ASLEEP = 0.5  # s; a look that comes later than this finds a process that stood still
UNFIT_FOR = 2.0  # s after that in which this driver judges nobody
NUMBERS, NUMBER_FOR = 16, 30.0  # numbers given out for orders at most, and s that each is good for
DIGEST, ORDERS = "zones", "orders"  # kinds of words

ANSWERED = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.OVERLOADED, AttemptResult.NOT_ELIGIBLE)
BROKEN = (AttemptResult.CONNECT_FAILED, AttemptResult.RESET)


class BadOrder(ValueError):
    """An order that is not carried out; the text says why."""


@dataclass(slots=True)
class _Heard:
    """The last digest of a peer, so that it is read once."""

    body: bytes
    digest: Digest | None


class ZoneKeeper:
    """One driver's zones. `start` begins, `stop` ends; the engine hears `ZoneShares` when they change."""

    def __init__(
        self,
        engine: Engine,
        peers: PeerService,
        clock: Clock,
        zone: str,
        settings: ZoneSettings,
        beat: float = 3.0,
        say: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self.engine, self.peers, self.clock, self.say = engine, peers, clock, say
        self.zone, self.beat = zone[: evidence.MOST_NAME], beat
        self.name = peers.settings.name
        self.evidence, self.zones, self.orders = Evidence(), Zones(self.name, settings), Orders()
        self.heard: dict[str, _Heard] = {}
        self.heard_orders: dict[str, bytes] = {}
        self.shares: dict[str, float] = {}
        self.own = Digest(self.zone, 0.0, False)
        self.told_as: Any = None
        self.told_at = self.turned_at = self.orders_at = -FRESH_FOR
        self.unfit_until = 0.0
        self.looked_at = clock.now()
        self.news = True
        self.numbers: dict[str, float] = {}
        self.bad = 0  # words that were no digest
        self.stopped = False
        engine.looks_on = self

    # What the engine tells

    def arrived(self) -> None:
        """One request came in."""
        self.evidence.arrived(self.clock.now())

    def sent(self, endpoint: int) -> None:
        """One attempt was sent."""
        if (zone := self._zone_of(endpoint)) is not None:
            self.evidence.sent(self.clock.now(), endpoint, zone)

    def ended(self, endpoint: int, result: AttemptResult, share_of_aim: float) -> None:
        """It ended. One that was called off, or never left, says nothing of a member."""
        zone, now = self._zone_of(endpoint), self.clock.now()
        if zone is None:
            return
        if result in ANSWERED:
            self.evidence.good(now, endpoint, zone, share_of_aim)
        elif result is AttemptResult.TIMEOUT:
            self.evidence.silent(now, endpoint, zone)
        elif result in BROKEN:
            self.evidence.refused(now, endpoint, zone)

    def _zone_of(self, endpoint: int) -> str | None:
        held = self.engine.router.endpoints.get(endpoint)
        return held.zone if held is not None and held.zone else None

    # Time

    def start(self) -> None:
        """Begin to look."""
        self.looked_at = self.clock.now()
        self.clock.call_later(LOOK, self._look)

    def stop(self) -> None:
        """End; the shares stay as they are."""
        self.stopped = True
        self.engine.looks_on = None

    def changed(self, event: MemberEvent) -> None:
        """A peer's word or life has changed."""
        self.news = True

    def _look(self) -> None:
        if self.stopped:
            return
        self.clock.call_later(LOOK, self._look)
        now = self.clock.now()
        late = now - self.looked_at > ASLEEP
        self.looked_at = now
        if late:  # what was counted is old, and who slept accuses nobody
            self.evidence.forget(now)
            self.unfit_until = now + UNFIT_FOR
        self.own = self._digest(now)
        said = (
            self.own.fit,
            evidence.votes(self.own),
            [(r.zone, r.down) for r in self.own.rows if r.zone in evidence.parts(self.own)],
            [(s.zone, s.state, s.share) for s in self.own.stances],
        )
        changed = said != self.told_as
        busy = any(z.state is not State.NORMAL for z in self.zones.zones.values())
        if self.news or changed or busy or late or now - self.turned_at >= CALM_TURN:
            self._turn(now, late)
        if now - self.told_at >= (LEAST_GAP if changed else self.beat):
            self.told_as, self.told_at = said, now
            self.peers.publish(DIGEST, evidence.encode(self.own))
        if self.orders.held and now - self.orders_at >= TELL_ORDERS:
            self._tell_orders()

    def _digest(self, now: float) -> Digest:
        suspects = {
            m.id: m.zone
            for m in self.engine.router.endpoints.values()
            if m.suspect in ("silent", "down")
            and m.trial is None
            and m.zone
            and m.state is api.EndpointState.UP
        }
        in_part = [z.name for z in self.zones.zones.values() if z.share < 1.0]
        up = Counter(
            m.zone[: evidence.MOST_NAME]
            for m in self.engine.router.endpoints.values()
            if m.zone and m.state is api.EndpointState.UP
        )
        rows = self.evidence.rows(now, suspects, {z: up[z] for z in self._sizes()}, in_part)
        gossip = self.peers.node
        slow = gossip is not None and gossip.health.score >= gossip.settings.max_local_health // 2
        fit = now >= self.unfit_until and not slow and not self.engine.own.late
        return Digest(self.zone, round(self.evidence.demand, 2), fit, rows, self.zones.stances(now))

    def _sizes(self) -> dict[str, float]:
        sizes: dict[str, float] = {}
        for endpoint in self.engine.router.endpoints.values():
            if endpoint.zone and endpoint.state is api.EndpointState.UP:
                zone = endpoint.zone[: evidence.MOST_NAME]
                sizes[zone] = sizes.get(zone, 0.0) + endpoint.size
        return dict(sorted(sizes.items())[: evidence.MOST_ZONES])

    def _turn(self, now: float, late: bool) -> None:
        self.turned_at, self.news = now, False
        if (gossip := self.peers.node) is None:
            return
        alive = {m.name for m in gossip.members.values() if m.state is MemberState.ALIVE}
        told: dict[str, tuple[float, Digest]] = {}
        for name, entry in gossip.entries_of_kind(DIGEST, now).items():
            age, body = entry.age, entry.body
            if name == self.name or name not in alive:
                continue
            held = self.heard.get(name)
            if held is None or held.body != body:
                held = self.heard[name] = _Heard(body, evidence.decode(body))
                self.bad += held.digest is None
            if held.digest is not None:
                told[name] = (age, held.digest)
        for name in [n for n in self.heard if n not in gossip.members]:
            del self.heard[name]
        self._merge_orders(now)
        view = View(now, self.own, told, self._sizes(), self.orders.leaves(), late, 1 + len(alive))
        shares = {z: round(s, 4) for z, s in self.zones.turn(view).items()}
        changes, self.zones.changes = self.zones.changes, []
        for zone, what in changes:
            if what == State.RETURNING.name.lower():
                self.evidence.forget_zone(zone)
            held_zone = self.zones.zones.get(zone)
            if held_zone is not None:
                fields = {"share": round(held_zone.share, 3), "why": held_zone.why, "at": round(now, 4)}
                self.say("zone", zone=zone, state=what, **fields)
        if shares != self.shares:
            self.shares = shares
            self.engine.feed(api.ZoneWeights(tuple(sorted(shares.items()))))

    # Orders

    def _merge_orders(self, now: float) -> None:
        gossip = self.peers.node
        assert gossip is not None
        new = False
        for name, entry in gossip.entries_of_kind(ORDERS, now).items():
            body = entry.body
            if name != self.name and self.heard_orders.get(name) != body:
                self.heard_orders[name] = body
                new = self.orders.merge(orders.decode(body)) or new
        for name in [n for n in self.heard_orders if n not in gossip.members]:
            del self.heard_orders[name]
        if new:
            self.say("zone.orders", held=[f"{o.what} {o.zone}" for o in self.orders.held.values()])
            self._tell_orders()

    def _tell_orders(self) -> None:
        self.orders_at = self.clock.now()
        self.peers.publish(ORDERS, orders.encode(self.orders))

    def number(self) -> str:
        """A number that one order must carry, so that an order overheard is of no use again."""
        now = self.clock.now()
        self.numbers = {n: at for n, at in self.numbers.items() if now - at <= NUMBER_FOR}
        while len(self.numbers) >= NUMBERS:
            del self.numbers[next(iter(self.numbers))]
        number = secrets.token_hex(16)
        self.numbers[number] = now
        return number

    def order(self, sealed: bytes) -> dict[str, Any]:
        """Carry out an order that a holder of the key gave. Raises BadOrder."""
        try:
            told = json.loads(self.peers.authenticator.open(sealed))
            at = self.numbers.pop(str(told["number"]), None)
            if at is None or self.clock.now() - at > NUMBER_FOR:
                raise BadOrder("the order's number is not one that was given out, or it is too old")
            zone, what, within = str(told["zone"]), str(told["what"]), float(told.get("within", 0.0))
        except AuthenticationError as error:
            raise BadOrder(str(error)) from None
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
            if isinstance(error, BadOrder):
                raise
            raise BadOrder(f"no order: {error!r}"[:200]) from None
        if what == orders.LEAVE and zone not in self._sizes():
            raise BadOrder(
                f"no member of a zone '{zone}' is up; there are {', '.join(self._sizes()) or 'none'}"
            )
        try:
            order = self.orders.give(zone, what, within, self.name)
        except ValueError as error:
            raise BadOrder(str(error)) from None
        self.say("zone.order", zone=zone, what=what, within_s=within, number=order.number)
        self._tell_orders()
        self.news = True
        return {"zone": zone, "number": order.number, "by": order.by}

    # For people

    def status(self) -> dict[str, Any]:
        """What is held of zones, who says what, and whom each order has reached."""
        now, gossip = self.clock.now(), self.peers.node
        heard = {} if gossip is None else gossip.entries_of_kind(DIGEST, now)
        living = [] if gossip is None else gossip.alive()
        said = {} if gossip is None else gossip.entries_of_kind(ORDERS, now)
        told = {name: orders.decode(entry.body) for name, entry in said.items()}
        return {
            "name": self.name,
            "zone": self.zone,
            "number": self.number(),
            "zones": [
                {
                    "zone": z.name,
                    "state": z.state.name.lower(),
                    "share": round(z.share, 3),
                    "for_s": round(now - z.since, 1),
                    "why": z.why,
                    "relapses": z.relapses,
                    "wait_s": z.wait,
                }
                for z in sorted(self.zones.zones.values(), key=lambda z: z.name)
            ],
            "drivers": [
                {
                    "name": name,
                    "zone": digest.zone,
                    "age_s": round(0.0 if name == self.name else entry.age, 2),
                    "demand": digest.demand,
                    "fit": digest.fit,
                    "votes": {zone: vote.name.lower() for zone, vote in evidence.votes(digest).items()},
                    "all_it_uses_is_down": sorted(evidence.parts(digest)),
                    "shares": {s.zone: s.share / 1000.0 for s in digest.stances},
                }
                for name, entry in sorted(heard.items())
                if (digest := self.own if name == self.name else evidence.decode(entry.body)) is not None
            ],
            "orders": [
                {
                    "zone": order.zone,
                    "what": order.what,
                    "within_s": order.within,
                    "number": order.number,
                    "by": order.by,
                    "reached": [n for n in living if order in told.get(n, ())],
                    "missing": [n for n in living if order not in told.get(n, ())],
                }
                for order in sorted(self.orders.held.values(), key=lambda o: o.zone)
            ],
            "bad_words": self.bad,
        }
