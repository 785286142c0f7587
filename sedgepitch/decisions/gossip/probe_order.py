"""The order in which members are probed: shuffled rounds, so that each is probed within two rounds."""

from __future__ import annotations

import random

from sedgepitch.decisions.gossip.members import MemberTable


class ProbeOrder:
    """The remaining members of the current round."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        """Start with an empty round."""
        self._table = table
        self._rng = rng
        self._round: list[str] = []

    def insert(self, name: str) -> None:
        """Insert a new member at a random position of the round."""
        self._round.insert(self._rng.randint(0, len(self._round)), name)

    def next(self) -> str | None:
        """Return the next reachable member; None if there is none."""
        for _ in range(2):
            while self._round:
                name = self._round.pop()
                member = self._table.members.get(name)
                if member is not None and member.reachable:
                    return name
            self._round = self._table.reachable_names()
            self._rng.shuffle(self._round)
        return None
