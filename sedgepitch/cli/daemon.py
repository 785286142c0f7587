"""One driver, put together from settings: front, engine, module, members, list, log and metrics."""

from __future__ import annotations

import json
import os
import random
import socket
from collections.abc import Callable
from fnmatch import fnmatchcase
from typing import TYPE_CHECKING, Any

import structlog
from twisted.web.resource import Resource

from sedgepitch.config.models import Settings
from sedgepitch.core.clock import ReactorClock
from sedgepitch.core.connection_pool import PoolLimits
from sedgepitch.core.engine import Engine
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.core.types import Response, ResponseStatus
from sedgepitch.decisions.admission.controller import AdmissionController
from sedgepitch.decisions.cursors import CursorTable
from sedgepitch.discovery.control_socket import Addresses, ControlSocketClient
from sedgepitch.net import listener
from sedgepitch.observe import log
from sedgepitch.observe.metrics import Metrics
from sedgepitch.protocols.mongodb.client import ClientFactory
from sedgepitch.protocols.mongodb.client_context import ClientContext
from sedgepitch.protocols.mongodb.commands import Command
from sedgepitch.protocols.mongodb.upstream import MongoUpstream
from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router

if TYPE_CHECKING:
    from sedgepitch.peers.service import PeerService
    from sedgepitch.peers.zones import ZoneService

METRICS_BACKLOG = 50  # connections that may wait to be accepted
MOST_ORDER = 4096  # bytes of an operator's order
SWEEP = 5.0  # s between looks at idle cursors


def group_finder(settings: Settings) -> Callable[[Command], int | None]:
    """Return a function from a request to its group: by shard value first, then by name space."""
    shards = {str(value): group.id for group in settings.groups for value in group.shards}
    patterns = [(g.id, g.database, g.collection) for g in settings.groups if not g.shards]

    def find(request: Command) -> int | None:
        if request.shard is not None and str(request.shard) in shards:
            return shards[str(request.shard)]
        for number, database, collection in patterns:
            if fnmatchcase(request.database, database) and fnmatchcase(request.collection, collection):
                return number
        return None

    return find


class _Shown(Resource):
    """A part of the driver's state as JSON, for `sedgepitch door`, `peers status` and `zone`."""

    isLeaf = True  # noqa: N815

    def __init__(self, name: str, state: Callable[[], dict[str, Any]]) -> None:
        super().__init__()
        self.name, self.state = name, state

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Answer."""
        return json.dumps({"driver": self.name, **self.state()}).encode()


class _Zones(_Shown):
    """The same for zones; an order comes sealed by the peers' key, so who reaches the port may only look."""

    def __init__(self, name: str, zones: ZoneService) -> None:
        super().__init__(name, zones.status)
        self.zones = zones

    def render_POST(self, request: Any) -> bytes:  # noqa: N802
        """Carry out an operator command."""
        from sedgepitch.decisions.zones.operator_commands import InvalidCommandError

        try:
            answer = self.zones.take_command(request.content.read(MOST_ORDER))
        except InvalidCommandError as error:
            request.setResponseCode(400)
            answer = {"error": str(error)}
        return json.dumps(answer).encode()


class Driver:
    """One driver on a reactor. `start` opens the listener, `stop` ends in order and calls back when done."""

    def __init__(self, reactor: Any, settings: Settings, share_port: bool = False) -> None:
        self.reactor, self.settings, self.share_port = reactor, settings, share_port
        self.clock = ReactorClock(reactor)
        self.log = structlog.get_logger().bind(driver=settings.driver.name)
        self.metrics = Metrics()
        limits, driver = settings.limits, settings.driver
        seed = driver.seed if driver.seed is not None else random.SystemRandom().getrandbits(32)
        self.endpoints = MongoUpstream(
            reactor,
            self.clock,
            {m.id: m.address for m in settings.members if m.address[1]},
            driver.name,
            PoolLimits(limits.member_connections, limits.connect_within, limits.member_idle),
            limits.probe_within,
            observation_age_max=self._observation_age_max(),
        )
        self.list: ControlSocketClient | None = None
        if settings.follow is not None:
            self.list = ControlSocketClient(
                reactor,
                self.clock,
                settings.follow.control,
                driver.name,
                self._listed,
                self._list_lost,
                self._note,
            )
        self.engine = Engine(
            Router(settings.module_settings(), seed),
            self.endpoints,
            self.clock,
            max_in_flight=limits.in_flight,
            admission=AdmissionController(settings.door.build(), seed, self.clock.now())
            if settings.door
            else None,
            watch=self.list.watch if self.list else None,
            log=lambda text: self.log.info("module", text=text),
            on_response=self._answered,
            handover_limit=limits.handover_within,
            on_callback_error=self._fault,
        )
        self.metrics.watch(self.engine)
        self.context = ClientContext(
            engine=self.engine,
            upstream=self.endpoints,
            clock=self.clock,
            classifier=settings.classifier(),
            cursors=CursorTable(limits.cursors, limits.cursor_idle, seed),
            group_of=group_finder(settings),
            answer_margin=limits.answer_margin,
            drain_grace=settings.rules.drain_grace,
            shard_field=tuple(p.encode() for p in settings.shard_field.split(".") if p),
            frame_bytes_max=limits.frame,
            tenant_sources=tuple(settings.door.tenant) if settings.door else (),
            client_sources=tuple(settings.door.client) if settings.door else (),
            connections_max=limits.connections,
            log_event=self._note,
            count_input_error=lambda kind: self.metrics.input_errors.labels(kind).inc(),
        )
        self.peers = self._make_peers() if settings.peers is not None else None
        self.zones = self._make_zones(self.peers) if self.peers is not None and settings.zones else None
        self.ports: list[Any] = []
        self.ready: Callable[[], None] | None = None

    def _make_peers(self) -> PeerService:
        """Know the other instances; raises KeyFileError. Imported only where the settings ask for it."""
        from sedgepitch.decisions.gossip.settings import GossipSettings
        from sedgepitch.peers.keys import load_keys
        from sedgepitch.peers.service import PeerService, PeerSettings

        told = self.settings.peers
        assert told is not None
        settings = PeerSettings(
            self.settings.driver.name,
            told.listen,
            tuple(told.seeds),
            dict(told.routes),
            GossipSettings.for_probe_interval(told.period),
        )
        return PeerService(self.reactor, self.clock, settings, load_keys(told.key_file), log=self._note)

    def _make_zones(self, peers: PeerService) -> ZoneService:
        """Leave zones, and come back to them, together with the peers."""
        from sedgepitch.decisions.zones.settings import ZoneSettings
        from sedgepitch.peers.zones import ZoneService

        told, rules = self.settings.zones, self.settings.rules
        assert told is not None
        settings = ZoneSettings(
            initial_capacity=rules.start_capacity,
            slow_start_window=max(0.1, rules.warm_within),
            headroom=told.headroom,
            watch_share=told.watch,
            ramp_steps=told.steps,
            trial_delay=told.wait,
            trial_delay_max=told.wait_most,
            trial_instances=told.triers,
        )
        zone = self.settings.driver.zone
        service = ZoneService(self.engine, peers, self.clock, zone, settings, told.beat, self._note)
        peers.on_event = service.on_peer_event
        return service

    def _observation_age_max(self) -> float:
        """An observation of the primary serves until it is a quarter of the tightest bound old."""
        bounds = [c.max_age for c in self.settings.classes if c.freshness is api.Freshness.BOUNDED]
        return min(bounds, default=min(c.aim for c in self.settings.classes)) / 4.0

    def start(self, ready: Callable[[str, int], None]) -> None:
        """Open the listener; `ready` hears its address once members are known. Raises CannotListenError."""
        entries = tuple(x for x in self.settings.entries() if x.endpoint in self.endpoints.addresses)
        remembered = self.list is not None
        self.engine.list_changed(api.EndpointListUpdate(entries, complete=True, remembered=remembered))
        factory = ClientFactory(self.context)
        host, port = self.settings.listen
        if self.share_port:
            shared = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            shared.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            shared.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            shared.bind((host, port))
            shared.listen(1024)
            shared.setblocking(False)
            opened = listener.adopt(self.reactor, shared.fileno(), factory)
            shared.close()
        else:
            opened = listener.listen(self.reactor, port, factory, host, 1024)
        opened.may_accept = lambda: not self.engine.process_limit.overloaded
        opened.on_problem = self._accept_failed
        self.ports.append(opened)
        address = opened.getHost()
        if self.settings.metrics is not None:
            from prometheus_client.twisted import MetricsResource
            from twisted.web.server import Site

            root: Any = Resource()
            root.putChild(b"metrics", MetricsResource(self.metrics.registry))
            name = self.settings.driver.name
            root.putChild(b"door", _Shown(name, self._door_state))
            root.putChild(b"peers", _Shown(name, self.peers.status if self.peers is not None else dict))
            if self.zones is not None:
                root.putChild(b"zones", _Zones(name, self.zones))
            host, port = self.settings.metrics
            shown = listener.listen(self.reactor, port, Site(root), host, METRICS_BACKLOG)
            self.ports.append(shown)
            self.log.info("metrics.listening", address=f"{host}:{shown.getHost().port}")
        if self.peers is not None:
            host, port = self.peers.start()
            self.log.info("peers.listening", address=f"{host}:{port}")
        if self.zones is not None:
            self.zones.start()
        self.clock.call_later(SWEEP, self._sweep)
        self.log.info("listening", address=f"{address.host}:{address.port}", pid=os.getpid())
        self.ready = lambda: ready(address.host, address.port)
        if self.endpoints.pools:
            self._say_ready()

    def _accept_failed(self, problem: listener.AcceptProblem) -> None:
        self.log.warning(
            "accept.failed",
            call=problem.call,
            error=problem.name,
            text=problem.text,
            again_in_s=problem.pause,
        )

    def _door_state(self) -> dict[str, Any]:
        admission = self.engine.admission
        return {} if admission is None else admission.state(self.clock.now())

    def _say_ready(self) -> None:
        ready, self.ready = self.ready, None
        if ready is not None:
            ready()

    def stop(self, done: Callable[[], None]) -> None:
        """End in order: no new connections or requests, what is owed answered, then all closed."""
        self.engine.stopping = True
        if self.zones is not None:
            self.zones.stop()
        if self.peers is not None:
            self.peers.stop()
        for port in self.ports:
            port.stopListening()
        self.ports = []
        end = self.clock.now() + self.settings.limits.stop_within

        def look() -> None:
            if self.engine.request_table.pending and self.clock.now() < end:
                self.clock.call_later(0.02, look)
                return
            if self.list is not None:
                self.list.stop()
            for connection in list(self.context.connections):
                connection.transport.loseConnection()
            self.endpoints.close()
            self.log.info("stopped", pending=self.engine.request_table.pending, **self._delays())
            self.clock.call_later(0.05, done)

        look()

    def reload(self, settings: Settings) -> None:
        """Take what may change while running: the door's settings. What waits there is not lost."""
        if self.engine.admission is not None and settings.door is not None:
            self.engine.admission.reload(settings.door.build())
            self.log.info("reloaded", weights=settings.door.weights)

    def _listed(self, entries: tuple[api.EndpointEntry, ...], complete: bool, addresses: Addresses) -> None:
        self.endpoints.addresses.update(addresses)
        known = tuple(x for x in entries if x.endpoint in self.endpoints.addresses)
        self.engine.list_changed(api.EndpointListUpdate(known, complete=complete))
        if self.endpoints.pools:
            self._say_ready()
        gone = {m for m, link in self.endpoints.pools.items() if m in self.engine.draining_since}
        if gone:
            self.log.info("list.drained", endpoints=sorted(gone))

    def _list_lost(self) -> None:
        self.log.warning("list.lost")
        self.engine.feed(api.EndpointListFailed())

    def _delays(self) -> dict[str, float]:
        """How late this driver has been, for the log."""
        engine, event_loop_lag = self.engine, self.engine.event_loop_lag
        return {
            "latest_ms": round(event_loop_lag.longest * 1000.0, 1),
            "mean_wait_ms": round(event_loop_lag.total / max(1, event_loop_lag.samples) * 1000.0, 3),
            "reserve_ms": round(event_loop_lag.deadline_margin(self.clock.now()) * 1000.0, 1),
            "too_slow": engine.rejected_for_lag,
            "too_many": engine.rejected_for_load,
            "hurried": engine.answered_early,
            "overdue": engine.answered_by_last_guard,
            "faults": engine.callbacks.errors,
        }

    def _fault(self, where: str, error: BaseException) -> None:
        """One line for what a front, a log or an observer raised inside the engine's turn."""
        trace = error.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        place = f"{os.path.basename(trace.tb_frame.f_code.co_filename)}:{trace.tb_lineno}" if trace else "?"
        self.metrics.faults.labels(where).inc()
        self.log.error("engine.fault", at=where, place=place, error=f"{type(error).__name__}: {error}"[:300])

    def _note(self, event: str, **fields: Any) -> None:
        self.log.info(event, **fields)

    def _answered(self, account: PendingRequest, answer: Response, elapsed: float) -> None:
        self.metrics.answered(account, answer, elapsed)
        if (
            answer.status is not ResponseStatus.SERVED and not log.full()
        ):  # under a flood, lines cost more than answers
            self.log.info(
                answer.status.value,
                request=account.id,
                connection=account.request.connection,
                class_name=account.request.class_name,
                group=account.request.group,
                attempts=account.attempted_endpoints,
                after_ms=round(elapsed * 1000.0, 1),
                come_back_ms=round(answer.retry_after * 1000.0),
                why=answer.why,
            )

    def _sweep(self) -> None:
        now = self.clock.now()
        self.context.cursor_handler.close_on_endpoints(self.context.cursors.expire(now))
        self.clock.call_later(SWEEP, self._sweep)
