"""The proxy program with one fault each, which the soak must detect.

Run by test_soak.py as `python -m tests.support.faulty_nodes FAULT`.
"""

from __future__ import annotations

import signal
import sys

from sedgepitch.node.signals import SignalQueue

SIGNALS = SignalQueue()

from sedgepitch.core.engine import Engine  # noqa: E402
from sedgepitch.decisions.connections.shutdown_schedule import ShutdownSchedule  # noqa: E402
from sedgepitch.decisions.discovery.watch_streams import WatchStreams  # noqa: E402
from sedgepitch.node import __main__ as node  # noqa: E402
from sedgepitch.node.signal_actions import SignalActions  # noqa: E402
from sedgepitch.protocols.postgresql.client_listener import ClientListener  # noqa: E402


def close_held_connections() -> None:
    """At SIGTERM, close all client connections, also those with a request in flight."""

    def begin_shutdown(self: ClientListener, _schedule: ShutdownSchedule) -> None:
        for connection in list(self.connections):
            connection.transport.abortConnection()

    ClientListener.begin_shutdown = begin_shutdown


def forward_until_the_exit() -> None:
    """Forward requests until the end of a shutdown, and exit without waiting for the responses."""
    ClientListener.begin_shutdown = lambda self, schedule: None
    Engine.answer_all_by = lambda self, moment: None
    ShutdownSchedule.may_exit = lambda self, now, **state: now >= self.exit_deadline


def lose_the_second_reload() -> None:
    """Ignore every SIGHUP but the first."""
    handle = SignalActions.handle

    def handle_first(self: SignalActions, number: int, sent_after: float) -> None:
        if number != signal.SIGHUP or not self._reload_number:
            handle(self, number, sent_after)

    SignalActions.handle = handle_first


def give_up_late_answers() -> None:
    """Close the calls to discovery that wait for an answer whenever another is made, after a second."""
    opened = WatchStreams.opened

    def opened_alone(self: WatchStreams, key: object, now: float) -> list[object]:
        closed = opened(self, key, now)
        return closed + self._remove([other for other in self.candidates if other is not key])

    WatchStreams.opened = opened_alone


FAULTS = {
    "close_held_connections": close_held_connections,
    "forward_until_the_exit": forward_until_the_exit,
    "lose_the_second_reload": lose_the_second_reload,
    "give_up_late_answers": give_up_late_answers,
}

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    node.exit_now(node.main(SIGNALS))
