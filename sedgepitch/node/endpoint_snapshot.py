"""Snapshots of the endpoints for the log, from the state of the router and the connection pools."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.decisions.discovery.list_versions import EndpointListVersions
from sedgepitch.protocols.postgresql.upstream import PostgresUpstream
from sedgepitch.routing.router import Router

MAX_LAG_SHOWN_S = 99.0


@dataclass(slots=True, frozen=True)
class EndpointSnapshot:
    """State of one endpoint at one time."""

    name: str
    state: str  # in the endpoint list
    primary: bool
    ejection: str  # reason for the ejection, or "healthy"
    in_flight: int  # attempts, as counted by the router
    connections: int  # in the pool
    idle_connections: int  # part of `connections`
    connection_failures: int  # consecutive
    ejected_for_s: float  # remaining time
    concurrency_limit: float
    latency_ratio: float  # mean latency over the objective
    reported_load: float
    position_age_s: float

    def __str__(self) -> str:
        """Return the fields as one word without spaces, for a log line."""
        return (
            f"{self.name}:{self.state}/{'primary' if self.primary else 'replica'}/{self.ejection}"
            f"/in_flight={self.in_flight}/connections={self.connections}/idle={self.idle_connections}"
            f"/connection_failures={self.connection_failures}/ejected_for_s={self.ejected_for_s:.1f}"
            f"/limit={self.concurrency_limit:.1f}/latency_ratio={self.latency_ratio:.2f}"
            f"/load={self.reported_load:.0f}/position_age_s={self.position_age_s:.2f}"
        )


def snapshot_endpoints(
    router: Router, versions: EndpointListVersions, upstream: PostgresUpstream, now: float
) -> list[EndpointSnapshot]:
    """Return snapshots of the endpoints in the endpoint list at `now` (monotonic seconds)."""
    snapshots = []
    for endpoint in router.endpoints.values():
        if endpoint.id not in versions.present:
            continue
        endpoint_pool = upstream.pools.get(endpoint.id)
        snapshots.append(
            EndpointSnapshot(
                name=versions.names.get(endpoint.id, str(endpoint.id)),
                state=endpoint.state.value,
                primary=router.groups[endpoint.group_id].primary is endpoint,
                ejection=endpoint.ejection_reason.value if endpoint.ejection_reason else "healthy",
                in_flight=len(endpoint.in_flight),
                connections=len(endpoint_pool.pool.connections) if endpoint_pool else 0,
                idle_connections=len(endpoint_pool.pool.idle) if endpoint_pool else 0,
                connection_failures=endpoint.connection_failures,
                ejected_for_s=max(0.0, endpoint.ejected_until - now),
                concurrency_limit=endpoint.concurrency_limit,
                latency_ratio=endpoint.latency_ratio,
                reported_load=endpoint.reported_load,
                position_age_s=min(MAX_LAG_SHOWN_S, now - endpoint.position),
            )
        )
    return snapshots
