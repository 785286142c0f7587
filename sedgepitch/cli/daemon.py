"""A proxy instance, assembled from settings: client side, engine, router, endpoints, log and metrics."""

from __future__ import annotations

import os
import random
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import structlog

from sedgepitch.cli.accept_pause import AcceptPause
from sedgepitch.cli.assembly import make_context, make_upstream
from sedgepitch.cli.status_pages import make_site
from sedgepitch.config.models import Settings
from sedgepitch.core.clock import ReactorClock
from sedgepitch.core.engine import Engine
from sedgepitch.core.request_table import PendingRequest
from sedgepitch.core.types import Response, ResponseStatus
from sedgepitch.decisions.admission.controller import AdmissionController
from sedgepitch.discovery.control_socket import ControlSocketClient, ControlSocketList
from sedgepitch.net import listener
from sedgepitch.net.twisted_types import Reactor
from sedgepitch.observe import log
from sedgepitch.observe.metrics import Metrics
from sedgepitch.protocols.mongodb.client import ClientFactory
from sedgepitch.routing import messages
from sedgepitch.routing.router import Router
from sedgepitch.tracebacks import describe, innermost_place

if TYPE_CHECKING:
    from sedgepitch.peers.service import PeerService
    from sedgepitch.peers.zones import ZoneService

CLIENT_BACKLOG = 1024
STATUS_BACKLOG = 50
CURSOR_CHECK_INTERVAL_S = 5.0
SHUTDOWN_CHECK_INTERVAL_S = 0.02
FLUSH_DELAY_S = 0.05  # from closing the connections to the end, so that buffered bytes are still sent
SEED_BITS = 32
MS_PER_S = 1000.0


class ProxyDaemon:
    """One proxy instance on a reactor.

    `start` opens the ports; `stop` shuts down gracefully and calls back when done. With `share_port`, several
    processes can listen on the same address (SO_REUSEPORT).
    """

    def __init__(self, reactor: Reactor, settings: Settings, share_port: bool = False) -> None:
        self.reactor = reactor
        self.settings = settings
        self.share_port = share_port
        self.clock = ReactorClock(reactor)
        self.log = structlog.get_logger().bind(driver=settings.driver.name)
        self.metrics = Metrics()
        configured_seed = settings.driver.seed
        seed = (
            configured_seed if configured_seed is not None else random.SystemRandom().getrandbits(SEED_BITS)
        )
        self.endpoints = make_upstream(settings, reactor, self.clock)
        self.endpoint_list = self._make_list_client()
        self.engine = self._make_engine(seed)
        self.metrics.watch(self.engine)
        self.context = make_context(
            settings,
            self.engine,
            self.endpoints,
            self.clock,
            seed,
            log_event=self._log_event,
            count_input_error=lambda kind: self.metrics.input_errors.labels(kind).inc(),
        )
        self.peers = self._make_peers()
        self.zones = self._make_zones()
        self.ports: list[listener.Listener] = []
        self.accept_pause = AcceptPause()
        self._on_ready: Callable[[], None] | None = None

    # Assembly

    def _make_list_client(self) -> ControlSocketClient | None:
        if self.settings.follow is None:
            return None
        return ControlSocketClient(
            self.reactor,
            self.clock,
            self.settings.follow.control,
            self.settings.driver.name,
            self._endpoint_list_received,
            self._endpoint_list_lost,
            self._log_event,
        )

    def _make_engine(self, seed: int) -> Engine:
        settings = self.settings
        admission = None
        if settings.door is not None:
            admission = AdmissionController(settings.door.build(), seed, self.clock.now())
        return Engine(
            Router(settings.module_settings(), seed),
            self.endpoints,
            self.clock,
            max_in_flight=settings.limits.in_flight,
            admission=admission,
            watch=self.endpoint_list.subscribe if self.endpoint_list else None,
            log=lambda text: self.log.info("router", text=text),
            on_response=self._answered,
            handover_limit=settings.limits.handover_within,
            on_callback_error=self._callback_failed,
        )

    def _make_peers(self) -> PeerService | None:
        if self.settings.peers is None:
            return None
        from sedgepitch.cli import peering

        return peering.make_peers(self.settings, self.reactor, self.clock, self._log_event)

    def _make_zones(self) -> ZoneService | None:
        if self.peers is None or not self.settings.zones:
            return None
        from sedgepitch.cli import peering

        return peering.make_zones(self.settings, self.engine, self.peers, self.clock, self._log_event)

    # Start

    def start(self, on_ready: Callable[[str, int], None]) -> None:
        """Open the ports; `on_ready` is called with the client address once endpoints are known.

        Raises CannotListenError, and OSError for a shared port.
        """
        self._use_configured_list()
        address = self._open_client_port().getHost()
        if self.settings.metrics is not None:
            self._open_status_port(self.settings.metrics)
        if self.peers is not None:
            host, port = self.peers.start()
            self.log.info("peers.listening", address=f"{host}:{port}")
        if self.zones is not None:
            self.zones.start()
        self.clock.call_later(CURSOR_CHECK_INTERVAL_S, self._close_expired_cursors)
        self.log.info("listening", address=f"{address.host}:{address.port}", pid=os.getpid())
        self._on_ready = lambda: on_ready(address.host, address.port)
        if self.endpoints.pools:
            self._report_ready()

    def _use_configured_list(self) -> None:
        entries = tuple(x for x in self.settings.entries() if x.endpoint in self.endpoints.addresses)
        cached = self.endpoint_list is not None
        self.engine.list_changed(messages.EndpointListUpdate(entries, complete=True, remembered=cached))

    def _open_client_port(self) -> listener.Listener:
        factory = ClientFactory(self.context)
        host, port = self.settings.listen
        if self.share_port:
            opened = self._open_shared_port(host, port, factory)
        else:
            opened = listener.listen(self.reactor, port, factory, host, CLIENT_BACKLOG)
        opened.may_accept = self._may_accept
        opened.on_problem = self._accept_failed
        self.ports.append(opened)
        return opened

    def _may_accept(self) -> bool:
        now = self.clock.now()
        return self.accept_pause.may_accept(self.engine.process_limit.overloaded_at(now), now)

    def _open_shared_port(self, host: str, port: int, factory: ClientFactory) -> listener.Listener:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as shared:
            shared.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            shared.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            shared.bind((host, port))
            shared.listen(CLIENT_BACKLOG)
            shared.setblocking(False)
            return listener.adopt(self.reactor, shared.fileno(), factory)

    def _open_status_port(self, address: tuple[str, int]) -> None:
        host, port = address
        site = make_site(
            self.settings.driver.name,
            self.metrics,
            admission=self._admission_state,
            peers=self.peers.status if self.peers is not None else dict,
            zones=self.zones,
        )
        opened = listener.listen(self.reactor, port, site, host, STATUS_BACKLOG)
        self.ports.append(opened)
        self.log.info("metrics.listening", address=f"{host}:{opened.getHost().port}")

    def _admission_state(self) -> dict[str, Any]:
        admission = self.engine.admission
        return {} if admission is None else admission.state(self.clock.now())

    def _report_ready(self) -> None:
        on_ready, self._on_ready = self._on_ready, None
        if on_ready is not None:
            on_ready()

    # Reload and shutdown

    def reload(self, settings: Settings) -> None:
        """Apply the settings that can change at run time: admission control. Queued requests stay queued."""
        if self.engine.admission is not None and settings.door is not None:
            self.engine.admission.reload(settings.door.build())
            self.log.info("reloaded", weights=settings.door.weights)

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Close the ports, answer pending requests, close all connections, and call back.

        Waits at most `limits.stop_within` for pending requests and for commands that wait behind them.
        """
        self.engine.stopping = True
        if self.zones is not None:
            self.zones.stop()
        if self.peers is not None:
            self.peers.stop()
        for port in self.ports:
            port.stopListening()
        self.ports = []
        self._stop_when_drained(self.clock.now() + self.settings.limits.stop_within, on_stopped)

    def _stop_when_drained(self, drain_deadline: float, on_stopped: Callable[[], None]) -> None:
        waiting = self.engine.request_table.pending or self.context.has_waiting_commands()
        if waiting and self.clock.now() < drain_deadline:
            self.clock.call_later(
                SHUTDOWN_CHECK_INTERVAL_S, self._stop_when_drained, drain_deadline, on_stopped
            )
            return
        if self.endpoint_list is not None:
            self.endpoint_list.stop()
        for connection in list(self.context.connections):
            connection.transport.loseConnection()
        self.endpoints.close()
        self.log.info("stopped", pending=self.engine.request_table.pending, **self._lag_statistics())
        self.clock.call_later(FLUSH_DELAY_S, on_stopped)

    # Endpoint list

    def _endpoint_list_received(self, update: ControlSocketList) -> None:
        self.endpoints.addresses.update(update.addresses)
        entries = tuple(x for x in update.entries if x.endpoint in self.endpoints.addresses)
        self.engine.list_changed(messages.EndpointListUpdate(entries, complete=update.complete))
        if self.endpoints.pools:
            self._report_ready()
        drained = self.endpoints.pools.keys() & self.engine.draining_since.keys()
        if drained:
            self.log.info("endpoint_list.drained", endpoints=sorted(drained))

    def _endpoint_list_lost(self) -> None:
        self.log.warning("endpoint_list.lost")
        self.engine.feed(messages.EndpointListFailed())

    # Log and metrics

    def _log_event(self, event: str, **fields: object) -> None:
        self.log.info(event, **fields)

    def _accept_failed(self, problem: listener.AcceptProblem) -> None:
        self.log.warning("accept.failed", **problem.log_fields())

    def _callback_failed(self, callback: str, error: BaseException) -> None:
        """Log and count an exception from a callback, caught by the engine."""
        place = innermost_place(error.__traceback__)
        self.metrics.faults.labels(callback).inc()
        self.log.error("engine.fault", callback=callback, place=place, error=describe(error))

    def _lag_statistics(self) -> dict[str, float]:
        """Return log fields: event loop lag and the counts of requests that lag or load affected."""
        engine = self.engine
        lag = engine.event_loop_lag
        return {
            "max_lag_ms": round(lag.longest * MS_PER_S, 1),
            "mean_lag_ms": round(lag.total / max(1, lag.samples) * MS_PER_S, 3),
            "deadline_margin_ms": round(lag.deadline_margin(self.clock.now()) * MS_PER_S, 1),
            "rejected_for_lag": engine.rejected_for_lag,
            "rejected_for_load": engine.rejected_for_load,
            "answered_early": engine.answered_early,
            "overdue": engine.answered_by_last_guard,
            "callback_errors": engine.callbacks.errors,
        }

    def _answered(self, pending: PendingRequest, response: Response, elapsed: float) -> None:
        """Count a final answer; log it unless it was served or the log's rate limit is reached."""
        self.metrics.answered(pending, response, elapsed)
        if response.status is ResponseStatus.SERVED or log.is_full():
            return
        self.log.info(
            f"request.{response.status.name.lower()}",
            request=pending.id,
            connection=pending.request.connection,
            class_name=pending.request.class_name,
            group=pending.request.group,
            attempts=pending.attempted_endpoints,
            elapsed_ms=round(elapsed * MS_PER_S, 1),
            retry_after_ms=round(response.retry_after * MS_PER_S),
            reason=response.why,
        )

    def _close_expired_cursors(self) -> None:
        expired = self.context.cursors.expire(self.clock.now())
        self.context.cursor_handler.close_on_endpoints(expired)
        self.clock.call_later(CURSOR_CHECK_INTERVAL_S, self._close_expired_cursors)
