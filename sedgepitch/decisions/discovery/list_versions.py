"""Decides which version of the endpoint list applies as complete lists and changes arrive.

Rules:

* A change applies if its revision is newer than the present one; otherwise it has been applied before.
* A complete list always applies, even with an older revision: the source may have lost its state, or another
  source that lags behind may have replaced it.
* An endpoint that a report says is up applies as draining if it may have departed after that report (see
  `departures`), until newer changes confirm that it is up: sending a request to a draining endpoint breaks a
  rule; not sending one only costs capacity.
* Sources name endpoints by strings, the router by integers. The integer is derived from the name alone, so
  it is the same in each proxy instance and after each restart. It is kept while the name is listed or in use.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

from sedgepitch.decisions.discovery.departures import Departures
from sedgepitch.routing.messages import EndpointEntry, EndpointListUpdate, EndpointState

Address = tuple[str, int]
MAX_ENDPOINT_ID = 0xFFFFFFFF


@dataclass(slots=True, frozen=True)
class DiscoveredEndpoint:
    """One endpoint as listed by a source.

    `started_at` is in seconds of the proxy's monotonic clock, 0 if the start was long ago.
    """

    name: str
    address: Address
    zone: str
    group: int
    state: EndpointState
    size: float
    started_at: float
    primary: bool


@dataclass(slots=True, frozen=True)
class ListVersion:
    """One message of the source: the complete list, or the entries changed since the previous revision."""

    revision: int
    complete: bool
    entries: tuple[DiscoveredEndpoint, ...]


class EndpointListVersions:
    """The endpoint list of this proxy instance and the integer ids of its endpoints. Performs no I/O."""

    __slots__ = ("addresses", "departures", "ids", "names", "present", "revision", "withheld")

    def __init__(self) -> None:
        self.revision = 0
        self.ids: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.addresses: dict[int, Address] = {}
        self.present: dict[int, float] = {}  # `started_at` by id of the endpoints listed and not removed
        self.departures = Departures()
        self.withheld: dict[str, DiscoveredEndpoint] = {}  # by name, up in the list but applied as draining

    def apply(self, version: ListVersion, cached: bool = False) -> EndpointListUpdate | None:
        """Apply a version; return the update for the router, or None if it is not newer.

        A cached list may be out of date, so its endpoints apply but its revision does not.
        """
        if not cached:
            if not version.complete and version.revision <= self.revision:
                return None
            if version.revision < self.revision:
                self.departures.hold_at(self.revision, self.withheld)
            self.revision = version.revision
        entries = tuple(self._entry(endpoint, version.revision) for endpoint in self._reported(version))
        if version.complete:
            self._remove_unlisted(entries, version.revision)
        for entry in entries:
            if entry.state is EndpointState.GONE:
                self.present.pop(entry.endpoint, None)
            else:
                self.present[entry.endpoint] = entry.started
        return EndpointListUpdate(entries, version.complete, cached)

    def forget(self, endpoint_id: int) -> None:
        """Drop an endpoint that is no longer in use, unless it is still listed."""
        if endpoint_id in self.present or endpoint_id not in self.names:
            return
        name = self.names.pop(endpoint_id)
        del self.ids[name]
        self.addresses.pop(endpoint_id, None)
        self.departures.forget(name)

    def _reported(self, version: ListVersion) -> tuple[DiscoveredEndpoint, ...]:
        """Return the endpoints of a version, and those withheld that its changes leave as they are."""
        if version.complete:
            self.withheld.clear()
            return version.entries
        named = {endpoint.name for endpoint in version.entries}
        confirmed = [
            endpoint
            for name, endpoint in self.withheld.items()
            if name not in named and not self._may_have_departed(endpoint, version.revision)
        ]
        return (*version.entries, *confirmed)

    def _remove_unlisted(self, entries: tuple[EndpointEntry, ...], revision: int) -> None:
        """Record the departure of the present endpoints that a complete list does not contain."""
        listed = {entry.endpoint for entry in entries}
        for endpoint_id in self.present.keys() - listed:
            self.departures.record(self.names[endpoint_id], revision, self.present.pop(endpoint_id))

    def _entry(self, endpoint: DiscoveredEndpoint, revision: int) -> EndpointEntry:
        endpoint_id = self._id_of(endpoint.name)
        self.addresses[endpoint_id] = endpoint.address
        return EndpointEntry(
            endpoint=endpoint_id,
            group=endpoint.group,
            state=self._effective_state(endpoint, revision),
            zone=endpoint.zone,
            primary=endpoint.primary,
            size=endpoint.size,
            started=endpoint.started_at,
        )

    def _effective_state(self, endpoint: DiscoveredEndpoint, revision: int) -> EndpointState:
        """Return the state to apply: draining if it is up in a report that its departure may follow."""
        name = endpoint.name
        if endpoint.state is not EndpointState.UP:
            self.withheld.pop(name, None)
            known_start = self.present.get(self.ids[name], 0.0)
            self.departures.record(name, revision, max(endpoint.started_at, known_start))
            return endpoint.state
        if self._may_have_departed(endpoint, revision):
            self.withheld[name] = endpoint
            return EndpointState.DRAINING
        self.withheld.pop(name, None)
        self.departures.revoke(name)
        return EndpointState.UP

    def _may_have_departed(self, endpoint: DiscoveredEndpoint, revision: int) -> bool:
        return self.departures.may_follow(endpoint.name, revision, endpoint.started_at)

    def _id_of(self, name: str) -> int:
        """Return the id of a name: its CRC-32, or the next free integer if that is taken."""
        endpoint_id = self.ids.get(name)
        if endpoint_id is None:
            endpoint_id = crc32(name.encode("utf-8", "replace"))
            while endpoint_id in self.names:
                endpoint_id = (endpoint_id + 1) & MAX_ENDPOINT_ID
            self.ids[name] = endpoint_id
            self.names[endpoint_id] = name
            self.departures.recall(name)
        return endpoint_id
