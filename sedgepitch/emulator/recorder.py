"""Records what servers and clients see, one JSON object a line, by the machine's monotonic clock."""

from __future__ import annotations

import json
import time
from typing import IO, Any


class Recorder:
    """Writes records to a file, or nowhere."""

    def __init__(self, path: str = "", who: str = "members") -> None:
        """Open the file; an empty path records nothing. `who` names the process in its last record."""
        self.file: IO[str] | None = open(path, "w", encoding="utf-8") if path else None  # noqa: SIM115  # see close
        self.who = who
        self.longest_wait = 0.0  # s that bytes waited for this process
        self.wait_sum = 0.0  # s
        self.waits = 0

    def waited(self, seconds: float) -> None:
        """Take one wait of bytes for this process."""
        self.longest_wait = max(self.longest_wait, seconds)
        self.wait_sum += seconds
        self.waits += 1

    def __call__(self, kind: str, **fields: Any) -> None:
        """Write one record."""
        if self.file is not None:
            record = {"e": kind, "t": time.monotonic(), **fields}
            self.file.write(json.dumps(record, separators=(",", ":"), default=str) + "\n")

    def close(self) -> None:
        """Flush and close."""
        if self.file is not None:
            mean_wait = self.wait_sum / max(1, self.waits)
            self("delay", who=self.who, longest=self.longest_wait, mean=mean_wait)
            self.file.close()
            self.file = None
