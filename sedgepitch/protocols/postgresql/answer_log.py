"""Counts of the answers other than served that clients got, by status and reason."""

from __future__ import annotations

import re
from collections import Counter

from sedgepitch.core.types import Response, ResponseStatus

REASONS_MAX = 40  # distinct reasons; later ones are counted together
OTHER = "other"
_NUMBER = re.compile(r"\d+(?:\.\d+)?")


class AnswerLog:
    """The counts of one listener since the process started."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.counts: Counter[str] = Counter()

    def answered(self, response: Response) -> None:
        """Count a response, unless the request was served; numbers in a reason do not make it another one."""
        if response.status is ResponseStatus.SERVED:
            return
        reason = _NUMBER.sub("#", response.why or "none").replace(" ", "_")
        key = f"{response.status.name.lower()}/{reason}"
        if key not in self.counts and len(self.counts) >= REASONS_MAX:
            key = OTHER
        self.counts[key] += 1

    def summary(self) -> str:
        """Return the counts as `status/reason:count`, joined by commas; "none" if there are none."""
        return ",".join(sorted(f"{key}:{count}" for key, count in self.counts.items())) or "none"
