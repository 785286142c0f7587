"""One group of emulated servers: the log, who is primary, elections, and the keys of retryable writes.

The log is one list that survives every failover: a write is acknowledged once a replica has received it, and
what was not acknowledged may survive, too. Rolled back branches are therefore not emulated; they are covered
by the property tests of decisions/positions.py.
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
    """One entry of the log, and what it changes."""

    stamp: tuple[int, int]  # seconds and increment, by the primary's own clock
    term: int
    at: float  # when it was committed, in s of the clock
    effects: tuple[Effect, ...]


class GroupServer(Protocol):
    """A server as its group sees it: a place in the log, and whether it could lead."""

    applied: int
    store: Store
    draining: bool

    def wall(self) -> float:
        """Return Unix seconds by its own clock."""

    def catch_up(self) -> None:
        """Apply all that it has received."""

    def electable(self) -> bool:
        """Whether it could become primary now."""


Server = TypeVar("Server", bound=GroupServer)


class EmulatedGroup(Generic[Server]):
    """The log and the roles of one group. `later` makes a call after so many seconds."""

    def __init__(self, number: int, now: Callable[[], float], later: Callable[..., Any], timing: Any) -> None:
        """Make a group without servers and without a primary."""
        self.number = number
        self.now = now
        self.later = later
        self.timing = timing
        self.servers: list[Server] = []
        self.log: list[Entry] = []
        self.term = 0
        self.primary: Server | None = None
        self.keys: dict[WriteKey, tuple[float, dict[str, Any]]] = {}  # key -> (when answered, answer)
        self.election = 0  # number of the present one; calls of earlier ones do nothing
        self.role_changed: Callable[[Server | None, int], None] = ignore

    # The log

    def append(self, server: Server, effects: list[Effect], wall: float) -> Entry:
        """Commit one entry at the primary; stamps only grow, whatever its clock says."""
        stamp = (int(wall), 1)
        if self.log and self.log[-1].stamp >= stamp:
            seconds, increment = self.log[-1].stamp
            stamp = (seconds, increment + 1)
        entry = Entry(stamp, self.term, self.now(), tuple(effects))
        self.log.append(entry)
        server.applied = len(self.log)
        server.store.apply(entry.effects)
        return entry

    def repeat(self, key: WriteKey) -> dict[str, Any] | None:
        """Return the answer that a write of this key got, while it is remembered."""
        known = self.keys.get(key)
        if known is None:
            return None
        answered, reply = known
        return reply if self.now() - answered <= self.timing.key_window else None

    def remember(self, key: WriteKey, reply: dict[str, Any]) -> None:
        """Remember a write's answer; old ones are dropped."""
        self.keys[key] = (self.now(), reply)
        if len(self.keys) > REMEMBERED_KEYS_MAX:
            oldest = self.now() - self.timing.key_window
            self.keys = {key: known for key, known in self.keys.items() if known[0] >= oldest}

    # Roles

    def promote(self, server: Server) -> None:
        """Make a server the primary: it applies all it has received, then opens its term with an entry."""
        self.election += 1
        self.term += 1
        self.primary = server
        server.catch_up()
        self.append(server, [], server.wall())
        self.role_changed(server, self.term)

    def primary_unreachable(self, server: Server, after: float) -> None:
        """Another server takes over, if the primary is still unreachable after so many seconds."""
        if self.primary is not server:
            return
        self.election += 1
        self.later(after, self._depose, server, self.election)

    def primary_reachable(self, server: Server) -> None:
        """The primary answers again before another one took its place."""
        if self.primary is server:
            self.election += 1

    def _depose(self, server: Server, election: int) -> None:
        if self.election == election and self.primary is server:
            self.primary = None
            self.role_changed(None, self.term)
            self.later(self.timing.election_takes, self._elect, election)

    def _elect(self, election: int) -> None:
        if self.election != election:
            return
        candidates = [server for server in self.servers if server.electable()]
        if candidates:
            self.promote(_most_advanced(candidates))
        else:
            self.later(self.timing.election_takes, self._elect, election)

    def hand_over(self, to: Server | None = None) -> None:
        """Move the primary on purpose; writes are rejected meanwhile."""
        old, self.primary = self.primary, None
        self.election += 1
        self.role_changed(None, self.term)
        self.later(self.timing.handover, self._take_over, old, to, self.election)

    def _take_over(self, old: Server | None, to: Server | None, election: int) -> None:
        if self.election != election:
            return
        electable = [server for server in self.servers if server.electable()]
        candidates = [s for s in electable if s is not old and not s.draining] or electable
        if candidates:
            self.promote(to if to is not None and to in candidates else _most_advanced(candidates))


def _most_advanced(servers: list[Server]) -> Server:
    """Return the server that has applied most of the log."""
    return max(servers, key=lambda server: server.applied)
