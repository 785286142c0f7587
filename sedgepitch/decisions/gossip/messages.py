"""The gossip messages in their wire format.

Structs are encoded as arrays: the field order and the tags are the wire format and must not change, since two
versions of the program can run in one cluster. Fields may be added at the end.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class MemberState(IntEnum):
    """The state of a member; at equal incarnations the higher value overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MembershipUpdate(Struct, frozen=True, array_like=True):
    """The state of a member as known to the sender. `accuser` suspected it; empty without suspicion."""

    member: str
    host: str
    port: int
    incarnation: int
    state: int
    accuser: str = ""


class StateEntry(Struct, frozen=True, array_like=True):
    """A member's published entry of one kind; the highest version overrides.

    `age` is in seconds. Each member that forwards an entry adds the time for which it stored the entry, so
    clocks of different machines are never compared.
    """

    origin: str
    kind: str
    version: int
    age: float
    body: bytes


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Probes a member, which answers with an Ack of the same sequence number."""

    sequence: int
    updates: tuple[MembershipUpdate, ...] = ()
    entries: tuple[StateEntry, ...] = ()


class PingRequest(Struct, frozen=True, array_like=True, tag=2):
    """Asks the receiver to ping a target on the sender's behalf."""

    sequence: int
    target: str
    updates: tuple[MembershipUpdate, ...] = ()
    entries: tuple[StateEntry, ...] = ()


class Ack(Struct, frozen=True, array_like=True, tag=3):
    """Answers a Ping, or a PingRequest whose target answered."""

    sequence: int
    updates: tuple[MembershipUpdate, ...] = ()
    entries: tuple[StateEntry, ...] = ()


class Nack(Struct, frozen=True, array_like=True, tag=4):
    """Answers a PingRequest whose target did not answer; shows that the helper itself is reachable."""

    sequence: int


class UpdateMessage(Struct, frozen=True, array_like=True, tag=5):
    """Carries only updates and state entries."""

    updates: tuple[MembershipUpdate, ...] = ()
    entries: tuple[StateEntry, ...] = ()


Message = Ping | PingRequest | Ack | Nack | UpdateMessage


class ClusterState(Struct, frozen=True, array_like=True):
    """The complete state of a member, exchanged over a stream."""

    updates: tuple[MembershipUpdate, ...] = ()
    entries: tuple[StateEntry, ...] = ()
