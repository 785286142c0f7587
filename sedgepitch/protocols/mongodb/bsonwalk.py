"""Look into a BSON document without decoding it, and splice single values.

A walk reads type and name of each element and jumps over its value by the lengths that BSON carries, so
finding one field of a large reply costs the number of fields before it, not their bytes.
Source: bsonspec.org, version 1.1.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

INT32, INT64, DOCUMENT, ARRAY, TIMESTAMP, STRING, BOOL, DOUBLE = (
    0x10,
    0x12,
    0x03,
    0x04,
    0x11,
    0x02,
    0x08,
    0x01,
)
_FIXED = {0x01: 8, 0x06: 0, 0x07: 12, 0x08: 1, 0x09: 8, 0x0A: 0, 0x10: 4, 0x11: 8, 0x12: 8, 0x13: 16,
          0x7F: 0, 0xFF: 0}  # fmt: skip
_INT = struct.Struct("<i")
_LONG = struct.Struct("<q")


class BadDocument(ValueError):
    """The bytes are not a BSON document; the text says where."""


class Element(NamedTuple):
    """One element: its type code, name, and where its value starts and ends in the buffer."""

    kind: int
    name: bytes
    start: int
    end: int


def document_end(buf: bytes, offset: int) -> int:
    """Return where the document at offset ends; raise BadDocument where its length cannot be."""
    if offset + 5 > len(buf):
        raise BadDocument(f"document at byte {offset} is cut off")
    end = offset + int(_INT.unpack_from(buf, offset)[0])
    if end < offset + 5 or end > len(buf) or buf[end - 1]:
        raise BadDocument(f"document at byte {offset} has a wrong length")
    return end


def _value_end(buf: bytes, kind: int, at: int, stop: int) -> int:
    if (size := _FIXED.get(kind)) is not None:
        return at + size
    if kind in (DOCUMENT, ARRAY):
        return document_end(buf, at)
    if kind == 0x0B:  # a regular expression: two cstrings
        first = buf.find(b"\0", at, stop)
        second = buf.find(b"\0", first + 1, stop) if first >= 0 else -1
        if second < 0:
            raise BadDocument(f"value at byte {at} is not ended")
        return second + 1
    if at + 4 > stop:
        raise BadDocument(f"value at byte {at} is cut off")
    length = _INT.unpack_from(buf, at)[0]
    if length < 0:
        raise BadDocument(f"value at byte {at} has a negative length")
    if kind in (STRING, 0x0D, 0x0E):
        return at + 4 + int(length)
    if kind == 0x05:
        return at + 5 + int(length)
    if kind == 0x0C:
        return at + 16 + int(length)
    if kind == 0x0F:
        return at + int(length)
    raise BadDocument(f"value at byte {at} has the unknown type {kind:#x}")


def elements(buf: bytes, offset: int = 0) -> list[Element]:
    """Return the elements of the document at offset; raises BadDocument where it is broken."""
    stop, at = document_end(buf, offset) - 1, offset + 4
    out: list[Element] = []
    new, find_end, fixed = tuple.__new__, buf.find, _FIXED
    while at < stop:
        kind = buf[at]
        name_end = find_end(b"\0", at + 1, stop)
        if name_end < 0:
            raise BadDocument(f"element at byte {at} is not ended")
        size = fixed.get(kind)
        start = name_end + 1
        end = start + size if size is not None else _value_end(buf, kind, start, stop)
        if end > stop:
            raise BadDocument(f"element at byte {at} runs past its document")
        out.append(new(Element, (kind, buf[at + 1 : name_end], start, end)))
        at = end
    return out


def find(buf: bytes, name: bytes, offset: int = 0) -> Element | None:
    """Return the first element of that name in the document at offset, or None."""
    return next((element for element in elements(buf, offset) if element.name == name), None)


def number(buf: bytes, element: Element | None) -> float | None:
    """Return a numeric or boolean value, None where it is neither."""
    if element is None:
        return None
    if element.kind == INT32:
        return int(_INT.unpack_from(buf, element.start)[0])
    if element.kind == INT64:
        return int(_LONG.unpack_from(buf, element.start)[0])
    if element.kind == DOUBLE:
        return float(struct.unpack_from("<d", buf, element.start)[0])
    return bool(buf[element.start]) if element.kind == BOOL else None


def text(buf: bytes, element: Element | None) -> str | None:
    """Return a string value, None where it is not one."""
    if element is None or element.kind != STRING:
        return None
    return buf[element.start + 4 : element.end - 1].decode("utf-8", "replace")


def timestamp(buf: bytes, element: Element | None) -> tuple[int, int] | None:
    """Return a BSON timestamp as (seconds, increment), None where it is not one."""
    if element is None or element.kind != TIMESTAMP:
        return None
    increment, seconds = struct.unpack_from("<II", buf, element.start)
    return seconds, increment


def replace_int64(buf: bytes, element: Element, value: int) -> bytes:
    """Return the buffer with one 64-bit integer replaced in place."""
    return buf[: element.start] + _LONG.pack(value) + buf[element.end :]


def append(document: bytes, element: bytes) -> bytes:
    """Return the document with one encoded element put at its end."""
    return _INT.pack(len(document) + len(element)) + document[4:-1] + element + b"\0"
