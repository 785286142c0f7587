"""The HTTP/1.1 exchange of one watch stream, without I/O: turns received bytes into typed events.

h11 parses HTTP; the body is a sequence of JSON objects, with empty lines between them as heartbeats.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import h11

from sedgepitch.decisions.discovery.list_versions import Address
from sedgepitch.discovery.json_stream import JsonObjectSplitter

HTTP_OK = 200


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """Discovery accepted the watch."""


@dataclass(slots=True, frozen=True)
class ObjectReceived:
    """One complete JSON object of the body, not parsed yet."""

    data: bytes


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """A chunk of the body left no object incomplete."""


@dataclass(slots=True, frozen=True)
class PartialObject:
    """A chunk of the body ended within an object that began in the chunk (`begun`) or earlier."""

    begun: bool


@dataclass(slots=True, frozen=True)
class WatchEnded:
    """Discovery rejected or ended the watch."""

    reason: str


WatchEvent = ResponseStarted | ObjectReceived | Heartbeat | PartialObject | WatchEnded


class WatchExchange:
    """One watch request and its response."""

    def __init__(self) -> None:
        self._http = h11.Connection(h11.CLIENT)
        self._objects = JsonObjectSplitter()

    def request(self, address: Address, revision: int) -> bytes:
        """Return the request for all changes after `revision`; 0 requests the complete list."""
        host, port = address
        target = f"/catalog/members?stream=1&index={revision}"
        request = h11.Request(method="GET", target=target, headers=[("Host", f"{host}:{port}")])
        head = self._http.send(request) or b""
        return head + (self._http.send(h11.EndOfMessage()) or b"")

    def receive(self, data: bytes) -> Iterator[WatchEvent]:
        """Parse received bytes; yield the resulting events, with WatchEnded as the last.

        Raises h11.RemoteProtocolError if they are not HTTP/1.1, and MalformedListError if the body is not a
        sequence of JSON objects.
        """
        self._http.receive_data(data)
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                if event.status_code != HTTP_OK:
                    yield WatchEnded(f"discovery answered {event.status_code}")
                    return
                yield ResponseStarted()
            elif isinstance(event, h11.Data):
                yield from self._body(bytes(event.data))
            elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                yield WatchEnded("discovery ended the watch")
                return

    def _body(self, data: bytes) -> Iterator[WatchEvent]:
        begun = not self._objects.incomplete
        for complete in self._objects.feed(data):
            begun = True
            yield ObjectReceived(complete)
        yield PartialObject(begun) if self._objects.incomplete else Heartbeat()
