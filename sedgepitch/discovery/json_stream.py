"""Splits a byte stream into JSON objects, whatever the white space and wherever the pieces break.

Incremental parsers build values as they go; here one object has a size limit, and one error for its text.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from sedgepitch.discovery.errors import MalformedListError

MAX_OBJECT_BYTES = 4 * 1024 * 1024


class JsonObjectSplitter:
    """Finds the end of each object by its braces, quotes and backslashes; looks at each byte once."""

    _INSIDE = re.compile(rb'["{}]')
    _STRING = re.compile(rb'["\\\\]')
    _OUTSIDE = re.compile(rb"[^ \t\r\n]")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._depth = 0  # of braces
        self._in_string = False
        self._escaped = False  # the next byte is

    @property
    def incomplete(self) -> bool:
        """Whether part of an object has been fed."""
        return self._depth > 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Take bytes; yield the objects that they complete.

        Raises MalformedListError for anything between objects and for one of more than MAX_OBJECT_BYTES.
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
                self._take(found.group())
                if not self._depth:
                    self._append(data[start:position])
                    yield self._take_buffer()
        if self._depth:
            self._append(data[start:])

    def _open(self, byte: bytes) -> None:
        if byte != b"{":
            raise MalformedListError("discovery: not JSON objects")
        self._depth = 1

    def _take(self, byte: bytes) -> None:
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
