"""Discovery on the platform: a watch over HTTP/1.1 on the list of members, one JSON object a line.

The wire is h11's, which does no I/O. What the versions mean is `decide/membership.py`'s. A watch that is
refused, cut, silent or unreadable is opened again from the last version, after a pause that grows.
"""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from sedgepitch.core.types import Clock
from sedgepitch.decide.membership import Address, Entry, Version
from sedgepitch.interface import State
from sedgepitch.net import transport

SILENT = 5.0  # s without a byte, where an empty line comes every 2 s, after which a watch is dead
CONNECT_WITHIN = 1.0
PAUSE = (0.1, 1.0)  # s between attempts: at first, and at most
MOST_LINE = 4 * 1024 * 1024
MOST_MEMBERS = 10_000
STATES = {"up": State.UP, "draining": State.DRAINING, "removed": State.GONE}


class BadVersion(ValueError):
    """An object that is no list of members; the text names the place."""


def _number(raw: dict[str, Any], name: str, default: float, where: str) -> float:
    value = raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise BadVersion(f"{where}.{name}: not a number")
    return float(value)


def _text(raw: dict[str, Any], name: str, where: str, default: str | None = None) -> str:
    value = raw.get(name, default)
    if not isinstance(value, str):
        raise BadVersion(f"{where}.{name}: not a string")
    return value


def read_address(value: str, where: str, least: int = 1) -> Address:
    """Read `host:port`, an address and never a name, no port below `least`; raises BadVersion."""
    host, colon, port = value.rpartition(":")
    parts = host.split(".")
    good = colon and len(parts) == 4 and all(p.isdigit() and len(p) < 4 and int(p) < 256 for p in parts)
    if not good or not port.isdigit() or len(port) > 5 or not least <= int(port) < 65536:
        raise BadVersion(f"{where}: not an address and a port")
    return host, int(port)


def read_version(raw: Any, wall: float, where: str = "discovery") -> Version:
    """Read one object; `wall` is what Unix time is ahead of the driver's clock. Raises BadVersion."""
    if not isinstance(raw, dict):
        raise BadVersion(f"{where}: not an object")
    revision, complete = raw.get("revision"), raw.get("complete")
    if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(complete, bool):
        raise BadVersion(f"{where}: revision or complete is missing")
    members = raw.get("members")
    if not isinstance(members, list) or len(members) > MOST_MEMBERS:
        raise BadVersion(f"{where}.members: not a list of {MOST_MEMBERS} at most")
    entries = []
    for index, entry in enumerate(members):
        place = f"{where}.members[{index}]"
        if not isinstance(entry, dict):
            raise BadVersion(f"{place}: not an object")
        state = STATES.get(_text(entry, "phase", place))
        if state is None:
            raise BadVersion(f"{place}.phase: unknown")
        started = _number(entry, "up_since_ms", 0.0, place)
        size = _number(entry, "size", 1.0, place)
        entries.append(
            Entry(
                name=_text(entry, "id", place),
                address=read_address(_text(entry, "host_port", place), f"{place}.host_port"),
                zone=_text(entry, "locality", place, ""),
                group=int(_number(entry, "cell", 0.0, place)),
                state=state,
                size=size if size > 0.0 else 1.0,
                started=started / 1000.0 - wall if started > 0.0 else 0.0,
                primary=entry.get("access") == "writer",
            )
        )
    return Version(revision, complete, tuple(entries))


class _Watch(Protocol):
    """One connection to discovery."""

    transport: Any

    def __init__(self, source: Catalog) -> None:
        self.source = source
        self.http = h11.Connection(h11.CLIENT)
        self.line = bytearray()
        self.heard_at = source.clock.now()
        self.why = ""

    def connectionMade(self) -> None:
        """Ask for what changed since the version held here."""
        self.transport.setTcpNoDelay(True)
        target = f"/catalog/members?stream=1&index={self.source.revision()}"
        host = "{}:{}".format(*self.source.address)
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        out = self.http.send(request) or b""
        self.transport.write(out + (self.http.send(h11.EndOfMessage()) or b""))

    def dataReceived(self, data: bytes) -> None:
        """Take bytes."""
        self.heard_at = self.source.clock.now()
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise BadVersion(f"discovery answered {event.status_code}")
                if isinstance(event, h11.Data):
                    self._lines(bytes(event.data))
                elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                    self._break("discovery ended the watch")
                    return
        except (h11.RemoteProtocolError, BadVersion) as error:
            self._break(str(error) or "discovery does not speak HTTP/1.1")

    def _lines(self, data: bytes) -> None:
        self.line += data
        if len(self.line) > MOST_LINE:
            raise BadVersion("discovery: a line without end")
        if b"\n" not in data:
            return
        *whole, rest = bytes(self.line).split(b"\n")
        self.line = bytearray(rest)
        for line in whole:
            if line.strip():
                self.source.told(self, line)

    def _break(self, why: str) -> None:
        self.why = self.why or why
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Ended."""
        self.source.lost(self, self.why or reason.getErrorMessage())


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, source: Catalog) -> None:
        self.source = source

    def buildProtocol(self, addr: Any) -> _Watch:
        """Build one."""
        watch = self.source.watch = _Watch(self.source)
        return watch

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """No connection."""
        if connector is self.source.connector:
            self.source.lost(None, reason.getErrorMessage())


class Catalog:
    """Follows discovery at one address. `listed` hears each version, `troubled` each lost watch."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: Address,
        wall: float,
        revision: Callable[[], int],
        listed: Callable[[Version], None],
        troubled: Callable[[str], None],
        seed: int = 0,
    ) -> None:
        self.reactor, self.clock, self.address, self.wall = reactor, clock, address, wall
        self.revision_held, self.listed, self.troubled = revision, listed, troubled
        self.random = random.Random(seed)
        self.watch: _Watch | None = None
        self.connector: Any = None
        self.pause, self.afresh, self.stopped = PAUSE[0], False, False
        self.timer: Any = None

    def revision(self) -> int:
        """The version to go on from; 0 asks for the whole list."""
        return 0 if self.afresh else self.revision_held()

    def start(self) -> None:
        """Open the watch."""
        if self.stopped:
            return
        self.watch = None
        self.connector = transport.connect(self.reactor, *self.address, _Factory(self), CONNECT_WITHIN)
        self._look_later()

    def stop(self) -> None:
        """End it for good."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        if self.watch is not None and self.watch.transport is not None:
            self.watch.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()

    def told(self, watch: _Watch, line: bytes) -> None:
        """Take one line."""
        if self.stopped or watch is not self.watch:
            return
        try:
            version = read_version(json.loads(line), self.wall)
        except (ValueError, RecursionError) as error:
            self.afresh = True  # what it said is not known, so all has to be asked
            raise BadVersion(
                str(error)[:200] if isinstance(error, BadVersion) else "discovery: not JSON"
            ) from None
        self.pause = PAUSE[0]
        if version.complete:
            self.afresh = False
        self.listed(version)

    def lost(self, watch: _Watch | None, why: str) -> None:
        """Open it again, a little later."""
        if self.stopped or (watch is not None and watch is not self.watch):
            return
        self.watch, self.connector = None, None
        self.troubled(why)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_later(self.pause * (0.5 + self.random.random()), self.start)
        self.pause = min(2.0 * self.pause, PAUSE[1])

    def _look_later(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_later(SILENT / 4.0, self._look)

    def _look(self) -> None:
        """A watch that has been silent for too long is dead, whatever the connection says."""
        watch = self.watch
        if watch is not None and self.clock.now() - watch.heard_at > SILENT:
            watch.why = "discovery is silent"
            watch.transport.abortConnection()
        self._look_later()
