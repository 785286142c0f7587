"""The program's log: one event per line on standard error, with a limit of lines per second."""

from __future__ import annotations

import contextlib
import sys
import time
from collections import Counter
from typing import TextIO

MAX_LINES_PER_SECOND = 20
MAX_LINES_PER_KIND = 8  # and second, so that one kind of line leaves room for the others
NEVER_DROPPED = frozenset({"listening", "stopping", "stopped"})
TRACE_VARIABLE = "SEDGEPITCH_TRACE"  # environment variable that enables tracing


class LineLimiter:
    """Limits lines per second; reports the number of dropped lines with the first line of a later second."""

    def __init__(
        self, name: str, sink: TextIO, max_lines_per_second: int, max_lines_per_kind: int | None = None
    ) -> None:
        self.name = name
        self.max_lines_per_kind = max_lines_per_kind or max_lines_per_second
        self.sink = sink
        self.max_lines_per_second = max_lines_per_second
        self._second = 0
        self._lines = 0
        self._dropped = 0
        self._lines_of_kind: Counter[str] = Counter()

    def admit(self, kind: str) -> bool:
        """Count a line; return whether it is within the limits of its kind and of all lines."""
        second = int(time.monotonic())
        if second != self._second:
            if self._dropped:
                self.sink.write(f"{self.name}: {self._dropped} lines dropped\n")
            self._second = second
            self._lines = 0
            self._dropped = 0
            self._lines_of_kind.clear()
        self._lines_of_kind[kind] += 1
        if self._lines >= self.max_lines_per_second or self._lines_of_kind[kind] > self.max_lines_per_kind:
            self._dropped += 1
            return False
        self._lines += 1
        return True


class StructuredLog:
    """Writes events as `time name: event key=value ...`; `tracing` is whether tracing is enabled."""

    def __init__(self, name: str, sink: TextIO | None = None, tracing: bool = False) -> None:
        self.name = name
        self.sink = sink or sys.stderr
        self.tracing = tracing
        self._limiter = LineLimiter(name, self.sink, MAX_LINES_PER_SECOND, MAX_LINES_PER_KIND)

    def log_event(self, event: str, **fields: object) -> None:
        """Write one event; write errors are ignored. Events of one name and `reason` are of one kind.

        The events in NEVER_DROPPED, which mark start and stop of the process, are written despite the limit.
        """
        if not self._limiter.admit(f"{event} {fields.get('reason', '')}") and event not in NEVER_DROPPED:
            return
        values = " ".join(f"{key}={value}" for key, value in fields.items())
        with contextlib.suppress(OSError, ValueError):
            self.sink.write(f"{time.time():.3f} {self.name}: {event} {values}".rstrip() + "\n")
            self.sink.flush()
