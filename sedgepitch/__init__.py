"""A database proxy that splits reads and writes across a primary and its replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sedgepitch.routing.router import Router

__all__ = ["Router"]


def __getattr__(name: str) -> object:
    """Import the router on first access, so that a program can set up signal handlers before that."""
    if name == "Router":
        from sedgepitch.routing.router import Router

        return Router
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
