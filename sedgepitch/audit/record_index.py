"""Indexes records by kind and by request, and derives the history of primary roles from them."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from sedgepitch.audit.records import Record


class RecordIndex:
    """The records, indexed by kind and by request ID."""

    def __init__(self, records: Iterable[Record]) -> None:
        """Index the records; those of one kind or request keep their order."""
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
    """Which server was primary when, and when servers reported to a proxy that they are not primary."""

    def __init__(self, index: RecordIndex) -> None:
        """Collect the primary terms of each group, and the reports of servers that are not primary."""
        self._terms: dict[int, list[tuple[float, int | None]]] = defaultdict(list)
        for record in index.by_kind["role"]:
            self._terms[record["g"]].append((record["t"], record["m"]))
        self._not_primary_reports: dict[tuple[str, int], list[float]] = defaultdict(list)
        for record in index.by_kind["role_told"]:
            if not record["primary"]:
                self._not_primary_reports[record["d"], record["m"]].append(record["t"])

    def primary(self, group: int, at: float) -> int | None:
        """Return the primary of a group at a time, or None if it had none."""
        terms = self._terms[group]
        index = bisect_right(terms, at, key=lambda term: term[0]) - 1
        return terms[index][1] if index >= 0 else None

    def could_be_taken_for_primary(self, group: int, server: int, proxy: str, at: float) -> bool:
        """Return whether the server has been primary and not yet reported its term's end to this proxy."""
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
        return ended is None or not any(ended <= t <= at for t in self._not_primary_reports[proxy, server])
