"""Errors of the sources of the endpoint list."""

from __future__ import annotations

from sedgepitch.errors import DiscoveryError


class MalformedListError(DiscoveryError):
    """A source sent what is no endpoint list; the message names the place."""
