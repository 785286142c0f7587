"""One group of emulated servers: log, primary, elections, and the keys of retryable writes.

The log is one list that survives every failover: a write is acknowledged once a replica has received it, and
an unacknowledged write may survive, too. Rolled back branches are therefore not emulated; the property tests
of decisions/positions.py cover them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

from sedgepitch.emulator.document_store import Effect, Store
from sedgepitch.protocols.common.callbacks import ignore

WriteKey = tuple[str, int]  # session and transaction number
REMEMBERED_KEYS_MAX = 50_000


@dataclass(slots=True, frozen=True)
class Entry:
    """One entry of the log and its effects."""

    stamp: tuple[int, int]  # seconds and increment, by the clock of the primary
    term: int
    at: float  # commit time, in s of the clock
    effects: tuple[Effect, ...]


class GroupServer(Protocol):
    """The interface of a server to its group: its position in the log, and whether it is electable."""

    applied: int
    store: Store
    draining: bool

    def wall(self) -> float:
        """Return Unix time in seconds by the server's own clock."""

    def catch_up(self) -> None:
        """Apply the whole log."""

    def electable(self) -> bool:
        """Return whether the server could become primary now."""


Server = TypeVar("Server", bound=GroupServer)


class EmulatedGroup(Generic[Server]):
    """The log and the roles of one group. `call_later` schedules a call after a delay in seconds."""

    def __init__(
        self, number: int, now: Callable[[], float], call_later: Callable[..., Any], timing: Any
    ) -> None:
        """Create a group without servers and without a primary."""
        self.number = number
        self.now = now
        self.call_later = call_later
        self.timing = timing
        self.servers: list[Server] = []
        self.log: list[Entry] = []
        self.term = 0
        self.primary: Server | None = None
        self.keys: dict[WriteKey, tuple[float, dict[str, Any]]] = {}  # key -> (time of the reply, reply)
        self.election = 0  # number of the current one; timers of earlier ones have no effect
        self.role_changed: Callable[[Server | None, int], None] = ignore

    # The log

    def append(self, server: Server, effects: list[Effect], wall: float) -> Entry:
        """Commit one entry at the primary; stamps increase strictly even if its clock goes back."""
        stamp = (int(wall), 1)
        if self.log and self.log[-1].stamp >= stamp:
            seconds, increment = self.log[-1].stamp
            stamp = (seconds, increment + 1)
        entry = Entry(stamp, self.term, self.now(), tuple(effects))
        self.log.append(entry)
        server.applied = len(self.log)
        server.store.apply(entry.effects)
        return entry

    def remembered_reply(self, key: WriteKey) -> dict[str, Any] | None:
        """Return the reply to an earlier write with this key, None if unknown or expired."""
        known = self.keys.get(key)
        if known is None:
            return None
        replied_at, reply = known
        return reply if self.now() - replied_at <= self.timing.key_window else None

    def remember(self, key: WriteKey, reply: dict[str, Any]) -> None:
        """Store the reply to a write; above REMEMBERED_KEYS_MAX, expired replies are dropped."""
        self.keys[key] = (self.now(), reply)
        if len(self.keys) > REMEMBERED_KEYS_MAX:
            oldest = self.now() - self.timing.key_window
            self.keys = {key: known for key, known in self.keys.items() if known[0] >= oldest}

    # Roles

    def promote(self, server: Server) -> None:
        """Make a server the primary: it applies the whole log, then opens its term with an entry."""
        self.election += 1
        self.term += 1
        self.primary = server
        server.catch_up()
        self.append(server, [], server.wall())
        self.role_changed(server, self.term)

    def primary_unreachable(self, server: Server, after: float) -> None:
        """Start a failover if the primary is still unreachable after `after` seconds."""
        if self.primary is not server:
            return
        self.election += 1
        self.call_later(after, self._depose, server, self.election)

    def primary_reachable(self, server: Server) -> None:
        """Cancel the failover of a primary that is reachable again."""
        if self.primary is server:
            self.election += 1

    def _depose(self, server: Server, election: int) -> None:
        if self.election == election and self.primary is server:
            self.primary = None
            self.role_changed(None, self.term)
            self.call_later(self.timing.election_takes, self._elect, election)

    def _elect(self, election: int) -> None:
        if self.election != election:
            return
        candidates = [server for server in self.servers if server.electable()]
        if candidates:
            self.promote(_most_advanced(candidates))
        else:
            self.call_later(self.timing.election_takes, self._elect, election)

    def hand_over(self, to: Server | None = None) -> None:
        """Move the primary role in a planned handover; writes are rejected until it is complete."""
        old, self.primary = self.primary, None
        self.election += 1
        self.role_changed(None, self.term)
        self.call_later(self.timing.handover, self._take_over, old, to, self.election)

    def _take_over(self, old: Server | None, to: Server | None, election: int) -> None:
        if self.election != election:
            return
        electable = [server for server in self.servers if server.electable()]
        candidates = [s for s in electable if s is not old and not s.draining] or electable
        if candidates:
            self.promote(to if to is not None and to in candidates else _most_advanced(candidates))


def _most_advanced(servers: list[Server]) -> Server:
    """Return the server that has applied the most log entries."""
    return max(servers, key=lambda server: server.applied)
