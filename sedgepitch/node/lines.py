"""What a driver says of itself: one line an event on standard error, so many a second and no more."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

MOST = 20  # lines a second
TRACE_MOST = 5000  # lines a second of the trace
TRACE_VARIABLE = "SEDGEPITCH_TRACE"


class Lines:
    """The log, and the trace where it is switched on."""

    def __init__(
        self, name: str, sink: TextIO | None = None, most: int = MOST, tracing: bool = False
    ) -> None:
        self.name, self.sink, self.most = name, sink or sys.stderr, most
        self.tracing = tracing  # the trace is switched on
        self.second, self.count, self.dropped = 0, 0, 0

    def _room(self) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            if self.dropped:
                self.sink.write(f"{self.name}: {self.dropped} lines dropped\n")
            self.second, self.count, self.dropped = second, 0, 0
        self.count += 1
        if self.count > self.most:
            self.dropped += 1
            return False
        return True

    def say(self, event: str, **fields: Any) -> None:
        """Write a line; a sink that is gone is no reason to stop."""
        if self._room():
            told = " ".join(f"{key}={value}" for key, value in fields.items())
            try:
                self.sink.write(f"{time.time():.3f} {self.name}: {event} {told}".rstrip() + "\n")
                self.sink.flush()
            except (OSError, ValueError):
                pass


class Trace(Lines):
    """JSON lines of what is decided and what crosses the sockets; off in service."""

    def __init__(self, name: str, sink: TextIO | None = None) -> None:
        super().__init__(name, sink, TRACE_MOST)
        self.opened = 0

    def connection(self, endpoint: int) -> Callable[..., None]:
        """Return what writes down the life of one more connection to a member."""
        self.opened += 1
        number = self.opened

        def note(what: str, **fields: Any) -> None:
            payload = fields.pop("payload", None)
            if payload is not None:
                fields["id"] = getattr(payload, "id", b"probe").decode()
            self.put("socket", what=what, endpoint=endpoint, connection=number, **fields)

        return note

    def put(self, kind: str, **fields: Any) -> None:
        """Write one line."""
        if self._room():
            line = {"trace": kind, "driver": self.name, "at": round(time.monotonic(), 6), **fields}
            try:
                self.sink.write(json.dumps(line, separators=(",", ":"), default=str) + "\n")
            except (OSError, ValueError):
                pass
