"""Executes a graceful shutdown according to decisions/connections/shutdown_schedule.py."""

from __future__ import annotations

from collections.abc import Callable

from sedgepitch.core.engine import Engine
from sedgepitch.core.types import Clock
from sedgepitch.decisions.connections.shutdown_schedule import ShutdownSchedule
from sedgepitch.net.listener import Listener
from sedgepitch.protocols.postgresql.client_listener import ClientListener

CHECK_INTERVAL_S = 0.02


class GracefulShutdown:
    """One shutdown. `port` is the open listener, if any; `on_drained` is called once, at the end."""

    def __init__(
        self,
        clock: Clock,
        schedule: ShutdownSchedule,
        clients: ClientListener,
        engine: Engine,
        port: Listener | None,
        on_drained: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._schedule = schedule
        self._clients = clients
        self._engine = engine
        self._port = port
        self._on_drained = on_drained

    def begin(self) -> None:
        """Limit all deadlines to the schedule and start the periodic check."""
        self._clients.begin_shutdown(self._schedule)
        self._engine.answer_all_by(self._schedule.drain_deadline)
        self._check()

    def _check(self) -> None:
        now = self._clock.now()
        if now >= self._schedule.accept_until:
            self._close_port(now)
        self._clients.close_idle_connections()
        may_exit = self._schedule.may_exit(
            now,
            listening=self._port is not None,
            connections=len(self._clients.connections),
            pending=self._engine.request_table.pending,
            waiting=now >= self._schedule.exit_deadline and self._clients.has_waiting_statements(),
        )
        if may_exit:
            self._on_drained()
        else:
            self._clock.call_later(self._until_next_check(now), self._check)

    def _until_next_check(self, now: float) -> float:
        """Return the check interval in seconds, cut short at a time from which the process may exit."""
        exits = (self._schedule.exit_deadline, self._schedule.last_exit)
        return min([CHECK_INTERVAL_S, *(exit_at - now for exit_at in exits if exit_at > now)])

    def _close_port(self, now: float) -> None:
        """Accept the backlog and close the port.

        During a shortage, which ends as other connections close, each check retries until `close_idle_from`;
        the port is then closed with the connections that are left in the backlog.
        """
        if self._port is None:
            return
        if self._port.accept_all() or now >= self._schedule.close_idle_from:
            port, self._port = self._port, None
            port.stopListening()
