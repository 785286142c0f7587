"""Short descriptions of exceptions for log lines."""

from __future__ import annotations

from types import TracebackType

MAX_DESCRIPTION_CHARS = 300
UNKNOWN_PLACE = "?"


def innermost_place(traceback: TracebackType | None) -> str:
    """Return `file:line` of the innermost frame, or "?" without a traceback."""
    if traceback is None:
        return UNKNOWN_PLACE
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    file_name = traceback.tb_frame.f_code.co_filename.rpartition("/")[2]
    return f"{file_name}:{traceback.tb_lineno}"


def describe(error: BaseException) -> str:
    """Return the type and message of an exception, in at most MAX_DESCRIPTION_CHARS characters."""
    return f"{type(error).__name__}: {error}"[:MAX_DESCRIPTION_CHARS]
