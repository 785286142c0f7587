"""The budget of file descriptors, shared by client connections and endpoint connections.

A process may hold a fixed number of descriptors. An endpoint connection is granted before it is opened, and a
client connection is counted when it is accepted, so that the limit is reached here and not as EMFILE in
`accept` or `connect`. Clients may hold at most CLIENT_SHARE of the descriptors that can be shared, so that
descriptors for endpoints remain however many clients connect. A side that is refused closes an idle
connection of its own.
"""

from __future__ import annotations

# Standard streams, event loop, listener, seven discovery streams, and one connection being accepted.
RESERVED_DESCRIPTORS = 24
CLIENT_SHARE = 0.5  # of the descriptors that are not reserved
MIN_PER_SIDE = 8  # granted to clients and to endpoints, however small the limit
UNLIMITED = 1 << 30


class DescriptorBudget:
    """Counts descriptors in use. `limit` is the process's limit, 0 for none."""

    __slots__ = ("clients", "endpoints", "limit", "max_clients", "max_endpoints", "refused")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        shared = max(2 * MIN_PER_SIDE, limit - RESERVED_DESCRIPTORS) if limit else UNLIMITED
        self.max_clients = max(MIN_PER_SIDE, int(shared * CLIENT_SHARE))
        self.max_endpoints = max(MIN_PER_SIDE, shared - self.max_clients)
        self.clients = 0  # client connections open
        self.endpoints = 0  # endpoint connections open
        self.refused = 0  # endpoint connections not granted, since start-up

    def client_accepted(self) -> bool:
        """Count an accepted connection; return False if another client connection must be closed for it."""
        self.clients += 1
        return self.clients <= self.max_clients

    def client_closed(self) -> None:
        """Count a closed client connection."""
        self.clients -= 1

    def acquire(self) -> bool:
        """Grant one connection to an endpoint; return False if none is left."""
        if self.endpoints >= self.max_endpoints:
            self.refused += 1
            return False
        self.endpoints += 1
        return True

    def release(self) -> None:
        """Return the descriptor of a closed endpoint connection."""
        self.endpoints -= 1

    @property
    def endpoints_nearly_exhausted(self) -> bool:
        """Return whether fewer than MIN_PER_SIDE endpoint connections are left, so idle ones should close."""
        return self.endpoints + MIN_PER_SIDE > self.max_endpoints
