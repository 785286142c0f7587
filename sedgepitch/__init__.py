"""Decide, for a proxy in front of a primary and its replicas, where each request goes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from sedgepitch.routing.router import Router

__all__ = ["Router"]


def __getattr__(name: str) -> Any:
    """Load the module when it is asked for: a program that begins minds its signals first."""
    if name == "Router":
        from sedgepitch.routing.router import Router

        return Router
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
