"""The members' side of the MongoDB front: connections, the meaning of replies, probes by hello.

Replies stay bytes; one walk over the top level finds whether it went well, the optime, and the labels.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import bson
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from sedgepitch.core.connection_pool import ConnectionPool, PoolLimits
from sedgepitch.core.types import AttemptCallback, AttemptOutcome, Clock, InFlightAttempt
from sedgepitch.decisions.positions import GroupPositions, Sighting, Stamp
from sedgepitch.net import socket_state
from sedgepitch.net.connecting import OutgoingConnection
from sedgepitch.protocols.mongodb import bsonwalk, codec
from sedgepitch.protocols.mongodb.codec import Message, WireError
from sedgepitch.protocols.mongodb.framing import FrameReceiver
from sedgepitch.routing.messages import AttemptResult, EndpointEntry, LoadReport

NOT_PRIMARY = (10107, 10058, 13435, 13436)  # turned away untouched: not the primary, or not readable
ROLE_LOST = (189, 11602)  # stepped down meanwhile: it may have had an effect
TROUBLE = (6, 7, 89, 91, 262, 9001, 11600, 133)  # the member's own trouble, not the request's
OVERLOADED = 462
NEVER_RAN_LABEL = b"NoWritesPerformed"
MARK_WITHIN = 0.05  # s that a probe's answer waits for the primary's mark that it is to be held against


@dataclass(slots=True, frozen=True)
class Hello:
    """A member's own report of itself."""

    primary: bool
    term: int
    stamp: Stamp | None
    load: float | None


class Plain:
    """A payload of sections that are ready."""

    __slots__ = ("_sections", "writes")

    def __init__(self, sections: bytes, writes: bool = False) -> None:
        self._sections, self.writes = sections, writes

    def sections(self) -> bytes:
        """Return the sections."""
        return self._sections


def hello_command(app_name: str) -> Plain:
    """Return the hello that opens a connection, and that a probe is made of."""
    client = {
        "application": {"name": app_name},
        "driver": {"name": "sedgepitch", "version": "0.2.0"},
        "os": {"type": "Linux"},
    }
    return Plain(b"\0" + bson.encode({"hello": 1, "helloOk": True, "client": client, "$db": "admin"}))


def read_hello(message: Message) -> Hello | None:
    """Read a hello's answer; None where it is an error or holds no role."""
    try:
        document = bson.decode(message.body)
        if document.get("ok") != 1:
            return None
        optime = (document.get("lastWrite") or {}).get("opTime") or {}
        stamp = optime.get("ts")
        load = document.get("load")
        return Hello(
            primary=bool(document.get("isWritablePrimary")),
            term=int(optime.get("t", -1)),
            stamp=(stamp.time, stamp.inc) if isinstance(stamp, bson.Timestamp) else None,
            load=float(load) if isinstance(load, (int, float)) else None,
        )
    except (bson.errors.BSONError, AttributeError, TypeError, ValueError):
        return None


@dataclass(slots=True, frozen=True)
class MemberReply:
    """A reply as the client's side needs it: the body, and where it tells of a cursor."""

    body: bytes
    cursor: bsonwalk.Element | None


@dataclass(slots=True)
class ReplyFacts:
    """What a reply says at its top level."""

    good: bool
    code: int
    labels: bytes
    stamp: Stamp | None
    cursor: bsonwalk.Element | None


def read_reply(message: Message) -> ReplyFacts:
    """Walk a reply's top level; raises BadDocument."""
    body = message.body
    good, code, labels, stamp, cursor = False, 0, b"", None, None
    for element in bsonwalk.elements(body):
        if element.name == b"ok":
            good = bsonwalk.number(body, element) == 1
        elif element.name == b"code":
            code = int(bsonwalk.number(body, element) or 0)
        elif element.name == b"errorLabels":
            labels = body[element.start : element.end]
        elif element.name == b"operationTime":
            stamp = bsonwalk.timestamp(body, element)
        elif element.name == b"cursor" and element.kind == bsonwalk.DOCUMENT:
            cursor = element
    return ReplyFacts(good, code, labels, stamp, cursor)


class MemberConnection(FrameReceiver):
    """One connection to a member: says hello, then carries one exchange at a time."""

    def __init__(
        self,
        app_name: str,
        greeted: Callable[[MemberConnection, Message], None],
        failed: Callable[[str], None],
        lost: Callable[[str], None],
        heard: Callable[[float], None] = lambda arrived: None,
    ) -> None:
        super().__init__()
        self.app_name, self.greeted, self.failed, self.lost = app_name, greeted, failed, lost
        self.heard = heard  # told when bytes came that are now read
        self.number = 0
        self.ready = False
        self.done: Callable[[Any], None] | None = None
        self.why = ""

    def connectionMade(self) -> None:
        """Say hello first."""
        self.transport.set_no_delay()
        self._write(hello_command(self.app_name))

    def start(self, payload: Any, done: Callable[[Any], None]) -> None:
        """Send one request."""
        self.done = done
        self._write(payload)

    def close(self) -> None:
        """End the connection at once."""
        self.why = self.why or "closed here"
        self.transport.abortConnection()

    def unsent(self) -> int:
        """How many bytes wait for the socket to take them."""
        return int(self.transport.unsent()) if hasattr(self.transport, "unsent") else 0

    def usable(self) -> bool:
        """Whether it may carry the next request."""
        return socket_state.is_quiet(self.transport)

    def _write(self, payload: Any) -> None:
        self.number = self.number % 0x7FFFFFFF + 1
        self.transport.write(codec.build_raw(payload.sections(), self.number, 0))

    def dataReceived(self, data: bytes) -> None:
        """Take bytes, and tell when they came."""
        self.heard(getattr(self.transport, "arrived", 0.0))
        super().dataReceived(data)

    def frame_received(self, frame: bytes) -> None:
        """One reply. What was not asked for ends the connection: nothing after it could be trusted."""
        try:
            message = codec.parse(frame)
        except WireError as error:
            return self._break(f"bad reply: {error}")
        if message.response_to != self.number or (self.ready and self.done is None):
            return self._break(f"a reply to {message.response_to}, which was not asked")
        if not self.ready:
            self.ready = True
            self.greeted(self, message)
            return None
        done, self.done = self.done, None
        assert done is not None
        message.arrived = getattr(self.transport, "arrived", 0.0)
        done(message)
        return None

    def length_refused(self, length: int) -> None:
        """A frame that cannot be."""
        self._break(f"a reply of {length} bytes")

    def _break(self, why: str) -> None:
        self.why, self.broken = why, True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Ended, by whomever."""
        why = self.why or reason.getErrorMessage()
        (self.lost if self.ready else self.failed)(why)


@dataclass(slots=True)
class _Link:
    """One member: where it is, its pools, and what has been asked of it."""

    id: int
    group: int
    address: tuple[str, int]
    pool: ConnectionPool
    probes: ConnectionPool
    listed_primary: bool = False
    mark_waiters: list[Callable[[], None]] = field(default_factory=list)


class MongoUpstream:
    """All members of all groups: the engine's `Members` for this protocol.

    `addresses` tells where a member is: id -> (host, port). `mark_age` is the age in seconds beyond which a
    probe of a replica asks the primary for a new mark as well.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        addresses: dict[int, tuple[str, int]],
        app_name: str,
        limits: PoolLimits,
        probe_within: float,
        mark_age: float,
    ) -> None:
        self.reactor, self.clock, self.addresses = reactor, clock, addresses
        self.app_name, self.limits = app_name, limits
        self.probe_within, self.mark_age = probe_within, mark_age
        self.links: dict[int, _Link] = {}
        # A group may be asked of before any list has named its members, as by a driver that has just started.
        self.positions: defaultdict[int, GroupPositions] = defaultdict(GroupPositions)
        self.hello = hello_command(app_name)
        self.heard: Callable[[float], None] = lambda arrived: None  # told when bytes came that are now read

    # The engine's side

    def update_endpoints(self, entries: tuple[EndpointEntry, ...], complete: bool) -> None:
        """Open pools for new members; one that is gone keeps its pool for what is under way."""
        for entry in entries:
            address = self.addresses.get(entry.endpoint)
            link = self.links.get(entry.endpoint)
            if address is None:
                continue
            if link is None or link.address != address:
                if link is not None:
                    link.pool.close()
                    link.probes.close()
                link = self.links[entry.endpoint] = self._link(entry, address)
            link.listed_primary = entry.primary

    def send(self, endpoint: int, payload: Any, on_end: AttemptCallback, by: float) -> InFlightAttempt:
        """Send a request or a cursor's next batch, where it can leave by then."""
        return self.links[endpoint].pool.send(payload, on_end, by)

    def close_idle(self, endpoint: int) -> None:
        """Close what is not in use."""
        self.links[endpoint].pool.close_idle()

    def check_health(self, endpoint: int, on_end: AttemptCallback) -> None:
        """Ask a member by hello, and the primary for a mark where the newest is too old."""
        link = self.links[endpoint]
        group = self.positions[link.group]
        primary = self._primary_of(link.group)
        waiting: dict[str, Any] = {"answer": None, "mark": False}

        def told() -> None:
            end = waiting["answer"]
            if isinstance(end, AttemptOutcome) and not waiting["mark"]:
                waiting["answer"] = "told"
                on_end(self._with_position(link, end))

        def answered(end: AttemptOutcome) -> None:
            waiting["answer"] = end
            told()

        def marked() -> None:
            waiting["mark"] = False
            told()

        if primary is not None and primary is not link and group.wants_mark(self.clock.now(), self.mark_age):
            waiting["mark"] = True
            self._mark(primary, marked)
        self._ask(link, answered)

    def close(self) -> None:
        """Close all connections."""
        for link in self.links.values():
            link.pool.close()
            link.probes.close()

    # Probes and marks

    def _primary_of(self, group: int) -> _Link | None:
        holder = self.positions[group].holder
        if holder is not None:
            return self.links.get(holder)
        return next((x for x in self.links.values() if x.group == group and x.listed_primary), None)

    def _mark(self, link: _Link, then: Callable[[], None]) -> None:
        link.mark_waiters.append(then)
        if len(link.mark_waiters) > 1:
            return

        def over(*_: object) -> None:
            waiters, link.mark_waiters = link.mark_waiters, []
            for waiter in waiters:
                waiter()

        self._ask(link, over, MARK_WITHIN)

    def _ask(self, link: _Link, on_end: AttemptCallback, within: float | None = None) -> None:
        link.probes.send_with_timeout(self.hello, on_end, within or self.probe_within)

    def _with_position(self, link: _Link, end: AttemptOutcome) -> AttemptOutcome:
        if end.report is None or end.report.primary is True:
            return end
        position = self.positions[link.group].position(link.id)
        report = LoadReport(position, end.report.primary, end.report.load)
        return AttemptOutcome(end.result, report=report)

    # Connections and replies

    def _link(self, entry: EndpointEntry, address: tuple[str, int]) -> _Link:
        endpoint, group = entry.endpoint, entry.group

        def connect(ready: Any, failed: Callable[[str], None], lost: Callable[[str], None]) -> Any:
            asked = self.clock.now()

            def greeted(connection: MemberConnection, message: Message) -> None:
                self._sighted(endpoint, group, asked, read_hello(message))
                ready(connection)

            opening = OutgoingConnection(
                lambda: MemberConnection(self.app_name, greeted, failed, lost, self.heard),
                failed,
                self.limits.connect_timeout,
            )
            opening.open(self.reactor, address, max(1.0, self.limits.connect_timeout))
            return opening.cancel

        def judge(exchange: Any, message: Message) -> AttemptOutcome:
            end = self._judge(endpoint, group, exchange, message)
            end.received_at = message.arrived
            return end

        def judge_probe(exchange: Any, message: Message) -> AttemptOutcome:
            hello = read_hello(message)
            if hello is None:
                return AttemptOutcome(AttemptResult.ERROR, why="hello answered with an error")
            sighting = self._sighted(endpoint, group, exchange.sent_at, hello)
            return AttemptOutcome(
                AttemptResult.OK, report=LoadReport(sighting.position, sighting.primary, hello.load)
            )

        probe_limits = PoolLimits(4, self.probe_within, self.limits.max_idle_time)
        return _Link(
            endpoint,
            group,
            address,
            ConnectionPool(self.clock, connect, judge, self.limits),
            ConnectionPool(self.clock, connect, judge_probe, probe_limits),
        )

    def _sighted(self, endpoint: int, group: int, asked: float, hello: Hello | None) -> Sighting:
        if hello is None:
            return Sighting(None, None)
        return self.positions[group].hello(endpoint, asked, hello.primary, hello.term, hello.stamp)

    def _judge(self, endpoint: int, group: int, exchange: Any, message: Message) -> AttemptOutcome:
        writes, positions = exchange.payload.writes, self.positions[group]
        try:
            facts = read_reply(message)
        except bsonwalk.BadDocument as error:
            return AttemptOutcome(AttemptResult.ERROR, why=f"bad reply: {error}")
        if not facts.good:
            end = self._judge_error(endpoint, positions, facts, message)
            if end is not None:
                return end
        reply = MemberReply(message.body, facts.cursor)
        if writes and facts.good:
            sighting = positions.wrote(endpoint, exchange.sent_at, facts.stamp)
            report = LoadReport(sighting.position, None)
            return AttemptOutcome(AttemptResult.OK, reply, sighting.primary, self.clock.now(), report)
        sighting = positions.read(endpoint, exchange.sent_at, facts.stamp)
        return AttemptOutcome(AttemptResult.OK, reply, report=LoadReport(sighting.position, None))

    def _judge_error(
        self, endpoint: int, positions: GroupPositions, facts: ReplyFacts, message: Message
    ) -> AttemptOutcome | None:
        """Return the end where the error is the member's, None where it is the answer that was asked for."""
        if facts.code in NOT_PRIMARY:
            positions.turned_away(endpoint)
            return AttemptOutcome(
                AttemptResult.NOT_ELIGIBLE, message, False, why=f"not primary (code {facts.code})"
            )
        if facts.code in ROLE_LOST:
            positions.turned_away(endpoint)
            return AttemptOutcome(
                AttemptResult.ERROR, message, False, why=f"stepped down (code {facts.code})"
            )
        if facts.code == OVERLOADED or NEVER_RAN_LABEL in facts.labels:
            return AttemptOutcome(AttemptResult.OVERLOADED, message, why=f"full (code {facts.code})")
        if facts.code in TROUBLE:
            return AttemptOutcome(AttemptResult.ERROR, message, why=f"member in trouble (code {facts.code})")
        return None
