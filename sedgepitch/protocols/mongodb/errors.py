"""The documents that answer a client when no member's answer does.

Refused means that nothing ran: the labels invite a stock client to try again, and `retryAfterMS` says when.
Failed promises nothing, so it carries no label and a code that no driver takes for a reason to retry.
Codes and labels: MongoDB's error_codes.yml, the retryable reads and writes specifications.
"""

from __future__ import annotations

import math

import bson

REFUSED = (462, "IngressRequestRateLimitExceeded")
FAILED = (50, "MaxTimeMSExpired")
CURSOR_NOT_FOUND = (43, "CursorNotFound")


def error(code: int, name: str, text: str) -> bytes:
    """Return a plain error."""
    return bson.encode({"ok": 0.0, "errmsg": text, "code": code, "codeName": name})


def refused(why: str, retry_after: float, writes: bool, promised: bool = False) -> bytes:
    """Return a refusal; come_back in seconds, 0 for no advice; promised where room is kept for that time."""
    labels = ["RetryableError", "SystemOverloadedError", "NoWritesPerformed"]
    document = {
        "ok": 0.0,
        "errmsg": f"refused, nothing was run: {why}",
        "code": REFUSED[0],
        "codeName": REFUSED[1],
        "errorLabels": [*labels, "RetryableWriteError"] if writes else labels,
    }
    if retry_after > 0:
        document["retryAfterMS"] = math.ceil(retry_after * 1000.0)
        document["promised"] = promised
    return bson.encode(document)


def failed(why: str, writes: bool) -> bytes:
    """Return a failure."""
    text = f"failed, and may have run: {why}" if writes else f"failed: {why}"
    return error(*FAILED, text)


def cursor_not_found(number: int) -> bytes:
    """Return the answer for a cursor that is not, or no longer, to be had."""
    return error(*CURSOR_NOT_FOUND, f"cursor id {number} not found")
