"""Changes of the endpoint list, which bind from the moment they are known."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sedgepitch.core import reasons
from sedgepitch.core.types import AttemptOutcome
from sedgepitch.routing import messages as api
from sedgepitch.routing.messages import AttemptResult

if TYPE_CHECKING:
    from sedgepitch.core.engine import Engine


class EndpointChanges:
    """Takes endpoint lists and takes back attempts that rest on an older one and have not left."""

    __slots__ = ("draining_since", "engine")

    def __init__(self, engine: Engine) -> None:
        """Work for `engine`."""
        self.engine = engine
        self.draining_since: dict[int, float] = {}  # when each was first listed draining or gone

    def list_changed(self, event: api.EndpointListUpdate) -> None:
        """Take the endpoint list, or changes of it; the router decides on it in this turn."""
        engine = self.engine
        changed = self._changed_endpoints(event, engine.clock.now())
        engine.upstream.update_endpoints(event.entries, event.complete)
        engine.dispatcher.events.append(event)
        self._take_back(changed)
        engine.dispatcher.flush()

    def _changed_endpoints(self, event: api.EndpointListUpdate, now: float) -> set[int]:
        """Return the endpoints whose state is not what the present decisions rest on."""
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

    def _take_back(self, endpoints: set[int]) -> None:
        """End attempts at these endpoints that have not left; they may wait for a connection to open.

        Nothing is then sent to an endpoint that the list says is draining, gone or started anew. The price:
        it spends one of the request's attempts.
        """
        engine = self.engine
        for pending in list(engine.request_table.requests.values()):
            for attempt, sent in list(pending.attempts.items()):
                if sent.endpoint in endpoints and not pending.sticky and not sent.in_flight.started():
                    sent.in_flight.abandon()
                    outcome = AttemptOutcome(AttemptResult.NOT_SENT, why=reasons.LIST_CHANGED)
                    engine.completion.attempt_ended(pending, attempt, outcome)
