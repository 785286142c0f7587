"""Follow the member list on a fleet's control socket: lines of JSON, the whole list first, then changes.

One line: {"event": "list", "complete": true, "members": [{"id", "group", "state", "zone", "primary",
"size", "age", "address"}, ...]}; `age` is how long ago the member started, in seconds, absent for long ago.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from sedgepitch.core.types import Clock
from sedgepitch.routing.messages import EndpointEntry, EndpointState


class BadList(ValueError):
    """A line that is no member list; the text says what is wrong."""


Addresses = dict[int, tuple[str, int]]


def read_list(line: bytes, now: float) -> tuple[tuple[EndpointEntry, ...], bool, Addresses]:
    """Read one line: the listings, whether they are the whole list, and addresses told. Raises BadList."""
    try:
        raw = json.loads(line)
        entries = tuple(
            EndpointEntry(
                endpoint=int(entry["id"]),
                group=int(entry.get("group", 0)),
                state=EndpointState(entry["state"]),
                zone=str(entry.get("zone", "")),
                primary=bool(entry.get("primary", False)),
                size=float(entry.get("size", 1.0)),
                started=now - float(entry["age"]) if "age" in entry else 0.0,
            )
            for entry in raw["members"]
        )
        addresses: Addresses = {}
        for entry in raw["members"]:
            if "address" in entry:
                host, _, port = str(entry["address"]).rpartition(":")
                addresses[int(entry["id"])] = (host, int(port))
        return entries, bool(raw["complete"]), addresses
    except (KeyError, TypeError, ValueError, RecursionError, AttributeError) as error:
        raise BadList(f"member list: {error!r}"[:200]) from None


class _Follower(LineReceiver):
    delimiter = b"\n"
    MAX_LENGTH = 4 << 20
    transport: Any

    def __init__(self, source: ControlSocketClient) -> None:
        self.source = source

    def connectionMade(self) -> None:
        """Ask for the list and all changes."""
        self.sendLine(json.dumps({"op": "watch", "driver": self.source.name}).encode())

    def lineReceived(self, line: bytes) -> None:
        """One list or change."""
        try:
            self.source.changed(*read_list(line, self.source.clock.now()))
        except BadList as error:
            self.source.log("list.bad", why=str(error))
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The source has gone; the old list still applies."""
        self.source.lost()


class ControlSocketClient(ClientFactory):
    """A source of the member list. `watch` is the module's subscription; it says itself when to ask again."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: tuple[str, int],
        name: str,
        changed: Callable[[tuple[EndpointEntry, ...], bool, Addresses], None],
        lost: Callable[[], None],
        log: Callable[..., None],
    ) -> None:
        self.reactor, self.clock, self.address, self.name = reactor, clock, address, name
        self.changed, self.lost, self.log = changed, lost, log
        self.connector: Any = None

    def watch(self) -> None:
        """Ask for changes from now on."""
        if self.connector is None or self.connector.state == "disconnected":
            self.connector = self.reactor.connectTCP(*self.address, self, timeout=2.0)

    def buildProtocol(self, addr: Any) -> _Follower:
        """Build one."""
        return _Follower(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """No connection."""
        self.lost()

    def stop(self) -> None:
        """End the subscription."""
        if self.connector is not None:
            self.lost = lambda: None
            self.connector.disconnect()
