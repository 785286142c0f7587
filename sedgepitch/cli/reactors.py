"""Installs the Twisted reactor; must run before anything imports `twisted.internet.reactor`."""

from __future__ import annotations

import asyncio
from typing import Any


def install(name: str) -> Any:
    """Install 'uvloop', 'asyncio' or 'epoll' and return it; falls back to asyncio if uvloop is missing."""
    if name == "epoll":
        from twisted.internet import epollreactor

        epollreactor.install()
    else:
        from twisted.internet import asyncioreactor

        loop: Any = None
        if name == "uvloop":
            try:
                import uvloop

                loop = uvloop.new_event_loop()
            except ImportError:
                loop = None
        loop = loop or asyncio.SelectorEventLoop()
        asyncio.set_event_loop(loop)
        asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor
