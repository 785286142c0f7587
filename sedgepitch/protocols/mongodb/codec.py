"""Messages of the MongoDB wire protocol as values: parse and build, no input or output.

Rule of this file: nothing here knows what a command means. Bodies stay bytes; only the framing, the flags,
the checksum and compression are understood. Sources: the OP_MSG, OP_COMPRESSED and OP_QUERY pages of the
MongoDB wire protocol specification, and RFC 3720 appendix B.4 for CRC-32C.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass

import google_crc32c
import snappy
import zstandard

from sedgepitch.protocols.mongodb.bsonwalk import BadDocument, document_end

HEADER = struct.Struct("<iiii")
OP_REPLY, OP_QUERY, OP_COMPRESSED, OP_MSG = 1, 2004, 2012, 2013
CHECKSUM, MORE_TO_COME, EXHAUST_ALLOWED = 1, 2, 1 << 16
KNOWN_REQUIRED = CHECKSUM | MORE_TO_COME  # of the first 16 bits, which a reader must understand
MOST_BYTES = 48_000_000  # maxMessageSizeBytes
LEAST_BYTES = 16
COMPRESSORS = {"snappy": 1, "zlib": 2, "zstd": 3}


class WireError(Exception):
    """The peer broke the protocol; the text is one line that says how."""


@dataclass(slots=True, frozen=True)
class Section:
    """A kind 1 section: documents that stand in a named field of the body."""

    name: str
    documents: bytes  # one after another


@dataclass(slots=True)
class Message:
    """An OP_MSG, or an OP_QUERY turned into its like."""

    request_id: int
    response_to: int
    flags: int
    body: bytes
    sections: tuple[Section, ...] = ()
    frame: bytes = b""  # as it came, uncompressed
    end: int = 0  # where its sections end
    legacy: bool = False  # came as OP_QUERY, so it is answered with OP_REPLY
    compressor: int = 0  # the reply may be compressed with the same
    arrived: float = 0.0  # when its last bytes came, 0 where that is not known

    @property
    def raw(self) -> bytes:
        """All sections as they came."""
        return self.frame[20 : self.end]

    @property
    def more_to_come(self) -> bool:
        """Whether the sender wants no reply to this message."""
        return bool(self.flags & MORE_TO_COME)


def _snappy_size(data: bytes) -> int:
    """Return the size that a snappy stream states at its front (a varint)."""
    size = shift = 0
    for byte in data[:5]:
        size |= (byte & 0x7F) << shift
        if byte < 0x80:
            return size
        shift += 7
    raise WireError("compressed message: bad snappy stream")


def _unsnappy(data: bytes, size: int) -> bytes:
    if _snappy_size(data) != size:
        raise WireError("compressed message: sizes differ")
    return bytes(snappy.decompress(data))


def _unzlib(data: bytes, size: int) -> bytes:
    return zlib.decompressobj().decompress(data, size + 1)


def _unzstd(data: bytes, size: int) -> bytes:
    with zstandard.ZstdDecompressor().stream_reader(data) as reader:
        return reader.read(size + 1)


_UNPACK: dict[int, Callable[[bytes, int], bytes]] = {
    0: lambda data, _: data,
    1: _unsnappy,
    2: _unzlib,
    3: _unzstd,
}
_PACK: dict[int, Callable[[bytes], bytes]] = {
    1: lambda data: bytes(snappy.compress(data)),
    2: zlib.compress,
    3: lambda data: zstandard.ZstdCompressor().compress(data),
}


def parse(frame: bytes) -> Message:
    """Parse one whole frame, header included; raises WireError with a one-line text.

    Decompression is bounded: a message that would unpack to more than it states, or to more than
    MOST_BYTES, is refused before it is held in memory.
    """
    _, request_id, response_to, opcode = HEADER.unpack_from(frame)
    compressor = 0
    try:
        if opcode == OP_COMPRESSED:
            opcode, frame, compressor = _decompress(frame, request_id, response_to)
        if opcode == OP_MSG:
            return _parse_msg(frame, request_id, response_to, compressor)
        if opcode == OP_QUERY:
            return _parse_query(frame, request_id, response_to)
    except BadDocument as error:
        raise WireError(str(error)) from None
    except struct.error:
        raise WireError("message is cut off") from None
    raise WireError(f"opcode {opcode} is not supported")


def head(frame: bytes) -> Message | None:
    """Read what a reply needs and no more; None where that is not plain to see, as in a compressed one."""
    _, request_id, response_to, opcode = HEADER.unpack_from(frame)
    if opcode != OP_MSG or len(frame) < 21:
        return None
    flags = int.from_bytes(frame[16:20], "little")
    return None if flags & 0xFFFF & ~KNOWN_REQUIRED else Message(request_id, response_to, flags, b"")


def _decompress(frame: bytes, request_id: int, response_to: int) -> tuple[int, bytes, int]:
    opcode, size, compressor = struct.unpack_from("<iiB", frame, 16)
    if opcode == OP_COMPRESSED:
        raise WireError("compressed message: it holds another one")
    if not 0 <= size <= MOST_BYTES - LEAST_BYTES:
        raise WireError(f"compressed message: {size} bytes is no size it may have")
    if compressor not in _UNPACK:
        raise WireError(f"compressed message: compressor {compressor} is not known")
    try:
        body = _UNPACK[compressor](frame[25:], size)
    except WireError:
        raise
    except Exception:  # each library has errors of its own, and all mean the same here
        raise WireError("compressed message: it does not unpack") from None
    if len(body) != size:
        raise WireError("compressed message: sizes differ")
    return opcode, HEADER.pack(16 + size, request_id, response_to, opcode) + body, compressor


def _parse_msg(frame: bytes, request_id: int, response_to: int, compressor: int) -> Message:
    (flags,) = struct.unpack_from("<I", frame, 16)
    if flags & 0xFFFF & ~KNOWN_REQUIRED:
        raise WireError(f"OP_MSG: required flag bits {flags & 0xFFFF:#x} are not known")
    end = len(frame)
    if flags & CHECKSUM:
        end -= 4
        if end < 20:
            raise WireError("OP_MSG: no room for the checksum")
        if google_crc32c.value(frame[:end]) != struct.unpack_from("<I", frame, end)[0]:
            raise WireError("OP_MSG: the checksum is wrong")
    at, body, sections = 20, None, []
    while at < end:
        kind, at = frame[at], at + 1
        if kind == 0:
            stop = document_end(frame, at)
            if body is not None:
                raise WireError("OP_MSG: more than one body")
            body = frame[at:stop]
        elif kind == 1:
            stop = at + int(struct.unpack_from("<i", frame, at)[0])
            if stop > end or stop < at + 5:
                raise WireError("OP_MSG: a document sequence has a wrong length")
            name_end = frame.find(b"\0", at + 4, stop)
            if name_end < 0:
                raise WireError("OP_MSG: a document sequence has no name")
            spot = name_end + 1
            while spot < stop:
                spot = document_end(frame, spot)
            if spot != stop:
                raise WireError("OP_MSG: a document sequence ends inside a document")
            name = frame[at + 4 : name_end].decode("utf-8", "replace")
            sections.append(Section(name, frame[name_end + 1 : stop]))
        else:
            raise WireError(f"OP_MSG: section kind {kind} is not known")
        if stop > end:
            raise WireError("OP_MSG: a section runs into the checksum")
        at = stop
    if body is None:
        raise WireError("OP_MSG: there is no body")
    return Message(request_id, response_to, flags, body, tuple(sections), frame, end, False, compressor)


def _parse_query(frame: bytes, request_id: int, response_to: int) -> Message:
    name_end = frame.find(b"\0", 20)
    if name_end < 0 or not frame[20:name_end].endswith(b".$cmd"):
        raise WireError("OP_QUERY: only the first hello may come this way")
    at = name_end + 9
    body = frame[at : document_end(frame, at)]
    return Message(request_id, response_to, 0, body, legacy=True)


def build(body: bytes, request_id: int, response_to: int, flags: int = 0) -> bytes:
    """Build an OP_MSG frame with one body; CHECKSUM in flags puts the checksum behind it."""
    return build_raw(b"\0" + body, request_id, response_to, flags)


def build_raw(sections: bytes, request_id: int, response_to: int, flags: int = 0) -> bytes:
    """Build an OP_MSG frame from sections that are bytes already."""
    size = 20 + len(sections) + (4 if flags & CHECKSUM else 0)
    frame = HEADER.pack(size, request_id, response_to, OP_MSG) + struct.pack("<I", flags) + sections
    return frame + struct.pack("<I", google_crc32c.value(frame)) if flags & CHECKSUM else frame


def build_reply(body: bytes, request_id: int, response_to: int) -> bytes:
    """Build the OP_REPLY that answers an OP_QUERY hello."""
    head = HEADER.pack(36 + len(body), request_id, response_to, OP_REPLY)
    return head + struct.pack("<iqii", 8, 0, 0, 1) + body


def compress(frame: bytes, compressor: int) -> bytes:
    """Return the frame as an OP_COMPRESSED one; 0 leaves it alone."""
    if compressor not in _PACK:
        return frame
    _, request_id, response_to, opcode = HEADER.unpack_from(frame)
    packed = _PACK[compressor](frame[16:])
    head = HEADER.pack(25 + len(packed), request_id, response_to, OP_COMPRESSED)
    return head + struct.pack("<iiB", opcode, len(frame) - 16, compressor) + packed
