"""Structured logs: one event a line, with ids; JSON or for a console; bounded in lines a second."""

from __future__ import annotations

import logging
import sys
import time
from typing import Any

import structlog


class _Bound:
    """At most so many lines a second; what was left out is counted in the first line after."""

    def __init__(self, most: int) -> None:
        self.most, self.second, self.lines, self.left_out = most, 0, 0, 0

    def __call__(self, _: Any, method: str, event: structlog.types.EventDict) -> structlog.types.EventDict:
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.lines = second, 0
            if self.left_out:
                event["lines_left_out"], self.left_out = self.left_out, 0
        self.lines += 1
        if self.lines > self.most and method not in ("error", "critical"):
            self.left_out += 1
            raise structlog.DropEvent
        return event

    def full(self) -> bool:
        """Whether a line now would be left out; it is counted as such. Asked before a line is made."""
        if int(time.monotonic()) != self.second or self.lines < self.most:
            return False
        self.left_out += 1
        return True


_bound = _Bound(1_000_000)


def full() -> bool:
    """Whether this second has no room for another line that is no error; counts it as left out."""
    return _bound.full()


def set_up(level: str, form: str, lines_per_second: int) -> None:
    """Send logs to standard error."""
    _bound.most = lines_per_second
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            _bound,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
