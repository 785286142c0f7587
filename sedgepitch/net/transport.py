"""Twisted's TCP transports with two differences: reads carry the kernel's time of arrival, writes go at once.

Arrival. A process that was kept from running reads late, and the moment of its read says nothing of how long
the bytes had waited. Linux stamps what a socket receives (SO_TIMESTAMPNS, socket(7)); with the stamp the
wait is known for each read, and a recorder that runs late still records the truth. Stamps are wall time and
are turned into the monotonic clock at once (net/stamps.py, which knows the wall clock's steps); no stamp
counts before the last read of its connection, nor after the present one. Where the system has no stamps the
moment of the read stands in.

Writes. Twisted queues each write until the loop reports the descriptor writable, a turn later: an answer
decided now would wait for all that the next turn reads. Here a write with nothing queued before it goes to
the socket at once, and only the rest that the socket does not take is queued, with Twisted's back-pressure.

Resets. uvloop's poll handle closes itself for good when a descriptor reports an error, after running the
read callback once (uvloop/handles/poll.pyx, `_fatal_error`). Where data came before the reset, that one read
takes the data, so nobody is told of the reset, the descriptor is never looked at again, and the next write
raises "the handler is closed". Therefore each read also asks the socket for a pending error, and ends the
connection on one.
"""

from __future__ import annotations

import errno
import os
import select
import socket
import struct
import time
from typing import Any

from twisted.internet import error, main, tcp

from sedgepitch.net.stamps import Stamps

SO_TIMESTAMPNS = 35  # asm-generic/socket.h; Python has no name for it
_STAMP = struct.Struct("@qq")
# struct tcp_info (linux/tcp.h): eight bytes of small fields, then 32-bit counters, of which
# tcpi_last_data_recv (ms) is the twelfth.
_LAST_DATA_RECEIVED = struct.Struct("@I")
_LAST_DATA_OFFSET = 8 + 11 * 4
_TCP_INFO_SIZE = _LAST_DATA_OFFSET + _LAST_DATA_RECEIVED.size
LONGEST_IN_BACKLOG = 60.0  # s; no client waits longer, so more is no age of a request
_SPACE = socket.CMSG_SPACE(_STAMP.size) if hasattr(socket, "CMSG_SPACE") else 0


NOT_READY = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR})
# Errors that may pass by themselves: no memory at that moment (ENOBUFS, ENOMEM), or what the network said of
# a packet (tcp(7), ip(7)), which Linux also reports while it goes on trying. The call is made again when the
# descriptor is next ready. A connection that has really ended says so then: a read returns its end or
# ECONNRESET, a write EPIPE.
PASSING = NOT_READY | {
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.EHOSTDOWN,
    errno.ENETDOWN,
}
PASSING_WITHIN = 1.0  # s; an error that lasts longer is the connection's end


class ReadFailed(error.ConnectionLost):
    """Reading from a connection failed; `errno` is the system's number."""

    def __init__(self, number: int) -> None:
        super().__init__(f"read failed: {os.strerror(number)}")
        self.errno = number


class SocketFailed(error.ConnectionLost):
    """The socket reported an error that no read returned; `errno` is the system's number."""

    def __init__(self, number: int) -> None:
        super().__init__(f"socket error: {os.strerror(number)}")
        self.errno = number


now = time.monotonic
_stamps = Stamps()  # the process has one wall clock


class _Stamped(tcp.Connection):
    """The differences, for accepted and for opened connections alike.

    `arrived` is when the bytes that `dataReceived` is being given came, and `opened_at` when the connection
    was set up here, in monotonic seconds. Bytes may have come before that, while it waited in the backlog;
    that wait is the request's, but says nothing of how late this process reads.
    """

    arrived = 0.0
    opened_at = 0.0
    _read_at = 0.0
    _stamps = False
    _failing_since: float | None = None  # the first of the passing errors in a row

    def _stamp_reads(self) -> None:
        self._read_at = self.opened_at = now()
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            self._stamps = bool(_SPACE)
        except OSError:
            self._stamps = False

    def doRead(self) -> Any:
        """Read once; returns the error that ends the connection, if one does."""
        try:
            data, extra = self._receive()
        except OSError as problem:
            return self._read_failed(problem.errno or 0)
        self._failing_since = None
        if not data:
            return main.CONNECTION_DONE
        moment = now()
        arrived = moment
        for level, kind, stamp in extra:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS:
                seconds, nanos = _STAMP.unpack(stamp)
                arrived = max(self._read_at, _stamps.arrived(seconds + nanos * 1e-9, time.time(), moment))
        if len(data) < self.bufferSize:
            self._read_at = moment  # what comes next came after this; a full read may have left some behind
        self.arrived = arrived
        self.protocol.dataReceived(data)  # type: ignore[call-arg,misc]
        # Guards against a reset that hides behind data (above). May hurt: one more system call a read.
        pending = self._pending_error() if self.connected else 0
        return SocketFailed(pending) if pending else None

    def _receive(self) -> tuple[bytes, Any]:
        """Read; what fails for another reason than that nothing is there is tried once more at once."""
        try:
            return self._receive_once()
        except OSError as problem:
            if problem.errno in NOT_READY:
                raise
        return self._receive_once()

    def _receive_once(self) -> tuple[bytes, Any]:
        if not self._stamps:
            return self.socket.recv(self.bufferSize), []
        data, extra, _, _ = self.socket.recvmsg(self.bufferSize, _SPACE)
        return data, extra

    def _read_failed(self, number: int) -> ReadFailed | None:
        """Return what ends the connection, None where it may go on."""
        if number in NOT_READY:
            self._failing_since = None
            return None
        return None if self._may_pass(number) else ReadFailed(number)

    def _may_pass(self, number: int) -> bool:
        """Whether an error is one that passes, and has not lasted for too long."""
        if number not in PASSING:
            return False
        moment = now()
        if self._failing_since is None:
            self._failing_since = moment
        return moment - self._failing_since < PASSING_WITHIN

    def _pending_error(self) -> int:
        """Return the socket's pending errno, 0 where there is none or it cannot be asked for now."""
        try:
            number = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:
            return 0
        return number if number and not self._is_open() else 0

    def _is_open(self) -> bool:
        """Whether the connection has nothing to read and no end, whatever error was pending."""
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def writeSomeData(self, data: bytes) -> Any:  # noqa: N802 (Twisted's name)
        """Write what the socket takes; a passing error is the same as a full socket."""
        try:
            taken = self.socket.send(data)
        except OSError as problem:
            number = problem.errno or 0
            return 0 if number in NOT_READY or self._may_pass(number) else main.CONNECTION_LOST
        self._failing_since = None
        return taken

    def set_no_delay(self) -> None:
        """Have small writes sent at once (TCP_NODELAY); a socket that refuses is used as it is."""
        try:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass

    def read_delay(self, moment: float) -> float:
        """Return for how long the bytes at hand waited for this process's read, in s; 0 where unknown."""
        return moment - max(self.arrived, self.opened_at) if self.arrived else 0.0

    def write(self, data: bytes) -> None:
        """Write at once what the socket takes, and queue the rest."""
        if self.connected and not (
            self._tempDataBuffer or self.dataBuffer or self._writeDisconnected or self._aborting
        ):
            try:
                taken = self.socket.send(data)
            except OSError:
                taken = 0  # full, or lost: the queued write meets the same and tells it in its own turn
            if taken == len(data):
                return
            data = data[taken:]
        super().write(data)

    def unsent(self) -> int:
        """How many bytes the socket has not taken yet."""
        return len(self.dataBuffer) - self.offset + self._tempDataLen


def seconds_since_received(connected: socket.socket) -> float:
    """Return how long ago a TCP connection last received data, or was established where none has come.

    By the kernel's own clock, which no step of the wall clock moves (tcp(7), TCP_INFO; a few milliseconds of
    resolution). 0 where the system does not tell.
    """
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE)
    except OSError:
        return 0.0
    if len(info) < _TCP_INFO_SIZE:
        return 0.0
    (milliseconds,) = _LAST_DATA_RECEIVED.unpack_from(info, _LAST_DATA_OFFSET)
    return min(milliseconds / 1000.0, LONGEST_IN_BACKLOG)


class StampedServer(_Stamped, tcp.Server):
    """An accepted connection."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self._stamp_reads()
        # What came while the connection waited in the backlog came before it was accepted.
        self._read_at -= seconds_since_received(self.socket)


class StampedClient(_Stamped, tcp.Client):
    """An opened connection."""

    def _connectDone(self) -> None:
        self._stamp_reads()
        super()._connectDone()


def left(opened: Any) -> bool:
    """Whether the peer of an open connection has ended it, though what it sent before lies unread.

    A connection that is not read does not show its end otherwise: it stands behind the bytes.
    """
    held = getattr(opened, "socket", None)
    if held is None or held.fileno() < 0:
        return bool(getattr(opened, "left", False))
    asked = select.poll()
    asked.register(held.fileno(), select.POLLRDHUP)
    try:
        return bool(asked.poll(0))
    except OSError:  # not known now: a client is served until it is known to have left
        return False


def quiet(opened: Any) -> bool:
    """Whether nothing waits to be read on an open connection: no bytes, no end, no error."""
    if getattr(opened, "disconnecting", False) or not getattr(opened, "connected", True):
        return False
    held = getattr(opened, "socket", None)
    if held is None:
        return True
    try:
        held.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
