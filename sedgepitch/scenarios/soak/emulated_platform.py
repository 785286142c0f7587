"""The emulated platform of a soak: servers, two discovery agents with the same list, and their faults."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

from sedgepitch.emulator.discovery_agent import AgentMode, DiscoveryAgent, ListVersion
from sedgepitch.emulator.postgresql_server import GROUP, PROXY, PostgresServer, ReplicatedLog
from sedgepitch.scenarios.port_reservations import PortReservations
from sedgepitch.scenarios.soak.script import SERVERS, Action, Step

LIST_BURST_VERSIONS = 20
NOTIFIED_WITHIN_S = 6.0  # a proxy counts as notified this long after a delay has ended
IMMEDIATE_AFTER_S = 6.0  # this long after an outage or a reload, a change counts as notified at once
AGENT_MODES = {
    Action.DISCOVERY_SILENT: AgentMode.SILENT,
    Action.DISCOVERY_REFUSED: AgentMode.REFUSED,
    Action.DISCOVERY_SLOW: AgentMode.SLOW,
}

Record = Callable[..., None]


class EmulatedPlatform:
    """The servers and discovery agents of one run."""

    def __init__(self, record: Record, rng: random.Random, ports: PortReservations) -> None:
        """Create servers and agents; `start` makes them listen."""
        log = ReplicatedLog()
        self.servers = [PostgresServer(n, log, record, rng) for n in range(1, SERVERS + 1)]
        self.agents = [DiscoveryAgent(self.complete_list) for _ in range(2)]
        self.agent_index = 0  # the agent that the proxy's configuration names
        self.revision = 1
        self._phases = {server.name: "up" for server in self.servers}
        # Audit records: the state of an endpoint, and when the proxy counts as notified of it.
        self.notified: list[dict[str, Any]] = []
        self._record = record
        self._ports = ports
        self._delayed_until = 0.0

    async def start(self) -> None:
        """Start servers and agents, and record the first primary."""
        for server in self.servers:
            server.port = self._ports.reserve()  # it keeps its port over a crash
            await server.start()
        for agent in self.agents:
            await agent.start()
        self._record("role", g=GROUP, m=1)

    def stop(self) -> None:
        """Stop agents and servers."""
        for agent in self.agents:
            agent.stop()
        for server in self.servers:
            server.crash()

    # The endpoint list

    def _entry(self, server: PostgresServer) -> dict[str, Any]:
        return {
            "id": server.name,
            "host_port": f"127.0.0.1:{server.port}",
            "locality": "a",
            "cell": GROUP,
            "phase": self._phases[server.name],
            "size": 1.0,
            "up_since_ms": server.started_at_ms,
            "access": "writer" if server.is_primary else "reader",
        }

    def complete_list(self) -> ListVersion:
        """Return the current endpoint list."""
        members = [self._entry(s) for s in self.servers if self._phases[s.name] != "removed"]
        return {"revision": self.revision, "complete": True, "members": members}

    def _publish(self, server: PostgresServer) -> None:
        """Publish one server's entry, and record when the proxy counts as notified of it."""
        self.revision += 1
        change = {"revision": self.revision, "complete": False, "members": [self._entry(server)]}
        for agent in self.agents:
            agent.send(change)
        now = time.monotonic()
        immediate = now >= self._delayed_until
        notified_at = now if immediate else self._delayed_until + NOTIFIED_WITHIN_S
        phase = self._phases[server.name]
        if phase == "up":  # drop drains that end before the proxy counts as notified of them
            self.notified = [n for n in self.notified if n["m"] != server.number or n["t"] <= now]
            notified_at = now
        self.notified.append({"e": "told", "t": notified_at, "d": PROXY, "m": server.number, "state": phase})

    def delay_notifications(self, duration: float = 0.0) -> None:
        """Count changes as notified later for a while, after an outage, a restart or a reload."""
        until = time.monotonic() + duration + IMMEDIATE_AFTER_S
        self._delayed_until = max(self._delayed_until, until)

    def move_discovery(self) -> None:
        """Switch the configuration to the other agent."""
        self.agent_index = 1 - self.agent_index
        self.delay_notifications()

    # Faults

    async def inject(self, step: Step) -> None:
        """Inject one fault of a server or of discovery, and return when it has ended."""
        server = self.servers[step.server - 1]
        handlers: dict[Action, Callable[[], Coroutine[Any, Any, None]]] = {
            Action.DRAIN: lambda: self._drain(server, "draining", step.duration),
            Action.REMOVE: lambda: self._drain(server, "removed", step.duration),
            Action.HANG: lambda: self._hang(server, step.duration),
            Action.RESET: lambda: self._reset(server),
            Action.CRASH: lambda: self._crash(server, step.duration),
            Action.PRIMARY_CHANGE: lambda: self._change_primary(server),
            Action.LIST_BURST: self._burst,
        }
        if step.action in AGENT_MODES:
            self.delay_notifications(step.duration)
            await self._set_agent_mode(AGENT_MODES[step.action], step.duration)
        elif step.action is Action.DISCOVERY_LATE:
            await self._set_agent_mode(AgentMode.LATE, step.duration)
        else:
            await handlers[step.action]()

    async def _drain(self, server: PostgresServer, phase: str, duration: float) -> None:
        if server.is_primary or self._phases[server.name] != "up":
            return
        self._phases[server.name] = phase
        self._publish(server)
        await asyncio.sleep(duration)
        self._phases[server.name] = "up"
        self._publish(server)

    async def _hang(self, server: PostgresServer, duration: float) -> None:
        server.hang(duration)

    async def _reset(self, server: PostgresServer) -> None:
        server.reset_connections()

    async def _crash(self, server: PostgresServer, duration: float) -> None:
        if server.is_primary:
            return
        server.crash()
        await asyncio.sleep(duration)
        await server.restart()
        self._publish(server)

    async def _change_primary(self, server: PostgresServer) -> None:
        if self._phases[server.name] != "up":
            return
        old = next(s for s in self.servers if s.is_primary)
        old.is_primary = False
        server.is_primary = True
        self._record("role", g=GROUP, m=server.number)
        self._publish(old)
        self._publish(server)

    async def _burst(self) -> None:
        for _ in range(LIST_BURST_VERSIONS):
            for server in self.servers:
                self._publish(server)

    async def _set_agent_mode(self, mode: AgentMode, duration: float) -> None:
        for agent in self.agents:
            await agent.set_mode(mode)
        await asyncio.sleep(duration)
        for agent in self.agents:
            await agent.set_mode(AgentMode.NORMAL)
