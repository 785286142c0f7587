"""Decide, for a proxy in front of a primary and its replicas, where each request goes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sedgepitch.routing.router import Router

__all__ = ["Router"]


def __getattr__(name: str) -> object:
    """Load the router when it is asked for: a program handles signals before it loads the rest."""
    if name == "Router":
        from sedgepitch.routing.router import Router

        return Router
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
