"""The proxy program on a machine so busy that closing one client connection takes CLOSE_S.

Run by test_restarts.py as `python -m tests.support.slow_closes`.
"""

from __future__ import annotations

import time
from typing import Any

from sedgepitch.node.signals import SignalQueue

SIGNALS = SignalQueue()

from sedgepitch.node import __main__ as node  # noqa: E402
from sedgepitch.protocols.postgresql.client import ClientConnection  # noqa: E402

CLOSE_S = 0.01


def slow_down_closes() -> None:
    """Have each close of a client connection take CLOSE_S."""
    connection_lost = ClientConnection.connectionLost

    def slow_connection_lost(self: ClientConnection, *reason: Any) -> None:
        time.sleep(CLOSE_S)
        connection_lost(self, *reason)

    ClientConnection.connectionLost = slow_connection_lost


if __name__ == "__main__":
    slow_down_closes()
    node.exit_now(node.main(SIGNALS))
