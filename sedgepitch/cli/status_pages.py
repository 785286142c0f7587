"""The HTTP pages of a running proxy: metrics, and status pages in JSON for the command line."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.web.http import BAD_REQUEST
from twisted.web.resource import Resource

from sedgepitch.observe.metrics import Metrics

if TYPE_CHECKING:
    from twisted.web.server import Request, Site

    from sedgepitch.peers.zones import ZoneService

MAX_COMMAND_BYTES = 4096

State = Callable[[], dict[str, Any]]


class StatusPage(Resource):
    """One part of the proxy's state as JSON, for `sedgepitch admission`, `peers status` and `zone`."""

    isLeaf = True  # noqa: N815 (Twisted's name)

    def __init__(self, name: str, state: State) -> None:
        super().__init__()
        self.name = name
        self.state = state

    def render_GET(self, _request: Request) -> bytes:  # noqa: N802 (Twisted's name)
        """Return the state as JSON."""
        return json.dumps({"driver": self.name, **self.state()}).encode()


class ZonePage(StatusPage):
    """The state of zones (GET), and operator commands on them (POST).

    Commands must be sealed with the peers' key; a client without the key can only read.
    """

    def __init__(self, name: str, zones: ZoneService) -> None:
        super().__init__(name, zones.status)
        self.zones = zones

    def render_POST(self, request: Request) -> bytes:  # noqa: N802 (Twisted's name)
        """Execute an operator command; responds 400 with the reason if it is rejected."""
        from sedgepitch.decisions.zones.operator_commands import InvalidCommandError

        assert request.content is not None
        try:
            answer = self.zones.take_command(request.content.read(MAX_COMMAND_BYTES))
        except InvalidCommandError as error:
            request.setResponseCode(BAD_REQUEST)
            answer = {"error": str(error)}
        return json.dumps(answer).encode()


def make_site(name: str, metrics: Metrics, admission: State, peers: State, zones: ZoneService | None) -> Site:
    """Return the site with `/metrics`, `/door`, `/peers` and, with zones, `/zones`."""
    from prometheus_client.twisted import MetricsResource
    from twisted.web.server import Site

    # Any, since type checkers do not relate zope interfaces to the classes that implement them.
    root: Any = Resource()
    root.putChild(b"metrics", MetricsResource(metrics.registry))
    root.putChild(b"door", StatusPage(name, admission))
    root.putChild(b"peers", StatusPage(name, peers))
    if zones is not None:
        root.putChild(b"zones", ZonePage(name, zones))
    return Site(root)
