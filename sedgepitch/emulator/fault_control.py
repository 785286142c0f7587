"""Applies the fault requests of the control socket to single servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from sedgepitch.emulator.faults import EVERY_PROXY, ReplyFault, ReplyFaultKind
from sedgepitch.emulator.requests import CommandKind
from sedgepitch.emulator.server import EmulatedServer
from sedgepitch.errors import SedgepitchError
from sedgepitch.protocols.common.callbacks import ignore

if TYPE_CHECKING:
    from sedgepitch.emulator.fleet import EmulatedFleet

Request = dict[str, Any]

DEFAULT_SLOWDOWN = 5.0
DEFAULT_APPLY_SLOWDOWN = 50.0
DEFAULT_CONNECTIONS = 4
REPLY_FAULTS = frozenset(kind.value for kind in ReplyFaultKind)


class ControlError(SedgepitchError, ValueError):
    """A request to the control socket cannot be served; the text states the reason."""


class FaultControl:
    """Applies faults to the servers of a fleet.

    A request names the fault in `do`: hang (for), slow (factor, for), lag (factor, for), crash (for), drain
    (for), promote, cut (driver, for), claim (for), refuse (for), table (connections, for), and faults of the
    next replies to commands of kind `when` ("write" or "read"): lose_reply, cut_reply, reset, wrong_reply and
    twice, each with (count, then: {"do": ...}). `member` is an id, "primary" or "replica" (with `nth`). Times
    are in seconds.
    """

    def __init__(self, fleet: EmulatedFleet) -> None:
        """Apply faults to the servers of this fleet."""
        self._fleet = fleet
        self._faults: dict[str, Callable[[EmulatedServer, Request], None]] = {
            "hang": self._hang,
            "slow": self._slow_down,
            "lag": self._slow_replication,
            "crash": self._crash,
            "drain": self._drain,
            "promote": self._promote,
            "cut": self._cut_off,
            "claim": self._claim_primary,
            "refuse": self._refuse_connections,
            "table": self._limit_connections,
        }

    def apply(self, request: Request) -> None:
        """Apply one fault. Raises ControlError for an unknown server or fault."""
        name = str(request.get("do"))
        float(request.get("for", 0.0))  # an invalid duration is rejected before anything is recorded
        server = self._server(request)
        fields = {key: value for key, value in request.items() if key != "op"}
        self._fleet.record("fault", **fields, m=server.id)
        if name in REPLY_FAULTS:
            self._add_reply_fault(server, request)
        elif name in self._faults:
            self._faults[name](server, request)
        else:
            raise ControlError(f"fault '{name}' is not known")

    def _server(self, request: Request) -> EmulatedServer:
        which = request.get("member", "primary")
        group = self._fleet.groups.get(int(request.get("group", 0)))
        if group is None:
            raise ControlError(f"group {request.get('group')} is not there")
        if which == "primary":
            if group.primary is None:
                raise ControlError("there is no primary now")
            return group.primary
        if which == "replica":
            replicas = [s for s in group.servers if s is not group.primary and s.alive() and not s.draining]
            if not replicas:
                raise ControlError("there is no replica now")
            return replicas[int(request.get("nth", 0)) % len(replicas)]
        if which not in self._fleet.servers:
            raise ControlError(f"member {which} is not there")
        return self._fleet.servers[which]

    # Lasting faults

    def _after(self, request: Request, call: Callable[..., object], *arguments: object) -> None:
        """Schedule a call for the end of the fault, if it has a duration."""
        duration = _duration(request)
        if duration > 0:
            self._fleet.call_later(duration, call, *arguments)

    def _set(
        self, server: EmulatedServer, request: Request, name: str, value: object, normal: object
    ) -> None:
        """Set a field of the server's faults until the fault ends; a restart resets it earlier."""
        faults = server.faults
        incarnation = server.incarnation

        def reset_field() -> None:
            if incarnation == server.incarnation:
                setattr(faults, name, normal)

        setattr(faults, name, value)
        self._after(request, reset_field)

    def _hang(self, server: EmulatedServer, request: Request) -> None:
        duration = _duration(request)
        server.pause(self._fleet.now() + duration)
        server.group.primary_unreachable(server, self._fleet.timing.election_after)
        self._fleet.call_later(duration, server.group.primary_reachable, server)

    def _slow_down(self, server: EmulatedServer, request: Request) -> None:
        factor = float(request.get("factor", DEFAULT_SLOWDOWN))
        self._set(server, request, "slowdown", factor, 1.0)

    def _slow_replication(self, server: EmulatedServer, request: Request) -> None:
        server.advance()
        factor = float(request.get("factor", DEFAULT_APPLY_SLOWDOWN))
        self._set(server, request, "apply_slowdown", factor, 1.0)

    def _crash(self, server: EmulatedServer, request: Request) -> None:
        server.crash()
        self._after(request, self._restart, server)

    def _restart(self, server: EmulatedServer) -> None:
        server.restart()
        if server.alive():
            self._fleet.announce(server)

    def _drain(self, server: EmulatedServer, request: Request) -> None:
        server.draining = True
        self._fleet.announce(server)
        if server.is_primary():
            server.group.hand_over()
        self._after(request, self._end_drain, server)

    def _end_drain(self, server: EmulatedServer) -> None:
        server.draining = False
        self._fleet.announce(server)

    def _promote(self, server: EmulatedServer, request: Request) -> None:
        candidates = [s for s in server.group.servers if s.electable() and not s.is_primary()]
        chosen = candidates[int(request.get("nth", 0)) % len(candidates)] if candidates else None
        server.group.hand_over(chosen)

    def _cut_off(self, server: EmulatedServer, request: Request) -> None:
        proxy = str(request.get("driver", EVERY_PROXY))
        cut_off_from = server.faults.cut_off_from
        cut_off_from.add(proxy)
        self._after(request, cut_off_from.discard, proxy)

    def _claim_primary(self, server: EmulatedServer, request: Request) -> None:
        self._set(server, request, "claims_primary", True, server.faults.claims_primary)

    def _refuse_connections(self, server: EmulatedServer, request: Request) -> None:
        self._set(server, request, "refuses_connections", True, server.faults.refuses_connections)

    def _limit_connections(self, server: EmulatedServer, request: Request) -> None:
        limit = int(request.get("connections", DEFAULT_CONNECTIONS))
        self._set(server, request, "connections_max", limit, server.faults.connections_max)

    # Reply faults

    def _add_reply_fault(self, server: EmulatedServer, request: Request) -> None:
        kind = ReplyFaultKind(request["do"])
        following: Request = request.get("then") or {}

        def apply_following() -> None:
            self.apply({**following, "member": server.id})

        server.reply_faults.append(
            ReplyFault(
                kind,
                str(request.get("when", CommandKind.WRITE.value)),
                apply_following if following else ignore,
                int(request.get("count", 1)),
            )
        )


def _duration(request: Request) -> float:
    """Return the duration of a fault in seconds; 0 if it is permanent."""
    return float(request.get("for", 0.0))
