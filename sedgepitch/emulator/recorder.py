"""Records the events of servers and clients as JSON lines, timed by the machine's monotonic clock."""

from __future__ import annotations

import json
import time
from typing import IO, Any


class Recorder:
    """Writes records to a file, or discards them."""

    def __init__(self, path: str = "", process: str = "members") -> None:
        """Open the file; an empty path records nothing. `process` names this process in its last record."""
        self.file: IO[str] | None = open(path, "w", encoding="utf-8") if path else None  # noqa: SIM115  # see close
        self.process = process
        self.longest_wait = 0.0  # s that received bytes waited to be read
        self.wait_sum = 0.0  # s, of all waits
        self.waits = 0

    def record_wait(self, seconds: float) -> None:
        """Count one wait of received bytes until this process read them."""
        self.longest_wait = max(self.longest_wait, seconds)
        self.wait_sum += seconds
        self.waits += 1

    def __call__(self, kind: str, **fields: Any) -> None:
        """Write one record."""
        if self.file is not None:
            record = {"e": kind, "t": time.monotonic(), **fields}
            self.file.write(json.dumps(record, separators=(",", ":"), default=str) + "\n")

    def close(self) -> None:
        """Write the delay record and close the file."""
        if self.file is not None:
            mean_wait = self.wait_sum / max(1, self.waits)
            self("delay", who=self.process, longest=self.longest_wait, mean=mean_wait)
            self.file.close()
            self.file = None
