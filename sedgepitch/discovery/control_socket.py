"""Client of the control socket of an emulated fleet, a source of the endpoint list: JSON lines over TCP.

The first line holds the complete list, later lines hold changes:

    {"event": "list", "complete": true, "members": [{"id", "group", "state", "zone", "primary", "size", "age",
    "address"}, ...]}

`age` is the time since the endpoint started, in seconds; it is absent if the endpoint started long ago.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from sedgepitch.core.types import Clock
from sedgepitch.discovery.errors import MalformedListError
from sedgepitch.net.twisted_types import Reactor
from sedgepitch.routing.messages import EndpointEntry, EndpointState

Addresses = dict[int, tuple[str, int]]  # by endpoint id
CONNECT_TIMEOUT_S = 2.0
MAX_LINE_BYTES = 4 << 20
MAX_ERROR_CHARS = 200


@dataclass(slots=True, frozen=True)
class ControlSocketList:
    """One line of the control socket: the complete list or changes, with the addresses that it contains."""

    entries: tuple[EndpointEntry, ...]
    complete: bool
    addresses: Addresses


def read_list(line: bytes, now: float) -> ControlSocketList:
    """Parse one line; `now` is in monotonic seconds. Raises MalformedListError."""
    try:
        raw = json.loads(line)
        entries = tuple(_read_entry(entry, now) for entry in raw["members"])
        addresses = {
            int(entry["id"]): _read_address(entry["address"])
            for entry in raw["members"]
            if "address" in entry
        }
        return ControlSocketList(entries, bool(raw["complete"]), addresses)
    except (KeyError, TypeError, ValueError, RecursionError, AttributeError) as error:
        raise MalformedListError(f"member list: {error!r}"[:MAX_ERROR_CHARS]) from None


def _read_entry(raw: dict[str, Any], now: float) -> EndpointEntry:
    return EndpointEntry(
        endpoint=int(raw["id"]),
        group=int(raw.get("group", 0)),
        state=EndpointState(raw["state"]),
        zone=str(raw.get("zone", "")),
        primary=bool(raw.get("primary", False)),
        size=float(raw.get("size", 1.0)),
        started=now - float(raw["age"]) if "age" in raw else 0.0,
    )


def _read_address(value: object) -> tuple[str, int]:
    host, _, port = str(value).rpartition(":")
    return host, int(port)


class _Subscription(LineReceiver):
    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES
    transport: Any

    def __init__(self, client: ControlSocketClient) -> None:
        self.client = client

    def connectionMade(self) -> None:
        """Request the list and all changes."""
        self.sendLine(json.dumps({"op": "watch", "driver": self.client.name}).encode())  # type: ignore[no-untyped-call]

    def lineReceived(self, line: bytes) -> None:
        """Forward one list; close the connection if it is malformed."""
        try:
            self.client.on_list(read_list(line, self.client.clock.now()))
        except MalformedListError as error:
            self.client.log_event("endpoint_list.malformed", reason=str(error))
            self.transport.loseConnection()

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """Report the loss; the last list remains in use."""
        self.client.on_lost()


class ControlSocketClient(ClientFactory):
    """A source of the endpoint list. The router calls `subscribe` repeatedly to request changes.

    `on_list` is called with each line, `on_lost` when the connection is lost or cannot be established.
    """

    noisy = False

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        address: tuple[str, int],
        name: str,
        on_list: Callable[[ControlSocketList], None],
        on_lost: Callable[[], None],
        log_event: Callable[..., None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.address = address
        self.name = name
        self.on_list = on_list
        self.on_lost = on_lost
        self.log_event = log_event
        self.connector: Any = None

    def subscribe(self) -> None:
        """Connect and request changes, unless already connecting or connected."""
        if self.connector is None or self.connector.state == "disconnected":
            self.connector = self.reactor.connectTCP(*self.address, self, timeout=CONNECT_TIMEOUT_S)

    def buildProtocol(self, _addr: object) -> _Subscription:
        """Return the protocol of a new connection."""
        return _Subscription(self)

    def clientConnectionFailed(self, _connector: object, _reason: Failure) -> None:
        """Report that the connection could not be established."""
        self.on_lost()

    def stop(self) -> None:
        """Close the connection; its loss is not reported."""
        if self.connector is not None:
            self.on_lost = lambda: None
            self.connector.disconnect()
