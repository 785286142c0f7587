"""Proxies with one guard removed each, which the audit must convict.

Run as `python -m tests.support.faulty_proxies serve ...`.

The environment variable CULPRIT numbers the guard that is gone; 1 to 5 are the rules'. Run by
test_fault_scenario.py.
"""

from __future__ import annotations

import os

from sedgepitch.cli.main import main
from sedgepitch.core import engine
from sedgepitch.protocols.mongodb.command_handler import CommandHandler
from sedgepitch.routing.messages import EndpointState
from sedgepitch.routing.router import Router


def lose_requests() -> None:
    """Rule 1: a refusal never leaves, and the last guard is gone."""
    engine.Engine._last_guard = lambda self, account: None
    engine.Engine._refuse = lambda self, action: None


def resend_anything() -> None:
    """Rule 2: what may have run is sent again, whatever the class says."""

    def may_resend(self, request, endpoint):
        return not request.done and not request.out and len(request.attempts) < 3

    def next_step(self, request):
        (self.finish if self.now >= request.until else self.place)(request)

    Router.may_resend, Router.next_step = may_resend, next_step
    Router.window_over = lambda self, request: False


def ignore_drains() -> None:
    """Rule 3: what the list says of draining members is not heard."""
    told = engine.Engine.list_changed

    def list_changed(self, event):
        kept = tuple(entry for entry in event.entries if entry.state is EndpointState.UP)
        told(self, engine.api.EndpointListUpdate(kept, complete=False, remembered=event.remembered))

    engine.Engine.list_changed = list_changed


def trust_the_cold() -> None:
    """Rule 4: a member that has just started is sent as much as any other; silence is not felt."""
    Router.distrust = lambda self, endpoint, why: None
    Router.open_to = lambda self, endpoint, request: endpoint.state is EndpointState.UP
    Router.warmth = lambda self, endpoint: 1.0
    Router.may_send = lambda self, endpoint, request, room=1.0: endpoint.state is EndpointState.UP
    Router.busyness = lambda self, endpoint: (-endpoint.cold_from, 0.0)  # the newest first


def read_anywhere() -> None:
    """Rule 5: every replica counts as fresh enough."""
    Router.fresh_enough = lambda self, endpoint, request: True


def answer_late() -> None:
    """Rule 1: answers wait in a queue of the driver's own, and nothing takes that from what is promised."""

    def response_callback(self, connection, command):
        respond = true_response_callback(self, connection, command)
        return lambda response: self._context.clock.call_later(2.2, respond, response)

    true_response_callback = CommandHandler.response_callback
    CommandHandler.response_callback = response_callback


def send_after_the_answer() -> None:
    """Rule 1: what was decided before the answer is still sent long after it."""

    def settle(self, account, answer):
        if account.open and answer.endpoint is not None and not account.command.payload.writes:
            again = (answer.endpoint, account.command.payload, lambda end: None, engine.NEVER)
            self.clock.call_later(1.6, self.endpoints.send, *again)
        true_settle(self, account, answer)

    true_settle = engine.Engine._settle
    engine.Engine._settle = settle


def forget_own_delay() -> None:
    """Rule 5: ages are judged as of a turn that began long ago, as if no time had passed in the driver."""

    def fresh_enough(self, endpoint, request):
        now, self.now = self.now, self.now - 0.8
        try:
            return true_fresh(self, endpoint, request)
        finally:
            self.now = now

    true_fresh = Router.fresh_enough
    Router.fresh_enough = fresh_enough


GUARDS = (lose_requests, resend_anything, ignore_drains, trust_the_cold, read_anywhere)
MORE = (answer_late, send_after_the_answer, forget_own_delay)

if __name__ == "__main__":
    (GUARDS + MORE)[int(os.environ["CULPRIT"]) - 1]()
    main()
