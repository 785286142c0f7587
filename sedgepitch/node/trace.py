"""Trace of router events, router actions and endpoint connections, as JSON lines.

Enabled by SEDGEPITCH_TRACE for analysis; disabled in production. Limited to MAX_LINES_PER_SECOND.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import sys
import time
from collections.abc import Callable, Iterable
from enum import Enum
from typing import TextIO

from sedgepitch.node.structured_log import LineLimiter
from sedgepitch.routing import messages
from sedgepitch.routing.router import Router

MAX_LINES_PER_SECOND = 5000
TIME_DIGITS = 6
VALUE_DIGITS = 5


def message_fields(message: object) -> dict[str, object]:
    """Return the fields of a router event or action as JSON-serializable values."""
    assert dataclasses.is_dataclass(message)
    return {field.name: _to_json(getattr(message, field.name)) for field in dataclasses.fields(message)}


def _to_json(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, float):
        return round(value, VALUE_DIGITS)
    if dataclasses.is_dataclass(value):
        return message_fields(value)
    if isinstance(value, (list, tuple)):
        return [_to_json(item) for item in value]
    return value


class TraceWriter:
    """Writes trace lines."""

    def __init__(self, name: str, sink: TextIO | None = None) -> None:
        self.name = name
        self.sink = sink or sys.stderr
        self._limiter = LineLimiter(name, self.sink, MAX_LINES_PER_SECOND)
        self._connections = 0

    def connection(self, endpoint: int) -> Callable[..., None]:
        """Return a function that traces the events of a new connection to an endpoint."""
        self._connections += 1
        number = self._connections

        def record(what: str, **fields: object) -> None:
            payload = fields.pop("payload", None)
            if payload is not None:
                fields["id"] = getattr(payload, "id", b"probe").decode()
            self.write("socket", what=what, endpoint=endpoint, connection=number, **fields)

        return record

    def write(self, kind: str, **fields: object) -> None:
        """Write one line; write errors are ignored."""
        if not self._limiter.admit(kind):
            return
        line = {"trace": kind, "driver": self.name, "at": round(time.monotonic(), TIME_DIGITS), **fields}
        with contextlib.suppress(OSError, ValueError):
            self.sink.write(json.dumps(line, separators=(",", ":"), default=str) + "\n")


class TracedRouter(Router):
    """A router that traces its events and actions, except for timers."""

    def __init__(self, settings: messages.Settings, seed: int, trace: TraceWriter) -> None:
        super().__init__(settings, seed)
        self.trace = trace

    def handle(self, now: float, events: Iterable[messages.Event]) -> list[messages.Action]:
        """Handle the events like `Router`, and trace events and actions."""
        handled = list(events)
        for event in handled:
            if not isinstance(event, messages.TimerExpired):
                self._record("event", now, event)
        actions = super().handle(now, handled)
        for action in actions:
            if not isinstance(action, messages.SetTimer):
                self._record("action", now, action)
        return actions

    def _record(self, kind: str, now: float, message: object) -> None:
        fields = message_fields(message)
        self.trace.write(kind, now=round(now, TIME_DIGITS), what=type(message).__name__, **fields)
