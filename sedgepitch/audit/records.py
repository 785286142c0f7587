"""Reads the records of servers and clients in order of time: one JSON object per line, monotonic times.

Servers write `recv`, `read`, `commit`, `repeat`, `away`, `role`, `role_told`, `told`, `start` and `fell`;
clients write `ask`, `got`, `extra`, `left`, and `killed` when a proxy is killed. Fields: docs/audit.md.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

Record = dict[str, Any]


class RecordError(ValueError):
    """A line that is not a valid record; the message names file and line."""


def read(paths: Iterable[Path]) -> list[Record]:
    """Read record files and return all records sorted by time. A truncated last line of a file is skipped.

    Raises RecordError for any other line that is not a record.
    """
    records: list[Record] = []
    for path in paths:
        lines = path.read_text(encoding="utf-8").split("\n")
        for number, line in enumerate(lines, 1):
            if not line.strip():
                continue
            try:
                records.append(_parse(line))
            except (ValueError, KeyError, TypeError):
                if number == len(lines):
                    continue
                raise RecordError(f"{path}:{number}: not a record") from None
    return sorted(records, key=lambda record: record["t"])


def _parse(line: str) -> Record:
    """Parse one record; raises ValueError, KeyError or TypeError if it is none, or has no kind or time."""
    record: Record = json.loads(line)
    record["e"], record["t"]
    return record
