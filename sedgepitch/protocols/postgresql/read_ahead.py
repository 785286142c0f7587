"""Limits the input buffered per client while a statement is in flight; above it, reading is paused.

The end of a client's stream is queued behind all data that it has sent, so a disconnect is not seen while the
kernel's buffers are full. A few clients therefore get a larger limit, so that their disconnects are noticed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.protocols.postgresql.client_state import ClientState

if TYPE_CHECKING:
    from sedgepitch.protocols.postgresql.client import ClientConnection

READ_AHEAD_BYTES = 64 * 1024  # per client
EXTENDED_READ_AHEAD_BYTES = 512 * 1024  # per client with an extended limit, EXTENDED_CLIENTS_MAX at most
EXTENDED_CLIENTS_MAX = 16


class ReadAhead:
    """Read-ahead state of the connections of one listener; sets their `reads_paused`."""

    __slots__ = ("extended", "paused")

    def __init__(self) -> None:
        """Start with no client above the limit."""
        self.extended: set[ClientConnection] = set()  # allowed more than READ_AHEAD_BYTES
        self.paused: set[ClientConnection] = set()  # not being read

    def limit(self, connection: ClientConnection) -> None:
        """Pause reading from a client above its limit; up to EXTENDED_CLIENTS_MAX get the larger one."""
        buffered = connection.reader.buffered_bytes
        if buffered <= READ_AHEAD_BYTES:
            return
        may_extend = connection in self.extended or len(self.extended) < EXTENDED_CLIENTS_MAX
        if buffered <= EXTENDED_READ_AHEAD_BYTES and may_extend:
            self.extended.add(connection)
            return
        connection.reads_paused = True
        self.paused.add(connection)
        connection.transport.pauseProducing()

    def resume_if_drained(self, connection: ClientConnection) -> None:
        """Resume reading once at most half of READ_AHEAD_BYTES is buffered."""
        if connection.reader.buffered_bytes > READ_AHEAD_BYTES // 2:
            return
        self.extended.discard(connection)
        if connection.reads_paused and connection.state is not ClientState.CLOSING:
            self.resume(connection)

    def resume(self, connection: ClientConnection) -> None:
        """Resume reading from the socket."""
        connection.reads_paused = False
        self.paused.discard(connection)
        connection.transport.resumeProducing()

    def forget(self, connection: ClientConnection) -> None:
        """Drop the state of a closed connection."""
        self.paused.discard(connection)
        self.extended.discard(connection)
