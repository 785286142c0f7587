"""Twisted's own log events, forwarded to the log of this process.

Twisted reports what it handles itself (an exception in a transport callback, an `accept` that failed, what it
closed because of that) to its log publisher alone. Without an observer those events only fill a buffer.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent, globalLogBeginner
from twisted.python.failure import Failure
from zope.interface import implementer

LONGEST_TEXT = 300  # characters of an event that are logged
# Twisted reports failed accepts at level info, beside the start and stop of each factory and port.
ACCEPT_NAMESPACE = "twisted.internet.tcp"
ACCEPT_WORDS = ("accept", "EMFILE")


def failure_place(failure: Failure) -> str:
    """Return file and line of the innermost frame of a failure, or "?"."""
    trace = failure.getTracebackObject()
    if trace is None:
        return "?"
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}"


def is_worth_a_line(event: LogEvent) -> bool:
    """Whether an event is a warning or worse, or tells of a failed accept."""
    level = event.get("log_level")
    if level is not None and level >= LogLevel.warn:
        return True
    if event.get("isError"):
        return True
    if event.get("log_namespace") != ACCEPT_NAMESPACE:
        return False
    text = str(event.get("log_format", ""))
    return any(word in text for word in ACCEPT_WORDS)


@implementer(ILogObserver)
class TwistedLogForwarder:
    """Writes one bounded line for each of Twisted's events that is worth it."""

    def __init__(self, say: Callable[..., None]) -> None:
        self._say = say

    def __call__(self, event: LogEvent) -> None:
        """Observe one event."""
        if not is_worth_a_line(event):
            return
        failure = event.get("log_failure")
        if isinstance(failure, Failure):
            text = f"{failure.type.__name__ if failure.type else 'failure'}: {failure.getErrorMessage()}"
            self._say("twisted.failure", place=failure_place(failure), error=_one_line(text))
            return
        level = event.get("log_level", LogLevel.info)
        self._say("twisted", level=level.name, text=_one_line(formatEvent(event)))


def _one_line(text: str) -> str:
    return " ".join(text.split())[:LONGEST_TEXT]


def forward_twisted_log(say: Callable[..., None]) -> None:
    """Begin to forward Twisted's log events to `say`; to be called once in a process."""
    observer: Any = TwistedLogForwarder(say)
    globalLogBeginner.beginLoggingTo([observer], discardBuffer=True, redirectStandardIO=False)
