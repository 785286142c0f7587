"""What servers and clients recorded, read back and put in order. One JSON object a line, times monotonic.

Servers write `recv`, `read`, `commit`, `repeat`, `away`, `role`, `role_told`, `told`, `start` and `fell`;
clients write `ask`, `got`, `extra`, `left`, and `killed` for a proxy killed. Fields: docs/audit.md.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

Record = dict[str, Any]


class RecordError(ValueError):
    """A record that cannot be read; the text names file and line."""


def read(paths: Iterable[Path]) -> list[Record]:
    """Read files of records and return all of them by time; a last line that was cut off is skipped.

    Raises RecordError on any other line that is no record.
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
    """Return one record; raises where it has no kind or no time."""
    record: Record = json.loads(line)
    record["e"], record["t"]
    return record
