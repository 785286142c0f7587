"""Limits the input buffered per client while a statement is in flight or responses are not read.

Above the limit, reading is paused. That is done only while the connection makes progress without input, or
none because its client does not read its responses, which a timeout ends. Reading resumes once the buffer has
drained, or once no complete message is left in it: a statement may be longer than what counts as drained,
and its rest is still in the socket. A connection therefore buffers at most its limit, or one incomplete
message if that is longer, plus one read. Under memory pressure (`client_buffers.py`) the limit is 0.

The end of a client's stream is queued behind all data that it has sent, so a disconnect is not seen while the
kernel's buffers are full. A few clients therefore get a larger limit, so that their disconnects are noticed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.protocols.postgresql.client_state import READING_STATES, ClientState

if TYPE_CHECKING:
    from sedgepitch.protocols.postgresql.client import ClientConnection

READ_AHEAD_BYTES = 64 * 1024  # per client
DRAINED_BYTES = READ_AHEAD_BYTES // 2  # at most this many buffered bytes count as drained
EXTENDED_READ_AHEAD_BYTES = 512 * 1024  # per client with an extended limit, EXTENDED_CLIENTS_MAX at most
EXTENDED_CLIENTS_MAX = 16


class ReadAhead:
    """Read-ahead state of the connections of one listener; sets their `reads_paused`."""

    __slots__ = ("extended", "paused")

    def __init__(self) -> None:
        """Start with no client above the limit."""
        self.extended: set[ClientConnection] = set()  # allowed more than READ_AHEAD_BYTES
        self.paused: dict[ClientConnection, None] = {}  # not being read, in the order of their pauses

    def limit(self, connection: ClientConnection) -> None:
        """Pause reading from a client above its limit; up to EXTENDED_CLIENTS_MAX get the larger one."""
        buffered = connection.reader.buffered_bytes
        under_pressure = connection.listener.buffers.under_pressure
        if buffered <= (0 if under_pressure else READ_AHEAD_BYTES):
            return
        may_extend = connection in self.extended or len(self.extended) < EXTENDED_CLIENTS_MAX
        if buffered <= EXTENDED_READ_AHEAD_BYTES and may_extend and not under_pressure:
            self.extended.add(connection)
            return
        self.pause(connection)

    def pause(self, connection: ClientConnection) -> None:
        """Stop reading; the end of the client's stream is asked for instead."""
        connection.reads_paused = True
        self.paused[connection] = None
        connection.transport.pauseProducing()
        connection.listener.reading_paused()

    def resume_if_possible(self, connection: ClientConnection) -> None:
        """Resume reading if the buffer has drained, or if the next message cannot be completed without input.

        To be called after a complete message, if there is one, was taken from the buffer: a connection that
        is in a reading state then awaits input.
        """
        under_pressure = connection.listener.buffers.under_pressure
        drained = connection.reader.buffered_bytes <= (0 if under_pressure else DRAINED_BYTES)
        if drained:
            self.extended.discard(connection)
        if not connection.reads_paused or connection.state is ClientState.CLOSING:
            return
        if drained or connection.state in READING_STATES:
            self.resume(connection)

    def resume(self, connection: ClientConnection) -> None:
        """Resume reading from the socket."""
        connection.reads_paused = False
        self.paused.pop(connection, None)
        connection.transport.resumeProducing()

    def forget(self, connection: ClientConnection) -> None:
        """Drop the state of a closed connection."""
        self.paused.pop(connection, None)
        self.extended.discard(connection)
