"""Queries of the kernel about a connected socket, beyond what Twisted reports."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import termios

# struct tcp_info (linux/tcp.h): eight bytes of small fields, then 32-bit counters, of which
# tcpi_last_data_recv (ms) is the twelfth.
_LAST_DATA_RECEIVED = struct.Struct("@I")
_LAST_DATA_OFFSET = 8 + 11 * 4
_TCP_INFO_SIZE = _LAST_DATA_OFFSET + _LAST_DATA_RECEIVED.size
_INT = struct.Struct("@i")
_MS_PER_S = 1000.0
MAX_BACKLOG_WAIT_S = 60.0  # no client waits longer, so a larger value cannot be the age of a request


def seconds_since_received(connected: socket.socket) -> float:
    """Return the seconds since a TCP connection last received data, or since its set-up if it has none.

    Measured by the kernel's own clock, which steps of the wall clock do not affect (tcp(7), TCP_INFO; with a
    resolution of a few milliseconds). 0 if the system does not provide it.
    """
    try:
        info = connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE)
    except OSError:
        return 0.0
    if len(info) < _TCP_INFO_SIZE:
        return 0.0
    milliseconds: int
    (milliseconds,) = _LAST_DATA_RECEIVED.unpack_from(info, _LAST_DATA_OFFSET)
    return min(milliseconds / _MS_PER_S, MAX_BACKLOG_WAIT_S)


def has_nothing_unread(connected: socket.socket) -> bool:
    """Return whether a socket is open with nothing to read: no data, no end of file, no error."""
    try:
        connected.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def unread_bytes(transport: object) -> int:
    """Return the number of received bytes that were not read yet, 0 if unknown."""
    connected = getattr(transport, "socket", None)
    if connected is None or connected.fileno() < 0:
        return 0
    try:
        count = fcntl.ioctl(connected.fileno(), termios.FIONREAD, bytes(_INT.size))
    except OSError:
        return 0
    return int(_INT.unpack(count)[0])


def is_open_and_idle(transport: object) -> bool:
    """Return whether a transport is open with nothing to read; True for one without a socket (in tests)."""
    if getattr(transport, "disconnecting", False) or not getattr(transport, "connected", True):
        return False
    connected = getattr(transport, "socket", None)
    return connected is None or has_nothing_unread(connected)


def peer_has_closed(transport: object) -> bool:
    """Return whether the peer has closed its side, even if data that it sent before is still unread.

    The end of a connection that is not being read is not visible otherwise, because it comes after the unread
    data. A transport without a socket (in tests) may report it by its attribute `left`.
    """
    connected = getattr(transport, "socket", None)
    if connected is None or connected.fileno() < 0:
        return bool(getattr(transport, "left", False))
    poller = select.poll()
    poller.register(connected.fileno(), select.POLLRDHUP)
    try:
        return bool(poller.poll(0))
    except OSError:  # unknown: a client is served until it is known to have disconnected
        return False
