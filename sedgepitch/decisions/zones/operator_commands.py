"""What operators have ordered of zones, merged so that the newest wins everywhere. Pure.

An order stands in the word of every instance that knows it, so it reaches whoever can be reached, and comes
over a cut when it heals. Of two for one zone the higher number counts; of equal ones the later name, so that
two operators at once end with the same order everywhere. A `return` stays known: it is what makes an older
`leave` that comes round again count for nothing.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import Struct

from sedgepitch.decisions.zones.digests import MOST_BODY, MOST_NAME, MOST_ZONES

LEAVE, RETURN = "leave", "return"
MOST_NUMBER = 1 << 53
MOST_WITHIN = 3600.0  # s


class Order(Struct, frozen=True, array_like=True):
    """Leave a zone over `within` seconds, or give it back to the evidence. `by` is who was told."""

    zone: str
    number: int
    by: str
    what: str
    within: float = 0.0

    def beats(self, other: Order | None) -> bool:
        """Whether this one counts beside the other."""
        return other is None or (self.number, self.by, self.what) > (other.number, other.by, other.what)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[Order, ...])


class Orders:
    """The newest order of each zone."""

    def __init__(self) -> None:
        self.held: dict[str, Order] = {}

    def give(self, zone: str, what: str, within: float, by: str) -> Order:
        """Take an operator's order given here. Raises ValueError where it is none."""
        if what not in (LEAVE, RETURN):
            raise ValueError(f"an order is '{LEAVE}' or '{RETURN}', not '{what}'")
        if not 0 < len(zone) <= MOST_NAME:
            raise ValueError(f"a zone's name has 1 to {MOST_NAME} characters")
        if not 0.0 <= within <= MOST_WITHIN:
            raise ValueError(f"within: 0 to {MOST_WITHIN:g} s")
        if zone not in self.held and len(self.held) >= MOST_ZONES:
            raise ValueError(f"orders for {MOST_ZONES} zones are held already")
        number = 1 + max((o.number for o in self.held.values()), default=0)
        order = self.held[zone] = Order(zone, number, by[:64], what, within)
        return order

    def merge(self, told: Iterable[Order]) -> bool:
        """Take what another holds; true where something was new."""
        new = False
        for order in told:
            known = order.zone in self.held or len(self.held) < MOST_ZONES
            if known and _possible(order) and order.beats(self.held.get(order.zone)):
                self.held[order.zone] = order
                new = True
        return new

    def leaves(self) -> dict[str, Order]:
        """The zones to be left."""
        return {z: o for z, o in self.held.items() if o.what == LEAVE}


def _possible(order: Order) -> bool:
    return (
        order.what in (LEAVE, RETURN)
        and 0 < order.number <= MOST_NUMBER
        and 0 < len(order.zone) <= MOST_NAME
        and len(order.by) <= 64
        and 0.0 <= order.within <= MOST_WITHIN
    )


def encode(orders: Orders) -> bytes:
    """Return them as a word's body; the newest stay where not all would fit."""
    kept = sorted(orders.held.values(), key=lambda o: (-o.number, o.zone))
    while len(body := _encoder.encode(tuple(kept))) > MOST_BODY:
        kept.pop()
    return body


def decode(body: bytes) -> tuple[Order, ...]:
    """Return the orders of a word; none where it is none."""
    try:
        return _decoder.decode(body)[:MOST_ZONES]
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, UnicodeDecodeError):
        return ()
