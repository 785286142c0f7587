"""The members' side of the platform's protocol: connections, what came back judged to an outcome, probes.

A reply counts once it has been read whole and has the right shape: a description of one column, one row of
one value, its completion. Anything else is spoilt: the attempt may have run, and the connection is closed.
What stands behind a good reply does not spoil it, but its connection is not used again.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from sedgepitch.core.connection_pool import ConnectionBudget, ConnectionPool, PoolLimits
from sedgepitch.core.types import AttemptCallback, AttemptOutcome, Clock, InFlightAttempt
from sedgepitch.net import socket_state
from sedgepitch.net.connecting import OutgoingConnection
from sedgepitch.protocols.postgresql import codec
from sedgepitch.protocols.postgresql.codec import BadMessage, Reader
from sedgepitch.routing.messages import AttemptResult, EndpointEntry, EndpointState, LoadReport
from sedgepitch.settings import translate_load_report

MISSES = ("25006", "72000")  # no primary, or too far behind: no effect
FULL = "53300"
TIDY_EVERY = 1.0  # s between looks at idle connections
MOST_NOTES = 8  # notices and parameters in a reply; more is noise


@dataclass(slots=True, frozen=True)
class Names:
    """The platform's names for what members tell, and how they are to be taken."""

    user: str = "web"
    database: str = "orders"
    primary: bytes = b"writer"
    replica: bytes = b"reader"


class Probe:
    """A payload that asks for a member's report."""

    __slots__ = ()

    def text(self, now: float) -> bytes:
        """The question."""
        return b"SHOW usage"


@dataclass(slots=True, eq=False)
class Reply:
    """What came back for one exchange. `value` is the raw messages to pass on."""

    value: bytes = b""
    row: bytes | None = None
    code: str = ""  # an error's
    spoilt: str = ""
    arrived: float = 0.0
    role: bytes = b""
    position: bytes = b""
    usage: bytes = b""


class MemberConnection(Protocol):
    """One connection to a member, one exchange at a time."""

    transport: Any

    def __init__(
        self,
        names: Names,
        now: Callable[[], float],
        ready: Callable[[MemberConnection], None],
        failed: Callable[[str], None],
        lost: Callable[[str], None],
        heard: Callable[[float], None],
    ) -> None:
        self.names, self.now, self.on_ready, self.failed, self.lost = names, now, ready, failed, lost
        self.heard = heard
        self.reader = Reader(codec.FROM_MEMBER)
        self.greeted = self.broken = False
        self.done: Callable[[Any], None] | None = None
        self.reply: Reply | None = None
        self.parts: list[bytes] = []
        self.notes = 0
        self.why = ""
        self.uses = 0
        self.note: Callable[..., None] | None = None  # the trace's

    def connectionMade(self) -> None:
        """Introduce ourselves."""
        self.transport.set_no_delay()
        if self.note is not None:
            self.note("connected")
        self.transport.write(codec.startup(self.names.user, self.names.database))

    def start(self, payload: Any, done: Callable[[Any], None]) -> None:
        """Send one statement."""
        self.done, self.reply, self.notes = done, Reply(), 0
        self.parts.clear()
        self.uses += 1
        self.transport.write(codec.query(payload.text(self.now())))
        if self.note is not None:
            self.note("written", payload=payload, uses=self.uses, unsent=self.unsent())

    def close(self) -> None:
        """End the connection at once: here that is how an attempt is given up."""
        self.why = self.why or "closed here"
        self.broken = True
        self.transport.abortConnection()

    def unsent(self) -> int:
        """How many bytes wait for the socket to take them."""
        return int(self.transport.unsent()) if hasattr(self.transport, "unsent") else 0

    def usable(self) -> bool:
        """Whether it may carry the next statement."""
        return not self.broken and not self.reader.held and socket_state.is_quiet(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Take bytes."""
        if self.broken:
            return
        arrived = getattr(self.transport, "arrived", 0.0)
        self.heard(arrived)
        self.reader.feed(data)
        try:
            while not self.broken and (found := self.reader.next()) is not None:
                self._message(found[0], found[1], arrived)
        except BadMessage as error:
            self._spoilt(str(error), arrived)

    def _message(self, kind: bytes, raw: bytes, arrived: float) -> None:
        if not self.greeted:
            self._greeting(kind, raw)
            return
        reply = self.reply
        if reply is None:
            if kind not in (b"S", b"N"):  # a parameter may change on its own
                self._break(f"a message {kind!r} that nobody asked for")
            return
        if kind == b"S":
            self.notes += 1
            if self.notes > MOST_NOTES:
                raise BadMessage("parameters without end")
            name, value = codec.read_parameter(raw)
            if name == b"server_role":
                reply.role = value
            elif name == b"commit_clock":
                reply.position = value
            elif name == b"usage":
                reply.usage = value
        elif kind == b"Z":
            self._ready_again(raw, arrived)
        elif kind == b"E":
            self._error(reply, raw, arrived)
        elif kind == b"N":
            self.notes += 1
            if self.notes > MOST_NOTES:
                raise BadMessage("notices without end")
        else:
            self._part(reply, kind, raw)

    def _part(self, reply: Reply, kind: bytes, raw: bytes) -> None:
        if reply.code or kind != (b"T", b"D", b"C", b"")[len(self.parts)]:
            raise BadMessage(f"message {kind!r} out of order")
        if kind == b"T" and codec.columns(raw) != 1:
            raise BadMessage("not one column")
        if kind == b"D":
            reply.row = codec.one_value(raw)
            if reply.row is None:
                raise BadMessage("a row that is not one value")
        if kind == b"C" and raw[-1]:
            raise BadMessage("a completion without its end")
        self.parts.append(raw)

    def _greeting(self, kind: bytes, raw: bytes) -> None:
        self.notes += 1
        if kind == b"R" and raw[5:] != b"\0\0\0\0":
            self._break("a member that wants a password")
        elif kind == b"E":
            self._break("turned away: " + codec.read_error(raw).get("C", "?"))
        elif kind not in (b"R", b"S", b"K", b"N", b"Z") or self.notes > 64:
            self._break(f"a greeting with {kind!r}")
        elif kind == b"Z":
            self.greeted = True
            self.on_ready(self)

    def _error(self, reply: Reply, raw: bytes, arrived: float) -> None:
        fields = codec.read_error(raw)
        if reply.code or len(fields.get("C", "")) != 5:
            raise BadMessage("an error that does not read")
        reply.code = fields["C"]
        if fields.get("V", fields.get("S")) in ("FATAL", "PANIC"):
            self._end(reply, arrived)
            self._break("closed by the member with an error")

    def _ready_again(self, raw: bytes, arrived: float) -> None:
        reply = self.reply
        assert reply is not None
        if raw[5:] != b"I" or (len(self.parts) != 3 and not reply.code):
            raise BadMessage("ready before its answer")
        if self.reader.held:  # dirt behind: the answer stands, the connection goes
            self.broken = True
        self._end(reply, arrived)
        if self.broken:
            self._break("bytes behind an answer")

    def _end(self, reply: Reply, arrived: float) -> None:
        """Hand over what came. A connection that goes is closed first, so it is not taken for the next."""
        reply.arrived = arrived
        reply.value = b"".join(self.parts) if not reply.code and not reply.spoilt else b""
        self.reply, done, self.done = None, self.done, None
        if self.note is not None:
            self.note("answered")
        if done is not None:
            done(reply)

    def _spoilt(self, why: str, arrived: float) -> None:
        """What cannot be read. Behind a whole row it costs the connection only."""
        self.broken = True
        reply = self.reply
        if reply is not None:
            if len(self.parts) != 3:
                reply.spoilt = why
            self._end(reply, arrived)
        self._break(why)

    def _break(self, why: str) -> None:
        self.why, self.broken = self.why or why, True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Ended, by whomever; an error or a row that was whole still counts."""
        why = self.why or reason.getErrorMessage()
        if self.note is not None:
            self.note("ended", why=why, uses=self.uses, busy=self.reply is not None)
        if not self.greeted:
            self.failed(why)
            return
        reply = self.reply
        if reply is not None and (reply.code or len(self.parts) == 3):
            self.broken = True
            self._end(reply, getattr(self.transport, "arrived", 0.0))
        self.lost(why)


@dataclass(slots=True)
class Link:
    """One member: where it is, and its connections."""

    id: int
    address: tuple[str, int]
    pool: ConnectionPool
    gone_at: float = math.inf


def read_usage(raw: bytes) -> dict[str, float]:
    """Read a load report, `inflight=7,util=0.61`; what does not read is left out."""
    found: dict[str, float] = {}
    if len(raw) > 1024:
        return found
    for part in raw.split(b","):
        name, equals, digits = part.partition(b"=")
        try:
            value = float(digits)
        except ValueError:
            continue
        if equals and math.isfinite(value):
            found[name.decode("ascii", "replace")] = value
    return found


class PostgresUpstream:
    """All members: the engine's `Members` for this protocol.

    `wall` is what Unix time in seconds is ahead of the clock; every position is turned by it, here alone.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        limits: PoolLimits,
        room: ConnectionBudget,
        wall: float,
        probe_within: float,
        names: Names | None = None,
    ) -> None:
        self.reactor, self.clock, self.limits, self.room = reactor, clock, limits, room
        self.wall, self.probe_within, self.names = wall, probe_within, names or Names()
        self.addresses: Mapping[int, tuple[str, int]] = {}
        self.links: dict[int, Link] = {}
        self.heard: Callable[[float], None] = lambda arrived: None
        self.forgotten: Callable[[int], None] = lambda endpoint: None
        self.trace: Callable[[int], Callable[..., None]] | None = None  # a connection's own notes
        self.say: Callable[..., None] = lambda event, **fields: None
        self.spoilt = self.unread_reports = 0
        self.clock.call_later(TIDY_EVERY, self._tidy)

    # The engine's side

    def update_endpoints(self, entries: tuple[EndpointEntry, ...], complete: bool) -> None:
        """Take the list: new members, new addresses, and those that are gone."""
        now = self.clock.now()
        for entry in entries:
            link, address = self.links.get(entry.endpoint), self.addresses.get(entry.endpoint)
            if address is None:
                continue
            if link is None:
                self.links[entry.endpoint] = Link(
                    entry.endpoint, address, self._pool(entry.endpoint, address)
                )
            elif link.address != address:
                link.pool.retire()
                link.address, link.pool = address, self._pool(entry.endpoint, address)
        present = {x.endpoint for x in entries if x.state is not EndpointState.GONE}
        for link in self.links.values():
            if link.id in present:
                link.gone_at = math.inf
            elif complete or any(x.endpoint == link.id for x in entries):
                link.gone_at = min(link.gone_at, now)

    def send(self, endpoint: int, payload: Any, on_end: AttemptCallback, by: float) -> InFlightAttempt:
        """Send a statement, where it can leave by then."""
        link = self.links[endpoint]
        if self.room_short():
            self.close_longest_idle()
        return link.pool.send(payload, on_end, by)

    def check_health(self, endpoint: int, on_end: AttemptCallback) -> None:
        """Ask a member for its report."""
        if (link := self.links.get(endpoint)) is None:
            self.clock.soon(on_end, AttemptOutcome(AttemptResult.NOT_SENT, why="not listed any more"))
        else:
            link.pool.send_with_timeout(Probe(), on_end, self.probe_within)

    def close_idle(self, endpoint: int) -> None:
        """Close what is not in use."""
        if (link := self.links.get(endpoint)) is not None:
            link.pool.close_idle()

    def close(self) -> None:
        """Close all connections."""
        for link in self.links.values():
            link.pool.close()

    # Descriptors and time

    def room_short(self) -> bool:
        """Whether descriptors for members are nearly out."""
        return bool(getattr(self.room, "endpoints_nearly_exhausted", False))

    def close_longest_idle(self) -> bool:
        """Free a descriptor: close the connection that has been idle longest, of whatever member.

        Returns False where none is idle.
        """
        idle = [link for link in self.links.values() if link.pool.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda link: link.pool.idle[0].idle_since)
        oldest.pool.idle.pop(0).close()
        return True

    def _tidy(self) -> None:
        now = self.clock.now()
        for link in list(self.links.values()):
            link.pool.close_expired()
            if link.gone_at < now:
                link.pool.close_idle()
                if not link.pool.connections:
                    del self.links[link.id]
                    self.forgotten(link.id)
        self.clock.call_later(TIDY_EVERY, self._tidy)

    # Connections and replies

    def _pool(self, endpoint: int, address: tuple[str, int]) -> ConnectionPool:
        def connect(ready: Any, failed: Callable[[str], None], lost: Callable[[str], None]) -> Any:
            made = MemberConnection(self.names, self.clock.now, ready, failed, lost, self.heard)
            if self.trace is not None:
                made.note = self.trace(endpoint)
            opening = OutgoingConnection(lambda: made, failed, self.limits.connect_timeout)
            opening.open(self.reactor, address, self.limits.connect_timeout + 1.0)

            def give_up() -> None:
                if made.transport is None:
                    opening.cancel()
                else:  # up, but not greeted: its greeting must not count any more
                    made.close()

            return give_up

        return ConnectionPool(
            self.clock,
            connect,
            lambda exchange, reply: self.judge(endpoint, exchange.payload, reply),
            self.limits,
            self.room,
        )

    def judge(self, endpoint: int, payload: Any, reply: Reply) -> AttemptOutcome:
        """Turn what came back into an outcome and its evidence."""
        if reply.spoilt:
            self.spoilt += 1
            self.say("member.spoilt", endpoint=endpoint, why=reply.spoilt)
            return AttemptOutcome(
                AttemptResult.ERROR, why=f"spoilt answer: {reply.spoilt}", received_at=reply.arrived
            )
        end = AttemptOutcome(self._result(reply), received_at=reply.arrived)
        if reply.code:
            end.why = f"code {reply.code}"
        primary = {self.names.primary: True, self.names.replica: False}.get(reply.role)
        end.primary = primary
        if reply.position.isdigit() and len(reply.position) <= 18:
            end.position = int(reply.position) / 1000.0 - self.wall
        usage = reply.usage
        if isinstance(payload, Probe):
            usage = usage or reply.row or b""
        elif end.result is AttemptResult.OK:
            end.reply = reply.value
        if usage:
            end.report = self._report(usage)
        return end

    def _result(self, reply: Reply) -> AttemptResult:
        if not reply.code:
            return AttemptResult.OK
        if reply.code in MISSES:
            return AttemptResult.NOT_ELIGIBLE
        return AttemptResult.OVERLOADED if reply.code == FULL else AttemptResult.ERROR

    def _report(self, usage: bytes) -> LoadReport | None:
        fields = read_usage(usage)
        if not fields:
            self.unread_reports += 1
            return None
        return translate_load_report(fields, -self.wall)
