"""The trace: the router's events and actions and the life of each endpoint connection, as JSON lines.

Switched on by SEDGEPITCH_TRACE, for analysis; off in service. Limited to MAX_LINES_PER_SECOND.
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
    """Return the fields of a message of the router, as JSON can hold them."""
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
    """Writes the lines of the trace."""

    def __init__(self, name: str, sink: TextIO | None = None) -> None:
        self.name = name
        self.sink = sink or sys.stderr
        self._limiter = LineLimiter(name, self.sink, MAX_LINES_PER_SECOND)
        self._connections = 0

    def connection(self, endpoint: int) -> Callable[..., None]:
        """Return a function that records what happens on one more connection to an endpoint."""
        self._connections += 1
        number = self._connections

        def record(what: str, **fields: object) -> None:
            payload = fields.pop("payload", None)
            if payload is not None:
                fields["id"] = getattr(payload, "id", b"probe").decode()
            self.write("socket", what=what, endpoint=endpoint, connection=number, **fields)

        return record

    def write(self, kind: str, **fields: object) -> None:
        """Write one line; a sink that cannot be written to is ignored."""
        if not self._limiter.admit():
            return
        line = {"trace": kind, "driver": self.name, "at": round(time.monotonic(), TIME_DIGITS), **fields}
        with contextlib.suppress(OSError, ValueError):
            self.sink.write(json.dumps(line, separators=(",", ":"), default=str) + "\n")


class TracedRouter(Router):
    """The router with its events and actions recorded; timers are left out."""

    def __init__(self, settings: messages.Settings, seed: int, trace: TraceWriter) -> None:
        super().__init__(settings, seed)
        self.trace = trace

    def handle(self, now: float, events: Iterable[messages.Event]) -> list[messages.Action]:
        """Decide as the router does, and record both sides."""
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
