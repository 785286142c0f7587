"""Applies updates of the endpoint list, keeps the watch alive, and removes endpoints that are long gone."""

from __future__ import annotations

from dataclasses import dataclass, field

from sedgepitch.routing.concurrency_limit import ConcurrencyLimits
from sedgepitch.routing.messages import EndpointEntry, EndpointListUpdate, EndpointState, WatchEndpointList
from sedgepitch.routing.outlier_detection import OutlierDetection
from sedgepitch.routing.primary_discovery import role_listed, role_removed
from sedgepitch.routing.records import NEVER, Endpoint, ReplicaGroup
from sedgepitch.routing.slow_start import SlowStart
from sedgepitch.routing.state import RouterState

WATCH_BACKOFF_MIN_S = 0.5
WATCHES_PER_POLL_INTERVAL = 4  # the longest backoff is the maximum poll interval divided by this
# Comparison periods after which an endpoint that is gone is removed; one that returns keeps its state.
PERIODS_UNTIL_REMOVED = 12


@dataclass(slots=True, eq=False)
class EndpointList:
    """Keeps the endpoint records in line with the list.

    The list arrives late, so roles that endpoints report themselves take precedence over the listed ones.
    """

    state: RouterState
    limits: ConcurrencyLimits
    outlier_detection: OutlierDetection
    slow_start: SlowStart
    watch_at: float = field(init=False)
    """Time of the next watch."""
    watch_backoff: float = WATCH_BACKOFF_MIN_S

    def __post_init__(self) -> None:
        """Schedule the first watch at once if the platform requires a subscription, otherwise never."""
        self.watch_at = -NEVER if self.state.settings.subscription_required else NEVER

    # Updates

    def update(self, event: EndpointListUpdate) -> None:
        """Apply an update; an endpoint that is missing from a complete list is gone."""
        for entry in event.entries:
            self._apply(entry)
        listed_ids = {entry.endpoint for entry in event.entries}
        for endpoint in self.state.endpoints.values():
            if event.complete and endpoint.id not in listed_ids:
                endpoint.state = EndpointState.GONE
        if not event.remembered:
            self.watch_backoff = WATCH_BACKOFF_MIN_S

    def _apply(self, entry: EndpointEntry) -> None:
        state = self.state
        endpoint = state.endpoints.get(entry.endpoint)
        group_id = entry.group if endpoint is None else endpoint.group_id
        group = state.groups.setdefault(group_id, ReplicaGroup())
        if endpoint is None:
            endpoint = self._add(entry, group)
        elif entry.started > endpoint.started:
            endpoint.started = entry.started
            self.slow_start.started(endpoint, entry.started)
            self.outlier_detection.restarted(endpoint)
        endpoint.state = entry.state
        endpoint.size = entry.size
        role_listed(group, endpoint, entry.primary)

    def _add(self, entry: EndpointEntry, group: ReplicaGroup) -> Endpoint:
        # The order of preference is random, with larger endpoints more likely to come first.
        draw = self.state.random.random() ** (1.0 / entry.size)
        endpoint = Endpoint(
            id=entry.endpoint,
            group_id=entry.group,
            zone=entry.zone,
            size=entry.size,
            state=entry.state,
            started=entry.started,
            preference_weight=draw,
            concurrency_limit=self.limits.initial_limit,
            primary_read_share=self.limits.initial_primary_read_share,
            warming_since=entry.started if entry.started > 0 else -NEVER,
        )
        self.state.endpoints[entry.endpoint] = endpoint
        group.endpoints.append(endpoint)
        group.endpoints.sort(key=lambda e: -e.preference_weight)
        return endpoint

    def set_zone_weights(self, weights: dict[str, float]) -> None:
        """Replace the zone weights, without those of 1; allow trials in zones whose weight rises from 0."""
        returned = self.slow_start.set_zone_weights(weights)
        for group in self.state.groups.values():
            for endpoint in group.ejected.values():
                if endpoint.zone in returned:
                    self.outlier_detection.zone_returned(endpoint)

    # Watching

    def watch_failed(self) -> None:
        """Schedule another watch after a failed watch or poll, with exponential backoff and jitter."""
        state = self.state
        self.watch_at = state.now + self.watch_backoff * (1.0 + state.random.random())
        state.set_timer(self.watch_at)
        poll_interval = state.settings.rules.max_poll_interval
        backoff_max = max(WATCH_BACKOFF_MIN_S, poll_interval / WATCHES_PER_POLL_INTERVAL)
        self.watch_backoff = min(self.watch_backoff * 2.0, backoff_max)

    def watch_if_due(self) -> None:
        """Watch the list if that is due, and set a timer for the next watch."""
        if self.state.now >= self.watch_at:
            self.watch_at = NEVER
            self.state.actions.append(WatchEndpointList())
        self.state.set_timer(self.watch_at)

    # Removal

    def remove_gone(self) -> None:
        """Remove endpoints that are long gone and have no attempt in flight; called once per period."""
        for endpoint in list(self.state.endpoints.values()):
            gone = endpoint.state is EndpointState.GONE
            endpoint.periods_gone = endpoint.periods_gone + 1 if gone else 0
            if endpoint.periods_gone > PERIODS_UNTIL_REMOVED and not endpoint.in_flight:
                self._remove(endpoint)

    def _remove(self, endpoint: Endpoint) -> None:
        group = self.state.groups[endpoint.group_id]
        group.endpoints.remove(endpoint)
        self.outlier_detection.removed(endpoint)
        role_removed(group, endpoint)
        del self.state.endpoints[endpoint.id]
