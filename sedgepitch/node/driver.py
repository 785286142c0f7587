"""One driver on the platform, put together: front, engine, module, members, discovery, signals' meaning."""

from __future__ import annotations

import dataclasses
import math
import time
from collections.abc import Callable
from typing import Any

from sedgepitch.core.clock import ReactorClock
from sedgepitch.core.connection_pool import PoolLimits
from sedgepitch.core.engine import Engine
from sedgepitch.decisions.connections.descriptor_budget import DescriptorBudget
from sedgepitch.decisions.connections.shutdown_schedule import ShutdownSchedule
from sedgepitch.decisions.discovery.list_versions import EndpointListVersions, Version
from sedgepitch.discovery.client import DiscoveryClient
from sedgepitch.net.listener import AcceptProblem, Listener, listen
from sedgepitch.node.config import Config
from sedgepitch.node.lines import Lines
from sedgepitch.node.opening import PortOpening
from sedgepitch.protocols.postgresql.client import ClientFactory
from sedgepitch.protocols.postgresql.client_listener import ClientListener
from sedgepitch.protocols.postgresql.close_reasons import CloseReport
from sedgepitch.protocols.postgresql.upstream import PostgresUpstream
from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router

HANDOVER = 0.04  # s that a decision which ages may take to leave; the rules on sockets leave 50 ms
IDLE_SHARE = 0.8  # of the time after which members close idle connections
BACKLOG = 512
ACCEPTS = 16  # connections accepted in one turn
STOP_LOOK = 0.02  # s between looks while the driver ends
TRACE_EVERY = 0.5  # s between them where the trace is on
ACCEPT_LINE_EVERY = 0.2  # s between lines of failed accepts, which are counted in between
REPORT_EVERY = 5.0  # s between lines about the driver itself
# Of a configuration that is read again, what is taken up only by a new start.
NEEDS_RESTART = ("name", "listen", "cores", "memory", "sockets", "settings", "connect_within", "idle_for")


class Driver:
    """One driver on a reactor. `wall` is what Unix time is ahead of the monotonic clock, fixed once."""

    def __init__(self, reactor: Any, config: Config, lines: Lines, wall: float) -> None:
        self.reactor, self.config, self.lines, self.wall = reactor, config, lines, wall
        self.clock = ReactorClock(reactor)
        self.descriptors = DescriptorBudget(config.sockets)
        self.membership = EndpointListVersions()
        self.endpoints = PostgresUpstream(
            reactor,
            self.clock,
            PoolLimits(
                max_connections=self.descriptors.members_most,
                connect_timeout=config.connect_within,
                max_idle_time=IDLE_SHARE * config.idle_for,
                discard_timeout=0.0,
            ),
            self.descriptors,
            wall,
            health_check_timeout=config.connect_within,
        )
        if lines.tracing:
            from sedgepitch.node.trace import Trace, TracedRouter

            trace = Trace(config.name)
            router: Router = TracedRouter(config.settings, config.seed, trace)
            self.endpoints.trace = trace.connection
        else:
            router = Router(config.settings, config.seed)
        self.engine = Engine(
            router,
            self.endpoints,
            self.clock,
            watch=self._watch,
            log=lambda text: lines.say("module", text=text),
            handover_limit=HANDOVER,
            on_callback_error=self._fault,
        )
        self.front = ClientListener(self.engine, self.clock, self.engine.classes, wall, self.descriptors)
        self.front.closes.report = self._client_closed
        self.endpoints.on_bytes_arrived = self._heard
        self.endpoints.on_forgotten = self._forgotten
        self.endpoints.log_event = lines.say
        self.catalog = DiscoveryClient(
            reactor,
            self.clock,
            config.discovery,
            wall,
            lambda: self.membership.revision,
            self._take,
            self._troubled,
        )
        self.port: Listener | None = None
        self.opening: PortOpening | None = None
        self.cannot_listen: Callable[[], None] = lambda: None  # called where the port cannot be opened
        self.trouble = ""
        self.accept_failures = 0  # failed accepts and connections that could not be set up at once
        self.accept_failure_said = -math.inf

    def start(self) -> None:
        """Believe the remembered list, follow discovery, listen."""
        if self.config.known is not None:
            self._take(self.config.known, remembered=True)
        self.catalog.start()
        self.opening = PortOpening(
            self.clock, self._open_port, self._listening, self.cannot_listen, self.lines.say
        )
        self.opening.start()
        self.clock.call_later(TRACE_EVERY if self.lines.tracing else REPORT_EVERY, self._report)

    def _open_port(self) -> Listener:
        host, port = self.config.listen
        return listen(self.reactor, port, ClientFactory(self.front), host, BACKLOG)

    def _listening(self, port: Listener) -> None:
        self.port = port
        port.accepts_per_turn = ACCEPTS
        port.on_problem = self._accept_failed
        port.on_descriptors_out = self._free_descriptor
        config = self.config
        self.lines.say(
            "listening",
            address=f"{config.listen[0]}:{port.getHost().port}",
            cores=config.cores,
            memory_mb=config.memory,
            sockets=config.sockets,
            endpoints=len(self.membership.present),
        )

    # Discovery

    def _take(self, version: Version, remembered: bool = False) -> None:
        self.trouble = ""
        told = self.membership.take(version, remembered)
        if told is None:
            return
        self.endpoints.addresses = self.membership.addresses
        self.engine.list_changed(told)
        self.lines.say(
            "list",
            revision=version.revision,
            complete=version.complete,
            remembered=remembered,
            told=len(version.entries),
            present=len(self.membership.present),
        )

    def _troubled(self, why: str) -> None:
        if why != self.trouble:
            self.trouble = why
            self.lines.say("discovery.lost", why=why)
        if self.config.settings.subscription_required:
            self.engine.feed(api.EndpointListFailed())

    def _watch(self) -> None:
        """The module asks for changes: they are followed all the time here."""

    def _forgotten(self, endpoint: int) -> None:
        self.engine.draining_since.pop(endpoint, None)
        self.membership.forget(endpoint)

    # Signals

    def reload(self, config: Config) -> None:
        """Take a new configuration: discovery moves, from the version held. What else differs is said."""
        held = self.config
        kept = [name for name in NEEDS_RESTART if getattr(config, name) != getattr(held, name)]
        self.config = dataclasses.replace(held, discovery=config.discovery)
        self.catalog.move(config.discovery)
        self.lines.say("reloaded", discovery="{}:{}".format(*config.discovery))
        if kept:
            self.lines.say("reload.kept", fields=",".join(kept), why="they take a restart")

    def stop(self, done: Callable[[], None]) -> None:
        """End in order; calls back once nothing is owed. See `shutdown_schedule`."""
        now = self.clock.now()
        ending = ShutdownSchedule(now, max(c.deadline for c in self.config.settings.classes))
        self.front.begin_shutdown(ending)
        self.engine.answer_all_by(ending.answered_by)
        if self.opening is not None:
            self.opening.cancel()
        self.lines.say(
            "stopping", pending=self.engine.request_table.pending, clients=len(self.front.connections)
        )

        def look() -> None:
            now = self.clock.now()
            if now >= ending.accepting_until and self.port is not None:
                # Connections that a shortage keeps in the backlog are tried again until others are closed.
                if self.port.accept_all() or now >= ending.closing_from:
                    port, self.port = self.port, None
                    port.stopListening()
            self.front.close_idle_connections()
            if not ending.over(
                now, self.port is not None, len(self.front.connections), self.engine.request_table.pending
            ):
                self.clock.call_later(STOP_LOOK, look)
                return
            self.catalog.stop()
            self.endpoints.close()
            self._say_closes()
            self.lines.say("stopped", **self.figures())
            done()

        look()

    # What it says

    def _heard(self, arrived: float) -> None:
        if arrived:
            now = self.clock.now()
            self.engine.record_wait(now - arrived, now)

    def _fault(self, where: str, error: BaseException) -> None:
        trace = error.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        place = f"{trace.tb_frame.f_code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}" if trace else "?"
        self.lines.say("engine.fault", at=where, place=place, error=f"{type(error).__name__}: {error}"[:300])

    def _free_descriptor(self, lasting: bool) -> None:
        """The system has no descriptor for a client that waits: close what is idle, servers' side first.

        An idle client goes only where the shortage lasts: its next request may be on its way.
        """
        if not self.endpoints.close_longest_idle() and lasting:
            self.front.free_descriptor()

    def _accept_failed(self, problem: AcceptProblem) -> None:
        self.accept_failures += 1
        now = self.clock.now()
        if now - self.accept_failure_said < ACCEPT_LINE_EVERY:
            return
        self.accept_failure_said = now
        self.lines.say(
            "accept.failed",
            call=problem.call,
            error=problem.name,
            text=problem.text,
            again_in_s=problem.pause,
            failures=self.accept_failures,
        )

    def _client_closed(self, report: CloseReport) -> None:
        self.lines.say(
            "client.closed",
            connection=report.number,
            reason=report.reason.value,
            detail=report.detail,
            request=report.request or "none",
            attempts=report.attempts,
            read_bytes=report.read_bytes,
            lasted_s=round(report.lasted, 3),
        )

    def figures(self) -> dict[str, Any]:
        """How the driver itself does."""
        engine, front, now = self.engine, self.front, self.clock.now()
        return {
            "answered": engine.request_table.completed,
            "owed": engine.request_table.pending,
            "accounts": len(engine.request_table.requests),
            "clients": self.descriptors.clients,
            "accepted": front.accepted,
            "resting": len(front.activity.resting),
            "silent": len(front.activity.silent),
            "talking": len(front.activity.talking),
            "to_members": self.descriptors.endpoints,
            "no_descriptor": self.descriptors.refused,
            "bad": front.bad_messages + front.bad_statements,
            "timed_out": front.activity.overdue,
            "evicted": front.activity.evicted,
            "spoilt": self.endpoints.malformed_answers,
            "unread_reports": self.endpoints.unread_load_reports,
            "reserve_ms": round(engine.event_loop_lag.deadline_margin(now) * 1000.0, 1),
            "latest_ms": round(engine.event_loop_lag.longest * 1000.0, 1),
            "too_many": engine.rejected_for_load,
            "too_slow": engine.rejected_for_lag,
            "hurried": engine.answered_early,
            "overdue": engine.answered_by_last_guard,
            "faults": engine.callbacks.errors,
            "cpu_s": round(time.process_time(), 2),
        }

    def beliefs(self) -> str:
        """What the module believes of each member beside what its connections show, one word a member."""
        now, words = self.clock.now(), []
        for endpoint in self.engine.router.endpoints.values():
            if endpoint.id not in self.membership.present:
                continue
            link = self.endpoints.pools.get(endpoint.id)
            lanes = (len(link.pool.connections), len(link.pool.idle)) if link else (0, 0)
            health = endpoint.ejection_reason.value if endpoint.ejection_reason else "good"
            role = "P" if self.engine.router.groups[endpoint.group_id].primary is endpoint else "r"
            words.append(
                f"{self.membership.names.get(endpoint.id, endpoint.id)}:{endpoint.state.value}/{role}"
                f"/{health}/out{len(endpoint.in_flight)}/lanes{lanes[0]}-{lanes[1]}"
                f"/breaks{endpoint.connection_failures}/rest{max(0.0, endpoint.ejected_until - now):.1f}"
                f"/limit{endpoint.concurrency_limit:.1f}/strain{endpoint.latency_ratio:.2f}/load{endpoint.reported_load:.0f}"
                f"/lag{min(99.0, now - endpoint.position):.2f}"
            )
        return " ".join(words)

    def _say_closes(self) -> None:
        closes = self.front.closes
        self.lines.say(
            "closes",
            accept_failures=self.accept_failures,
            with_request=closes.with_request,
            reasons=closes.summary(),
        )

    def _report(self) -> None:
        self.lines.say("state", **self.figures())
        self._say_closes()
        self.lines.say("beliefs", endpoints=self.beliefs())
        self.clock.call_later(TRACE_EVERY if self.lines.tracing else REPORT_EVERY, self._report)
