"""Record what members see, one JSON object a line, with times of the machine's monotonic clock."""

from __future__ import annotations

import json
import time
from typing import IO, Any


class Recorder:
    """Writes records to a file, or nowhere."""

    def __init__(self, path: str = "") -> None:
        self.file: IO[str] | None = open(path, "w", encoding="utf-8") if path else None

    def __call__(self, kind: str, **fields: Any) -> None:
        """Write one record."""
        if self.file is not None:
            record = {"e": kind, "t": time.monotonic(), **fields}
            self.file.write(json.dumps(record, separators=(",", ":"), default=str) + "\n")

    def close(self) -> None:
        """Flush and close."""
        if self.file is not None:
            self.file.close()
            self.file = None
