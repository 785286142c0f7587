"""Decides which version of the endpoint list applies as complete lists and changes arrive.

Rules:

* A change applies if its revision is newer than the present one; otherwise it has been applied before.
* A complete list always applies, even with an older revision: the source may have lost its state, or another
  source that lags behind may have replaced it.
* An endpoint that a newer revision reported as draining or removed stays draining while an older complete
  list reports it as up, until it has restarted or a change names it. The older list does not contain the
  drain. Sending a request to a draining endpoint breaks a rule; not sending one only costs capacity.
* Sources name endpoints by strings, the router by integers. The integer is derived from the name alone, so
  it is the same in each proxy instance and after each restart. It is kept while the name is listed or in use.
"""

from __future__ import annotations

from dataclasses import dataclass
from zlib import crc32

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

    __slots__ = ("addresses", "departing", "ids", "names", "present", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self.ids: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.addresses: dict[int, Address] = {}
        self.present: set[int] = set()  # ids of endpoints that are listed and not removed
        self.departing: dict[str, float] = {}  # name -> `started_at` in the report of its drain or removal

    def apply(self, version: ListVersion, cached: bool = False) -> EndpointListUpdate | None:
        """Apply a version; return the update for the router, or None if it is not newer.

        A cached list may be out of date, so its endpoints apply but its revision does not.
        """
        older = not cached and version.revision < self.revision
        if not cached:
            if not version.complete and version.revision <= self.revision:
                return None
            self.revision = version.revision
        entries = tuple(self._entry(endpoint, older) for endpoint in version.entries)
        if version.complete:
            self.present = set()
        for entry in entries:
            if entry.state is EndpointState.GONE:
                self.present.discard(entry.endpoint)
            else:
                self.present.add(entry.endpoint)
        return EndpointListUpdate(entries, version.complete, cached)

    def forget(self, endpoint_id: int) -> None:
        """Drop an endpoint that is no longer in use, unless it is still listed."""
        if endpoint_id in self.present or endpoint_id not in self.names:
            return
        name = self.names.pop(endpoint_id)
        del self.ids[name]
        self.departing.pop(name, None)
        self.addresses.pop(endpoint_id, None)

    def _entry(self, endpoint: DiscoveredEndpoint, older: bool) -> EndpointEntry:
        state = self._effective_state(endpoint, older)
        endpoint_id = self._id_of(endpoint.name)
        self.addresses[endpoint_id] = endpoint.address
        return EndpointEntry(
            endpoint=endpoint_id,
            group=endpoint.group,
            state=state,
            zone=endpoint.zone,
            primary=endpoint.primary,
            size=endpoint.size,
            started=endpoint.started_at,
        )

    def _effective_state(self, endpoint: DiscoveredEndpoint, older: bool) -> EndpointState:
        """Return the state to apply: a list with an older revision does not revoke a drain."""
        if endpoint.state is not EndpointState.UP:
            self.departing[endpoint.name] = endpoint.started_at
            return endpoint.state
        departed_start = self.departing.get(endpoint.name)
        if older and departed_start is not None and endpoint.started_at <= departed_start:
            return EndpointState.DRAINING
        self.departing.pop(endpoint.name, None)
        return endpoint.state

    def _id_of(self, name: str) -> int:
        """Return the id of a name: its CRC-32, or the next free integer if that is taken."""
        endpoint_id = self.ids.get(name)
        if endpoint_id is None:
            endpoint_id = crc32(name.encode("utf-8", "replace"))
            while endpoint_id in self.names:
                endpoint_id = (endpoint_id + 1) & MAX_ENDPOINT_ID
            self.ids[name] = endpoint_id
            self.names[endpoint_id] = name
        return endpoint_id
