"""The upstream side of the MongoDB protocol: connection pools, health checks and positions of endpoints."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from sedgepitch.core.connection_pool import ConnectionPool, PoolLimits
from sedgepitch.core.types import AttemptCallback, AttemptHandle, AttemptOutcome, Clock
from sedgepitch.decisions.positions import UNPROVEN, EndpointEvidence, GroupPositions
from sedgepitch.net.connecting import OutgoingConnection
from sedgepitch.net.twisted_types import Reactor
from sedgepitch.protocols.common.callbacks import ignore
from sedgepitch.protocols.mongodb.bsonwalk import MalformedDocument
from sedgepitch.protocols.mongodb.codec import Message
from sedgepitch.protocols.mongodb.endpoint_connection import ConnectionCallbacks, EndpointConnection
from sedgepitch.protocols.mongodb.health_check import HealthCheck
from sedgepitch.protocols.mongodb.hello import EndpointHello, hello_command, read_hello
from sedgepitch.protocols.mongodb.outcomes import error_meaning, error_outcome, malformed_outcome
from sedgepitch.protocols.mongodb.payload import Payload
from sedgepitch.protocols.mongodb.reply import EndpointReply, ReplySummary, summarize
from sedgepitch.routing.messages import AttemptResult, EndpointEntry, LoadReport

PRIMARY_OBSERVATION_TIMEOUT_S = 0.05  # how long a health check waits for the primary's position
HEALTH_CHECK_CONNECTIONS_MAX = 4
CONNECT_TIMEOUT_MIN_S = 1.0  # of the TCP connect; the pool's own timeout is reached first


class SentCommand(Protocol):
    """The part of the connection pool's attempt that reply handling needs."""

    payload: Payload
    sent_at: float  # clock time in s


@dataclass(slots=True)
class EndpointPools:
    """One endpoint: its address, and separate connection pools for requests and health checks."""

    id: int
    group: int
    address: tuple[str, int]
    pool: ConnectionPool
    health_checks: ConnectionPool
    listed_primary: bool = False
    observation_waiters: list[Callable[[], None]] = field(default_factory=list)

    def close(self) -> None:
        """Close all connections."""
        self.pool.close()
        self.health_checks.close()


class MongoUpstream:
    """All endpoints of all groups: the engine's `Upstream` for this protocol.

    `addresses` maps endpoint ids to (host, port). `health_check_timeout` is in seconds. If the latest
    observation of the primary is older than `observation_age_max` seconds, a health check of a replica
    queries the primary as well.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: Clock,
        addresses: dict[int, tuple[str, int]],
        app_name: str,
        limits: PoolLimits,
        health_check_timeout: float,
        observation_age_max: float,
    ) -> None:
        """Start without endpoints; `update_endpoints` creates their pools."""
        self.reactor = reactor
        self.clock = clock
        self.addresses = addresses
        self.limits = limits
        self.health_check_timeout = health_check_timeout
        self.observation_age_max = observation_age_max
        self.pools: dict[int, EndpointPools] = {}
        # A group may be looked up before an endpoint list names its endpoints, for example after start-up.
        self.positions: defaultdict[int, GroupPositions] = defaultdict(GroupPositions)
        self.hello = hello_command(app_name)
        self.on_bytes_arrived: Callable[[float], None] = ignore

    # Called by the engine

    def update_endpoints(self, entries: tuple[EndpointEntry, ...], complete: bool) -> None:  # noqa: ARG002  # of Upstream
        """Create pools for new endpoints; removed endpoints keep theirs for requests in flight."""
        for entry in entries:
            address = self.addresses.get(entry.endpoint)
            if address is None:
                continue
            pools = self.pools.get(entry.endpoint)
            if pools is None or pools.address != address:
                if pools is not None:
                    pools.close()
                pools = self._make_pools(entry, address)
                self.pools[entry.endpoint] = pools
            pools.listed_primary = entry.primary

    def send(self, endpoint: int, payload: object, on_end: AttemptCallback, send_by: float) -> AttemptHandle:
        """Send a command; if it cannot be sent by the clock time `send_by`, it ends as not sent."""
        return self.pools[endpoint].pool.send(payload, on_end, send_by)

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint."""
        self.pools[endpoint].pool.close_idle()

    def close(self) -> None:
        """Close all connections."""
        for pools in self.pools.values():
            pools.close()

    # Health checks

    def check_health(self, endpoint: int, on_end: AttemptCallback) -> None:
        """Send hello to an endpoint, and to the primary if its latest known position is too old."""
        checked = self.pools[endpoint]
        positions = self.positions[checked.group]
        primary = self._primary_of(checked.group)
        check = HealthCheck(lambda outcome: on_end(self._with_position(checked, outcome)))
        now = self.clock.now()
        if (
            primary is not None
            and primary is not checked
            and positions.needs_observation(now, self.observation_age_max)
        ):
            check.awaits_primary = True
            self._observe_primary(primary, check.primary_observed)
        self._send_hello(checked, check.answered, self.health_check_timeout)

    def _primary_of(self, group: int) -> EndpointPools | None:
        primary = self.positions[group].primary
        if primary is not None:
            return self.pools.get(primary)
        return next((p for p in self.pools.values() if p.group == group and p.listed_primary), None)

    def _observe_primary(self, primary: EndpointPools, then: Callable[[], None]) -> None:
        """Send hello to the primary; concurrent callers share one hello."""
        primary.observation_waiters.append(then)
        if len(primary.observation_waiters) > 1:
            return

        def observed(_outcome: AttemptOutcome) -> None:
            waiters, primary.observation_waiters = primary.observation_waiters, []
            for waiter in waiters:
                waiter()

        self._send_hello(primary, observed, PRIMARY_OBSERVATION_TIMEOUT_S)

    def _send_hello(self, endpoint: EndpointPools, on_end: AttemptCallback, timeout: float) -> None:
        endpoint.health_checks.send_with_timeout(self.hello, on_end, timeout)

    def _with_position(self, checked: EndpointPools, outcome: AttemptOutcome) -> AttemptOutcome:
        """Update a replica's position in the outcome with the latest observation of the primary."""
        report = outcome.report
        if report is None or report.primary is True:
            return outcome
        position = self.positions[checked.group].position(checked.id)
        return AttemptOutcome(outcome.result, report=LoadReport(position, report.primary, report.load))

    # Connections

    def _make_pools(self, entry: EndpointEntry, address: tuple[str, int]) -> EndpointPools:
        endpoint = entry.endpoint
        group = entry.group

        def connect(
            ready: Callable[[Any], None], failed: Callable[[str], None], lost: Callable[[str], None]
        ) -> Callable[[], None]:
            connect_started_at = self.clock.now()

            def on_ready(connection: EndpointConnection, message: Message) -> None:
                self._observe_hello(endpoint, group, connect_started_at, read_hello(message))
                ready(connection)

            return self._open(address, ConnectionCallbacks(on_ready, failed, lost, self.on_bytes_arrived))

        def outcome(exchange: SentCommand, message: Message) -> AttemptOutcome:
            result = self._outcome(endpoint, group, exchange, message)
            result.received_at = message.arrived
            return result

        def hello_outcome(exchange: SentCommand, message: Message) -> AttemptOutcome:
            return self._hello_outcome(endpoint, group, exchange, message)

        hello_limits = PoolLimits(
            HEALTH_CHECK_CONNECTIONS_MAX, self.health_check_timeout, self.limits.max_idle_time
        )
        return EndpointPools(
            endpoint,
            group,
            address,
            pool=ConnectionPool(self.clock, connect, outcome, self.limits),
            health_checks=ConnectionPool(self.clock, connect, hello_outcome, hello_limits),
        )

    def _open(self, address: tuple[str, int], callbacks: ConnectionCallbacks) -> Callable[[], None]:
        """Start to connect; returns a function that cancels the attempt."""
        timeout = self.limits.connect_timeout
        opening = OutgoingConnection(
            lambda: EndpointConnection(self.hello, callbacks), callbacks.failed, timeout
        )
        opening.open(self.reactor, address, max(CONNECT_TIMEOUT_MIN_S, timeout))
        return opening.cancel

    # Replies

    def _observe_hello(
        self, endpoint: int, group: int, sent_at: float, hello: EndpointHello | None
    ) -> EndpointEvidence:
        if hello is None:
            return UNPROVEN
        return self.positions[group].observe_hello(endpoint, sent_at, hello.primary, hello.term, hello.optime)

    def _hello_outcome(
        self, endpoint: int, group: int, exchange: SentCommand, message: Message
    ) -> AttemptOutcome:
        hello = read_hello(message)
        if hello is None:
            return AttemptOutcome(AttemptResult.ERROR, why="hello answered with an error")
        evidence = self._observe_hello(endpoint, group, exchange.sent_at, hello)
        report = LoadReport(evidence.position, evidence.primary, hello.load)
        return AttemptOutcome(AttemptResult.OK, report=report)

    def _outcome(self, endpoint: int, group: int, exchange: SentCommand, message: Message) -> AttemptOutcome:
        positions = self.positions[group]
        try:
            summary = summarize(message)
        except MalformedDocument as error:
            return malformed_outcome(error)
        if not summary.ok:
            meaning = error_meaning(summary)
            if meaning is not None:
                if meaning.rejects_writes:
                    positions.observe_write_rejected(endpoint)
                return error_outcome(meaning, summary, message)
        reply = EndpointReply(message.body, summary.cursor)
        if exchange.payload.writes and summary.ok:
            return self._write_outcome(endpoint, positions, exchange.sent_at, summary, reply)
        evidence = positions.observe_read(endpoint, exchange.sent_at, summary.optime)
        return AttemptOutcome(AttemptResult.OK, reply, report=LoadReport(evidence.position, None))

    def _write_outcome(
        self,
        endpoint: int,
        positions: GroupPositions,
        sent_at: float,
        summary: ReplySummary,
        reply: EndpointReply,
    ) -> AttemptOutcome:
        evidence = positions.observe_write(endpoint, sent_at, summary.optime)
        report = LoadReport(evidence.position, None)
        return AttemptOutcome(AttemptResult.OK, reply, evidence.primary, self.clock.now(), report)
