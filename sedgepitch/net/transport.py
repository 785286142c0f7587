"""Twisted's TCP transports with receive timestamps and immediate writes.

Arrival. A process that is not scheduled for a while reads late, and the time of the read does not show how
long the bytes have waited. Linux timestamps received data (SO_TIMESTAMPNS, socket(7)), so the wait is known
for each read, and a recorder that runs late still records correct times. Timestamps are wall time and are
converted to monotonic time at once (net/receive_timestamps.py). Arrival times are clamped between the
previous read of the connection and the current one. Without timestamps, the time of the read is used.

Writes. Twisted queues each write until the event loop reports the descriptor writable, one turn later: a
response decided now would wait for everything that the next turn reads. Here, a write with nothing queued
before it goes to the socket at once; only what the socket does not accept is queued, with Twisted's
back-pressure.

Resets. uvloop's poll handle closes itself permanently when a descriptor reports an error, after running the
read callback once (uvloop/handles/poll.pyx, `_fatal_error`). If data came before the reset, that one read
returns the data, so the reset is never reported, the descriptor is not watched again, and the next write
raises "the handler is closed". Therefore each read also checks the socket for a pending error.
"""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import struct
import time

from twisted.internet import error, main, tcp
from twisted.internet.interfaces import IProtocol
from twisted.python.failure import Failure

from sedgepitch.net.receive_timestamps import ReceiveTimestamps
from sedgepitch.net.socket_state import has_nothing_unread, seconds_since_received
from sedgepitch.net.twisted_types import Reactor, ReadResult

SO_TIMESTAMPNS = 35  # asm-generic/socket.h; the socket module does not define it
_TIMESPEC = struct.Struct("@qq")
_SECONDS_PER_NANOSECOND = 1e-9
_ANCILLARY_SIZE = socket.CMSG_SPACE(_TIMESPEC.size) if hasattr(socket, "CMSG_SPACE") else 0

NOT_READY = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR})
# Errors that may be temporary: no memory at the moment (ENOBUFS, ENOMEM), or a network error reported for a
# packet (tcp(7), ip(7)), which Linux also returns while it keeps retransmitting. The call is repeated when
# the descriptor is next ready. If the connection has really ended, that call shows it: a read returns end of
# file or ECONNRESET, a write EPIPE.
TRANSIENT = NOT_READY | {
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.EHOSTDOWN,
    errno.ENETDOWN,
}
TRANSIENT_LIMIT_S = 1.0  # an error that lasts longer ends the connection


class ReadFailed(error.ConnectionLost):
    """Reading from a connection failed with `errno`."""

    def __init__(self, number: int) -> None:
        super().__init__(f"read failed: {os.strerror(number)}")
        self.errno = number


class SocketFailed(error.ConnectionLost):
    """The socket has a pending error, `errno`, that no read returned."""

    def __init__(self, number: int) -> None:
        super().__init__(f"socket error: {os.strerror(number)}")
        self.errno = number


now = time.monotonic
READ_BYTES_MAX = 64 * 1024  # of one read; Twisted's default
# One buffer for all reads: a buffer of that size for each would leave the heap in fragments.
_read_buffer = memoryview(bytearray(READ_BYTES_MAX))
_timestamps = ReceiveTimestamps()  # the process has one wall clock


class TimestampedConnection(tcp.Connection):
    """Base class of accepted and opened connections.

    `arrived` is the arrival time of the bytes passed to `dataReceived`, and `reading_since` the time since
    which this process reads the connection: its set-up, the end of the last pause, or a read that took as
    much as one may. Both are in monotonic seconds. Bytes may have arrived before `reading_since`, while the
    connection waited in the backlog or reading was paused, or behind such a read; that wait counts against
    the request, but not as read delay of this process.
    """

    arrived = 0.0
    reading_since = 0.0
    _read_at = 0.0  # all bytes unread now arrived after this
    _has_timestamps = False
    _failing_since: float | None = None  # the first of consecutive transient errors

    def _start_timestamps(self) -> None:
        self.reading_since = now()
        self._read_at = self.reading_since
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            self._has_timestamps = bool(_ANCILLARY_SIZE)
        except OSError:
            self._has_timestamps = False

    def doRead(self) -> ReadResult:
        """Read once; return the error that ends the connection, if any."""
        try:
            data, ancillary = self._receive()
        except OSError as problem:
            return self._read_failed(problem.errno or 0)
        self._failing_since = None
        if not data:
            return main.CONNECTION_DONE
        read_at = now()
        self.arrived = self._arrival_time(ancillary, read_at)
        is_full = len(data) >= self.bufferSize  # it may have left some bytes behind
        if not is_full:
            self._read_at = read_at
        self.protocol.dataReceived(data)  # type: ignore[call-arg,misc]
        if is_full:
            self.reading_since = max(self.reading_since, read_at)
        pending = self._pending_error() if self.connected else 0
        return SocketFailed(pending) if pending else None

    def _arrival_time(self, ancillary: list[tuple[int, int, bytes]], read_at: float) -> float:
        arrived = read_at
        for level, kind, timestamp in ancillary:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
                seconds, nanoseconds = _TIMESPEC.unpack(timestamp)
                stamped = seconds + nanoseconds * _SECONDS_PER_NANOSECOND
                arrived = max(self._read_at, _timestamps.arrival_time(stamped, time.time(), read_at))
        return arrived

    def _receive(self) -> tuple[bytes, list[tuple[int, int, bytes]]]:
        """Read; after an error other than "not ready", retry once immediately."""
        try:
            return self._receive_once()
        except OSError as problem:
            if problem.errno in NOT_READY:
                raise
        return self._receive_once()

    def _receive_once(self) -> tuple[bytes, list[tuple[int, int, bytes]]]:
        buffer = _read_buffer[: self.bufferSize]
        if not self._has_timestamps:
            return bytes(buffer[: self.socket.recv_into(buffer)]), []
        size, ancillary, _, _ = self.socket.recvmsg_into((buffer,), _ANCILLARY_SIZE)
        return bytes(buffer[:size]), ancillary

    def _read_failed(self, number: int) -> ReadFailed | None:
        """Return the error that ends the connection, or None if the connection may continue."""
        if number in NOT_READY:
            self._failing_since = None
            return None
        return None if self._is_transient(number) else ReadFailed(number)

    def _is_transient(self, number: int) -> bool:
        """Return whether an error may be temporary and has lasted for less than TRANSIENT_LIMIT_S."""
        if number not in TRANSIENT:
            return False
        failed_at = now()
        if self._failing_since is None:
            self._failing_since = failed_at
        return failed_at - self._failing_since < TRANSIENT_LIMIT_S

    def _pending_error(self) -> int:
        """Return the socket's pending errno.

        0 if there is none, if it is unknown, or if the socket is still open with nothing to read.
        """
        try:
            number = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:
            return 0
        return number if number and not has_nothing_unread(self.socket) else 0

    def writeSomeData(self, data: bytes) -> int | error.ConnectionLost:  # noqa: N802 (Twisted's name)
        """Write as much as the socket accepts; a transient error is treated as a full socket."""
        try:
            sent = self.socket.send(data)
        except OSError as problem:
            number = problem.errno or 0
            return 0 if number in NOT_READY or self._is_transient(number) else main.CONNECTION_LOST
        self._failing_since = None
        return sent

    def set_no_delay(self) -> None:
        """Send small writes at once (TCP_NODELAY); if the option cannot be set, the socket is used as is."""
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def resumeProducing(self) -> None:
        """Resume reading after a pause."""
        self.reading_since = now()
        super().resumeProducing()

    def read_delay(self, moment: float) -> float:
        """Return how long the last received bytes waited to be read, in seconds; 0 if unknown.

        The time for which reading was paused does not count.
        """
        return moment - max(self.arrived, self.reading_since) if self.arrived else 0.0

    def write(self, data: bytes) -> None:
        """Write immediately what the socket accepts, and queue the rest."""
        queued = self._tempDataBuffer or self.dataBuffer
        if self.connected and not (queued or self._writeDisconnected or self._aborting):
            try:
                sent = self.socket.send(data)
            except OSError:
                sent = 0  # full, or lost: the queued write gets the same error and reports it
            if sent == len(data):
                return
            data = data[sent:]
        super().write(data)

    def unsent(self) -> int:
        """Return the number of bytes that the socket has not accepted yet."""
        return len(self.dataBuffer) - self.offset + self._tempDataLen


class TimestampedServer(TimestampedConnection, tcp.Server):
    """An accepted connection."""

    def __init__(
        self,
        connected: socket.socket,
        protocol: IProtocol,
        client: tuple[object, ...],
        server: tcp.Port,
        session: int,
        reactor: Reactor,
    ) -> None:
        super().__init__(connected, protocol, client, server, session, reactor)
        self._start_timestamps()
        # Data may have arrived before the accept, while the connection waited in the backlog.
        self._read_at -= seconds_since_received(self.socket)


class TimestampedClient(TimestampedConnection, tcp.Client):
    """An opened connection."""

    def _connectDone(self) -> None:
        self._start_timestamps()
        super()._connectDone()

    def connectionLost(self, reason: Failure) -> None:
        """Report the loss, and drop the connector, which refers to this transport.

        Without this reference cycle, a closed connection and its protocol are freed at once.
        """
        super().connectionLost(reason)
        if hasattr(self, "connector"):  # a connection that was never established has dropped it already
            del self.connector
