"""Assembles one proxy instance: client side, engine, router, upstream and discovery."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from sedgepitch.core.clock import ReactorClock
from sedgepitch.core.connection_pool import PoolLimits
from sedgepitch.core.engine import Engine
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.decisions.connections.process_memory_shares import share_memory
from sedgepitch.decisions.connections.receive_budget import ReceiveBudget
from sedgepitch.decisions.connections.shutdown_schedule import ShutdownSchedule
from sedgepitch.decisions.discovery.list_versions import EndpointListVersions, ListVersion
from sedgepitch.discovery.client import DiscoveryClient
from sedgepitch.net.listener import Listener, listen
from sedgepitch.net.process_memory import private_bytes
from sedgepitch.net.twisted_types import Reactor
from sedgepitch.node.accept_failure_log import AcceptFailureLog
from sedgepitch.node.config import NodeConfig
from sedgepitch.node.endpoint_snapshot import snapshot_endpoints
from sedgepitch.node.graceful_shutdown import GracefulShutdown
from sedgepitch.node.port_binding import PortBinding
from sedgepitch.node.runtime_statistics import RuntimeStatistics, collect_statistics
from sedgepitch.node.structured_log import StructuredLog
from sedgepitch.protocols.postgresql.client import ClientFactory
from sedgepitch.protocols.postgresql.client_listener import ClientListener
from sedgepitch.protocols.postgresql.close_reasons import CloseReport
from sedgepitch.protocols.postgresql.upstream import PostgresUpstream
from sedgepitch.routing import messages
from sedgepitch.routing.router import Router
from sedgepitch.tracebacks import describe, innermost_place

HANDOVER_LIMIT_S = 0.04  # from a time-sensitive decision to its send; the platform's socket rules allow 50 ms
IDLE_CLOSE_SHARE = 0.8  # of the time after which endpoints close idle connections
LISTEN_BACKLOG = 512
ACCEPTS_PER_TURN = 16
STATISTICS_INTERVAL_S = 5.0
MS_PER_S = 1000.0
BYTES_PER_MB = 1_000_000
TRACE_STATISTICS_INTERVAL_S = 0.5  # while tracing is on
# Fields of NodeConfig that a reload ignores; changes to them are logged.
FIXED_FIELDS = ("name", "listen", "cores", "memory", "sockets", "settings", "connect_within", "idle_for")


class Proxy:
    """One proxy instance on a reactor.

    `unix_offset` is Unix time minus the monotonic clock, in seconds, measured once at start.
    """

    def __init__(self, reactor: Reactor, config: NodeConfig, log: StructuredLog, unix_offset: float) -> None:
        self.reactor = reactor
        self.config = config
        self.log = log
        self.clock = ReactorClock(reactor)
        self.descriptors = DescriptorBudget(config.sockets)
        self.memory = share_memory(config.memory * BYTES_PER_MB, private_bytes())
        self.list_versions = EndpointListVersions()
        self.upstream = self._make_upstream(unix_offset)
        self.engine = Engine(
            self._make_router(),
            self.upstream,
            self.clock,
            watch=self._watch_requested,
            log=lambda text: log.log_event("router", text=text),
            handover_limit=HANDOVER_LIMIT_S,
            on_callback_error=self._callback_failed,
        )
        self.clients = ClientListener(
            self.engine, self.clock, self.engine.classes, unix_offset, self.descriptors, self.memory
        )
        self.clients.closes.report = self._client_closed
        self.discovery = DiscoveryClient(
            reactor,
            self.clock,
            config.discovery,
            unix_offset,
            held_revision=lambda: self.list_versions.revision,
            on_version=self._apply_version,
            on_lost=self._discovery_lost,
        )
        self.accept_failures = AcceptFailureLog(self.clock, log.log_event)
        self.port: Listener | None = None
        self.port_binding: PortBinding | None = None
        self._discovery_problem = ""  # last reason logged; repetitions are not logged

    def _make_upstream(self, unix_offset: float) -> PostgresUpstream:
        limits = PoolLimits(
            max_connections=self.descriptors.max_endpoints,
            connect_timeout=self.config.connect_within,
            max_idle_time=IDLE_CLOSE_SHARE * self.config.idle_for,
            discard_timeout=0.0,
        )
        upstream = PostgresUpstream(
            self.reactor,
            self.clock,
            limits,
            self.descriptors,
            unix_offset,
            health_check_timeout=self.config.connect_within,
            receive_budget=ReceiveBudget(self.memory.endpoint_bytes),
        )
        upstream.on_bytes_arrived = self._bytes_arrived
        upstream.on_endpoint_removed = self._endpoint_removed
        upstream.log_event = self.log.log_event
        return upstream

    def _make_router(self) -> Router:
        if not self.log.tracing:
            return Router(self.config.settings, self.config.seed)
        from sedgepitch.node.trace import TracedRouter, TraceWriter

        trace = TraceWriter(self.config.name)
        self.upstream.trace = trace.connection
        return TracedRouter(self.config.settings, self.config.seed, trace)

    def start(self, on_bind_failed: Callable[[], None]) -> None:
        """Apply the cached endpoint list, start discovery and bind the port.

        `on_bind_failed` is called if the port cannot be bound.
        """
        if self.config.cached_list is not None:
            self._apply_version(self.config.cached_list, cached=True)
        self.discovery.start()
        self.port_binding = PortBinding(
            self.clock, self._open_port, self._port_bound, on_bind_failed, self.log.log_event
        )
        self.port_binding.attempt()
        self._schedule_statistics()

    def _open_port(self) -> Listener:
        host, port = self.config.listen
        return listen(self.reactor, port, ClientFactory(self.clients), host, LISTEN_BACKLOG)

    def _port_bound(self, port: Listener) -> None:
        self.port = port
        port.accepts_per_turn = ACCEPTS_PER_TURN
        port.on_problem = self.accept_failures.report
        port.on_descriptors_out = self._free_descriptor
        config = self.config
        self.log.log_event(
            "listening",
            address=f"{config.listen[0]}:{port.getHost().port}",
            cores=config.cores,
            memory_mb=config.memory,
            sockets=config.sockets,
            endpoints=len(self.list_versions.present),
        )

    # Discovery

    def _apply_version(self, version: ListVersion, cached: bool = False) -> None:
        self._discovery_problem = ""
        update = self.list_versions.apply(version, cached)
        if update is None:
            return
        self.upstream.addresses = self.list_versions.addresses
        self.engine.list_changed(update)
        self.log.log_event(
            "endpoint_list.updated",
            revision=version.revision,
            complete=version.complete,
            cached=cached,
            entries=len(version.entries),
            present=len(self.list_versions.present),
        )

    def _discovery_lost(self, reason: str) -> None:
        if reason != self._discovery_problem:
            self._discovery_problem = reason
            self.log.log_event("discovery.lost", reason=reason)
        if self.config.settings.subscription_required:
            self.engine.feed(messages.EndpointListFailed())

    def _watch_requested(self) -> None:
        """Ignore the router's request for a watch: `DiscoveryClient` keeps one open permanently."""

    def _endpoint_removed(self, endpoint: int) -> None:
        self.engine.draining_since.pop(endpoint, None)
        self.list_versions.forget(endpoint)

    # Reload and shutdown

    def reload(self, config: NodeConfig) -> None:
        """Switch discovery to its new address, from the current revision; log changes that need a restart."""
        current = self.config
        ignored = [name for name in FIXED_FIELDS if getattr(config, name) != getattr(current, name)]
        self.config = dataclasses.replace(current, discovery=config.discovery)
        self.discovery.set_address(config.discovery)
        host, port = config.discovery
        self.log.log_event("reloaded", discovery=f"{host}:{port}")
        if ignored:
            self.log.log_event("reload.ignored", fields=",".join(ignored), reason="they take a restart")

    def stop(self, on_stopped: Callable[[], None], requested_at: float) -> None:
        """Shut down gracefully; `on_stopped` is called once the schedule allows the process to exit.

        The platform's kill timeout starts when it sends the signal, possibly while the process is suspended.
        The schedule therefore counts from `requested_at`, the earliest time at which it can have been sent.
        """
        longest_deadline = max(c.deadline for c in self.config.settings.classes)
        now = self.clock.now()
        schedule = ShutdownSchedule(requested_at, longest_deadline, noticed_at=now)
        if self.port_binding is not None:
            self.port_binding.cancel()
        self.log.log_event(
            "stopping",
            pending=self.engine.request_table.pending,
            clients=len(self.clients.connections),
            requested_ago_ms=round((now - requested_at) * MS_PER_S),
        )

        def drained() -> None:
            self._stop_now()
            on_stopped()

        port, self.port = self.port, None
        GracefulShutdown(self.clock, schedule, self.clients, self.engine, port, drained).begin()

    def _stop_now(self) -> None:
        self.discovery.stop()
        self.upstream.close()
        self._log_closes()
        self.log.log_event("stopped", **self.statistics().log_fields())

    # Delays and descriptors

    def _bytes_arrived(self, arrived_at: float) -> None:
        if arrived_at:
            now = self.clock.now()
            self.engine.record_wait(now - arrived_at, now)

    def _free_descriptor(self, lasting: bool) -> None:
        """Free a descriptor for the backlog by closing an idle connection, preferably one to an endpoint.

        Client connections are closed only if the shortage is `lasting`: a request may be in transit.
        """
        if not self.upstream.close_longest_idle() and lasting:
            self.clients.free_descriptor()

    # Log

    def statistics(self) -> RuntimeStatistics:
        """Return the current runtime statistics."""
        return collect_statistics(
            self.engine, self.clients, self.upstream, self.descriptors, self.clock.now()
        )

    def _callback_failed(self, callback: str, error: BaseException) -> None:
        place = innermost_place(error.__traceback__)
        self.log.log_event("engine.fault", callback=callback, place=place, error=describe(error))

    def _client_closed(self, report: CloseReport) -> None:
        self.log.log_event(
            "client.closed",
            connection=report.number,
            reason=report.reason.value,
            detail=report.detail,
            request=report.request or "none",
            attempts=report.attempts,
            unread_bytes=report.unexecuted_bytes,
            duration_s=round(report.duration, 3),
            state=report.state,
            missing_bytes=report.missing_bytes,
            socket_bytes=report.socket_bytes,
        )

    def _log_closes(self) -> None:
        closes = self.clients.closes
        self.log.log_event(
            "client_closes",
            accept_failures=self.accept_failures.count,
            with_pending_request=closes.with_request,
            reasons=closes.summary(),
        )
        self.log.log_event("client_answers", reasons=self.clients.answers.summary())

    def _log_statistics(self) -> None:
        self.log.log_event("runtime_statistics", **self.statistics().log_fields())
        self._log_closes()
        endpoints = snapshot_endpoints(
            self.engine.router, self.list_versions, self.upstream, self.clock.now()
        )
        self.log.log_event("endpoint_states", endpoints=" ".join(map(str, endpoints)))
        self._schedule_statistics()

    def _schedule_statistics(self) -> None:
        interval_s = TRACE_STATISTICS_INTERVAL_S if self.log.tracing else STATISTICS_INTERVAL_S
        self.clock.call_later(interval_s, self._log_statistics)
