"""Frames of the MongoDB wire protocol, for Twisted: a little-endian length that counts itself.

Like ``twisted.protocols.basic.IntNStringReceiver``, whose lengths do not count themselves: bytes in any
pieces become whole frames, their length is bounded, and the stream can be paused between two frames.
"""

from __future__ import annotations

import struct
from collections import deque
from typing import Any

from twisted.internet.protocol import Protocol

from sedgepitch.protocols.common.transports import arrival_time
from sedgepitch.protocols.mongodb.codec import MESSAGE_BYTES_MAX, MESSAGE_BYTES_MIN

_LENGTH = struct.Struct("<i")


class FrameReceiver(Protocol):
    """Cuts the stream into frames; what a subclass does with one stands in `frame_received`."""

    frame_bytes_max = MESSAGE_BYTES_MAX
    transport: Any

    def __init__(self) -> None:
        """Begin with an empty buffer."""
        self.buffered = 0  # bytes that are not in a frame handed on yet
        self.paused = False  # frames are kept back
        self.broken = False  # nothing that still comes is read
        self.frame_since = 0.0  # when the first byte of the present frame arrived, in monotonic s; 0: unknown
        self._chunks: list[bytes] = []
        self._want = _LENGTH.size  # bytes without which no frame can be complete
        self._arrivals: deque[tuple[int, float]] = deque()  # of the buffered bytes: how many arrived when

    def frame_received(self, frame: bytes) -> None:
        """Take one whole frame, header included."""
        raise NotImplementedError

    def length_refused(self, length: int) -> None:  # noqa: ARG002  # for subclasses
        """End the connection on a length out of bounds; where the next frame begins cannot be told."""
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Buffer bytes and hand on complete frames. Chunks are joined only once a frame is complete."""
        if self.broken:
            return
        if data:
            self._chunks.append(data)
            self.buffered += len(data)
            self._arrivals.append((len(data), arrival_time(self.transport)))
        self._cut_frames()

    def resume_frames(self) -> None:
        """End the pause: frames that are already buffered come first."""
        self.paused = False
        if self.buffered and not self.broken:
            self._want = _LENGTH.size
            self._cut_frames()

    def _cut_frames(self) -> None:
        if not self.buffered or self.buffered < self._want or self.paused:
            return
        buffer = b"".join(self._chunks) if len(self._chunks) > 1 else self._chunks[0]
        at = 0
        size = len(buffer)
        while size - at >= _LENGTH.size and not self.paused and not self.broken:
            length = _LENGTH.unpack_from(buffer, at)[0]
            if not MESSAGE_BYTES_MIN <= length <= self.frame_bytes_max:
                self._refuse(length)
                return
            if size - at < length:
                self._want = length
                break
            self._want = _LENGTH.size
            at += length
            self.frame_since = self._forget_arrivals(length)
            self.frame_received(buffer[at - length : at])
        rest = buffer[at:]
        self._chunks = [rest] if rest else []
        self.buffered = len(rest)

    def _refuse(self, length: int) -> None:
        self.broken = True
        self._chunks = []
        self.buffered = 0
        self.length_refused(length)

    def _forget_arrivals(self, count: int) -> float:
        """Drop the arrivals of the next `count` bytes; returns when the first of them arrived."""
        arrivals = self._arrivals
        first = arrivals[0][1]
        while count:
            size, at = arrivals.popleft()
            if size > count:
                arrivals.appendleft((size - count, at))
                break
            count -= size
        return first
