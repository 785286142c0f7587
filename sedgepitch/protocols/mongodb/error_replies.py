"""Error documents that the proxy itself returns to clients.

Rejected means that nothing ran: the error labels make a standard client library retry, and `retryAfterMS`
gives the delay. Failed means that the command may have run, so the reply has no label and a code that no
client library retries.
Codes and labels: MongoDB's error_codes.yml, the retryable reads and writes specifications.
"""

from __future__ import annotations

import math

import bson

REJECTED = (462, "IngressRequestRateLimitExceeded")
FAILED = (50, "MaxTimeMSExpired")
CURSOR_NOT_FOUND = (43, "CursorNotFound")
REJECTED_LABELS = ("RetryableError", "SystemOverloadedError", "NoWritesPerformed")
REJECTED_WRITE_LABELS = (*REJECTED_LABELS, "RetryableWriteError")
MS_PER_S = 1000.0


def error(code: int, name: str, text: str) -> bytes:
    """Return an error document without labels."""
    return bson.encode({"ok": 0.0, "errmsg": text, "code": code, "codeName": name})


def rejected(why: str, retry_after: float, writes: bool, reserved: bool = False) -> bytes:
    """Return a rejection.

    `retry_after` is in seconds, 0 for none. `reserved` states whether capacity is reserved for the retry at
    that time.
    """
    code, name = REJECTED
    document = {
        "ok": 0.0,
        "errmsg": f"refused, nothing was run: {why}",
        "code": code,
        "codeName": name,
        "errorLabels": list(REJECTED_WRITE_LABELS if writes else REJECTED_LABELS),
    }
    if retry_after > 0:
        document["retryAfterMS"] = math.ceil(retry_after * MS_PER_S)
        document["promised"] = reserved
    return bson.encode(document)


def failed(why: str, writes: bool) -> bytes:
    """Return the error for a command that failed, and may have run if it is a write."""
    text = f"failed, and may have run: {why}" if writes else f"failed: {why}"
    return error(*FAILED, text)


def cursor_not_found(cursor_id: int) -> bytes:
    """Return the error for a cursor id that is unknown or already closed."""
    return error(*CURSOR_NOT_FOUND, f"cursor id {cursor_id} not found")
