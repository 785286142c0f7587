"""Drivers with one guard removed each, which the audit must convict: `python -m tests.culprit serve ...`.

The environment variable CULPRIT names the rule whose guard is gone. Run only by test_audit.py.
"""

from __future__ import annotations

import os

from sedgepitch.cli.main import main
from sedgepitch.core import engine
from sedgepitch.interface import State
from sedgepitch.policy import Router


def lose_requests() -> None:
    """Rule 1: a refusal never leaves, and the last guard is gone."""
    engine.OVERDUE = 3600.0
    engine.Engine._refuse = lambda self, action: None


def resend_anything() -> None:
    """Rule 2: what may have run is sent again, whatever the class says."""

    def may_resend(self, request, member):
        return not request.done and not request.out and len(request.attempts) < 3

    def next_step(self, request):
        (self.finish if self.now >= request.until else self.place)(request)

    Router.may_resend, Router.next_step = may_resend, next_step
    Router.window_over = lambda self, request: False


def ignore_drains() -> None:
    """Rule 3: what the list says of draining members is not heard."""
    told = engine.Engine.list_changed

    def list_changed(self, event):
        kept = tuple(entry for entry in event.listings if entry.state is State.UP)
        told(self, engine.api.Members(kept, complete=False, remembered=event.remembered))

    engine.Engine.list_changed = list_changed


def trust_the_cold() -> None:
    """Rule 4: a member that has just started is sent as much as any other; silence is not felt."""
    Router.distrust = lambda self, member, why: None
    Router.open_to = lambda self, member, request: member.state is State.UP
    Router.warmth = lambda self, member: 1.0
    Router.may_send = lambda self, member, request, room=1.0: member.state is State.UP
    Router.busyness = lambda self, member: (-member.cold_from, 0.0)  # the newest first


def read_anywhere() -> None:
    """Rule 5: every replica counts as fresh enough."""
    Router.fresh_enough = lambda self, member, request: True


GUARDS = (lose_requests, resend_anything, ignore_drains, trust_the_cold, read_anywhere)

if __name__ == "__main__":
    GUARDS[int(os.environ["CULPRIT"]) - 1]()
    main()
