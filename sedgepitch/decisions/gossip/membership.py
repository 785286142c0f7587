"""Membership: precedence of updates, suspicion and its timeout, and refutation.

Of two updates about a member the one with the higher incarnation wins, and at equal incarnations the one with
the worse state. Only the member itself raises its incarnation, to refute an update about itself.
"""

from __future__ import annotations

from math import inf, log, log10

from sedgepitch.decisions.gossip.actions import EventKind
from sedgepitch.decisions.gossip.dissemination import TransmitQueue
from sedgepitch.decisions.gossip.local_health import LocalHealth
from sedgepitch.decisions.gossip.members import Member, MemberTable
from sedgepitch.decisions.gossip.messages import MembershipUpdate, MemberState
from sedgepitch.decisions.gossip.probe_order import ProbeOrder
from sedgepitch.decisions.gossip.settings import GossipSettings
from sedgepitch.decisions.gossip.state_entries import StateEntries


class Membership:
    """Applies updates and suspicions to the member table."""

    def __init__(
        self,
        settings: GossipSettings,
        table: MemberTable,
        queue: TransmitQueue,
        entries: StateEntries,
        health: LocalHealth,
        probe_order: ProbeOrder,
    ) -> None:
        """Operate on the given table; new members are also inserted into the probe order."""
        self.suspicions = 0
        self.deaths = 0  # declared by this node itself
        self.leaving = False
        self._settings = settings
        self._table = table
        self._queue = queue
        self._entries = entries
        self._health = health
        self._probe_order = probe_order
        self._refuted_at = -inf

    # Updates

    def apply(self, now: float, update: MembershipUpdate, sender: str) -> None:
        """Apply an update if it overrides the known state; one that is out of bounds is ignored."""
        valid_name = 0 < len(update.member) <= self._settings.max_name_length
        if not valid_name or not 0 <= update.state <= MemberState.LEFT:
            return
        if update.member == self._table.name:
            self._refute(now, update)
            return
        member = self._table.members.get(update.member)
        if member is None:
            member = self._add(now, update)
            if member is None:
                return
        elif update.state == MemberState.ALIVE:
            self._apply_alive(now, member, update)
            return
        if update.state == MemberState.SUSPECT:
            self._apply_suspect(now, member, update, sender)
        elif update.state >= MemberState.DEAD:
            self._apply_gone(now, member, update)

    def _add(self, now: float, update: MembershipUpdate) -> Member | None:
        """Add a new member; return None if it is dead or has left, or if the table is full."""
        if update.state >= MemberState.DEAD:
            return None
        if len(self._table.members) >= self._settings.max_members:
            return None
        address = (update.host, update.port)
        member = Member(update.member, address, update.incarnation, MemberState.ALIVE, now)
        self._table.members[member.name] = member
        self._probe_order.insert(member.name)
        self._table.report(EventKind.JOINED, member.name)
        self._queue.add(now, member.name)
        return member

    def _apply_alive(self, now: float, member: Member, update: MembershipUpdate) -> None:
        if update.incarnation <= member.incarnation:
            return
        if member.state is not MemberState.ALIVE:
            self._table.report(EventKind.RECOVERED, member.name)
        member.address = (update.host, update.port)
        member.incarnation = update.incarnation
        member.state = MemberState.ALIVE
        member.state_since = now
        member.accusers = set()
        self._queue.add(now, member.name)

    def _apply_suspect(self, now: float, member: Member, update: MembershipUpdate, sender: str) -> None:
        if update.incarnation < member.incarnation or not member.reachable:
            return
        if update.incarnation > member.incarnation:  # the member has refuted the previous suspicion
            member.state = MemberState.ALIVE
            member.incarnation = update.incarnation
        self.suspect(now, member, update.accuser or sender)

    def _apply_gone(self, now: float, member: Member, update: MembershipUpdate) -> None:
        if update.incarnation < member.incarnation or not member.reachable:
            return
        member.incarnation = update.incarnation
        member.state = MemberState(update.state)
        member.state_since = now
        member.entries.clear()
        dead = member.state is MemberState.DEAD
        self._table.report(EventKind.DEAD if dead else EventKind.LEFT, member.name)
        self._queue.add(now, member.name)

    def _refute(self, now: float, update: MembershipUpdate) -> None:
        """Refute a wrong update about this node by raising its incarnation.

        This also supersedes an earlier process of the same name. At most one refutation per gossip interval,
        so that two processes of one name do not flood the cluster.
        """
        table = self._table
        incorrect = update.state != MemberState.ALIVE or (update.host, update.port) != table.address
        if self.leaving or update.incarnation < table.incarnation or not incorrect:
            return
        if update.state != MemberState.ALIVE:
            self._health.adjust(1)
        if now - self._refuted_at < self._settings.gossip_interval:
            return
        self._refuted_at = now
        table.incarnation = update.incarnation + 1
        self._entries.raise_versions(now)
        self._queue.add(now, table.name)

    # Suspicion

    def suspect(self, now: float, member: Member, accuser: str) -> None:
        """Suspect a member, or add an accuser to a suspicion."""
        if member.state is MemberState.ALIVE:
            member.state = MemberState.SUSPECT
            member.state_since = now
            member.accusers = set()
            self.suspicions += 1
            self._table.report(EventKind.SUSPECTED, member.name)
        accusers = member.accusers
        if accuser and accuser not in accusers and len(accusers) <= self._settings.confirmations:
            accusers.add(accuser)
            self._queue.add(now, member.name)

    def suspicion_timeout(self, member: Member) -> float:
        """Return the seconds a suspect has to refute the suspicion: fewer with more independent accusers."""
        settings = self._settings
        members = max(1, len(self._table.members))
        minimum = settings.suspicion_multiplier * max(1.0, log10(members)) * settings.probe_interval
        maximum = minimum * settings.suspicion_max_multiplier
        confirmed = log(1 + max(0, len(member.accusers) - 1)) / log(1 + settings.confirmations)
        return max(minimum, maximum - (maximum - minimum) * confirmed)

    def next_timeout(self) -> float:
        """Return when the earliest suspicion times out; infinity without suspicions."""
        suspects = (m for m in self._table.members.values() if m.state is MemberState.SUSPECT)
        return min((m.state_since + self.suspicion_timeout(m) for m in suspects), default=inf)

    def expire(self, now: float) -> None:
        """Declare timed-out suspects dead, and remove dead and left members after their retention time."""
        for member in list(self._table.members.values()):
            elapsed = now - member.state_since
            if member.state is MemberState.SUSPECT and elapsed >= self.suspicion_timeout(member):
                self._declare_dead(now, member)
            elif not member.reachable and elapsed > self._settings.dead_retention:
                del self._table.members[member.name]
                self._queue.discard(member.name)

    def extend_suspicions(self, by: float) -> None:
        """Extend the timeout of each suspicion by a number of seconds."""
        for member in self._table.members.values():
            if member.state is MemberState.SUSPECT:
                member.state_since += by

    def _declare_dead(self, now: float, member: Member) -> None:
        member.state = MemberState.DEAD
        member.state_since = now
        member.entries.clear()
        self.deaths += 1
        self._table.report(EventKind.DEAD, member.name)
        self._queue.add(now, member.name)
