"""Structured logs: one event per line on standard error, as JSON or console text, rate-limited."""

from __future__ import annotations

import logging
import sys
import time
from typing import Any

import structlog

NEVER_DROPPED = ("error", "critical")
UNLIMITED = 1_000_000


class _LineLimiter:
    """A structlog processor that limits lines per second.

    The first line after a second with drops reports their count in `lines_left_out`.
    """

    def __init__(self, max_lines_per_second: int) -> None:
        self.max_lines_per_second = max_lines_per_second
        self._second = 0
        self._lines = 0
        self._dropped = 0

    def __call__(
        self, _logger: object, method: str, event: structlog.types.EventDict
    ) -> structlog.types.EventDict:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
            if self._dropped:
                event["lines_left_out"] = self._dropped
                self._dropped = 0
        self._lines += 1
        if self._lines > self.max_lines_per_second and method not in NEVER_DROPPED:
            self._dropped += 1
            raise structlog.DropEvent
        return event

    def is_full(self) -> bool:
        """Return whether a line now would be dropped; if so, count it as dropped."""
        if int(time.monotonic()) != self._second or self._lines < self.max_lines_per_second:
            return False
        self._dropped += 1
        return True


_limiter = _LineLimiter(UNLIMITED)


def is_full() -> bool:
    """Return whether a line below error level would be dropped now; if so, count it as dropped.

    Callers check this before they build a line: under overload, building lines costs more than the responses
    that they report.
    """
    return _limiter.is_full()


def configure(level: str, form: str, lines_per_second: int) -> None:
    """Write log lines of at least `level` to standard error; `form` is "json" or "console"."""
    _limiter.max_lines_per_second = lines_per_second
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            _limiter,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
