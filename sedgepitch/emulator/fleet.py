"""A fleet of emulated servers in one process, and its control socket.

The control socket takes one JSON object per line: {"op": "watch", "driver": name} subscribes to the endpoint
list, whose changes arrive with the delay of a real list service; {"op": "status"};
{"op": "fault", "do": name, ...} (see `FaultControl`); {"op": "quit"}. Each op except watch is answered by one
line with "ok".
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from sedgepitch.emulator.fault_control import ControlError, FaultControl
from sedgepitch.emulator.recorder import Recorder
from sedgepitch.emulator.replica_group import EmulatedGroup
from sedgepitch.emulator.server import EmulatedServer
from sedgepitch.net.listener import listen
from sedgepitch.net.twisted_types import Reactor
from sedgepitch.protocols.common.callbacks import ignore

LINE_BYTES_MAX = 1 << 20
QUIT_DELAY_S = 0.05  # so that the answer is sent before the fleet stops
CONTROL_BACKLOG = 50
ERROR_CHARACTERS_MAX = 200


class ControlConnection(LineReceiver):
    """One connection to the control socket."""

    delimiter = b"\n"
    MAX_LENGTH = LINE_BYTES_MAX

    def __init__(self, fleet: EmulatedFleet) -> None:
        """Serve one connection to this fleet's control socket."""
        self.fleet = fleet
        self.proxy = ""  # name of the proxy that watches the endpoint list

    def lineReceived(self, line: bytes) -> None:
        """Serve one request."""
        try:
            request = json.loads(line)
            answer = self._serve(request)
        except ControlError as error:
            answer = {"ok": False, "error": str(error)}
        except (ValueError, TypeError, AttributeError, KeyError) as error:
            answer = {"ok": False, "error": f"bad request: {error!r}"[:ERROR_CHARACTERS_MAX]}
        if answer is not None:
            self.sendLine(json.dumps(answer).encode())

    def _serve(self, request: dict[str, Any]) -> dict[str, Any] | None:
        op = request["op"]
        if op == "watch":
            self.proxy = str(request.get("driver", ""))
            self.fleet.watchers.add(self)
            self.send_list(self.fleet.servers.values(), complete=True)
            return None
        if op == "fault":
            self.fleet.faults.apply(request)
            return {"ok": True}
        if op == "status":
            return {"ok": True, **self.fleet.status()}
        if op == "quit":
            self.fleet.call_later(QUIT_DELAY_S, self.fleet.stop)
            return {"ok": True}
        raise ControlError(f"op '{op}' is not known")

    def send_list(self, servers: Iterable[EmulatedServer], complete: bool) -> None:
        """Send the endpoint list or a part of it, as the list service currently shows it."""
        entries = [self.fleet.entry(server) for server in servers]
        for entry in entries:
            self.fleet.record("told", d=self.proxy, m=entry["id"], state=entry["state"])
        message = {"event": "list", "complete": complete, "members": entries}
        self.sendLine(json.dumps(message).encode())

    def connectionLost(self, _reason: Failure = connectionDone) -> None:
        """End the watch of a proxy whose connection has closed."""
        self.fleet.watchers.discard(self)


class EmulatedFleet:
    """The servers of all groups. `timing` is the `standins` section of the settings, `specs` its members."""

    def __init__(self, reactor: Reactor, now: Callable[[], float], timing: Any, specs: list[Any]) -> None:
        """Create the servers; `start` opens their ports."""
        self.reactor = reactor
        self.now = now
        self.timing = timing
        self.record = Recorder(timing.record)
        self.groups: dict[int, EmulatedGroup[EmulatedServer]] = {}
        self.servers: dict[int, EmulatedServer] = {}
        self.gone: set[int] = set()
        self.listed_primary: dict[int, int | None] = {}
        self.watchers: set[ControlConnection] = set()
        self.faults = FaultControl(self)
        self.port: Any = None
        self.stopped: Callable[[], None] = ignore
        for spec in specs:
            self._add(spec)

    def _add(self, spec: Any) -> None:
        group = self.groups.get(spec.group)
        if group is None:
            group = EmulatedGroup(spec.group, self.now, self.call_later, self.timing)
            group.role_changed = partial(self._role_changed, group)
            self.groups[spec.group] = group
        server = EmulatedServer(
            self.reactor, spec.id, spec.zone, spec.address, group, self.timing, self.record, self.timing.seed
        )
        self.servers[spec.id] = server
        if spec.primary or group.primary is None:
            group.primary = server

    def call_later(self, delay: float, call: Callable[..., Any], *arguments: Any) -> Any:
        """Schedule a call after `delay` seconds."""
        return self.reactor.callLater(max(0.0, delay), call, *arguments)

    # Life cycle

    def start(self) -> None:
        """Open all ports and begin the first term of each group."""
        for server in self.servers.values():
            server.listen()
        for group in self.groups.values():
            if group.primary is not None:
                group.promote(group.primary)
        factory = Factory.forProtocol(lambda: ControlConnection(self))
        factory.noisy = False
        host, port = self.timing.control
        self.port = listen(self.reactor, port, factory, host, CONTROL_BACKLOG)
        for server in self.servers.values():
            self.record("member", m=server.id, g=server.group.number, cores=self.timing.cores)

    def stop(self) -> None:
        """Close everything, then call `stopped`."""
        self.close()
        self.stopped()

    def close(self) -> None:
        """Close all ports and the record."""
        for server in self.servers.values():
            if server.port is not None:
                server.port.stopListening()
                server.port = None
        if self.port is not None:
            self.port.stopListening()
        self.record.close()

    # The endpoint list

    def entry(self, server: EmulatedServer) -> dict[str, Any]:
        """Return the list entry of one server."""
        entry = {
            "id": server.id,
            "group": server.group.number,
            "state": self._state(server),
            "zone": server.zone,
            "primary": self.listed_primary.get(server.group.number) == server.id,
            "address": f"{server.address[0]}:{server.address[1]}",
        }
        if server.started > 0:
            entry["age"] = self.now() - server.started
        return entry

    def _state(self, server: EmulatedServer) -> str:
        if server.id in self.gone:
            return "gone"
        return "draining" if server.draining else "up"

    def announce(self, *servers: EmulatedServer) -> None:
        """Send changes of these servers, after the delay of the list service."""
        self.call_later(self.timing.list_delay, self._send_changes, servers)

    def _send_changes(self, servers: tuple[EmulatedServer, ...]) -> None:
        for watcher in list(self.watchers):
            watcher.send_list(servers, complete=False)

    def _role_changed(
        self, group: EmulatedGroup[EmulatedServer], primary: EmulatedServer | None, term: int
    ) -> None:
        self.record("role", g=group.number, m=None if primary is None else primary.id, term=term)
        if primary is None:
            return
        if group.number in self.listed_primary:
            self.call_later(self.timing.list_delay, self._list_primary, group, primary)
        else:
            self.listed_primary[group.number] = primary.id

    def _list_primary(self, group: EmulatedGroup[EmulatedServer], primary: EmulatedServer) -> None:
        changed = (self.listed_primary.get(group.number), primary.id)
        self.listed_primary[group.number] = primary.id
        self._send_changes(tuple(server for server in group.servers if server.id in changed))

    def status(self) -> dict[str, Any]:
        """Return the state of all servers."""
        return {"members": [_status(server) for server in self.servers.values()]}


def _status(server: EmulatedServer) -> dict[str, Any]:
    server.advance()
    return {
        "id": server.id,
        "group": server.group.number,
        "alive": server.alive(),
        "fallen": server.permanently_down,
        "primary": server.is_primary(),
        "applied": server.applied,
        "behind": len(server.group.log) - server.applied,
        "connections": len(server.connections),
        "served": server.execution.served,
    }
