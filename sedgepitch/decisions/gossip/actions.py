"""Actions that a gossip node requests from its caller, and events that it reports."""

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
    """Exchange complete states over a stream with the member that listens at an address."""

    address: Address


@dataclass(slots=True, frozen=True)
class StreamPing:
    """Ping a member over a stream; pass its answer to `GossipNode.stream_ping_answered`."""

    to: str
    address: Address


Action = SendDatagram | SyncState | StreamPing


class EventKind(Enum):
    """What happened to a member; the values are the names in the log."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    RECOVERED = "recovered"
    DEAD = "dead"
    LEFT = "left"
    ENTRY_CHANGED = "entry"


@dataclass(slots=True, frozen=True)
class MemberEvent:
    """A change of a member, reported to the owner of a node."""

    kind: EventKind
    member: str
