"""The top-level fields of an endpoint's reply, extracted in one walk. Bodies stay bytes."""

from __future__ import annotations

from dataclasses import dataclass

from sedgepitch.decisions.positions import OpTime
from sedgepitch.protocols.mongodb import bsonwalk
from sedgepitch.protocols.mongodb.codec import Message


@dataclass(slots=True, frozen=True)
class EndpointReply:
    """A reply to forward to a client: the body, and its cursor document if it has one."""

    body: bytes
    cursor: bsonwalk.Element | None


@dataclass(slots=True)
class ReplySummary:
    """The top-level fields of a reply that the proxy evaluates."""

    ok: bool
    code: int  # error code, 0 if there is none
    labels: bytes  # the raw array of error labels
    optime: OpTime | None
    cursor: bsonwalk.Element | None


def summarize(message: Message) -> ReplySummary:
    """Extract the top-level fields of a reply; raises MalformedDocument."""
    body = message.body
    summary = ReplySummary(ok=False, code=0, labels=b"", optime=None, cursor=None)
    for element in bsonwalk.elements(body):
        if element.name == b"ok":
            summary.ok = bsonwalk.number(body, element) == 1
        elif element.name == b"code":
            summary.code = int(bsonwalk.number(body, element) or 0)
        elif element.name == b"errorLabels":
            summary.labels = body[element.start : element.end]
        elif element.name == b"operationTime":
            summary.optime = bsonwalk.timestamp(body, element)
        elif element.name == b"cursor" and element.kind == bsonwalk.DOCUMENT:
            summary.cursor = element
    return summary
