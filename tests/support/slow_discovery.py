"""A discovery client with emulated sources in virtual time: late, hanging, refused and trickled answers.

The client, its watch connections and the HTTP exchange are the real ones; only `connect` is replaced.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable

from twisted.internet import task
from twisted.internet.error import ConnectionLost, ConnectionRefusedError, TimeoutError
from twisted.python.failure import Failure

from sedgepitch.core.clock import FakeClock
from sedgepitch.decisions.discovery.list_versions import Address, EndpointListVersions, ListVersion
from sedgepitch.discovery import watch_connection
from sedgepitch.discovery.client import DiscoveryClient
from sedgepitch.routing.messages import EndpointState

HANGS = float("inf")
HEARTBEAT_INTERVAL_S = 2.0
REFUSAL_S = 0.0005  # from a call to its refusal
MAX_EVENTS = 5_000  # of one run
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk of an HTTP/1.1 chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def version_bytes(revision: int, complete: bool, **phases: str) -> bytes:
    """Return one list version as discovery sends it, with the phase of each endpoint that it names."""
    members = [{"id": name, "host_port": "10.0.0.1:1", "phase": phase} for name, phase in phases.items()]
    return json.dumps({"revision": revision, "complete": complete, "members": members}).encode() + b"\n"


class EmulatedCall:
    """One connection to a source; also the transport and the connector of the client's side."""

    def __init__(self, source: EmulatedSource, protocol: watch_connection.WatchConnection) -> None:
        self.source = source
        self.protocol = protocol
        self.number = len(source.calls)
        self.open = True
        self.silent = False  # nothing is sent any more
        self.index = 0  # changes after this revision are requested
        self._sending_until = 0.0

    def set_no_delay(self) -> None:
        """Do nothing: there is no socket."""

    def write(self, data: bytes) -> None:
        """Take the request."""
        self.index = int(re.search(rb"index=(\d+)", data)[1])
        self.source.serve(self)

    def abortConnection(self) -> None:
        """Close from the client's side; a source that serves one by one still serves the call."""
        self.open = False

    def disconnect(self) -> None:
        """Stop connecting."""
        self.open = False

    def send(self, data: bytes) -> None:
        """Deliver bytes to the client, one at a time if the source trickles."""
        interval_s = self.source.byte_interval_s
        if not interval_s:
            self._deliver(data)
            return
        now = self.source.clock.seconds()
        for byte in data:
            self._sending_until = max(self._sending_until, now) + interval_s
            self.source.clock.callLater(self._sending_until - now, self._deliver, bytes([byte]))

    def _deliver(self, data: bytes) -> None:
        if self.open:
            self.protocol.dataReceived(data)

    def reset(self) -> None:
        """Reset the connection from the source's side."""
        if self.open:
            self.open = False
            self.protocol.connectionLost(Failure(ConnectionLost()))

    def answer(self) -> None:
        """Send the first object, then heartbeats."""
        if self.open:
            self.send(HEAD + chunk(self.source.first_object(self)))
            self.source.clock.callLater(HEARTBEAT_INTERVAL_S, self.heartbeat)

    def heartbeat(self) -> None:
        """Send an empty line now and regularly from then on, until the call is closed or falls silent."""
        if self.open and not self.silent:
            self.send(chunk(b"\n"))
            self.source.clock.callLater(HEARTBEAT_INTERVAL_S, self.heartbeat)


class EmulatedSource:
    """One discovery address. `delay_s(n)` is the time from the n-th call to the beginning of its answer."""

    def __init__(
        self,
        clock: task.Clock,
        delay_s: Callable[[int], float] = lambda number: 0.0,
        one_by_one: bool = False,
        byte_interval_s: float = 0.0,
        connect_delay_s: float = 0.0,
    ) -> None:
        self.clock = clock
        self.delay_s = delay_s
        self.one_by_one = one_by_one  # each call is served after the one before, also if that was given up
        self.byte_interval_s = byte_interval_s
        self.connect_delay_s = connect_delay_s
        self.refused = False
        self.revision = 1
        self.calls: list[EmulatedCall] = []
        self.free_at = 0.0  # when the calls before have been served, if one by one

    def list_bytes(self) -> bytes:
        """Return the complete list; its only content is the revision."""
        return version_bytes(self.revision, True)

    def first_object(self, _call: EmulatedCall) -> bytes:
        """Return the first object of an answer; subclasses may send older lists, or changes."""
        return self.list_bytes()

    def serve(self, call: EmulatedCall) -> None:
        """Schedule the answer of a call."""
        delay_s = self.delay_s(call.number)
        if delay_s == HANGS:
            return
        begins_at = self.clock.seconds() + delay_s
        if self.one_by_one:
            begins_at = max(self.clock.seconds(), self.free_at) + delay_s
            self.free_at = begins_at
        self.clock.callLater(begins_at - self.clock.seconds(), call.answer)

    def reset_all(self) -> None:
        """Reset all open connections."""
        for call in self.calls:
            call.reset()

    def silence_all(self) -> None:
        """Let all present watches fall silent."""
        for call in self.calls:
            call.silent = True

    def resume_all(self) -> None:
        """Let the watches that fell silent send heartbeats again, at once and then regularly."""
        for call in self.calls:
            if call.silent:
                call.silent = False
                self.clock.callLater(0.0, call.heartbeat)

    @property
    def open_calls(self) -> int:
        """Return how many connections the client holds open."""
        return sum(call.open for call in self.calls)


class SlowDiscovery:
    """One discovery client and the sources that it may be configured with."""

    def __init__(self, monkeypatch) -> None:
        self.clock = task.Clock()
        self.sources: dict[Address, EmulatedSource] = {}
        self.heard: list[tuple[float, int]] = []  # (time, revision) of each version
        self.versions = EndpointListVersions()
        self.states: dict[str, EndpointState] = {}  # of the endpoints in the list, by name
        self.lost: list[str] = []
        self.most_open = 0
        self.client: DiscoveryClient | None = None
        self.on_applied: Callable[[ListVersion], None] = lambda version: None
        monkeypatch.setattr(watch_connection, "connect", self._connect)

    def add(self, name: str, source: EmulatedSource) -> Address:
        """Add a source; return its address."""
        address = (name, 1)
        self.sources[address] = source
        return address

    def start(self, address: Address) -> None:
        """Start the client."""
        self.client = DiscoveryClient(
            None,
            FakeClock(self.clock),
            address,
            0.0,
            held_revision=lambda: self.versions.revision,
            on_version=self._version,
            on_lost=self.lost.append,
        )
        self.client.start()

    def _version(self, version: ListVersion) -> None:
        self.heard.append((self.clock.seconds(), version.revision))
        update = self.versions.apply(version)
        if update is None:
            return
        listed = {self.versions.names[entry.endpoint]: entry.state for entry in update.entries}
        self.states = listed if update.complete else self.states | listed
        self.on_applied(version)

    def _connect(self, reactor, host, port, factory, timeout_s) -> EmulatedCall:
        source = self.sources[host, port]
        call = EmulatedCall(source, factory)
        if source.refused:
            self.clock.callLater(REFUSAL_S, self._fail, call, ConnectionRefusedError())
        elif source.connect_delay_s > timeout_s:
            self.clock.callLater(timeout_s, self._fail, call, TimeoutError())
        else:
            self.clock.callLater(source.connect_delay_s, self._connected, call)
        source.calls.append(call)
        self.most_open = max(self.most_open, sum(each.open_calls for each in self.sources.values()))
        return call

    def _fail(self, call: EmulatedCall, reason: Exception) -> None:
        if call.open:
            call.open = False
            call.protocol.clientConnectionFailed(call, Failure(reason))

    def _connected(self, call: EmulatedCall) -> None:
        if call.open:
            call.protocol.makeConnection(call)

    def run_until(self, end: float) -> None:
        """Run all events up to a time, each at its own time."""
        events = 0
        while self.clock.calls and self.clock.calls[0].getTime() <= end:
            events += 1
            assert events < MAX_EVENTS, "events without a pause"
            self.clock.advance(max(0.0, self.clock.calls[0].getTime() - self.clock.seconds()))
        self.clock.advance(max(0.0, end - self.clock.seconds()))

    def known_at(self, revision: int) -> float:
        """Return when the client first had a revision; HANGS if it never did."""
        return min((time for time, heard in self.heard if heard >= revision), default=HANGS)
