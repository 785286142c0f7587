"""Parse and build messages of the MongoDB wire protocol, without I/O.

This module does not interpret commands. Bodies stay bytes; only framing, flags, checksum and compression are
handled. Sources: the OP_MSG, OP_COMPRESSED and OP_QUERY pages of the MongoDB wire protocol specification, and
RFC 3720 appendix B.4 for CRC-32C.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass

import google_crc32c
import snappy
import zstandard

from sedgepitch.errors import SedgepitchError
from sedgepitch.protocols.mongodb.bsonwalk import MalformedDocument, document_end

HEADER = struct.Struct("<iiii")  # length, request id, id responded to, opcode
OP_REPLY = 1
OP_QUERY = 2004
OP_COMPRESSED = 2012
OP_MSG = 2013
CHECKSUM = 1  # flag bits of an OP_MSG
MORE_TO_COME = 2
REQUIRED_FLAGS = 0xFFFF  # a receiver must reject unknown bits among these
UNKNOWN_REQUIRED_FLAGS = REQUIRED_FLAGS & ~(CHECKSUM | MORE_TO_COME)
SECTION_BODY = 0
SECTION_SEQUENCE = 1
MESSAGE_BYTES_MAX = 48_000_000  # maxMessageSizeBytes
MESSAGE_BYTES_MIN = 16  # the header
NO_COMPRESSION = 0
SNAPPY = 1
ZLIB = 2
ZSTD = 3
COMPRESSORS = {"snappy": SNAPPY, "zlib": ZLIB, "zstd": ZSTD}
REQUEST_ID_MAX = 0x7FFFFFFF
WRITE_BATCH_MAX = 100_000  # documents of a sequence; maxWriteBatchSize

_FLAGS = struct.Struct("<I")
_CHECKSUM = struct.Struct("<I")
_LENGTH = struct.Struct("<i")
_COMPRESSED_HEAD = struct.Struct("<iiB")  # original opcode, uncompressed size, compressor
_REPLY_HEAD = struct.Struct("<iqii")  # flags, cursor id, starting from, documents
_SECTIONS_AT = HEADER.size + _FLAGS.size
_COMPRESSED_AT = HEADER.size + _COMPRESSED_HEAD.size
_VARINT_BYTES_MAX = 5
_VARINT_BITS = 0x7F  # payload bits of a byte; the eighth bit is set if more bytes follow
_REPLY_AWAIT_CAPABLE = 8
_QUERY_SKIP_AND_RETURN_BYTES = 8
_SEQUENCE_BYTES_MIN = 5  # length and the terminator of an empty name


class MalformedMessage(SedgepitchError):
    """The other side violated the protocol; the text states how, in one line."""


@dataclass(slots=True, frozen=True)
class Section:
    """A kind 1 section: the documents of a named array field of the body."""

    name: str
    documents: bytes  # concatenated


@dataclass(slots=True)
class Message:
    """An OP_MSG, or an OP_QUERY converted to the same form."""

    request_id: int
    response_to: int
    flags: int
    body: bytes
    sections: tuple[Section, ...] = ()
    frame: bytes = b""  # as received, uncompressed
    end: int = 0  # offset in `frame` at which the sections end
    legacy: bool = False  # received as OP_QUERY, so the reply is an OP_REPLY
    compressor: int = 0  # of the request; the reply uses the same one
    arrived: float = 0.0  # when its last bytes arrived, in monotonic seconds; 0 if unknown

    @property
    def raw(self) -> bytes:
        """Return all sections as received."""
        return self.frame[_SECTIONS_AT : self.end]

    @property
    def more_to_come(self) -> bool:
        """Return whether the sender wants no reply to this message."""
        return bool(self.flags & MORE_TO_COME)


def _snappy_size(data: bytes) -> int:
    """Return the uncompressed size at the head of a snappy stream (a varint)."""
    size = 0
    for index, byte in enumerate(data[:_VARINT_BYTES_MAX]):
        size |= (byte & _VARINT_BITS) << (7 * index)
        if byte <= _VARINT_BITS:
            return size
    raise MalformedMessage("compressed message: bad snappy stream")


def _decompress_snappy(data: bytes, size: int) -> bytes:
    if _snappy_size(data) != size:
        raise MalformedMessage("compressed message: sizes differ")
    return bytes(snappy.decompress(data))


def _decompress_zlib(data: bytes, size: int) -> bytes:
    return zlib.decompressobj().decompress(data, size + 1)


def _decompress_zstd(data: bytes, size: int) -> bytes:
    with zstandard.ZstdDecompressor().stream_reader(data) as reader:
        return reader.read(size + 1)


_DECOMPRESS: dict[int, Callable[[bytes, int], bytes]] = {
    NO_COMPRESSION: lambda data, _: data,
    SNAPPY: _decompress_snappy,
    ZLIB: _decompress_zlib,
    ZSTD: _decompress_zstd,
}
_COMPRESS: dict[int, Callable[[bytes], bytes]] = {
    SNAPPY: lambda data: bytes(snappy.compress(data)),
    ZLIB: zlib.compress,
    ZSTD: lambda data: zstandard.ZstdCompressor().compress(data),
}


def parse(frame: bytes) -> Message:
    """Parse one whole frame, header included; raises MalformedMessage with a one-line text.

    Decompression is bounded: a stated size above MESSAGE_BYTES_MAX is rejected, and at most one byte more
    than the stated size is decompressed.
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
    except MalformedDocument as error:
        raise MalformedMessage(str(error)) from None
    except struct.error:
        raise MalformedMessage("message is cut off") from None
    raise MalformedMessage(f"opcode {opcode} is not supported")


def head(frame: bytes) -> Message | None:
    """Parse only what a reply needs; returns None if the header is not enough, as in a compressed message."""
    _, request_id, response_to, opcode = HEADER.unpack_from(frame)
    if opcode != OP_MSG or len(frame) <= _SECTIONS_AT:
        return None
    flags: int = _FLAGS.unpack_from(frame, HEADER.size)[0]
    return None if flags & UNKNOWN_REQUIRED_FLAGS else Message(request_id, response_to, flags, b"")


def _decompress(frame: bytes, request_id: int, response_to: int) -> tuple[int, bytes, int]:
    opcode, size, compressor = _COMPRESSED_HEAD.unpack_from(frame, HEADER.size)
    if opcode == OP_COMPRESSED:
        raise MalformedMessage("compressed message: it holds another one")
    if not 0 <= size <= MESSAGE_BYTES_MAX - MESSAGE_BYTES_MIN:
        raise MalformedMessage(f"compressed message: {size} bytes is no size it may have")
    if compressor not in _DECOMPRESS:
        raise MalformedMessage(f"compressed message: compressor {compressor} is not known")
    try:
        body = _DECOMPRESS[compressor](frame[_COMPRESSED_AT:], size)
    except MalformedMessage:
        raise
    except Exception:  # each library raises its own types; all mean malformed input
        raise MalformedMessage("compressed message: it does not unpack") from None
    if len(body) != size:
        raise MalformedMessage("compressed message: sizes differ")
    return opcode, HEADER.pack(HEADER.size + size, request_id, response_to, opcode) + body, compressor


def _parse_msg(frame: bytes, request_id: int, response_to: int, compressor: int) -> Message:
    flags: int = _FLAGS.unpack_from(frame, HEADER.size)[0]
    if flags & UNKNOWN_REQUIRED_FLAGS:
        raise MalformedMessage(f"OP_MSG: required flag bits {flags & REQUIRED_FLAGS:#x} are not known")
    end = _checked_end(frame) if flags & CHECKSUM else len(frame)
    at = _SECTIONS_AT
    body: bytes | None = None
    sections: list[Section] = []
    while at < end:
        kind = frame[at]
        at += 1
        if kind == SECTION_BODY:
            stop = document_end(frame, at)
            if body is not None:
                raise MalformedMessage("OP_MSG: more than one body")
            body = frame[at:stop]
        elif kind == SECTION_SEQUENCE:
            section, stop = _parse_sequence(frame, at, end)
            sections.append(section)
        else:
            raise MalformedMessage(f"OP_MSG: section kind {kind} is not known")
        if stop > end:
            raise MalformedMessage("OP_MSG: a section runs into the checksum")
        at = stop
    if body is None:
        raise MalformedMessage("OP_MSG: there is no body")
    return Message(request_id, response_to, flags, body, tuple(sections), frame, end, False, compressor)


def _checked_end(frame: bytes) -> int:
    """Verify the checksum and return the offset at which the sections end."""
    end = len(frame) - _CHECKSUM.size
    if end < _SECTIONS_AT:
        raise MalformedMessage("OP_MSG: no room for the checksum")
    if google_crc32c.value(frame[:end]) != _CHECKSUM.unpack_from(frame, end)[0]:
        raise MalformedMessage("OP_MSG: the checksum is wrong")
    return end


def _parse_sequence(frame: bytes, at: int, end: int) -> tuple[Section, int]:
    """Return the document sequence at offset `at`, and its end offset."""
    stop = at + int(_LENGTH.unpack_from(frame, at)[0])
    if stop > end or stop < at + _SEQUENCE_BYTES_MIN:
        raise MalformedMessage("OP_MSG: a document sequence has a wrong length")
    name_at = at + _LENGTH.size
    name_end = frame.find(b"\0", name_at, stop)
    if name_end < 0:
        raise MalformedMessage("OP_MSG: a document sequence has no name")
    document_at = name_end + 1
    documents = 0
    while document_at < stop:
        document_at = document_end(frame, document_at)
        documents += 1
        if documents > WRITE_BATCH_MAX:
            raise MalformedMessage(f"OP_MSG: a sequence of more than {WRITE_BATCH_MAX} documents")
    if document_at != stop:
        raise MalformedMessage("OP_MSG: a document sequence ends inside a document")
    name = frame[name_at:name_end].decode("utf-8", "replace")
    return Section(name, frame[name_end + 1 : stop]), stop


def _parse_query(frame: bytes, request_id: int, response_to: int) -> Message:
    name_end = frame.find(b"\0", _SECTIONS_AT)
    if name_end < 0 or not frame[_SECTIONS_AT:name_end].endswith(b".$cmd"):
        raise MalformedMessage("OP_QUERY: only the first hello may come this way")
    at = name_end + 1 + _QUERY_SKIP_AND_RETURN_BYTES
    body = frame[at : document_end(frame, at)]
    return Message(request_id, response_to, 0, body, legacy=True)


def build(body: bytes, request_id: int, response_to: int, flags: int = 0) -> bytes:
    """Build an OP_MSG frame with one body; CHECKSUM in `flags` appends the checksum."""
    return build_raw(b"\0" + body, request_id, response_to, flags)


def build_raw(sections: bytes, request_id: int, response_to: int, flags: int = 0) -> bytes:
    """Build an OP_MSG frame from encoded sections."""
    size = _SECTIONS_AT + len(sections) + (_CHECKSUM.size if flags & CHECKSUM else 0)
    frame = HEADER.pack(size, request_id, response_to, OP_MSG) + _FLAGS.pack(flags) + sections
    return frame + _CHECKSUM.pack(google_crc32c.value(frame)) if flags & CHECKSUM else frame


def build_reply(body: bytes, request_id: int, response_to: int) -> bytes:
    """Build the OP_REPLY that answers an OP_QUERY hello."""
    size = HEADER.size + _REPLY_HEAD.size + len(body)
    header = HEADER.pack(size, request_id, response_to, OP_REPLY)
    return header + _REPLY_HEAD.pack(_REPLY_AWAIT_CAPABLE, 0, 0, 1) + body


def compress(frame: bytes, compressor: int) -> bytes:
    """Return the frame as an OP_COMPRESSED one; NO_COMPRESSION returns it unchanged."""
    if compressor not in _COMPRESS:
        return frame
    _, request_id, response_to, opcode = HEADER.unpack_from(frame)
    body = frame[HEADER.size :]
    packed = _COMPRESS[compressor](body)
    header = HEADER.pack(_COMPRESSED_AT + len(packed), request_id, response_to, OP_COMPRESSED)
    return header + _COMPRESSED_HEAD.pack(opcode, len(body), compressor) + packed


def next_request_id(request_id: int) -> int:
    """Return the next request id; ids are positive and wrap around to 1 after REQUEST_ID_MAX."""
    return request_id % REQUEST_ID_MAX + 1
