"""Finds the replica group of a request from the settings."""

from __future__ import annotations

from collections.abc import Callable
from fnmatch import fnmatchcase

from sedgepitch.config.models import Settings
from sedgepitch.protocols.mongodb.commands import Command


def group_finder(settings: Settings) -> Callable[[Command], int | None]:
    """Return a function that maps a request to the ID of its group, or to None if no group matches.

    A group that lists the request's shard value takes precedence, then the first one whose namespace patterns
    match.
    """
    by_shard = {str(value): group.id for group in settings.groups for value in group.shards}
    patterns = [(g.id, g.database, g.collection) for g in settings.groups if not g.shards]

    def find(request: Command) -> int | None:
        if request.shard is not None and str(request.shard) in by_shard:
            return by_shard[str(request.shard)]
        for group, database, collection in patterns:
            if fnmatchcase(request.database, database) and fnmatchcase(request.collection, collection):
                return group
        return None

    return find
