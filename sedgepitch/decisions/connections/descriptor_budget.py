"""The account of descriptors: one bound over the clients' connections and the members'.

A process may hold so many and no more; running out of them in `accept` or `connect` is never seen here,
because nothing is opened that this account does not grant. Clients may hold at most CLIENTS of what is to be
shared, so however many connect and say nothing there is room to reach members. Whoever is refused here gets
room by closing what is idle, which its owner does.
"""

from __future__ import annotations

RESERVED = 24  # standard streams, the loop's own, the listener, discovery old and new, one being accepted
CLIENTS = 0.5  # share of the rest that clients may hold
LEAST = 8  # for either side, however few there are in all


class DescriptorBudget:
    """Counts. `limit` is what the process may hold, 0 for no bound."""

    __slots__ = ("clients", "clients_most", "endpoints", "limit", "members_most", "refused")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        shared = max(2 * LEAST, limit - RESERVED) if limit else 1 << 30
        self.clients_most = max(LEAST, int(shared * CLIENTS))
        self.members_most = max(LEAST, shared - self.clients_most)
        self.clients = self.endpoints = 0
        self.refused = 0  # connections to members that there was no room for

    def client_came(self) -> bool:
        """Count an accepted connection; False where one has to go for it."""
        self.clients += 1
        return self.clients <= self.clients_most

    def client_left(self) -> None:
        """A client's connection has been closed."""
        self.clients -= 1

    def take(self) -> bool:
        """Grant a connection to a member."""
        if self.endpoints >= self.members_most:
            self.refused += 1
            return False
        self.endpoints += 1
        return True

    def give(self) -> None:
        """A connection to a member has been closed."""
        self.endpoints -= 1

    @property
    def members_short(self) -> bool:
        """Whether so many connections to members are open that idle ones should go."""
        return self.endpoints + LEAST > self.members_most
