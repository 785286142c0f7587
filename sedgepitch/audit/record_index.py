"""The records by kind and by request, and what they say of roles."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from sedgepitch.audit.records import Record


class RecordIndex:
    """The records by kind and request."""

    def __init__(self, records: Iterable[Record]) -> None:
        """Sort the records by kind, and those of requests by request."""
        self.by_kind: dict[str, list[Record]] = defaultdict(list)
        for record in records:
            self.by_kind[record["e"]].append(record)
        self.asked = {record["rid"]: record for record in self.by_kind["ask"]}
        self.answers = self._by_request("got")
        self.received = self._by_request("recv")
        self.commits = self._by_request("commit")

    def _by_request(self, kind: str) -> dict[Any, list[Record]]:
        found: dict[Any, list[Record]] = defaultdict(list)
        for record in self.by_kind[kind]:
            found[record["rid"]].append(record)
        return found


class RoleHistory:
    """Who was primary when, and when servers told which proxy that they are not."""

    def __init__(self, index: RecordIndex) -> None:
        """Collect the terms of each group, and when servers denied to be primary."""
        self._terms: dict[int, list[tuple[float, int | None]]] = defaultdict(list)
        for record in index.by_kind["role"]:
            self._terms[record["g"]].append((record["t"], record["m"]))
        self._denials: dict[tuple[str, int], list[float]] = defaultdict(list)
        for record in index.by_kind["role_told"]:
            if not record["primary"]:
                self._denials[record["d"], record["m"]].append(record["t"])

    def primary(self, group: int, at: float) -> int | None:
        """Return who was primary at that time."""
        terms = self._terms[group]
        index = bisect_right(terms, at, key=lambda term: term[0]) - 1
        return terms[index][1] if index >= 0 else None

    def was_believably_primary(self, group: int, server: int, proxy: str, at: float) -> bool:
        """Whether it had been primary, and this proxy had not been told by then that it no longer was."""
        was_primary = False
        ended: float | None = None
        for begin, holder in self._terms[group]:
            if begin > at:
                break
            if holder == server:
                was_primary = True
                ended = None
            elif was_primary and ended is None:
                ended = begin
        if not was_primary:
            return False
        return ended is None or not any(ended <= t <= at for t in self._denials[proxy, server])
