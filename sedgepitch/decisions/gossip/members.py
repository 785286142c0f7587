"""The member table: the known state of each member, and its address."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sedgepitch.decisions.gossip.actions import Address, EventKind, MemberEvent
from sedgepitch.decisions.gossip.messages import MembershipUpdate, MemberState


@dataclass(slots=True)
class StoredEntry:
    """A stored state entry; `published_at` is in seconds on this node's clock."""

    version: int
    published_at: float
    body: bytes


@dataclass(slots=True)
class Member:
    """Another member. Only Membership changes its state and address; StateEntries adds its entries."""

    name: str
    address: Address
    incarnation: int
    state: MemberState
    state_since: float
    accusers: set[str] = field(default_factory=set)
    entries: dict[str, StoredEntry] = field(default_factory=dict)

    @property
    def reachable(self) -> bool:
        """Return whether the member is neither dead nor left."""
        return self.state <= MemberState.SUSPECT

    def update(self, own_name: str) -> MembershipUpdate:
        """Return the known state as an update; this node is preferred as the accuser."""
        accuser = own_name if own_name in self.accusers else min(self.accusers, default="")
        host, port = self.address
        return MembershipUpdate(self.name, host, port, self.incarnation, int(self.state), accuser)


class MemberTable:
    """This node's identity and all other members by name."""

    def __init__(self, name: str, address: Address, rng: random.Random) -> None:
        """Start without other members."""
        self.name = name
        self.address = address
        self.incarnation = 0
        self.members: dict[str, Member] = {}
        self.routes: dict[str, Address] = {}  # addresses that override the ones that members announce
        self.events: list[MemberEvent] = []  # not yet taken by the owner
        self._rng = rng

    def alive(self) -> list[str]:
        """Return the sorted names of alive and suspected members, including this one."""
        return sorted([self.name, *(m.name for m in self.members.values() if m.reachable)])

    def reachable_names(self, excluded: tuple[str, ...] = ()) -> list[str]:
        """Return the names of other members that are alive or suspected."""
        return [m.name for m in self.members.values() if m.reachable and m.name not in excluded]

    def sample(self, count: int, excluded: tuple[str, ...] = ()) -> list[str]:
        """Draw up to `count` reachable members."""
        names = self.reachable_names(excluded)
        return self._rng.sample(names, min(count, len(names)))

    def address_of(self, name: str) -> Address | None:
        """Return the address at which this node reaches a member; None if it is unknown."""
        if name in self.routes:
            return self.routes[name]
        member = self.members.get(name)
        return member.address if member else None

    def own_update(self) -> MembershipUpdate:
        """Return the update that announces this node as alive."""
        host, port = self.address
        return MembershipUpdate(self.name, host, port, self.incarnation, int(MemberState.ALIVE))

    def update_about(self, name: str) -> MembershipUpdate | None:
        """Return the known state of a member or of this node as an update."""
        if name == self.name:
            return self.own_update()
        member = self.members.get(name)
        return member.update(self.name) if member else None

    def report(self, kind: EventKind, name: str) -> None:
        """Record an event for the owner."""
        self.events.append(MemberEvent(kind, name))
