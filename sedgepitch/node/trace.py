"""The trace: what the module was told and what it decided, as JSON lines; off in service, bounded when on."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from enum import Enum
from typing import Any

from sedgepitch.node.lines import Trace
from sedgepitch.routing import messages as api
from sedgepitch.routing.router import Router


def plain(value: Any) -> Any:
    """A value of the module's types as JSON takes it."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, float):
        return round(value, 5)
    if dataclasses.is_dataclass(value):
        return {f.name: plain(getattr(value, f.name)) for f in dataclasses.fields(value)}
    if isinstance(value, (list, tuple)):
        return [plain(item) for item in value]
    return value


class TracedRouter(Router):
    """The module with its events and actions written down."""

    def __init__(self, settings: api.Settings, seed: int, trace: Trace) -> None:
        super().__init__(settings, seed)
        self.trace = trace

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Decide as the module does, and write it down."""
        told = list(events)
        for event in told:
            if not isinstance(event, api.TimerExpired):
                self.trace.put("event", now=round(now, 6), what=type(event).__name__, **plain(event))
        actions = super().handle(now, told)
        for action in actions:
            if not isinstance(action, api.SetTimer):
                self.trace.put("action", now=round(now, 6), what=type(action).__name__, **plain(action))
        return actions
