"""Runs one proxy instance in the foreground; the platform starts this module.

Exit codes: 0 after a shutdown, 1 if the port cannot be bound, 2 if the configuration is invalid.
"""

from __future__ import annotations

import os
import sys

from sedgepitch.node.signals import SignalQueue

SIGNALS = SignalQueue() if __name__ == "__main__" else None  # before the slow imports below

import contextlib  # noqa: E402
import gc  # noqa: E402
from typing import Any, NoReturn  # noqa: E402

from sedgepitch.core.clock import unix_offset  # noqa: E402
from sedgepitch.net.memory_allocator import return_freed_buffers  # noqa: E402
from sedgepitch.net.twisted_types import Reactor  # noqa: E402
from sedgepitch.node.config import NodeConfigError, load  # noqa: E402
from sedgepitch.node.structured_log import TRACE_VARIABLE, StructuredLog  # noqa: E402

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_BAD_CONFIG = 2
# Objects that exist after start-up are frozen, so a full collection has few objects to examine.
GC_THRESHOLDS = (5_000, 10, 5)


def install_reactor() -> Reactor:
    """Install the asyncio reactor, on uvloop if available, and return it."""
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


def main(signals: SignalQueue) -> int:
    """Run until a graceful shutdown ends the process, or return the exit code of a start that failed."""
    return_freed_buffers()
    environment = dict(os.environ)
    tracing = bool(environment.get(TRACE_VARIABLE))
    log = StructuredLog(environment.get("RELAY_NAME", "driver"), tracing=tracing)
    offset = unix_offset()
    try:
        config = load(environment, offset)
    except NodeConfigError as error:
        log.log_event("config.invalid", reason=str(error))
        return EXIT_BAD_CONFIG
    reactor = install_reactor()
    from sedgepitch.node.proxy import Proxy
    from sedgepitch.node.signal_actions import SignalActions
    from sedgepitch.node.twisted_log import forward_twisted_log

    forward_twisted_log(log.log_event)
    proxy = Proxy(reactor, config, log, offset)
    actions = SignalActions(
        reactor, proxy, lambda: load(environment, offset), log.log_event, on_stopped=lambda: exit_now(EXIT_OK)
    )
    exit_code = EXIT_OK

    def bind_failed() -> None:
        nonlocal exit_code
        exit_code = EXIT_CANNOT_LISTEN
        reactor.callWhenRunning(reactor.stop)

    if signals.shutdown_requested:
        return EXIT_OK  # nothing has been accepted yet
    proxy.start(bind_failed)
    signals.deliver_to(actions.receive)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    reactor.run(installSignalHandlers=False)  # returns only if the port could not be bound
    signals.ignore_all()
    return exit_code


def exit_now(exit_code: int) -> NoReturn:
    """Exit without closing connections one by one and without interpreter teardown.

    On a busy machine either may outlast the platform's kill timeout. The system closes the connections.
    """
    with contextlib.suppress(OSError, ValueError):  # standard error may be a closed pipe
        sys.stderr.flush()
    os._exit(exit_code)


if __name__ == "__main__":
    assert SIGNALS is not None
    exit_now(main(SIGNALS))
