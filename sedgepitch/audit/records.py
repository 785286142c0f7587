"""What members and clients recorded, read back and put in order. One JSON object a line, times monotonic.

Members write `recv`, `read`, `commit`, `repeat`, `away`, `role`, `role_told`, `told`, `start` and `fell`;
clients write `ask`, `got`, `extra`, `left`, and `killed` for a driver killed. Fields: docs/audit.md.
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
    """Read files of records and return all of them by time; a last line that was cut off is passed over."""
    out: list[Record] = []
    for path in paths:
        lines = path.read_text(encoding="utf-8").split("\n")
        for number, line in enumerate(lines, 1):
            if not line.strip():
                continue
            try:
                record = json.loads(line)
                record["e"], record["t"]
            except (ValueError, KeyError, TypeError):
                if number == len(lines):
                    continue
                raise RecordError(f"{path}:{number}: not a record") from None
            out.append(record)
    return sorted(out, key=lambda r: r["t"])
