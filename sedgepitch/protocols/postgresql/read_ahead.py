"""How much clients may send ahead of the statement in flight before their sockets are left unread.

The end of a client's stream stands behind all that it sent, and does not arrive while the system's buffers
are full of that. So a few clients are read further, to see whether they are still there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.protocols.postgresql.client_state import ClientState

if TYPE_CHECKING:
    from sedgepitch.protocols.postgresql.client import ClientConnection

READ_AHEAD_BYTES = 64 * 1024  # for any client
EXTENDED_READ_AHEAD_BYTES = 512 * 1024  # for a few
EXTENDED_CLIENTS_MAX = 16


class ReadAhead:
    """Read-ahead of all connections of one listener; sets `reads_paused` of each connection."""

    __slots__ = ("extended", "paused")

    def __init__(self) -> None:
        """Begin with no client ahead."""
        self.extended: set[ClientConnection] = set()  # read beyond READ_AHEAD_BYTES
        self.paused: set[ClientConnection] = set()  # sockets left unread

    def limit(self, connection: ClientConnection) -> None:
        """Stop reading a client that is too far ahead, unless it is one of the few that are read further."""
        held = connection.reader.buffered_bytes
        if held <= READ_AHEAD_BYTES:
            return
        may_extend = connection in self.extended or len(self.extended) < EXTENDED_CLIENTS_MAX
        if held <= EXTENDED_READ_AHEAD_BYTES and may_extend:
            self.extended.add(connection)
            return
        connection.reads_paused = True
        self.paused.add(connection)
        connection.transport.pauseProducing()

    def relax(self, connection: ClientConnection) -> None:
        """Read on where at most half of the allowance is still buffered."""
        if connection.reader.buffered_bytes > READ_AHEAD_BYTES // 2:
            return
        self.extended.discard(connection)
        if connection.reads_paused and connection.state is not ClientState.CLOSING:
            self.resume(connection)

    def resume(self, connection: ClientConnection) -> None:
        """Read the socket again."""
        connection.reads_paused = False
        self.paused.discard(connection)
        connection.transport.resumeProducing()

    def forget(self, connection: ClientConnection) -> None:
        """The connection has ended."""
        self.paused.discard(connection)
        self.extended.discard(connection)
