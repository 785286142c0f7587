"""MongoDB wire protocol framing for Twisted: frames start with a little-endian length that includes itself.

Like ``twisted.protocols.basic.IntNStringReceiver`` (whose length prefix excludes itself), `FrameReceiver`
reassembles frames from chunks of any size, bounds their length, and can pause between two frames.
"""

from __future__ import annotations

import struct
from collections import deque
from typing import Any

from twisted.internet.protocol import Protocol

from sedgepitch.protocols.common.transports import arrival_time
from sedgepitch.protocols.mongodb.codec import MESSAGE_BYTES_MAX, MESSAGE_BYTES_MIN

ARRIVALS_MAX = 256  # reads of one connection whose time is kept; later ones count as the last of these
_LENGTH = struct.Struct("<i")


class FrameReceiver(Protocol):
    """Split the stream into frames; a subclass handles each of them in `frame_received`."""

    frame_bytes_max = MESSAGE_BYTES_MAX
    transport: Any

    def __init__(self) -> None:
        """Begin with an empty buffer."""
        self.buffered = 0  # bytes that have not been delivered in a frame yet
        self.paused = False  # no frames are delivered
        self.broken = False  # later bytes are ignored
        self.frame_since = 0.0  # arrival of the current frame's first byte, monotonic s; 0: unknown
        self._chunks: list[bytes | bytearray] = []  # the first read, and all later ones together
        self._bytes_needed = _LENGTH.size  # below this many bytes no frame can be complete
        self._arrivals: deque[tuple[int, float]] = deque()  # buffered reads: size, arrival time

    def frame_received(self, frame: bytes) -> None:
        """Handle one complete frame, including its header."""
        raise NotImplementedError

    def length_refused(self, length: int) -> None:  # noqa: ARG002  # for subclasses
        """Close the connection on a length out of bounds: the start of the next frame is unknown."""
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Buffer bytes and deliver complete frames. Chunks are joined only once a frame is complete."""
        if self.broken:
            return
        if data:
            self._append(data)
        self._deliver_frames()

    def _append(self, data: bytes) -> None:
        """Buffer received bytes. A record for each read would take far more memory than single bytes do."""
        self.buffered += len(data)
        if self._chunks and isinstance(self._chunks[-1], bytearray):
            self._chunks[-1] += data
        else:
            self._chunks.append(bytearray(data) if self._chunks else data)
        arrived = arrival_time(self.transport)
        if len(self._arrivals) < ARRIVALS_MAX:
            self._arrivals.append((len(data), arrived))
        else:
            size, at = self._arrivals[-1]
            self._arrivals[-1] = (size + len(data), at)

    def resume_frames(self) -> None:
        """End the pause, and deliver frames that are already buffered."""
        self.paused = False
        if self.buffered and not self.broken:
            self._bytes_needed = _LENGTH.size
            self._deliver_frames()

    def _deliver_frames(self) -> None:
        if not self.buffered or self.buffered < self._bytes_needed or self.paused:
            return
        buffer = b"".join(self._chunks)  # one chunk of bytes is not copied
        at = 0
        size = len(buffer)
        while size - at >= _LENGTH.size and not self.paused and not self.broken:
            length = _LENGTH.unpack_from(buffer, at)[0]
            if not MESSAGE_BYTES_MIN <= length <= self.frame_bytes_max:
                self._reject_length(length)
                return
            if size - at < length:
                self._bytes_needed = length
                break
            self._bytes_needed = _LENGTH.size
            at += length
            self.frame_since = self._pop_arrivals(length)
            self.frame_received(buffer[at - length : at])
        rest = buffer[at:]
        self._chunks = [rest] if rest else []
        self.buffered = len(rest)

    def discard_buffer(self) -> None:
        """Drop all buffered bytes and ignore later ones."""
        self.broken = True
        self._chunks = []
        self.buffered = 0
        self._arrivals.clear()

    def _reject_length(self, length: int) -> None:
        self.discard_buffer()
        self.length_refused(length)

    def _pop_arrivals(self, count: int) -> float:
        """Remove the arrival times of the next `count` bytes and return that of the first byte."""
        arrivals = self._arrivals
        first = arrivals[0][1]
        while count:
            size, at = arrivals.popleft()
            if size > count:
                arrivals.appendleft((size - count, at))
                break
            count -= size
        return first
