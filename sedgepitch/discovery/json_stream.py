"""Splits a byte stream into JSON objects, for any white space and any division into chunks.

Incremental JSON parsers build values while reading. Splitting first allows a size limit per object, and an
invalid object causes a single error.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from sedgepitch.discovery.errors import MalformedListError

MAX_OBJECT_BYTES = 4 * 1024 * 1024


class JsonObjectSplitter:
    """Finds the end of each object from braces, quotes and backslashes; examines each byte once."""

    _INSIDE = re.compile(rb'["{}]')
    _STRING = re.compile(rb'["\\\\]')
    _OUTSIDE = re.compile(rb"[^ \t\r\n]")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._depth = 0  # nesting depth of braces
        self._in_string = False
        self._escaped = False  # whether the next byte follows a backslash in a string

    @property
    def incomplete(self) -> bool:
        """Return whether the last object fed is incomplete."""
        return self._depth > 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Append received bytes; yield the objects that they complete.

        Raises MalformedListError for anything but white space between objects, and for an object of more than
        MAX_OBJECT_BYTES.
        """
        start = position = 0
        while position < len(data):
            if not self._depth:
                first = self._OUTSIDE.search(data, position)
                if first is None:
                    return
                start = first.start()
                self._open(data[start : start + 1])
                position = start + 1
            elif self._escaped:
                self._escaped = False
                position += 1
            else:
                pattern = self._STRING if self._in_string else self._INSIDE
                found = pattern.search(data, position)
                if found is None:
                    break
                position = found.end()
                self._track(found.group())
                if not self._depth:
                    self._append(data[start:position])
                    yield self._take_buffer()
        if self._depth:
            self._append(data[start:])

    def _open(self, byte: bytes) -> None:
        if byte != b"{":
            raise MalformedListError("discovery: not JSON objects")
        self._depth = 1

    def _track(self, byte: bytes) -> None:
        if byte == b'"':
            self._in_string = not self._in_string
        elif byte == b"\\":
            self._escaped = True
        else:
            self._depth += 1 if byte == b"{" else -1

    def _append(self, part: bytes) -> None:
        self._buffer += part
        if len(self._buffer) > MAX_OBJECT_BYTES:
            raise MalformedListError(f"discovery: an object of more than {MAX_OBJECT_BYTES} bytes")

    def _take_buffer(self) -> bytes:
        complete = bytes(self._buffer)
        self._buffer = bytearray()
        return complete
