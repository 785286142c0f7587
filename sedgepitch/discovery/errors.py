"""Errors of the sources of the endpoint list."""

from __future__ import annotations

from sedgepitch.errors import DiscoveryError


class MalformedListError(DiscoveryError):
    """A source sent data that is not a valid endpoint list; the message names the position in the data."""


class MissedChangesError(DiscoveryError):
    """A watch sent the changes after a revision that is not held any more; those before them are missing."""
