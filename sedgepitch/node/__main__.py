"""Run one driver in the foreground, as the platform starts it."""

from __future__ import annotations

import os
import sys

from sedgepitch.node.signals import Signals

SIGNALS = Signals() if __name__ == "__main__" else None  # before what takes long to load

import gc  # noqa: E402
import signal  # noqa: E402
from typing import Any  # noqa: E402

from sedgepitch.core.clock import unix_offset  # noqa: E402
from sedgepitch.node.config import BadConfig, Config, load  # noqa: E402
from sedgepitch.node.lines import TRACE_VARIABLE, Lines  # noqa: E402

READ_AGAIN, READINGS = 0.1, 20  # s between readings of a file that cannot be used, and how many


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


def main(signals: Signals) -> int:
    """Serve until SIGTERM; returns the exit code."""
    environment = dict(os.environ)
    tracing = bool(environment.get(TRACE_VARIABLE))
    lines = Lines(environment.get("RELAY_NAME", "driver"), tracing=tracing)
    wall = unix_offset()
    try:
        config: Config = load(environment, wall)
    except BadConfig as error:
        lines.say("config.bad", why=str(error))
        return 2
    reactor = install_reactor()
    from sedgepitch.node.driver import Driver
    from sedgepitch.node.twisted_log import forward_twisted_log

    forward_twisted_log(lines.say)
    driver = Driver(reactor, config, lines, wall)
    stopping, reading, exit_code = False, 0, 0

    def reload(count: int, number: int) -> None:
        """Read the file again; one that is just being written is read once more a little later."""
        if number != reading:
            return  # told anew meanwhile
        try:
            driver.reload(load(environment, wall))
        except BadConfig as error:
            if count == 1:
                lines.say("config.bad", why=str(error), kept="the old one")
            if count < READINGS:
                reactor.callLater(READ_AGAIN, reload, count + 1, number)

    def cannot_listen() -> None:
        nonlocal exit_code
        exit_code = 1
        reactor.callWhenRunning(reactor.stop)

    def act(number: int) -> None:
        nonlocal stopping, reading
        if number == signal.SIGHUP:
            reading += 1
            reload(1, reading)
        elif not stopping:
            stopping = True
            driver.stop(reactor.stop)

    if signals.told_to_end:
        return 0  # nobody was promised anything yet
    driver.cannot_listen = cannot_listen
    driver.start()
    signals.to(lambda number: reactor.callFromThread(act, number))
    gc.collect()
    gc.freeze()
    gc.set_threshold(5_000, 10, 5)  # what lives is small once frozen, so a whole collection takes little
    reactor.run(installSignalHandlers=False)
    signals.over()
    return exit_code


if __name__ == "__main__":
    assert SIGNALS is not None
    sys.exit(main(SIGNALS))
