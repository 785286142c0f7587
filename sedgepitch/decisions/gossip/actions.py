"""What a gossip node asks its caller to do, and what it reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sedgepitch.decisions.gossip.messages import Message

Address = tuple[str, int]  # host and port


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a message to a member."""

    to: str
    address: Address
    message: Message


@dataclass(slots=True, frozen=True)
class SyncState:
    """Exchange complete states over a stream with whoever listens at an address."""

    address: Address


@dataclass(slots=True, frozen=True)
class StreamPing:
    """Ask over a stream whether a member is alive; its answer goes to `GossipNode.stream_ping_answered`."""

    to: str
    address: Address


Action = SendDatagram | SyncState | StreamPing


class EventKind(Enum):
    """What happened to a member; values are the names in the log."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    RECOVERED = "recovered"
    DEAD = "dead"
    LEFT = "left"
    ENTRY_CHANGED = "entry"


@dataclass(slots=True, frozen=True)
class MemberEvent:
    """A change that the owner of a node is to hear of."""

    kind: EventKind
    member: str
