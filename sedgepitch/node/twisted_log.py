"""Forwards Twisted's own log events to the log of this process.

Twisted reports errors that it handles itself (an exception in a transport callback, a failed `accept`) to its
log publisher only. Without an observer those events are buffered and never written.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent, globalLogBeginner
from twisted.python.failure import Failure
from zope.interface import implementer

from sedgepitch.tracebacks import innermost_place

MAX_TEXT_CHARS = 300
# Twisted reports failed accepts at level info, like the start and stop of each factory and port.
ACCEPT_NAMESPACE = "twisted.internet.tcp"
ACCEPT_MARKERS = ("accept", "EMFILE")


def is_relevant(event: LogEvent) -> bool:
    """Return whether an event is at least a warning or reports a failed accept."""
    level = event.get("log_level")
    if level is not None and level >= LogLevel.warn:
        return True
    if event.get("isError"):
        return True
    if event.get("log_namespace") != ACCEPT_NAMESPACE:
        return False
    text = str(event.get("log_format", ""))
    return any(marker in text for marker in ACCEPT_MARKERS)


@implementer(ILogObserver)
class TwistedLogForwarder:
    """Logs each relevant Twisted event as one line of limited length."""

    def __init__(self, log_event: Callable[..., None]) -> None:
        self._log_event = log_event

    def __call__(self, event: LogEvent) -> None:
        """Log one event if it is relevant."""
        if not is_relevant(event):
            return
        failure = event.get("log_failure")
        if isinstance(failure, Failure):
            text = f"{failure.type.__name__ if failure.type else 'failure'}: {failure.getErrorMessage()}"
            place = innermost_place(failure.getTracebackObject())
            self._log_event("twisted.failure", place=place, error=_one_line(text))
            return
        level = event.get("log_level", LogLevel.info)
        self._log_event("twisted", level=level.name, text=_one_line(formatEvent(event)))


def _one_line(text: str) -> str:
    return " ".join(text.split())[:MAX_TEXT_CHARS]


def forward_twisted_log(log_event: Callable[..., None]) -> None:
    """Start to forward Twisted's log events; call once per process."""
    observer: Any = TwistedLogForwarder(log_event)
    globalLogBeginner.beginLoggingTo([observer], discardBuffer=True, redirectStandardIO=False)
