"""Parses the platform's JSON format of the endpoint list into the types of `decisions/discovery`.

Only this module uses the field names of that format (`members`, `host_port`, `locality`, `cell`, `phase`,
`access`).
"""

from __future__ import annotations

import math
from typing import Any

from sedgepitch.decisions.discovery.list_versions import Address, DiscoveredEndpoint, ListVersion
from sedgepitch.discovery.errors import MalformedListError
from sedgepitch.routing.messages import EndpointState

MAX_ENDPOINTS = 10_000
IPV4_PARTS = 4
MAX_IPV4_DIGITS = 3
MAX_IPV4_PART = 255
MAX_PORT_DIGITS = 5
MAX_PORT = 65_535
MS_PER_S = 1000.0
DEFAULT_SIZE = 1.0
STATES = {"up": EndpointState.UP, "draining": EndpointState.DRAINING, "removed": EndpointState.GONE}


def _number(raw: dict[str, Any], name: str, default: float, where: str) -> float:
    value = raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise MalformedListError(f"{where}.{name}: not a number")
    return float(value)


def _text(raw: dict[str, Any], name: str, where: str, default: str | None = None) -> str:
    value = raw.get(name, default)
    if not isinstance(value, str):
        raise MalformedListError(f"{where}.{name}: not a string")
    return value


def _is_ipv4(host: str) -> bool:
    parts = host.split(".")
    return len(parts) == IPV4_PARTS and all(
        part.isdigit() and len(part) <= MAX_IPV4_DIGITS and int(part) <= MAX_IPV4_PART for part in parts
    )


def read_address(value: str, where: str, min_port: int = 1) -> Address:
    """Parse `host:port`, where host is an IPv4 address; host names are not resolved.

    Raises MalformedListError, which names `where`, for any other text and for a port below `min_port`.
    """
    host, colon, port = value.rpartition(":")
    valid = colon and _is_ipv4(host) and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not valid or not min_port <= int(port) <= MAX_PORT:
        raise MalformedListError(f"{where}: not an address and a port")
    return host, int(port)


def read_version(raw: object, unix_offset: float, where: str = "discovery") -> ListVersion:
    """Parse one object sent by discovery.

    `unix_offset` is Unix time minus the proxy's monotonic clock, in seconds. Raises MalformedListError, which
    names the position within `where`.
    """
    if not isinstance(raw, dict):
        raise MalformedListError(f"{where}: not an object")
    revision = raw.get("revision")
    complete = raw.get("complete")
    if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(complete, bool):
        raise MalformedListError(f"{where}: revision or complete is missing")
    entries = raw.get("members")
    if not isinstance(entries, list) or len(entries) > MAX_ENDPOINTS:
        raise MalformedListError(f"{where}.members: not a list of {MAX_ENDPOINTS} at most")
    return ListVersion(
        revision,
        complete,
        tuple(
            _read_endpoint(entry, unix_offset, f"{where}.members[{index}]")
            for index, entry in enumerate(entries)
        ),
    )


def _read_endpoint(raw: object, unix_offset: float, where: str) -> DiscoveredEndpoint:
    if not isinstance(raw, dict):
        raise MalformedListError(f"{where}: not an object")
    state = STATES.get(_text(raw, "phase", where))
    if state is None:
        raise MalformedListError(f"{where}.phase: unknown")
    up_since_ms = _number(raw, "up_since_ms", 0.0, where)
    size = _number(raw, "size", DEFAULT_SIZE, where)
    return DiscoveredEndpoint(
        name=_text(raw, "id", where),
        address=read_address(_text(raw, "host_port", where), f"{where}.host_port"),
        zone=_text(raw, "locality", where, ""),
        group=int(_number(raw, "cell", 0.0, where)),
        state=state,
        size=size if size > 0.0 else DEFAULT_SIZE,
        started_at=up_since_ms / MS_PER_S - unix_offset if up_since_ms > 0.0 else 0.0,
        primary=raw.get("access") == "writer",
    )
