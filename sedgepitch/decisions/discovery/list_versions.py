"""Decides which version of the endpoint list applies as complete lists and changes arrive.

Rules:

* A change applies if its revision is newer than the present one; otherwise it has been applied before.
* A complete list always applies, even with an older revision: the source may have lost its state, or another
  source that lags behind may have replaced it.
* An endpoint that was reported as draining or removed, or is missing from a complete list, has departed. It
  is up again if it has restarted, or by a report of a newer revision than that of its departure. Other
  reports that it is up may precede the departure, and apply as draining: sending a request to a draining
  endpoint breaks a rule; not sending one only costs capacity.
* Departures are remembered after the endpoint is no longer in use, MAX_FORGOTTEN_DEPARTURES at most.
* Sources name endpoints by strings, the router by integers. The integer is derived from the name alone, so
  it is the same in each proxy instance and after each restart. It is kept while the name is listed or in use.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

from sedgepitch.routing.messages import EndpointEntry, EndpointListUpdate, EndpointState

Address = tuple[str, int]
MAX_ENDPOINT_ID = 0xFFFFFFFF
MAX_FORGOTTEN_DEPARTURES = 10_000


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


@dataclass(slots=True, frozen=True)
class Departure:
    """The newest drain or removal of an endpoint: its revision, and the `started_at` that was known then."""

    revision: int
    started_at: float

    def precedes(self, revision: int, endpoint: DiscoveredEndpoint) -> bool:
        """Return whether a report of a revision that the endpoint is up was made after the departure."""
        return revision > self.revision or endpoint.started_at > self.started_at


class EndpointListVersions:
    """The endpoint list of this proxy instance and the integer ids of its endpoints. Performs no I/O."""

    __slots__ = ("addresses", "departures", "forgotten_departures", "ids", "names", "present", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self.ids: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.addresses: dict[int, Address] = {}
        self.present: dict[int, float] = {}  # `started_at` by id of the endpoints listed and not removed
        self.departures: dict[str, Departure] = {}  # by name, of endpoints with an id
        self.forgotten_departures: dict[str, Departure] = {}  # by name, of other endpoints, oldest first

    def apply(self, version: ListVersion, cached: bool = False) -> EndpointListUpdate | None:
        """Apply a version; return the update for the router, or None if it is not newer.

        A cached list may be out of date, so its endpoints apply but its revision does not.
        """
        if not cached:
            if not version.complete and version.revision <= self.revision:
                return None
            self.revision = version.revision
        entries = tuple(self._entry(endpoint, version.revision) for endpoint in version.entries)
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
        departure = self.departures.pop(name, None)
        if departure is not None:
            self.forgotten_departures[name] = departure
        if len(self.forgotten_departures) > MAX_FORGOTTEN_DEPARTURES:
            del self.forgotten_departures[next(iter(self.forgotten_departures))]

    def _remove_unlisted(self, entries: tuple[EndpointEntry, ...], revision: int) -> None:
        """Record the departure of the present endpoints that a complete list does not contain."""
        listed = {entry.endpoint for entry in entries}
        for endpoint_id in self.present.keys() - listed:
            self._record_departure(self.names[endpoint_id], revision)
            del self.present[endpoint_id]

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
        if endpoint.state is not EndpointState.UP:
            self._record_departure(endpoint.name, revision, endpoint.started_at)
            return endpoint.state
        departure = self.departures.get(endpoint.name)
        if departure is None:
            return endpoint.state
        if not departure.precedes(revision, endpoint):
            return EndpointState.DRAINING
        del self.departures[endpoint.name]
        return endpoint.state

    def _record_departure(self, name: str, revision: int, started_at: float = 0.0) -> None:
        started_at = max(started_at, self.present.get(self.ids[name], 0.0))
        known = self.departures.get(name)
        if known is not None:
            revision = max(revision, known.revision)
            started_at = max(started_at, known.started_at)
        self.departures[name] = Departure(revision, started_at)

    def _id_of(self, name: str) -> int:
        """Return the id of a name: its CRC-32, or the next free integer if that is taken.

        A departure that is remembered of the name counts again.
        """
        endpoint_id = self.ids.get(name)
        if endpoint_id is None:
            endpoint_id = crc32(name.encode("utf-8", "replace"))
            while endpoint_id in self.names:
                endpoint_id = (endpoint_id + 1) & MAX_ENDPOINT_ID
            self.ids[name] = endpoint_id
            self.names[endpoint_id] = name
            if name in self.forgotten_departures:
                self.departures[name] = self.forgotten_departures.pop(name)
        return endpoint_id
