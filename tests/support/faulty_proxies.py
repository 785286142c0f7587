"""Proxies with one guard removed each, which the audit must detect.

Run by test_fault_scenario.py as `python -m tests.support.faulty_proxies serve ...`. The environment variable
PROXY_FAULT is the number of the guard to remove; 1 to 5 are the numbers of the audit rules.
"""

from __future__ import annotations

import os

from sedgepitch.cli.main import main
from sedgepitch.core import engine
from sedgepitch.core.completion import Completion
from sedgepitch.core.deadlines import NEVER, Deadlines
from sedgepitch.protocols.mongodb.command_handler import CommandHandler
from sedgepitch.routing.eligibility import Eligibility
from sedgepitch.routing.freshness import FreshnessRules
from sedgepitch.routing.messages import EndpointState
from sedgepitch.routing.outlier_detection import OutlierDetection
from sedgepitch.routing.retries import Retries
from sedgepitch.routing.selection import Selection
from sedgepitch.routing.slow_start import SlowStart


def lose_requests() -> None:
    """Rule 1: rejections are not sent, and neither is the answer at the deadline."""
    Deadlines._answer_last = lambda self, pending: None
    Completion.reject = lambda self, action: None


def retry_anything() -> None:
    """Rule 2: requests that may have run are retried, whatever their class allows."""

    def may_attempt(self, request, endpoint):
        return not request.done and not request.in_flight and len(request.attempts) < 3

    Retries.may_attempt = may_attempt
    Retries.should_retry = lambda self, request: self.state.now < request.deadline
    Retries.deduplication_window_over = lambda self, request: False


def ignore_draining() -> None:
    """Rule 3: draining endpoints in the endpoint list are ignored."""
    true_list_changed = engine.Engine.list_changed

    def list_changed(self, event):
        kept = tuple(entry for entry in event.entries if entry.state is EndpointState.UP)
        true_list_changed(
            self, engine.api.EndpointListUpdate(kept, complete=False, remembered=event.remembered)
        )

    engine.Engine.list_changed = list_changed


def skip_slow_start() -> None:
    """Rule 4: an endpoint that has just started gets as much load as any other, and none is ejected."""
    OutlierDetection.eject = lambda self, endpoint, reason: None
    SlowStart.accepts = lambda self, endpoint, request: endpoint.state is EndpointState.UP
    SlowStart.capacity_share = lambda self, endpoint: 1.0
    Eligibility.may_send = lambda self, endpoint, request, limit_share=1.0: endpoint.state is EndpointState.UP
    Selection.load = lambda self, endpoint: (-endpoint.warming_since, 0.0)  # the most recently started first


def read_anywhere() -> None:
    """Rule 5: every replica counts as fresh enough."""
    FreshnessRules.fresh_enough = lambda self, endpoint, request: True


def answer_late() -> None:
    """Rule 1: responses wait in the proxy for 2.2 s, which no deadline accounts for."""

    def response_callback(self, connection, command):
        respond = true_response_callback(self, connection, command)
        return lambda response: self._context.clock.call_later(2.2, respond, response)

    true_response_callback = CommandHandler.response_callback
    CommandHandler.response_callback = response_callback


def send_after_the_answer() -> None:
    """Rule 1: a read is sent once more 1.6 s after its final answer."""

    def respond(self, pending, response):
        upstream = self.engine.upstream
        if pending.open and response.endpoint is not None and not pending.request.payload.writes:
            again = (response.endpoint, pending.request.payload, lambda outcome: None, NEVER)
            self.engine.clock.call_later(1.6, upstream.send, *again)
        true_respond(self, pending, response)

    true_respond = Completion.respond
    Completion.respond = respond


def forget_own_delay() -> None:
    """Rule 5: freshness is judged as of 0.8 s ago, as if no time had passed in the proxy."""

    def fresh_enough(self, endpoint, request):
        now, self.state.now = self.state.now, self.state.now - 0.8
        try:
            return true_fresh_enough(self, endpoint, request)
        finally:
            self.state.now = now

    true_fresh_enough = FreshnessRules.fresh_enough
    FreshnessRules.fresh_enough = fresh_enough


RULE_FAULTS = (lose_requests, retry_anything, ignore_draining, skip_slow_start, read_anywhere)
OTHER_FAULTS = (answer_late, send_after_the_answer, forget_own_delay)

if __name__ == "__main__":
    (RULE_FAULTS + OTHER_FAULTS)[int(os.environ["PROXY_FAULT"]) - 1]()
    main()
