"""Frames of the MongoDB wire protocol, for Twisted: a little-endian length that counts itself.

The like of ``twisted.protocols.basic.IntNStringReceiver`` (whose lengths do not count themselves): bytes in
any pieces, whole frames out, a limit on their length, and producers that can be paused between two frames.
"""

from __future__ import annotations

import struct
from collections import deque
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.protocols.basic import _PauseableMixin

from sedgepitch.protocols.mongodb.codec import LEAST_BYTES, MOST_BYTES

_LENGTH = struct.Struct("<i")


class FrameReceiver(Protocol, _PauseableMixin):
    """Cut the stream into frames; what a subclass does with one stands in `frame_received`."""

    most_bytes = MOST_BYTES
    transport: Any

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._held = 0
        self._want = 4
        self._came: deque[tuple[int, float]] = deque()  # of the held bytes: how many came when
        self.since = 0.0  # when the first byte of the present frame came; 0 where the transport does not say
        self.broken = False

    def frame_received(self, frame: bytes) -> None:
        """Take one whole frame, header included."""
        raise NotImplementedError

    def length_refused(self, length: int) -> None:
        """A length that cannot be: by default the connection ends."""
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Hand on what is whole. Pieces are joined once a frame is there, not at each arrival."""
        if self.broken:
            return
        if data:
            self._chunks.append(data)
            self._held += len(data)
            self._came.append((len(data), getattr(self.transport, "arrived", 0.0)))
        if not self._held or self._held < self._want or self.paused:
            return
        buf = b"".join(self._chunks) if len(self._chunks) > 1 else self._chunks[0]
        at, size = 0, len(buf)
        while size - at >= 4 and not self.paused and not self.broken:
            length = _LENGTH.unpack_from(buf, at)[0]
            if not LEAST_BYTES <= length <= self.most_bytes:
                self.broken = True
                self._chunks, self._held = [], 0
                self.length_refused(length)
                return
            if size - at < length:
                self._want = length
                break
            self._want = 4
            at += length
            self.since = self._take(length)
            self.frame_received(buf[at - length : at])
        rest = buf[at:]
        self._chunks, self._held = [rest] if rest else [], len(rest)

    def _take(self, count: int) -> float:
        """Let that many bytes go from the account of arrivals; returns when the first of them came."""
        came = self._came
        first = came[0][1]
        while count:
            size, at = came.popleft()
            if size > count:
                came.appendleft((size - count, at))
                break
            count -= size
        return first

    def resumeProducing(self) -> None:
        """Go on: frames that are already here first."""
        super().resumeProducing()
        if self._held:
            self._want = 4
            self.dataReceived(b"")
