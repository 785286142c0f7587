"""Discovery on the platform: watches over HTTP/1.1 on the list of members, JSON objects one after another.

The wire is h11's, which does no I/O. What the versions mean is `decisions/discovery/list_versions.py`'s;
which watches are held, opened and let go is `decisions/discovery/watch_streams.py`'s. Here are the sockets.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterator
from typing import Any

import h11
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from sedgepitch.core.types import Clock
from sedgepitch.decisions.discovery.list_versions import Address, Entry, Version
from sedgepitch.decisions.discovery.watch_streams import WatchStreams
from sedgepitch.net.connecting import connect
from sedgepitch.routing.messages import EndpointState

CONNECT_WITHIN = 1.0  # s; discovery stands on this machine
MOST_OBJECT = 4 * 1024 * 1024  # bytes
MOST_MEMBERS = 10_000
NEVER = float("inf")
STATES = {"up": EndpointState.UP, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}


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
    endpoints = raw.get("members")
    if not isinstance(endpoints, list) or len(endpoints) > MOST_MEMBERS:
        raise BadVersion(f"{where}.members: not a list of {MOST_MEMBERS} at most")
    entries = []
    for index, entry in enumerate(endpoints):
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


class Objects:
    """Cuts a stream into JSON objects, whatever the white space and wherever the pieces break.

    Each byte is looked at once, and an object of more than MOST_OBJECT bytes is an error.
    """

    _INSIDE = re.compile(rb'["{}]')
    _STRING = re.compile(rb'["\\\\]')
    _OUTSIDE = re.compile(rb"[^ \t\r\n]")

    def __init__(self) -> None:
        self._part = bytearray()
        self._depth = 0
        self._string = self._escaped = False

    @property
    def begun(self) -> bool:
        """Whether an object has come in part."""
        return self._depth > 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Take bytes; yields the objects that they end. Raises BadVersion for anything between objects."""
        start = at = 0
        while at < len(data):
            if not self._depth:
                first = self._OUTSIDE.search(data, at)
                if first is None:
                    return
                start = first.start()
                if data[start : start + 1] != b"{":
                    raise BadVersion("discovery: not JSON objects")
                self._depth, at = 1, start + 1
            elif self._escaped:
                self._escaped, at = False, at + 1
            elif (sign := (self._STRING if self._string else self._INSIDE).search(data, at)) is None:
                break
            else:
                at = sign.end()
                self._take(sign.group())
                if not self._depth:
                    self._keep(data[start:at])
                    whole, self._part = bytes(self._part), bytearray()
                    yield whole
        if self._depth:
            self._keep(data[start:])

    def _take(self, sign: bytes) -> None:
        if sign == b'"':
            self._string = not self._string
        elif sign == b"\\":
            self._escaped = True
        else:
            self._depth += 1 if sign == b"{" else -1

    def _keep(self, part: bytes) -> None:
        self._part += part
        if len(self._part) > MOST_OBJECT:
            raise BadVersion(f"discovery: an object of more than {MOST_OBJECT} bytes")


class _Watch(ClientFactory, Protocol):
    """One connection to discovery, from its opening on."""

    transport: Any
    noisy = False

    def __init__(self, source: DiscoveryClient, address: Address, index: int) -> None:
        self.source, self.address, self.index = source, address, index
        self.http = h11.Connection(h11.CLIENT)
        self.objects = Objects()
        self.begun_at = 0.0  # when the object that is not whole began
        self.connector: Any = None
        self.why = ""
        self.ended = False

    def open(self) -> None:
        """Begin to connect; how that ends is told later, never from within this call."""
        source = self.source
        self.connector = connect(source.reactor, *self.address, self, CONNECT_WITHIN)

    def buildProtocol(self, addr: Any) -> _Watch:
        """It is its own protocol: one factory, one connection."""
        return self

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """No connection."""
        self._over(reason.getErrorMessage())

    def connectionMade(self) -> None:
        """Ask for what changed since the version held when this one was opened."""
        if self.ended:
            self.transport.abortConnection()
            return
        self.transport.set_no_delay()
        target = f"/catalog/members?stream=1&index={self.index}"
        request = h11.Request(method="GET", target=target, headers=[("Host", "{}:{}".format(*self.address))])
        out = self.http.send(request) or b""
        self.transport.write(out + (self.http.send(h11.EndOfMessage()) or b""))

    def dataReceived(self, data: bytes) -> None:
        """Take bytes."""
        if self.ended:
            return
        try:
            self.http.receive_data(data)
            while not self.ended:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        self._over(f"discovery answered {event.status_code}")
                        return
                    self.source.answered(self)
                elif isinstance(event, h11.Data):
                    self._data(bytes(event.data))
                elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                    self._over("discovery ended the watch")
        except h11.RemoteProtocolError as error:
            self._over(str(error)[:200] or "discovery does not speak HTTP/1.1")
        except BadVersion as error:
            self.source.afresh = True  # what it said is not known, so all has to be asked
            self._over(str(error)[:200])

    def _data(self, data: bytes) -> None:
        source = self.source
        fresh = not self.objects.begun
        for whole in self.objects.feed(data):
            fresh = True
            source.told(self, whole)
        if not self.objects.begun:
            source.sign(self)
            return
        if fresh:
            self.begun_at = source.clock.now()
        source.stirs(self, self.begun_at)

    def end(self) -> None:
        """Close it; nothing of it is told any more."""
        self.ended = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.disconnect()

    def _over(self, why: str) -> None:
        if not self.ended:
            self.end()
            self.source.lost(self, why)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # type: ignore[override]
        """Ended by the other side, if not here."""
        self._over(reason.getErrorMessage())


class DiscoveryClient:
    """Follows discovery at one address after another. `listed` hears each version, `troubled` each loss."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: Address,
        wall: float,
        revision: Callable[[], int],
        listed: Callable[[Version], None],
        troubled: Callable[[str], None],
    ) -> None:
        self.reactor, self.clock, self.address, self.wall = reactor, clock, address, wall
        self.revision_held, self.listed, self.troubled = revision, listed, troubled
        self.watches: WatchStreams[_Watch] = WatchStreams()
        self.afresh = self.stopped = False
        self.timer: Any = None

    def start(self) -> None:
        """Open the first watch."""
        self._look(self.clock.now())

    def move(self, address: Address) -> None:
        """Discovery is elsewhere. What is heard now is heard until the new place has spoken."""
        if self.stopped:
            return
        self.address = address
        self._close(self.watches.moved())
        self._look(self.clock.now())

    def stop(self) -> None:
        """End it for good."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._close(self.watches.all())

    def told(self, watch: _Watch, whole: bytes) -> None:
        """Take one object. Raises BadVersion."""
        if self.stopped or not self.watches.holds(watch):
            return
        try:
            raw = json.loads(whole)
        except (ValueError, RecursionError):
            raise BadVersion("discovery: not JSON") from None
        version = read_version(raw, self.wall)
        self.sign(watch)
        if version.complete:
            self.afresh = False
        self.listed(version)

    def answered(self, watch: _Watch) -> None:
        """Discovery will serve it."""
        self.watches.answered(watch, self.clock.now())

    def sign(self, watch: _Watch) -> None:
        """It lives."""
        self._close(self.watches.sign(watch, self.clock.now()))
        if not self.stopped:
            self._look_later()

    def stirs(self, watch: _Watch, since: float) -> None:
        """Part of an object came."""
        self.watches.stirs(watch, since, self.clock.now())

    def lost(self, watch: _Watch, why: str) -> None:
        """A watch ended that was still held."""
        if self.stopped or not self.watches.holds(watch):
            return
        self.watches.lost(watch, self.clock.now())
        self.troubled(why)
        self._look_later()

    def _close(self, watches: list[_Watch]) -> None:
        for watch in watches:
            watch.end()

    def _look_later(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        at = self.watches.due()
        self.timer = self.clock.call_later(max(0.0, at - self.clock.now()), self._due) if at < NEVER else None

    def _due(self) -> None:
        """Read what lies unread before a silence is judged, as of now."""
        self.clock.after_reading(self._look, self.clock.now())

    def _look(self, at: float) -> None:
        if self.stopped:
            return
        now = self.clock.now()
        if self.watches.opens(at):
            if self.watches.open_at == NEVER:
                self.troubled("discovery is silent")
            watch = _Watch(self, self.address, 0 if self.afresh else self.revision_held())
            self._close(self.watches.opened(watch, now))
            watch.open()
        self._look_later()
