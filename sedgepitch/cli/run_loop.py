"""Runs the reactor in the foreground: garbage collector tuning, signals and graceful shutdown."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable
from types import FrameType
from typing import Any

# For gc.set_threshold: allocations before a collection of generation 0, and for generations 1 and 2 the
# collections of the generation before.
COLLECTOR_THRESHOLDS = (20_000, 20, 20)

Stop = Callable[[Callable[[], None]], None]


def freeze_startup_objects() -> None:
    """Exclude the objects allocated at start-up from garbage collection, and make collections rare.

    Otherwise the collector traverses all of them every few hundred requests.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def run_until_signalled(reactor: Any, stop: Stop) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully; a second signal stops the reactor at once.

    `stop` is called in the reactor's thread with a callback that it must call once the shutdown is complete.
    """
    shutdown_requested = False
    halted = False

    def halt() -> None:
        nonlocal halted
        if not halted:
            halted = True
            reactor.stop()

    def on_signal(_number: int, _frame: FrameType | None) -> None:
        nonlocal shutdown_requested
        if shutdown_requested:
            reactor.callFromThread(halt)
            return
        shutdown_requested = True
        reactor.callFromThread(stop, halt)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    reactor.run(installSignalHandlers=False)
