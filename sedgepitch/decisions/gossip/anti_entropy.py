"""Anti-entropy: exchanges of complete states over streams.

A node exchanges states periodically with a reachable member, and more often with dead members and with seeds
that are not members yet, since a partition may have healed or the cluster may have started in two parts.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from math import inf

from msgspec.structs import replace

from sedgepitch.decisions.gossip.actions import Action, Address, SyncState
from sedgepitch.decisions.gossip.members import MemberTable
from sedgepitch.decisions.gossip.messages import ClusterState, MembershipUpdate, MemberState
from sedgepitch.decisions.gossip.settings import GossipSettings
from sedgepitch.decisions.gossip.state_entries import StateEntries

UNKNOWN_SEED_DIVISOR = 5.0  # seeds that are not members are contacted this many times per sync interval
JITTER_MIN = 0.75  # fraction of the interval
JITTER_RANGE = 0.5  # fraction of the interval, added at random


class AntiEntropy:
    """Schedules state exchanges and selects the member for each."""

    def __init__(
        self,
        settings: GossipSettings,
        table: MemberTable,
        entries: StateEntries,
        seeds: Iterable[Address],
        rng: random.Random,
    ) -> None:
        """Start with the seed addresses; the first exchange is due immediately."""
        self.seeds = list(seeds)
        self.due = -inf
        self._settings = settings
        self._table = table
        self._entries = entries
        self._rng = rng

    def state(self, now: float) -> ClusterState:
        """Return the complete state of this node."""
        table = self._table
        updates = [table.own_update(), *(m.update(table.name) for m in table.members.values())]
        return ClusterState(tuple(updates), tuple(self._entries.all_encoded(now)))

    def sync(self, now: float, actions: list[Action]) -> None:
        """Start an exchange if one is due, and draw the time of the next one."""
        if now < self.due:
            return
        reachable = self._reachable_address()
        dead = self._dead_addresses()
        unknown_seeds = self._unknown_seeds()
        interval = self._interval(bool(dead) or reachable is None, bool(unknown_seeds))
        self.due = now + interval * (JITTER_MIN + JITTER_RANGE * self._rng.random())
        others = [*dead, *unknown_seeds]
        if not others and reachable is None:
            others = self.seeds
        # Reachable members average one exchange per sync interval, however short the interval is now.
        if reachable is not None and (
            not others or self._rng.random() < interval / self._settings.sync_interval
        ):
            actions.append(SyncState(reachable))
        elif others:
            actions.append(SyncState(self._rng.choice(others)))

    def _interval(self, rejoining: bool, has_unknown_seeds: bool) -> float:
        settings = self._settings
        interval = settings.rejoin_interval if rejoining else settings.sync_interval
        if has_unknown_seeds:
            interval = min(interval, settings.sync_interval / UNKNOWN_SEED_DIVISOR)
        return interval

    def _reachable_address(self) -> Address | None:
        names = self._table.sample(1)
        return self._table.address_of(names[0]) if names else None

    def _dead_addresses(self) -> list[Address]:
        dead = (m for m in self._table.members.values() if m.state is MemberState.DEAD)
        return [self._table.routes.get(m.name, m.address) for m in dead]

    def _unknown_seeds(self) -> list[Address]:
        known = {self._table.address, *(m.address for m in self._table.members.values())}
        return [seed for seed in self.seeds if seed not in known]


def downgrade_dead(update: MembershipUpdate, sender: str) -> MembershipUpdate:
    """Downgrade DEAD in a received state to SUSPECT, since the sender may be the one that was cut off."""
    if update.state != MemberState.DEAD:
        return update
    return replace(update, state=int(MemberState.SUSPECT), accuser=sender)
