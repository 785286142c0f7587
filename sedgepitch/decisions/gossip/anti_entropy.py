"""Anti-entropy: exchanges of complete states over streams.

With a reachable member now and then; more often with dead members and with seeds that were never met, since a
partition may have healed or the cluster may have started in two parts.
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

UNMET_SEED_DIVISOR = 5.0  # seeds never met are asked this many times an interval
JITTER_MIN = 0.75  # share of the interval
JITTER_RANGE = 0.5


class AntiEntropy:
    """Decides when and with whom states are exchanged."""

    def __init__(
        self,
        settings: GossipSettings,
        table: MemberTable,
        entries: StateEntries,
        seeds: Iterable[Address],
        rng: random.Random,
    ) -> None:
        """Begin with addresses to ask first; the first exchange is due at once."""
        self.seeds = list(seeds)
        self.due = -inf
        self._settings = settings
        self._table = table
        self._entries = entries
        self._rng = rng

    def state(self, now: float) -> ClusterState:
        """Return all that this node knows."""
        table = self._table
        updates = [table.own_update(), *(m.update(table.name) for m in table.members.values())]
        return ClusterState(tuple(updates), tuple(self._entries.all_encoded(now)))

    def sync(self, now: float, actions: list[Action]) -> None:
        """Begin an exchange if one is due, and draw when the next one is."""
        if now < self.due:
            return
        reachable = self._reachable_address()
        lost = self._dead_addresses()
        unmet = self._unmet_seeds()
        interval = self._interval(bool(lost) or reachable is None, bool(unmet))
        self.due = now + interval * (JITTER_MIN + JITTER_RANGE * self._rng.random())
        others = [*lost, *unmet]
        if not others and reachable is None:
            others = self.seeds
        # Reachable members have their turn once a sync interval, however short the interval is now.
        if reachable is not None and (
            not others or self._rng.random() < interval / self._settings.sync_interval
        ):
            actions.append(SyncState(reachable))
        elif others:
            actions.append(SyncState(self._rng.choice(others)))

    def _interval(self, rejoining: bool, unmet_seeds: bool) -> float:
        settings = self._settings
        interval = settings.rejoin_interval if rejoining else settings.sync_interval
        if unmet_seeds:
            interval = min(interval, settings.sync_interval / UNMET_SEED_DIVISOR)
        return interval

    def _reachable_address(self) -> Address | None:
        names = self._table.sample(1)
        return self._table.address_of(names[0]) if names else None

    def _dead_addresses(self) -> list[Address]:
        dead = (m for m in self._table.members.values() if m.state is MemberState.DEAD)
        return [self._table.routes.get(m.name, m.address) for m in dead]

    def _unmet_seeds(self) -> list[Address]:
        known = {self._table.address, *(m.address for m in self._table.members.values())}
        return [seed for seed in self.seeds if seed not in known]


def soften(update: MembershipUpdate, sender: str) -> MembershipUpdate:
    """Return a dead member of another's state as suspected: the other may be the one that was cut off."""
    if update.state != MemberState.DEAD:
        return update
    return replace(update, state=int(MemberState.SUSPECT), accuser=sender)
