"""Read elements of a BSON document without decoding it, and replace or append single values.

A walk reads the type and name of each element and skips its value using the lengths in the BSON encoding. The
cost of finding a field therefore depends on the number of fields before it, not on their size.
Source: bsonspec.org, version 1.1.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from sedgepitch.errors import SedgepitchError

# Element types.
DOUBLE = 0x01
STRING = 0x02
DOCUMENT = 0x03
ARRAY = 0x04
BINARY = 0x05
UNDEFINED = 0x06
OBJECT_ID = 0x07
BOOL = 0x08
DATETIME = 0x09
NULL = 0x0A
REGEX = 0x0B
DB_POINTER = 0x0C
JAVASCRIPT = 0x0D
SYMBOL = 0x0E
SCOPED_JAVASCRIPT = 0x0F
INT32 = 0x10
TIMESTAMP = 0x11
INT64 = 0x12
DECIMAL128 = 0x13
MAX_KEY = 0x7F
MIN_KEY = 0xFF

_FIXED_BYTES = {
    DOUBLE: 8,
    UNDEFINED: 0,
    OBJECT_ID: 12,
    BOOL: 1,
    DATETIME: 8,
    NULL: 0,
    INT32: 4,
    TIMESTAMP: 8,
    INT64: 8,
    DECIMAL128: 16,
    MAX_KEY: 0,
    MIN_KEY: 0,
}
# Types whose value begins with a length prefix: the number of bytes of the value that the length excludes.
_BYTES_BEYOND_LENGTH = {
    STRING: 4,
    JAVASCRIPT: 4,
    SYMBOL: 4,
    BINARY: 5,  # length and subtype
    DB_POINTER: 16,  # length and object id
    SCOPED_JAVASCRIPT: 0,  # the length includes the prefix itself
}
ELEMENTS_MAX = 10_000  # of a command, and of those parts of it that are walked
_DOCUMENT_BYTES_MIN = 5  # length prefix and terminating zero byte
_LENGTH_BYTES = 4
_INT32 = struct.Struct("<i")
_INT64 = struct.Struct("<q")
_DOUBLE = struct.Struct("<d")
_TIMESTAMP = struct.Struct("<II")


class MalformedDocument(SedgepitchError, ValueError):
    """The bytes are not a valid BSON document; the text gives the byte offset of the error."""


class Element(NamedTuple):
    """One element: type code, name, and the start and end offsets of its value in the buffer."""

    kind: int
    name: bytes
    start: int
    end: int


def document_end(buf: bytes, offset: int) -> int:
    """Return the end offset of a document; raises MalformedDocument if its length is invalid."""
    min_end = offset + _DOCUMENT_BYTES_MIN
    if min_end > len(buf):
        raise MalformedDocument(f"document at byte {offset} is cut off")
    end = offset + int(_INT32.unpack_from(buf, offset)[0])
    if end < min_end or end > len(buf) or buf[end - 1]:
        raise MalformedDocument(f"document at byte {offset} has a wrong length")
    return end


def _value_end(buf: bytes, kind: int, at: int, stop: int) -> int:
    size = _FIXED_BYTES.get(kind)
    if size is not None:
        return at + size
    if kind in (DOCUMENT, ARRAY):
        return document_end(buf, at)
    if kind == REGEX:
        return _regex_end(buf, at, stop)
    if at + _LENGTH_BYTES > stop:
        raise MalformedDocument(f"value at byte {at} is cut off")
    length = int(_INT32.unpack_from(buf, at)[0])
    if length < 0:
        raise MalformedDocument(f"value at byte {at} has a negative length")
    beyond = _BYTES_BEYOND_LENGTH.get(kind)
    if beyond is None:
        raise MalformedDocument(f"value at byte {at} has the unknown type {kind:#x}")
    return at + beyond + length


def _regex_end(buf: bytes, at: int, stop: int) -> int:
    """Return the end offset of a regular expression: pattern and options, each terminated by a zero byte."""
    pattern_end = buf.find(b"\0", at, stop)
    options_end = buf.find(b"\0", pattern_end + 1, stop) if pattern_end >= 0 else -1
    if options_end < 0:
        raise MalformedDocument(f"value at byte {at} is not ended")
    return options_end + 1


def elements(buf: bytes, offset: int = 0) -> list[Element]:
    """Return the elements of the document at `offset`.

    Raises MalformedDocument if it is invalid or has more than ELEMENTS_MAX: an element takes three bytes, and
    its record some hundred.
    """
    stop = document_end(buf, offset) - 1
    at = offset + _LENGTH_BYTES
    found: list[Element] = []
    new = tuple.__new__  # the named tuple's own constructor takes twice as long
    find_end = buf.find
    fixed_bytes = _FIXED_BYTES
    while at < stop:
        kind = buf[at]
        name_end = find_end(b"\0", at + 1, stop)
        if name_end < 0:
            raise MalformedDocument(f"element at byte {at} is not ended")
        size = fixed_bytes.get(kind)
        start = name_end + 1
        end = start + size if size is not None else _value_end(buf, kind, start, stop)
        if end > stop:
            raise MalformedDocument(f"element at byte {at} runs past its document")
        found.append(new(Element, (kind, buf[at + 1 : name_end], start, end)))
        at = end
        if len(found) > ELEMENTS_MAX:
            raise MalformedDocument(f"document at byte {offset} has more than {ELEMENTS_MAX} elements")
    return found


def find(buf: bytes, name: bytes, offset: int = 0) -> Element | None:
    """Return the first element with this name in the document at `offset`, or None."""
    return next((element for element in elements(buf, offset) if element.name == name), None)


def number(buf: bytes, element: Element | None) -> float | None:
    """Return the value of an int32, int64, double or boolean; None for any other element or none."""
    if element is None:
        return None
    if element.kind == INT32:
        return int(_INT32.unpack_from(buf, element.start)[0])
    if element.kind == INT64:
        return int(_INT64.unpack_from(buf, element.start)[0])
    if element.kind == DOUBLE:
        return float(_DOUBLE.unpack_from(buf, element.start)[0])
    return bool(buf[element.start]) if element.kind == BOOL else None


def text(buf: bytes, element: Element | None) -> str | None:
    """Return a string value, None if the element is not a string."""
    if element is None or element.kind != STRING:
        return None
    return buf[element.start + 4 : element.end - 1].decode("utf-8", "replace")


def timestamp(buf: bytes, element: Element | None) -> tuple[int, int] | None:
    """Return a BSON timestamp as (seconds, increment), None if the element is not one."""
    if element is None or element.kind != TIMESTAMP:
        return None
    increment, seconds = _TIMESTAMP.unpack_from(buf, element.start)
    return seconds, increment


def replace_int64(buf: bytes, element: Element, value: int) -> bytes:
    """Return the buffer with the value of a 64-bit integer element replaced."""
    return buf[: element.start] + _INT64.pack(value) + buf[element.end :]


def append(document: bytes, element: bytes) -> bytes:
    """Return the document with one encoded element appended."""
    return _INT32.pack(len(document) + len(element)) + document[_LENGTH_BYTES:-1] + element + b"\0"
