"""Run one driver in the foreground, as the platform starts it."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time
from typing import Any

from sedgepitch.node.config import BadConfig, load
from sedgepitch.node.lines import TRACE_VARIABLE, Lines


def install_reactor() -> Any:
    """The asyncio reactor on uvloop where it is there."""
    import asyncio

    from twisted.internet import asyncioreactor

    loop: Any
    try:
        import uvloop

        loop = uvloop.new_event_loop()
    except ImportError:
        loop = asyncio.SelectorEventLoop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor


def main() -> int:
    """Serve until SIGTERM; returns the exit code."""
    environment = dict(os.environ)
    tracing = bool(environment.get(TRACE_VARIABLE))
    lines = Lines(environment.get("RELAY_NAME", "driver"), tracing=tracing)
    wall = time.time() - time.monotonic()
    try:
        config = load(environment, wall)
    except BadConfig as error:
        lines.say("config.bad", why=str(error))
        return 2
    reactor = install_reactor()
    from twisted.internet.error import CannotListenError

    from sedgepitch.node.driver import Driver

    driver = Driver(reactor, config, lines, wall)
    stopping = False

    def reload() -> None:
        try:
            driver.reload(load(environment, wall))
        except BadConfig as error:
            lines.say("config.bad", why=str(error), kept="the old one")

    def stop() -> None:
        nonlocal stopping
        if not stopping:
            stopping = True
            driver.stop(reactor.stop)

    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(stop))
    signal.signal(signal.SIGINT, lambda *_: reactor.callFromThread(stop))
    try:
        driver.start()
    except CannotListenError as error:
        lines.say("listen.failed", why=str(error))
        return 1
    gc.collect()
    gc.freeze()
    gc.set_threshold(5_000, 10, 5)  # what lives is small once frozen, so a whole collection takes little
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
