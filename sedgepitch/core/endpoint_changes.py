"""Changes of the endpoint list, which apply from the moment they are received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.core import reasons
from sedgepitch.core.types import AttemptOutcome
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult

if TYPE_CHECKING:
    from sedgepitch.core.engine import Engine


class EndpointChanges:
    """Applies endpoint lists, and withdraws unsent attempts that were decided on an older list."""

    __slots__ = ("draining_since", "engine")

    def __init__(self, engine: Engine) -> None:
        """Apply changes to `engine`."""
        self.engine = engine
        self.draining_since: dict[int, float] = {}  # when each endpoint was first listed as draining or gone

    def list_changed(self, event: api.EndpointListUpdate) -> None:
        """Apply an endpoint list or changes to it; the router decides on it within this turn."""
        engine = self.engine
        changed = self._changed_endpoints(event, engine.clock.now())
        engine.upstream.update_endpoints(event.entries, event.complete)
        engine.dispatcher.events.append(event)
        self._withdraw_unsent(changed)
        engine.dispatcher.flush()

    def _changed_endpoints(self, event: api.EndpointListUpdate, now: float) -> set[int]:
        """Return the endpoints whose state differs from the one that current decisions are based on."""
        known = self.engine.router.endpoints
        changed: set[int] = set()
        for entry in event.entries:
            if entry.state is api.EndpointState.UP:
                self.draining_since.pop(entry.endpoint, None)
                if entry.endpoint in known and entry.started > known[entry.endpoint].started:
                    changed.add(entry.endpoint)
            else:
                self.draining_since.setdefault(entry.endpoint, now)
                changed.add(entry.endpoint)
        if event.complete:
            listed = {entry.endpoint for entry in event.entries}
            for endpoint in list(known):
                if endpoint not in listed:
                    self.draining_since.setdefault(endpoint, now)
                    changed.add(endpoint)
        return changed

    def _withdraw_unsent(self, endpoints: set[int]) -> None:
        """End the unsent attempts at these endpoints, such as those that wait for a connection to open.

        So nothing is sent to an endpoint that is listed as draining, gone or restarted, except requests that
        only it can serve. The drawback: this uses up one of the request's attempts.
        """
        engine = self.engine
        for pending in list(engine.request_table.requests.values()):
            for attempt, sent in list(pending.attempts.items()):
                if sent.endpoint in endpoints and not pending.sticky and not sent.in_flight.started():
                    sent.in_flight.abandon()
                    outcome = AttemptOutcome(AttemptResult.NOT_SENT, why=reasons.LIST_CHANGED)
                    engine.completion.attempt_ended(pending, attempt, outcome)
