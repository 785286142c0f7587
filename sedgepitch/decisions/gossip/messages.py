"""The messages of gossip, as they are encoded.

Structs are encoded as arrays: the order of the fields and the tags are the wire format and must not change,
since two versions of the program run in one cluster. Fields may be added at the end.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class MemberState(IntEnum):
    """What is known of a member; of equal incarnation the higher value overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MembershipUpdate(Struct, frozen=True, array_like=True):
    """The state of one member as its sender knows it. `accuser` suspected it; empty if nobody did."""

    member: str
    host: str
    port: int
    incarnation: int
    state: int
    accuser: str = ""


class StateEntry(Struct, frozen=True, array_like=True):
    """What a member publishes of one kind; the highest version overrides.

    `age` is in seconds: each member that passes an entry on adds the time for which it held it, so clocks of
    two machines are never compared.
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
    """Answers a PingRequest whose target did not answer; shows that the asked member itself is reachable."""

    sequence: int


class UpdateMessage(Struct, frozen=True, array_like=True, tag=5):
    """Carries updates and state entries alone."""

    updates: tuple[MembershipUpdate, ...] = ()
    entries: tuple[StateEntry, ...] = ()


Message = Ping | PingRequest | Ack | Nack | UpdateMessage


class ClusterState(Struct, frozen=True, array_like=True):
    """All that a member knows, exchanged over a stream."""

    updates: tuple[MembershipUpdate, ...] = ()
    entries: tuple[StateEntry, ...] = ()
