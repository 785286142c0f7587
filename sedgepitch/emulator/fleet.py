"""A fleet of stand-ins in one process, and its control socket: the member list, late, and faults on demand.

Control lines are JSON, one a line: {"op": "watch", "driver": name} follows the member list; {"op": "status"};
{"op": "fault", "do": name, ...} (see `Fleet.fault`); {"op": "quit"}. Each other op than watch is answered by
one line with "ok".
"""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from sedgepitch.emulator.recorder import Recorder
from sedgepitch.emulator.replica_group import Group
from sedgepitch.emulator.server import Member, Trap
from sedgepitch.net.listener import listen


class BadFault(ValueError):
    """A fault that cannot be had; the text says why."""


class _Control(LineReceiver):
    delimiter = b"\n"
    MAX_LENGTH = 1 << 20

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.driver = fleet, ""

    def lineReceived(self, line: bytes) -> None:
        """One request."""
        try:
            request = json.loads(line)
            answer = self._serve(request)
        except BadFault as error:
            answer = {"ok": False, "error": str(error)}
        except (ValueError, TypeError, AttributeError, KeyError) as error:
            answer = {"ok": False, "error": f"bad request: {error!r}"[:200]}
        if answer is not None:
            self.sendLine(json.dumps(answer).encode())

    def _serve(self, request: dict[str, Any]) -> dict[str, Any] | None:
        op = request["op"]
        if op == "watch":
            self.driver = str(request.get("driver", ""))
            self.fleet.watchers.add(self)
            self.tell(self.fleet.members.values(), True)
            return None
        if op == "fault":
            self.fleet.fault(request)
            return {"ok": True}
        if op == "status":
            return {"ok": True, **self.fleet.status()}
        if op == "quit":
            self.fleet.later(0.05, self.fleet.stop)
            return {"ok": True}
        raise BadFault(f"op '{op}' is not known")

    def tell(self, members: Any, complete: bool) -> None:
        """Send the list, or a part of it, as the list service believes it."""
        entries = [self.fleet.entry(m) for m in members]
        for entry in entries:
            self.fleet.record("told", d=self.driver, m=entry["id"], state=entry["state"])
        self.sendLine(json.dumps({"event": "list", "complete": complete, "members": entries}).encode())

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """A follower has gone."""
        self.fleet.watchers.discard(self)


class Fleet:
    """The members of all groups."""

    def __init__(self, reactor: Any, now: Callable[[], float], timing: Any, members: list[Any]) -> None:
        self.reactor, self.now, self.timing = reactor, now, timing
        self.record = Recorder(timing.record)
        self.groups: dict[int, Group[Member]] = {}
        self.members: dict[int, Member] = {}
        self.gone: set[int] = set()
        self.listed_primary: dict[int, int | None] = {}
        self.watchers: set[_Control] = set()
        self.port: Any = None
        self.stopped: Callable[[], None] = lambda: None
        for spec in members:
            group = self.groups.get(spec.group)
            if group is None:
                group = self.groups[spec.group] = Group(spec.group, now, self.later, timing)
                group.role_changed = partial(self._role_changed, group)
            member = Member(
                reactor, spec.id, spec.zone, spec.address, group, timing, self.record, timing.seed
            )
            self.members[spec.id] = member
            if spec.primary or group.primary is None:
                group.primary = member

    def later(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:
        """Call after a time."""
        return self.reactor.callLater(max(0.0, delay), call, *args)

    def start(self) -> None:
        """Open all ports; each group begins with a first term."""
        for member in self.members.values():
            member.listen()
        for group in self.groups.values():
            if group.primary is not None:
                group.promote(group.primary)
        factory = Factory.forProtocol(lambda: _Control(self))
        factory.noisy = False
        host, port = self.timing.control
        self.port = listen(self.reactor, port, factory, host, 50)
        for member in self.members.values():
            self.record("member", m=member.id, g=member.group.number, cores=self.timing.cores)

    def stop(self) -> None:
        """Close all, and say so."""
        self.close()
        self.stopped()

    def close(self) -> None:
        """Close all, and the record."""
        for member in self.members.values():
            if member.port is not None:
                member.port.stopListening()
                member.port = None
        if self.port is not None:
            self.port.stopListening()
        self.record.close()

    # The list

    def entry(self, member: Member) -> dict[str, Any]:
        """One member as the list shows it."""
        state = "gone" if member.id in self.gone else "draining" if member.draining else "up"
        entry = {
            "id": member.id,
            "group": member.group.number,
            "state": state,
            "zone": member.zone,
            "primary": self.listed_primary.get(member.group.number) == member.id,
            "address": f"{member.address[0]}:{member.address[1]}",
        }
        if member.started > 0:
            entry["age"] = self.now() - member.started
        return entry

    def announce(self, *members: Member) -> None:
        """Push changes, late as lists are."""
        self.later(self.timing.list_delay, self._push, members)

    def _push(self, members: tuple[Member, ...]) -> None:
        for watcher in list(self.watchers):
            watcher.tell(members, False)

    def _role_changed(self, group: Group[Member], primary: Member | None, term: int) -> None:
        self.record("role", g=group.number, m=None if primary is None else primary.id, term=term)
        if primary is None:
            return

        def late() -> None:
            old = self.listed_primary.get(group.number)
            self.listed_primary[group.number] = primary.id
            self._push(tuple(m for m in group.members if m.id in (old, primary.id)))

        if group.number in self.listed_primary:
            self.later(self.timing.list_delay, late)
        else:
            self.listed_primary[group.number] = primary.id

    def status(self) -> dict[str, Any]:
        """How the members stand."""
        out = []
        for member in self.members.values():
            member.advance()
            out.append(
                {
                    "id": member.id,
                    "group": member.group.number,
                    "alive": member.alive(),
                    "fallen": member.fallen,
                    "primary": member.is_primary(),
                    "applied": member.applied,
                    "behind": len(member.group.log) - member.applied,
                    "connections": len(member.connections),
                    "served": member.served,
                }
            )
        return {"members": out}

    # Faults

    def _which(self, request: dict[str, Any]) -> Member:
        which = request.get("member", "primary")
        group = self.groups.get(int(request.get("group", 0)))
        if group is None:
            raise BadFault(f"group {request.get('group')} is not there")
        if which == "primary":
            if group.primary is None:
                raise BadFault("there is no primary now")
            return group.primary
        if which == "replica":
            able = [m for m in group.members if m is not group.primary and m.alive() and not m.draining]
            if not able:
                raise BadFault("there is no replica now")
            return able[int(request.get("nth", 0)) % len(able)]
        if which not in self.members:
            raise BadFault(f"member {which} is not there")
        return self.members[which]

    def fault(self, request: dict[str, Any]) -> None:
        """Make something go wrong, or right again. `member` is an id, "primary" or "replica" (with `nth`).

        do: hang (for), slow (factor, for), lag (factor, for), crash (for), drain (for), promote, cut (driver,
        for), claim (for), refuse (for), table (connections, for), and traps that wait for `when` ("write" or
        "read"): lose_reply, cut_reply, reset, wrong_reply, twice (count, then: {"do": ...}). Times: seconds.
        """
        do, lasts = request.get("do"), float(request.get("for", 0.0))
        member = self._which(request)
        self.record("fault", **{k: v for k, v in request.items() if k != "op"}, m=member.id)
        trouble, life = member.trouble, member.life

        def undo(name: str, value: Any) -> None:
            if lasts > 0:
                self.later(lasts, lambda: setattr(trouble, name, value) if life == member.life else None)

        if do == "hang":
            member.hold(self.now() + lasts)
            member.group.lost_primary(member, self.timing.election_after)
            self.later(lasts, member.group.primary_back, member)
        elif do == "slow":
            trouble.slow = float(request.get("factor", 5.0))
            undo("slow", 1.0)
        elif do == "lag":
            member.advance()
            trouble.apply_slow = float(request.get("factor", 50.0))
            undo("apply_slow", 1.0)
        elif do == "crash":
            member.crash()
            if lasts > 0:
                self.later(lasts, self._back, member)
        elif do == "drain":
            self._drain(member, lasts)
        elif do == "promote":
            able = [m for m in member.group.members if m.electable() and not m.is_primary()]
            member.group.hand_over(able[int(request.get("nth", 0)) % len(able)] if able else None)
        elif do == "cut":
            who = str(request.get("driver", "*"))
            trouble.cut.add(who)
            if lasts > 0:
                self.later(lasts, trouble.cut.discard, who)
        elif do in ("claim", "refuse", "table"):
            name = {"claim": "claims_primary", "refuse": "refuse_connections", "table": "connections"}[do]
            old = getattr(trouble, name)
            setattr(trouble, name, int(request.get("connections", 4)) if do == "table" else True)
            undo(name, old)
        elif do in ("lose_reply", "cut_reply", "reset", "wrong_reply", "twice"):
            then = request.get("then")
            follow = (lambda: self.fault({**then, "member": member.id})) if then else (lambda: None)
            member.traps.append(
                Trap(str(request.get("when", "write")), do, follow, int(request.get("count", 1)))
            )
        else:
            raise BadFault(f"fault '{do}' is not known")

    def _back(self, member: Member) -> None:
        member.restart()
        if member.alive():
            self.announce(member)

    def _drain(self, member: Member, lasts: float) -> None:
        member.draining = True
        self.announce(member)
        if member.is_primary():
            member.group.hand_over()

        def over() -> None:
            member.draining = False
            self.announce(member)

        if lasts > 0:
            self.later(lasts, over)
